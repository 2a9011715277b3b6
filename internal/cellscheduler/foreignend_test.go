package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestRunOfFormerOwnerIsNotRepeatedAfterItsEndIsListed: a former owner's late start reaches a worker that has restarted
// since it obeyed the owner. The owner lists and acknowledges the end as done, and starts the task's next run after it.
func TestRunOfFormerOwnerIsNotRepeatedAfterItsEndIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.judgesAcks, env.commitDelay = true, 500*time.Millisecond
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 300 * time.Millisecond, steptracker.Done
		}
		former := &fakeInstance{env: env, workers: env}
		c, stopFormer := former.start(1)
		defer stopFormer()
		sleep(100 * time.Millisecond)
		go func() { _, _ = c.Submit(t.Context(), job("j", "plain", step(1, 1000))) }()
		// The assignment of the first run is being written.
		sleep(750 * time.Millisecond)
		former.suspend(1500 * time.Millisecond)
		sleep(700 * time.Millisecond)
		blocked := make(chan struct{})
		env.withLock(func() { env.blocked = blocked })
		c, stop := (&fakeInstance{env: env, workers: env}).start(2)
		defer stop()
		sleep(200 * time.Millisecond)
		// The owner has listed the worker: the first run never ran. The assignment of the second one is not written.
		env.withLock(func() { env.workers["w0"].restartUnnoticed() })
		sleep(4 * time.Second)
		env.withLock(func() { env.blocked = nil })
		close(blocked)
		sleep(10 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
