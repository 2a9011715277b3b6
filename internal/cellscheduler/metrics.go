package cellscheduler

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// Metrics holds the metrics of schedulers. The set of metric names is bounded: it depends only on
// final states, end reasons and refusal reasons.
type Metrics struct {
	root *expvar.Map

	mu         sync.Mutex
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

// WriteForecast records by how much an acceptance was written later or sooner than forecast.
func (m *Metrics) WriteForecast(late time.Duration) {
	m.record("write-forecast-error", late.Abs())
}

// JobFinished counts a job that became final and records its age.
func (m *Metrics) JobFinished(_ string, state steptracker.State, took time.Duration) {
	m.root.Add("final-"+string(state), 1)
	m.record("job-"+string(state), took)
}

// RunEnded counts the end of a run.
func (m *Metrics) RunEnded(how steptracker.EndReason) { m.root.Add("ended-"+string(how), 1) }

// WorkerCrashed counts an incarnation of a worker that has ended with runs on it, and these runs.
func (m *Metrics) WorkerCrashed(runs int) {
	m.root.Add("workers-crashed", 1)
	m.root.Add("runs-on-crashed-workers", int64(runs))
}

// TaskGivenUp counts a task that is not started again because it crashes its workers.
func (m *Metrics) TaskGivenUp() { m.root.Add("tasks-given-up", 1) }

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
