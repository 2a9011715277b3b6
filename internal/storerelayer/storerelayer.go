// Package storerelayer sends store calls through a peer when the store refuses this instance but
// serves others.
//
// # Usage
//
//	store, stop := storerelayer.New(storerelayer.Dependencies{
//		Store: direct, Clock: clock, Log: log, CallPeer: callPeer, Peers: peers, ProbeKey: key,
//	})
//	defer stop()
//	outcome, err := store.Transact(ctx, transaction)
//	reply, err := store.Serve(ctx, request)
//
// A relayed transaction is as safe as a direct one: the store checks its preconditions, and a lost
// reply leaves it in doubt in the same way. A transaction whose direct attempt failed is relayed
// only if that attempt certainly had no effect.
//
// While calls go through peers, a probe periodically reads one row directly to detect when the
// store answers this instance again. Ordinary calls are not used as probes: a call that gets no
// answer takes seconds to time out, and all pending writes wait behind it.
package storerelayer

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// Store is the interface of the platform's store.
type Store interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error)
}

// Dependencies are the dependencies of a relayer.
type Dependencies struct {
	Store Store
	Clock clockwork.Clock
	Log   *slog.Logger
	// CallPeer sends an encoded request to a peer and returns the result of Serve on that peer.
	CallPeer func(ctx context.Context, peer string, request []byte) ([]byte, error)
	// Peers returns the peers that the store serves, in order of preference.
	Peers func() []string
	// ProbeKey is the key of the small row that probes read. The row need not exist.
	ProbeKey string
}

// Relayer is a store client that calls the store directly or through a peer.
type Relayer struct {
	Dependencies
	// startedAt is the origin of the times below. They are stored as monotonic time since then,
	// because the wall clock may jump, and a jump must not look like an unresponsive store.
	startedAt time.Time
	// lastFailure is when the store last refused or did not answer a direct call, or noFailure if a
	// direct call has been answered since. lastDirectAnswer is when the store last answered directly,
	// lastAnswer when it last answered directly or through a peer.
	lastFailure, lastDirectAnswer, lastAnswer atomic.Int64
	relaying                                  atomic.Bool
	ctx                                       context.Context
	group                                     sync.WaitGroup

	mu sync.Mutex
	// probing reports whether the probe is running. It runs until the next direct answer.
	probing bool
	// restored is closed and replaced whenever the store answers directly after a failure.
	restored chan struct{}
	// calls are the calls in progress.
	calls map[*callInProgress]struct{}
	// failedPeers maps peers through which a call got no answer to the time of that call.
	failedPeers map[string]time.Time
	roundTrips  roundTripTracker
}

// Restored returns a channel that is closed when the store answers this instance directly again after
// a direct call has failed.
func (r *Relayer) Restored() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restored
}

// RoundTrip returns the shortest round-trip time of a direct call other than a watch, 0 before the
// first.
func (r *Relayer) RoundTrip() time.Duration { return r.roundTrips.shortest() }

func (r *Relayer) recordRoundTrip(req *request, startedAt time.Time) {
	if req.Watch == nil {
		r.roundTrips.add(r.Clock.Since(startedAt))
	}
}

// roundTripTracker keeps the shortest round-trip time. Longer ones measure the load of the store and
// of the links, not the distance to the store, which never changes.
type roundTripTracker struct {
	mu    sync.Mutex
	known time.Duration
}

func (t *roundTripTracker) add(roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == 0 || roundTrip < t.known {
		t.known = roundTrip
	}
}

func (t *roundTripTracker) shortest() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

const (
	// probeInterval is the delay between two probes of the direct path. A probe does not wait for the
	// one before it, which a silent store leaves unanswered. More frequent probes load the store with
	// reads; less frequent ones delay everything that waits for the store after it has recovered.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe. A read usually takes 10 ms, and up to sixty times as long when the
	// store is degraded.
	probeTimeout = time.Second
)

// New returns a relayer and a function that stops its probe.
func New(dependencies Dependencies) (*Relayer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relayer{
		Dependencies: dependencies, failedPeers: make(map[string]time.Time), ctx: ctx,
		restored: make(chan struct{}), calls: make(map[*callInProgress]struct{}),
	}
	r.startedAt = dependencies.Clock.Now()
	r.lastFailure.Store(noFailure)
	return r, func() {
		cancel()
		r.group.Wait()
	}
}

// SinceDirectAnswer returns the time since the store last answered this instance directly.
func (r *Relayer) SinceDirectAnswer() time.Duration { return r.since(&r.lastDirectAnswer) }

// Unavailable reports whether a direct call has failed since the last direct answer, and no call
// has been answered, directly or through a peer, within the unavailability timeout.
func (r *Relayer) Unavailable() bool {
	return r.lastFailure.Load() != noFailure && r.SinceAnswer() > unavailableTimeout
}

// unavailableTimeout is the time without an answer after which failed calls mean that the store is
// unavailable.
const unavailableTimeout = 400 * time.Millisecond

// SinceAnswer returns the time since the store last answered, directly or through a peer.
func (r *Relayer) SinceAnswer() time.Duration { return r.since(&r.lastAnswer) }

// noFailure is the value of lastFailure while the direct path works. It lies long before the start.
const noFailure = -int64(time.Hour)

// elapsed returns the monotonic time since the start, in nanoseconds.
func (r *Relayer) elapsed() int64 { return int64(r.Clock.Since(r.startedAt)) }

func (r *Relayer) since(at *atomic.Int64) time.Duration {
	return time.Duration(r.elapsed() - at.Load())
}

// request is a call to the store; one of its fields is set.
type request struct {
	Transact *connector.Transaction
	Read     []string
	Snapshot *snapshotRequest
	Watch    *watchRequest
}

// reply is the result of a store call.
type reply struct {
	Outcome   connector.Outcome
	Rows      map[string]connector.Row
	Changes   connector.Changes
	Compacted bool
	// Refused is set if the call certainly had no effect, InDoubt if that is unknown.
	Refused string
	Status  int
	InDoubt string
}

// PeerError reports that a peer got no answer from the store.
type PeerError struct {
	Peer   string
	Reason string
}

func (e *PeerError) Error() string { return fmt.Sprintf("through %s: %s", e.Peer, e.Reason) }

// Transact sends a transaction directly or through a peer. It does not resend a transaction in doubt.
func (r *Relayer) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	answer, err := r.do(ctx, &request{Transact: &transaction})
	return answer.Outcome, err
}

// Read returns the existing rows among the given keys, by key.
func (r *Relayer) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	answer, err := r.do(ctx, &request{Read: keys})
	return answer.Rows, err
}

// Snapshot returns all rows of a part of a table.
func (r *Relayer) Snapshot(ctx context.Context, table, part string) (connector.Changes, error) {
	answer, err := r.do(ctx, &request{Snapshot: &snapshotRequest{Table: table, Part: part}})
	return answer.Changes, err
}

// Watch waits up to wait for rows of a table that changed after a version.
func (r *Relayer) Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error) {
	answer, err := r.do(ctx, &request{Watch: &watchRequest{Table: table, After: after, Wait: wait}})
	return answer.Changes, err
}

// callEitherWay tries the direct path first, unless a direct call has failed and none has been
// answered since.
func (r *Relayer) callEitherWay(ctx context.Context, call *callInProgress, req *request) (reply, error) {
	if r.lastFailure.Load() != noFailure {
		if answer, relayed, err := r.relay(ctx, req); relayed {
			return answer, err
		}
	}
	startedAt := r.Clock.Now()
	answer, err := callDirect(ctx, r.Store, req)
	var compacted *connector.CompactedError
	if err == nil {
		r.recordRoundTrip(req, startedAt)
	}
	if err == nil || errors.As(err, &compacted) {
		r.recordDirectAnswer(startedAt)
		return answer, err
	}
	if r.wasAbandoned(call) {
		return answer, err
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.recordFailure()
	}
	if !hadNoEffect(err) && req.Transact != nil {
		return answer, err
	}
	if relayedAnswer, wasRelayed, err := r.relay(ctx, req); wasRelayed {
		return relayedAnswer, err
	}
	return answer, err
}

// recordFailure records that a direct call failed, and starts the probe of the direct path if it is
// not running.
func (r *Relayer) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure.Store(r.elapsed())
	if r.ctx.Err() == nil && !r.probing {
		r.probing = true
		r.group.Go(r.probe)
	}
}

// probeDone reports whether the probe should end because the store has answered directly or the
// relayer is stopped. It updates probing under the mutex, so that a call that fails concurrently
// either finds the probe running or starts a new one.
func (r *Relayer) probeDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = r.ctx.Err() == nil && r.lastFailure.Load() != noFailure
	return !r.probing
}

// probe reads a row directly at intervals until the store answers.
func (r *Relayer) probe() {
	for !r.probeDone() {
		r.group.Go(r.probeOnce)
		select {
		case <-r.ctx.Done():
		case <-r.Clock.After(probeInterval):
		}
	}
}

func (r *Relayer) probeOnce() {
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	startedAt := r.Clock.Now()
	if _, err := r.Store.Read(ctx, r.ProbeKey); err == nil {
		r.recordDirectAnswer(startedAt)
	}
}

// recordDirectAnswer records that the store has answered a direct call that was started at the given
// time. If it is the first answer after an outage, the calls that were started earlier are abandoned.
func (r *Relayer) recordDirectAnswer(startedAt time.Time) {
	now := r.elapsed()
	silence := time.Duration(now - r.lastDirectAnswer.Swap(now))
	r.lastAnswer.Store(now)
	if r.lastFailure.Swap(noFailure) == noFailure {
		return
	}
	if r.relaying.CompareAndSwap(true, false) {
		r.Log.Info("store reached directly again")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.restored)
	r.restored = make(chan struct{})
	if silence < unavailableTimeout {
		// The store refused a call but has answered others, so the calls in progress will be answered.
		return
	}
	for call := range r.calls {
		if call.startedAt.Before(startedAt) && !r.receiving(call) {
			call.abandoned = true
			call.cancel()
		}
	}
}

// hadNoEffect reports whether a failed call certainly had no effect.
func hadNoEffect(err error) bool {
	var refused *connector.RefusedError
	var unreachable *connector.UnreachableError
	return errors.As(err, &refused) || errors.As(err, &unreachable) && unreachable.NeverSent
}

// relay makes a call through the most preferred peer. relayed is false if no peer is available.
func (r *Relayer) relay(ctx context.Context, req *request) (answer reply, relayed bool, err error) {
	peer, found := r.choosePeer(0)
	if !found {
		return reply{}, false, nil
	}
	if r.relaying.CompareAndSwap(false, true) {
		r.Log.Warn("store reached through a peer", "peer", peer)
	}
	answer, err = r.relayThrough(ctx, peer, req)
	return answer, true, err
}

// relayThrough makes a call through a peer. A call that was cancelled says nothing about the peer.
func (r *Relayer) relayThrough(ctx context.Context, peer string, req *request) (answer reply, err error) {
	defer func() {
		var compacted *connector.CompactedError
		if err != nil && !errors.As(err, &compacted) && !errors.Is(ctx.Err(), context.Canceled) {
			r.markPeerFailed(peer)
		}
	}()
	payload, err := req.encode()
	if err != nil {
		return reply{}, err
	}
	payload, err = r.CallPeer(ctx, peer, payload)
	if err != nil {
		return reply{}, &connector.UnreachableError{Call: "store through " + peer, Err: err}
	}
	if answer, err = decodeReply(payload, req); err != nil {
		return reply{}, &connector.UnreachableError{Call: "store through " + peer, Err: err}
	}
	if err := answer.failure(peer, req); err != nil {
		return answer, err
	}
	r.lastAnswer.Store(r.elapsed())
	return answer, nil
}

// failedPeerBackoff is how long a peer is skipped after a call through it got no answer.
const failedPeerBackoff = 2 * time.Second

// choosePeer returns the most preferred peer that has not failed recently, after skipping as many such
// peers as asked for.
func (r *Relayer) choosePeer(skipped int) (peer string, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.Peers() {
		if at, failed := r.failedPeers[peer]; failed && r.Clock.Since(at) <= failedPeerBackoff {
			continue
		}
		if skipped > 0 {
			skipped--
			continue
		}
		delete(r.failedPeers, peer)
		return peer, true
	}
	return "", false
}

func (r *Relayer) markPeerFailed(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedPeers[peer] = r.Clock.Now()
}

// failure returns the error that the peer reported, if any.
func (r *reply) failure(peer string, req *request) error {
	switch {
	case r.Compacted:
		return &connector.CompactedError{Table: req.Watch.Table, After: req.Watch.After}
	case r.Refused != "":
		return &connector.RefusedError{Call: "store through " + peer, Status: r.Status, Reason: r.Refused}
	case r.InDoubt != "":
		return &connector.UnreachableError{Call: "store through " + peer, Err: &PeerError{Peer: peer, Reason: r.InDoubt}}
	default:
		return nil
	}
}

// EmptyCallError reports a peer's request in which no field is set.
type EmptyCallError struct{}

func (*EmptyCallError) Error() string { return "empty store request" }

func callDirect(ctx context.Context, store Store, req *request) (answer reply, err error) {
	switch {
	case req.Transact != nil:
		answer.Outcome, err = store.Transact(ctx, *req.Transact)
	case req.Read != nil:
		answer.Rows, err = store.Read(ctx, req.Read...)
	case req.Snapshot != nil:
		answer.Changes, err = store.Snapshot(ctx, req.Snapshot.Table, req.Snapshot.Part)
	case req.Watch != nil:
		answer.Changes, err = store.Watch(ctx, req.Watch.Table, req.Watch.After, req.Watch.Wait)
	default:
		err = &EmptyCallError{}
	}
	return answer, err
}

// Serve makes a peer's store call directly and returns the encoded reply.
func (r *Relayer) Serve(ctx context.Context, payload []byte) ([]byte, error) {
	req, err := decodeRequest(payload)
	if err != nil {
		return nil, err
	}
	startedAt := r.Clock.Now()
	answer, err := callDirect(ctx, r.Store, req)
	var refused *connector.RefusedError
	var compacted *connector.CompactedError
	switch {
	case err == nil:
		r.recordDirectAnswer(startedAt)
	case errors.As(err, &compacted):
		answer.Compacted = true
	case errors.As(err, &refused):
		answer.Refused, answer.Status = refused.Error(), refused.Status
	case hadNoEffect(err):
		answer.Refused = err.Error()
	default:
		answer.InDoubt = err.Error()
	}
	return answer.encode()
}
