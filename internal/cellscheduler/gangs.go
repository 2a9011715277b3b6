package cellscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// prepareGang prepares the start of a gang that has no valid placement tokens for enough room. If the approved workers
// have room for all of its tasks, the room is reserved while tokens for it are requested. Otherwise what they have
// is earmarked. It reports whether the advisor should be asked about further workers.
func (c *Scheduler) prepareGang(s *step, advisor *configprovider.AdvisorSettings) bool {
	s.reserved, s.earmarks = nil, nil
	approved := c.approvedCandidates(s, false)
	whenEmpty := c.roomWhenEmpty(s, approved)
	fits := whenEmpty >= len(s.tasks)
	if fits {
		if chosen := c.chooseGangCandidates(s, approved); len(chosen) > 0 {
			c.reserveForGang(s, advisor, chosen)
			return false
		}
		c.renewInAdvance(s, advisor, approved)
		s.earmarks = c.rackToEarmark(s, approved)
	}
	if asksInAdvance(s, advisor) {
		return whenEmpty < candidateselector.GangOversampling*len(s.tasks) || c.hasUnaskedCandidates(s)
	}
	return (!fits || c.hasUnaskedCandidates(s)) && c.hasRoomForGang(s)
}

// asksInAdvance reports whether the advisor is asked about the workers of a gang before they have room. What it
// answers holds for good, and a long call takes longer than most room stays free.
func asksInAdvance(s *step, advisor *configprovider.AdvisorSettings) bool {
	return s.def.Gang && advicerouter.IsLong(advisor.Latency(1))
}

// reserveForGang reserves room for all tasks of a gang, and requests tokens for it.
func (c *Scheduler) reserveForGang(s *step, advisor *configprovider.AdvisorSettings, chosen []int) {
	s.reserved = make(map[string]int)
	for _, index := range chosen {
		s.reserved[c.candidates[index].Worker]++
	}
	if !c.renewTokens(s, advisor, slices.Sorted(maps.Keys(s.reserved))) {
		return
	}
	// Unused tokens cost the advisor as much time as used ones.
	s.nextRenewalAt = c.now.Add(min(minRenewalDelay<<min(s.unusedAdvice, 8), maxRenewalDelay))
	s.unusedAdvice++
}

const (
	// minRenewalDelay is the minimum time between two token requests of a gang for room that it reserves. It
	// doubles each time that the tokens expire unused, up to maxRenewalDelay, which is three times the duration of
	// the longest advisor call.
	minRenewalDelay = 300 * time.Millisecond
	maxRenewalDelay = 2500 * time.Millisecond
)

// renewTokens requests new placement tokens for approved workers. It reports false if a request is in flight or none
// can be made now.
func (c *Scheduler) renewTokens(s *step, advisor *configprovider.AdvisorSettings, workers []string) bool {
	if s.renewalsInFlight > 0 || c.now.Before(s.nextRenewalAt) {
		return false
	}
	requested := c.requestRenewals(s, advisor, workers)
	if len(requested) == 0 {
		return false
	}
	s.renewed, s.renewInAdvanceAt = true, c.now.Add(advisor.TokenLifetime)
	s.tokenWorkers = make(map[string]bool, len(requested))
	for _, id := range requested {
		s.tokenWorkers[id] = true
	}
	return true
}

// inAdvanceDivisor limits the gangs whose tokens are renewed before they have room: the first ones, which need this
// fraction of the cell.
const inAdvanceDivisor = 2

// renewInAdvance renews the tokens of one of the next gangs to start before there is room for it, for the workers that are
// expected to have room. A long call takes a large part of a run, for which the room would be reserved and idle
// otherwise.
func (c *Scheduler) renewInAdvance(s *step, advisor *configprovider.AdvisorSettings, approved []int) {
	if !asksInAdvance(s, advisor) || c.inAdvance >= c.capacity.Processors/inAdvanceDivisor {
		return
	}
	needs := s.def.Reservation()
	c.inAdvance += needs.Times(len(s.tasks)).Processors
	if idle, all := c.advisor.router.Idle(advisor.Latency(1), c.now); s.renewalsInFlight > 0 || c.now.Before(s.renewInAdvanceAt) || idle <= all/2 {
		return
	}
	usableAt := c.now.Add(advisor.Latency(candidateselector.MaxCandidates) + advisor.TokenLifetime/2)
	expected := make(map[int]modeler.Processors, len(approved))
	for _, index := range approved {
		expected[index] = c.expectedFree(index, usableAt).Processors
	}
	order := slices.Clone(approved)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	var workers []string
	room := 0
	for _, index := range order[:min(len(order), candidateselector.MaxCandidates)] {
		if room >= candidateselector.GangOversampling*len(s.tasks) {
			break
		}
		room += cellplacer.MaxTasks(c.candidates[index].Capacity, needs, s.def.MaxPerWorker)
		workers = append(workers, c.candidates[index].Worker)
	}
	c.renewTokens(s, advisor, workers)
}

// expectedFree returns the resources of a candidate that are free or are expected to be free at a time.
func (c *Scheduler) expectedFree(index int, at time.Time) modeler.Resources {
	free := c.candidates[index].Available()
	for _, p := range c.candidateWorkers[index].placements {
		switch {
		case p.stopReason != "":
			free = free.Plus(p.step.Reservation())
		case p.step.LongRunning || p.job.definition == nil:
		case !later(p.startedAt, p.placedAt).Add(c.expectedDuration(p.job, p.key.Step)).After(at):
			free = free.Plus(p.step.Reservation())
		}
	}
	return free
}

// roomWhenEmpty returns for how many tasks of a step the candidates would have room if nothing else ran on them.
func (c *Scheduler) roomWhenEmpty(s *step, indexes []int) int {
	room := 0
	for _, i := range indexes {
		if c.isEligible(s, i) {
			room += cellplacer.MaxTasks(c.candidates[i].Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		}
	}
	return room
}

// chooseGangCandidates returns a candidate for each task of a gang, or nil. It prefers the
// workers of the last token request: free resources change all the time, and the requested tokens
// would be useless if the gang were then placed on other workers that fit better.
func (c *Scheduler) chooseGangCandidates(s *step, approved []int) []int {
	var requested []int
	for _, index := range approved {
		if s.tokenWorkers[c.candidates[index].Worker] {
			requested = append(requested, index)
		}
	}
	for _, indexes := range [][]int{requested, approved} {
		eligible := slices.Clone(c.eligibleCandidates(s, indexes))
		if !s.hasOrdinaryTask() {
			eligible = c.isolationCandidates(eligible)
		}
		chosen := cellplacer.Place(eligible, cellplacer.Request{Step: s.def, Tasks: len(s.tasks), AllOrNothing: true})
		for i := range chosen {
			chosen[i] = c.workers[eligible[chosen[i]].Worker].candidateIndex
		}
		if len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}

// hasUnaskedCandidates reports whether some candidate with room has not been named to the
// advisor.
func (c *Scheduler) hasUnaskedCandidates(s *step) bool {
	needs := s.def.Reservation()
	for i := range c.candidates {
		candidate := &c.candidates[i]
		if needs.Fits(candidate.Available()) && c.isEligible(s, i) && !s.isApproved(c.candidateWorkers[i]) && !c.isRejected(s, i) {
			return true
		}
	}
	return false
}

// hasRoomForGang reports whether the candidates that are not rejected have room for a whole gang;
// without it, a short call to the advisor is not worthwhile.
func (c *Scheduler) hasRoomForGang(s *step) bool {
	unplaced := len(s.tasks)
	for i := range c.candidates {
		if unplaced <= 0 {
			return true
		}
		if c.isRejected(s, i) || !c.isEligible(s, i) {
			continue
		}
		unplaced -= cellplacer.MaxTasks(c.candidates[i].Available(), s.def.Reservation(), s.def.MaxPerWorker)
	}
	return unplaced <= 0
}
