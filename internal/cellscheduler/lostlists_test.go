package cellscheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// lostLists loses the lists that are requested beside syncs, which alone extend no lease, except in the first second.
type lostLists struct {
	orderrepeater.WorkerClient
	since time.Time
}

func (l lostLists) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	if order.LeaseExpiry == 0 && time.Since(l.since) > time.Second {
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	return l.WorkerClient.Sync(ctx, to, order)
}

// TestAcknowledgementWaitsForListOfUnnoticedIncarnation: a worker has restarted and carried out a start, the list that the
// answer leads to is lost, and the next sync acknowledged an end of the new incarnation by the former one's count.
func TestAcknowledgementWaitsForListOfUnnoticedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "short" {
				return 200 * time.Millisecond, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(lostLists{env, time.Now()}) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("first", "plain", step(3, 1000)))
		sleep(2 * time.Second)
		submit(t, c, job("second", "plain", step(1, 1000)))
		sleep(650 * time.Millisecond)
		env.withLock(func() { env.commitDelay = 700 * time.Millisecond })
		go func() { _, _ = c.Submit(t.Context(), job("short", "plain", step(1, 1000))) }()
		sleep(450 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].restartUnnoticed() })
		sleep(10 * time.Second)
		wantState(t, c, "short", steptracker.Completed)
	})
}
