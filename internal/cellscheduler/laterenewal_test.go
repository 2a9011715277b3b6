package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestLateSyncDoesNotExtendLeaseOfRestartedWorker: a sync that was not answered is carried out just after its worker has
// restarted. Its end of the lease is a reading of the former clock, so the worker grants the longest lease.
func TestLateSyncDoesNotExtendLeaseOfRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.keepIDs, env.judgesAcks, env.restartDelay = true, true, time.Second
		env.lease, env.maxLease = 3*time.Second, 6*time.Second
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 5 * time.Second, steptracker.Done
		}
		// The worker restarts at 12 s.
		const restartsAt = 12 * time.Second
		began := time.Now()
		env.unanswered = func(kind string) (time.Duration, bool) {
			sentAfter := time.Since(began)
			return restartsAt + time.Millisecond - sentAfter, kind == "sync" && sentAfter > 9*time.Second && sentAfter < restartsAt-time.Second
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(restartsAt - time.Second)
		env.withLock(func() { env.workers["w0"].crash() })
		sleep(1300 * time.Millisecond)
		submit(t, c, job("j", "plain", step(6, 1000)))
		sleep(50 * time.Millisecond)
		var cutOff *fakeWorker
		env.withLock(func() {
			cutOff = env.workers["w0"]
			cutOff.unreachable = true
		})
		sleep(4500 * time.Millisecond)
		env.withLock(func() { cutOff.unreachable = false })
		sleep(20 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
