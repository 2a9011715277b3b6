package commander

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/pkg/caller"
)

const (
	// The limits keep the load command from overloading a cell.
	maxLoadRate     = 5000
	maxLoadLength   = 5 * time.Minute
	maxLoadInFlight = 2000
)

type loadCommand struct {
	executeStub
	callerOptions
	Rate   int           `long:"rate" default:"100" description:"quick requests per second, at most 5000"`
	Length time.Duration `long:"length" default:"10s" description:"duration of the load, at most 5m"`
	Prefix string        `long:"prefix" default:"load" description:"prefix of the idempotency keys; use a new one for each run"`
	Args   fileArgument  `positional-args:"yes"`
}

// LoadResult is the result of a load run, measured at the client. The latency of a request includes its
// retries.
type LoadResult struct {
	Sent      int              `json:"sent"`
	Done      int              `json:"done"`
	NotRun    int              `json:"not-run"`
	Other     int              `json:"other"`
	Undecided int              `json:"undecided"`
	P50       modeler.Duration `json:"p50"`
	P90       modeler.Duration `json:"p90"`
	P99       modeler.Duration `json:"p99"`
	Max       modeler.Duration `json:"max"`
}

// loadRecorder collects the outcomes of a load run.
type loadRecorder struct {
	mu        sync.Mutex
	result    LoadResult
	latencies *hdrhistogram.Histogram
}

func (r *loadRecorder) record(answer caller.Answer, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// RecordValue fails only for latencies above one hour, and a run is shorter.
	_ = r.latencies.RecordValue(max(1, took.Microseconds()))
	switch {
	case err != nil:
		r.result.Undecided++
	case answer.State == caller.Done:
		r.result.Done++
	case answer.State == caller.NotRun:
		r.result.NotRun++
	default:
		r.result.Other++
	}
}

func (c *loadCommand) run(s *session) error {
	if c.Rate < 1 || c.Rate > maxLoadRate || c.Length <= 0 || c.Length > maxLoadLength {
		return &InputError{Reason: "--rate or --length is out of range", Remedy: fmt.Sprintf("give a rate of 1 to %d per second and a length of at most %s", maxLoadRate, maxLoadLength)}
	}
	job, err := readJob(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, closeAll, err := c.client(s)
	if err != nil {
		return err
	}
	defer closeAll()
	recorder := &loadRecorder{latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	c.send(ctx, client, job, recorder)
	result := recorder.summarize()
	if err := writeResult(s, c.JSON, result, "sent %d: %d done, %d not run, %d other, %d undecided\np50 %s  p90 %s  p99 %s  max %s\n",
		result.Sent, result.Done, result.NotRun, result.Other, result.Undecided,
		time.Duration(result.P50), time.Duration(result.P90), time.Duration(result.P99), time.Duration(result.Max)); err != nil {
		return err
	}
	if result.Undecided > 0 {
		return &UnreachableError{Address: c.Callers, Reason: fmt.Sprintf("the outcome of %d requests is unknown", result.Undecided)}
	}
	return nil
}

// send sends requests at the configured rate without waiting for answers (open loop), up to a limit of
// requests in flight. Waiting for answers would hide the delays to be measured (coordinated omission).
func (c *loadCommand) send(ctx context.Context, client *caller.Client, job caller.Job, recorder *loadRecorder) {
	limiter := rate.NewLimiter(rate.Limit(c.Rate), 1)
	inFlight := make(chan struct{}, maxLoadInFlight)
	var sending sync.WaitGroup
	defer sending.Wait()
	count := int(c.Length.Seconds() * float64(c.Rate))
	for number := range count {
		if limiter.Wait(ctx) != nil {
			return
		}
		inFlight <- struct{}{}
		recorder.result.Sent++
		key := fmt.Sprintf("%s-%d", c.Prefix, number)
		sending.Go(func() {
			defer func() { <-inFlight }()
			began := clock.Now()
			answer, err := client.Request(ctx, key, job)
			recorder.record(answer, err, clock.Since(began))
		})
	}
}

func (r *loadRecorder) summarize() LoadResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(quantile float64) modeler.Duration {
		return modeler.Duration(time.Duration(r.latencies.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	r.result.P50, r.result.P90, r.result.P99, r.result.Max = at(50), at(90), at(99), at(100)
	return r.result
}
