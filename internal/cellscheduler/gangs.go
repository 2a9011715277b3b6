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
func (c *Scheduler) placeApprovedGang(s *step, queue *configprovider.Queue) bool {
	if c.assign(s, c.eligibleCandidates(s, c.approvedCandidates(s, true))) {
		return true
	}
	known := c.approvedCandidates(s, false)
	if !c.fitsWhenEmpty(s, known) {
		return false
	}
	chosen := c.chooseGangCandidates(s, known)
	if len(chosen) == 0 {
		explored := !c.hasUnaskedCandidates(s)
		c.reserveWorkersForGang(s, known)
		return explored
	}
	s.reserved = make(map[string]int)
	for _, site := range chosen {
		s.reserved[c.candidates[site].Worker]++
	}
	if c.canRequestAdvice(s, queue) {
		c.renewTokens(s, queue)
	}
	return true
}

// renewTokens requests new placement tokens for the workers on which the gang has reserved room.
func (c *Scheduler) renewTokens(s *step, queue *configprovider.Queue) {
	s.gangCandidates = slices.Sorted(maps.Keys(s.reserved))
	if !c.requestAdvice(s, queue, s.gangCandidates) {
		return
	}
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
func (c *Scheduler) fitsWhenEmpty(s *step, sites []int) bool {
	most := 0
	for _, i := range sites {
		if site := &c.candidates[i]; c.workers[site.Worker].info.HasLabel(s.def.Label) {
			most += cellplacer.MaxTasks(site.Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		}
	}
	return most >= len(s.tasks)
}

// chooseGangCandidates returns a candidate for each task of a gang, or nil. It prefers the
// workers of the last token request: free resources change all the time, and the requested tokens
// are useless if by then the gang is to go to other workers that fit better.
func (c *Scheduler) chooseGangCandidates(s *step, known []int) []int {
	var named []int
	for _, site := range known {
		if slices.Contains(s.gangCandidates, c.candidates[site].Worker) {
			named = append(named, site)
		}
	}
	for _, among := range [][]int{named, known} {
		sites := slices.Clone(c.eligibleCandidates(s, among))
		places := cellplacer.Place(sites, cellplacer.Request{Step: s.def, Tasks: len(s.tasks), AllOrNothing: true})
		for i := range places {
			places[i] = c.workers[sites[places[i]].Worker].candidateIndex
		}
		if len(places) > 0 {
			return places
		}
	}
	return nil
}

// hasUnaskedCandidates reports whether some candidate with room has not been named to the
// advisor.
func (c *Scheduler) hasUnaskedCandidates(s *step) bool {
	needs := s.def.Reservation()
	for i := range c.candidates {
		site := &c.candidates[i]
		if needs.Fits(site.Free) && !s.isApproved(site.Worker) && !c.isRejected(s, site) {
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
	missing := len(s.tasks)
	for i := range c.candidates {
		site := &c.candidates[i]
		if missing <= 0 {
			return true
		}
		if c.isRejected(s, site) {
			continue
		}
		missing -= cellplacer.MaxTasks(site.Free, s.def.Reservation(), s.def.MaxPerWorker)
	}
	return missing <= 0
}
