package jobtracker

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Tracker holds the jobs of a partition by key.
type Tracker struct {
	jobs map[string]*Job
	// Workers tells the boot of each worker that tasks may have been sent to.
	Workers map[string]string
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{jobs: make(map[string]*Job), Workers: make(map[string]string)}
}

// Find returns the job of a key, or nil.
func (tr *Tracker) Find(key string) *Job { return tr.jobs[key] }

// ForEachJob calls a function with every job.
func (tr *Tracker) ForEachJob(visit func(*Job)) {
	for _, job := range tr.jobs {
		visit(job)
	}
}

// Len returns how many jobs the tracker holds.
func (tr *Tracker) Len() int { return len(tr.jobs) }

// Add enters a job whose tasks are all in one phase.
func (tr *Tracker) Add(key, digest string, spec modeler.Job, at time.Time, phase Phase) *Job {
	job := &Job{
		Key:        key,
		Digest:     digest,
		Spec:       spec,
		AcceptedAt: at,
		Tasks:      make([]Task, spec.Tasks),
		open:       spec.Tasks,
	}
	for i := range job.Tasks {
		job.Tasks[i] = Task{Phase: phase, WorkerIndex: NoWorker}
	}
	tr.jobs[key] = job
	return job
}

// Remove forgets a job that can't be run again and has no final state.
func (tr *Tracker) Remove(key string) { delete(tr.jobs, key) }

// RemoveExpired removes what has been final since before a time, and returns how many jobs that were.
func (tr *Tracker) RemoveExpired(durableBefore, quickBefore time.Time) int {
	count := 0
	for key, job := range tr.jobs {
		before := quickBefore
		if job.Durable {
			before = durableBefore
		}
		if job.Final() && job.FinishedAt.Before(before) {
			delete(tr.jobs, key)
			count++
		}
	}
	return count
}

// Apply replays one journal entry. Applying it twice changes nothing.
func (tr *Tracker) Apply(entry journaler.Entry) {
	switch entry.Kind {
	case journaler.Accepted:
		tr.applyAccepted(entry)
	case journaler.Permitted:
		tr.applyPermitted(entry)
	case journaler.Ended:
		if job := tr.taskOf(entry); job != nil {
			job.End(entry.Task, entry.State, entry.Reason, entry.Result, entry.At)
		}
	case journaler.Cancelled:
		if job := tr.jobs[entry.Key]; job != nil {
			job.Cancel(entry.State, entry.At)
		}
	case journaler.Interrupted:
		if job := tr.taskOf(entry); job != nil {
			job.RecordEvidence(entry.Task, entry.Evidence)
		}
	case journaler.WorkerAdded:
		tr.Workers[entry.Worker] = entry.Boot
	case journaler.WorkerRemoved:
		delete(tr.Workers, entry.Worker)
	}
}

func (tr *Tracker) applyAccepted(entry journaler.Entry) {
	if tr.jobs[entry.Key] != nil || entry.Job == nil {
		return
	}
	job := tr.Add(entry.Key, entry.Digest, *entry.Job, entry.At, Unverified)
	job.Durable = true
	job.Accepted = true
	job.Ticket = entry.Ticket
}

func (tr *Tracker) applyPermitted(entry journaler.Entry) {
	job := tr.taskOf(entry)
	if job == nil || entry.Attempt == nil {
		return
	}
	t := &job.Tasks[entry.Task]
	t.Permitted = true
	t.Attempt = *entry.Attempt
	t.Worker = entry.Worker
	t.Boot = entry.Boot
}

func (tr *Tracker) taskOf(entry journaler.Entry) *Job {
	job := tr.jobs[entry.Key]
	if job == nil || entry.Task < 0 || entry.Task >= len(job.Tasks) {
		return nil
	}
	return job
}

// AdoptRunning takes over a task that a worker shows as running. A task whose job is not in the
// tracker is a quick request of an earlier owner; its job is entered, and a caller that repeats the
// key finds it. False tells that the tracker knows a final state or another place for the task, so
// that this run of it has to be ended.
func (tr *Tracker) AdoptRunning(site int, worker, boot string, running connector.RunningTask) bool {
	job := tr.jobs[running.Attempt.Key]
	if job == nil && running.Class != modeler.Quick {
		// No journal shows that it was accepted.
		return false
	}
	if job == nil {
		job = tr.adoptQuick(running.Attempt, running.Needs, running.StartedAt)
	}
	if running.Attempt.Task >= len(job.Tasks) {
		return false
	}
	t := &job.Tasks[running.Attempt.Task]
	if t.Phase == Running && t.Attempt == running.Attempt {
		return true
	}
	if t.Phase != Unverified && t.Phase != Queued {
		return false
	}
	job.Assign(running.Attempt.Task, site, worker, boot, running.Attempt)
	t.Phase = Running
	t.StartedAt = running.StartedAt
	return true
}

// AdoptEnded makes sure that the job of a worker's record is in the tracker. It returns nil if the
// record is of no use: the task is final, another attempt of it is under way, or it is a durable
// job's that the tracker does not hold.
func (tr *Tracker) AdoptEnded(record connector.TaskEnded) *Job {
	job := tr.jobs[record.Attempt.Key]
	if job == nil && record.Class != modeler.Quick {
		return nil
	}
	if job == nil {
		job = tr.adoptQuick(record.Attempt, record.Needs, record.At)
	}
	if record.Attempt.Task >= len(job.Tasks) {
		return nil
	}
	t := &job.Tasks[record.Attempt.Task]
	if t.Phase == Finished || t.Phase == Ending {
		return nil
	}
	if t.Phase != Unverified && t.Attempt != record.Attempt {
		return nil
	}
	return job
}

// adoptQuick enters the job of a quick request that an earlier owner accepted. Its digest is
// unknown and taken from the next caller that repeats the key.
func (tr *Tracker) adoptQuick(attempt modeler.Attempt, needs modeler.Resources, at time.Time) *Job {
	spec := modeler.Job{Class: modeler.Quick, Tasks: 1, Repeatable: true, Needs: needs}
	job := tr.Add(attempt.Key, "", spec, at, Unverified)
	job.Accepted = true
	job.Adopted = true
	return job
}

// Resolution is a final state that Settle found for a task. It has to be written before it is told.
type Resolution struct {
	Job    *Job
	Task   int
	State  modeler.State
	Reason string
}

// ResolveUnverified decides about every unproven task once all workers of the partition are accounted for:
// those that still run were adopted, so whatever is left runs nowhere. Evidence is MayHaveRun if a
// worker restarted or vanished since the last owner used it: any of the tasks may have run there.
// It returns the jobs that have tasks to be queued now, and the tasks that are never to be.
func (tr *Tracker) ResolveUnverified(evidence journaler.Evidence, bootOf func(worker string) string) (queue []*Job, final []Resolution) {
	for _, job := range tr.jobs {
		queued := false
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.Phase != Unverified {
				continue
			}
			job.RecordEvidence(i, evidence)
			state, reason := t.settle(job.Cancelled, bootOf)
			if state == modeler.Waiting {
				job.Requeue(i)
				queued = true
				continue
			}
			final = append(final, Resolution{Job: job, Task: i, State: state, Reason: reason})
		}
		if queued {
			queue = append(queue, job)
		}
	}
	return queue, final
}

func (t *Task) settle(cancelled bool, bootOf func(worker string) string) (modeler.State, string) {
	switch {
	case t.Permitted && t.Boot != "" && bootOf(t.Worker) == t.Boot:
		// The worker has its memory of this boot and knows nothing of the attempt, and it obeys
		// a higher epoch now: the attempt never started and never will.
		return modeler.NotRun, "its only permitted start did not reach worker " + t.Worker
	case t.Permitted:
		return modeler.Unknown, "worker " + t.Worker + ", which alone was permitted to run it, lost its memory"
	case cancelled:
		return t.StateWithoutRetry(), "cancelled"
	default:
		return modeler.Waiting, ""
	}
}
