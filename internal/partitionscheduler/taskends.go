package partitionscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// ending is a final state on its way into the journal. Settled runs when it is there.
type taskEnd struct {
	state      modeler.State
	reason     string
	result     *modeler.Result
	onRecorded func()
}

// end makes a task final: at once for a quick request, after the entry is written for a durable
// job. The place is free in both cases, because the task runs nowhere any more.
func (p *Partition) endTask(job *jobtracker.Job, task int, e taskEnd) {
	p.releasePlace(job, task)
	now := p.Clock.Now()
	if job.Spec.Class == modeler.Quick && e.state == modeler.Done {
		p.quickWait.ended++
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

// lingerOfEnd returns how long the entry about the end of a task may linger.
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

// interrupt deals with an attempt that is over unfinished: the task is queued again once that is
// written, or ends if it may not be tried again.
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
	p.write(entry, lingerShort, requeue)
}

// requeue puts a task back into the queue, with its job if that had left it. A gang goes back when
// its last task does.
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

// enqueue puts a job with queued tasks into the queue. An adopted quick request whose body nobody
// supplied can't be run again: its callers are told to repeat the key, and it comes back whole.
func (p *Partition) enqueue(job *jobtracker.Job) {
	p.dirty = true
	if job.MakeRunnable() {
		p.queue.Push(job)
		return
	}
	p.tracker.Remove(job.Key)
	job.Abandon()
}

// lose deals with a task whose worker can't run it any more and can't tell what became of it.
func (p *Partition) loseTask(job *jobtracker.Job, task int, reason string) {
	evidence := journaler.MayHaveRun
	if job.Tasks[task].Phase == jobtracker.Running {
		evidence = journaler.HasRun
	}
	if job.Spec.Repeatable {
		p.interruptTask(job, task, evidence, reason, nil)
		return
	}
	p.endTask(job, task, taskEnd{state: modeler.Unknown, reason: reason})
}

// Ended deals with a worker's record of a task that ended.
func (p *Partition) Ended(index int, record connector.TaskEnded) {
	if p.hasLaterOwner(record.Attempt) {
		return
	}
	if p.handedOver() {
		// The successor will be shown the record; it is not confirmed.
		return
	}
	onRecorded := p.registrar.Arrived(index, record)
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
	reason := string(record.Kind) + " on worker " + p.registrar.Worker(index).Name
	if t.Phase == jobtracker.Unverified && job.Spec.Repeatable && !job.Cancelled {
		// Another worker, not yet heard of, may run a later attempt: settle decides.
		p.recordEvidence(job, task, reason, onRecorded)
		return
	}
	p.interruptTask(job, task, journaler.HasRun, reason, onRecorded)
}

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

// stopTask has the worker end a task, and deals with what the worker says of it.
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
		p.Ended(index, *outcome.Ended)
		return
	}
	if t.Attempt != attempt || (t.Phase != jobtracker.Starting && t.Phase != jobtracker.Running) {
		return
	}
	switch {
	case outcome.NeverRan != "":
		p.interruptTask(job, task, journaler.NeverRan, "stopped before it ran", nil)
	case outcome.WorkerRestarted:
		p.loseTask(job, task, "worker "+p.registrar.Worker(index).Name+" restarted while it was told to stop the task")
	}
}
