package storerelayer_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
)

// transferringStore answers reads of a large row and watches, with parts that arrive every 100 ms for two seconds, and refuses
// snapshots.
type transferringStore struct {
	store
	transfers atomic.Int64
	aborted   atomic.Int64
}

const largeKey = "t/p/large"

func (s *transferringStore) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	if keys[0] != largeKey {
		<-time.After(10 * time.Millisecond)
		return nil, nil
	}
	s.transfers.Add(1)
	for range 20 {
		select {
		case <-time.After(100 * time.Millisecond):
			connector.ReportReceived(ctx, 1000)
		case <-ctx.Done():
			s.aborted.Add(1)
			return nil, &connector.UnreachableError{Err: ctx.Err()}
		}
	}
	return map[string]connector.Row{largeKey: {Key: largeKey, Version: 3}}, nil
}

func (s *transferringStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) (connector.Changes, error) {
	_, err := s.Read(ctx, largeKey)
	return connector.Changes{Version: 3}, err
}

func (s *transferringStore) Snapshot(context.Context, string, string) (connector.Changes, error) {
	return connector.Changes{}, &connector.RefusedError{Status: 503}
}

// TestTransferIsNotRepeatedWhileItArrives: a read whose reply arrives is neither aborted nor sent a second time.
func TestTransferIsNotRepeatedWhileItArrives(t *testing.T) {
	for name, read := range map[string]func(r *storerelayer.Relayer) error{
		"read that another call's failure and a probe overtake": func(r *storerelayer.Relayer) error {
			time.AfterFunc(time.Second, func() { _, _ = r.Snapshot(context.Background(), "t", "p") })
			_, err := r.Read(context.Background(), largeKey)
			return err
		},
		"hedged call": func(r *storerelayer.Relayer) error {
			_, err := r.ChangesHedged(context.Background(), 800*time.Millisecond, "t", 1)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &transferringStore{}
				log, clock := slog.New(slog.DiscardHandler), clockwork.NewRealClock()
				peer, stopPeer := storerelayer.New(storerelayer.Dependencies{Store: s, Clock: clock, Log: log, Peers: func() []string { return nil }})
				defer stopPeer()
				r, stop := storerelayer.New(storerelayer.Dependencies{
					Store: s, Clock: clock, Log: log, Peers: func() []string { return []string{"peer"} }, ProbeKey: "t/p/probe",
					CallPeer: func(ctx context.Context, _ string, request []byte) ([]byte, error) { return peer.Serve(ctx, request) },
				})
				defer stop()
				// Instances have been up for some time when a transfer begins.
				<-time.After(time.Minute)
				if err := read(r); err != nil || s.transfers.Load() != 1 || s.aborted.Load() != 0 {
					t.Errorf("error %v, %d transfers, %d of them aborted", err, s.transfers.Load(), s.aborted.Load())
				}
			})
		})
	}
}
