package cellscheduler

import (
	"cmp"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
)

// keepNamed keeps room for one task on each worker that a short call named: its answer comes within
// a fraction of the time that the tasks take.
func (c *Scheduler) keepNamed(s *step, queue *configprovider.Queue, named []string) {
	if s.def.Gang || advicerouter.IsLong(queue.Advisor.Latency(len(named))) {
		return
	}
	s.kept = make(map[string]int, len(named))
	for _, id := range named {
		s.kept[id] = 1
	}
}

// keepRooms takes the room that is kept out of a new survey.
func (c *Scheduler) keepRooms() {
	for _, s := range c.pendingSteps {
		s.taken = nil
		if !c.keeps(s) {
			s.kept = nil
		}
		c.takeKept(s)
	}
}

// keeps tells whether a step goes on keeping room: one that can still be in time, while its advice is on
// the way. A gang keeps it while tickets hold, because the rest of its room comes free one by one.
func (c *Scheduler) keeps(s *step) bool {
	if s.kept == nil || c.rank(s).Tier > prioritizer.TierOnTime {
		return false
	}
	return s.asking || s.def.Gang && c.holdsTickets(s)
}

// takeKept takes the room that a step keeps out of the survey. Whatever came to lack room meanwhile is not
// kept.
func (c *Scheduler) takeKept(s *step) {
	if s.kept == nil {
		return
	}
	s.taken = make(map[string]int, len(s.kept))
	for id, count := range s.kept {
		if w := c.workers[id]; w != nil && w.site >= 0 {
			site := &c.candidates[w.site]
			s.taken[id] = min(count, cellplacer.MaxTasks(site.Free, s.def.Reservation(), 0))
			site.Free = site.Free.Minus(s.def.Reservation().Times(s.taken[id]))
		}
	}
}

// giveBackKept puts the room that a step keeps back into the survey: it is its turn.
func (c *Scheduler) giveBackKept(s *step) {
	for id, count := range s.taken {
		site := &c.candidates[c.workers[id].site]
		site.Free = site.Free.Plus(s.def.Reservation().Times(count))
	}
	s.taken = nil
}

// holdsTickets tells whether any ticket of a step still holds.
func (c *Scheduler) holdsTickets(s *step) bool {
	for _, good := range s.good {
		if c.now.Before(good.until) {
			return true
		}
	}
	return false
}

const (
	// shortWork is how long a task may take that uses workers held for a gang: it is over before the gang
	// has all of its places.
	shortWork = time.Second
	// heldShare is the inverse of the share of workers that is held for gangs at most. Work of lower
	// priority needs the others.
	heldShare = 10
)

// holdWorkers holds the good workers with the most room for a gang, as many as it needs when they are
// empty.
func (c *Scheduler) holdWorkers(s *step, known []int) {
	slices.SortStableFunc(known, func(a, b int) int {
		return cmp.Compare(c.candidates[b].Free.Processors, c.candidates[a].Free.Processors)
	})
	needed := len(s.tasks)
	for _, site := range known {
		if needed <= 0 || c.reservedForGangs >= len(c.candidates)/heldShare {
			return
		}
		needed -= cellplacer.MaxTasks(c.candidates[site].Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		if !c.candidates[site].ReservedForGang {
			c.candidates[site].ReservedForGang = true
			c.reservedForGangs++
		}
	}
}
