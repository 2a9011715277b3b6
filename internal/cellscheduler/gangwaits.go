package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
)

// waitReason is why a gang with advice has not been placed.
type waitReason string

const (
	waitsForApproval     waitReason = "too few workers approved"
	waitsForRoom         waitReason = "no room on approved workers"
	waitsForTokens       waitReason = "placement tokens expired"
	waitsForReservations waitReason = "room reserved for other steps"
	waitsForFit          waitReason = "no placement fits"
)

// gangRoom is for how many tasks of a gang there is room, each figure under one more condition than the one
// before.
type gangRoom struct {
	tasks int
	// whenEmpty is the room on the approved workers if nothing ran there, free that beside their runs.
	whenEmpty, free int
	// withToken is the room on workers with valid placement tokens, unreserved that which no other step has reserved
	// or earmarked.
	withToken, unreserved int
}

// reason returns the first condition under which there is no room for the whole gang.
func (r gangRoom) reason() waitReason {
	for _, condition := range []struct {
		room   int
		reason waitReason
	}{
		{r.whenEmpty, waitsForApproval},
		{r.free, waitsForRoom},
		{r.withToken, waitsForTokens},
		{r.unreserved, waitsForReservations},
	} {
		if condition.room < r.tasks {
			return condition.reason
		}
	}
	return waitsForFit
}

// gangRoomOf returns the room for a gang, as it is when the gang is visited.
func (c *Scheduler) gangRoomOf(s *step) gangRoom {
	room := gangRoom{tasks: len(s.tasks)}
	needs, limit := s.def.Reservation(), s.def.MaxPerWorker
	for _, index := range c.approvedCandidates(s, false) {
		candidate, w := &c.candidates[index], c.candidateWorkers[index]
		if !c.isEligible(s, index) {
			continue
		}
		room.whenEmpty += cellplacer.MaxTasks(candidate.Capacity, needs, limit)
		free := cellplacer.MaxTasks(w.free(), needs, limit)
		room.free += free
		if !c.now.Before(s.approved[candidate.Worker].expiresAt) {
			continue
		}
		room.withToken += free
		room.unreserved += cellplacer.MaxTasks(candidate.Available(), needs, limit)
	}
	return room
}

// waitLogInterval is the time between two log lines about a gang that waits without an answer of the advisor.
const waitLogInterval = 3 * time.Second

// logGangWait logs why a gang has not been placed: after each answer of the advisor, and from time to time.
func (c *Scheduler) logGangWait(s *step) {
	if !s.def.Gang || !s.placeable() || s.renewalsInFlight > 0 || c.advisorOf(s.job) == nil || !s.answered && c.now.Sub(later(s.waitLoggedAt, s.pendingSince)) < waitLogInterval {
		return
	}
	s.waitLoggedAt = c.now
	room := c.gangRoomOf(s)
	reason := room.reason()
	c.Metrics.GangWaits(string(reason))
	c.Log.Info("gang waits", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step, "reason", reason, "tasks", room.tasks,
		"room-when-empty", room.whenEmpty, "room-free", room.free, "room-with-token", room.withToken, "room-unreserved", room.unreserved,
		"reserved", s.reservedTasks(), "tier", s.tier, "answered", s.answered, "renewed", s.renewed, "in-flight", s.adviceInFlight, "waited-ms", c.now.Sub(s.pendingSince).Milliseconds())
}

// reservedTasks returns for how many tasks the step has room reserved.
func (s *step) reservedTasks() int {
	count := 0
	for _, tasks := range s.reserved {
		count += tasks
	}
	return count
}
