package cellscheduler_test

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// faultyNetwork loses and delays the replies of workers, which have carried out the orders.
type faultyNetwork struct {
	orderrepeater.WorkerClient
	// replyLost reports whether a worker's reply is lost, replyDelay returns how long it takes, and failsStarted
	// reports whether the worker answers with status 500 to a start that it has carried out. All may be nil.
	replyLost    func(worker string) bool
	replyDelay   func() time.Duration
	failsStarted func(worker string) bool
}

// deliver delays a reply and reports whether it arrives.
func (n *faultyNetwork) deliver(ctx context.Context, worker string) bool {
	if n.replyDelay != nil {
		sleep(n.replyDelay())
	}
	if n.replyLost == nil || !n.replyLost(worker) {
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(orderTimeout):
	}
	return false
}

func (n *faultyNetwork) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	header, err := n.WorkerClient.Start(ctx, to, order)
	if !n.deliver(ctx, to.Worker) {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	if err == nil && n.failsStarted != nil && n.failsStarted(to.Worker) {
		return header, &workerdriver.InDoubtError{Worker: to.Worker, Err: &workerdriver.FailedError{Status: 500}}
	}
	return header, err
}

func (n *faultyNetwork) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	header, err := n.WorkerClient.Stop(ctx, to, order)
	if !n.deliver(ctx, to.Worker) {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	return header, err
}

func (n *faultyNetwork) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	reply, err := n.WorkerClient.Sync(ctx, to, order)
	if !n.deliver(ctx, to.Worker) {
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	return reply, err
}
