package cellscheduler

import (
	"expvar"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/quotakeeper"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// Metrics holds the metrics of schedulers. The set of metric names is bounded: it depends only on
// final states, end reasons, refusal reasons and the teams of the configuration.
type Metrics struct {
	root *expvar.Map

	mu sync.Mutex
	// teams is what the teams of the configuration have in use, by cell.
	teams      map[string]map[string]quotakeeper.Use
	histograms map[string]*hdrhistogram.Histogram
}

// Histograms hold microseconds up to ten minutes with two significant digits.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// NewMetrics returns metrics with all values at zero.
func NewMetrics() *Metrics {
	m := &Metrics{root: new(expvar.Map).Init(), histograms: make(map[string]*hdrhistogram.Histogram)}
	m.root.Set("latencies", expvar.Func(func() any { return m.Latencies() }))
	return m
}

// Map returns the metrics for publication with expvar.
func (m *Metrics) Map() *expvar.Map { return m.root }

func (m *Metrics) record(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram := m.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxMicros, significantDigits)
		m.histograms[name] = histogram
	}
	// RecordValue fails only for values above the maximum, and those are recorded as the maximum.
	_ = histogram.RecordValue(min(max(1, took.Microseconds()), maxMicros))
}

// LatencySummary summarizes a histogram in microseconds.
type LatencySummary struct {
	Count  int64 `json:"count"`
	Median int64 `json:"p50-us"`
	P99    int64 `json:"p99-us"`
	Max    int64 `json:"max-us"`
}

// Latencies returns a summary of each histogram by name.
func (m *Metrics) Latencies() map[string]LatencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	latencies := make(map[string]LatencySummary, len(m.histograms))
	for name, histogram := range m.histograms {
		latencies[name] = LatencySummary{
			Count: histogram.TotalCount(), Median: histogram.ValueAtQuantile(50),
			P99: histogram.ValueAtQuantile(99), Max: histogram.Max(),
		}
	}
	return latencies
}

// JobAccepted counts an accepted job and records the time until it was written.
func (m *Metrics) JobAccepted(_ string, took time.Duration) {
	m.root.Add("accepted", 1)
	m.record("acceptance", took)
}

// JobRefused counts a refused job by cause.
func (m *Metrics) JobRefused(reason string) {
	m.root.Add("refused", 1)
	switch reason {
	case reasonStoreSlow:
		m.root.Add("refused-store-slow", 1)
	case reasonStoreSilent:
		m.root.Add("refused-store-silent", 1)
	}
}

// PoliciesAdopted counts the jobs that were stored without a policy and have one now.
func (m *Metrics) PoliciesAdopted(jobs int) { m.root.Add("policies-adopted", int64(jobs)) }

// WriteForecast records by how much an acceptance was written later or sooner than forecast.
func (m *Metrics) WriteForecast(late time.Duration) {
	m.record("write-forecast-error", late.Abs())
}

// JobFinished counts a job that became final and records its age.
func (m *Metrics) JobFinished(_ string, state steptracker.State, took time.Duration) {
	m.root.Add("final-"+string(state), 1)
	m.record("job-"+string(state), took)
}

// OrderRepeated counts an order to a worker that was sent again because it was not answered in time.
func (m *Metrics) OrderRepeated(kind string) { m.root.Add("repeated-"+kind, 1) }

// GangWaits counts a gang that could not be placed, by the reason.
func (m *Metrics) GangWaits(reason string) {
	m.root.Add("gang-waits-"+strings.ReplaceAll(reason, " ", "-"), 1)
}

// RunEnded counts the end of a run.
func (m *Metrics) RunEnded(how steptracker.EndReason) { m.root.Add("ended-"+string(how), 1) }

// EndsWritten counts listed ends that were written and may be acknowledged, and records how long that took.
func (m *Metrics) EndsWritten(ends int64, took time.Duration) {
	m.root.Add("ends-written", ends)
	m.record("ends-written", took)
}

// ForeignEndListed counts an end that is listed as done and is not of the current run of its task.
func (m *Metrics) ForeignEndListed() { m.root.Add("done-runs-not-current", 1) }

// WorkerCrashed counts an incarnation of a worker that has ended with runs on it, and these runs.
func (m *Metrics) WorkerCrashed(runs int) {
	m.root.Add("workers-crashed", 1)
	m.root.Add("runs-on-crashed-workers", int64(runs))
}

// TaskGivenUp counts a task that is not started again because it crashes its workers.
func (m *Metrics) TaskGivenUp() { m.root.Add("tasks-given-up", 1) }

// PairChanged counts a pair of kinds that slow each other down as known or no longer known.
func (m *Metrics) PairChanged(found bool) {
	if found {
		m.root.Add("interference-pairs", 1)
		return
	}
	m.root.Add("interference-pairs", -1)
}

// TasksParted counts the tasks that were kept apart from neighbours with which there is interference, and those
// that were placed beside one for lack of other room.
func (m *Metrics) TasksParted(avoided, beside int) {
	m.root.Add("interference-avoided", int64(avoided))
	m.root.Add("interference-unavoided", int64(beside))
}

// RunSlowed counts a run that known neighbours have slowed down.
func (m *Metrics) RunSlowed() { m.root.Add("interference-slowed-runs", 1) }

// TransactionCommitted counts a transaction and its rows and records its duration.
func (m *Metrics) TransactionCommitted(took time.Duration, rows int) {
	m.root.Add("transactions", 1)
	m.root.Add("rows", int64(rows))
	m.record("transaction", took)
}

// StartAnswered counts the result of a start order and records how long it took.
func (m *Metrics) StartAnswered(took time.Duration, err error) {
	var refused *workerdriver.RefusedError
	switch {
	case err == nil:
		m.root.Add("starts", 1)
	case errors.As(err, &refused):
		m.root.Add("starts-refused-"+string(refused.Reason), 1)
	default:
		m.root.Add("starts-in-doubt", 1)
	}
	m.record("start", took)
}

// AdviceAnswered records the duration of an advisor call and counts it if it failed.
func (m *Metrics) AdviceAnswered(took time.Duration, err error) {
	if err != nil {
		m.root.Add("advice-failed", 1)
	}
	m.record("advice", took)
}

// RefusedByQuota counts a job that was refused because its team's quota never allows it.
func (m *Metrics) RefusedByQuota() { m.root.Add("refused-by-quota", 1) }

// HeldByQuota counts a step that has begun to wait for its team's quota.
func (m *Metrics) HeldByQuota() { m.root.Add("held-by-quota", 1) }

// ReleasedByQuota records how long a step has waited for its team's quota.
func (m *Metrics) ReleasedByQuota(held time.Duration) { m.record("quota-wait", held) }

// setTeams publishes what the teams of the configuration have in use in a cell. The variable exists only
// where the configuration has teams.
func (m *Metrics) setTeams(cell string, uses map[string]quotakeeper.Use) {
	m.mu.Lock()
	first := m.teams == nil
	if first {
		m.teams = make(map[string]map[string]quotakeeper.Use)
	}
	m.teams[cell] = uses
	m.mu.Unlock()
	if first {
		m.root.Set("teams", expvar.Func(func() any { return m.Teams() }))
	}
}

// withdrawTeams removes a cell that another instance owns now.
func (m *Metrics) withdrawTeams(cell string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.teams, cell)
}

// Teams returns what each team of the configuration has in use, and its quota, by cell.
func (m *Metrics) Teams() map[string]map[string]quotakeeper.Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.teams)
}
