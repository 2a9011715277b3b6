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

// reserveNominees reserves room for one task on each worker named in a short advisor call, whose
// answer arrives within a fraction of the tasks' run time. It reserves nothing for long calls or for
// gangs.
func (c *Scheduler) reserveNominees(s *step, advisor *configprovider.AdvisorSettings, workers []string) {
	if s.def.Gang || advicerouter.IsLong(advisor.Latency(len(workers))) {
		return
	}
	s.reserved = make(map[string]int, len(workers))
	for _, id := range workers {
		s.reserved[id] = 1
	}
}

// applyReservations subtracts the reservations of all pending steps that can meet their target from the
// candidates of a new round.
func (c *Scheduler) applyReservations() {
	c.lateReservations = c.lateReservations[:0]
	for _, s := range c.pendingSteps {
		s.reservedInRound = nil
		if s.reserved == nil {
			continue
		}
		late := c.rank(s).Tier > prioritizer.TierOnTime
		switch {
		case !c.keepsReservation(s, late):
			s.reserved = nil
		case c.shares.yielding && s.job.beyondShare:
		case late:
			c.lateReservations = append(c.lateReservations, s)
		default:
			c.applyReservation(s)
		}
	}
}

// applyLateReservations subtracts the reservations of late steps, once in a round. Steps that can still meet their
// target come before them and may take that room.
func (c *Scheduler) applyLateReservations() {
	for _, s := range c.lateReservations {
		c.applyReservation(s)
	}
	c.lateReservations = c.lateReservations[:0]
}

// keepsReservation reports whether a step's reservation remains in force. Its advisor call must be in flight. A
// gang also keeps its reservation while it has valid placement tokens, because the rest of its room becomes free
// gradually. Of the late steps only gangs keep one: room for all of their tasks at once is rare.
func (c *Scheduler) keepsReservation(s *step, late bool) bool {
	if late && !s.def.Gang {
		return false
	}
	return s.adviceInFlight || s.def.Gang && c.hasValidToken(s)
}

// applyReservation subtracts a step's reservation from the candidates, as far as they have free
// resources.
func (c *Scheduler) applyReservation(s *step) {
	if s.reserved == nil {
		return
	}
	s.reservedInRound = make(map[string]int, len(s.reserved))
	for id, count := range s.reserved {
		if w := c.workers[id]; w != nil && w.candidateIndex >= 0 {
			candidate := &c.candidates[w.candidateIndex]
			s.reservedInRound[id] = min(count, cellplacer.MaxTasks(candidate.Free, s.def.Reservation(), 0))
			candidate.Free = candidate.Free.Minus(s.def.Reservation().Times(s.reservedInRound[id]))
		}
	}
}

// returnReservation adds a step's reservation back to the candidates before the step itself is
// placed.
func (c *Scheduler) returnReservation(s *step) {
	for id, count := range s.reservedInRound {
		candidate := &c.candidates[c.workers[id].candidateIndex]
		candidate.Free = candidate.Free.Plus(s.def.Reservation().Times(count))
	}
	s.reservedInRound = nil
}

// hasValidToken reports whether a step has a valid placement token for any worker.
func (c *Scheduler) hasValidToken(s *step) bool {
	for _, granted := range s.approved {
		if c.now.Before(granted.expiresAt) {
			return true
		}
	}
	return false
}

const (
	// maxShortTask is the longest duration of a task that may use workers reserved for a gang. Such
	// a task ends before the gang has all of its room.
	maxShortTask = time.Second
	// gangReservationDivisor limits the workers reserved for gangs to this fraction of the
	// candidates. Tasks of lower priority need the other workers.
	gangReservationDivisor = 10
)

// reserveWorkersForGang reserves the approved workers with the most free processors for a gang,
// as many as it needs when they are empty.
func (c *Scheduler) reserveWorkersForGang(s *step, approved []int) {
	slices.SortStableFunc(approved, func(a, b int) int {
		return cmp.Compare(c.candidates[b].Free.Processors, c.candidates[a].Free.Processors)
	})
	needed := len(s.tasks)
	for _, index := range approved {
		if needed <= 0 || c.reservedForGangs >= len(c.candidates)/gangReservationDivisor {
			return
		}
		needed -= cellplacer.MaxTasks(c.candidates[index].Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		if !c.candidates[index].ReservedForGang {
			c.candidates[index].ReservedForGang = true
			c.reservedForGangs++
		}
	}
}
