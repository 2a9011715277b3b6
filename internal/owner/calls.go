package owner

import (
	"context"
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/bookkeeper"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/placer"
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

// answered is the end of a call.
type answered struct {
	answer modeler.Answer
	err    error
}

// call runs a message on the control goroutine and waits for the one reply that it gives.
func (c *Control) call(ctx context.Context, name, key string, message func(p *partition, reply func(modeler.Answer, error))) (modeler.Answer, error) {
	replies := make(chan answered, 1)
	reply := func(answer modeler.Answer, err error) {
		select {
		case replies <- answered{answer: answer, err: err}:
		default:
		}
	}
	c.post(func() {
		p := c.partitions[name]
		if p == nil {
			reply(modeler.Answer{}, &NotOwnerError{Partition: name})
			return
		}
		message(p, reply)
	})
	select {
	case got := <-replies:
		return got.answer, got.err
	case <-c.ctx.Done():
		return modeler.Answer{}, &NotOwnerError{Partition: name}
	case <-ctx.Done():
		return c.present(name, key)
	}
}

// presentPatience bounds how long a call that ran out of time waits for what is known so far.
const presentPatience = time.Second

// present returns what is known of a key now, for a call whose time is over.
func (c *Control) present(partition, key string) (modeler.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), presentPatience)
	defer cancel()
	answer, err := modeler.Answer{}, error(&UndecidedError{Key: key})
	failure := c.view(ctx, func() {
		p := c.partitions[partition]
		if p == nil {
			err = &NotOwnerError{Partition: partition}
			return
		}
		if job := p.book.Find(key); job != nil && job.Accepted {
			answer, err = job.Answer(), nil
		}
	})
	if failure != nil {
		return modeler.Answer{}, &UndecidedError{Key: key}
	}
	return answer, err
}

// Submit takes a job. When ctx ends first, the answer tells the state so far, or the error is an
// *UndecidedError.
func (c *Control) Submit(ctx context.Context, submission Submission) (modeler.Answer, error) {
	digest, err := submission.Job.Digest()
	if err != nil {
		return modeler.Answer{}, err
	}
	return c.call(ctx, submission.Partition, submission.Key, func(p *partition, reply func(modeler.Answer, error)) {
		p.submit(submission, digest, reply)
	})
}

// Status tells the state of a key; with wait it holds the answer back until the job is final.
func (c *Control) Status(ctx context.Context, name, key string, wait bool) (modeler.Answer, error) {
	return c.call(ctx, name, key, func(p *partition, reply func(modeler.Answer, error)) {
		p.withJob(key, reply, func(job *bookkeeper.Job) {
			if wait {
				p.answerFinal(job, reply)
				return
			}
			reply(job.Answer(), nil)
		})
	})
}

// Cancel ends a job and returns its final answer, or the state so far when ctx ends first.
func (c *Control) Cancel(ctx context.Context, name, key string) (modeler.Answer, error) {
	return c.call(ctx, name, key, func(p *partition, reply func(modeler.Answer, error)) {
		p.withJob(key, reply, func(job *bookkeeper.Job) { p.cancelJob(job, reply) })
	})
}

// answerFinal replies when the job is final, or when the partition was lost.
func (p *partition) answerFinal(job *bookkeeper.Job, reply func(modeler.Answer, error)) {
	job.WhenFinal(func() {
		if !job.Final() {
			reply(modeler.Answer{}, &NotOwnerError{Partition: p.name})
			return
		}
		reply(job.Answer(), nil)
	})
}

// withJob finds the accepted job of a key. A key that is not in the book may be a quick request
// that some worker still runs; that is known when the partition is settled.
func (p *partition) withJob(key string, reply func(modeler.Answer, error), use func(*bookkeeper.Job)) {
	if p.closed(reply) {
		return
	}
	job := p.book.Find(key)
	if job != nil && p.loaded {
		job.WhenAccepted(func() {
			if !p.closed(reply) {
				use(job)
			}
		})
		return
	}
	if p.settled {
		reply(modeler.Answer{}, &RefusedError{Kind: UnknownKey, Reason: "there is no work under the key " + key})
		return
	}
	p.holdCall(&p.atSettle, reply, func() { p.withJob(key, reply, use) })
}

func (p *partition) closed(reply func(modeler.Answer, error)) bool {
	if p.ctx.Err() == nil {
		return false
	}
	reply(modeler.Answer{}, &NotOwnerError{Partition: p.name})
	return true
}

// holdCall keeps a call until the partition can serve it.
func (p *partition) holdCall(list *[]func(), reply func(modeler.Answer, error), again func()) {
	if len(*list) >= maxHeld {
		reply(modeler.Answer{}, overloaded("too many calls wait for partition "+p.name))
		return
	}
	*list = append(*list, again)
}

func overloaded(reason string) *RefusedError {
	return &RefusedError{Kind: Overloaded, Reason: reason, RetryAfter: retryAfter}
}

func (p *partition) submit(submission Submission, digest string, reply func(modeler.Answer, error)) {
	if p.closed(reply) {
		return
	}
	if !p.loaded || p.control.workers == nil {
		p.holdCall(&p.atLoad, reply, func() { p.submit(submission, digest, reply) })
		return
	}
	if p.yielding != nil {
		p.holdCall(&p.atSettle, reply, func() { p.submit(submission, digest, reply) })
		return
	}
	job := p.book.Find(submission.Key)
	if job == nil {
		var err error
		if job, err = p.enter(submission, digest); err != nil {
			reply(modeler.Answer{}, err)
			return
		}
	}
	if job.Digest == "" {
		job.Digest = digest
	}
	if job.Digest != digest {
		reply(modeler.Answer{}, &RefusedError{Kind: KeyReused, Reason: fmt.Sprintf("the key %s stands for another request; nothing was done for this one", submission.Key)})
		return
	}
	job.WhenAccepted(func() {
		switch {
		case p.closed(reply):
		case submission.Wait:
			p.answerFinal(job, reply)
		default:
			reply(job.Answer(), nil)
		}
	})
}

// enter checks a new job and begins its acceptance.
func (p *partition) enter(submission Submission, digest string) (*bookkeeper.Job, error) {
	spec := submission.Job
	policy, found := p.control.tickets.PolicyOf(spec.Team, spec.Class)
	if !found {
		return nil, &RefusedError{Kind: NoPolicy, Reason: fmt.Sprintf("team %s has no policy for class %s", spec.Team, spec.Class)}
	}
	if p.queue.Len(spec.Team, spec.Class) >= policy.QueueLimit {
		return nil, overloaded(fmt.Sprintf("%d jobs of team %s and class %s wait already", policy.QueueLimit, spec.Team, spec.Class))
	}
	now := p.control.Clock.Now()
	durable := spec.Class != modeler.Quick || !spec.Repeatable
	if durable && !p.control.Journal.Writable() {
		return nil, &RefusedError{Kind: TableDown, Reason: "the table service does not answer, so nothing durable is accepted; nothing was done", RetryAfter: retryAfter}
	}
	if p.settled && p.neverFits(spec) {
		job := p.book.Add(submission.Key, digest, spec, now, bookkeeper.Queued)
		job.Accept()
		for i := range job.Tasks {
			job.End(i, modeler.NotRun, "no worker of partition "+p.name+" that the policy allows could ever hold it", nil, now)
		}
		p.control.Counters.Decided(spec.Class, "never-fits")
		return job, nil
	}
	if durable {
		return p.enterDurable(submission, digest, now), nil
	}
	return p.enterQuick(submission, digest, now), nil
}

func (p *partition) neverFits(spec modeler.Job) bool {
	probe := &bookkeeper.Job{Spec: spec}
	return p.cell.CanEverHold(p.ask(probe, spec.Tasks)) == placer.NeverFits
}

func (p *partition) enterQuick(submission Submission, digest string, now time.Time) *bookkeeper.Job {
	phase := bookkeeper.Queued
	if !p.settled {
		phase = bookkeeper.Unproven
	}
	job := p.book.Add(submission.Key, digest, submission.Job, now, phase)
	job.Ticket = p.control.tickets.Number
	job.Accept()
	if p.settled {
		p.queue.Push(job)
		p.dirty = true
	}
	return job
}

func (p *partition) enterDurable(submission Submission, digest string, now time.Time) *bookkeeper.Job {
	job := p.book.Add(submission.Key, digest, submission.Job, now, bookkeeper.Queued)
	job.Durable = true
	job.Ticket = p.control.tickets.Number
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

func (p *partition) cancelJob(job *bookkeeper.Job, reply func(modeler.Answer, error)) {
	if job.Final() || job.Cancelled {
		p.answerFinal(job, reply)
		return
	}
	if job.Durable && !p.control.Journal.Writable() {
		reply(modeler.Answer{}, &RefusedError{Kind: TableDown, Reason: "the table service does not answer, so the cancellation was not accepted", RetryAfter: retryAfter})
		return
	}
	p.answerFinal(job, reply)
	job.Cancelled = true
	state := p.stateIfQueued(job)
	if !job.Durable {
		p.cancelled(job, state)
		return
	}
	entry := journaler.Entry{Kind: journaler.Cancelled, Key: job.Key, At: p.control.Clock.Now(), State: state}
	p.write(entry, lingerNone, func() { p.cancelled(job, state) })
}

// stateIfQueued returns the final state of all tasks of a cancelled job if every one of them is
// queued and they share it. One entry then ends them all.
func (p *partition) stateIfQueued(job *bookkeeper.Job) modeler.State {
	if job.Count(bookkeeper.Queued) < len(job.Tasks) {
		return ""
	}
	state := job.Tasks[0].Unfinished()
	for i := range job.Tasks {
		if job.Tasks[i].Unfinished() != state {
			return ""
		}
	}
	return state
}

// cancelled ends what is queued and stops what runs. Unproven tasks wait for settle, tasks with a
// permit under way for that.
func (p *partition) cancelled(job *bookkeeper.Job, state modeler.State) {
	if state != "" {
		job.Cancel(state, p.control.Clock.Now())
		p.control.Counters.Decided(job.Spec.Class, string(state))
		p.control.Log.Info("cancelled", "key", job.Key, "class", job.Spec.Class, "state", state, "partition", p.name, "epoch", p.epoch)
		return
	}
	for task := range job.Tasks {
		t := &job.Tasks[task]
		switch t.Phase {
		case bookkeeper.Queued:
			p.end(job, task, ending{state: t.Unfinished(), reason: "cancelled"})
		case bookkeeper.Starting, bookkeeper.Running:
			p.stopTask(job, task)
		case bookkeeper.Unproven, bookkeeper.Permitting, bookkeeper.Ending, bookkeeper.Over:
		}
	}
}
