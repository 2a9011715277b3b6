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
	// visibleState is what callers may be told: the state that has been written.
	visibleState steptracker.State
	// stored tells that the job's acceptance has been written.
	stored bool
	// definitionUnwritten tells that the definition has yet to be written, definitionDeleted that it was removed.
	definitionUnwritten, definitionDeleted bool
	// dirty tells that the job has changed since it was last put into a transaction, inFlight that one
	// with its rows is under way.
	dirty, inFlight bool
	afterWrite      []func()
	// barriers wait for the job to be written.
	barriers []*barrier
	// replies wait to hear whether the job was accepted.
	replies     []func(error)
	submittedAt time.Time
	// placements are the runs that hold room on workers.
	placements map[steptracker.TaskKey]*placement
	// steps are those whose turn has come.
	steps map[steptracker.StepKey]*step
	// finalizing tells that the final state's write is on its way.
	finalizing bool
	// cancelling tells that somebody waits for the job's cancellation to be written.
	cancelling bool
}

func (j *job) placementCount() int { return len(j.placements) }

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

func visibleStateOf(p *steptracker.Progress) steptracker.State {
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

// call runs a function on the control goroutine, once the rows have been read, and waits until it
// has called reply.
func (c *Scheduler) call(ctx context.Context, function func(reply func(error))) error {
	result := make(chan error, 1)
	reply := func(err error) {
		select {
		case result <- err:
		default:
		}
	}
	posted := c.post(func() {
		if c.recovered {
			function(reply)
			return
		}
		c.deferredCalls = append(c.deferredCalls, func() { function(reply) })
	})
	if !posted {
		return &ShuttingDownError{Cell: c.claim.Cell}
	}
	select {
	case err := <-result:
		return err
	case <-c.done:
		return &NotOwnerError{Cell: c.claim.Cell}
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for cell "+c.claim.Cell)
	}
}

// Submit hands a job in and returns once it is written. A *RefusedError means that it never runs by
// this call; after any other error it may have been accepted.
func (c *Scheduler) Submit(ctx context.Context, definition *steptracker.Job) (SubmitResult, error) {
	var outcome SubmitResult
	err := c.call(ctx, func(reply func(error)) {
		if j, known := c.jobs[definition.ID]; known {
			c.joinSubmission(j, &outcome, reply)
			return
		}
		if c.shuttingDown {
			reply(c.shutdownError())
			return
		}
		if refusal := c.admit(definition); refusal != nil {
			c.recordRefusal(definition, refusal)
			reply(refusal)
			return
		}
		c.accept(definition, reply)
	})
	return outcome, err
}

// shutdownError answers a submission while the owner leaves: there is a successor in a moment, unless the store
// that decides who that is does not answer.
func (c *Scheduler) shutdownError() error {
	if refusal := c.storeRefusal(); refusal != nil {
		return refusal
	}
	return &ShuttingDownError{Cell: c.claim.Cell}
}

// joinSubmission answers a submission of a job that is known: it remains one job.
func (c *Scheduler) joinSubmission(j *job, outcome *SubmitResult, reply func(error)) {
	outcome.Duplicate = true
	if j.stored {
		reply(nil)
		return
	}
	j.replies = append(j.replies, reply)
}

func (c *Scheduler) accept(definition *steptracker.Job, reply func(error)) {
	j := &job{
		id:                  definition.ID,
		definition:          definition,
		progress:            steptracker.NewProgress(definition, c.Clock.Now()),
		visibleState:        steptracker.Queued,
		definitionUnwritten: true,
		replies:             []func(error){reply},
		submittedAt:         c.now,
	}
	c.journal.cancelRemoval(j.id)
	c.jobs[j.id] = j
	c.openJobs++
	c.markDirty(j, func() {
		j.stored = true
		c.Log.Info("accepted", "job", j.id, "queue", definition.Queue, "steps", len(definition.Steps), "tasks", countTasks(definition),
			"took-ms", c.now.Sub(j.submittedAt).Milliseconds())
		c.Metrics.JobAccepted(definition.Queue, c.now.Sub(j.submittedAt))
		j.replyAll(nil)
	})
	c.refresh(j)
}

// replyAll answers all who wait to hear of the job's acceptance.
func (j *job) replyAll(err error) {
	for _, reply := range j.replies {
		reply(err)
	}
	j.replies = nil
}

// refuseUnwritten refuses the jobs that wait to be written while the store does not answer. None of their
// rows has been sent, so none of them can be accepted any more.
func (c *Scheduler) refuseUnwritten() {
	refusal := c.storeRefusal()
	if refusal == nil {
		return
	}
	remaining := c.journal.dirty[:0]
	for _, j := range c.journal.dirty {
		if !j.definitionUnwritten || j.cancelling {
			remaining = append(remaining, j)
			continue
		}
		for _, p := range j.placements {
			// The record that names the worker has not been sent, so nothing was.
			c.release(p)
		}
		j.dirty = false
		for _, b := range j.barriers {
			b.writeDone()
		}
		c.forgetSteps(j)
		delete(c.jobs, j.id)
		c.openJobs--
		c.recordRefusal(j.definition, refusal)
		j.replyAll(refusal)
	}
	c.journal.dirty = remaining
}

func (c *Scheduler) recordRefusal(definition *steptracker.Job, refusal *RefusedError) {
	c.Log.Info("refused", "job", definition.ID, "queue", definition.Queue, "reason", refusal.Reason, "retry-after-ms", refusal.RetryAfter.Milliseconds())
	c.Metrics.JobRefused(definition.Queue)
}

func countTasks(definition *steptracker.Job) int {
	count := 0
	for i := range definition.Steps {
		count += definition.Steps[i].Tasks
	}
	return count
}

// State tells what callers may know of a job.
func (c *Scheduler) State(ctx context.Context, id string) (steptracker.State, error) {
	var state steptracker.State
	err := c.call(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known || !j.stored {
			reply(&UnknownJobError{ID: id})
			return
		}
		state = j.visibleState
		reply(nil)
	})
	return state, err
}

// Cancel cancels a job and returns once that is written.
func (c *Scheduler) Cancel(ctx context.Context, id string) error {
	return c.call(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known {
			reply(&UnknownJobError{ID: id})
			return
		}
		if j.visibleState.Final() {
			reply(nil)
			return
		}
		j.cancelling = true
		j.progress.Cancel(c.now)
		c.Log.Info("cancelled", "job", id, "state", j.progress.State, "places", j.placementCount())
		c.markDirty(j, func() { reply(nil) })
		c.updateFinalState(j)
	})
}

// PendingJobs returns how many accepted jobs of a queue have started no task.
func (c *Scheduler) PendingJobs(ctx context.Context, queue string) (int, error) {
	count := 0
	err := c.call(ctx, func(reply func(error)) {
		for _, j := range c.jobs {
			if j.stored && j.progress.Queue == queue && j.visibleState == steptracker.Queued {
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

// droppedQueueMaxFailures is the limit of failures for jobs whose queue was dropped.
const droppedQueueMaxFailures = 3

func (c *Scheduler) maxFailures(j *job) int {
	if queue := c.queueOf(j); queue != nil {
		return queue.MaxFailures
	}
	return droppedQueueMaxFailures
}

// updateFinalState looks whether a job has come to its end, shows that once it is written, and stops what
// still runs of a job that is over.
func (c *Scheduler) updateFinalState(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.UpdateState(j.definition, c.maxFailures(j), c.now)
	if j.progress.State.Final() {
		if !j.finalizing {
			j.finalizing = true
			c.openJobs--
			c.markDirty(j, func() { c.publishFinalState(j) })
		}
		for _, p := range j.placements {
			c.stopRun(p, "job is "+string(j.progress.State))
		}
	}
	c.refresh(j)
}

func (c *Scheduler) publishFinalState(j *job) {
	j.visibleState = j.progress.State
	c.Log.Info("final", "job", j.id, "queue", j.progress.Queue, "state", j.visibleState, "reason", j.progress.Reason,
		"age-ms", c.now.Sub(j.progress.AcceptedAt).Milliseconds())
	c.Metrics.JobFinished(j.progress.Queue, j.visibleState, c.now.Sub(j.progress.AcceptedAt))
	j.progress.Open = nil
	if j.placementCount() == 0 {
		j.definition = nil
	}
}

// openDueOccurrences opens the occurrences of scheduled jobs whose time has come.
func (c *Scheduler) openDueOccurrences() {
	for _, j := range c.jobs {
		if j.definition != nil && j.definition.Scheduled() && j.progress.State == "" && j.progress.Next < j.definition.Occurrences() {
			if !j.definition.DueAt(j.progress.Next).After(c.Clock.Now()) {
				c.refresh(j)
			}
		}
	}
}

// pruneFinalJobs forgets jobs whose final state need not be kept any longer.
func (c *Scheduler) pruneFinalJobs() {
	for id, j := range c.jobs {
		if j.visibleState.Final() && j.placementCount() == 0 && !j.dirty && !j.inFlight && c.now.Sub(j.progress.EndedAt) > c.settings.StateRetention+retentionMargin {
			delete(c.jobs, id)
			c.journal.removals = append(c.journal.removals, id)
		}
	}
}

// retentionMargin is added to the time for which final states are kept, because clocks of instances
// differ.
const retentionMargin = 10 * time.Second
