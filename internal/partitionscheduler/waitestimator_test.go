package partitionscheduler

import (
	"testing"
	"time"
)

func TestWaitEstimatorRejectsOnlyMissedDeadlines(t *testing.T) {
	tickSeconds := func(ended, queued int, count int, e *waitEstimator) {
		for range count {
			e.endedThisSecond = ended
			e.tick(queued)
		}
	}
	for _, c := range []struct {
		name     string
		observe  func(e *waitEstimator)
		queued   int
		deadline time.Duration
		want     bool
	}{
		{"no data yet", func(*waitEstimator) {}, 10000, time.Second, false},
		{"no backlog: the rate shows the demand, not the throughput of the slots", func(e *waitEstimator) { tickSeconds(3, 0, 10, e) }, 10, time.Second, false},
		{"backlog, within the deadline", func(e *waitEstimator) { tickSeconds(160, 500, 10, e) }, 300, 2 * time.Second, false},
		{"backlog, slightly over the deadline", func(e *waitEstimator) { tickSeconds(160, 500, 10, e) }, 380, 2 * time.Second, false},
		{"backlog, far over the deadline", func(e *waitEstimator) { tickSeconds(160, 500, 10, e) }, 450, 2 * time.Second, true},
		{"no deadline", func(e *waitEstimator) { tickSeconds(160, 500, 10, e) }, 100000, 0, false},
		{"no request ends", func(e *waitEstimator) { tickSeconds(0, 500, 10, e) }, 500, time.Second, false},
		{"the backlog is gone", func(e *waitEstimator) { tickSeconds(160, 500, 10, e); tickSeconds(100, 0, 1, e) }, 450, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &waitEstimator{}
			c.observe(e)
			if got := e.missesDeadline(c.queued, c.deadline); got != c.want {
				t.Errorf("missesDeadline returned %t, want %t", got, c.want)
			}
		})
	}
}
