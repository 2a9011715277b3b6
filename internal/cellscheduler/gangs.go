package cellscheduler

import (
	"maps"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
)

// tryKnown deals with a gang whose good workers are known from earlier advice: it is placed if their
// room suffices and tickets hold, and otherwise the room is kept for it while new tickets come or
// more room comes free. It reports false if the good workers could never hold the gang, or others with
// room have yet to be asked about.
func (c *Scheduler) tryKnown(s *step, queue *configprovider.Queue) bool {
	if c.assign(s, c.sitesFor(s, c.goodSites(s, true))) {
		return true
	}
	known := c.goodSites(s, false)
	if !c.couldHold(s, known) {
		return false
	}
	chosen := c.together(s, known)
	if len(chosen) == 0 {
		explored := !c.unexplored(s)
		c.holdWorkers(s, known)
		return explored
	}
	s.kept = make(map[string]int)
	for _, site := range chosen {
		s.kept[c.candidates[site].Worker]++
	}
	if c.mayAsk(s, queue) {
		c.askAgain(s, queue)
	}
	return true
}

// askAgain asks for tickets for the workers that a gang is to go to.
func (c *Scheduler) askAgain(s *step, queue *configprovider.Queue) {
	s.named = slices.Sorted(maps.Keys(s.kept))
	if !c.askAbout(s, queue, s.named) {
		return
	}
	// Tickets that come to nothing cost the advisor as much as others.
	s.askAfter = c.now.Add(min(unusedPause<<min(s.unused, 8), longestPause))
	s.unused++
}

const (
	// unusedPause is the least time between two questions of a gang about workers known to be good; it
	// doubles each time that the tickets came to nothing, up to longestPause, which is three times the
	// longest call.
	unusedPause  = 300 * time.Millisecond
	longestPause = 2500 * time.Millisecond
)

// couldHold tells whether some sites could take a gang if nothing else ran there.
func (c *Scheduler) couldHold(s *step, sites []int) bool {
	most := 0
	for _, i := range sites {
		if site := &c.candidates[i]; c.workers[site.Worker].info.HasLabel(s.def.Label) {
			most += cellplacer.MaxTasks(site.Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		}
	}
	return most >= len(s.tasks)
}

// together returns a site for each task of a gang, or none. While its advice is on the way it stays with
// the workers that were asked about: room changes all the time, and tickets for other workers than those
// that fit best by now are no use.
func (c *Scheduler) together(s *step, known []int) []int {
	var named []int
	for _, site := range known {
		if slices.Contains(s.named, c.candidates[site].Worker) {
			named = append(named, site)
		}
	}
	for _, among := range [][]int{named, known} {
		sites := slices.Clone(c.sitesFor(s, among))
		places := cellplacer.Place(sites, cellplacer.Request{Step: s.def, Tasks: len(s.tasks), AllOrNothing: true})
		for i := range places {
			places[i] = c.workers[sites[places[i]].Worker].site
		}
		if len(places) > 0 {
			return places
		}
	}
	return nil
}

// unexplored tells whether some worker with room has not been asked about.
func (c *Scheduler) unexplored(s *step) bool {
	needs := s.def.Reservation()
	for i := range c.candidates {
		site := &c.candidates[i]
		if needs.Fits(site.Free) && !s.isGood(site.Worker) && !c.isRejected(s, site) {
			return true
		}
	}
	return false
}

// hasRoom tells whether the workers that may be good have room for a gang, so that asking is worth the
// time. Other tasks can start one by one.
func (c *Scheduler) hasRoom(s *step) bool {
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
