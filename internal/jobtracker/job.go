package jobtracker

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Phase is the phase of a task under the current owner.
type Phase int

const (
	// Unverified: an earlier owner may have started the task, so it must not be started yet.
	Unverified Phase = iota
	// Queued: no attempt runs or can still start; the task waits to be placed.
	Queued
	// Permitting: the task was placed, and the permit for its only attempt is being written.
	Permitting
	// Starting: a start request was sent; its outcome is not known yet.
	Starting
	// Running: a worker accepted the task.
	Running
	// Ending: the attempt has ended, and the corresponding journal entry is being written.
	Ending
	// Finished: the state of the task is final.
	Finished
)

// NoWorker is the worker index of a task that is not placed.
const NoWorker = -1

// Task is one task of a job. WorkerIndex is the index, within the partition, of the worker on which
// the task is placed.
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
	// Evidence is what is known about the attempts before the current one.
	Evidence journaler.Evidence
	// CrashHistory is what is known about the crashes of the workers that ran the task.
	CrashHistory crashattributor.History
	// SentAt is when the start of the current attempt was first sent.
	SentAt time.Time
	// Refusals counts the starts that workers refused for reasons specific to the task.
	Refusals int
	// RefusedBy lists the indexes of the workers that recently refused this task.
	RefusedBy []int
}

// Job is a job with its tasks. Durable jobs are recorded in the journal.
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
	// Adopted is set for a quick request that an earlier owner accepted. What the workers report
	// about it is not enough to run it again. SuppliedSpec is its specification, once a caller has
	// repeated the key.
	Adopted      bool
	SuppliedSpec *modeler.Job
	Tasks        []Task

	openTasks  int
	searchFrom int
	onFinal    []func()

	onAccepted []func()
}

// Open returns the number of tasks that are not final.
func (j *Job) Open() int { return j.openTasks }

// Final reports whether all tasks are final.
func (j *Job) Final() bool { return j.openTasks == 0 }

// Count returns the number of tasks in the given phase.
func (j *Job) Count(phase Phase) int {
	count := 0
	for i := range j.Tasks {
		if j.Tasks[i].Phase == phase {
			count++
		}
	}
	return count
}

// OnFinal calls notify once when the job is final, or immediately if it already is. Abandon also
// calls it.
func (j *Job) OnFinal(notify func()) {
	if j.Final() {
		notify()
		return
	}
	j.onFinal = append(j.onFinal, notify)
}

// OnAccepted calls notify once when the job is accepted, or immediately if it already is. Abandon
// also calls it.
func (j *Job) OnAccepted(notify func()) {
	if j.Accepted {
		notify()
		return
	}
	j.onAccepted = append(j.onAccepted, notify)
}

// Accept marks the job as accepted and calls the functions registered with OnAccepted.
func (j *Job) Accept() {
	j.Accepted = true
	j.notifyAccepted()
}

func (j *Job) notifyAccepted() {
	for _, notify := range j.onAccepted {
		notify()
	}
	j.onAccepted = nil
}

// Abandon calls all registered functions although the job is not final, because this instance no
// longer owns it.
func (j *Job) Abandon() {
	j.notifyAccepted()
	j.notifyFinal()
}

func (j *Job) notifyFinal() {
	for _, notify := range j.onFinal {
		notify()
	}
	j.onFinal = nil
}

// Assign records the worker and the attempt to which a task was assigned.
func (j *Job) Assign(task, workerIndex int, worker, boot string, attempt modeler.Attempt) {
	t := &j.Tasks[task]
	t.Attempts++
	t.Attempt = attempt
	t.WorkerIndex = workerIndex
	t.Worker = worker
	t.Boot = boot
}

// MakeRunnable reports whether the job can be run again. An adopted job can be run again
// only if a caller has supplied its specification, which then replaces the adopted one. The task
// must not be placed, because the specification changes its resource needs.
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

// Requeue queues a task whose last attempt is certain not to have run or to have ended before
// completion.
func (j *Job) Requeue(task int) {
	t := &j.Tasks[task]
	t.Phase = Queued
	t.WorkerIndex = NoWorker
	t.Worker = ""
	j.searchFrom = min(j.searchFrom, task)
}

// RecordEvidence records that an attempt of a task ran or may have run. Stronger evidence is kept.
func (j *Job) RecordEvidence(task int, evidence journaler.Evidence) {
	t := &j.Tasks[task]
	if t.Evidence == journaler.NeverRan || evidence == journaler.HasRun {
		t.Evidence = evidence
	}
}

// FailedMember returns the reason why a member of a gang ended without success, or false if none did.
func (j *Job) FailedMember() (reason string, failed bool) {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Phase == Finished && t.State != modeler.Done {
			return t.Reason, true
		}
	}
	return "", false
}

// Cancel marks the job as cancelled. If state is not empty, all open tasks end immediately in that
// state.
func (j *Job) Cancel(state modeler.State, at time.Time) {
	j.Cancelled = true
	if state == "" {
		return
	}
	for i := range j.Tasks {
		j.End(i, state, "cancelled", nil, at)
	}
}

// NextQueued returns the index of the first queued task, or false. The search resumes where the
// previous one ended, so that placing all tasks of a job takes one pass over them.
func (j *Job) NextQueued() (int, bool) {
	for ; j.searchFrom < len(j.Tasks); j.searchFrom++ {
		if j.Tasks[j.searchFrom].Phase == Queued {
			return j.searchFrom, true
		}
	}
	return 0, false
}

// StateWithoutRetry returns the final state of a task that did not complete and will not be
// retried.
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

// End makes a task final. It is idempotent: the first final state is kept.
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
	j.openTasks--
	if j.openTasks == 0 {
		j.FinishedAt = at
		j.notifyFinal()
	}
}

// Answer returns the current state of the job. A job with several tasks is "not-run" only if none
// of them ran; if some ran and others did not, it is "stopped", and Tasks holds the counts.
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
	answer.State = summarize(answer.Tasks)
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

func summarize(tasks map[modeler.State]int) modeler.State {
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
