package partitionscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// taskEnd is the end of a task. OnRecorded, if not nil, is called when the end is in the journal, or
// at once if the job is not durable.
type taskEnd struct {
	state      modeler.State
	reason     string
	result     *modeler.Result
	onRecorded func()
}

// endTask makes a task final: for a durable job after the journal entry is written, otherwise at
// once. In both cases its resources are released at once, because the task no longer runs anywhere.
func (p *Partition) endTask(job *jobtracker.Job, task int, e taskEnd) {
	p.releasePlace(job, task)
	now := p.Clock.Now()
	if job.Spec.Class == modeler.Quick && e.state == modeler.Done {
		p.quickWait.endedThisSecond++
	}
	finish := func() {
		job.End(task, e.state, e.reason, e.result, now)
		if e.onRecorded != nil {
			e.onRecorded()
		}
		p.Metrics.CountDecision(job.Spec.Class, string(e.state))
		p.logEnd(job, task, e)
	}
	if !job.Durable {
		finish()
		return
	}
	job.Tasks[task].Phase = jobtracker.Ending
	entry := journaler.Entry{
		Kind:   journaler.Ended,
		Key:    job.Key,
		Task:   task,
		At:     now,
		State:  e.state,
		Reason: e.reason,
		Result: e.result,
	}
	p.write(entry, endLinger(job), finish)
}

// endLinger returns how long the entry for the end of a task may be delayed.
func endLinger(job *jobtracker.Job) time.Duration {
	switch {
	case job.Spec.Class == modeler.Quick:
		return lingerNone
	case job.Open() == 1:
		return lingerShort
	default:
		return lingerLong
	}
}

func (p *Partition) logEnd(job *jobtracker.Job, task int, e taskEnd) {
	p.Log.Info("ended", "key", job.Key, "task", task, "class", job.Spec.Class,
		"state", e.state, "reason", e.reason, "partition", p.name, "epoch", p.epoch)
}

// interruptTask handles an attempt that ended without finishing the task. A repeatable task is
// queued again; if its job is durable and the attempt may have run, a journal entry is written
// first. A task that is not repeatable, or whose job is cancelled, ends.
func (p *Partition) interruptTask(job *jobtracker.Job, task int, evidence journaler.Evidence, reason string, onRecorded func()) {
	p.releasePlace(job, task)
	job.RecordEvidence(task, evidence)
	if job.Cancelled || !job.Spec.Repeatable {
		p.endTask(job, task, taskEnd{state: job.Tasks[task].StateWithoutRetry(), reason: reason, onRecorded: onRecorded})
		return
	}
	requeue := func() {
		if onRecorded != nil {
			onRecorded()
		}
		p.requeue(job, task)
	}
	if !job.Durable || evidence == journaler.NeverRan {
		requeue()
		return
	}
	job.Tasks[task].Phase = jobtracker.Ending
	entry := journaler.Entry{
		Kind:     journaler.Interrupted,
		Key:      job.Key,
		Task:     task,
		At:       p.Clock.Now(),
		Evidence: evidence,
		Reason:   reason,
	}
	if history := job.Tasks[task].CrashHistory; history != (crashattributor.History{}) {
		entry.CrashHistory = &history
	}
	p.write(entry, lingerShort, requeue)
}

// requeue puts a task back into the queue, together with its job if the job is no longer queued. A
// gang is placed again only when all its tasks are back.
func (p *Partition) requeue(job *jobtracker.Job, task int) {
	if job.Cancelled {
		p.endTask(job, task, taskEnd{state: job.Tasks[task].StateWithoutRetry(), reason: "cancelled"})
		return
	}
	waiting := job.Count(jobtracker.Queued) > 0
	job.Requeue(task)
	if !waiting {
		p.enqueue(job)
	}
}

// enqueue puts a job with queued tasks into the queue. A quick request that was adopted from a
// worker and whose body no caller has supplied can't be run again: it is removed, and its callers
// get an error and have to submit it again with the same key.
func (p *Partition) enqueue(job *jobtracker.Job) {
	p.dirty = true
	if job.MakeRunnable() {
		p.queue.Push(job)
		return
	}
	p.tracker.Remove(job.Key)
	job.Abandon()
}

// loseTask handles a task whose worker no longer has it and can't report its outcome, because the worker
// has crashed or is gone.
func (p *Partition) loseTask(job *jobtracker.Job, task int, verdict crashattributor.Verdict, reason string) {
	evidence := journaler.MayHaveRun
	if job.Tasks[task].Phase == jobtracker.Running {
		evidence = journaler.HasRun
	}
	if !job.Spec.Repeatable {
		p.endTask(job, task, taskEnd{state: modeler.Unknown, reason: reason})
		return
	}
	p.recordCrash(job, task, verdict)
	if job.Tasks[task].CrashHistory.GivenUp() {
		p.giveUpTask(job, task, evidence)
		return
	}
	p.interruptTask(job, task, evidence, reason, nil)
}

// TaskEnded handles a worker's record of the end of a task.
func (p *Partition) TaskEnded(index int, record connector.TaskEnded) {
	if p.hasLaterOwner(record.Attempt) {
		return
	}
	if p.handoverEnded() {
		// The record is not confirmed, so the worker will report it to the next owner.
		return
	}
	onRecorded := p.registrar.TrackRecord(index, record)
	if onRecorded == nil {
		return
	}
	job := p.tracker.AdoptEnded(record)
	if job == nil {
		onRecorded()
		return
	}
	task := record.Attempt.Task
	t := &job.Tasks[task]
	if t.StartedAt.IsZero() {
		t.StartedAt = record.At
	}
	if record.Kind == connector.EndedFinished {
		p.endTask(job, task, taskEnd{state: modeler.Done, result: record.Result, onRecorded: onRecorded})
		return
	}
	t.CrashHistory.RecordSurvival()
	reason := string(record.Kind) + " on worker " + p.registrar.Worker(index).Name
	if t.Phase == jobtracker.Unverified && job.Spec.Repeatable && !job.Cancelled {
		// A worker that has not reported yet may run a later attempt, so the decision is left to
		// reconcile.
		p.recordEvidence(job, task, reason, onRecorded)
		return
	}
	p.interruptTask(job, task, journaler.HasRun, reason, onRecorded)
}

// recordEvidence records that an attempt has run, without deciding about the task.
func (p *Partition) recordEvidence(job *jobtracker.Job, task int, reason string, onRecorded func()) {
	job.RecordEvidence(task, journaler.HasRun)
	if !job.Durable {
		onRecorded()
		return
	}
	entry := journaler.Entry{
		Kind:     journaler.Interrupted,
		Key:      job.Key,
		Task:     task,
		At:       p.Clock.Now(),
		Evidence: journaler.HasRun,
		Reason:   reason,
	}
	p.write(entry, lingerLong, onRecorded)
}

// stopTask tells the worker to stop a task and handles the outcome.
func (p *Partition) stopTask(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	index := t.WorkerIndex
	if index == jobtracker.NoWorker {
		return
	}
	link := p.registrar.Link(index)
	attempt, boot := t.Attempt, t.Boot
	go func() {
		outcome := link.Stop(attempt, boot)
		p.post(func() { p.handleStopOutcome(job, task, index, attempt, outcome) })
	}()
}

func (p *Partition) handleStopOutcome(job *jobtracker.Job, task, index int, attempt modeler.Attempt, outcome fencer.Outcome) {
	t := &job.Tasks[task]
	if outcome.Ended != nil {
		p.TaskEnded(index, *outcome.Ended)
		return
	}
	if t.Attempt != attempt || (t.Phase != jobtracker.Starting && t.Phase != jobtracker.Running) {
		return
	}
	switch {
	case outcome.NeverRan != "":
		p.interruptTask(job, task, journaler.NeverRan, "stopped before it started", nil)
	case outcome.WorkerRestarted:
		p.loseTask(job, task, p.takeVerdict(job, task), "worker "+p.registrar.Worker(index).Name+" restarted while the task was being stopped")
	}
}
