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

// table answers as it is told to, and counts what it was asked.
type table struct {
	mu        sync.Mutex
	rows      []connector.Row
	version   int64
	err       error
	forgotten bool
	deaf      bool
	snapshots int
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
	<-time.After(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots++
	return connector.Changes{Rows: slices.Clone(s.rows), Version: s.version}, s.err
}

func (s *table) Watch(ctx context.Context, name string, after int64, wait time.Duration) (connector.Changes, error) {
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		s.mu.Lock()
		changes, err := connector.Changes{Version: s.version}, s.err
		if s.forgotten {
			s.forgotten = false
			err = &connector.CompactedError{Table: name, After: after}
		}
		if s.deaf {
			changes.Version = after
		}
		for _, row := range s.rows {
			if row.Version > after && !s.deaf {
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

// follow runs a watcher and returns what it has seen so far.
func follow(t *testing.T, s *table) (seen func() []string) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var keys []string
	var group sync.WaitGroup
	group.Go(func() {
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: s, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Table: "t",
			WatchTimeout: time.Second, ResyncInterval: 5 * time.Second,
			Apply: func(rows []connector.Row, whole bool) {
				mu.Lock()
				defer mu.Unlock()
				if whole {
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

func TestFollowerKeepsUp(t *testing.T) {
	for name, trouble := range map[string]func(s *table){
		"calm":                func(*table) {},
		"history forgotten":   func(s *table) { s.set(func() { s.forgotten = true }) },
		"watch hears nothing": func(s *table) { s.set(func() { s.deaf = true }) },
		"store away for a while": func(s *table) {
			s.set(func() { s.err = &connector.RefusedError{Status: 503} })
			<-time.After(2 * time.Second)
			s.set(func() { s.err = nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &table{}
				s.put("first")
				seen := follow(t, s)
				<-time.After(100 * time.Millisecond)
				if got := seen(); !slices.Equal(got, []string{"first"}) {
					t.Fatalf("seen %v", got)
				}
				trouble(s)
				s.put("second")
				// A watch that hears nothing is made up for when the rows are read anew.
				<-time.After(7 * time.Second)
				if got := seen(); !slices.Contains(got, "second") {
					t.Errorf("seen %v after seven seconds", got)
				}
			})
		})
	}
}
