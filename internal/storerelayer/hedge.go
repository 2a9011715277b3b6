package storerelayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// hedgeDelay is how long a hedged call waits for the usual way before it tries another one. An answer
// usually takes 10 ms, and from another region 80 ms.
const hedgeDelay = 300 * time.Millisecond

// SnapshotHedged returns all rows of a part of a table like Snapshot, but does not depend on one way to
// the store: if it is not answered soon, it also reads through a peer, and returns the first result. It
// waits up to timeout for an answer, and up to that for each further part of it.
func (r *Relayer) SnapshotHedged(ctx context.Context, timeout time.Duration, table, part string) (connector.Changes, error) {
	answer, err := r.hedge(ctx, timeout, &request{Snapshot: &snapshotRequest{Table: table, Part: part}})
	return answer.Changes, err
}

// ChangesHedged returns the rows of a table that have changed after a version, like a Watch that does not wait, but
// is hedged like SnapshotHedged.
func (r *Relayer) ChangesHedged(ctx context.Context, timeout time.Duration, table string, after int64) (connector.Changes, error) {
	answer, err := r.hedge(ctx, timeout, &request{Watch: &watchRequest{Table: table, After: after}})
	return answer.Changes, err
}

func (r *Relayer) hedge(ctx context.Context, timeout time.Duration, req *request) (reply, error) {
	// The usual way is cancelled, not timed out: the store may only be slow, so that this way has not
	// failed.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A second copy of a reply that arrives already would only delay it.
	arriving := make(chan struct{}, 1)
	directCtx := connector.WithReceived(ctx, func(int) {
		select {
		case arriving <- struct{}{}:
		default:
		}
	})
	results := make(chan hedgedResult, 2)
	relaying := r.lastFailure.Load() != noFailure
	go func() {
		answer, err := r.do(directCtx, req)
		results <- hedgedResult{answer, err}
	}()
	expired := r.Clock.NewTimer(timeout)
	defer expired.Stop()
	delay := r.Clock.After(hedgeDelay)
	var lastErr error
	for pending, hedged := 1, false; pending > 0 || !hedged; {
		startHedge := false
		select {
		case result := <-results:
			var compacted *connector.CompactedError
			if result.err == nil || errors.As(result.err, &compacted) {
				return result.answer, result.err
			}
			pending, lastErr, startHedge, delay = pending-1, result.err, !hedged, nil
		case <-arriving:
			expired.Reset(timeout)
			delay = nil
		case <-delay:
			startHedge = !hedged
		case <-expired.Chan():
			return reply{}, &connector.UnreachableError{Call: "hedged call", Err: context.DeadlineExceeded}
		case <-ctx.Done():
			return reply{}, errors.Wrap(ctx.Err(), "hedged call")
		}
		if startHedge {
			pending, hedged = pending+1, true
			go func() { results <- r.callThroughPeer(ctx, timeout, req, relaying) }()
		}
	}
	return reply{}, lastErr
}

// hedgedResult is the result of one of the ways of a hedged call.
type hedgedResult struct {
	answer reply
	err    error
}

// NoPeerError reports that no peer is known that the store answers.
type NoPeerError struct{}

func (*NoPeerError) Error() string { return "no peer reaches the store" }

// callThroughPeer makes a call through a peer. If the usual way is a peer, too, another one is used.
func (r *Relayer) callThroughPeer(ctx context.Context, timeout time.Duration, req *request, relaying bool) hedgedResult {
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
	return hedgedResult{answer, err}
}
