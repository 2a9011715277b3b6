package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/c2h5oh/datasize"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/pkg/caller"
)

// kind is one kind of work of a user.
type kind struct {
	name       string
	class      modeler.Class
	tasks      int
	needs      modeler.Resources
	runsFor    time.Duration
	repeatable bool
	urgent     bool
	worth      float64
	// count is how many each caller asks for over the length of the demo.
	count int
	// cancelled is how many in a hundred are cancelled soon after.
	cancelled int
}

func needs(processors float64, memory datasize.ByteSize, accelerators int64) modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Processors(processors * 1000),
		Memory:       memory,
		Accelerators: accelerators,
	}
}

// kindsOf returns the work of a team.
func kindsOf(team string) []kind {
	if team == "association" {
		return []kind{
			{name: "patch-quote", class: modeler.Quick, tasks: 1, needs: needs(0.25, 256*datasize.MB, 0), runsFor: 60 * time.Millisecond, repeatable: true, worth: 1, count: 400},
			{name: "material-order", class: modeler.Quick, tasks: 1, needs: needs(0.25, 256*datasize.MB, 0), runsFor: 80 * time.Millisecond, worth: 5, count: 60},
			{name: "leak-survey", class: modeler.Gang, tasks: 4, needs: needs(4, 8*datasize.GB, 1), runsFor: 900 * time.Millisecond, repeatable: true, urgent: true, worth: 20, count: 12, cancelled: 10},
			{name: "street-estimate", class: modeler.Batch, tasks: 12, needs: needs(2, 2*datasize.GB, 0), runsFor: 500 * time.Millisecond, repeatable: true, worth: 3, count: 40, cancelled: 20},
			{name: "crew-desk", class: modeler.StandingService, tasks: 2, needs: needs(2, 4*datasize.GB, 0), repeatable: true, count: 2},
		}
	}
	return []kind{
		{name: "seat-hold", class: modeler.Quick, tasks: 1, needs: needs(0.1, 128*datasize.MB, 0), runsFor: 30 * time.Millisecond, repeatable: true, worth: 1, count: 400},
		{name: "deposit-charge", class: modeler.Quick, tasks: 1, needs: needs(0.1, 128*datasize.MB, 0), runsFor: 50 * time.Millisecond, worth: 8, count: 60},
		{name: "seat-block-run", class: modeler.Gang, tasks: 3, needs: needs(2, 2*datasize.GB, 0), runsFor: 700 * time.Millisecond, repeatable: true, worth: 30, count: 12, cancelled: 10},
		{name: "settlement-run", class: modeler.Batch, tasks: 10, needs: needs(1, datasize.GB, 0), runsFor: 400 * time.Millisecond, repeatable: true, worth: 4, count: 40, cancelled: 20},
		{name: "box-office", class: modeler.StandingService, tasks: 2, needs: needs(1, datasize.GB, 0), repeatable: true, count: 2},
	}
}

// payload is what the stand-in's workers read: how long to run and what to answer.
type payload struct {
	Kind    string           `json:"kind"`
	RunsFor modeler.Duration `json:"runs-for"`
	Answer  payloadAnswer    `json:"answer"`
}

type payloadAnswer struct {
	Kind   string `json:"kind"`
	Number int    `json:"number"`
}

func (k kind) job(number int) (modeler.Job, error) {
	text, err := json.Marshal(payload{
		Kind:    k.name,
		RunsFor: modeler.Duration(k.runsFor),
		Answer:  payloadAnswer{Kind: k.name, Number: number},
	})
	if err != nil {
		return modeler.Job{}, errors.Wrap(err, "encode payload")
	}
	return modeler.Job{
		Class:           k.class,
		Tasks:           k.tasks,
		Needs:           k.needs,
		ExpectedRunTime: modeler.Duration(k.runsFor),
		Worth:           k.worth,
		Urgent:          k.urgent,
		Repeatable:      k.repeatable,
		Payload:         text,
	}, nil
}

// ledger keeps what callers asked and were told.
type ledger struct {
	mu    sync.Mutex
	calls []*record
}

// record is a call with the time when it was first sent.
type record struct {
	auditor.Call
	class modeler.Class
	team  string
	sent  time.Time
}

func (l *ledger) open(contract ticketer.Contract, key string, job modeler.Job, now time.Time) *record {
	r := &record{
		Call:  auditor.Call{Key: contract.Caller + "/" + key, Job: job, StandingService: job.Class == modeler.StandingService},
		class: job.Class,
		team:  contract.Team,
		sent:  now,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, r)
	return r
}

// told adds an answer, or the problem that came instead.
func (l *ledger) told(r *record, answer caller.Answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		r.Accepted = true
		r.Answers = append(r.Answers, answer)
		r.LastReason = answer.Reason
		return
	}
	r.LastReason = err.Error()
	var undecided *caller.UndecidedError
	if errors.As(err, &undecided) {
		return
	}
	var problem *caller.ProblemError
	if errors.As(err, &problem) && problem.Problem.Ran == "no" {
		r.RefusedNotRun = true
	}
}

func (l *ledger) evidence() []auditor.Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := make([]auditor.Call, 0, len(l.calls))
	for _, r := range l.calls {
		calls = append(calls, r.Call)
	}
	return calls
}

// workload sends one kind of work of one caller, evenly over the length of the demo with some
// random spread.
type workload struct {
	cell     *cell
	ledger   *ledger
	contract ticketer.Contract
	client   *caller.Client
	kind     kind
	random   *rand.Rand
	length   time.Duration
}

func (w *workload) run(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	gap := w.length / time.Duration(w.kind.count)
	for number := range w.kind.count {
		job, err := w.kind.job(number)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s-%04d", w.kind.name, number)
		cancel := w.random.IntN(100) < w.kind.cancelled
		open.Go(func() { w.serve(ctx, key, job, cancel) })
		pause := time.Duration(float64(gap) * (0.5 + w.random.Float64()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.cell.clock.After(pause):
		}
	}
	return nil
}

func (w *workload) serve(ctx context.Context, key string, job modeler.Job, cancel bool) {
	r := w.ledger.open(w.contract, key, job, w.cell.clock.Now())
	if job.Class == modeler.Quick {
		answer, err := w.client.Request(ctx, key, job)
		w.ledger.told(r, answer, err)
		return
	}
	answer, err := w.client.Submit(ctx, key, job)
	w.ledger.told(r, answer, err)
	if err != nil {
		return
	}
	if job.Class == modeler.StandingService {
		w.serveStanding(ctx, r, key)
		return
	}
	if cancel {
		w.ledger.mu.Lock()
		r.Cancelled = true
		w.ledger.mu.Unlock()
		answer, err = w.client.Cancel(ctx, key)
		w.ledger.told(r, answer, err)
		return
	}
	answer, err = w.client.Wait(ctx, key)
	w.ledger.told(r, answer, err)
}

// serveStanding looks at a standing service until it is placed.
func (w *workload) serveStanding(ctx context.Context, r *record, key string) {
	for {
		answer, err := w.client.Status(ctx, key)
		w.ledger.told(r, answer, err)
		if err != nil || answer.State == modeler.Placed || answer.State.Final() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.cell.clock.After(200 * time.Millisecond):
		}
	}
}
