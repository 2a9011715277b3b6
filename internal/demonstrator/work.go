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

// workloadSpec describes one workload of a team.
type workloadSpec struct {
	name        string
	class       modeler.Class
	tasks       int
	needs       modeler.Resources
	runDuration time.Duration
	repeatable  bool
	urgent      bool
	worth       float64
	// count is how many requests each caller sends in the course of the demo.
	count int
	// cancelPercent is the percentage of requests that are cancelled as soon as they are accepted.
	cancelPercent int
}

func resources(processors float64, memory datasize.ByteSize, accelerators int64) modeler.Resources {
	return modeler.Resources{
		Processors:   modeler.Processors(processors * 1000),
		Memory:       memory,
		Accelerators: accelerators,
	}
}

// workloadsOf returns the workloads of a team.
func workloadsOf(team string) []workloadSpec {
	if team == "association" {
		return []workloadSpec{
			{name: "patch-quote", class: modeler.Quick, tasks: 1, needs: resources(0.25, 256*datasize.MB, 0), runDuration: 60 * time.Millisecond, repeatable: true, worth: 1, count: 400},
			{name: "material-order", class: modeler.Quick, tasks: 1, needs: resources(0.25, 256*datasize.MB, 0), runDuration: 80 * time.Millisecond, worth: 5, count: 60},
			{name: "leak-survey", class: modeler.Gang, tasks: 4, needs: resources(4, 8*datasize.GB, 1), runDuration: 900 * time.Millisecond, repeatable: true, urgent: true, worth: 20, count: 12, cancelPercent: 10},
			{name: "street-estimate", class: modeler.Batch, tasks: 12, needs: resources(2, 2*datasize.GB, 0), runDuration: 500 * time.Millisecond, repeatable: true, worth: 3, count: 40, cancelPercent: 20},
			{name: "crew-desk", class: modeler.StandingService, tasks: 2, needs: resources(2, 4*datasize.GB, 0), repeatable: true, count: 2},
		}
	}
	return []workloadSpec{
		{name: "seat-hold", class: modeler.Quick, tasks: 1, needs: resources(0.1, 128*datasize.MB, 0), runDuration: 30 * time.Millisecond, repeatable: true, worth: 1, count: 400},
		{name: "deposit-charge", class: modeler.Quick, tasks: 1, needs: resources(0.1, 128*datasize.MB, 0), runDuration: 50 * time.Millisecond, worth: 8, count: 60},
		{name: "seat-block-run", class: modeler.Gang, tasks: 3, needs: resources(2, 2*datasize.GB, 0), runDuration: 700 * time.Millisecond, repeatable: true, worth: 30, count: 12, cancelPercent: 10},
		{name: "settlement-run", class: modeler.Batch, tasks: 10, needs: resources(1, datasize.GB, 0), runDuration: 400 * time.Millisecond, repeatable: true, worth: 4, count: 40, cancelPercent: 20},
		{name: "box-office", class: modeler.StandingService, tasks: 2, needs: resources(1, datasize.GB, 0), repeatable: true, count: 2},
	}
}

// payload tells the simulated workers how long to run a task and what to answer.
type payload struct {
	Kind    string           `json:"kind"`
	RunsFor modeler.Duration `json:"runs-for"`
	Answer  payloadAnswer    `json:"answer"`
}

type payloadAnswer struct {
	Kind   string `json:"kind"`
	Number int    `json:"number"`
}

func (s workloadSpec) job(number int) (modeler.Job, error) {
	text, err := json.Marshal(payload{
		Kind:    s.name,
		RunsFor: modeler.Duration(s.runDuration),
		Answer:  payloadAnswer{Kind: s.name, Number: number},
	})
	if err != nil {
		return modeler.Job{}, errors.Wrap(err, "encode payload")
	}
	return modeler.Job{
		Class:           s.class,
		Tasks:           s.tasks,
		Needs:           s.needs,
		ExpectedRunTime: modeler.Duration(s.runDuration),
		Worth:           s.worth,
		Urgent:          s.urgent,
		Repeatable:      s.repeatable,
		Payload:         text,
	}, nil
}

// callLog records the calls of all callers and the answers to them.
type callLog struct {
	mu    sync.Mutex
	calls []*callRecord
}

// callRecord is a call with the time when it was first sent.
type callRecord struct {
	auditor.Call
	class  modeler.Class
	team   string
	sentAt time.Time
}

func (l *callLog) add(contract ticketer.Contract, key string, job modeler.Job, now time.Time) *callRecord {
	r := &callRecord{
		Call:   auditor.Call{Key: contract.Caller + "/" + key, Job: job, StandingService: job.Class == modeler.StandingService},
		class:  job.Class,
		team:   contract.Team,
		sentAt: now,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, r)
	return r
}

// addAnswer records the answer to a call, or the error that was returned instead.
func (l *callLog) addAnswer(r *callRecord, answer caller.Answer, err error) {
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

func (l *callLog) auditorCalls() []auditor.Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := make([]auditor.Call, 0, len(l.calls))
	for _, r := range l.calls {
		calls = append(calls, r.Call)
	}
	return calls
}

// workload sends the requests of one workload spec for one caller, evenly spaced with random jitter
// over the given duration.
type workload struct {
	cell     *cell
	calls    *callLog
	contract ticketer.Contract
	client   *caller.Client
	spec     workloadSpec
	random   *rand.Rand
	duration time.Duration
}

func (w *workload) run(ctx context.Context) error {
	var requests sync.WaitGroup
	defer requests.Wait()
	interval := w.duration / time.Duration(w.spec.count)
	for number := range w.spec.count {
		job, err := w.spec.job(number)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s-%04d", w.spec.name, number)
		cancel := w.random.IntN(100) < w.spec.cancelPercent
		requests.Go(func() { w.runCall(ctx, key, job, cancel) })
		pause := time.Duration(float64(interval) * (0.5 + w.random.Float64()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.cell.clock.After(pause):
		}
	}
	return nil
}

func (w *workload) runCall(ctx context.Context, key string, job modeler.Job, cancel bool) {
	r := w.calls.add(w.contract, key, job, w.cell.clock.Now())
	if job.Class == modeler.Quick {
		answer, err := w.client.Request(ctx, key, job)
		w.calls.addAnswer(r, answer, err)
		return
	}
	answer, err := w.client.Submit(ctx, key, job)
	w.calls.addAnswer(r, answer, err)
	if err != nil {
		return
	}
	if job.Class == modeler.StandingService {
		w.waitUntilPlaced(ctx, r, key)
		return
	}
	if cancel {
		w.calls.mu.Lock()
		r.Cancelled = true
		w.calls.mu.Unlock()
		answer, err = w.client.Cancel(ctx, key)
		w.calls.addAnswer(r, answer, err)
		return
	}
	answer, err = w.client.Wait(ctx, key)
	w.calls.addAnswer(r, answer, err)
}

// waitUntilPlaced polls the status of a standing service until it is placed or final.
func (w *workload) waitUntilPlaced(ctx context.Context, r *callRecord, key string) {
	for {
		answer, err := w.client.Status(ctx, key)
		w.calls.addAnswer(r, answer, err)
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
