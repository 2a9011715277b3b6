package orderrepeater

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// WorkerClient sends each order once. Its errors are *workerdriver.RefusedError or
// *workerdriver.InDoubtError.
type WorkerClient interface {
	Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error)
	Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error)
	Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error)
	Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error
}

// Metrics counts repeated orders.
type Metrics interface {
	// OrderRepeated is called for each copy of an order after the first one.
	OrderRepeated(kind string)
}

// Dependencies are the dependencies of a Client.
type Dependencies struct {
	Workers WorkerClient
	Clock   clockwork.Clock
	Log     *slog.Logger
	Metrics Metrics
}

// Client sends orders to workers. It is safe for concurrent use.
type Client struct {
	Dependencies
	mu      sync.Mutex
	decider *Decider
}

// New returns a client.
func New(dependencies Dependencies) *Client {
	return &Client{Dependencies: dependencies, decider: NewDecider()}
}

// orderTimeout is how long all copies of an order may take together, in addition to the time for which the
// worker may delay its answer.
const orderTimeout = 900 * time.Millisecond

// LostError reports that no copy of an order was answered in time.
type LostError struct{ Attempts int }

func (e *LostError) Error() string { return "no copy of the order was answered in time" }

// RepeatRefusedError reports that the worker has refused a repeated order. An earlier copy may have been
// carried out, or may still be.
type RepeatRefusedError struct{ Reason workerdriver.Reason }

func (e *RepeatRefusedError) Error() string {
	return "the repeated order was refused: " + string(e.Reason)
}

// Start sends a start order. In the header of the reply, Unanswered is set if a copy of the order may still
// reach the worker.
func (c *Client) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	reply, err := c.send(ctx, to, "start", 0, func(ctx context.Context, _ int) (workerdriver.SyncReply, error) {
		header, err := c.Workers.Start(ctx, to, order)
		return workerdriver.SyncReply{ReplyHeader: header}, err
	})
	return reply.ReplyHeader, err
}

// Stop sends a stop order.
func (c *Client) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	reply, err := c.send(ctx, to, "stop", 0, func(ctx context.Context, _ int) (workerdriver.SyncReply, error) {
		header, err := c.Workers.Stop(ctx, to, order)
		return workerdriver.SyncReply{ReplyHeader: header}, err
	})
	return reply.ReplyHeader, err
}

// Throttle sends a throttle order once: a late copy would undo a newer order.
func (c *Client) Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error {
	return c.Workers.Throttle(ctx, to, order)
}

// Sync sends a sync order. While orders are lost, it sends several with a shorter wait instead, until a run
// has ended or the wait of the order is over.
func (c *Client) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	waitEnds := c.Clock.Now().Add(order.MaxWait)
	for {
		part := order
		part.MaxWait = c.syncWait(order.MaxWait)
		reply, err := c.send(ctx, to, "sync", part.MaxWait, func(ctx context.Context, attempt int) (workerdriver.SyncReply, error) {
			sent := part
			if attempt > 1 {
				// The worker has had its time to wait.
				sent.MaxWait = 0
			}
			return c.Workers.Sync(ctx, to, sent)
		})
		if err != nil || len(reply.Ended) > 0 || part.MaxWait == order.MaxWait {
			return reply, err
		}
		order.MaxWait = max(0, waitEnds.Sub(c.Clock.Now()))
	}
}

// result is the result of one copy of an order. attempt counts the copies from 1.
type result struct {
	attempt int
	took    time.Duration
	reply   workerdriver.SyncReply
	err     error
}

// send sends an order, and repeats it, until a copy is answered. wait is how long the worker may delay its
// answer to the first copy.
func (c *Client) send(ctx context.Context, to *workerdriver.Worker, kind string, wait time.Duration, call func(ctx context.Context, attempt int) (workerdriver.SyncReply, error)) (workerdriver.SyncReply, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, wait+orderTimeout)
	results := make(chan result, maxAttempts)
	sentAt := c.Clock.Now()
	attempts, inFlight := 0, 0
	defer func() {
		cancel()
		for range inFlight {
			<-results
		}
	}()
	sendCopy := func() {
		attempts++
		inFlight++
		attempt, copySentAt := attempts, c.Clock.Now()
		go func() {
			reply, err := call(ctx, attempt)
			results <- result{attempt, c.Clock.Since(copySentAt), reply, err}
		}()
	}
	sendCopy()
	repeat := c.Clock.NewTimer(wait + c.delay(to))
	defer repeat.Stop()
	for {
		select {
		case r := <-results:
			inFlight--
			var inDoubt *workerdriver.InDoubtError
			if errors.As(r.err, &inDoubt) && inFlight > 0 {
				continue
			}
			if r.attempt == 1 {
				r.took -= wait
			}
			return c.answered(r, to, attempts)
		case <-repeat.Chan():
			if c.takeRepeat(attempts) {
				c.Log.Info("order repeated", "kind", kind, "worker", to.Worker, "attempt", attempts+1, "waited-ms", c.Clock.Since(sentAt).Milliseconds())
				c.Metrics.OrderRepeated(kind)
				sendCopy()
				repeat.Reset(c.delay(to))
			}
		case <-ctx.Done():
			return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: &LostError{Attempts: attempts}}
		}
	}
}

// answered returns the result of an order of which a number of copies were sent, given the result of the copy
// that decides.
func (c *Client) answered(r result, to *workerdriver.Worker, attempts int) (workerdriver.SyncReply, error) {
	if r.err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.decider.RecordAnswer(to.AvailabilityZone, r.took)
		if r.attempt > 1 {
			c.decider.RecordLoss(c.Clock.Now())
		}
		r.reply.Unanswered = attempts > 1
		return r.reply, nil
	}
	if attempts == 1 {
		return r.reply, r.err
	}
	var refused *workerdriver.RefusedError
	var inDoubt *workerdriver.InDoubtError
	switch {
	case errors.As(r.err, &refused) && refused.Reason != workerdriver.StaleFencingToken:
		return r.reply, &workerdriver.InDoubtError{Worker: to.Worker, Err: &RepeatRefusedError{Reason: refused.Reason}}
	case errors.As(r.err, &inDoubt):
		return r.reply, &workerdriver.InDoubtError{Worker: to.Worker, Err: inDoubt.Err}
	default:
		return r.reply, r.err
	}
}

func (c *Client) delay(to *workerdriver.Worker) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decider.Delay(to.AvailabilityZone)
}

func (c *Client) takeRepeat(attempts int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decider.TakeRepeat(attempts)
}

func (c *Client) syncWait(remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decider.SyncWait(remaining, c.Clock.Now())
}
