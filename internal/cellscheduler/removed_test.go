package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestRemovedWorkerIsNotSynced: a worker leaves the list while its last end is being written, and is removed. It comes
// back, the write is done, and the removed entry is synced again beside the new one. It acknowledged ends of runs on the
// new entry, whose own list was lost.
func TestRemovedWorkerIsNotSynced(t *testing.T) {
	// Either of the two entries may be answered first.
	for lost := range 2 {
		t.Run(fmt.Sprint("list ", lost, " is lost"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
					return 300 * time.Millisecond, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				env.relistDuringWrite(c)
				// The run begins and ends while both entries wait for an end.
				sleep(1100 * time.Millisecond)
				wantState(t, c, "first", steptracker.Completed)
				lists := 0
				env.withLock(func() {
					env.losesList = func() bool {
						lists++
						return lists == lost+1
					}
				})
				submit(t, c, job("second", "plain", step(1, 1000)))
				sleep(5 * time.Second)
				wantState(t, c, "second", steptracker.Completed)
			})
		})
	}
}

// TestRestartOfRelistedWorkerDoesNotEndOwnership: both the removed entry of a worker and the new one notice its restart
// and use tokens of their own. The refusal of the lower one was taken for a sign of another owner.
func TestRestartOfRelistedWorkerDoesNotEndOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 300 * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		env.relistDuringWrite(c)
		sleep(1100 * time.Millisecond)
		submit(t, c, job("second", "plain", step(1, 1000)))
		// Both entries have listed the end, and none has a sync in flight.
		sleep(250 * time.Millisecond)
		env.withLock(func() { env.commitDelay = 700 * time.Millisecond })
		sleep(150 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].restartUnnoticed() })
		sleep(5 * time.Second)
		env.withLock(func() {
			if env.ownershipLosses > 0 {
				t.Error("the only owner has taken its cell for lost")
			}
		})
	})
}

// TestWorkerRemovedDuringSyncIsNotSynced: a worker leaves the list while it is unreachable, and is removed. It comes back
// while the last sync for the removed entry is in flight, and that entry is synced on, beside the new one.
func TestWorkerRemovedDuringSyncIsNotSynced(t *testing.T) {
	for _, phase := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				env.withLock(func() { env.workers["w0"].unreachable, env.syncDelay = true, 800*time.Millisecond })
				sleep(8*time.Second + phase)
				c.UpdateWorkers(nil, []string{"w0"}, false)
				sleep(200 * time.Millisecond)
				env.withLock(func() { env.workers["w0"].unreachable = false })
				c.UpdateWorkers([]workerdriver.Worker{env.workers["w0"].info}, nil, false)
				sleep(time.Second)
				env.withLock(func() { env.syncDelay = 0 })
				sleep(5 * time.Second)
				env.withLock(func() {
					if env.maxWaitingSyncs > 1 {
						t.Errorf("%d syncs waited for an end on the worker at once", env.maxWaitingSyncs)
					}
				})
			})
		})
	}
}

// relistDuringWrite runs a job whose end is being written while its worker leaves the list and comes back.
func (env *testEnv) relistDuringWrite(c *cellscheduler.Scheduler) {
	submit(env.t, c, job("first", "plain", step(1, 1000)))
	blocked := make(chan struct{})
	env.withLock(func() { env.blocked = blocked })
	// The worker has listed the end; the store does not answer.
	sleep(1100 * time.Millisecond)
	c.UpdateWorkers(nil, []string{"w0"}, false)
	sleep(8 * time.Second)
	c.UpdateWorkers([]workerdriver.Worker{env.workers["w0"].info}, nil, false)
	sleep(500 * time.Millisecond)
	env.withLock(func() { env.blocked = nil })
	close(blocked)
}
