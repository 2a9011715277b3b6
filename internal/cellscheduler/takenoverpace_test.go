package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNewOwnerRaisesTheShareOfThrottledRuns: a new owner takes a run that its predecessor has throttled for one at its
// full share, and leaves it without processor time.
func TestNewOwnerRaisesTheShareOfThrottledRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		stop := env.throttleBestEffortTask()
		stop()
		_, stop = env.startScheduler(2)
		defer stop()
		sleep(30 * time.Second)
		env.withLock(func() {
			if percent := env.throttled[bestEffortTask]; percent < 50 {
				t.Errorf("the run has a share of %d %% under the new owner, want at least 50", percent)
			}
		})
	})
}
