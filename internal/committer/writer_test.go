package committer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/connector"
)

// delivery is what happens to one transaction request.
type delivery int

const (
	delivered delivery = iota
	replyLost
	requestLost
	// delayed: the sender sees a lost connection, and the request arrives later, just before or after
	// another one.
	delayed
	refused
	notSent
	deliveryKinds
)

// unreliableTable applies transactions like the table service, over a network that loses and delays
// messages.
type unreliableTable struct {
	rows         map[string]connector.Row
	version      int64
	deliveries   []delivery
	late         []connector.Transaction
	failingReads int
	applied      map[string]int
}

func (t *unreliableTable) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	next := delivered
	if len(t.deliveries) > 0 {
		next, t.deliveries = t.deliveries[0], t.deliveries[1:]
	}
	lost := &connector.UnreachableError{Call: "transact", Err: context.DeadlineExceeded}
	switch next {
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
	// Delayed transactions arrive before the current one if the version is even, else after it.
	if t.version%2 == 0 {
		t.deliverLate()
	}
	outcome := t.apply(transaction)
	t.deliverLate()
	return outcome, nil
}

func (t *unreliableTable) deliverLate() {
	late := t.late
	t.late = nil
	for _, transaction := range late {
		t.apply(transaction)
	}
}

func (t *unreliableTable) apply(transaction connector.Transaction) connector.Outcome {
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

func (t *unreliableTable) Read(_ context.Context, keys ...string) (map[string]connector.Row, error) {
	if t.failingReads > 0 {
		t.failingReads--
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

// instantClock is a clock whose timers fire immediately.
type instantClock struct{ clockwork.Clock }

func (c instantClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

// TestCommitOutcomeIsCorrectDespiteFaults guards against wrong outcomes when messages are lost,
// delayed or delivered twice: a transaction reported as committed must have been applied exactly
// once, and one reported as conflicting must never have been applied.
func TestCommitOutcomeIsCorrectDespiteFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := &unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}
		writer := committer.NewWriter(table, "test", instantClock{clockwork.NewFakeClock()})
		committed := make(map[string]bool)
		count := rapid.IntRange(1, 8).Draw(rt, "transactions")
		for i := 1; i <= count; i++ {
			for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(deliveryKinds)-1), 0, 6).Draw(rt, "deliveries") {
				table.deliveries = append(table.deliveries, delivery(f))
			}
			table.failingReads = rapid.IntRange(0, 2).Draw(rt, "failing reads")
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
		for id, reported := range committed {
			want := 0
			if reported {
				want = 1
			}
			if table.applied[id] != want {
				rt.Fatalf("%s was reported as committed=%t but was applied %d times", id, reported, table.applied[id])
			}
		}
	})
}

// slowTable replies after a delay, and does not reply to the first unanswered transactions.
type slowTable struct {
	unreliableTable
	latency    time.Duration
	unanswered int
	// mu guards the rows, because a writer may read while it waits for a reply.
	mu sync.Mutex
}

func (t *slowTable) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	latency := t.latency
	if t.unanswered > 0 {
		t.unanswered--
		latency = time.Hour
	}
	select {
	case <-ctx.Done():
		return connector.Outcome{}, &connector.UnreachableError{Call: "transact", Err: ctx.Err()}
	case <-time.After(latency):
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.apply(transaction), nil
	}
}

func (t *slowTable) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreliableTable.Read(ctx, keys...)
}

// TestCommitRetriesSoonAfterNoReply guards against one unresponsive connection blocking all later
// writes of the writer. A table that is merely slow must be given enough time to reply.
func TestCommitRetriesSoonAfterNoReply(t *testing.T) {
	for _, test := range []struct {
		name            string
		latency, within time.Duration
		unanswered      int
	}{
		{"no reply to the first send", 15 * time.Millisecond, 800 * time.Millisecond, 1},
		{"slow", 1200 * time.Millisecond, 3500 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowTable{unreliableTable: unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}, latency: test.latency, unanswered: test.unanswered}
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

// slowStore takes a quarter of a second for a read.
type slowStore struct {
	slowTable
}

func (s *slowStore) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	select {
	case <-ctx.Done():
		return nil, &connector.UnreachableError{Call: "read", Err: ctx.Err()}
	case <-time.After(250 * time.Millisecond):
		return s.slowTable.Read(ctx, keys...)
	}
}

// TestCommitAwaitsSlowStore replays a store that answers 57 times slower than usual, which is longer than
// the send timeout, for a single transaction and for one behind two others. It must not be given up and
// read back, which takes half as long again.
func TestCommitAwaitsSlowStore(t *testing.T) {
	for _, latency := range []time.Duration{750 * time.Millisecond, 1450 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &slowStore{slowTable: slowTable{unreliableTable: unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}, latency: latency}}
				w := committer.NewWriter(table, "w", clockwork.NewRealClock())
				began := time.Now()
				if outcome, err := w.Commit(t.Context(), connector.Transaction{}); err != nil || !outcome.Committed {
					t.Fatalf("%+v, %v", outcome, err)
				}
				if took := time.Since(began); took > latency || w.Retries() > 0 {
					t.Errorf("took %s with %d retries, want none", took, w.Retries())
				}
			})
		})
	}
}

func TestCommitTimeoutReportsWhetherInDoubt(t *testing.T) {
	for _, c := range []struct {
		name     string
		delivery delivery
		inDoubt  bool
	}{
		{"reply lost", replyLost, true},
		{"request lost", requestLost, true},
		{"refused", refused, false},
		{"never sent", notSent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int), failingReads: 1000}
			for range 1000 {
				table.deliveries = append(table.deliveries, c.delivery)
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

// TestCommitIsRetriedWhenTheTableIsRestored replays an outage of some seconds, after which the delay
// between two attempts has grown to a second: the transaction is sent again at the end of the outage,
// not at the end of the delay.
func TestCommitIsRetriedWhenTheTableIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &outageTable{slowTable: slowTable{unreliableTable: unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int)}}}
		table.down.Store(true)
		restored := make(chan struct{})
		writer := committer.NewWriter(table, "w", clockwork.NewRealClock())
		writer.RetryWhenRestored(func() <-chan struct{} { return restored })
		const outage = 5123 * time.Millisecond
		time.AfterFunc(outage, func() {
			table.down.Store(false)
			close(restored)
		})
		began := time.Now()
		if outcome, err := writer.Commit(t.Context(), connector.Transaction{}); err != nil || !outcome.Committed {
			t.Fatalf("%+v, %v", outcome, err)
		}
		if late := time.Since(began) - outage; late > 50*time.Millisecond {
			t.Errorf("committed %s after the outage", late)
		}
	})
}

// outageTable refuses all calls while it is down.
type outageTable struct {
	slowTable
	down atomic.Bool
}

func (o *outageTable) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if o.down.Load() {
		return connector.Outcome{}, &connector.RefusedError{Status: 503}
	}
	return o.slowTable.Transact(ctx, transaction)
}

// TestConfirmedTransactionIsNotInDoubt: a transaction whose reply was lost is confirmed by reading
// back. If the next one is refused until its caller stops waiting, that one has had no effect, and is
// not reported as in doubt.
func TestConfirmedTransactionIsNotInDoubt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	table := &refusingTable{unreliableTable: unreliableTable{rows: make(map[string]connector.Row), applied: make(map[string]int), deliveries: []delivery{replyLost}}}
	writer := committer.NewWriter(table, "test", instantClock{clockwork.NewFakeClock()})
	if outcome, err := writer.Commit(ctx, connector.Transaction{}); err != nil || !outcome.Committed {
		t.Fatalf("%+v, %v", outcome, err)
	}
	table.onRefusal = cancel
	_, err := writer.Commit(ctx, connector.Transaction{})
	var inDoubt *committer.InDoubtError
	if err == nil || errors.As(err, &inDoubt) {
		t.Errorf("a transaction that was refused ended with %v", err)
	}
}

// refusingTable refuses all transactions once onRefusal is set, and calls it each time.
type refusingTable struct {
	unreliableTable
	onRefusal func()
}

func (t *refusingTable) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	if t.onRefusal != nil {
		t.onRefusal()
		return connector.Outcome{}, &connector.RefusedError{Call: "transact", Status: 503}
	}
	return t.unreliableTable.Transact(ctx, transaction)
}
