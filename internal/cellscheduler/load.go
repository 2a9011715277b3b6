package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// loadInterval is the time between two log lines about the load of the control goroutine.
const loadInterval = time.Second

// load counts what the control goroutine has done since the last log line about it. Times are wall time: they
// contain what other goroutines and other processes have taken of the processor meanwhile.
type load struct {
	since            time.Time
	messages, rounds int
	visited          int
	longestMailbox   int
	// collecting and ranking are the parts of rounds that don't depend on how many steps are visited.
	handling, collecting, ranking, visiting, committing time.Duration
}

// logRoom logs for what the room of the cell is used at the end of a round, once in an interval while gangs wait.
func (c *Scheduler) logRoom(ranked []*step) {
	if c.now.Sub(c.roomLoggedAt) < loadInterval {
		return
	}
	gangs, reserving := 0, 0
	var reserved, free, left, wanted modeler.Processors
	for _, s := range ranked {
		needs := s.def.Reservation().Processors
		if c.pendingSteps[s.key] != s {
			continue
		}
		wanted += needs * modeler.Processors(s.unassigned())
		reserved += needs * modeler.Processors(s.reservedTasks())
		if s.def.Gang {
			gangs++
		}
		if s.def.Gang && s.reserved != nil {
			reserving++
		}
	}
	if gangs == 0 {
		return
	}
	c.roomLoggedAt = c.now
	for i := range c.candidates {
		left += c.candidates[i].Free.Processors
		free += c.candidateWorkers[i].free().Processors
	}
	c.Log.Info("room", "cell", c.claim.Cell, "processors", c.capacity.Processors.Number(), "free", free.Number(), "reserved", reserved.Number(), "earmarked", c.earmarked.Processors.Number(),
		"left", left.Number(), "wanted", wanted.Number(), "pending", len(c.pendingSteps), "gangs", gangs, "gangs-reserving", reserving)
}

// logLoad logs the load of the last interval, unless the control goroutine was idle for most of it.
func (c *Scheduler) logLoad() {
	l := &c.load
	elapsed := c.now.Sub(l.since)
	if elapsed < loadInterval {
		return
	}
	busy := l.handling + l.collecting + l.ranking + l.visiting + l.committing
	if busy > elapsed/busyDivisor {
		c.Log.Info("control goroutine busy", "cell", c.claim.Cell, "elapsed-ms", elapsed.Milliseconds(), "messages", l.messages, "longest-mailbox", l.longestMailbox,
			"handling-ms", l.handling.Milliseconds(), "rounds", l.rounds, "pending", len(c.pendingSteps), "visited", l.visited, "collecting-ms", l.collecting.Milliseconds(),
			"ranking-ms", l.ranking.Milliseconds(), "visiting-ms", l.visiting.Milliseconds(), "committing-ms", l.committing.Milliseconds())
	}
	*l = load{since: c.now}
}

// busyDivisor is the fraction of an interval from which on its load is logged.
const busyDivisor = 10
