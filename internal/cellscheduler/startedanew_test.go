package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestRestartBeforeStartIsNotAttributedToItsTask: a worker restarts at once just before it carries out a start. The run
// goes on, but the restart counted as a crash by its task, and the job was given up after one real crash.
func TestRestartBeforeStartIsNotAttributedToItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.keepIDs = true
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Run == 1 {
				return 500 * time.Millisecond, workerCrash
			}
			return time.Second, steptracker.Done
		}
		starts := 0
		env.unanswered = func(kind string) (time.Duration, bool) {
			if kind != "start" {
				return 0, false
			}
			if starts++; starts == 2 {
				for _, worker := range env.workers {
					if !worker.crashed {
						worker.restartUnnoticed()
					}
				}
			}
			return 0, false
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(10 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
