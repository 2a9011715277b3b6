package partitionscheduler

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

// retryAfter is the delay after which a refused caller may retry.
const retryAfter = time.Second

// Submission is a job with the caller's key. With Wait, which every quick request sets, the reply is
// delayed until the job is final.
type Submission struct {
	Partition string
	Key       string
	Job       modeler.Job
	Wait      bool
}

// Reply returns the result of a call. Replies after the first have no effect.
type Reply func(answer modeler.Answer, err error)

// Status replies with the state of the job with the given key. With wait, the reply is delayed
// until the job is final.
func (p *Partition) Status(key string, wait bool, reply Reply) {
	p.withJob(key, reply, func(job *jobtracker.Job) {
		if wait {
			p.answerFinal(job, reply)
			return
		}
		p.answer(job, reply)
	})
}

// Cancel cancels a job and replies with its final answer.
func (p *Partition) Cancel(key string, reply Reply) {
	p.withJob(key, reply, func(job *jobtracker.Job) { p.cancelJob(job, reply) })
}

// CurrentAnswer returns the current answer for a key. It returns false if the job has not been
// accepted, or if another instance may own the partition and the answer may therefore be outdated.
func (p *Partition) CurrentAnswer(key string) (answer modeler.Answer, accepted bool) {
	job := p.tracker.Find(key)
	if job == nil || !job.Accepted || !isConclusive(job) && !p.ownershipIsCertain() {
		return answer, false
	}
	return job.Answer(), true
}

// ownershipIsCertain reports whether no other instance can own the partition now. An owner that was
// cut off from the table service may have a successor that it does not know of; it must then not
// answer for the partition.
func (p *Partition) ownershipIsCertain() bool {
	return !p.handoverEnded() && p.Clock.Now().Before(p.OwnedUntil())
}

// isConclusive reports whether the answer of a job is correct whichever instance owns the
// partition. The end of a durable job is in the journal, which only the owner can write, and the
// result of a quick request comes from a worker that accepted this owner's epoch. Any other answer
// may be outdated.
func isConclusive(job *jobtracker.Job) bool {
	if !job.Final() {
		return false
	}
	return job.Durable || job.Answer().State == modeler.Done
}

// answer replies with the current answer of the job, or with a *modeler.UndecidedError if it may be
// outdated.
func (p *Partition) answer(job *jobtracker.Job, reply Reply) {
	if isConclusive(job) || p.ownershipIsCertain() {
		reply(job.Answer(), nil)
		return
	}
	reply(modeler.Answer{}, &modeler.UndecidedError{Key: job.Key})
}

// answerFinal replies when the job is final or the partition is closed.
func (p *Partition) answerFinal(job *jobtracker.Job, reply Reply) {
	job.OnFinal(func() {
		if !job.Final() {
			reply(modeler.Answer{}, &modeler.NotOwnerError{Partition: p.name})
			return
		}
		p.answer(job, reply)
	})
}

// withJob calls use with the accepted job of a key. An unknown key may be that of a quick request
// that a worker still runs, so the call is deferred until the partition is reconciled.
func (p *Partition) withJob(key string, reply Reply, use func(*jobtracker.Job)) {
	if p.replyIfClosed(reply) {
		return
	}
	job := p.tracker.Find(key)
	if job != nil && p.loaded {
		job.OnAccepted(func() {
			if !p.replyIfClosed(reply) {
				use(job)
			}
		})
		return
	}
	if p.reconciled && !p.ownershipIsCertain() {
		reply(modeler.Answer{}, &modeler.UndecidedError{Key: key})
		return
	}
	if p.reconciled {
		reply(modeler.Answer{}, &modeler.RefusedError{Kind: modeler.UnknownKey, Reason: "there is no work under the key " + key})
		return
	}
	p.deferCall(&p.onReconciled, reply, func() { p.withJob(key, reply, use) })
}

// replyIfClosed replies with a *modeler.NotOwnerError and returns true if the partition is closed.
func (p *Partition) replyIfClosed(reply Reply) bool {
	if p.ctx.Err() == nil {
		return false
	}
	reply(modeler.Answer{}, &modeler.NotOwnerError{Partition: p.name})
	return true
}

// deferCall adds a call to a list of calls that are retried later. It refuses the call if the list
// is full.
func (p *Partition) deferCall(calls *[]func(), reply Reply, retry func()) {
	if len(*calls) >= maxDeferredCalls {
		reply(modeler.Answer{}, overloaded("too many calls are waiting for partition "+p.name))
		return
	}
	*calls = append(*calls, retry)
}

func overloaded(reason string) *modeler.RefusedError {
	return &modeler.RefusedError{Kind: modeler.Overloaded, Reason: reason, RetryAfter: retryAfter}
}

// Submit accepts a job, or finds the job that was submitted earlier with the same key and digest.
func (p *Partition) Submit(submission Submission, digest string, reply Reply) {
	if p.replyIfClosed(reply) {
		return
	}
	if !p.loaded || p.Workers() == nil {
		p.deferCall(&p.onLoaded, reply, func() { p.Submit(submission, digest, reply) })
		return
	}
	if p.handover != nil {
		p.deferCall(&p.onReconciled, reply, func() { p.Submit(submission, digest, reply) })
		return
	}
	job := p.tracker.Find(submission.Key)
	if job == nil {
		var err error
		if job, err = p.admit(submission, digest); err != nil {
			reply(modeler.Answer{}, err)
			return
		}
	}
	if job.Digest == "" {
		job.Digest = digest
		job.SuppliedSpec = &submission.Job
	}
	if job.Digest != digest {
		reply(modeler.Answer{}, &modeler.RefusedError{Kind: modeler.KeyReused, Reason: fmt.Sprintf("the key %s stands for another request; nothing was done for this one", submission.Key)})
		return
	}
	job.OnAccepted(func() {
		switch {
		case p.replyIfClosed(reply):
		case submission.Wait:
			p.answerFinal(job, reply)
		default:
			p.answer(job, reply)
		}
	})
}

// admit applies admission control to a new job and starts its acceptance.
func (p *Partition) admit(submission Submission, digest string) (*jobtracker.Job, error) {
	spec := submission.Job
	policy, found := p.Tickets().PolicyOf(spec.Team, spec.Class)
	if !found {
		return nil, &modeler.RefusedError{Kind: modeler.NoPolicy, Reason: fmt.Sprintf("team %s has no policy for class %s", spec.Team, spec.Class)}
	}
	if p.queue.Len(spec.Team, spec.Class) >= policy.QueueLimit {
		return nil, overloaded(fmt.Sprintf("%d jobs of team %s and class %s are already waiting", policy.QueueLimit, spec.Team, spec.Class))
	}
	now := p.Clock.Now()
	durable := spec.Class != modeler.Quick || !spec.Repeatable
	if durable && !p.Journal.Writable() {
		return nil, &modeler.RefusedError{Kind: modeler.TableDown, Reason: "the table service does not answer, so durable jobs can't be accepted; nothing was done", RetryAfter: retryAfter}
	}
	if p.reconciled && p.neverFits(spec) {
		p.Metrics.CountDecision(spec.Class, "never-fits")
		return p.reject(submission, digest, now, "no worker of partition "+p.name+" that the policy allows could ever hold it"), nil
	}
	if spec.Class == modeler.Quick && p.reconciled && p.quickWait.missesDeadline(p.queue.QuickLen(), time.Duration(spec.Deadline)) {
		p.Metrics.CountDecision(spec.Class, "hopeless")
		return p.reject(submission, digest, now, fmt.Sprintf("%d requests are already waiting, and the deadline would pass before a slot is free", p.queue.QuickLen())), nil
	}
	if durable {
		return p.admitDurable(submission, digest, now), nil
	}
	return p.admitQuick(submission, digest, now), nil
}

// reject ends a job without running it. The answer is kept, so that the same key gets the same
// answer as long as this owner retains it.
func (p *Partition) reject(submission Submission, digest string, now time.Time, reason string) *jobtracker.Job {
	job := p.tracker.Add(submission.Key, digest, submission.Job, now, jobtracker.Queued)
	job.Ticket = p.Tickets().Number
	job.Accept()
	for i := range job.Tasks {
		job.End(i, modeler.NotRun, reason, nil, now)
	}
	p.Log.Info("turned away", "key", job.Key, "class", job.Spec.Class, "reason", reason, "partition", p.name, "epoch", p.epoch)
	return job
}

func (p *Partition) neverFits(spec modeler.Job) bool {
	probe := &jobtracker.Job{Spec: spec}
	return p.placer.ShortageWhenEmpty(p.placementRequest(probe, spec.Tasks)) == partitionplacer.NeverFits
}

func (p *Partition) admitQuick(submission Submission, digest string, now time.Time) *jobtracker.Job {
	phase := jobtracker.Queued
	if !p.reconciled {
		phase = jobtracker.Unverified
	}
	job := p.tracker.Add(submission.Key, digest, submission.Job, now, phase)
	job.Ticket = p.Tickets().Number
	job.Accept()
	if p.reconciled {
		p.queue.Push(job)
		p.dirty = true
	}
	return job
}

func (p *Partition) admitDurable(submission Submission, digest string, now time.Time) *jobtracker.Job {
	job := p.tracker.Add(submission.Key, digest, submission.Job, now, jobtracker.Queued)
	job.Durable = true
	job.Ticket = p.Tickets().Number
	entry := journaler.Entry{
		Kind:   journaler.Accepted,
		Key:    job.Key,
		At:     now,
		Ticket: job.Ticket,
		Digest: digest,
		Job:    &job.Spec,
	}
	p.write(entry, lingerNone, func() {
		job.Accept()
		p.queue.Push(job)
		p.dirty = true
	})
	return job
}

func (p *Partition) cancelJob(job *jobtracker.Job, reply Reply) {
	if job.Final() || job.Cancelled {
		p.answerFinal(job, reply)
		return
	}
	if job.Durable && !p.Journal.Writable() {
		reply(modeler.Answer{}, &modeler.RefusedError{Kind: modeler.TableDown, Reason: "the table service does not answer, so the cancellation was not accepted", RetryAfter: retryAfter})
		return
	}
	p.answerFinal(job, reply)
	job.Cancelled = true
	state := p.commonQueuedState(job)
	if !job.Durable {
		p.applyCancellation(job, state)
		return
	}
	entry := journaler.Entry{Kind: journaler.Cancelled, Key: job.Key, At: p.Clock.Now(), State: state}
	p.write(entry, lingerNone, func() { p.applyCancellation(job, state) })
}

// commonQueuedState returns the final state that cancellation gives to the tasks of a job, if all
// of them are queued and get the same state; a single journal entry then ends them all. Otherwise
// it returns "".
func (p *Partition) commonQueuedState(job *jobtracker.Job) modeler.State {
	if job.Count(jobtracker.Queued) < len(job.Tasks) {
		return ""
	}
	state := job.Tasks[0].StateWithoutRetry()
	for i := range job.Tasks {
		if job.Tasks[i].StateWithoutRetry() != state {
			return ""
		}
	}
	return state
}

// applyCancellation ends the queued tasks of a cancelled job and stops the running ones. Tasks in
// phase Unverified end when the partition is reconciled, tasks in phase Permitting when their
// permit is written.
func (p *Partition) applyCancellation(job *jobtracker.Job, state modeler.State) {
	if state != "" {
		job.Cancel(state, p.Clock.Now())
		p.Metrics.CountDecision(job.Spec.Class, string(state))
		p.Log.Info("cancelled", "key", job.Key, "class", job.Spec.Class, "state", state, "partition", p.name, "epoch", p.epoch)
		return
	}
	for task := range job.Tasks {
		t := &job.Tasks[task]
		switch t.Phase {
		case jobtracker.Queued:
			p.endTask(job, task, taskEnd{state: t.StateWithoutRetry(), reason: "cancelled"})
		case jobtracker.Starting, jobtracker.Running:
			p.stopTask(job, task)
		case jobtracker.Unverified, jobtracker.Permitting, jobtracker.Ending, jobtracker.Finished:
		}
	}
}
