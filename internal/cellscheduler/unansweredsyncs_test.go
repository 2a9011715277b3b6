package cellscheduler_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// syncCounter counts the copies of syncs.
type syncCounter struct {
	orderrepeater.WorkerClient
	syncs atomic.Int64
}

func (s *syncCounter) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	s.syncs.Add(1)
	return s.WorkerClient.Sync(ctx, to, order)
}

// TestUnansweredStartDoesNotCauseSyncsWithoutWait: while the answer to a start order was awaited, each sync was sent
// without a wait, and the next one as soon as it was answered.
func TestUnansweredStartDoesNotCauseSyncsWithoutWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		counter := &syncCounter{WorkerClient: env}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(counter) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(10 * time.Second)
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) { return 5 * time.Second, kind == "start" }
		})
		before := counter.syncs.Load()
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(2 * time.Second)
		if syncs := counter.syncs.Load() - before; syncs > 20 {
			t.Errorf("%d syncs in 2 s", syncs)
		}
		env.withLock(func() { env.unanswered = nil })
		sleep(10 * time.Second)
	})
}
