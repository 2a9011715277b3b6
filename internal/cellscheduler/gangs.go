package cellscheduler

import (
	"maps"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
)

// placeApprovedGang places a gang for which the advisor has approved workers. The gang is placed
// if the approved workers with valid placement tokens have room for it. Otherwise room is
// reserved for it while tokens are renewed or resources become free. It reports false if the
// approved workers could not hold the gang even when empty, or if workers with room have not been
// named to the advisor yet.
func (c *Scheduler) placeApprovedGang(s *step, advisor *configprovider.AdvisorSettings) bool {
	if c.assign(s, c.eligibleCandidates(s, c.approvedCandidates(s, true))) {
		return true
	}
	approved := c.approvedCandidates(s, false)
	if !c.fitsWhenEmpty(s, approved) {
		return false
	}
	chosen := c.chooseGangCandidates(s, approved)
	if len(chosen) == 0 {
		allAsked := !c.hasUnaskedCandidates(s)
		c.reserveWorkersForGang(s, approved)
		return allAsked
	}
	s.reserved = make(map[string]int)
	for _, index := range chosen {
		s.reserved[c.candidates[index].Worker]++
	}
	if c.canRequestAdvice(s, advisor) {
		c.renewTokens(s, advisor)
	}
	return true
}

// renewTokens requests new placement tokens for the workers on which the gang has reserved room.
func (c *Scheduler) renewTokens(s *step, advisor *configprovider.AdvisorSettings) {
	s.gangCandidates = slices.Sorted(maps.Keys(s.reserved))
	if !c.requestAdvice(s, advisor, s.gangCandidates) {
		return
	}
	s.renewed = true
	// Unused tokens cost the advisor as much time as used ones.
	s.nextAdviceAt = c.now.Add(min(minRenewalDelay<<min(s.unusedAdvice, 8), maxRenewalDelay))
	s.unusedAdvice++
}

const (
	// minRenewalDelay is the minimum time between two token requests of a gang for approved
	// workers. It doubles each time that the tokens expire unused, up to maxRenewalDelay, which
	// is three times the duration of the longest advisor call.
	minRenewalDelay = 300 * time.Millisecond
	maxRenewalDelay = 2500 * time.Millisecond
)

// fitsWhenEmpty reports whether the candidates could hold a gang if nothing else ran on them.
func (c *Scheduler) fitsWhenEmpty(s *step, indexes []int) bool {
	capacity := 0
	for _, i := range indexes {
		if c.candidateWorkers[i].info.HasLabel(s.def.Label) {
			capacity += cellplacer.MaxTasks(c.candidates[i].Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		}
	}
	return capacity >= len(s.tasks)
}

// chooseGangCandidates returns a candidate for each task of a gang, or nil. It prefers the
// workers of the last token request: free resources change all the time, and the requested tokens
// would be useless if the gang were then placed on other workers that fit better.
func (c *Scheduler) chooseGangCandidates(s *step, approved []int) []int {
	var requested []int
	for _, index := range approved {
		if slices.Contains(s.gangCandidates, c.candidates[index].Worker) {
			requested = append(requested, index)
		}
	}
	for _, indexes := range [][]int{requested, approved} {
		eligible := slices.Clone(c.eligibleCandidates(s, indexes))
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
		if needs.Fits(candidate.Free) && !s.isApproved(candidate.Worker) && !c.isRejected(s, i) {
			return true
		}
	}
	return false
}

// hasRoomForGang reports whether the candidates that are not rejected have room for a whole gang;
// without it, a call to the advisor is not worthwhile. It is always true for other steps, whose
// tasks can start one by one.
func (c *Scheduler) hasRoomForGang(s *step) bool {
	if !s.def.Gang {
		return true
	}
	unplaced := len(s.tasks)
	for i := range c.candidates {
		candidate := &c.candidates[i]
		if unplaced <= 0 {
			return true
		}
		if c.isRejected(s, i) {
			continue
		}
		unplaced -= cellplacer.MaxTasks(candidate.Free, s.def.Reservation(), s.def.MaxPerWorker)
	}
	return unplaced <= 0
}
