package cellscheduler

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// job is a job of the cell. The definition is nil once the job is final and forgotten.
type job struct {
	id         string
	definition *steptracker.Job
	progress   *steptracker.Progress
	// shown is what callers may be told: the state that has been written.
	shown steptracker.State
	// stored tells that the job's acceptance has been written.
	stored bool
	// fresh tells that the definition has yet to be written, forgotten that it was removed.
	fresh, forgotten bool
	// dirty tells that the job has changed since it was last put into a transaction, inFlight that one
	// with its rows is under way.
	dirty, inFlight bool
	after           []func()
	// barriers wait for the job to be written.
	barriers []*barrier
	// callers wait to hear whether the job was accepted.
	callers []func(error)
	arrived time.Time
	// places are the runs that hold room on workers.
	places map[steptracker.TaskKey]*place
	// steps are those whose turn has come.
	steps map[steptracker.StepKey]*step
	// settling tells that the final state's write is on its way.
	settling bool
	// cancelling tells that somebody waits for the job's cancellation to be written.
	cancelling bool
}

func (j *job) placed() int { return len(j.places) }

func encodeDefinition(definition *steptracker.Job) ([]byte, error) {
	text, err := json.Marshal(definition)
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return text, nil
}

func decodeDefinition(text []byte) (*steptracker.Job, error) {
	definition := &steptracker.Job{}
	if err := json.Unmarshal(text, definition); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if err := definition.Validate(); err != nil {
		return nil, err
	}
	return definition, nil
}

func shownState(p *steptracker.Progress) steptracker.State {
	switch {
	case p.State != "":
		return p.State
	case p.Started:
		return steptracker.Running
	default:
		return steptracker.Queued
	}
}

// SubmitResult is what a submission came to.
type SubmitResult struct {
	// Duplicate tells that the job had been handed in before.
	Duplicate bool
}

// ask runs a function on the control goroutine, once the rows have been read, and waits until it
// has called reply.
func (c *Scheduler) ask(ctx context.Context, function func(reply func(error))) error {
	answers := make(chan error, 1)
	reply := func(err error) {
		select {
		case answers <- err:
		default:
		}
	}
	posted := c.post(func() {
		if c.recovered {
			function(reply)
			return
		}
		c.waiting = append(c.waiting, func() { function(reply) })
	})
	if !posted {
		return &ShuttingDownError{Cell: c.claim.Cell}
	}
	select {
	case err := <-answers:
		return err
	case <-c.ended:
		return &NotOwnerError{Cell: c.claim.Cell}
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for cell "+c.claim.Cell)
	}
}

// Submit hands a job in and returns once it is written. A *RefusedError means that it never runs by
// this call; after any other error it may have been accepted.
func (c *Scheduler) Submit(ctx context.Context, definition *steptracker.Job) (SubmitResult, error) {
	var outcome SubmitResult
	err := c.ask(ctx, func(reply func(error)) {
		if j, known := c.jobs[definition.ID]; known {
			c.repeat(j, &outcome, reply)
			return
		}
		if c.leaving {
			reply(c.turnAway())
			return
		}
		if refusal := c.admit(definition); refusal != nil {
			c.refused(definition, refusal)
			reply(refusal)
			return
		}
		c.accept(definition, reply)
	})
	return outcome, err
}

// turnAway answers a submission while the owner leaves: there is a successor in a moment, unless the store
// that decides who that is does not answer.
func (c *Scheduler) turnAway() error {
	if refusal := c.storeRefusal(); refusal != nil {
		return refusal
	}
	return &ShuttingDownError{Cell: c.claim.Cell}
}

// repeat answers a submission of a job that is known: it remains one job.
func (c *Scheduler) repeat(j *job, outcome *SubmitResult, reply func(error)) {
	outcome.Duplicate = true
	if j.stored {
		reply(nil)
		return
	}
	j.callers = append(j.callers, reply)
}

func (c *Scheduler) accept(definition *steptracker.Job, reply func(error)) {
	j := &job{
		id:         definition.ID,
		definition: definition,
		progress:   steptracker.NewProgress(definition, c.Clock.Now()),
		shown:      steptracker.Queued,
		fresh:      true,
		callers:    []func(error){reply},
		arrived:    c.now,
	}
	c.journal.keep(j.id)
	c.jobs[j.id] = j
	c.open++
	c.touch(j, func() {
		j.stored = true
		c.Log.Info("accepted", "job", j.id, "queue", definition.Queue, "steps", len(definition.Steps), "tasks", tasks(definition),
			"took-ms", c.now.Sub(j.arrived).Milliseconds())
		c.Metrics.JobAccepted(definition.Queue, c.now.Sub(j.arrived))
		j.tell(nil)
	})
	c.refresh(j)
}

// tell answers all who wait to hear of the job's acceptance.
func (j *job) tell(err error) {
	for _, reply := range j.callers {
		reply(err)
	}
	j.callers = nil
}

// withdraw refuses the jobs that wait to be written while the store does not answer. None of their
// rows has been sent, so none of them can be accepted any more.
func (c *Scheduler) withdraw() {
	refusal := c.storeRefusal()
	if refusal == nil {
		return
	}
	kept := c.journal.dirty[:0]
	for _, j := range c.journal.dirty {
		if !j.fresh || j.cancelling {
			kept = append(kept, j)
			continue
		}
		for _, p := range j.places {
			// The record that names the worker has not been sent, so nothing was.
			c.release(p)
		}
		j.dirty = false
		for _, b := range j.barriers {
			b.pass()
		}
		c.forgetSteps(j)
		delete(c.jobs, j.id)
		c.open--
		c.refused(j.definition, refusal)
		j.tell(refusal)
	}
	c.journal.dirty = kept
}

func (c *Scheduler) refused(definition *steptracker.Job, refusal *RefusedError) {
	c.Log.Info("refused", "job", definition.ID, "queue", definition.Queue, "reason", refusal.Reason, "retry-after-ms", refusal.RetryAfter.Milliseconds())
	c.Metrics.JobRefused(definition.Queue)
}

func tasks(definition *steptracker.Job) int {
	count := 0
	for i := range definition.Steps {
		count += definition.Steps[i].Tasks
	}
	return count
}

// State tells what callers may know of a job.
func (c *Scheduler) State(ctx context.Context, id string) (steptracker.State, error) {
	var state steptracker.State
	err := c.ask(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known || !j.stored {
			reply(&UnknownJobError{ID: id})
			return
		}
		state = j.shown
		reply(nil)
	})
	return state, err
}

// Cancel cancels a job and returns once that is written.
func (c *Scheduler) Cancel(ctx context.Context, id string) error {
	return c.ask(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known {
			reply(&UnknownJobError{ID: id})
			return
		}
		if j.shown.Final() {
			reply(nil)
			return
		}
		j.cancelling = true
		j.progress.Cancel(c.now)
		c.Log.Info("cancelled", "job", id, "state", j.progress.State, "places", j.placed())
		c.touch(j, func() { reply(nil) })
		c.settle(j)
	})
}

// PendingJobs returns how many accepted jobs of a queue have started no task.
func (c *Scheduler) PendingJobs(ctx context.Context, queue string) (int, error) {
	count := 0
	err := c.ask(ctx, func(reply func(error)) {
		for _, j := range c.jobs {
			if j.stored && j.progress.Queue == queue && j.shown == steptracker.Queued {
				count++
			}
		}
		reply(nil)
	})
	return count, err
}

// queueOf returns the rules of a job's queue. A queue that was dropped keeps its last rules for the jobs
// that it took; if they are not known here, nil is returned and defaults apply.
func (c *Scheduler) queueOf(j *job) *configprovider.Queue {
	name := j.progress.Queue
	if rules := c.Configuration.Current(); rules != nil {
		if queue := rules.Queue(name); queue != nil {
			c.queues[name] = queue
			return queue
		}
	}
	return c.queues[name]
}

// droppedQueueFailures is the limit of failures for jobs whose queue was dropped.
const droppedQueueFailures = 3

func (c *Scheduler) maxFailures(j *job) int {
	if queue := c.queueOf(j); queue != nil {
		return queue.MaxFailures
	}
	return droppedQueueFailures
}

// settle looks whether a job has come to its end, shows that once it is written, and stops what
// still runs of a job that is over.
func (c *Scheduler) settle(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.UpdateState(j.definition, c.maxFailures(j), c.now)
	if j.progress.State.Final() {
		if !j.settling {
			j.settling = true
			c.open--
			c.touch(j, func() { c.show(j) })
		}
		for _, p := range j.places {
			c.stopPlace(p, "job is "+string(j.progress.State))
		}
	}
	c.refresh(j)
}

func (c *Scheduler) show(j *job) {
	j.shown = j.progress.State
	c.Log.Info("final", "job", j.id, "queue", j.progress.Queue, "state", j.shown, "reason", j.progress.Reason,
		"age-ms", c.now.Sub(j.progress.AcceptedAt).Milliseconds())
	c.Metrics.JobFinished(j.progress.Queue, j.shown, c.now.Sub(j.progress.AcceptedAt))
	j.progress.Open = nil
	if j.placed() == 0 {
		j.definition = nil
	}
}

// openDue opens the occurrences of scheduled jobs whose time has come.
func (c *Scheduler) openDue() {
	for _, j := range c.jobs {
		if j.definition != nil && j.definition.Scheduled() && j.progress.State == "" && j.progress.Next < j.definition.Occurrences() {
			if !j.definition.DueAt(j.progress.Next).After(c.Clock.Now()) {
				c.refresh(j)
			}
		}
	}
}

// prune forgets jobs whose final state need not be kept any longer.
func (c *Scheduler) prune() {
	for id, j := range c.jobs {
		if j.shown.Final() && j.placed() == 0 && !j.dirty && !j.inFlight && c.now.Sub(j.progress.EndedAt) > c.settings.StateRetention+keepLonger {
			delete(c.jobs, id)
			c.journal.drops = append(c.journal.drops, id)
		}
	}
}

// keepLonger is added to the time for which final states are kept, because clocks of instances
// differ.
const keepLonger = 10 * time.Second
