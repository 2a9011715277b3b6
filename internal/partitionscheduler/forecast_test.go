package partitionscheduler

import (
	"testing"
	"time"
)

func TestForecastTurnsAwayOnlyWhatIsHopeless(t *testing.T) {
	seconds := func(ended, queued int, count int, f *forecast) {
		for range count {
			f.ended = ended
			f.tick(queued)
		}
	}
	for _, c := range []struct {
		name     string
		teach    func(f *forecast)
		queued   int
		deadline time.Duration
		want     bool
	}{
		{"nothing known yet", func(*forecast) {}, 10000, time.Second, false},
		{"idle: ends show the demand, not the slots", func(f *forecast) { seconds(3, 0, 10, f) }, 10, time.Second, false},
		{"busy, within the deadline", func(f *forecast) { seconds(160, 500, 10, f) }, 300, 2 * time.Second, false},
		{"busy, a little over it", func(f *forecast) { seconds(160, 500, 10, f) }, 380, 2 * time.Second, false},
		{"busy, far over it", func(f *forecast) { seconds(160, 500, 10, f) }, 450, 2 * time.Second, true},
		{"no deadline", func(f *forecast) { seconds(160, 500, 10, f) }, 100000, 0, false},
		{"nothing ends at all", func(f *forecast) { seconds(0, 500, 10, f) }, 500, time.Second, false},
		{"the storm is over", func(f *forecast) { seconds(160, 500, 10, f); seconds(100, 0, 1, f) }, 450, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &forecast{}
			c.teach(f)
			if got := f.isHopeless(c.queued, c.deadline); got != c.want {
				t.Errorf("hopeless %t, want %t", got, c.want)
			}
		})
	}
}
