package partitionscheduler

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// Submission is a job under a caller's key. With Wait, as for every quick request, the answer is
// held back until the job is final.
type Submission struct {
	Partition string
	Key       string
	Job       modeler.Job
	Wait      bool
}

// Reply ends a call. Only the first reply counts.
type Reply func(answer modeler.Answer, err error)

// Status replies with the state of a key; with wait it holds the answer back until the job is
// final.
func (p *Partition) Status(key string, wait bool, reply Reply) {
	p.withJob(key, reply, func(job *jobtracker.Job) {
		if wait {
			p.answerFinal(job, reply)
			return
		}
		p.answer(job, reply)
	})
}

// Cancel ends a job and replies with its final answer.
func (p *Partition) Cancel(key string, reply Reply) {
	p.withJob(key, reply, func(job *jobtracker.Job) { p.cancelJob(job, reply) })
}

// Present returns what is true of a key now, if its job was accepted and this owner can know it.
func (p *Partition) CurrentAnswer(key string) (answer modeler.Answer, accepted bool) {
	job := p.tracker.Find(key)
	if job == nil || !job.Accepted || !isConclusive(job) && !p.ownershipIsCertain() {
		return answer, false
	}
	return job.Answer(), true
}

// isCertain tells whether nobody else can own the partition now. An owner that was cut off from the
// table may have a successor that it has not heard of, and must not speak for the partition then.
func (p *Partition) ownershipIsCertain() bool {
	return !p.handedOver() && p.Clock.Now().Before(p.OwnedUntil())
}

// isLasting tells whether an answer stays true whoever owns the partition. The end of a durable job
// is in the journal, which only the owner can write, and a result of a quick request comes from a
// worker that obeyed this owner. Everything else is only what this owner believes.
func isConclusive(job *jobtracker.Job) bool {
	if !job.Final() {
		return false
	}
	return job.Durable || job.Answer().State == modeler.Done
}

// answer replies with what is true of the job, if this owner can know it.
func (p *Partition) answer(job *jobtracker.Job, reply Reply) {
	if isConclusive(job) || p.ownershipIsCertain() {
		reply(job.Answer(), nil)
		return
	}
	reply(modeler.Answer{}, &modeler.UndecidedError{Key: job.Key})
}

// answerFinal replies when the job is final, or when the partition was lost.
func (p *Partition) answerFinal(job *jobtracker.Job, reply Reply) {
	job.OnFinal(func() {
		if !job.Final() {
			reply(modeler.Answer{}, &modeler.NotOwnerError{Partition: p.name})
			return
		}
		p.answer(job, reply)
	})
}

// withJob finds the accepted job of a key. A key that is not in the book may be a quick request
// that some worker still runs; that is known when the partition is settled.
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

func (p *Partition) replyIfClosed(reply Reply) bool {
	if p.ctx.Err() == nil {
		return false
	}
	reply(modeler.Answer{}, &modeler.NotOwnerError{Partition: p.name})
	return true
}

// holdCall keeps a call until the partition can serve it.
func (p *Partition) deferCall(calls *[]func(), reply Reply, retry func()) {
	if len(*calls) >= maxDeferredCalls {
		reply(modeler.Answer{}, overloaded("too many calls wait for partition "+p.name))
		return
	}
	*calls = append(*calls, retry)
}

func overloaded(reason string) *modeler.RefusedError {
	return &modeler.RefusedError{Kind: modeler.Overloaded, Reason: reason, RetryAfter: retryAfter}
}

// Submit takes a job.
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

// enter checks a new job and begins its acceptance.
func (p *Partition) admit(submission Submission, digest string) (*jobtracker.Job, error) {
	spec := submission.Job
	policy, found := p.Tickets().PolicyOf(spec.Team, spec.Class)
	if !found {
		return nil, &modeler.RefusedError{Kind: modeler.NoPolicy, Reason: fmt.Sprintf("team %s has no policy for class %s", spec.Team, spec.Class)}
	}
	if p.queue.Len(spec.Team, spec.Class) >= policy.QueueLimit {
		return nil, overloaded(fmt.Sprintf("%d jobs of team %s and class %s wait already", policy.QueueLimit, spec.Team, spec.Class))
	}
	now := p.Clock.Now()
	durable := spec.Class != modeler.Quick || !spec.Repeatable
	if durable && !p.Journal.Writable() {
		return nil, &modeler.RefusedError{Kind: modeler.TableDown, Reason: "the table service does not answer, so nothing durable is accepted; nothing was done", RetryAfter: retryAfter}
	}
	if p.reconciled && p.neverFits(spec) {
		p.Metrics.CountDecision(spec.Class, "never-fits")
		return p.reject(submission, digest, now, "no worker of partition "+p.name+" that the policy allows could ever hold it"), nil
	}
	if spec.Class == modeler.Quick && p.reconciled && p.quickWait.missesDeadline(p.queue.QuickLen(), time.Duration(spec.Deadline)) {
		p.Metrics.CountDecision(spec.Class, "hopeless")
		return p.reject(submission, digest, now, fmt.Sprintf("%d requests wait already, and its deadline would pass before a slot is free", p.queue.QuickLen())), nil
	}
	if durable {
		return p.admitDurable(submission, digest, now), nil
	}
	return p.admitQuick(submission, digest, now), nil
}

// turnAway answers a job that is not begun at all. The answer is kept, so that the same key gets the
// same answer for as long as this owner remembers it.
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

// stateIfQueued returns the final state of all tasks of a cancelled job if every one of them is
// queued and they share it. One entry then ends them all.
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

// cancelled ends what is queued and stops what runs. Unverified tasks wait for settle, tasks with a
// permit under way for that.
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
