package cellscheduler

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/sharekeeper"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// job is a job of the cell. The definition is nil once the job is final and its definition is not
// needed any more.
type job struct {
	id         string
	definition *steptracker.Job
	progress   *steptracker.Progress
	// visibleState is the state that callers are told. A final state becomes visible only after
	// it is written.
	visibleState steptracker.State
	// stored is set once the job's acceptance has been written.
	stored bool
	// definitionUnwritten is set until the definition is added to a transaction,
	// definitionDeleted once its row is deleted.
	definitionUnwritten, definitionDeleted bool
	// definitionOutdated is set until a stored definition is added to a transaction again because it has changed.
	definitionOutdated bool
	// needsToken is set if a worker has asked for a placement token.
	needsToken bool
	// replacesRow is set if the progress of an earlier job with the same ID is still stored.
	replacesRow bool
	// dirty is set if the job has changed since it was last added to a transaction, inFlight
	// while a transaction with its rows is in flight.
	dirty, inFlight bool
	afterWrite      []func()
	// barriers are notified when the job has been written.
	barriers []*barrier
	// replies are called when it is known whether the job was accepted.
	replies     []func(error)
	submittedAt time.Time
	// deadline is until when a caller waits for the acceptance, expectedWrite when it was forecast to be
	// written. changedAt is since when the job is dirty, and writeClass its place among the others; a job that
	// has changed since they were ordered has the place that it had.
	deadline, expectedWrite, changedAt time.Time
	writeClass                         writeClass
	// placements are the runs that hold resources on workers.
	placements map[steptracker.TaskKey]*placement
	// steps are the steps whose preceding steps have ended.
	steps map[steptracker.StepKey]*step
	// finalizing is set once the final state has been added to the changes to write.
	finalizing bool
	// beyondShare is set if the job is beyond the share of its team; workAhead is the work that went before
	// it when it was accepted.
	beyondShare bool
	workAhead   sharekeeper.Work
	// cancelling is set if a caller waits for the job's cancellation to be written.
	cancelling bool
}

func (j *job) placementCount() int { return len(j.placements) }

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

// SubmitResult is the result of a successful submission.
type SubmitResult struct {
	// Duplicate is set if the job had been submitted before.
	Duplicate bool
}

// call runs a function on the control goroutine, after the stored rows have been read, and waits
// until the function has called reply. After an error the function may still run; what it writes must not be read.
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

// SubmitFor submits a job and returns once it is written. A *RefusedError, an *UnauthorizedError or a
// *ForbiddenError means that this call will never cause the job to run; after any other error the job
// may have been accepted.
func (c *Scheduler) SubmitFor(ctx context.Context, caller Caller, definition *steptracker.Job) (SubmitResult, error) {
	return c.SubmitVia(ctx, caller, definition, PathCall{})
}

// SubmitVia is SubmitFor for a call that was routed by a path. An *ElsewhereError means that the job was not
// accepted and that other cells have to be asked first.
func (c *Scheduler) SubmitVia(ctx context.Context, caller Caller, definition *steptracker.Job, via PathCall) (SubmitResult, error) {
	var result SubmitResult
	var submit func(reply func(error))
	submit = func(reply func(error)) {
		if err := c.denySubmission(caller, definition); err != nil {
			reply(err)
			return
		}
		if j, known := c.jobs[definition.ID]; known {
			j.deadline = later(j.deadline, c.deadlineOf(ctx))
			c.joinSubmission(j, &result, reply)
			return
		}
		if !c.admitPath(ctx, definition, via, reply, func() { submit(reply) }) {
			return
		}
		if c.shuttingDown {
			reply(c.shutdownError())
			return
		}
		if !c.setPolicy(definition) {
			refusal := &RefusedError{Reason: reasonUnknownQueue, RetryAfter: unknownQueueRetryAfter, Unavailable: true}
			c.recordRefusal(definition, refusal)
			reply(refusal)
			return
		}
		if refusal := c.admit(definition); refusal != nil {
			c.recordRefusal(definition, refusal)
			reply(refusal)
			return
		}
		c.accept(ctx, definition, reply)
	}
	if err := c.call(ctx, submit); err != nil {
		return SubmitResult{}, err
	}
	return result, nil
}

// shutdownError returns the error for a submission during shutdown. A successor takes over soon,
// unless the store, through which the successor is elected, does not answer.
func (c *Scheduler) shutdownError() error {
	if refusal := c.storeRefusal(); refusal != nil {
		return refusal
	}
	return &ShuttingDownError{Cell: c.claim.Cell}
}

// joinSubmission answers a repeated submission of a job, which has no further effect.
func (c *Scheduler) joinSubmission(j *job, result *SubmitResult, reply func(error)) {
	result.Duplicate = true
	if j.stored {
		reply(nil)
		return
	}
	j.replies = append(j.replies, reply)
}

func (c *Scheduler) accept(ctx context.Context, definition *steptracker.Job, reply func(error)) {
	j := &job{
		id:                  definition.ID,
		definition:          definition,
		progress:            steptracker.NewProgress(definition, c.Clock.Now()),
		visibleState:        steptracker.Queued,
		definitionUnwritten: true,
		replies:             []func(error){reply},
		submittedAt:         c.now,
	}
	j.replacesRow = c.journal.cancelRemoval(j.id) || c.unreadable[j.id]
	c.jobs[j.id] = j
	addCount(c.paths.jobs, j.progress.Path, 1)
	c.openJobs++
	c.acceptShare(j)
	c.markDirty(j, func() {
		j.stored = true
		c.countQueued(j, 1)
		c.Log.Info("accepted", "job", j.id, "queue", definition.Queue, "configuration", definition.Policy.Version, "steps", len(definition.Steps), "tasks", countTasks(definition),
			"took-ms", c.now.Sub(j.submittedAt).Milliseconds(), "forecast-ms", j.expectedWrite.Sub(j.submittedAt).Milliseconds(), j.shareAttr())
		c.Metrics.WriteForecast(c.now.Sub(j.expectedWrite))
		c.Metrics.JobAccepted(definition.Queue, c.now.Sub(j.submittedAt))
		j.replyAll(nil)
	})
	c.updateSteps(j)
	c.forecastWrite(ctx, j)
}

// replyAll answers all callers that wait for the job's acceptance.
func (j *job) replyAll(err error) {
	for _, reply := range j.replies {
		reply(err)
	}
	j.replies = nil
}

func (c *Scheduler) recordRefusal(definition *steptracker.Job, refusal *RefusedError) {
	c.Log.Info("refused", "job", definition.ID, "queue", definition.Queue, "reason", refusal.Reason, "retry-after-ms", refusal.RetryAfter.Milliseconds(),
		"forecast-ms", refusal.Forecast.Milliseconds())
	c.Metrics.JobRefused(refusal.Reason)
}

func countTasks(definition *steptracker.Job) int {
	count := 0
	for i := range definition.Steps {
		count += definition.Steps[i].Tasks
	}
	return count
}

// StateFor returns the state of a job as callers may see it. The error is a *ForbiddenError if the job
// belongs to another team.
func (c *Scheduler) StateFor(ctx context.Context, caller Caller, id string) (steptracker.State, error) {
	return c.StateVia(ctx, caller, id, PathCall{})
}

// StateVia is StateFor for a call that was routed by a path. The error is an *ElsewhereError if other cells
// may know the job.
func (c *Scheduler) StateVia(ctx context.Context, caller Caller, id string, via PathCall) (steptracker.State, error) {
	var state steptracker.State
	if err := c.call(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known || !j.stored {
			reply(c.elsewhere(id, via))
			return
		}
		if !caller.mayAccess(j.progress) {
			reply(c.forbid(caller, j))
			return
		}
		state = j.visibleState
		reply(nil)
	}); err != nil {
		return "", err
	}
	return state, nil
}

// CancelFor cancels a job and returns once the cancellation is written. The error is a *ForbiddenError if
// the job belongs to another team.
func (c *Scheduler) CancelFor(ctx context.Context, caller Caller, id string) error {
	return c.CancelVia(ctx, caller, id, PathCall{})
}

// CancelVia is CancelFor for a call that was routed by a path. The error is an *ElsewhereError if other cells
// may know the job.
func (c *Scheduler) CancelVia(ctx context.Context, caller Caller, id string, via PathCall) error {
	return c.call(ctx, func(reply func(error)) {
		j, known := c.jobs[id]
		if !known {
			reply(c.elsewhere(id, via))
			return
		}
		if !caller.mayAccess(j.progress) {
			reply(c.forbid(caller, j))
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

// PendingJobs returns the number of accepted jobs of a queue that have not started any task.
func (c *Scheduler) PendingJobs(ctx context.Context, queue string) (int, error) {
	count := 0
	if err := c.call(ctx, func(reply func(error)) {
		count = c.queuedJobs[queue]
		reply(nil)
	}); err != nil {
		return 0, err
	}
	return count, nil
}

// countQueued adds a job to the number of queued jobs of its queue, or takes it out with -1, if it is one.
func (c *Scheduler) countQueued(j *job, delta int) {
	if !j.stored || j.visibleState != steptracker.Queued {
		return
	}
	addCount(c.queuedJobs, j.progress.Queue, delta)
	addCount(c.paths.queued, j.progress.Path, delta)
}

// setVisibleState changes the state that callers are told.
func (c *Scheduler) setVisibleState(j *job, state steptracker.State) {
	c.countQueued(j, -1)
	j.visibleState = state
	c.countQueued(j, 1)
}

// updateFinalState checks whether a job has become final. If so, it makes the final state visible
// once it is written and stops the runs that the job still has.
func (c *Scheduler) updateFinalState(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.UpdateState(j.definition, j.attemptLimit(), c.now)
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
	c.updateSteps(j)
}

func (c *Scheduler) publishFinalState(j *job) {
	c.setVisibleState(j, j.progress.State)
	c.Log.Info("final", "job", j.id, "queue", j.progress.Queue, "state", j.visibleState, "reason", j.progress.Reason, "attempt-limit", j.attemptLimit(),
		"age-ms", c.now.Sub(j.progress.AcceptedAt).Milliseconds())
	c.Metrics.JobFinished(j.progress.Queue, j.visibleState, c.now.Sub(j.progress.AcceptedAt))
	if j.placementCount() == 0 {
		j.progress.Open, j.definition = nil, nil
	}
}

// openDueOccurrences opens the due occurrences of scheduled jobs.
func (c *Scheduler) openDueOccurrences() {
	for _, j := range c.jobs {
		if j.definition != nil && j.definition.Scheduled() && j.progress.State == "" && j.progress.Next < j.definition.Occurrences() {
			if !j.definition.DueAt(j.progress.Next).After(c.Clock.Now()) {
				c.updateSteps(j)
			}
		}
	}
}

// pruneFinalJobs removes jobs whose final state has been kept for long enough. The definition goes first:
// one without progress is that of a job that has not begun.
func (c *Scheduler) pruneFinalJobs() {
	for id, j := range c.jobs {
		if !j.visibleState.Final() || j.placementCount() > 0 || j.dirty || j.inFlight || c.now.Sub(j.progress.EndedAt) <= c.settings.StateRetention+retentionMargin {
			continue
		}
		if !j.definitionDeleted {
			c.markDirty(j, nil)
			continue
		}
		c.removeJob(j)
		c.journal.removals = append(c.journal.removals, id)
	}
}

// removeJob removes a job from memory.
func (c *Scheduler) removeJob(j *job) {
	delete(c.jobs, j.id)
	addCount(c.paths.jobs, j.progress.Path, -1)
}

// retentionMargin is added to the retention time because the clocks of instances differ.
const retentionMargin = 10 * time.Second
