package jobtracker

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Phase is how far a task has come with this owner.
type Phase int

const (
	// Unverified: an earlier owner may have started it; nothing may be done with it.
	Unverified Phase = iota
	// Queued: no attempt runs or can start; it waits for a place.
	Queued
	// Permitting: it has a place, and the permit for its only attempt is being written.
	Permitting
	// Starting: a start was sent, its outcome is open.
	Starting
	// Running: a worker accepted it.
	Running
	// Ending: its attempt ended, and the journal entry of that is being written.
	Ending
	// Finished: its state is final.
	Finished
)

// NoWorker stands for a task that holds no place.
const NoWorker = -1

// Task is one task of a job.
type Task struct {
	Phase       Phase
	State       modeler.State
	Reason      string
	Attempt     modeler.Attempt
	Attempts    int
	WorkerIndex int
	Worker      string
	Boot        string
	Permitted   bool
	Result      *modeler.Result
	StartedAt   time.Time
	// Evidence is what is known of attempts before the present one.
	Evidence journaler.Evidence
	// Refusals counts the starts that workers refused because of the task.
	Refusals int
	// RefusedBy lists the sites that refused this task lately.
	RefusedBy []int
}

// Job is a job with its tasks. Durable jobs are in the journal.
type Job struct {
	Key        string
	Digest     string
	Spec       modeler.Job
	Ticket     int64
	AcceptedAt time.Time
	FinishedAt time.Time
	Durable    bool
	Accepted   bool
	Cancelled  bool
	// Adopted is set for a quick request of an earlier owner: what the workers show of it is not
	// enough to run it again. Supplied is its body once a caller repeated the key.
	Adopted      bool
	SuppliedSpec *modeler.Job
	Tasks        []Task

	open    int
	next    int
	waiters []func()

	acceptance []func()
}

// Open returns how many tasks are not final yet.
func (j *Job) Open() int { return j.open }

// Final tells whether every task is.
func (j *Job) Final() bool { return j.open == 0 }

// Count returns how many tasks are in a phase.
func (j *Job) Count(phase Phase) int {
	count := 0
	for i := range j.Tasks {
		if j.Tasks[i].Phase == phase {
			count++
		}
	}
	return count
}

// OnFinal has a function called once, as soon as the job is final.
func (j *Job) OnFinal(tell func()) {
	if j.Final() {
		tell()
		return
	}
	j.waiters = append(j.waiters, tell)
}

// OnAccepted has a function called once, as soon as the job is accepted or given up.
func (j *Job) OnAccepted(tell func()) {
	if j.Accepted {
		tell()
		return
	}
	j.acceptance = append(j.acceptance, tell)
}

// Accept marks a job as accepted and tells those who wait for that.
func (j *Job) Accept() {
	j.Accepted = true
	j.tellAcceptance()
}

func (j *Job) tellAcceptance() {
	for _, tell := range j.acceptance {
		tell()
	}
	j.acceptance = nil
}

// Abandon calls all who wait although the job is not final, because this owner lost it.
func (j *Job) Abandon() {
	j.tellAcceptance()
	j.wake()
}

func (j *Job) wake() {
	for _, tell := range j.waiters {
		tell()
	}
	j.waiters = nil
}

// Assign notes the place that a task was given and the attempt that goes there.
func (j *Job) Assign(task, site int, worker, boot string, attempt modeler.Attempt) {
	t := &j.Tasks[task]
	t.Attempts++
	t.Attempt = attempt
	t.WorkerIndex = site
	t.Worker = worker
	t.Boot = boot
}

// MakeRunnable makes an adopted job one that can be run again, if a caller supplied its body. The task
// must hold no place: its needs are those of the body from now on.
func (j *Job) MakeRunnable() bool {
	if j.Adopted && j.SuppliedSpec == nil {
		return false
	}
	if j.Adopted {
		j.Spec = *j.SuppliedSpec
		j.Adopted = false
	}
	return true
}

// Requeue puts a task back whose attempt provably did not run, or provably ended unfinished.
func (j *Job) Requeue(task int) {
	t := &j.Tasks[task]
	t.Phase = Queued
	t.WorkerIndex = NoWorker
	t.Worker = ""
	j.next = min(j.next, task)
}

// RecordEvidence notes that an attempt of a task ran, or may have. Stronger evidence stays.
func (j *Job) RecordEvidence(task int, evidence journaler.Evidence) {
	t := &j.Tasks[task]
	if t.Evidence == journaler.NeverRan || evidence == journaler.HasRun {
		t.Evidence = evidence
	}
}

// Cancel marks the job as cancelled. A state ends all of its open tasks in it at once.
func (j *Job) Cancel(state modeler.State, at time.Time) {
	j.Cancelled = true
	if state == "" {
		return
	}
	for i := range j.Tasks {
		j.End(i, state, "cancelled", nil, at)
	}
}

// NextQueued returns the first queued task, or false. The search goes on where the last one ended,
// so that placing all tasks of a job costs one walk over them.
func (j *Job) NextQueued() (int, bool) {
	for ; j.next < len(j.Tasks); j.next++ {
		if j.Tasks[j.next].Phase == Queued {
			return j.next, true
		}
	}
	return 0, false
}

// StateWithoutRetry returns the true final state of a task that will not be tried again.
func (t *Task) StateWithoutRetry() modeler.State {
	switch t.Evidence {
	case journaler.HasRun:
		return modeler.Stopped
	case journaler.MayHaveRun:
		return modeler.Unknown
	case journaler.NeverRan:
		return modeler.NotRun
	}
	return modeler.Unknown
}

// End makes a task final. It is idempotent: the first final state stays.
func (j *Job) End(task int, state modeler.State, reason string, result *modeler.Result, at time.Time) {
	t := &j.Tasks[task]
	if t.Phase == Finished {
		return
	}
	t.Phase = Finished
	t.State = state
	t.Reason = reason
	t.Result = result
	t.WorkerIndex = NoWorker
	j.open--
	if j.open == 0 {
		j.FinishedAt = at
		j.wake()
	}
}

// Answer tells what is true of the job now. A job of several tasks is "not-run" only if none of
// them ran; if some ran and others did not it is "stopped", and Tasks has the numbers.
func (j *Job) Answer() modeler.Answer {
	answer := modeler.Answer{
		Key:        j.Key,
		AcceptedAt: j.AcceptedAt,
		Ticket:     j.Ticket,
		Tasks:      make(map[modeler.State]int),
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		answer.Tasks[t.publicState()]++
		if t.Reason != "" {
			answer.Reason = t.Reason
		}
		if t.Result != nil {
			answer.Results = append(answer.Results, *t.Result)
		}
		if !t.StartedAt.IsZero() && (answer.StartedAt.IsZero() || t.StartedAt.Before(answer.StartedAt)) {
			answer.StartedAt = t.StartedAt
		}
	}
	answer.State = summarise(answer.Tasks)
	return answer
}

func (t *Task) publicState() modeler.State {
	switch t.Phase {
	case Finished:
		return t.State
	case Running, Ending:
		return modeler.Placed
	case Unverified, Queued, Permitting, Starting:
		return modeler.Waiting
	}
	return modeler.Waiting
}

func summarise(tasks map[modeler.State]int) modeler.State {
	switch {
	case tasks[modeler.Waiting] > 0:
		return modeler.Waiting
	case tasks[modeler.Placed] > 0:
		return modeler.Placed
	case tasks[modeler.Unknown] > 0:
		return modeler.Unknown
	case tasks[modeler.Stopped] > 0, tasks[modeler.Done] > 0 && tasks[modeler.NotRun] > 0:
		return modeler.Stopped
	case tasks[modeler.NotRun] > 0:
		return modeler.NotRun
	default:
		return modeler.Done
	}
}
