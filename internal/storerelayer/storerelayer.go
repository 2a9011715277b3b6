// Package storerelayer reaches the store through a peer when the store turns this instance away and
// serves others.
//
// # Usage
//
//	store, stop := storerelayer.New(storerelayer.Dependencies{Store: direct, Clock: clock, Log: log, Call: call, Peers: peers})
//	defer stop()
//	outcome, err := store.Transact(ctx, transaction)
//	reply := storerelayer.Serve(ctx, direct, call.GetJob())
//
// A relayed transaction is as safe as a direct one: its preconditions are checked by the store, and a
// lost answer leaves the same doubt. A call is relayed only if the store did nothing about it before.
//
// While calls go through peers, a read of one row now and then finds out whether the store answers
// this instance again. Real calls are no probes: the first one that a cut swallows takes seconds, and
// everything that has to be written waits behind it.
package storerelayer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// Store is the platform's store.
type Store interface {
	Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error)
}

// Dependencies of a relayer.
type Dependencies struct {
	Store Store
	Clock clockwork.Clock
	Log   *slog.Logger
	// CallPeer asks a peer and returns what Serve returned there.
	CallPeer func(ctx context.Context, peer string, ask []byte) ([]byte, error)
	// Peers are the instances that the store serves, the best first.
	Peers func() []string
	// ProbeKey is the key of a small row, which need not be there.
	ProbeKey string
}

// Relayer is a store that may be reached through a peer.
type Relayer struct {
	Dependencies
	// began is the origin of the times below. They are kept as time since then, by the steady clock:
	// the time of day may jump, and a jump must not look like a silent store.
	began time.Time
	// refusedAt is when the store last turned this instance away or did not answer, or notRefused;
	// directAt is when it last answered directly, anyAt when it last answered at all.
	refusedAt, directAt, anyAt atomic.Int64
	relaying                   atomic.Bool
	ctx                        context.Context
	group                      sync.WaitGroup

	mu sync.Mutex
	// probing tells that the probe is under way that ends with the next direct answer.
	probing bool
	// failed are the peers through which a call had no answer, and when.
	failed map[string]time.Time
	trips  tripMeter
}

// RoundTrip is how long direct calls take that wait for nothing, 0 before the first.
func (r *Relayer) RoundTrip() time.Duration { return r.trips.shortest() }

func (r *Relayer) measure(a *ask, began time.Time) {
	if a.Watch == nil {
		r.trips.add(r.Clock.Since(began))
	}
}

// keptTrips is how many calls the round trip is taken from. The shortest of them counts: a store in
// trouble is slow for everybody, and now and then for some.
const keptTrips = 16

// tripMeter keeps the latest round trips.
type tripMeter struct {
	mu    sync.Mutex
	trips []time.Duration
	next  int
}

func (m *tripMeter) add(trip time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.trips) < keptTrips {
		m.trips = append(m.trips, trip)
		return
	}
	m.trips[m.next] = trip
	m.next = (m.next + 1) % keptTrips
}

func (m *tripMeter) shortest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.trips) == 0 {
		return 0
	}
	return slices.Min(m.trips)
}

const (
	// probeEvery is the pause between two probes of the direct way. A probe costs the store as much as
	// any read, and a cut that has healed costs each call a hop until it is noticed.
	probeEvery = 500 * time.Millisecond
	// probeTimeout bounds a probe: a read takes ten milliseconds, and sixty times that in the worst
	// trouble.
	probeTimeout = time.Second
)

// New returns a store and the function that ends its probe.
func New(dependencies Dependencies) (*Relayer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relayer{Dependencies: dependencies, failed: make(map[string]time.Time), ctx: ctx}
	r.began = dependencies.Clock.Now()
	r.refusedAt.Store(notRefused)
	return r, func() {
		cancel()
		r.group.Wait()
	}
}

// SinceDirectAnswer is how long the store has not answered this instance itself.
func (r *Relayer) SinceDirectAnswer() time.Duration { return r.since(&r.directAt) }

// Unavailable tells that the last call to the store failed and none has had an answer for a while.
func (r *Relayer) Unavailable() bool {
	return r.refusedAt.Load() != notRefused && r.SinceAnswer() > troubledAfter
}

// troubledAfter is from which silence on failed calls mean trouble.
const troubledAfter = 400 * time.Millisecond

// SinceAnswer is how long the store has not answered, directly or through a peer.
func (r *Relayer) SinceAnswer() time.Duration { return r.since(&r.anyAt) }

// notRefused stands for a refusal long before the start.
const notRefused = -int64(time.Hour)

// elapsed is the steady time since the start, in nanoseconds.
func (r *Relayer) elapsed() int64 { return int64(r.Clock.Since(r.began)) }

func (r *Relayer) since(at *atomic.Int64) time.Duration {
	return time.Duration(r.elapsed() - at.Load())
}

// ask is a call to the store; one of its fields is set.
type ask struct {
	Transact *connector.Transaction `json:"transact,omitempty"`
	Read     []string               `json:"read,omitempty"`
	Snapshot *place                 `json:"snapshot,omitempty"`
	Watch    *watch                 `json:"watch,omitempty"`
}

type place struct {
	Table string `json:"table"`
	Part  string `json:"part"`
}

type watch struct {
	Table string        `json:"table"`
	After int64         `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// reply is what the store said to a call.
type reply struct {
	Outcome   connector.Outcome        `json:"outcome,omitzero"`
	Rows      map[string]connector.Row `json:"rows,omitempty"`
	Changes   connector.Changes        `json:"changes,omitzero"`
	Forgotten bool                     `json:"forgotten,omitempty"`
	// Refused is set if the store did nothing, Doubt if that is not known.
	Refused string `json:"refused,omitempty"`
	Status  int    `json:"status,omitempty"`
	Doubt   string `json:"doubt,omitempty"`
}

// PeerError tells that a peer had no answer of the store.
type PeerError struct {
	Peer   string
	Reason string
}

func (e *PeerError) Error() string { return fmt.Sprintf("through %s: %s", e.Peer, e.Reason) }

// Transact sends one transaction, once, directly or through a peer.
func (r *Relayer) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	answer, err := r.do(ctx, &ask{Transact: &transaction})
	return answer.Outcome, err
}

// Read returns the rows that are there, by key.
func (r *Relayer) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	answer, err := r.do(ctx, &ask{Read: keys})
	return answer.Rows, err
}

// Snapshot returns all rows of a part of a table.
func (r *Relayer) Snapshot(ctx context.Context, table, part string) (connector.Changes, error) {
	answer, err := r.do(ctx, &ask{Snapshot: &place{Table: table, Part: part}})
	return answer.Changes, err
}

// Watch waits for rows of a table that changed after a version.
func (r *Relayer) Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error) {
	answer, err := r.do(ctx, &ask{Watch: &watch{Table: table, After: after, Wait: wait}})
	return answer.Changes, err
}

// do makes a call: directly first, unless the store has turned this instance away and not answered
// it since.
func (r *Relayer) do(ctx context.Context, a *ask) (reply, error) {
	if r.refusedAt.Load() != notRefused {
		if answer, sent, err := r.relay(ctx, a); sent {
			return answer, err
		}
	}
	began := r.Clock.Now()
	answer, err := direct(ctx, r.Store, a)
	var forgotten *connector.CompactedError
	if err == nil {
		r.measure(a, began)
	}
	if err == nil || errors.As(err, &forgotten) {
		r.answered()
		return answer, err
	}
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.turnedAway()
	}
	if !nothingDone(err) && a.Transact != nil {
		return answer, err
	}
	if relayed, sent, err := r.relay(ctx, a); sent {
		return relayed, err
	}
	return answer, err
}

// turnedAway takes in that a direct call failed, and sees to it that the direct way is probed.
func (r *Relayer) turnedAway() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt.Store(r.elapsed())
	if r.ctx.Err() == nil && !r.probing {
		r.probing = true
		r.group.Go(r.probe)
	}
}

// probeOver tells whether the probe is to end: the store has answered directly. It looks under the mutex,
// so that a call that is turned away at this moment finds the probe under way or begins another.
func (r *Relayer) probeOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = r.ctx.Err() == nil && r.refusedAt.Load() != notRefused
	return !r.probing
}

// probe reads a row directly until that succeeds.
func (r *Relayer) probe() {
	for !r.probeOver() {
		select {
		case <-r.ctx.Done():
			continue
		case <-r.Clock.After(probeEvery):
		}
		ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
		_, err := r.Store.Read(ctx, r.ProbeKey)
		cancel()
		if err == nil {
			r.answered()
		}
	}
}

func (r *Relayer) answered() {
	now := r.elapsed()
	r.directAt.Store(now)
	r.anyAt.Store(now)
	r.refusedAt.Store(notRefused)
	if r.relaying.CompareAndSwap(true, false) {
		r.Log.Info("store reached directly again")
	}
}

// nothingDone tells whether a failed call can't have had an effect.
func nothingDone(err error) bool {
	var refused *connector.RefusedError
	var unreachable *connector.UnreachableError
	return errors.As(err, &refused) || errors.As(err, &unreachable) && unreachable.NeverSent
}

// relay makes a call through the best peer. sent is false if there is none.
func (r *Relayer) relay(ctx context.Context, a *ask) (answer reply, sent bool, err error) {
	peer, found := r.choose()
	if !found {
		return reply{}, false, nil
	}
	if r.relaying.CompareAndSwap(false, true) {
		r.Log.Warn("store reached through a peer", "peer", peer)
	}
	defer func() {
		var forgotten *connector.CompactedError
		if err != nil && !errors.As(err, &forgotten) {
			r.blame(peer)
		}
	}()
	text, err := json.Marshal(a)
	if err != nil {
		return reply{}, true, errors.Wrap(err, "encode call")
	}
	text, err = r.CallPeer(ctx, peer, text)
	if err != nil {
		return reply{}, true, &connector.UnreachableError{Call: "store through " + peer, Err: err}
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return reply{}, true, &connector.UnreachableError{Call: "store through " + peer, Err: err}
	}
	if err := answer.failure(peer, a); err != nil {
		return answer, true, err
	}
	r.anyAt.Store(r.elapsed())
	return answer, true, nil
}

// avoidPeer is for how long a peer is passed over through which a call had no answer.
const avoidPeer = 2 * time.Second

// choose returns the best peer that has not failed lately.
func (r *Relayer) choose() (peer string, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.Peers() {
		if at, failed := r.failed[peer]; !failed || r.Clock.Since(at) > avoidPeer {
			delete(r.failed, peer)
			return peer, true
		}
	}
	return "", false
}

func (r *Relayer) blame(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[peer] = r.Clock.Now()
}

// failure returns the error that the peer had.
func (r *reply) failure(peer string, a *ask) error {
	switch {
	case r.Forgotten:
		return &connector.CompactedError{Table: a.Watch.Table, After: a.Watch.After}
	case r.Refused != "":
		return &connector.RefusedError{Call: "store through " + peer, Status: r.Status, Reason: r.Refused}
	case r.Doubt != "":
		return &connector.UnreachableError{Call: "store through " + peer, Err: &PeerError{Peer: peer, Reason: r.Doubt}}
	default:
		return nil
	}
}

// EmptyCallError tells that a peer asked for nothing.
type EmptyCallError struct{}

func (*EmptyCallError) Error() string { return "the call asks for nothing" }

func direct(ctx context.Context, store Store, a *ask) (answer reply, err error) {
	switch {
	case a.Transact != nil:
		answer.Outcome, err = store.Transact(ctx, *a.Transact)
	case a.Read != nil:
		answer.Rows, err = store.Read(ctx, a.Read...)
	case a.Snapshot != nil:
		answer.Changes, err = store.Snapshot(ctx, a.Snapshot.Table, a.Snapshot.Part)
	case a.Watch != nil:
		answer.Changes, err = store.Watch(ctx, a.Watch.Table, a.Watch.After, a.Watch.Wait)
	default:
		err = &EmptyCallError{}
	}
	return answer, err
}

// Serve makes a peer's call directly.
func (r *Relayer) Serve(ctx context.Context, text []byte) ([]byte, error) {
	var a ask
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, errors.Wrap(err, "decode call")
	}
	answer, err := direct(ctx, r.Store, &a)
	var refused *connector.RefusedError
	var forgotten *connector.CompactedError
	switch {
	case err == nil:
		r.answered()
	case errors.As(err, &forgotten):
		answer.Forgotten = true
	case errors.As(err, &refused):
		answer.Refused, answer.Status = refused.Error(), refused.Status
	case nothingDone(err):
		answer.Refused = err.Error()
	default:
		answer.Doubt = err.Error()
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Wrap(err, "encode reply")
	}
	return encoded, nil
}
