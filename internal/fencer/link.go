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

// Workers is what a link needs of the platform.
type Workers interface {
	Start(ctx context.Context, worker modeler.Worker, ask connector.StartRequest) (connector.StartReply, error)
	Sync(ctx context.Context, worker modeler.Worker, ask connector.SyncRequest) (connector.SyncReply, error)
	Fence(ctx context.Context, worker modeler.Worker, ask connector.FenceRequest) (connector.FenceReply, error)
	Stop(ctx context.Context, worker modeler.Worker, ask connector.StopRequest) (connector.StopReply, error)
}

// Listener hears from a link, on the link's goroutines.
type Listener interface {
	// Fenced is called once, before anything else.
	Fenced(reply connector.FenceReply)
	// Synced is called with every reply that brings something new.
	Synced(reply connector.SyncReply)
	// Deposed is called when the worker obeys a higher epoch than ours.
	Deposed()
}

// LinkSettings are what a link tells its worker.
type LinkSettings struct {
	Partition string
	Epoch     modeler.Epoch
	Mode      Mode
	// TaskLease is how long a lease lasts unrenewed.
	TaskLease time.Duration
	// FenceDelay is how long the first fencing call is put off.
	FenceDelay time.Duration
	// OwnedUntil tells until when the partition is known to be ours.
	OwnedUntil func() time.Time
}

const (
	// callTimeout bounds a call that the worker answers at once.
	callTimeout = 3 * time.Second
	// syncsPerLease is how often a lease is renewed before it would end.
	syncsPerLease = 3
	// shortestWait keeps heartbeats from following each other without a pause when the lease that
	// may be granted is over, as in a table outage.
	shortestWait = 100 * time.Millisecond
	// unsentTries is how often a start that never left is tried before another worker is better.
	unsentTries = 3
)

// Link is the owner's side of one worker.
type Link struct {
	worker   modeler.Worker
	terms    LinkSettings
	listener Listener
	workers  Workers
	clock    clockwork.Clock
	ctx      context.Context

	confirmed atomic.Int64
	// leaseHorizon is the latest lease end granted, in Unix nanoseconds.
	leaseHorizon atomic.Int64
}

// NewLink returns a link that has begun to fence its worker, and the function that closes it.
// Closing ends calls in flight but waits for none of them; a start or stop in flight ends as Lost.
func NewLink(worker modeler.Worker, terms LinkSettings, listener Listener, workers Workers, clock clockwork.Clock) (*Link, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{
		worker:   worker,
		terms:    terms,
		listener: listener,
		workers:  workers,
		clock:    clock,
		ctx:      ctx,
	}
	var once sync.Once
	go link.run()
	return link, func() { once.Do(cancel) }
}

// Confirm lets the worker forget the records up to a sequence.
func (l *Link) Confirm(sequence int64) { l.confirmed.Store(sequence) }

// LatestLeaseEnd returns the latest lease end that this link granted.
func (l *Link) LatestLeaseEnd() time.Time { return time.Unix(0, l.leaseHorizon.Load()) }

// GrantLease returns the end of a lease granted now, and remembers it.
func (l *Link) GrantLease() time.Time {
	end := l.terms.Mode.LeaseEnd(l.clock.Now(), l.terms.OwnedUntil(), l.terms.TaskLease)
	for {
		old := l.leaseHorizon.Load()
		if end.UnixNano() <= old || l.leaseHorizon.CompareAndSwap(old, end.UnixNano()) {
			return end
		}
	}
}

// sleep waits and tells whether the link is still open.
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
	if l.terms.FenceDelay > 0 && !l.sleep(l.terms.FenceDelay) {
		return
	}
	reply, fenced := l.fence()
	if fenced {
		l.syncAlways(reply.Boot, lastSequence(reply.Ended))
	}
}

// fence repeats the fencing call until the worker answers it.
func (l *Link) fence() (reply connector.FenceReply, fenced bool) {
	delays := newDelays()
	for {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		ask := connector.FenceRequest{Partition: l.terms.Partition, Epoch: l.terms.Epoch}
		reply, err := l.workers.Fence(ctx, l.worker, ask)
		cancel()
		if err == nil && reply.Refusal != "" {
			l.listener.Deposed()
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

func (l *Link) syncAlways(boot string, known int64) {
	delays := newDelays()
	for l.ctx.Err() == nil {
		reply, err := l.syncOnce(known)
		if err != nil {
			if !l.sleep(delays.NextBackOff()) {
				return
			}
			continue
		}
		delays.Reset()
		if reply.Refusal != "" {
			l.listener.Deposed()
			return
		}
		if reply.Boot != boot {
			// The worker counts its records anew.
			known = 0
			l.confirmed.Store(0)
		}
		boot = reply.Boot
		l.listener.Synced(reply)
		known = max(known, lastSequence(reply.Ended))
	}
}

func (l *Link) syncOnce(known int64) (connector.SyncReply, error) {
	leaseEnd := l.GrantLease()
	// In mode WaitForLeaseExpiry a lease ends with the ownership, long before the task lease would. The next
	// heartbeat follows the lease that was granted, or long tasks lapse one after the other.
	wait := max(l.clock.Until(leaseEnd)/syncsPerLease, shortestWait)
	ctx, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()
	return l.workers.Sync(ctx, l.worker, connector.SyncRequest{
		Partition: l.terms.Partition,
		Epoch:     l.terms.Epoch,
		LeaseEnd:  leaseEnd,
		Confirmed: l.confirmed.Load(),
		Known:     known,
		Wait:      modeler.Duration(wait),
	})
}

// Outcome is what became of a start or a stop. Exactly one of its fields is set.
type Outcome struct {
	// Running: the worker has it.
	Running bool
	// Ended: it ran and is over.
	Ended *connector.TaskEnded
	// NeverRan: it did not run and never will, for this reason.
	NeverRan connector.Refusal
	// WorkerRestarted: the worker restarted. It does not run it any more; whether it did is not known.
	WorkerRestarted bool
	// Unresolved: the link was closed, or the worker obeys another owner; nothing is known.
	Unresolved bool
}

// RefusedUnreachable is the reason when no connection to the worker came about.
const RefusedUnreachable connector.Refusal = "unreachable"

// Start sends an attempt until its outcome is certain. Sending it again is harmless, because a
// worker starts an attempt once.
func (l *Link) Start(ask connector.StartRequest) Outcome {
	delays := newDelays()
	uncertain := false
	for tries := 1; ; tries++ {
		ctx, cancel := context.WithTimeout(l.ctx, time.Duration(ask.Wait)+callTimeout)
		reply, err := l.workers.Start(ctx, l.worker, ask)
		cancel()
		switch {
		case err == nil && reply.Accepted && reply.Ended != nil:
			return Outcome{Ended: reply.Ended}
		case err == nil && reply.Accepted:
			return Outcome{Running: true}
		case err == nil:
			return l.refused(ask.Attempt, ask.Boot, reply.Refusal, uncertain)
		}
		if !provablyNothing(err) {
			uncertain = true
		}
		if !uncertain && tries >= unsentTries {
			return Outcome{NeverRan: RefusedUnreachable}
		}
		if !l.sleep(delays.NextBackOff()) {
			return Outcome{Unresolved: true}
		}
	}
}

// refused deals with a refusal. An earlier send of the same attempt may still be on its way and be
// taken later, for instance when the worker has room again. The worker is then told to refuse it
// for good before anybody relies on the refusal.
func (l *Link) refused(attempt modeler.Attempt, boot string, refusal connector.Refusal, uncertain bool) Outcome {
	if refusal == connector.RefusedStaleEpoch {
		l.listener.Deposed()
		return Outcome{Unresolved: true}
	}
	if !uncertain {
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

func provablyNothing(err error) bool {
	var unreachable *connector.UnreachableError
	return errors.As(err, &unreachable) && unreachable.NeverSent
}

// Stop ends an attempt that was sent to a boot of the worker, and repeats that until the worker has
// said what became of it.
func (l *Link) Stop(attempt modeler.Attempt, boot string) Outcome {
	delays := newDelays()
	for {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		reply, err := l.workers.Stop(ctx, l.worker, connector.StopRequest{Epoch: l.terms.Epoch, Boot: boot, Attempt: attempt})
		cancel()
		switch {
		case err == nil && reply.Refusal == connector.RefusedWrongBoot:
			return Outcome{WorkerRestarted: true}
		case err == nil && reply.Refusal != "":
			l.listener.Deposed()
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
