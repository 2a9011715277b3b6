package simulator

import (
	"sort"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// table holds rows in memory and applies transactions one at a time.
type table struct {
	mu      sync.Mutex
	rows    map[string]connector.Row
	version int64
	writes  *rate.Limiter
	reads   *rate.Limiter
	clock   clockwork.Clock
	counts  TableCounts
}

// TableCounts counts the calls to the table. Refused counts those above a rate limit.
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

func (t *table) read(request connector.ReadRequest) (reply connector.ReadReply, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reads.AllowN(t.clock.Now(), 1) {
		t.counts.Refused++
		return reply, false
	}
	t.counts.Reads++
	reply.Rows = []connector.Row{}
	for _, key := range request.Keys {
		if row, found := t.rows[key]; found {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if request.Prefix != "" {
		reply.Rows = append(reply.Rows, t.scan(request)...)
	}
	return reply, true
}

func (t *table) scan(request connector.ReadRequest) []connector.Row {
	var rows []connector.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, request.Prefix) && key > request.After {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if request.Limit > 0 && len(rows) > request.Limit {
		rows = rows[:request.Limit]
	}
	return rows
}

func (t *table) usage() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
