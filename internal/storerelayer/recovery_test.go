package storerelayer_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
)

// silentStore answers nothing while it is silent: not even after the outage does it answer a call that
// arrived during it.
type silentStore struct {
	store
	silent atomic.Bool
}

func (s *silentStore) unanswered(ctx context.Context) error {
	if !s.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return &connector.UnreachableError{Err: ctx.Err()}
}

func (s *silentStore) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if err := s.unanswered(ctx); err != nil {
		return connector.Outcome{}, err
	}
	return s.store.Transact(ctx, transaction)
}

func (s *silentStore) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	if err := s.unanswered(ctx); err != nil {
		return nil, err
	}
	return s.store.Read(ctx, keys...)
}

// TestCallsOfAnOutageEndWithIt replays a store that is silent for four seconds. A call that was sent
// into the silence ends as soon as the store answers a probe, and not at its own timeout, and the end
// of the outage is signalled.
func TestCallsOfAnOutageEndWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &silentStore{}
		r, stop := storerelayer.New(storerelayer.Dependencies{
			Store: direct, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
			Peers: func() []string { return nil }, ProbeKey: "t/p/k",
		})
		defer stop()
		if _, err := r.Transact(t.Context(), connector.Transaction{ID: "before"}); err != nil {
			t.Fatal(err)
		}
		restored := r.Restored()
		direct.silent.Store(true)
		silentUntil := time.Now().Add(4 * time.Second)
		time.AfterFunc(4*time.Second, func() { direct.silent.Store(false) })
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		if _, err := r.Transact(ctx, connector.Transaction{ID: "first"}); err == nil {
			t.Fatal("a silent store has answered")
		}
		_, err := r.Transact(t.Context(), connector.Transaction{ID: "second"})
		var unreachable *connector.UnreachableError
		if !errors.As(err, &unreachable) || unreachable.NeverSent {
			t.Errorf("a transaction sent into the silence ended with %v, want it in doubt", err)
		}
		if late := time.Since(silentUntil); late > 300*time.Millisecond {
			t.Errorf("it ended %s after the outage, want at most 300ms", late)
		}
		select {
		case <-restored:
		default:
			t.Error("the end of the outage was not signalled")
		}
	})
}

// TestRefusedCallLeavesOthersInProgress checks that a single refusal by a store that answers other
// calls does not end them.
func TestRefusedCallLeavesOthersInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &slowCommitStore{}
		r, stop := storerelayer.New(storerelayer.Dependencies{
			Store: direct, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler),
			Peers: func() []string { return nil }, ProbeKey: "t/p/k",
		})
		defer stop()
		if _, err := r.Read(t.Context(), "t/p/k"); err != nil {
			t.Fatal(err)
		}
		result := make(chan error, 1)
		go func() {
			_, err := r.Transact(t.Context(), connector.Transaction{ID: "slow"})
			result <- err
		}()
		synctest.Wait()
		direct.set(errRefused)
		if _, err := r.Read(t.Context(), "t/p/k"); err == nil {
			t.Fatal("the store did not refuse")
		}
		direct.set(nil)
		if err := <-result; err != nil {
			t.Errorf("the transaction in progress ended with %v", err)
		}
	})
}

// slowCommitStore takes 300 ms for a transaction and answers reads at once.
type slowCommitStore struct{ store }

func (s *slowCommitStore) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	select {
	case <-ctx.Done():
		return connector.Outcome{}, &connector.UnreachableError{Err: ctx.Err()}
	case <-time.After(300 * time.Millisecond):
		return s.store.Transact(ctx, transaction)
	}
}

// TestRoundTripIsTheDistanceToTheStore replays a link that an owner's own load delays by a quarter of a
// second. The load must not make another instance look nearer to the store: the cell would be handed
// over, and the next owner would be as loaded.
func TestRoundTripIsTheDistanceToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &delayedStore{delay: 37 * time.Millisecond}
		r, stop := storerelayer.New(storerelayer.Dependencies{
			Store: direct, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Peers: func() []string { return nil },
		})
		defer stop()
		for range 40 {
			if _, err := r.Read(t.Context(), "t/p/k"); err != nil {
				t.Fatal(err)
			}
			direct.delay = 220 * time.Millisecond
		}
		if distance := r.RoundTrip(); distance != 37*time.Millisecond {
			t.Errorf("the round trip is %s under load, want 37ms", distance)
		}
	})
}

// delayedStore answers reads after a delay.
type delayedStore struct {
	store
	delay time.Duration
}

func (s *delayedStore) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	<-time.After(s.delay)
	return s.store.Read(ctx, keys...)
}
