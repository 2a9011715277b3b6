package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestListMadeBeforeStartOnRestartedWorkerProvesNothing: a worker restarts while an assignment to it is being written. The
// list that shows the restart was made before the start order arrived, and its answer comes after that of the order.
// The run was taken for lost with the former incarnation, and started again.
func TestListMadeBeforeStartOnRestartedWorkerProvesNothing(t *testing.T) {
	for crashAt := 240 * time.Millisecond; crashAt < 360*time.Millisecond; crashAt += 5 * time.Millisecond {
		t.Run(fmt.Sprint(crashAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.keepIDs, env.restartDelay, env.listDelay, env.syncReplyDelay = true, 50*time.Millisecond, 2*time.Second, 100*time.Millisecond
				env.outcome = func(_ *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
					if worker == "w0" {
						return 150 * time.Millisecond, steptracker.Done
					}
					return 50 * time.Millisecond, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(time.Second)
				env.withLock(func() { env.commitDelay = 300 * time.Millisecond })
				go func() { _, _ = c.Submit(t.Context(), job("j", "plain", step(2, 4000))) }()
				sleep(crashAt)
				env.withLock(func() { env.workers["w0"].crash() })
				sleep(10 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}
