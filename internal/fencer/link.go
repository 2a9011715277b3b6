package fencer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Workers is the part of the platform that a link uses.
type Workers interface {
	Start(ctx context.Context, worker modeler.Worker, request connector.StartRequest) (connector.StartReply, error)
	Sync(ctx context.Context, worker modeler.Worker, request connector.SyncRequest) (connector.SyncReply, error)
	Fence(ctx context.Context, worker modeler.Worker, request connector.FenceRequest) (connector.FenceReply, error)
	Stop(ctx context.Context, worker modeler.Worker, request connector.StopRequest) (connector.StopReply, error)
}

// Listener receives the events of a link, on goroutines of the link.
type Listener interface {
	// Fenced is called once, before Synced, when the worker has been fenced.
	Fenced(reply connector.FenceReply)
	// Synced is called with the reply to each heartbeat.
	Synced(reply connector.SyncReply)
	// Unreachable is called when a heartbeat got no reply.
	Unreachable()
	// OwnershipLost is called when the worker has accepted an owner with a higher epoch.
	OwnershipLost()
}

// LinkSettings are the settings of a link.
type LinkSettings struct {
	Partition string
	Epoch     modeler.Epoch
	Mode      Mode
	// TaskLease is the length of a task lease.
	TaskLease time.Duration
	// FenceDelay is how long the link waits before its first fencing call.
	FenceDelay time.Duration
	// OwnedUntil returns the time until which this instance is known to own the partition.
	OwnedUntil func() time.Time
}

const (
	// callTimeout bounds a call that the worker answers immediately.
	callTimeout = 3 * time.Second
	// syncsPerLease is the number of heartbeats within one lease.
	syncsPerLease = 3
	// minSyncWait is the minimum length of a long poll. Without it, heartbeats would follow each
	// other without a pause when no lease can be granted any more, for example during a table
	// outage.
	minSyncWait = 100 * time.Millisecond
	// maxUnsentTries is how often a start that never reached the worker is tried. After that, it is
	// better to try another worker.
	maxUnsentTries = 3
)

// Link is the owner's side of the connection to one worker.
type Link struct {
	worker   modeler.Worker
	settings LinkSettings
	listener Listener
	workers  Workers
	clock    clockwork.Clock
	ctx      context.Context

	confirmed atomic.Int64
	// latestLeaseEnd is the latest lease end granted, in Unix nanoseconds.
	latestLeaseEnd atomic.Int64
}

// NewLink starts a link that fences its worker, and returns it with a function that closes it.
// Closing cancels the calls in flight without waiting for them; starts and stops in flight return
// an outcome that is Unresolved.
func NewLink(worker modeler.Worker, settings LinkSettings, listener Listener, workers Workers, clock clockwork.Clock) (*Link, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{
		worker:   worker,
		settings: settings,
		listener: listener,
		workers:  workers,
		clock:    clock,
		ctx:      ctx,
	}
	var once sync.Once
	go link.run()
	return link, func() { once.Do(cancel) }
}

// Confirm allows the worker to delete its records up to and including the given sequence number.
func (l *Link) Confirm(sequence int64) { l.confirmed.Store(sequence) }

// LatestLeaseEnd returns the latest lease end that this link has granted.
func (l *Link) LatestLeaseEnd() time.Time { return time.Unix(0, l.latestLeaseEnd.Load()) }

// GrantLease returns the end of a lease that is granted now, and updates the latest lease end.
func (l *Link) GrantLease() time.Time {
	end := l.settings.Mode.LeaseEnd(l.clock.Now(), l.settings.OwnedUntil(), l.settings.TaskLease)
	for {
		old := l.latestLeaseEnd.Load()
		if end.UnixNano() <= old || l.latestLeaseEnd.CompareAndSwap(old, end.UnixNano()) {
			return end
		}
	}
}

// sleep waits for the given time and reports whether the link is still open.
func (l *Link) sleep(delay time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-l.clock.After(delay):
		return true
	}
}

func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 25 * time.Millisecond
	delays.MaxInterval = time.Second
	return delays
}

func (l *Link) run() {
	if l.settings.FenceDelay > 0 && !l.sleep(l.settings.FenceDelay) {
		return
	}
	reply, fenced := l.fence()
	if fenced {
		l.syncLoop(reply.Boot, lastSequence(reply.Ended))
	}
}

// fence repeats the fencing call until the worker answers. It returns false if the worker refuses
// the epoch or the link is closed.
func (l *Link) fence() (reply connector.FenceReply, fenced bool) {
	delays := newDelays()
	for {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		request := connector.FenceRequest{Partition: l.settings.Partition, Epoch: l.settings.Epoch}
		reply, err := l.workers.Fence(ctx, l.worker, request)
		cancel()
		if err == nil && reply.Refusal != "" {
			l.listener.OwnershipLost()
			return reply, false
		}
		if err == nil {
			l.listener.Fenced(reply)
			return reply, true
		}
		if !l.sleep(delays.NextBackOff()) {
			return reply, false
		}
	}
}

func lastSequence(records []connector.TaskEnded) int64 {
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Sequence
}

// syncLoop sends heartbeats until the link is closed or the worker refuses the epoch.
func (l *Link) syncLoop(boot string, knownSequence int64) {
	delays := newDelays()
	for l.ctx.Err() == nil {
		reply, err := l.syncOnce(knownSequence)
		if err != nil {
			l.listener.Unreachable()
			if !l.sleep(delays.NextBackOff()) {
				return
			}
			continue
		}
		delays.Reset()
		if reply.Refusal != "" {
			l.listener.OwnershipLost()
			return
		}
		if reply.Boot != boot {
			// The worker has restarted and numbers its records from the beginning.
			knownSequence = 0
			l.confirmed.Store(0)
		}
		boot = reply.Boot
		l.listener.Synced(reply)
		knownSequence = max(knownSequence, lastSequence(reply.Ended))
	}
}

// syncOnce sends one heartbeat, a long poll that ends early when the worker has new records.
func (l *Link) syncOnce(knownSequence int64) (connector.SyncReply, error) {
	leaseEnd := l.GrantLease()
	// In mode WaitForLeaseExpiry, a task lease ends with the partition lease, which can be much
	// earlier than the length of a task lease. Heartbeats must therefore follow the lease that was
	// granted, or long-running tasks would lose their leases one after the other.
	wait := max(l.clock.Until(leaseEnd)/syncsPerLease, minSyncWait)
	ctx, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()
	return l.workers.Sync(ctx, l.worker, connector.SyncRequest{
		Partition: l.settings.Partition,
		Epoch:     l.settings.Epoch,
		LeaseEnd:  leaseEnd,
		Confirmed: l.confirmed.Load(),
		Known:     knownSequence,
		Wait:      modeler.Duration(wait),
	})
}

// Outcome is the outcome of a start or a stop. Exactly one field is set.
type Outcome struct {
	// Running: the worker accepted the attempt.
	Running bool
	// Ended: the attempt ran and has ended.
	Ended *connector.TaskEnded
	// NeverRan: the attempt did not run and never will, for this reason.
	NeverRan connector.Refusal
	// WorkerRestarted: the worker restarted, so the attempt no longer runs; whether it ran is
	// unknown.
	WorkerRestarted bool
	// Unresolved: the link was closed or the worker follows another owner; the outcome is unknown.
	Unresolved bool
}

// RefusedUnreachable is the reason if no connection to the worker could be established.
const RefusedUnreachable connector.Refusal = "unreachable"

// Start sends an attempt until its outcome is certain. Sending it repeatedly is safe because a
// worker starts each attempt at most once.
func (l *Link) Start(request connector.StartRequest) Outcome {
	delays := newDelays()
	mayHaveArrived := false
	for tries := 1; ; tries++ {
		ctx, cancel := context.WithTimeout(l.ctx, time.Duration(request.Wait)+callTimeout)
		reply, err := l.workers.Start(ctx, l.worker, request)
		cancel()
		switch {
		case err == nil && reply.Accepted && reply.Ended != nil:
			return Outcome{Ended: reply.Ended}
		case err == nil && reply.Accepted:
			return Outcome{Running: true}
		case err == nil:
			return l.resolveRefusal(request.Attempt, request.Boot, reply.Refusal, mayHaveArrived)
		}
		if !neverSent(err) {
			mayHaveArrived = true
		}
		if !mayHaveArrived && tries >= maxUnsentTries {
			return Outcome{NeverRan: RefusedUnreachable}
		}
		if !l.sleep(delays.NextBackOff()) {
			return Outcome{Unresolved: true}
		}
	}
}

// resolveRefusal returns the outcome of a refused start. If an earlier request for the same attempt
// may still be in flight, the worker could accept that one later, for example when it has room
// again. The attempt is therefore stopped first, which makes the worker refuse it permanently.
func (l *Link) resolveRefusal(attempt modeler.Attempt, boot string, refusal connector.Refusal, mayHaveArrived bool) Outcome {
	if refusal == connector.RefusedStaleEpoch {
		l.listener.OwnershipLost()
		return Outcome{Unresolved: true}
	}
	if !mayHaveArrived {
		return Outcome{NeverRan: refusal}
	}
	if refusal == connector.RefusedWrongBoot {
		return Outcome{WorkerRestarted: true}
	}
	outcome := l.Stop(attempt, boot)
	if outcome.NeverRan != "" {
		outcome.NeverRan = refusal
	}
	return outcome
}

// neverSent reports whether the request is certain not to have left this instance.
func neverSent(err error) bool {
	var unreachable *connector.UnreachableError
	return errors.As(err, &unreachable) && unreachable.NeverSent
}

// Stop stops an attempt that was sent to the given boot of the worker. It repeats the request until
// the worker has reported the outcome of the attempt.
func (l *Link) Stop(attempt modeler.Attempt, boot string) Outcome {
	delays := newDelays()
	for {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		reply, err := l.workers.Stop(ctx, l.worker, connector.StopRequest{Epoch: l.settings.Epoch, Boot: boot, Attempt: attempt})
		cancel()
		switch {
		case err == nil && reply.Refusal == connector.RefusedWrongBoot:
			return Outcome{WorkerRestarted: true}
		case err == nil && reply.Refusal != "":
			l.listener.OwnershipLost()
			return Outcome{Unresolved: true}
		case err == nil && reply.NeverRan:
			return Outcome{NeverRan: connector.RefusedStopped}
		case err == nil && reply.Ended != nil:
			return Outcome{Ended: reply.Ended}
		}
		if !l.sleep(delays.NextBackOff()) {
			return Outcome{Unresolved: true}
		}
	}
}
