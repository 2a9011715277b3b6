package committer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/connector"
)

// fate is what happens to one transaction on its way.
type fate int

const (
	arrives fate = iota
	replyLost
	requestLost
	// delayed: the sender sees a lost connection, and the request arrives after some later one.
	delayed
	refused
	notSent
	fates
)

// roughTable applies transactions like the table service, on a road with faults.
type roughTable struct {
	rows     map[string]connector.Row
	version  int64
	fates    []fate
	late     []connector.Transaction
	readsBad int
	applied  map[string]int
}

func (t *roughTable) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	happens := arrives
	if len(t.fates) > 0 {
		happens, t.fates = t.fates[0], t.fates[1:]
	}
	lost := &connector.UnreachableError{Call: "transact", Err: context.DeadlineExceeded}
	switch happens {
	case replyLost:
		t.apply(transaction)
		return connector.Outcome{}, lost
	case requestLost:
		return connector.Outcome{}, lost
	case delayed:
		t.late = append(t.late, transaction)
		return connector.Outcome{}, lost
	case refused:
		return connector.Outcome{}, &connector.RefusedError{Call: "transact", Status: 503}
	case notSent:
		return connector.Outcome{}, &connector.UnreachableError{Call: "transact", NeverSent: true, Err: context.DeadlineExceeded}
	}
	// What was held up arrives first now and then, and last otherwise.
	if t.version%2 == 0 {
		t.deliverLate()
	}
	outcome := t.apply(transaction)
	t.deliverLate()
	return outcome, nil
}

func (t *roughTable) deliverLate() {
	late := t.late
	t.late = nil
	for _, transaction := range late {
		t.apply(transaction)
	}
}

func (t *roughTable) apply(transaction connector.Transaction) connector.Outcome {
	var outcome connector.Outcome
	for _, precondition := range transaction.Preconditions {
		if row := t.rows[precondition.Key]; row.Version != precondition.Version {
			outcome.Conflicts = append(outcome.Conflicts, connector.Row{Key: precondition.Key, Value: row.Value, Version: row.Version})
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome
	}
	t.version++
	t.applied[transaction.ID]++
	for _, put := range transaction.Puts {
		t.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	return connector.Outcome{Committed: true, Version: t.version}
}

func (t *roughTable) Read(_ context.Context, keys ...string) (map[string]connector.Row, error) {
	if t.readsBad > 0 {
		t.readsBad--
		return nil, &connector.UnreachableError{Call: "read", Err: context.DeadlineExceeded}
	}
	rows := make(map[string]connector.Row)
	for _, key := range keys {
		if row, found := t.rows[key]; found {
			rows[key] = row
		}
	}
	return rows, nil
}

// hastyClock lets no time pass while something waits.
type hastyClock struct{ clockwork.Clock }

func (c hastyClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// TestCommitTellsTheTruthOnARoughRoad: what is told to be committed was applied once, what is told
// to conflict never was, whatever arrives lost, late or twice.
func TestCommitTellsTheTruthOnARoughRoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := &roughTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}
		writer := committer.NewWriter(table, "test", hastyClock{clockwork.NewFakeClock()})
		committed := make(map[string]bool)
		count := rapid.IntRange(1, 8).Draw(rt, "transactions")
		for i := 1; i <= count; i++ {
			for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(fates)-1), 0, 6).Draw(rt, "fates") {
				table.fates = append(table.fates, fate(f))
			}
			table.readsBad = rapid.IntRange(0, 2).Draw(rt, "bad reads")
			key := fmt.Sprintf("row-%d", rapid.IntRange(0, 2).Draw(rt, "row"))
			transaction := connector.Transaction{
				Preconditions: []connector.Precondition{{Key: key, Version: rapid.Int64Range(0, 3).Draw(rt, "version")}},
				Puts:          []connector.Put{{Key: key, Value: json.RawMessage(`1`)}},
			}
			outcome, err := writer.Commit(context.Background(), transaction)
			if err != nil {
				rt.Fatalf("transaction %d: %v", i, err)
			}
			committed[fmt.Sprintf("test/%d", i)] = outcome.Committed
		}
		table.deliverLate()
		for id, told := range committed {
			want := 0
			if told {
				want = 1
			}
			if table.applied[id] != want {
				rt.Fatalf("%s was told committed=%t and was applied %d times", id, told, table.applied[id])
			}
		}
	})
}

// slowTable answers after a while, and the first so many transactions not at all.
type slowTable struct {
	roughTable
	takes  time.Duration
	silent int
}

func (t *slowTable) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	takes := t.takes
	if t.silent > 0 {
		t.silent--
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		return connector.Outcome{}, &connector.UnreachableError{Call: "transact", Err: ctx.Err()}
	case <-time.After(takes):
		return t.apply(transaction), nil
	}
}

// TestSilentTableIsAskedAgainSoon: everything that has to be written waits behind a connection that has
// gone silent. A table that is only slow is given the time that it takes.
func TestSilentTableIsAskedAgainSoon(t *testing.T) {
	for _, test := range []struct {
		name          string
		takes, within time.Duration
		silent        int
	}{
		{"silent once", 15 * time.Millisecond, 800 * time.Millisecond, 1},
		{"slow", 1200 * time.Millisecond, 3500 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{roughTable: roughTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}, takes: test.takes, silent: test.silent}
				w := committer.NewWriter(table, "w", clockwork.NewRealClock())
				began := time.Now()
				if outcome, err := w.Commit(t.Context(), connector.Transaction{}); err != nil || !outcome.Committed {
					t.Fatalf("%+v, %v", outcome, err)
				}
				if took := time.Since(began); took > test.within {
					t.Errorf("took %s, want at most %s", took, test.within)
				}
			})
		})
	}
}

func TestCommitThatRunsOutOfTimeSaysWhetherItIsInDoubt(t *testing.T) {
	for _, c := range []struct {
		name    string
		fate    fate
		inDoubt bool
	}{
		{"reply lost", replyLost, true},
		{"request lost", requestLost, true},
		{"refused", refused, false},
		{"never sent", notSent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &roughTable{rows: make(map[string]connector.Row), applied: make(map[string]int), readsBad: 1000}
			for range 1000 {
				table.fates = append(table.fates, c.fate)
			}
			ctx, cancel := context.WithCancel(context.Background())
			clock := clockwork.NewFakeClock()
			writer := committer.NewWriter(table, "test", clock)
			ended := make(chan error, 1)
			go func() {
				_, err := writer.Commit(ctx, connector.Transaction{Puts: []connector.Put{{Key: "row", Value: json.RawMessage(`1`)}}})
				ended <- err
			}()
			if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
				t.Fatal(err)
			}
			cancel()
			err := <-ended
			_, inDoubt := err.(*committer.InDoubtError)
			if err == nil || inDoubt != c.inDoubt {
				t.Errorf("got %v, want in doubt %t", err, c.inDoubt)
			}
		})
	}
}
