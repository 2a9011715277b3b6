package storerelayer_test

import (
	"context"
	"log/slog"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
)

// store answers with an error, or commits.
type store struct {
	mu  sync.Mutex
	err error
	// commits and tried count the transactions that took effect and all.
	commits, tried int
}

func (s *store) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *store) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *store) Transact(context.Context, connector.Transaction) (connector.Outcome, error) {
	s.tried++
	if err := s.failure(); err != nil {
		return connector.Outcome{}, err
	}
	s.commits++
	return connector.Outcome{Committed: true, Version: 7}, nil
}

func (s *store) Read(context.Context, ...string) (map[string]connector.Row, error) {
	return map[string]connector.Row{"t/p/k": {Key: "t/p/k", Version: 3}}, s.failure()
}

func (s *store) Snapshot(context.Context, string, string) (connector.Changes, error) {
	return connector.Changes{Version: 9}, s.failure()
}

func (s *store) Watch(context.Context, string, int64, time.Duration) (connector.Changes, error) {
	return connector.Changes{Version: 9}, s.failure()
}

// pair is an instance that the store may turn away, and its peers.
func pair(t *testing.T, own *store, clock clockwork.Clock, peers map[string]*store, order ...string) *storerelayer.Relayer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	serving := make(map[string]*storerelayer.Relayer)
	for name, peer := range peers {
		var stop func()
		serving[name], stop = storerelayer.New(storerelayer.Dependencies{Store: peer, Clock: clock, Log: log, Peers: func() []string { return nil }})
		t.Cleanup(stop)
	}
	r, stop := storerelayer.New(storerelayer.Dependencies{
		Store: own, Clock: clock, Log: log,
		CallPeer: func(ctx context.Context, peer string, ask []byte) ([]byte, error) {
			return serving[peer].Serve(ctx, ask)
		},
		Peers: func() []string { return order },
		ProbeKey: "t/p/k",
	})
	t.Cleanup(stop)
	return r
}

var turnedAway = &connector.RefusedError{Status: 503}

func TestCallThatTheStoreTurnsAwayGoesThroughAPeer(t *testing.T) {
	peer := &store{}
	r := pair(t, &store{err: turnedAway}, clockwork.NewFakeClock(), map[string]*store{"a": peer}, "a")
	outcome, err := r.Transact(t.Context(), connector.Transaction{ID: "x"})
	if err != nil || !outcome.Committed || outcome.Version != 7 || peer.commits != 1 {
		t.Errorf("got %+v, %v, %d commits", outcome, err, peer.commits)
	}
	if rows, err := r.Read(t.Context(), "t/p/k"); err != nil || rows["t/p/k"].Version != 3 {
		t.Errorf("read %+v, %v", rows, err)
	}
}

// TestRealCallsAreNoProbes: a call that a cut swallows holds up all that waits behind it, so the direct
// way is tried again with a read that nobody waits for.
func TestRealCallsAreNoProbes(t *testing.T) {
	own, peer := &store{err: turnedAway}, &store{}
	clock := clockwork.NewFakeClock()
	r := pair(t, own, clock, map[string]*store{"a": peer}, "a")
	for range 20 {
		if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil {
			t.Fatal(err)
		}
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(500 * time.Millisecond)
	}
	if own.tried != 1 || peer.commits != 20 {
		t.Errorf("%d transactions were sent directly in ten seconds of a cut, want 1; %d through the peer, want 20", own.tried, peer.commits)
	}
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	own.set(nil)
	clock.Advance(500 * time.Millisecond)
	for r.SinceDirectAnswer() > time.Second {
		runtime.Gosched()
	}
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil || own.commits != 1 {
		t.Errorf("after the cut: %v, %d direct commits, want 1", err, own.commits)
	}
}

// TestTransactionInDoubtIsNotSentAgain: whether to send it again is decided by whoever knows how to
// find out what became of it.
func TestTransactionInDoubtIsNotSentAgain(t *testing.T) {
	peer := &store{}
	r := pair(t, &store{err: &connector.UnreachableError{}}, clockwork.NewFakeClock(), map[string]*store{"a": peer}, "a")
	var doubt *connector.UnreachableError
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); !errors.As(err, &doubt) || peer.commits != 0 {
		t.Errorf("got %v, %d commits by the peer", err, peer.commits)
	}
}

func TestPeerThatFailsIsPassedOver(t *testing.T) {
	cut, served := &store{err: &connector.UnreachableError{}}, &store{}
	clock := clockwork.NewFakeClock()
	r := pair(t, &store{err: turnedAway}, clock, map[string]*store{"a": cut, "b": served}, "a", "b")
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err == nil {
		t.Error("the first call went through a peer that the store does not answer")
	}
	if outcome, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil || !outcome.Committed || served.commits != 1 {
		t.Errorf("got %+v, %v", outcome, err)
	}
}

func TestTroubleIsSaidSoOnlyWhileNobodyIsAnswered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	own := &store{err: turnedAway}
	r := pair(t, own, clock, nil)
	clock.Advance(time.Second)
	if _, err := r.Read(t.Context(), "t/p/k"); err == nil || !r.Unavailable() || r.SinceAnswer() != time.Second {
		t.Errorf("%v, troubled %t, silent for %s", err, r.Unavailable(), r.SinceAnswer())
	}
	own.set(nil)
	clock.Advance(time.Second)
	if _, err := r.Read(t.Context(), "t/p/k"); err != nil || r.Unavailable() || r.SinceDirectAnswer() != 0 {
		t.Errorf("%v, troubled %t", err, r.Unavailable())
	}
}

// jumpingClock has a time of day that jumps and a steady clock that does not, as a real one has: times
// that it gave out are compared by the steady clock, all others by the time of day.
type jumpingClock struct {
	clockwork.Clock
	steady, jump time.Duration
	given        map[time.Time]time.Duration
}

func (c *jumpingClock) Now() time.Time {
	// The zone tells the times that it gave out from those that were put together anew.
	now := time.Unix(1000, 0).Add(c.steady + c.jump).UTC()
	c.given[now] = c.steady
	return now
}

func (c *jumpingClock) Since(t time.Time) time.Duration {
	if at, given := c.given[t]; given {
		return c.steady - at
	}
	return time.Unix(1000, 0).Add(c.steady + c.jump).Sub(t)
}

func TestJumpOfTheTimeOfDayIsNoSilence(t *testing.T) {
	clock := &jumpingClock{Clock: clockwork.NewRealClock(), given: make(map[time.Time]time.Duration)}
	r := pair(t, &store{}, clock, nil)
	if _, err := r.Read(t.Context(), "t/p/k"); err != nil {
		t.Fatal(err)
	}
	clock.steady, clock.jump = 100*time.Millisecond, 3*time.Second
	if r.SinceAnswer() != 100*time.Millisecond || r.SinceDirectAnswer() != 100*time.Millisecond {
		t.Errorf("silent for %s and %s after a jump, want 100 ms", r.SinceAnswer(), r.SinceDirectAnswer())
	}
}
