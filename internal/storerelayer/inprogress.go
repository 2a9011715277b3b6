package storerelayer

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// callInProgress is a call that has not been answered yet.
type callInProgress struct {
	startedAt time.Time
	// receivedAt is when a part of the reply last arrived, in the time of lastDirectAnswer, or 0.
	receivedAt atomic.Int64
	cancel     context.CancelFunc
	// abandoned is set if the call was cancelled because the store has answered a later one.
	abandoned bool
}

// do makes a store call. A call that is still unanswered when the store has answered a probe that was
// sent later is abandoned: its connection is dead, and waiting for its timeout would delay everything
// behind it. An abandoned transaction is in doubt. A call whose reply arrives is not abandoned.
func (r *Relayer) do(ctx context.Context, req *request) (reply, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := &callInProgress{startedAt: r.Clock.Now(), cancel: cancel}
	callCtx = connector.WithReceived(callCtx, func(int) { r.recordReceived(call) })
	r.mu.Lock()
	r.calls[call] = struct{}{}
	r.mu.Unlock()
	answer, err := r.callEitherWay(callCtx, call, req)
	r.mu.Lock()
	delete(r.calls, call)
	r.mu.Unlock()
	return answer, err
}

// recordReceived records that the store sends the reply to a direct call.
func (r *Relayer) recordReceived(call *callInProgress) {
	now := r.elapsed()
	call.receivedAt.Store(now)
	r.lastDirectAnswer.Store(now)
	r.lastAnswer.Store(now)
}

// receiving reports whether a part of the call's reply has arrived recently.
func (r *Relayer) receiving(call *callInProgress) bool {
	receivedAt := call.receivedAt.Load()
	return receivedAt != 0 && time.Duration(r.elapsed()-receivedAt) <= unavailableTimeout
}

func (r *Relayer) wasAbandoned(call *callInProgress) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return call.abandoned
}
