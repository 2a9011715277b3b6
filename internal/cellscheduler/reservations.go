package cellscheduler

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
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

// applyReservations subtracts the reservations of all pending steps from the candidates of a new round, in order
// of rank, so that the room which has become too small for all of them is missing to the lowest. What late steps
// reserve is soft: steps on time come before them and may take it where nothing else is left.
func (c *Scheduler) applyReservations(ranked []*step) {
	c.lateReservations = c.lateReservations[:0]
	for _, s := range ranked {
		s.reservedInRound = nil
		late := s.tier > prioritizer.TierOnTime
		switch {
		case s.reserved == nil:
		case !c.keepsReservation(s, late):
			s.reserved = nil
		case c.shares.yielding && s.job.beyondShare:
		case late:
			c.lateReservations = append(c.lateReservations, s)
		default:
			c.applyReservation(s)
		}
	}
	for _, s := range c.lateReservations {
		c.softReserve(s)
	}
}

// softReserve holds the room that a late step reserves from the candidates.
func (c *Scheduler) softReserve(s *step) {
	for id, count := range s.reserved {
		if w := c.workers[id]; w != nil && w.candidateIndex >= 0 {
			candidate := &c.candidates[w.candidateIndex]
			room := s.def.Reservation().Times(min(count, cellplacer.MaxTasks(candidate.Free, s.def.Reservation(), 0)))
			candidate.Free, candidate.SoftReserved = candidate.Free.Minus(room), candidate.SoftReserved.Plus(room)
		}
	}
}

// applyLateReservations takes the room that late steps reserve from all other steps, as far as steps on time have
// left it, once in a round.
func (c *Scheduler) applyLateReservations() {
	if len(c.lateReservations) == 0 {
		return
	}
	for i := range c.candidates {
		candidate := &c.candidates[i]
		candidate.Free, candidate.SoftReserved = candidate.Available(), modeler.Resources{}
	}
	for _, s := range c.lateReservations {
		c.applyReservation(s)
	}
	c.lateReservations = c.lateReservations[:0]
}

// keepsReservation reports whether a step's reservation remains in force. Its advisor call must be in flight. A
// gang also keeps its reservation while it has valid placement tokens, until it is visited again. Of the late steps only
// gangs keep one: room for all of their tasks at once is rare.
func (c *Scheduler) keepsReservation(s *step, late bool) bool {
	if s.def.Gang {
		return s.renewalsInFlight > 0 || c.hasValidToken(s)
	}
	return !late && s.adviceInFlight
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
			s.reservedInRound[id] = min(count, cellplacer.MaxTasks(candidate.Available(), s.def.Reservation(), 0))
			candidate.Take(s.def.Reservation().Times(s.reservedInRound[id]))
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

// earmarkDivisor limits the room that incomplete gangs earmark to this fraction of the cell, apart from what the first of
// them earmarks. Steps of lower rank need the other room meanwhile.
const earmarkDivisor = 10

// earmarkRoom keeps the free room on approved workers from steps of lower rank for the rest of the round, for a gang for
// which it is too small. Because room is earmarked anew in each round, in order of rank, and a reservation always covers
// its gang whole, no gang waits for one that waits for it: the first incomplete gang gets all room that becomes free
// on its workers and is not taken by steps of higher rank. It gets nothing if the runs that end within the duration of its own
// run do not leave enough room, so that it does not keep room idle that it can't complete.
func (c *Scheduler) earmarkRoom(s *step) {
	earmarks := s.earmarks
	s.earmarks = nil
	first := c.earmarkers == 0
	if len(earmarks) == 0 || first && !c.expectsRoom(s, earmarks) {
		return
	}
	c.earmarkers++
	needs, left := s.def.Reservation(), len(s.tasks)
	for _, index := range earmarks {
		if left <= 0 || !first && c.earmarked.DominantShare(c.capacity) >= 1.0/earmarkDivisor {
			return
		}
		if !c.isEligible(s, index) {
			continue
		}
		candidate := &c.candidates[index]
		count := min(left, cellplacer.MaxTasks(candidate.Free, needs, s.def.MaxPerWorker))
		room := needs.Times(count)
		candidate.Free, c.earmarked = candidate.Free.Minus(room), c.earmarked.Plus(room)
		left -= count
	}
}

// expectsRoom reports whether candidates are expected to have room for all tasks of a gang within the duration of its run.
func (c *Scheduler) expectsRoom(s *step, indexes []int) bool {
	at := c.now.Add(c.expectedDuration(s.job, s.key.Step))
	room := 0
	for _, index := range indexes {
		if !c.isEligible(s, index) {
			continue
		}
		if room += cellplacer.MaxTasks(c.expectedFree(index, at), s.def.Reservation(), s.def.MaxPerWorker); room >= len(s.tasks) {
			return true
		}
	}
	return false
}

// rackToEarmark returns those of the candidates on which a gang may earmark room: of a gang that must be on one rack, those of
// the rack with the most free room among the racks that can hold it.
func (c *Scheduler) rackToEarmark(s *step, indexes []int) []int {
	if !s.def.SameRack {
		return indexes
	}
	free, whenEmpty := make(map[string]int), make(map[string]int)
	for _, index := range indexes {
		if candidate := &c.candidates[index]; c.isEligible(s, index) {
			free[candidate.Rack] += cellplacer.MaxTasks(candidate.Available(), s.def.Reservation(), s.def.MaxPerWorker)
			whenEmpty[candidate.Rack] += cellplacer.MaxTasks(candidate.Capacity, s.def.Reservation(), s.def.MaxPerWorker)
		}
	}
	best := ""
	for rack, room := range whenEmpty {
		if room >= len(s.tasks) && (best == "" || free[rack] > free[best] || free[rack] == free[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return indexes
	}
	return slices.DeleteFunc(slices.Clone(indexes), func(index int) bool { return c.candidates[index].Rack != best })
}
