package partitionscheduler

import (
	"testing"
	"time"
)

func TestWaitEstimatorRejectsOnlyMissedDeadlines(t *testing.T) {
	seconds := func(ended, queued int, count int, f *waitEstimator) {
		for range count {
			f.ended = ended
			f.tick(queued)
		}
	}
	for _, c := range []struct {
		name     string
		observe  func(f *waitEstimator)
		queued   int
		deadline time.Duration
		want     bool
	}{
		{"nothing known yet", func(*waitEstimator) {}, 10000, time.Second, false},
		{"idle: ends show the demand, not the slots", func(f *waitEstimator) { seconds(3, 0, 10, f) }, 10, time.Second, false},
		{"busy, within the deadline", func(f *waitEstimator) { seconds(160, 500, 10, f) }, 300, 2 * time.Second, false},
		{"busy, a little over it", func(f *waitEstimator) { seconds(160, 500, 10, f) }, 380, 2 * time.Second, false},
		{"busy, far over it", func(f *waitEstimator) { seconds(160, 500, 10, f) }, 450, 2 * time.Second, true},
		{"no deadline", func(f *waitEstimator) { seconds(160, 500, 10, f) }, 100000, 0, false},
		{"nothing ends at all", func(f *waitEstimator) { seconds(0, 500, 10, f) }, 500, time.Second, false},
		{"the storm is over", func(f *waitEstimator) { seconds(160, 500, 10, f); seconds(100, 0, 1, f) }, 450, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &waitEstimator{}
			c.observe(f)
			if got := f.missesDeadline(c.queued, c.deadline); got != c.want {
				t.Errorf("hopeless %t, want %t", got, c.want)
			}
		})
	}
}
