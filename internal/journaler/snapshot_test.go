package journaler_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// memoryStore is an in-memory table and object store. beforePut, if set, is called once, before the
// next object is stored.
type memoryStore struct {
	rows      map[string]connector.Row
	version   int64
	objects   map[string]json.RawMessage
	beforePut func()
}

// instantClock is a clock whose timers fire immediately.
type instantClock struct{ clockwork.Clock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

func (s *memoryStore) Read(_ context.Context, keys ...string) (map[string]connector.Row, error) {
	rows := make(map[string]connector.Row)
	for _, key := range keys {
		if row, found := s.rows[key]; found {
			rows[key] = row
		}
	}
	return rows, nil
}

func (s *memoryStore) Scan(_ context.Context, prefix string) ([]connector.Row, error) {
	var rows []connector.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (s *memoryStore) PutObject(_ context.Context, name string, content json.RawMessage) error {
	if before := s.beforePut; before != nil {
		s.beforePut = nil
		before()
	}
	s.objects[name] = content
	return nil
}

func (s *memoryStore) GetObject(_ context.Context, name string) (json.RawMessage, error) {
	content, found := s.objects[name]
	if !found {
		return nil, &connector.RefusedError{Call: name, Status: 404}
	}
	return content, nil
}

func (s *memoryStore) DeleteObject(_ context.Context, name string) error {
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	var outcome connector.Outcome
	for _, precondition := range transaction.Preconditions {
		if row := s.rows[precondition.Key]; row.Version != precondition.Version {
			outcome.Conflicts = append(outcome.Conflicts, connector.Row{Key: precondition.Key, Version: row.Version})
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome, nil
	}
	s.version++
	for _, put := range transaction.Puts {
		s.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: s.version}
	}
	for _, key := range transaction.Deletes {
		delete(s.rows, key)
	}
	return connector.Outcome{Committed: true, Version: s.version}, nil
}

// noPiggyback adds no rows to transactions and does not limit their rate.
type noPiggyback struct{}

func (noPiggyback) PiggybackRows() ([]connector.Put, []connector.Precondition) { return nil, nil }
func (noPiggyback) PiggybackCommitted(time.Time)                               {}
func (noPiggyback) MinInterval() time.Duration                                 { return 0 }

func newStore(t *testing.T) (*memoryStore, *journaler.Journal) {
	t.Helper()
	s := &memoryStore{objects: make(map[string]json.RawMessage)}
	s.rows = map[string]connector.Row{journaler.OwnerKey("p"): {Key: journaler.OwnerKey("p"), Version: 1}}
	s.version = 1
	clock := instantClock{clockwork.NewFakeClock()}
	journal, stop := journaler.New(journaler.Settings{RowsPerSnapshot: 1}, committer.NewWriter(s, "w", clock), noPiggyback{}, noPiggyback{}, clock, slog.New(slog.DiscardHandler))
	t.Cleanup(stop)
	journal.Open("p", 1, 1)
	return s, journal
}

// appendAndWait appends one entry, waits until it is written and returns the key of its row.
func appendAndWait(t *testing.T, journal *journaler.Journal, key string) string {
	t.Helper()
	written := make(chan error, 1)
	journal.Append("p", journaler.Entry{Kind: journaler.Accepted, Key: key, Job: &modeler.Job{Tasks: 1}}, 0, func(err error) { written <- err })
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	for {
		if row, due := journal.SnapshotDue("p"); due {
			return row
		}
	}
}

func expectEntries(t *testing.T, s *memoryStore, want ...string) {
	t.Helper()
	recovered, err := journaler.Load(context.Background(), s, "p")
	if err != nil {
		t.Fatal(err)
	}
	got := append(strings.Fields(strings.Trim(string(recovered.Snapshot), `"`)), keysOf(recovered.Entries)...)
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("recovered %q, want %q", got, want)
	}
}

func keysOf(entries []journaler.Entry) []string {
	var keys []string
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

func TestSnapshotReplacesCoveredRows(t *testing.T) {
	s, journal := newStore(t)
	appendAndWait(t, journal, "a")
	second := appendAndWait(t, journal, "b")
	if err := journal.SaveSnapshot(context.Background(), s, "p", second, []byte(`"a b"`)); err != nil {
		t.Fatal(err)
	}
	appendAndWait(t, journal, "c")
	expectEntries(t, s, "a", "b", "c")
	if rows, _ := s.Scan(context.Background(), "journal/"); len(rows) != 1 {
		t.Errorf("%d journal rows are left, want 1", len(rows))
	}
}

// TestStaleSnapshotIsRejected guards against a slow snapshot replacing a newer one: a second
// snapshot is completed while the object of the first is being stored, and the rows that only the
// second one covers have already been deleted.
func TestStaleSnapshotIsRejected(t *testing.T) {
	s, journal := newStore(t)
	first := appendAndWait(t, journal, "a")
	second := appendAndWait(t, journal, "b")
	s.beforePut = func() {
		if err := journal.SaveSnapshot(context.Background(), s, "p", second, []byte(`"a b"`)); err != nil {
			t.Error(err)
		}
	}
	if err := journal.SaveSnapshot(context.Background(), s, "p", first, []byte(`"a"`)); err == nil {
		t.Error("the stale snapshot was recorded")
	}
	expectEntries(t, s, "a", "b")
}
