package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// TestLateStartIsNotCarriedOutByWorkerThatWasReplaced: another worker answers at the address of one that has left the list.
// Its entry is removed at once, with the start orders that may still be carried out, and the worker comes back under its ID.
func TestLateStartIsNotCarriedOutByWorkerThatWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.keepIDs, env.restartDelay = true, 7*time.Second
		key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submittedAt := time.Now()
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) {
				return 11 * time.Second, kind == "start" && time.Since(submittedAt) < 40*time.Millisecond
			}
		})
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(2500 * time.Millisecond)
		wantState(t, c, "j", steptracker.Completed)
		left := ""
		env.withLock(func() {
			env.syncDelay = 300 * time.Millisecond
			for id, worker := range env.workers {
				if worker.refusedRuns[key] == 1 {
					left = id
					worker.crash()
					worker.replaced = true
				}
			}
		})
		if left == "" {
			t.Fatal("no worker has refused the first run")
		}
		sleep(200 * time.Millisecond)
		c.UpdateWorkers(nil, []string{left}, false)
		sleep(13 * time.Second)
	})
}
