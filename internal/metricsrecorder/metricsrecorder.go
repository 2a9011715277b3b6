// Package metricsrecorder records the scheduling decisions of an instance as expvar counters and the
// waiting times of tasks as HDR histograms.
//
// # Usage
//
//	recorder := metricsrecorder.New()
//	recorder.CountDecision(modeler.Batch, "placed")
//	http.Handle("GET /debug/vars", recorder)
//	waits := recorder.Waits()
//
// Variables are not published in expvar's global registry, because a process may run several instances,
// as the demo does.
package metricsrecorder

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Waiting times are recorded in microseconds up to one hour, with three significant digits.
const (
	maxWaitMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Recorder holds the metrics of one instance.
type Recorder struct {
	root      *expvar.Map
	decisions *expvar.Map
	routes    *expvar.Map

	mu    sync.Mutex
	waits map[modeler.Class]*hdrhistogram.Histogram
}

// New returns a Recorder without recorded values.
func New() *Recorder {
	r := &Recorder{
		root:      new(expvar.Map).Init(),
		decisions: new(expvar.Map).Init(),
		routes:    new(expvar.Map).Init(),
		waits:     make(map[modeler.Class]*hdrhistogram.Histogram),
	}
	r.root.Set("decisions", r.decisions)
	r.root.Set("routes", r.routes)
	r.root.Set("waits", expvar.Func(func() any { return r.Waits() }))
	return r
}

// Publish adds a variable whose value is computed whenever the variables are read.
func (r *Recorder) Publish(name string, value func() any) { r.root.Set(name, expvar.Func(value)) }

// ServeHTTP writes all variables as JSON.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// An error means that the client has disconnected, so it can't be reported.
	_, _ = fmt.Fprintln(w, r.root.String())
}

// CountDecision counts a decision about a task by class and outcome.
func (r *Recorder) CountDecision(class modeler.Class, outcome string) {
	r.decisions.Add(string(class)+"."+outcome, 1)
}

// CountRoute counts a call by the destination to which it was routed.
func (r *Recorder) CountRoute(destination string) { r.routes.Add(destination, 1) }

// ObserveWait records the time from acceptance to the first placement of a task.
func (r *Recorder) ObserveWait(class modeler.Class, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.waits[class]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxWaitMicros, significantDigits)
		r.waits[class] = histogram
	}
	// RecordValue fails only for values above the maximum. Longer waits are recorded as one hour.
	_ = histogram.RecordValue(min(wait.Microseconds(), maxWaitMicros))
}

// WaitStats summarizes the waiting times of a class.
type WaitStats struct {
	Class modeler.Class    `json:"class"`
	Count int64            `json:"count"`
	P50   modeler.Duration `json:"p50"`
	P99   modeler.Duration `json:"p99"`
	Max   modeler.Duration `json:"max"`
}

// Waits summarizes the waiting times by class, omitting classes of which no task has been placed yet.
func (r *Recorder) Waits() []WaitStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	var waits []WaitStats
	for _, class := range modeler.Classes() {
		histogram := r.waits[class]
		if histogram == nil {
			continue
		}
		waits = append(waits, WaitStats{
			Class: class,
			Count: histogram.TotalCount(),
			P50:   microsToDuration(histogram.ValueAtQuantile(50)),
			P99:   microsToDuration(histogram.ValueAtQuantile(99)),
			Max:   microsToDuration(histogram.Max()),
		})
	}
	return waits
}

func microsToDuration(micros int64) modeler.Duration {
	return modeler.Duration(time.Duration(micros) * time.Microsecond)
}

// Decisions returns the number of decisions by class and outcome, joined by a dot.
func (r *Recorder) Decisions() map[string]int64 {
	decisions := make(map[string]int64)
	r.decisions.Do(func(entry expvar.KeyValue) {
		if count, isInt := entry.Value.(*expvar.Int); isInt {
			decisions[entry.Key] = count.Value()
		}
	})
	return decisions
}
