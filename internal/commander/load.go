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
	// The load command is for measuring a cell, not for breaking one.
	maxLoadRate   = 5000
	maxLoadLength = 5 * time.Minute
	maxLoadOpen   = 2000
)

type loadCommand struct {
	unused
	callerOptions
	Rate   int           `long:"rate" default:"100" description:"quick requests a second, 5000 at most"`
	Length time.Duration `long:"length" default:"10s" description:"how long, 5m at most"`
	Prefix string        `long:"prefix" default:"load" description:"begin of the keys; use a new one for each run"`
	Args   fileArgument  `positional-args:"yes"`
}

// LoadResult is what a load run measured, from outside, with every repetition inside a request's
// time.
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

// gauge gathers the outcomes of a load run.
type gauge struct {
	mu     sync.Mutex
	result LoadResult
	times  *hdrhistogram.Histogram
}

func (g *gauge) note(answer caller.Answer, err error, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Only a request of over an hour fails to be recorded, and the run is shorter.
	_ = g.times.RecordValue(max(1, took.Microseconds()))
	switch {
	case err != nil:
		g.result.Undecided++
	case answer.State == caller.Done:
		g.result.Done++
	case answer.State == caller.NotRun:
		g.result.NotRun++
	default:
		g.result.Other++
	}
}

func (c *loadCommand) run(s *session) error {
	if c.Rate < 1 || c.Rate > maxLoadRate || c.Length <= 0 || c.Length > maxLoadLength {
		return &InputError{Reason: "rate or length is out of bounds", Remedy: fmt.Sprintf("give 1 to %d a second for at most %s", maxLoadRate, maxLoadLength)}
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
	g := &gauge{times: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	c.send(ctx, client, job, g)
	result := g.finish()
	if err := say(s, c.JSON, result, "sent %d: %d done, %d not run, %d other, %d undecided\np50 %s  p90 %s  p99 %s  max %s\n",
		result.Sent, result.Done, result.NotRun, result.Other, result.Undecided,
		time.Duration(result.P50), time.Duration(result.P90), time.Duration(result.P99), time.Duration(result.Max)); err != nil {
		return err
	}
	if result.Undecided > 0 {
		return &UnreachableError{Address: c.Callers, Reason: fmt.Sprintf("%d requests have no certain answer", result.Undecided)}
	}
	return nil
}

// send keeps to the rate whether or not answers come (an open loop), up to a bound of open
// requests; waiting for answers would hide the very delays that are to be measured.
func (c *loadCommand) send(ctx context.Context, client *caller.Client, job caller.Job, g *gauge) {
	pace := rate.NewLimiter(rate.Limit(c.Rate), 1)
	open := make(chan struct{}, maxLoadOpen)
	var sending sync.WaitGroup
	defer sending.Wait()
	count := int(c.Length.Seconds() * float64(c.Rate))
	for number := range count {
		if pace.Wait(ctx) != nil {
			return
		}
		open <- struct{}{}
		g.result.Sent++
		key := fmt.Sprintf("%s-%d", c.Prefix, number)
		sending.Go(func() {
			defer func() { <-open }()
			began := clock.Now()
			answer, err := client.Request(ctx, key, job)
			g.note(answer, err, clock.Since(began))
		})
	}
}

func (g *gauge) finish() LoadResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := func(quantile float64) modeler.Duration {
		return modeler.Duration(time.Duration(g.times.ValueAtQuantile(quantile)) * time.Microsecond)
	}
	g.result.P50, g.result.P90, g.result.P99, g.result.Max = at(50), at(90), at(99), at(100)
	return g.result
}
