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
	// Workers holds the boot of every worker to which tasks may have been sent, by worker name. A
	// worker has a new boot identifier after each restart.
	Workers map[string]string
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{jobs: make(map[string]*Job), Workers: make(map[string]string)}
}

// Find returns the job with the given key, or nil.
func (tr *Tracker) Find(key string) *Job { return tr.jobs[key] }

// ForEachJob calls a function for every job.
func (tr *Tracker) ForEachJob(visit func(*Job)) {
	for _, job := range tr.jobs {
		visit(job)
	}
}

// Len returns the number of jobs.
func (tr *Tracker) Len() int { return len(tr.jobs) }

// Add adds a job whose tasks are all in the given phase.
func (tr *Tracker) Add(key, digest string, spec modeler.Job, at time.Time, phase Phase) *Job {
	job := &Job{
		Key:        key,
		Digest:     digest,
		Spec:       spec,
		AcceptedAt: at,
		Tasks:      make([]Task, spec.Tasks),
		openTasks:  spec.Tasks,
	}
	for i := range job.Tasks {
		job.Tasks[i] = Task{Phase: phase, WorkerIndex: NoWorker}
	}
	tr.jobs[key] = job
	return job
}

// Remove removes a job that has no final state and cannot be run again.
func (tr *Tracker) Remove(key string) { delete(tr.jobs, key) }

// RemoveExpired removes the jobs that became final before the given times and returns their number.
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

// Apply replays one journal entry. Applying it twice has no further effect.
func (tr *Tracker) Apply(entry journaler.Entry) {
	switch entry.Kind {
	case journaler.Accepted:
		tr.applyAccepted(entry)
	case journaler.Permitted:
		tr.applyPermitted(entry)
	case journaler.Ended:
		if job := tr.jobWithTask(entry); job != nil {
			job.End(entry.Task, entry.State, entry.Reason, entry.Result, entry.At)
		}
	case journaler.Cancelled:
		if job := tr.jobs[entry.Key]; job != nil {
			job.Cancel(entry.State, entry.At)
		}
	case journaler.Interrupted:
		if job := tr.jobWithTask(entry); job != nil {
			job.RecordEvidence(entry.Task, entry.Evidence)
			if entry.CrashHistory != nil {
				job.Tasks[entry.Task].CrashHistory = *entry.CrashHistory
			}
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
	job := tr.jobWithTask(entry)
	if job == nil || entry.Attempt == nil {
		return
	}
	t := &job.Tasks[entry.Task]
	t.Permitted = true
	t.Attempt = *entry.Attempt
	t.Worker = entry.Worker
	t.Boot = entry.Boot
}

// jobWithTask returns the job of an entry, or nil if the tracker does not hold the entry's job and
// task.
func (tr *Tracker) jobWithTask(entry journaler.Entry) *Job {
	job := tr.jobs[entry.Key]
	if job == nil || entry.Task < 0 || entry.Task >= len(job.Tasks) {
		return nil
	}
	return job
}

// AdoptRunning adopts a task that a worker reports as running. If the tracker does not hold the job
// of a quick request, an earlier owner accepted it; the job is added, so that a caller that repeats
// the key finds it. AdoptRunning returns false if this run of the task must be stopped: the tracker
// holds another state or another worker for it, or no journal entry shows that its job was
// accepted.
func (tr *Tracker) AdoptRunning(workerIndex int, worker, boot string, running connector.RunningTask) bool {
	job := tr.jobs[running.Attempt.Key]
	if job == nil && running.Class != modeler.Quick {
		// No journal entry shows that the job was accepted.
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
	job.Assign(running.Attempt.Task, workerIndex, worker, boot, running.Attempt)
	t.Phase = Running
	t.StartedAt = running.StartedAt
	return true
}

// AdoptEnded ensures that the tracker holds the job of a worker's record of an ended task, and
// returns the job. It returns nil if the record is not needed: the task is final, another attempt
// of it is in progress, or it belongs to a durable job that the tracker does not hold.
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

// adoptQuick adds the job of a quick request that an earlier owner accepted. Its digest is unknown
// and is taken from the next caller that repeats the key.
func (tr *Tracker) adoptQuick(attempt modeler.Attempt, needs modeler.Resources, at time.Time) *Job {
	spec := modeler.Job{Class: modeler.Quick, Tasks: 1, Repeatable: true, Needs: needs}
	job := tr.Add(attempt.Key, "", spec, at, Unverified)
	job.Accepted = true
	job.Adopted = true
	return job
}

// Resolution is the final state that ResolveUnverified determined for a task. It must be written to
// the journal before it is reported.
type Resolution struct {
	Job    *Job
	Task   int
	State  modeler.State
	Reason string
}

// ResolveUnverified decides about every unverified task once all workers of the partition have
// reported their tasks. Running tasks have been adopted by then, so the remaining ones do not run
// anywhere. evidence is MayHaveRun if a worker restarted or vanished since the last owner used it,
// because any of the tasks may have run there. It returns the jobs that have tasks to queue and the
// tasks that must not be run again.
func (tr *Tracker) ResolveUnverified(evidence journaler.Evidence, bootOf func(worker string) string) (queue []*Job, final []Resolution) {
	for _, job := range tr.jobs {
		queued := false
		for i := range job.Tasks {
			t := &job.Tasks[i]
			if t.Phase != Unverified {
				continue
			}
			job.RecordEvidence(i, evidence)
			state, reason := t.resolve(job.Cancelled, bootOf)
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

func (t *Task) resolve(cancelled bool, bootOf func(worker string) string) (modeler.State, string) {
	switch {
	case t.Permitted && t.Boot != "" && bootOf(t.Worker) == t.Boot:
		// The worker has not restarted and does not know the attempt. It was fenced under a higher
		// epoch, so the attempt never started and never will.
		return modeler.NotRun, "its only permitted start did not reach worker " + t.Worker
	case t.Permitted:
		return modeler.Unknown, "worker " + t.Worker + ", the only one permitted to run it, has restarted or is gone"
	case cancelled:
		return t.StateWithoutRetry(), "cancelled"
	default:
		return modeler.Waiting, ""
	}
}
