// Package partitionrouter finds the owner of a caller's key and hands the call on to it.
//
// # Usage
//
//	router := partitionrouter.New(settings, dependencies)
//	answer, err := router.Submit(ctx, caller, key, job, wait)
//
// The home region of the caller's contract and the partitions of that region decide the partition
// of a key, by rendezvous hashing: every instance comes to the same one without asking. Who owns
// the partition is a hint from heartbeats or from the table. If the hint is wrong or the link
// breaks, the call is repeated with the same key until its time is over, which is safe because an
// owner takes a key once.
package partitionrouter

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// LocalOwner answers for the partitions of this instance.
type LocalOwner interface {
	Submit(ctx context.Context, submission partitionscheduler.Submission) (modeler.Answer, error)
	Status(ctx context.Context, partition, key string, wait bool) (modeler.Answer, error)
	Cancel(ctx context.Context, partition, key string) (modeler.Answer, error)
}

// Mesh hands calls to peers and knows what they own.
type Mesh interface {
	Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error)
	LivePeers() map[string]*messenger.Heartbeat
}

// Dependencies of a router.
type Dependencies struct {
	Instance   string
	LocalOwner LocalOwner
	Mesh       Mesh
	Clock      clockwork.Clock
	Log        *slog.Logger
	// Tickets returns the state in force.
	Tickets func() *ticketer.State
	// IsHeld tells whether this instance holds a partition, OwnerOf what the table showed last.
	IsHeld  func(partition string) bool
	OwnerOf func(partition string) string
	// CountRouted counts a decision: where a call went.
	CountRouted func(where string)
}

// Router routes calls.
type Router struct {
	Dependencies
}

// New returns a router.
func New(dependencies Dependencies) *Router { return &Router{Dependencies: dependencies} }

// NoContractError tells that a caller has no contract in force here.
type NoContractError struct {
	Caller string
}

func (e *NoContractError) Error() string {
	return fmt.Sprintf("caller %s has no contract in force", e.Caller)
}

// OwnerUnreachableError tells that no owner of a partition was reached in time. Whether the call took
// effect is not known.
type OwnerUnreachableError struct {
	Partition string
	Err       error
}

func (e *OwnerUnreachableError) Error() string {
	return fmt.Sprintf("the owner of partition %s was not reached in time; repeat the request with the same key: %v", e.Partition, e.Err)
}

func (e *OwnerUnreachableError) Unwrap() error { return e.Err }

// PartitionOf returns the partition of a caller's key.
func PartitionOf(state *ticketer.State, caller, key string) (string, error) {
	contract, found := state.ContractOf(caller)
	if !found {
		return "", &NoContractError{Caller: caller}
	}
	var best string
	var highest uint64
	for _, name := range state.PartitionsIn(contract.HomeRegion) {
		if weight := xxhash.Sum64String(name + "\x00" + key); best == "" || weight > highest {
			best, highest = name, weight
		}
	}
	if best == "" {
		return "", &NoContractError{Caller: caller}
	}
	return best, nil
}

// QualifiedKey is the key under which a caller's key is known inside: callers can't see each other's.
func QualifiedKey(caller, key string) string { return caller + "/" + key }

// Submit routes a job. With wait it returns when the job is final.
func (r *Router) Submit(ctx context.Context, caller, key string, job []byte, wait bool) (modeler.Answer, error) {
	return r.route(ctx, caller, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_SUBMIT,
		Key:  QualifiedKey(caller, key),
		Job:  job,
		Wait: wait,
	})
}

// Status routes a question about a key.
func (r *Router) Status(ctx context.Context, caller, key string, wait bool) (modeler.Answer, error) {
	return r.route(ctx, caller, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_STATUS,
		Key:  QualifiedKey(caller, key),
		Wait: wait,
	})
}

// Cancel routes a cancellation.
func (r *Router) Cancel(ctx context.Context, caller, key string) (modeler.Answer, error) {
	return r.route(ctx, caller, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_CANCEL,
		Key:  QualifiedKey(caller, key),
	})
}

func (r *Router) route(ctx context.Context, caller string, call *messenger.Call) (modeler.Answer, error) {
	partition, err := PartitionOf(r.Tickets(), caller, call.GetKey())
	if err != nil {
		return modeler.Answer{}, err
	}
	call.Partition = partition
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 10 * time.Millisecond
	delays.MaxInterval = 250 * time.Millisecond
	for tries := 1; ; tries++ {
		if tries > 1 {
			r.CountRouted("repeated")
		}
		answer, err := r.attempt(ctx, call, tries)
		if !isRetryable(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return modeler.Answer{}, &OwnerUnreachableError{Partition: partition, Err: err}
		case <-r.Clock.After(delays.NextBackOff()):
		}
	}
}

// isRetryable tells whether the failure is one of routing.
func isRetryable(err error) bool {
	var notOwner *modeler.NotOwnerError
	var noRoute *OwnerUnreachableError
	return errors.As(err, &notOwner) || errors.As(err, &noRoute)
}

func (r *Router) attempt(ctx context.Context, call *messenger.Call, tries int) (modeler.Answer, error) {
	where, reason := r.locateOwner(call.GetPartition())
	r.Log.Info("routed", "key", call.GetKey(), "kind", call.GetKind().String(), "partition", call.GetPartition(),
		"to", where, "reason", reason, "try", tries, "ticket", r.Tickets().Number)
	switch where {
	case "":
		r.CountRouted("nowhere")
		return modeler.Answer{}, &OwnerUnreachableError{Partition: call.GetPartition(), Err: &modeler.NotOwnerError{Partition: call.GetPartition()}}
	case r.Instance:
		r.CountRouted("here")
		return r.serve(ctx, call)
	}
	r.CountRouted("peer")
	if deadline, found := ctx.Deadline(); found {
		call.PatienceNanos = int64(r.Clock.Until(deadline))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.cancelOnOwnerChange(ctx, cancel, call.GetPartition(), where)
	reply, err := r.Mesh.Call(ctx, where, call)
	if err != nil {
		return modeler.Answer{}, &OwnerUnreachableError{Partition: call.GetPartition(), Err: err}
	}
	return decodeReply(call.GetPartition(), reply)
}

// ownerCheckInterval is the time between two looks at whether a call still waits at the owner.
const ownerCheckInterval = 250 * time.Millisecond

// cancelOnOwnerChange ends a call when its partition has another owner. A paused owner never answers and its
// connection stays open: the call would wait out its patience although a successor could serve it.
func (r *Router) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, partition, where string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(ownerCheckInterval):
		}
		if owner, _ := r.locateOwner(partition); owner != "" && owner != where {
			r.Log.Info("owner changed during a call", "partition", partition, "from", where, "to", owner)
			cancel()
			return
		}
	}
}

// locateOwner returns the instance that should own the partition, and how that is known.
func (r *Router) locateOwner(partition string) (instance, reason string) {
	if r.IsHeld(partition) {
		return r.Instance, "held here"
	}
	epoch := int64(-1)
	for name, beat := range r.Mesh.LivePeers() {
		for _, holding := range beat.GetHoldings() {
			if holding.GetPartition() == partition && holding.GetEpoch() > epoch {
				instance, epoch = name, holding.GetEpoch()
			}
		}
	}
	if instance != "" {
		return instance, "heartbeat"
	}
	return r.OwnerOf(partition), "table"
}
