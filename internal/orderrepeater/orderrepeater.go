package orderrepeater

import (
	"context"
	"fmt"
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

// The kinds of orders that are repeated, as logs and metrics name them.
const (
	kindStart = "start"
	kindStop  = "stop"
	kindSync  = "sync"
)

// orderTimeout is how long all copies of an order may take together, in addition to the time for which the
// worker may delay its answer.
const orderTimeout = 900 * time.Millisecond

// LostError reports that no copy of an order was answered in time.
type LostError struct{ Attempts int }

func (e *LostError) Error() string { return "no copy of the order was answered in time" }

// RepeatRefusedError reports that the worker has refused a repeated start order. An earlier copy may have been
// carried out, or may still be.
type RepeatRefusedError struct {
	Reason workerdriver.Reason
	// Status is the HTTP status of the refusal, 0 if unknown.
	Status int
}

func (e *RepeatRefusedError) Error() string {
	return fmt.Sprintf("the repeated order was refused: %s (status %d)", e.Reason, e.Status)
}

// Start sends a start order. In the header of the reply, Unanswered is set if a copy of the order may still
// reach the worker.
func (c *Client) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	reply, err := c.send(ctx, to, kindStart, 0, func(ctx context.Context, _ int) (workerdriver.SyncReply, error) {
		header, err := c.Workers.Start(ctx, to, order)
		return workerdriver.SyncReply{ReplyHeader: header}, err
	})
	return reply.ReplyHeader, err
}

// Stop sends a stop order.
func (c *Client) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	reply, err := c.send(ctx, to, kindStop, 0, func(ctx context.Context, _ int) (workerdriver.SyncReply, error) {
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
		reply, err := c.send(ctx, to, kindSync, part.MaxWait, func(ctx context.Context, attempt int) (workerdriver.SyncReply, error) {
			sent := part
			if attempt > 1 {
				// The worker has had its time to wait. It may have restarted, and would discard ends that it has
				// not listed.
				sent.MaxWait, sent.AckedSequence = 0, 0
			}
			return c.Workers.Sync(ctx, to, sent)
		})
		if err != nil || len(reply.Ended) > 0 || part.MaxWait == order.MaxWait {
			return reply, err
		}
		// The worker may restart between two parts.
		order.MaxWait, order.AckedSequence = max(0, waitEnds.Sub(c.Clock.Now())), 0
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
	defer cancel()
	results := make(chan result, maxAttempts)
	sentAt := c.Clock.Now()
	attempts, inFlight := 0, 0
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
	neverSent := true
	// finish returns the result of the order given that of the copy that decides, after the other copies have
	// been abandoned.
	finish := func(decisive result) (workerdriver.SyncReply, error) {
		cancel()
		for range inFlight {
			r := <-results
			neverSent = neverSent && isNeverSent(r.err)
			if decisive.err != nil && r.err == nil {
				decisive = r
			}
		}
		if decisive.attempt == 1 {
			decisive.took -= wait
		}
		return c.answered(kind, decisive, to, attempts, neverSent)
	}
	for {
		select {
		case r := <-results:
			inFlight--
			neverSent = neverSent && isNeverSent(r.err)
			var inDoubt *workerdriver.InDoubtError
			// If no connection could be established for the first copy, the others won't get one sooner.
			if errors.As(r.err, &inDoubt) && inFlight > 0 && (r.attempt > 1 || !inDoubt.NeverSent) {
				continue
			}
			return finish(r)
		case <-repeat.Chan():
			if c.takeRepeat(attempts) {
				c.Log.Info("order repeated", "kind", kind, "worker", to.Worker, "attempt", attempts+1, "waited-ms", c.Clock.Since(sentAt).Milliseconds())
				c.Metrics.OrderRepeated(kind)
				sendCopy()
				repeat.Reset(c.delay(to))
			}
		case <-ctx.Done():
			return finish(result{attempt: attempts, err: &workerdriver.InDoubtError{Worker: to.Worker, Err: &LostError{Attempts: attempts}}})
		}
	}
}

// isNeverSent reports whether a copy of an order has certainly not reached its worker.
func isNeverSent(err error) bool {
	var inDoubt *workerdriver.InDoubtError
	return errors.As(err, &inDoubt) && inDoubt.NeverSent
}

// answered returns the result of an order of which a number of copies were sent, given the result of the copy
// that decides, and whether no copy has reached the worker.
func (c *Client) answered(kind string, r result, to *workerdriver.Worker, attempts int, neverSent bool) (workerdriver.SyncReply, error) {
	if kind == kindStart {
		r.reply.Copies = attempts
	}
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
	var refused *workerdriver.RefusedError
	var inDoubt *workerdriver.InDoubtError
	switch {
	case errors.As(r.err, &inDoubt):
		return r.reply, &workerdriver.InDoubtError{Worker: to.Worker, NeverSent: neverSent, Err: inDoubt.Err}
	case attempts > 1 && kind == kindStart && errors.As(r.err, &refused) && refused.Reason != workerdriver.StaleFencingToken:
		return r.reply, &workerdriver.InDoubtError{Worker: to.Worker, Err: &RepeatRefusedError{Reason: refused.Reason, Status: refused.Status}}
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
