package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestNewOwnerRaisesTheShareOfThrottledRuns: a new owner takes a run that its predecessor has throttled for one at its
// full share, and leaves it without processor time.
func TestNewOwnerRaisesTheShareOfThrottledRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		serving, bestEffort := step(1, 2000), step(1, 8000)
		serving.LongRunning, serving.TailTarget, bestEffort.BestEffort = true, 100*time.Millisecond, true
		submit(t, c, job("serving", "plain", serving))
		submit(t, c, job("best-effort", "plain", bestEffort))
		sleep(2 * time.Second)
		servingTask := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "serving"}}
		bestEffortTask := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "best-effort"}}
		env.withLock(func() { env.metrics[servingTask] = 150 })
		sleep(2 * time.Second)
		env.withLock(func() {
			if percent, found := env.throttled[bestEffortTask]; !found || percent != 0 {
				t.Fatalf("the run has a share of %d %%, want 0", percent)
			}
			env.metrics[servingTask] = 30
		})
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
