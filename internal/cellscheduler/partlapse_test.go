package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestRunInDoubtOnLostWorkerLapses: a worker is gone for good with a run that has started and one in doubt. Once the first
// had lapsed, each unanswered sync extended the lease again, and the second never lapsed.
func TestRunInDoubtOnLostWorkerLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.lease, env.maxLease = 3*time.Second, 6*time.Second
		env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
			if worker == "w0" {
				return time.Hour, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		cutOff := false
		network := &faultyNetwork{WorkerClient: env, replyLost: func(worker string) bool { return worker == "w0" && cutOff }}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(network) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(10 * time.Second)
		submit(t, c, job("first", "plain", step(1, 1000)))
		sleep(500 * time.Millisecond)
		cutOff = true
		submit(t, c, job("second", "plain", step(1, 1000)))
		sleep(time.Second)
		var joined workerdriver.Worker
		env.withLock(func() {
			env.workers["w0"].kill()
			joined = env.workers["w0"].info
			joined.Worker += "'"
			joined.StartMillis = time.Now().UnixMilli()
			env.addWorker(joined)
		})
		c.UpdateWorkers([]workerdriver.Worker{joined}, []string{"w0"}, false)
		sleep(60 * time.Second)
		wantState(t, c, "first", steptracker.Completed)
		wantState(t, c, "second", steptracker.Completed)
	})
}
