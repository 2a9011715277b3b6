package storerelayer_test

import (
	"context"
	"log/slog"
	"reflect"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
)

// store is a fake store that fails with err, if set, and succeeds otherwise.
type store struct {
	mu  sync.Mutex
	err error
	// commits counts the committed transactions, attempts all of them.
	commits, attempts int
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
	s.attempts++
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

// newRelayer returns the relayer of an instance with the direct store and peers, preferred in the
// order given.
func newRelayer(t *testing.T, direct *store, clock clockwork.Clock, peers map[string]*store, order ...string) *storerelayer.Relayer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	serving := make(map[string]*storerelayer.Relayer)
	for name, peer := range peers {
		var stop func()
		serving[name], stop = storerelayer.New(storerelayer.Dependencies{Store: peer, Clock: clock, Log: log, Peers: func() []string { return nil }})
		t.Cleanup(stop)
	}
	r, stop := storerelayer.New(storerelayer.Dependencies{
		Store: direct, Clock: clock, Log: log,
		CallPeer: func(ctx context.Context, peer string, request []byte) ([]byte, error) {
			return serving[peer].Serve(ctx, request)
		},
		Peers:    func() []string { return order },
		ProbeKey: "t/p/k",
	})
	t.Cleanup(stop)
	return r
}

var errRefused = &connector.RefusedError{Status: 503}

func TestRefusedCallIsRelayedThroughPeer(t *testing.T) {
	peer := &store{}
	r := newRelayer(t, &store{err: errRefused}, clockwork.NewFakeClock(), map[string]*store{"a": peer}, "a")
	outcome, err := r.Transact(t.Context(), connector.Transaction{ID: "x"})
	if err != nil || !outcome.Committed || outcome.Version != 7 || peer.commits != 1 {
		t.Errorf("got %+v, %v, %d commits", outcome, err, peer.commits)
	}
	if rows, err := r.Read(t.Context(), "t/p/k"); err != nil || rows["t/p/k"].Version != 3 {
		t.Errorf("read %+v, %v", rows, err)
	}
}

// TestOnlyProbesRetryTheDirectPath checks that after a direct failure only probe reads retry the
// direct path. An ordinary call on a broken path would block all calls behind it until it times
// out.
func TestOnlyProbesRetryTheDirectPath(t *testing.T) {
	direct, peer := &store{err: errRefused}, &store{}
	clock := clockwork.NewFakeClock()
	r := newRelayer(t, direct, clock, map[string]*store{"a": peer}, "a")
	for range 20 {
		if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil {
			t.Fatal(err)
		}
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(500 * time.Millisecond)
	}
	if direct.attempts != 1 || peer.commits != 20 {
		t.Errorf("%d transactions were sent directly in ten seconds of refusals, want 1; %d through the peer, want 20", direct.attempts, peer.commits)
	}
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	direct.set(nil)
	clock.Advance(500 * time.Millisecond)
	for r.SinceDirectAnswer() > time.Second {
		runtime.Gosched()
	}
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil || direct.commits != 1 {
		t.Errorf("after recovery: error %v, %d direct commits, want 1", err, direct.commits)
	}
}

// TestInDoubtTransactionIsNotRelayed checks that a transaction with an unknown outcome is not sent
// again: only the caller can determine the outcome and decide about a retry.
func TestInDoubtTransactionIsNotRelayed(t *testing.T) {
	peer := &store{}
	r := newRelayer(t, &store{err: &connector.UnreachableError{}}, clockwork.NewFakeClock(), map[string]*store{"a": peer}, "a")
	var unreachable *connector.UnreachableError
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); !errors.As(err, &unreachable) || peer.commits != 0 {
		t.Errorf("got %v, %d commits by the peer", err, peer.commits)
	}
}

func TestFailedPeerIsSkipped(t *testing.T) {
	unreachable, served := &store{err: &connector.UnreachableError{}}, &store{}
	clock := clockwork.NewFakeClock()
	r := newRelayer(t, &store{err: errRefused}, clock, map[string]*store{"a": unreachable, "b": served}, "a", "b")
	if _, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err == nil {
		t.Error("the call through a peer without access to the store succeeded")
	}
	if outcome, err := r.Transact(t.Context(), connector.Transaction{ID: "x"}); err != nil || !outcome.Committed || served.commits != 1 {
		t.Errorf("got %+v, %v", outcome, err)
	}
}

func TestUnavailableOnlyWhileNoCallIsAnswered(t *testing.T) {
	clock := clockwork.NewFakeClock()
	direct := &store{err: errRefused}
	r := newRelayer(t, direct, clock, nil)
	clock.Advance(time.Second)
	if _, err := r.Read(t.Context(), "t/p/k"); err == nil || !r.Unavailable() || r.SinceAnswer() != time.Second {
		t.Errorf("error %v, unavailable %t, last answer %s ago", err, r.Unavailable(), r.SinceAnswer())
	}
	direct.set(nil)
	clock.Advance(time.Second)
	if _, err := r.Read(t.Context(), "t/p/k"); err != nil || r.Unavailable() || r.SinceDirectAnswer() != 0 {
		t.Errorf("error %v, unavailable %t", err, r.Unavailable())
	}
}

// jumpingClock has a wall clock that jumps and a monotonic clock that does not, like a real clock:
// times returned by Now are compared by the monotonic clock, all others by the wall clock.
type jumpingClock struct {
	clockwork.Clock
	monotonic, wallOffset time.Duration
	issued                map[time.Time]time.Duration
}

func (c *jumpingClock) Now() time.Time {
	// The UTC zone distinguishes times returned by Now from times constructed in another way.
	now := time.Unix(1000, 0).Add(c.monotonic + c.wallOffset).UTC()
	c.issued[now] = c.monotonic
	return now
}

func (c *jumpingClock) Since(t time.Time) time.Duration {
	if at, found := c.issued[t]; found {
		return c.monotonic - at
	}
	return time.Unix(1000, 0).Add(c.monotonic + c.wallOffset).Sub(t)
}

func TestWallClockJumpDoesNotChangeTimeSinceAnswer(t *testing.T) {
	clock := &jumpingClock{Clock: clockwork.NewRealClock(), issued: make(map[time.Time]time.Duration)}
	r := newRelayer(t, &store{}, clock, nil)
	if _, err := r.Read(t.Context(), "t/p/k"); err != nil {
		t.Fatal(err)
	}
	clock.monotonic, clock.wallOffset = 100*time.Millisecond, 3*time.Second
	if r.SinceAnswer() != 100*time.Millisecond || r.SinceDirectAnswer() != 100*time.Millisecond {
		t.Errorf("last answer %s and last direct answer %s ago after a wall clock jump, want 100 ms", r.SinceAnswer(), r.SinceDirectAnswer())
	}
}

// TestRowsOfAnyBytesAreRelayed checks that rows whose values are not JSON pass through a peer, in both
// directions: records may be compressed, and other writers may store anything.
func TestRowsOfAnyBytesAreRelayed(t *testing.T) {
	value := []byte("\x01\xff not JSON {")
	peer := &rowStore{row: connector.Row{Key: "t/p/k", Value: value, Version: 4}}
	log, clock := slog.New(slog.DiscardHandler), clockwork.NewFakeClock()
	serving, stopServing := storerelayer.New(storerelayer.Dependencies{Store: peer, Clock: clock, Log: log, Peers: func() []string { return nil }})
	defer stopServing()
	r, stop := storerelayer.New(storerelayer.Dependencies{
		Store: &store{err: errRefused}, Clock: clock, Log: log, Peers: func() []string { return []string{"a"} },
		CallPeer: func(ctx context.Context, _ string, request []byte) ([]byte, error) {
			return serving.Serve(ctx, request)
		},
	})
	defer stop()
	transaction := connector.Transaction{
		ID: "x", Preconditions: []connector.Precondition{{Key: "t/p/k", Version: 4}}, Puts: []connector.Put{{Key: "t/p/k", Value: value}}, Deletes: []string{"t/p/l"},
	}
	outcome, err := r.Transact(t.Context(), transaction)
	if err != nil || outcome.Committed || len(outcome.Conflicts) != 1 || !reflect.DeepEqual(outcome.Conflicts[0], peer.row) {
		t.Errorf("transaction: %+v, %v", outcome, err)
	}
	if !reflect.DeepEqual(peer.got, transaction) {
		t.Errorf("the store got %+v, want %+v", peer.got, transaction)
	}
	if rows, err := r.Read(t.Context(), "t/p/k"); err != nil || !reflect.DeepEqual(rows, map[string]connector.Row{"t/p/k": peer.row}) {
		t.Errorf("read: %+v, %v", rows, err)
	}
	want := connector.Changes{Rows: []connector.Row{peer.row}, Version: 9}
	if changes, err := r.Snapshot(t.Context(), "t", "p"); err != nil || !reflect.DeepEqual(changes, want) {
		t.Errorf("snapshot: %+v, %v", changes, err)
	}
	if changes, err := r.Watch(t.Context(), "t", 3, time.Second); err != nil || !reflect.DeepEqual(changes, want) {
		t.Errorf("watch: %+v, %v", changes, err)
	}
}

// rowStore holds one row, with which all transactions conflict.
type rowStore struct {
	row connector.Row
	got connector.Transaction
}

func (s *rowStore) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	s.got = transaction
	return connector.Outcome{Conflicts: []connector.Row{s.row}}, nil
}

func (s *rowStore) Read(context.Context, ...string) (map[string]connector.Row, error) {
	return map[string]connector.Row{s.row.Key: s.row}, nil
}

func (s *rowStore) Snapshot(context.Context, string, string) (connector.Changes, error) {
	return connector.Changes{Rows: []connector.Row{s.row}, Version: 9}, nil
}

func (s *rowStore) Watch(context.Context, string, int64, time.Duration) (connector.Changes, error) {
	return connector.Changes{Rows: []connector.Row{s.row}, Version: 9}, nil
}
