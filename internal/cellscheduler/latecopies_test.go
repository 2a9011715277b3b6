package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestLateCopyOnUnlistedIncarnationIsNotTakenForOver: one copy of a start order is answered, the other is carried out by an
// incarnation that has not been listed, with the longest lease, and the worker's replies are lost.
func TestLateCopyOnUnlistedIncarnationIsNotTakenForOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.judgesAcks = true
		env.lease, env.maxLease = 3*time.Second, 6*time.Second
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 5500 * time.Millisecond, steptracker.Done
		}
		cutOff := make(map[string]bool)
		network := &faultyNetwork{WorkerClient: env, replyLost: func(worker string) (lost bool) {
			env.withLock(func() { lost = cutOff[worker] })
			return lost
		}}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(network) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(10 * time.Second)
		copies := 0
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) {
				if kind != "start" {
					return 0, false
				}
				copies++
				return time.Second, copies == 1
			}
		})
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(800 * time.Millisecond)
		env.withLock(func() {
			for id, worker := range env.workers {
				if len(worker.running) > 0 {
					cutOff[id] = true
					worker.restartUnnoticed()
				}
			}
		})
		env.withLock(func() {
			if copies != 2 || len(cutOff) != 1 {
				t.Fatalf("%d copies were sent, %d workers run the task", copies, len(cutOff))
			}
		})
		sleep(7 * time.Second)
		env.withLock(func() { clear(cutOff) })
		sleep(20 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
