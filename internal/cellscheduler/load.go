package cellscheduler

import "time"

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
