package simulator

import (
	"sort"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// table keeps rows in memory and applies transactions one after the other.
type table struct {
	mu      sync.Mutex
	rows    map[string]connector.Row
	version int64
	writes  *rate.Limiter
	reads   *rate.Limiter
	clock   clockwork.Clock
	counts  TableCounts
}

// TableCounts says how often the table was used, and how often it refused over its rate.
type TableCounts struct {
	Writes  int64 `json:"writes"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
}

func newTable(writesPerSecond, readsPerSecond int, clock clockwork.Clock) *table {
	return &table{
		rows:   make(map[string]connector.Row),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		clock:  clock,
	}
}

func (t *table) transact(transaction connector.Transaction) (outcome connector.Outcome, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.writes.AllowN(t.clock.Now(), 1) {
		t.counts.Refused++
		return connector.Outcome{}, false
	}
	t.counts.Writes++
	for _, precondition := range transaction.Preconditions {
		row, found := t.rows[precondition.Key]
		if row.Version != precondition.Version {
			if !found {
				row.Key = precondition.Key
			}
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome, true
	}
	t.version++
	for _, put := range transaction.Puts {
		t.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: t.version}
	}
	for _, key := range transaction.Deletes {
		delete(t.rows, key)
	}
	return connector.Outcome{Committed: true, Version: t.version}, true
}

func (t *table) read(ask connector.ReadRequest) (reply connector.ReadReply, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.AllowN(t.clock.Now(), 1) {
		t.counts.Refused++
		return reply, false
	}
	t.counts.Reads++
	reply.Rows = []connector.Row{}
	for _, key := range ask.Keys {
		if row, found := t.rows[key]; found {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if ask.Prefix != "" {
		reply.Rows = append(reply.Rows, t.page(ask)...)
	}
	return reply, true
}

func (t *table) page(ask connector.ReadRequest) []connector.Row {
	var rows []connector.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, ask.Prefix) && key > ask.After {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if ask.Limit > 0 && len(rows) > ask.Limit {
		rows = rows[:ask.Limit]
	}
	return rows
}

func (t *table) usage() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
