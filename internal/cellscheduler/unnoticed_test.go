package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestAcknowledgementDoesNotReachUnnoticedIncarnation: a worker restarts while no sync is in flight. The new incarnation
// carries out a start order, and the next sync, which is not late, acknowledges its end by the former incarnation's count.
func TestAcknowledgementDoesNotReachUnnoticedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "short" {
				return 200 * time.Millisecond, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("first", "plain", step(3, 1000)))
		sleep(2 * time.Second)
		submit(t, c, job("second", "plain", step(1, 1000)))
		sleep(650 * time.Millisecond)
		env.withLock(func() { env.commitDelay = 700 * time.Millisecond })
		// The state below shows whether the job was accepted.
		go func() { _, _ = c.Submit(t.Context(), job("short", "plain", step(1, 1000))) }()
		// The second job has ended, and no list is requested while its end is being written.
		sleep(450 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].restartUnnoticed() })
		sleep(5 * time.Second)
		wantState(t, c, "short", steptracker.Completed)
	})
}
