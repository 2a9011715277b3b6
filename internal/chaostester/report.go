package chaostester

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/platform/standin"
)

// record is what callers were told, for the checks at the end.
type record struct {
	clock clockwork.Clock

	mu         sync.Mutex
	jobs       map[string]*told
	acceptance *hdrhistogram.Histogram
	ends       []ownerEnd
	failures   []string
}

// told is what was said of one job.
type told struct {
	queue *Queue
	id    string
	// accepted tells that some answer said so, undecided that some answer said nothing.
	accepted, undecided bool
	state               steptracker.State
}

// ownerEnd is when an owner was ended.
type ownerEnd struct {
	at      time.Time
	fence   int64
	planned bool
}

func newRecord(clock clockwork.Clock) *record {
	return &record{clock: clock, jobs: make(map[string]*told), acceptance: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

func (r *record) submitted(queue *Queue, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = &told{queue: queue, id: id}
}

func (r *record) answered(id string, answer standin.Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	switch answer {
	case standin.Accepted:
		job.accepted = true
		// Only what is over the longest fails, and it counts as the longest.
		_ = r.acceptance.RecordValue(max(1, took.Microseconds()))
	case standin.Undecided:
		job.undecided = true
	case standin.NotAccepted:
	case standin.NoSuchQueue, standin.NoSuchJob, standin.BadRequest:
		r.failures = append(r.failures, fmt.Sprintf("job %s: the answer to a sound submission was %d", id, answer))
	}
}

// needs tells what a task takes, by its name.
func (r *record) needs(task string) int64 {
	job, rest, _ := strings.Cut(task, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	told := r.jobs[job]
	var occurrence, step int
	if _, err := fmt.Sscanf(rest, "%d.%d", &occurrence, &step); err != nil || told == nil || step >= len(told.queue.Steps) {
		return 0
	}
	return int64(told.queue.Steps[step].Processors)
}

// open returns the accepted jobs that are not final.
func (r *record) open() []*told {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*told
	for _, job := range r.jobs {
		if job.accepted && !job.state.Final() {
			open = append(open, job)
		}
	}
	return open
}

// shown takes in a state that a caller was shown: "completed" is true only of jobs all of whose tasks are
// done.
func (r *record) shown(id string, state steptracker.State, workers *standin.ExecutionLog) {
	_, done := workers.TaskCounts(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	job.state = state
	if state == steptracker.Completed && done < job.queue.tasksDone() {
		r.failures = append(r.failures, fmt.Sprintf("job %s is shown as completed with %d tasks done of %d", id, done, job.queue.tasksDone()))
	}
	if state == steptracker.Failed || state == steptracker.Cancelled {
		r.failures = append(r.failures, fmt.Sprintf("job %s is shown as %s without cause", id, state))
	}
}

// tasksDone is how many tasks a worker has to end as done: one end stands for all members of a gang.
func (q *Queue) tasksDone() int {
	count := 0
	for _, step := range q.Steps {
		if step.Gang {
			count++
		} else {
			count += step.Tasks
		}
	}
	return count
}

func (r *record) lost(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].state = steptracker.Cancelled
	r.failures = append(r.failures, fmt.Sprintf("job %s was accepted and is not known any more", id))
}

func (r *record) ownerEnded(fence int64, planned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, ownerEnd{r.clock.Now(), fence, planned})
}

func (r *record) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err.Error())
}

// Distribution sums up some times.
type Distribution struct {
	Count int              `json:"count"`
	P50   modeler.Duration `json:"p50"`
	P99   modeler.Duration `json:"p99"`
	Max   modeler.Duration `json:"max"`
}

// Report is the outcome of a rehearsal.
type Report struct {
	Duration  modeler.Duration `json:"took"`
	Jobs      int              `json:"jobs"`
	Accepted  int              `json:"accepted"`
	Completed int              `json:"completed"`
	// NotAccepted were told that they never run, Undecided were told nothing.
	NotAccepted int `json:"not-accepted"`
	Undecided   int `json:"undecided"`
	Starts      int `json:"starts"`
	// Acceptance is how long calls took that were accepted, TakeOver from the end of an owner to the
	// first start by its successor.
	Acceptance Distribution `json:"acceptance"`
	TakeOver   Distribution `json:"take-over"`
	Failures   []string     `json:"failures,omitempty"`
}

// Passed tells whether every promise held.
func (r *Report) Passed() bool { return len(r.Failures) == 0 }

func (r *record) report(workers *standin.ExecutionLog, took time.Duration) *Report {
	faults, starts, _ := workers.Summary()
	jobs, failures := r.read()
	report := &Report{Duration: modeler.Duration(took), Jobs: len(jobs), Starts: starts, Failures: append(failures, faults...)}
	for _, job := range jobs {
		started, done := workers.TaskCounts(job.id)
		switch {
		case job.state == steptracker.Completed:
			report.Accepted++
			report.Completed++
		case job.accepted:
			report.Accepted++
			report.Failures = append(report.Failures, fmt.Sprintf("job %s was accepted and is %q with %d tasks done", job.id, job.state, done))
		case job.undecided:
			report.Undecided++
		default:
			report.NotAccepted++
			if started > 0 {
				report.Failures = append(report.Failures, fmt.Sprintf("job %s was told not to have been accepted, and %d tasks have started", job.id, started))
			}
		}
	}
	slices.Sort(report.Failures)
	report.Acceptance = Distribution{
		Count: int(r.acceptance.TotalCount()), P50: micros(r.acceptance.ValueAtQuantile(50)), P99: micros(r.acceptance.ValueAtQuantile(99)), Max: micros(r.acceptance.Max()),
	}
	report.TakeOver = r.takeOvers(workers)
	return report
}

// read copies what callers were told. Workers ask for the needs of tasks while they hold their log, so
// that must not be asked for under the record's mutex.
func (r *record) read() (jobs []told, failures []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		jobs = append(jobs, *job)
	}
	return jobs, slices.Clone(r.failures)
}

func micros(count int64) modeler.Duration {
	return modeler.Duration(time.Duration(count) * time.Microsecond)
}

// takeOvers sums up the times from the end of an owner to the first start under a higher fence.
func (r *record) takeOvers(workers *standin.ExecutionLog) Distribution {
	var times []time.Duration
	for _, end := range r.ends {
		if started := workers.FirstStartAfter(end.fence); !end.planned && !started.IsZero() {
			times = append(times, started.Sub(end.at))
		}
	}
	if len(times) == 0 {
		return Distribution{}
	}
	slices.Sort(times)
	return Distribution{
		Count: len(times), P50: modeler.Duration(times[len(times)/2]), P99: modeler.Duration(times[len(times)*99/100]), Max: modeler.Duration(times[len(times)-1]),
	}
}

// Write writes the report for people.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "jobs\t%d\taccepted %d, completed %d, not accepted %d, undecided %d\n", r.Jobs, r.Accepted, r.Completed, r.NotAccepted, r.Undecided)
	fmt.Fprintf(table, "starts\t%d\t\n", r.Starts)
	for _, line := range []struct {
		name   string
		spread Distribution
	}{{"acceptance", r.Acceptance}, {"take-over", r.TakeOver}} {
		fmt.Fprintf(table, "%s\t%d\tp50 %s, p99 %s, at most %s\n", line.name, line.spread.Count,
			time.Duration(line.spread.P50).Round(time.Millisecond), time.Duration(line.spread.P99).Round(time.Millisecond), time.Duration(line.spread.Max).Round(time.Millisecond))
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(table, "BROKEN\t\t%s\n", failure)
	}
	if r.Passed() {
		fmt.Fprintln(table, "every promise held\t\t")
	}
	return table.Flush()
}
