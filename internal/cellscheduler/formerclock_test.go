package cellscheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestLeaseIsNotTakenFromClockOfFormerIncarnation: the reply to a start, which does not name the incarnation, arrives
// after the worker has restarted. The next order extends the lease of the new incarnation to the longest one.
func TestLeaseIsNotTakenFromClockOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.keepIDs, env.judgesAcks, env.restartDelay = true, true, 100*time.Millisecond
		env.lease, env.maxLease = 3*time.Second, 6*time.Second
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 5 * time.Second, steptracker.Done
		}
		delay := 240 * time.Millisecond
		network := &delayedStarts{env, &delay}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(network) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(10300 * time.Millisecond)
		go func() { _, _ = c.Submit(t.Context(), job("first", "plain", step(1, 1000))) }()
		sleep(50 * time.Millisecond)
		var id string
		env.withLock(func() {
			for _, worker := range env.workers {
				if len(worker.running) > 0 {
					id = worker.info.Worker
				}
			}
			env.workers[id].crash()
			delay = 0
		})
		sleep(380 * time.Millisecond)
		submit(t, c, job("second", "plain", step(4, 1000)))
		sleep(100 * time.Millisecond)
		var cutOff *fakeWorker
		env.withLock(func() {
			cutOff = env.workers[id]
			cutOff.unreachable = true
		})
		sleep(4500 * time.Millisecond)
		env.withLock(func() { cutOff.unreachable = false })
		sleep(20 * time.Second)
		wantState(t, c, "second", steptracker.Completed)
	})
}

// delayedStarts delays the replies to start orders.
type delayedStarts struct {
	*testEnv
	delay *time.Duration
}

func (d *delayedStarts) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	delay := *d.delay
	header, err := d.testEnv.Start(ctx, to, order)
	sleep(delay)
	return header, err
}
