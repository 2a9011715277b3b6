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
type ending struct {
	state   modeler.State
	reason  string
	result  *modeler.Result
	settled func()
}

// end makes a task final: at once for a quick request, after the entry is written for a durable
// job. The place is free in both cases, because the task runs nowhere any more.
func (p *Partition) end(job *jobtracker.Job, task int, e ending) {
	p.vacate(job, task)
	now := p.Clock.Now()
	if job.Spec.Class == modeler.Quick && e.state == modeler.Done {
		p.forecast.ended++
	}
	finish := func() {
		job.End(task, e.state, e.reason, e.result, now)
		if e.settled != nil {
			e.settled()
		}
		p.Counters.Decided(job.Spec.Class, string(e.state))
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
	p.write(entry, lingerOfEnd(job), finish)
}

// lingerOfEnd returns how long the entry about the end of a task may linger.
func lingerOfEnd(job *jobtracker.Job) time.Duration {
	switch {
	case job.Spec.Class == modeler.Quick:
		return lingerNone
	case job.Open() == 1:
		return lingerShort
	default:
		return lingerLong
	}
}

func (p *Partition) logEnd(job *jobtracker.Job, task int, e ending) {
	p.Log.Info("ended", "key", job.Key, "task", task, "class", job.Spec.Class,
		"state", e.state, "reason", e.reason, "partition", p.name, "epoch", p.epoch)
}

// interrupt deals with an attempt that is over unfinished: the task is queued again once that is
// written, or ends if it may not be tried again.
func (p *Partition) interrupt(job *jobtracker.Job, task int, evidence journaler.Evidence, reason string, settled func()) {
	p.vacate(job, task)
	job.RecordEvidence(task, evidence)
	if job.Cancelled || !job.Spec.Repeatable {
		p.end(job, task, ending{state: job.Tasks[task].StateWithoutRetry(), reason: reason, settled: settled})
		return
	}
	again := func() {
		if settled != nil {
			settled()
		}
		p.requeue(job, task)
	}
	if !job.Durable || evidence == journaler.NeverRan {
		again()
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
	p.write(entry, lingerShort, again)
}

// requeue puts a task back into the queue, with its job if that had left it. A gang goes back when
// its last task does.
func (p *Partition) requeue(job *jobtracker.Job, task int) {
	if job.Cancelled {
		p.end(job, task, ending{state: job.Tasks[task].StateWithoutRetry(), reason: "cancelled"})
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
	p.book.Remove(job.Key)
	job.Abandon()
}

// lose deals with a task whose worker can't run it any more and can't tell what became of it.
func (p *Partition) lose(job *jobtracker.Job, task int, reason string) {
	evidence := journaler.MayHaveRun
	if job.Tasks[task].Phase == jobtracker.Running {
		evidence = journaler.HasRun
	}
	if job.Spec.Repeatable {
		p.interrupt(job, task, evidence, reason, nil)
		return
	}
	p.end(job, task, ending{state: modeler.Unknown, reason: reason})
}

// Ended deals with a worker's record of a task that ended.
func (p *Partition) Ended(index int, record connector.TaskEnded) {
	if p.isOutdated(record.Attempt) {
		return
	}
	if p.yielded() {
		// The successor will be shown the record; it is not confirmed.
		return
	}
	settled := p.roster.Arrived(index, record)
	if settled == nil {
		return
	}
	job := p.book.AdoptEnded(record)
	if job == nil {
		settled()
		return
	}
	task := record.Attempt.Task
	t := &job.Tasks[task]
	if t.StartedAt.IsZero() {
		t.StartedAt = record.At
	}
	if record.Kind == connector.EndedFinished {
		p.end(job, task, ending{state: modeler.Done, result: record.Result, settled: settled})
		return
	}
	reason := string(record.Kind) + " on worker " + p.roster.Worker(index).Name
	if t.Phase == jobtracker.Unverified && job.Spec.Repeatable && !job.Cancelled {
		// Another worker, not yet heard of, may run a later attempt: settle decides.
		p.witness(job, task, reason, settled)
		return
	}
	p.interrupt(job, task, journaler.HasRun, reason, settled)
}

func (p *Partition) witness(job *jobtracker.Job, task int, reason string, settled func()) {
	job.RecordEvidence(task, journaler.HasRun)
	if !job.Durable {
		settled()
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
	p.write(entry, lingerLong, settled)
}

// stopTask has the worker end a task, and deals with what the worker says of it.
func (p *Partition) stopTask(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	index := t.WorkerIndex
	if index == jobtracker.NoWorker {
		return
	}
	link := p.roster.Link(index)
	attempt, boot := t.Attempt, t.Boot
	go func() {
		outcome := link.Stop(attempt, boot)
		p.post(func() { p.stopped(job, task, index, attempt, outcome) })
	}()
}

func (p *Partition) stopped(job *jobtracker.Job, task, index int, attempt modeler.Attempt, outcome fencer.Outcome) {
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
		p.interrupt(job, task, journaler.NeverRan, "stopped before it ran", nil)
	case outcome.WorkerRestarted:
		p.lose(job, task, "worker "+p.roster.Worker(index).Name+" restarted while it was told to stop the task")
	}
}
