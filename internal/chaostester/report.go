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

// recorder collects the answers that callers received, for the checks at the end of the run.
type recorder struct {
	clock clockwork.Clock

	mu           sync.Mutex
	jobs         map[string]*jobRecord
	acceptance   *hdrhistogram.Histogram
	terminations []ownerTermination
	failures     []string
}

// jobRecord is what callers were told about one job.
type jobRecord struct {
	queue *Queue
	id    string
	// accepted is set once an answer accepted the job, undecided once an answer left that open.
	accepted, undecided bool
	// crashing is set if the job's first task crashes its workers.
	crashing bool
	state    steptracker.State
}

// ownerTermination records that the owner of the cell was killed or shut down.
type ownerTermination struct {
	at           time.Time
	fencingToken int64
	graceful     bool
}

func newRecorder(clock clockwork.Clock) *recorder {
	return &recorder{clock: clock, jobs: make(map[string]*jobRecord), acceptance: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

func (r *recorder) recordSubmission(queue *Queue, id string, crashing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = &jobRecord{queue: queue, id: id, crashing: crashing}
}

// crashesWorker reports whether a task crashes its worker.
func (r *recorder) crashesWorker(task string) bool {
	job, rest, _ := strings.Cut(task, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.jobs[job]
	return record != nil && record.crashing && rest == "0.0.0"
}

func (r *recorder) recordAnswer(id string, answer standin.Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	switch answer {
	case standin.Accepted:
		job.accepted = true
		// RecordValue fails only for latencies above the histogram's maximum of one minute; such a
		// latency is left out of the report.
		_ = r.acceptance.RecordValue(max(1, took.Microseconds()))
	case standin.Undecided:
		job.undecided = true
	case standin.NotAccepted:
	case standin.NoSuchQueue, standin.NoSuchJob, standin.BadRequest:
		r.failures = append(r.failures, fmt.Sprintf("job %s: unexpected answer %d to a valid submission", id, answer))
	}
}

// taskProcessors returns the processors that a task needs. The task's name, JOB.OCCURRENCE.STEP…,
// determines its step.
func (r *recorder) taskProcessors(task string) int64 {
	job, rest, _ := strings.Cut(task, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.jobs[job]
	var occurrence, step int
	if _, err := fmt.Sscanf(rest, "%d.%d", &occurrence, &step); err != nil || record == nil || step >= len(record.queue.Steps) {
		return 0
	}
	return int64(record.queue.Steps[step].Processors)
}

// openJobs returns the accepted jobs that have no final state yet.
func (r *recorder) openJobs() []*jobRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*jobRecord
	for _, job := range r.jobs {
		if job.accepted && !job.state.Final() {
			open = append(open, job)
		}
	}
	return open
}

// recordState records the state that an instance reported for a job. A job may be reported as completed
// only when all its tasks are done.
func (r *recorder) recordState(id string, state steptracker.State, workers *standin.ExecutionLog) {
	_, done := workers.TaskCounts(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	job.state = state
	if state == steptracker.Completed && done < job.queue.expectedCompletions() {
		r.failures = append(r.failures, fmt.Sprintf("job %s is reported as completed with %d tasks done of %d", id, done, job.queue.expectedCompletions()))
	}
	if (state == steptracker.Failed && !job.crashing) || state == steptracker.Cancelled {
		r.failures = append(r.failures, fmt.Sprintf("job %s is reported as %s, but nothing failed or cancelled it", id, state))
	}
}

// expectedCompletions returns how many task completions the workers log for a job of the queue: all
// members of a gang complete as one.
func (q *Queue) expectedCompletions() int {
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

// recordLostJob records that an instance does not know an accepted job. It sets a final state so that
// openJobs does not return the job.
func (r *recorder) recordLostJob(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id].state = steptracker.Cancelled
	r.failures = append(r.failures, fmt.Sprintf("job %s was accepted, but is no longer known", id))
}

func (r *recorder) recordOwnerTermination(fencingToken int64, graceful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terminations = append(r.terminations, ownerTermination{r.clock.Now(), fencingToken, graceful})
}

func (r *recorder) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err.Error())
}

// Distribution summarizes a set of durations.
type Distribution struct {
	Count int              `json:"count"`
	P50   modeler.Duration `json:"p50"`
	P99   modeler.Duration `json:"p99"`
	Max   modeler.Duration `json:"max"`
}

// Report is the result of a test run.
type Report struct {
	Duration  modeler.Duration `json:"took"`
	Jobs      int              `json:"jobs"`
	Accepted  int              `json:"accepted"`
	Completed int              `json:"completed"`
	// NotAccepted counts jobs that were neither accepted nor left undecided. Undecided counts jobs that
	// were not accepted and have at least one answer that left the outcome open.
	NotAccepted int `json:"not-accepted"`
	Undecided   int `json:"undecided"`
	// GivenUp counts jobs that failed because a task crashed its workers, MostCrashes the workers that one
	// task has crashed.
	GivenUp     int `json:"given-up"`
	MostCrashes int `json:"most-crashes"`
	Starts      int `json:"starts"`
	// Acceptance is the latency of accepted submissions. TakeOver is the time from the kill of an owner
	// to the first task start by its successor.
	Acceptance Distribution `json:"acceptance"`
	TakeOver   Distribution `json:"take-over"`
	Failures   []string     `json:"failures,omitempty"`
}

// maxCrashes is the number of workers that a task may crash: after three it may be started twice more.
const maxCrashes = 5

// Passed reports whether no violation and no other failure was found.
func (r *Report) Passed() bool { return len(r.Failures) == 0 }

func (r *recorder) report(workers *standin.ExecutionLog, took time.Duration) *Report {
	faults, starts, _ := workers.Summary()
	jobs, failures := r.snapshot()
	report := &Report{Duration: modeler.Duration(took), Jobs: len(jobs), Starts: starts, Failures: append(failures, faults...)}
	for _, job := range jobs {
		started, done := workers.TaskCounts(job.id)
		switch {
		case job.crashing && job.state == steptracker.Failed:
			report.Accepted++
			report.GivenUp++
		case job.state == steptracker.Completed:
			report.Accepted++
			report.Completed++
		case job.accepted:
			report.Accepted++
			report.Failures = append(report.Failures, fmt.Sprintf("job %s was accepted, but its last state is %q with %d tasks done", job.id, job.state, done))
		case job.undecided:
			report.Undecided++
		default:
			report.NotAccepted++
			if started > 0 {
				report.Failures = append(report.Failures, fmt.Sprintf("job %s was not accepted, but %d of its tasks started", job.id, started))
			}
		}
	}
	var task string
	if task, report.MostCrashes = workers.MostCrashes(); report.MostCrashes > maxCrashes {
		report.Failures = append(report.Failures, fmt.Sprintf("task %s has crashed %d workers", task, report.MostCrashes))
	}
	slices.Sort(report.Failures)
	report.Acceptance = Distribution{
		Count: int(r.acceptance.TotalCount()), P50: fromMicroseconds(r.acceptance.ValueAtQuantile(50)), P99: fromMicroseconds(r.acceptance.ValueAtQuantile(99)), Max: fromMicroseconds(r.acceptance.Max()),
	}
	report.TakeOver = r.takeOverTimes(workers)
	return report
}

// snapshot copies the job records and the failures. Workers call taskProcessors while they hold the
// mutex of their execution log, so calls into that log under the recorder's mutex could deadlock.
func (r *recorder) snapshot() (jobs []jobRecord, failures []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		jobs = append(jobs, *job)
	}
	return jobs, slices.Clone(r.failures)
}

func fromMicroseconds(count int64) modeler.Duration {
	return modeler.Duration(time.Duration(count) * time.Microsecond)
}

// takeOverTimes summarizes the times from the kill of an owner to the first task start under a higher
// fencing token.
func (r *recorder) takeOverTimes(workers *standin.ExecutionLog) Distribution {
	var times []time.Duration
	for _, termination := range r.terminations {
		if started := workers.FirstStartAfter(termination.fencingToken); !termination.graceful && !started.IsZero() {
			times = append(times, started.Sub(termination.at))
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

// Write writes the report as human-readable text.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "jobs\t%d\taccepted %d, completed %d, not accepted %d, undecided %d\n", r.Jobs, r.Accepted, r.Completed, r.NotAccepted, r.Undecided)
	fmt.Fprintf(table, "given up\t%d\tat most %d workers crashed by one task\n", r.GivenUp, r.MostCrashes)
	fmt.Fprintf(table, "starts\t%d\t\n", r.Starts)
	for _, line := range []struct {
		name         string
		distribution Distribution
	}{{"acceptance", r.Acceptance}, {"take-over", r.TakeOver}} {
		fmt.Fprintf(table, "%s\t%d\tp50 %s, p99 %s, at most %s\n", line.name, line.distribution.Count,
			time.Duration(line.distribution.P50).Round(time.Millisecond), time.Duration(line.distribution.P99).Round(time.Millisecond), time.Duration(line.distribution.Max).Round(time.Millisecond))
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(table, "BROKEN\t\t%s\n", failure)
	}
	if r.Passed() {
		fmt.Fprintln(table, "all guarantees held\t\t")
	}
	return table.Flush()
}
