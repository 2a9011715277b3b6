package tablewatcher_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/tablewatcher"
)

// table is a fake store table with injectable faults.
type table struct {
	mu          sync.Mutex
	rows        []connector.Row
	version     int64
	err         error
	compacted   bool
	watchSilent bool
	snapshots   int
	// snapshotDelay is the duration of a snapshot in addition to five milliseconds.
	snapshotDelay time.Duration
}

func (s *table) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *table) put(key string) {
	s.set(func() {
		s.version++
		s.rows = append(s.rows, connector.Row{Key: key, Value: []byte(`{}`), Version: s.version})
	})
}

func (s *table) Snapshot(context.Context, string, string) (connector.Changes, error) {
	<-time.After(5*time.Millisecond + s.snapshotDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return connector.Changes{Rows: slices.Clone(s.rows), Version: s.version}, s.err
}

func (s *table) Watch(ctx context.Context, name string, after int64, wait time.Duration) (connector.Changes, error) {
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		s.mu.Lock()
		changes, err := connector.Changes{Version: s.version}, s.err
		if s.compacted {
			s.compacted = false
			err = &connector.CompactedError{Table: name, After: after}
		}
		if s.watchSilent {
			changes.Version = after
		}
		for _, row := range s.rows {
			if row.Version > after && !s.watchSilent {
				changes.Rows = append(changes.Rows, row)
			}
		}
		s.mu.Unlock()
		if err != nil || len(changes.Rows) > 0 || waited >= wait || ctx.Err() != nil {
			return changes, err
		}
		<-time.After(10 * time.Millisecond)
	}
}

// startWatcher starts a watcher and returns a function that returns the keys seen so far.
func startWatcher(t *testing.T, s *table) (seen func() []string) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var keys []string
	var group sync.WaitGroup
	group.Go(func() {
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: s, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Table: "t",
			WatchTimeout: time.Second, ResyncInterval: 5 * time.Second,
			Apply: func(rows []connector.Row, snapshot bool) {
				mu.Lock()
				defer mu.Unlock()
				if snapshot {
					keys = nil
				}
				for _, row := range rows {
					keys = append(keys, row.Key)
				}
			},
		})
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(keys)
	}
}

func TestWatchDeliversChangesDespiteFaults(t *testing.T) {
	for name, fault := range map[string]func(s *table){
		"no fault":                  func(*table) {},
		"history forgotten":         func(s *table) { s.set(func() { s.compacted = true }) },
		"watch delivers no changes": func(s *table) { s.set(func() { s.watchSilent = true }) },
		"store temporarily unavailable": func(s *table) {
			s.set(func() { s.err = &connector.RefusedError{Status: 503} })
			<-time.After(2 * time.Second)
			s.set(func() { s.err = nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &table{}
				s.put("first")
				seen := startWatcher(t, s)
				<-time.After(100 * time.Millisecond)
				if got := seen(); !slices.Equal(got, []string{"first"}) {
					t.Fatalf("seen %v", got)
				}
				fault(s)
				s.put("second")
				// Changes that a watch does not deliver arrive with the next snapshot.
				<-time.After(7 * time.Second)
				if got := seen(); !slices.Contains(got, "second") {
					t.Errorf("seen %v after seven seconds", got)
				}
			})
		})
	}
}

// virtualUptime is the uptime in the virtual time of a synctest bubble.
type virtualUptime struct{ startedAt time.Time }

func (u virtualUptime) Uptime() time.Duration { return time.Since(u.startedAt) }

// TestConfirmation checks which answers confirm that the reader is up to date, and that the time counts at which
// the call was sent, not that of its answer.
func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &table{}
		s.put("first")
		uptime := virtualUptime{startedAt: time.Now()}
		var mu sync.Mutex
		var confirmed []time.Duration
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() {
			tablewatcher.Watch(ctx, tablewatcher.Options{
				Store: s, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Table: "t",
				WatchTimeout: time.Second, ResyncInterval: time.Minute, Apply: func([]connector.Row, bool) {}, Uptime: uptime,
				Confirmed: func(sentAt time.Duration, _ int64) {
					mu.Lock()
					defer mu.Unlock()
					confirmed = append(confirmed, sentAt)
				},
			})
		})
		// A snapshot that was sent at 0 s, and watches that were sent at 5 ms, 1,005 ms and so on.
		<-time.After(2500 * time.Millisecond)
		mu.Lock()
		if want := []time.Duration{0, 5 * time.Millisecond, 1005 * time.Millisecond}; !slices.Equal(confirmed, want) {
			t.Errorf("confirmed by the calls sent at %s, want %s", confirmed, want)
		}
		confirmed = nil
		mu.Unlock()
		// Neither the loss of the history nor a failed snapshot after it confirms anything.
		s.set(func() { s.compacted, s.err = true, &connector.RefusedError{Status: 503} })
		<-time.After(5 * time.Second)
		mu.Lock()
		if len(confirmed) > 0 {
			t.Errorf("confirmed by the calls sent at %s without an answer", confirmed)
		}
		mu.Unlock()
		// Nor does a snapshot that is older than the table once was.
		s.set(func() { s.rows, s.version, s.err = nil, 0, nil })
		<-time.After(500 * time.Millisecond)
		mu.Lock()
		if len(confirmed) > 0 {
			t.Errorf("confirmed by the calls sent at %s with an old answer", confirmed)
		}
		mu.Unlock()
		s.put("second")
		<-time.After(1500 * time.Millisecond)
		mu.Lock()
		if len(confirmed) == 0 {
			t.Error("not confirmed by new answers")
		}
		mu.Unlock()
		cancel()
		group.Wait()
	})
}

// TestSlowSnapshotsLeaveTheLinkFree: snapshots that take a second are read less often, but changes that a watch does
// not deliver still arrive.
func TestSlowSnapshotsLeaveTheLinkFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &table{snapshotDelay: 995 * time.Millisecond}
		s.put("first")
		seen := startWatcher(t, s)
		const duration = 2 * time.Minute
		<-time.After(duration)
		if busy := time.Duration(s.snapshots) * time.Second; busy > duration/snapshotShare+time.Second {
			t.Errorf("%d snapshots of a second in %s", s.snapshots, duration)
		}
		s.set(func() { s.watchSilent = true })
		s.put("second")
		<-time.After(25 * time.Second)
		if got := seen(); !slices.Contains(got, "second") {
			t.Errorf("seen %v", got)
		}
	})
}

// snapshotShare is the part of the time that snapshots may take at most, as a divisor.
const snapshotShare = 20
