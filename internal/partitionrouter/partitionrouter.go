// Package partitionrouter finds the owner of a caller's key and forwards the call to it.
//
// # Usage
//
//	router := partitionrouter.New(dependencies)
//	answer, err := router.Submit(ctx, caller, key, job, wait)
//
// A key is mapped to one of the partitions of the home region in the caller's contract by rendezvous
// hashing, so every instance with the same ticket in force computes the same partition. The owner of
// the partition is a hint from heartbeats or from the table. If the hint is wrong or the link breaks,
// the call is retried with the same key until its context ends. Retrying is safe because an owner
// accepts a key only once.
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

// LocalOwner serves calls for the partitions that this instance owns.
type LocalOwner interface {
	Submit(ctx context.Context, submission partitionscheduler.Submission) (modeler.Answer, error)
	Status(ctx context.Context, partition, key string, wait bool) (modeler.Answer, error)
	Cancel(ctx context.Context, partition, key string) (modeler.Answer, error)
}

// Mesh sends calls to peers and returns their heartbeats, which list the partitions that they own.
type Mesh interface {
	Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error)
	LivePeers() map[string]*messenger.Heartbeat
}

// Dependencies are the components that a Router uses.
type Dependencies struct {
	Instance   string
	LocalOwner LocalOwner
	Mesh       Mesh
	Clock      clockwork.Clock
	Log        *slog.Logger
	// Tickets returns the ticket state in force.
	Tickets func() *ticketer.State
	// IsHeld reports whether this instance holds a partition. OwnerOf returns the owner in the table as
	// of the last read, or "" if it is not known.
	IsHeld  func(partition string) bool
	OwnerOf func(partition string) string
	// CountRouted counts routing decisions by target: "here", "peer" or "nowhere". It also counts each
	// retry, as "repeated".
	CountRouted func(target string)
}

// Router routes calls to the owners of their partitions.
type Router struct {
	Dependencies
}

// New returns a Router.
func New(dependencies Dependencies) *Router { return &Router{Dependencies: dependencies} }

// NoContractError reports that the ticket in force has no contract for a caller, or no partition in
// the home region of the contract.
type NoContractError struct {
	Caller string
}

func (e *NoContractError) Error() string {
	return fmt.Sprintf("caller %s has no contract in force", e.Caller)
}

// OwnerUnreachableError reports that no owner of a partition answered in time. It is unknown whether
// the call took effect.
type OwnerUnreachableError struct {
	Partition string
	Err       error
}

func (e *OwnerUnreachableError) Error() string {
	return fmt.Sprintf("no owner of partition %s answered in time; retry the request with the same key: %v", e.Partition, e.Err)
}

func (e *OwnerUnreachableError) Unwrap() error { return e.Err }

// PartitionOf returns the partition that a qualified key of a caller is mapped to.
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

// QualifiedKey returns the caller's key prefixed with the name of the caller. It is the key used within
// the scheduler, so that callers cannot access each other's keys.
func QualifiedKey(caller, key string) string { return caller + "/" + key }

// Submit routes the submission of a job. If wait is set, it returns when the job's state is final.
func (r *Router) Submit(ctx context.Context, caller, key string, job []byte, wait bool) (modeler.Answer, error) {
	return r.route(ctx, caller, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_SUBMIT,
		Key:  QualifiedKey(caller, key),
		Job:  job,
		Wait: wait,
	})
}

// Status routes a status query. If wait is set, it returns when the key's state is final.
func (r *Router) Status(ctx context.Context, caller, key string, wait bool) (modeler.Answer, error) {
	return r.route(ctx, caller, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_STATUS,
		Key:  QualifiedKey(caller, key),
		Wait: wait,
	})
}

// Cancel routes the cancellation of a key.
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
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = 10 * time.Millisecond
	retryDelays.MaxInterval = 250 * time.Millisecond
	for attempt := 1; ; attempt++ {
		if attempt > 1 {
			r.CountRouted("repeated")
		}
		answer, err := r.routeOnce(ctx, call, attempt)
		if !isRetryable(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return modeler.Answer{}, &OwnerUnreachableError{Partition: partition, Err: err}
		case <-r.Clock.After(retryDelays.NextBackOff()):
		}
	}
}

// isRetryable reports whether a call failed because its owner was not found or not reached.
func isRetryable(err error) bool {
	var notOwner *modeler.NotOwnerError
	var unreachable *OwnerUnreachableError
	return errors.As(err, &notOwner) || errors.As(err, &unreachable)
}

func (r *Router) routeOnce(ctx context.Context, call *messenger.Call, attempt int) (modeler.Answer, error) {
	target, reason := r.locateOwner(call.GetPartition())
	r.Log.Info("routed", "key", call.GetKey(), "kind", call.GetKind().String(), "partition", call.GetPartition(),
		"to", target, "reason", reason, "try", attempt, "ticket", r.Tickets().Number)
	switch target {
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
	go r.cancelOnOwnerChange(ctx, cancel, call.GetPartition(), target)
	reply, err := r.Mesh.Call(ctx, target, call)
	if err != nil {
		return modeler.Answer{}, &OwnerUnreachableError{Partition: call.GetPartition(), Err: err}
	}
	return decodeReply(call.GetPartition(), call.GetKey(), reply)
}

// ownerCheckInterval is the time between two checks of whether a partition has a new owner while a
// call to it is in flight.
const ownerCheckInterval = 250 * time.Millisecond

// cancelOnOwnerChange cancels a call when its partition has a new owner, so that the call is retried
// there. A paused owner never answers and its connection stays open, so the call would otherwise wait
// until its timeout although the new owner could serve it.
func (r *Router) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, partition, target string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(ownerCheckInterval):
		}
		if owner, _ := r.locateOwner(partition); owner != "" && owner != target {
			r.Log.Info("owner changed during call; retrying", "partition", partition, "from", target, "to", owner)
			cancel()
			return
		}
	}
}

// locateOwner returns the instance that probably owns the partition, or "" if none is known, and the
// source of that information.
func (r *Router) locateOwner(partition string) (instance, reason string) {
	if r.IsHeld(partition) {
		return r.Instance, "held here"
	}
	epoch := int64(-1)
	for name, heartbeat := range r.Mesh.LivePeers() {
		for _, holding := range heartbeat.GetHoldings() {
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
