package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestLeaseOfUnlistedIncarnationIsNotTakenForOver: a worker that has restarted carries out a start that names the end of
// the lease by the former clock, and is cut off before it is listed.
func TestLeaseOfUnlistedIncarnationIsNotTakenForOver(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
		duration time.Duration
	}{
		{"start answered, the first run goes on", true, 5 * time.Second},
		{"start not answered, the first run goes on", false, 5 * time.Second},
		{"start not answered, the first run is done and acknowledged", false, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.judgesAcks = true
				env.lease, env.maxLease = 3*time.Second, 6*time.Second
				env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
					return test.duration, steptracker.Done
				}
				cutOff := make(map[string]bool)
				network := &faultyNetwork{WorkerClient: env, replyLost: func(worker string) (lost bool) {
					env.withLock(func() { lost = cutOff[worker] && !test.answered })
					return lost
				}}
				env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(network) }
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(10 * time.Second)
				env.onStart = func(start *workerdriver.Start) {
					if start.Run > 1 {
						return
					}
					// Nothing is answered after the first start.
					for id := range env.workers {
						cutOff[id] = true
					}
					time.AfterFunc(5*time.Millisecond, func() {
						env.withLock(func() {
							for _, worker := range env.workers {
								worker.unreachable = len(worker.running) > 0
							}
							clear(cutOff)
						})
					})
				}
				env.withLock(func() {
					for _, worker := range []string{"w0", "w1"} {
						env.workers[worker].restartUnnoticed()
					}
				})
				submit(t, c, job("j", "plain", step(1, 1000)))
				sleep(4700 * time.Millisecond)
				env.withLock(func() {
					for _, worker := range env.workers {
						worker.unreachable = false
					}
				})
				sleep(20 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}
