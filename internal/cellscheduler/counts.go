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

// Metrics are the metrics of a scheduler. Its names are bounded: queues and endings.
type Metrics struct {
	root *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Histograms hold microseconds up to ten minutes with two significant digits.
const (
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2
)

// NewMetrics returns counts at zero.
func NewMetrics() *Metrics {
	c := &Metrics{root: new(expvar.Map).Init(), histograms: make(map[string]*hdrhistogram.Histogram)}
	c.root.Set("latencies", expvar.Func(func() any { return c.Latencies() }))
	return c
}

// Map returns the counters for publication.
func (c *Metrics) Map() *expvar.Map { return c.root }

func (c *Metrics) record(name string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	histogram := c.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, longestMicros, digits)
		c.histograms[name] = histogram
	}
	// Only what is over the longest fails, and it counts as the longest.
	_ = histogram.RecordValue(min(max(1, took.Microseconds()), longestMicros))
}

// LatencySummary sums up a histogram, in microseconds.
type LatencySummary struct {
	Count  int64 `json:"count"`
	Median int64 `json:"p50-us"`
	P99    int64 `json:"p99-us"`
	Max    int64 `json:"max-us"`
}

// Latencies returns all histograms by name.
func (c *Metrics) Latencies() map[string]LatencySummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	latencies := make(map[string]LatencySummary, len(c.histograms))
	for name, histogram := range c.histograms {
		latencies[name] = LatencySummary{
			Count: histogram.TotalCount(), Median: histogram.ValueAtQuantile(50),
			P99: histogram.ValueAtQuantile(99), Max: histogram.Max(),
		}
	}
	return latencies
}

// JobAccepted counts an accepted job and the time until it was written.
func (c *Metrics) JobAccepted(_ string, took time.Duration) {
	c.root.Add("accepted", 1)
	c.record("acceptance", took)
}

// JobRefused counts a refused job.
func (c *Metrics) JobRefused(string) { c.root.Add("refused", 1) }

// JobFinished counts a job with a final state.
func (c *Metrics) JobFinished(_ string, state steptracker.State, took time.Duration) {
	c.root.Add("final-"+string(state), 1)
	c.record("job-"+string(state), took)
}

// RunEnded counts the end of a run.
func (c *Metrics) RunEnded(how steptracker.EndReason) { c.root.Add("ended-"+string(how), 1) }

// TransactionCommitted counts a transaction.
func (c *Metrics) TransactionCommitted(took time.Duration, rows int) {
	c.root.Add("transactions", 1)
	c.root.Add("rows", int64(rows))
	c.record("transaction", took)
}

// StartAnswered counts a start.
func (c *Metrics) StartAnswered(took time.Duration, err error) {
	var refused *workerdriver.RefusedError
	switch {
	case err == nil:
		c.root.Add("starts", 1)
	case errors.As(err, &refused):
		c.root.Add("starts-refused-"+string(refused.Reason), 1)
	default:
		c.root.Add("starts-in-doubt", 1)
	}
	c.record("start", took)
}

// AdviceAnswered counts a call of the advisor.
func (c *Metrics) AdviceAnswered(took time.Duration, err error) {
	if err != nil {
		c.root.Add("advice-failed", 1)
	}
	c.record("advice", took)
}
