package storerelayer_test

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
)

// hedgedStore answers snapshots and reads after a delay with a row of its own.
type hedgedStore struct {
	store
	name  string
	delay time.Duration
	err   error
}

func (s *hedgedStore) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return nil, &connector.UnreachableError{Err: ctx.Err()}
	}
	return map[string]connector.Row{keys[0]: {Key: keys[0], Value: []byte(s.name), Version: 3}}, s.err
}

func (s *hedgedStore) Snapshot(ctx context.Context, table, part string) (connector.Changes, error) {
	rows, err := s.Read(ctx, table+"/"+part+"/k")
	return connector.Changes{Rows: slices.Collect(maps.Values(rows)), Version: 3}, err
}

func TestSnapshotHedged(t *testing.T) {
	const never = time.Hour
	refused := &connector.RefusedError{Status: 503}
	for name, test := range map[string]struct {
		direct, first, second *hedgedStore
		// relaying is set if calls go through peers already.
		relaying bool
		want     string
		took     time.Duration
	}{
		"direct way works":                     {direct: &hedgedStore{delay: 10 * time.Millisecond}, want: "direct", took: 10 * time.Millisecond},
		"direct way is slow":                   {direct: &hedgedStore{delay: 500 * time.Millisecond}, first: &hedgedStore{delay: never}, second: &hedgedStore{delay: never}, want: "direct", took: 500 * time.Millisecond},
		"direct way hangs":                     {direct: &hedgedStore{delay: never}, first: &hedgedStore{delay: 20 * time.Millisecond}, want: "first", took: 320 * time.Millisecond},
		"direct way is refused":                {direct: &hedgedStore{err: refused}, first: &hedgedStore{delay: 20 * time.Millisecond}, want: "first", took: 20 * time.Millisecond},
		"refused, and the first peer, too":     {direct: &hedgedStore{err: refused}, first: &hedgedStore{err: refused}, second: &hedgedStore{delay: 20 * time.Millisecond}, want: "second", took: 20 * time.Millisecond},
		"refused, and the first peer hangs":    {direct: &hedgedStore{err: refused}, first: &hedgedStore{delay: never}, second: &hedgedStore{delay: 20 * time.Millisecond}, relaying: true, want: "second", took: 320 * time.Millisecond},
		"no way works":                         {direct: &hedgedStore{delay: never}, first: &hedgedStore{delay: never}, second: &hedgedStore{delay: never}, took: 800 * time.Millisecond},
		"refused by the store on all the ways": {direct: &hedgedStore{err: refused}, first: &hedgedStore{err: refused}, second: &hedgedStore{err: refused}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, clock := slog.New(slog.DiscardHandler), clockwork.NewRealClock()
				test.direct.name = "direct"
				serving := make(map[string]*storerelayer.Relayer)
				for name, peer := range map[string]*hedgedStore{"first": test.first, "second": test.second} {
					if peer == nil {
						continue
					}
					peer.name = name
					r, stop := storerelayer.New(storerelayer.Dependencies{Store: peer, Clock: clock, Log: log, Peers: func() []string { return nil }})
					defer stop()
					serving[name] = r
				}
				r, stop := storerelayer.New(storerelayer.Dependencies{
					Store: test.direct, Clock: clock, Log: log, Peers: func() []string { return []string{"first", "second"} }, ProbeKey: "t/p/probe",
					CallPeer: func(ctx context.Context, peer string, request []byte) ([]byte, error) {
						return serving[peer].Serve(ctx, request)
					},
				})
				defer stop()
				if test.relaying {
					ctx, cancel := context.WithCancel(t.Context())
					time.AfterFunc(time.Millisecond, cancel)
					_, _ = r.Read(ctx, "t/p/k")
				}
				startedAt := time.Now()
				changes, err := r.SnapshotHedged(t.Context(), 800*time.Millisecond, "t", "p")
				got := ""
				for _, row := range changes.Rows {
					got += string(row.Value)
				}
				if took := time.Since(startedAt); got != test.want || took != test.took || (err == nil) != (test.want != "") {
					t.Errorf("got %q after %s, error %v; want %q after %s", got, took, err, test.want, test.took)
				}
			})
		})
	}
}

// TestHedgedReadLeavesTheDirectWayInUse: a slow direct way is not given up because a hedged read has been answered
// through a peer.
func TestHedgedReadLeavesTheDirectWayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, log, clock := &hedgedStore{delay: 500 * time.Millisecond}, slog.New(slog.DiscardHandler), clockwork.NewRealClock()
		peer, stopPeer := storerelayer.New(storerelayer.Dependencies{Store: &hedgedStore{}, Clock: clock, Log: log, Peers: func() []string { return nil }})
		defer stopPeer()
		r, stop := storerelayer.New(storerelayer.Dependencies{
			Store: direct, Clock: clock, Log: log, Peers: func() []string { return []string{"a"} },
			CallPeer: func(ctx context.Context, _ string, request []byte) ([]byte, error) { return peer.Serve(ctx, request) },
		})
		defer stop()
		if _, err := r.SnapshotHedged(t.Context(), time.Second, "t", "p"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if _, err := r.Transact(t.Context(), connector.Transaction{}); err != nil || direct.commits != 1 {
			t.Errorf("%d transactions were sent directly, error %v", direct.commits, err)
		}
	})
}
