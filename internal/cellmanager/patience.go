package cellmanager

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

const (
	// maxPatience bounds a submission whose caller has set no deadline.
	maxPatience = 10 * time.Second
	// ownerCheckTimeout bounds the call that finds out whether an owner is alive.
	ownerCheckTimeout = 400 * time.Millisecond
)

// attemptContext returns the context of an attempt of a call to an owner.
//
// A submission that the owner holds while it is being written takes as long as the store, and a second
// attempt would only leave the outcome of the first in doubt: a refusal could not be passed on any more. So a
// submission lasts until its caller's deadline, which the owner learns, as long as the owner answers other
// calls.
func (m *Manager) attemptContext(ctx context.Context, owner string, call *messenger.Call) (context.Context, context.CancelFunc) {
	if call.GetKind() != messenger.CallKind_CALL_KIND_SUBMIT {
		return context.WithTimeout(ctx, attemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, maxPatience)
	check := &messenger.Call{Kind: messenger.CallKind_CALL_KIND_STATUS, Key: call.GetKey(), Partition: call.GetPartition(), PatienceNanos: int64(ownerCheckTimeout)}
	go func() {
		for m.wait(ctx, attemptTimeout) {
			if !m.isAnswering(ctx, owner, check) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// wait waits for a duration and reports false if the context ends first.
func (m *Manager) wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.Clock.After(duration):
		return true
	}
}

// isAnswering reports whether an owner answers a call as the owner of its cell.
func (m *Manager) isAnswering(ctx context.Context, owner string, check *messenger.Call) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
	defer cancel()
	reply, err := m.mesh.Call(ctx, owner, &messenger.Call{Kind: check.GetKind(), Key: check.GetKey(), Partition: check.GetPartition(), PatienceNanos: check.GetPatienceNanos()})
	return err == nil && reply.GetError() == messenger.ErrorKind_ERROR_KIND_UNSPECIFIED
}
