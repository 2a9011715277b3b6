package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestFirstSyncAfterRestartDoesNotExtendLeaseTooFar: the lease is over when a worker restarts, and the list names that
// later. The first sync ends the lease by the former clock, so the worker grants the longest lease.
func TestFirstSyncAfterRestartDoesNotExtendLeaseTooFar(t *testing.T) {
	for _, test := range []struct {
		name     string
		duration time.Duration
	}{
		{"the first run goes on", 5 * time.Second},
		{"the first run is done and acknowledged", 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.keepIDs, env.judgesAcks, env.restartDelay, env.listDelay = true, true, 4*time.Second, 1200*time.Millisecond
				env.lease, env.maxLease = 3*time.Second, 6*time.Second
				env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
					switch {
					case start.Task.Job == "first" && start.Run == 1:
						return time.Minute, steptracker.Done
					case start.Task.Job == "second" && worker == "w0":
						return test.duration, steptracker.Done
					default:
						return 500 * time.Millisecond, steptracker.Done
					}
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(10 * time.Second)
				submit(t, c, job("first", "plain", step(6, 1000)))
				sleep(100 * time.Millisecond)
				env.withLock(func() { env.workers["w0"].crash() })
				sleep(4700 * time.Millisecond)
				submit(t, c, job("second", "plain", step(4, 1000)))
				sleep(100 * time.Millisecond)
				var cutOff *fakeWorker
				env.withLock(func() {
					cutOff = env.workers["w0"]
					cutOff.unreachable = true
				})
				sleep(4500 * time.Millisecond)
				env.withLock(func() { cutOff.unreachable = false })
				sleep(20 * time.Second)
				wantState(t, c, "second", steptracker.Completed)
			})
		})
	}
}
