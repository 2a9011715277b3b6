package storerelayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// hedgeDelay is how long ReadHedged waits for the usual way before it tries another one. An answer
// usually takes 10 ms, and from another region 80 ms.
const hedgeDelay = 300 * time.Millisecond

// ReadHedged returns the existing rows among the given keys like Read, but does not depend on one way to
// the store: if it is not answered soon, it also reads through a peer, and returns the first result. It
// waits up to timeout.
func (r *Relayer) ReadHedged(ctx context.Context, timeout time.Duration, keys ...string) (map[string]connector.Row, error) {
	// The usual way is cancelled, not timed out: the store may only be slow, so that this way has not
	// failed.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := &request{Read: keys}
	results := make(chan hedgedResult, 2)
	relaying := r.lastFailure.Load() != noFailure
	go func() {
		answer, err := r.do(ctx, req)
		results <- hedgedResult{answer.Rows, err}
	}()
	expired := r.Clock.After(timeout)
	hedge := r.Clock.After(hedgeDelay)
	var lastErr error
	for pending, hedged := 1, false; pending > 0 || !hedged; {
		startHedge := false
		select {
		case result := <-results:
			if result.err == nil {
				return result.rows, nil
			}
			pending, lastErr, startHedge = pending-1, result.err, !hedged
		case <-hedge:
			startHedge = !hedged
		case <-expired:
			return nil, &connector.UnreachableError{Call: "hedged read", Err: context.DeadlineExceeded}
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "hedged read")
		}
		if startHedge {
			pending, hedged = pending+1, true
			go func() { results <- r.readThroughPeer(ctx, timeout, req, relaying) }()
		}
	}
	return nil, lastErr
}

// hedgedResult is the result of one of the ways of a hedged read.
type hedgedResult struct {
	rows map[string]connector.Row
	err  error
}

// NoPeerError reports that no peer is known that the store answers.
type NoPeerError struct{}

func (*NoPeerError) Error() string { return "no peer reaches the store" }

// readThroughPeer reads rows through a peer. If the usual way is a peer, too, another one is used.
func (r *Relayer) readThroughPeer(ctx context.Context, timeout time.Duration, req *request, relaying bool) hedgedResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	skipped := 0
	if relaying {
		skipped = 1
	}
	peer, found := r.choosePeer(skipped)
	if !found {
		return hedgedResult{err: &NoPeerError{}}
	}
	answer, err := r.relayThrough(ctx, peer, req)
	return hedgedResult{answer.Rows, err}
}
