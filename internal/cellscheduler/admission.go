package cellscheduler

import (
	"context"
	"math"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/writeforecaster"
)

const (
	// minSilence is how long the store must have answered nothing before it counts as silent: a store at its
	// slowest answers the reads of an instance that is far from it in 0.4 s. A store that is known to take long
	// is allowed silenceFactor times the time of a transaction, and maxSilence at most.
	minSilence    = 600 * time.Millisecond
	silenceFactor = 2
	maxSilence    = 1500 * time.Millisecond
	// replyMargin is the part of a caller's time that its answer needs on the way back.
	replyMargin = 150 * time.Millisecond
	// maxUpdateDelay is how long a write may be deferred for which no caller waits.
	maxUpdateDelay = 4 * time.Second
)

const (
	// reasonUnknownQueue is the reason of the refusal of a job for whose queue no policy is known, because its caller's
	// instance and this one have different configurations. unknownQueueRetryAfter is when they should agree.
	reasonUnknownQueue     = "the configuration of this instance does not have the queue"
	unknownQueueRetryAfter = time.Second
)

// Reasons of refusals that the store causes.
const (
	reasonStoreSilent = "the store does not answer"
	reasonStoreSlow   = "the store is slow"
)

// writeClass is the position of a changed job in the order of writes while the store is slow.
type writeClass int

// The write classes, the first to be written first. A result that waits to be seen serves a caller at once.
// What can still be in time comes before what is late. Started work is brought to its end before more is
// accepted.
const (
	writeResult writeClass = iota
	writeInTime
	writeLateAssignment
	writeLateAcceptance
	writeUpdate
)

// silence returns how long the store has not answered, directly or through a peer. It falls back on the
// transactions in flight if the answers to other calls are not known.
func (c *Scheduler) silence() time.Duration {
	if c.StoreSilence != nil {
		return c.StoreSilence()
	}
	return c.journal.forecaster.TransactionTime(c.now)
}

// storeSilent reports whether the store answers neither the transactions in flight nor anything else.
func (c *Scheduler) storeSilent() bool {
	if !c.journal.limiter.Stalled(c.now) {
		return false
	}
	allowed := min(max(minSilence, silenceFactor*c.journal.forecaster.Average()), maxSilence)
	return c.StoreSilence == nil || c.StoreSilence() >= allowed
}

// storeRefusal returns the error for a new job while the store does not answer, and nil otherwise.
func (c *Scheduler) storeRefusal() *RefusedError {
	if !c.storeSilent() {
		return nil
	}
	return &RefusedError{Reason: reasonStoreSilent, Unavailable: true, RetryAfter: writeforecaster.ReturnAfterOutage(c.silence(), c.randomDuration)}
}

func (c *Scheduler) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(1, limit))))
}

// slowRefusal returns the error for a job that is to be written behind a number of rows, or nil if it can
// be written before its caller's deadline.
func (c *Scheduler) slowRefusal(rowsAhead int, deadline time.Time) *RefusedError {
	patience := deadline.Sub(c.now) - replyMargin
	forecast := c.journal.forecaster.WrittenIn(c.now, rowsAhead)
	if forecast <= patience {
		return nil
	}
	return &RefusedError{
		Reason: reasonStoreSlow, Unavailable: true, Forecast: forecast,
		RetryAfter: c.journal.forecaster.ReturnAfter(c.now, rowsAhead, patience, c.randomDuration),
	}
}

// deadlineOf returns the time until which a caller waits.
func (c *Scheduler) deadlineOf(ctx context.Context) time.Time {
	if deadline, found := ctx.Deadline(); found {
		return deadline
	}
	return c.now.Add(math.MaxInt64 / 2)
}

// forecastWrite records when a new job is expected to be written, and refuses it if that is after its
// caller's deadline.
func (c *Scheduler) forecastWrite(ctx context.Context, j *job) {
	j.deadline = c.deadlineOf(ctx)
	if !c.journal.forecaster.Slow(c.now) {
		j.expectedWrite = c.now.Add(c.journal.forecaster.WrittenIn(c.now, 0))
		return
	}
	j.writeClass = c.classify(j)
	rowsAhead := c.rowsBefore(j)
	j.expectedWrite = c.now.Add(c.journal.forecaster.WrittenIn(c.now, rowsAhead))
	if refusal := c.slowRefusal(rowsAhead, j.deadline); refusal != nil {
		c.journal.dirty = slices.DeleteFunc(c.journal.dirty, func(other *job) bool { return other == j })
		c.withdraw(j, refusal)
	}
}

// rowsBefore returns the number of rows that are written before those of a job.
func (c *Scheduler) rowsBefore(j *job) int {
	rows := 0
	for _, other := range c.journal.dirty {
		if other != j && other.writeClass <= j.writeClass {
			rows += other.rows()
		}
	}
	return rows
}

// rows returns the number of rows that the next write of a changed job takes.
func (j *job) rows() int {
	if j.definitionUnwritten && j.hasProgress() {
		return 2
	}
	return 1
}

// classify returns the write class of a changed job.
func (c *Scheduler) classify(j *job) writeClass {
	switch {
	case j.cancelling || j.progress.State.Final() && !j.visibleState.Final():
		return writeResult
	case j.visibleState.Final(), !j.definitionUnwritten && !j.hasUnsentRun():
		if c.now.Sub(j.changedAt) > maxUpdateDelay {
			return writeInTime
		}
		return writeUpdate
	case c.canBeInTime(j):
		return writeInTime
	case j.definitionUnwritten:
		return writeLateAcceptance
	default:
		return writeLateAssignment
	}
}

func (j *job) hasUnsentRun() bool {
	for _, p := range j.placements {
		if p.state == runUnsent {
			return true
		}
	}
	return false
}

// canBeInTime reports whether a job can meet its objective if it is written in the next transaction. A job
// without a ready step waits for its time.
func (c *Scheduler) canBeInTime(j *job) bool {
	for _, s := range j.steps {
		if c.rank(s).Tier > prioritizer.TierOnTime {
			return false
		}
	}
	return true
}

// orderWrites puts the changed jobs into the order in which they are written.
func (c *Scheduler) orderWrites() {
	for _, j := range c.journal.dirty {
		j.writeClass = c.classify(j)
	}
	slices.SortStableFunc(c.journal.dirty, func(a, b *job) int { return int(a.writeClass) - int(b.writeClass) })
}

// refuseUnwritten refuses the jobs whose rows have not been sent and can't be written before their callers'
// deadlines, and all of them while the store does not answer. What was never sent cannot become accepted
// later.
func (c *Scheduler) refuseUnwritten() {
	silent := c.storeSilent()
	if !silent && !c.journal.forecaster.Slow(c.now) {
		return
	}
	c.orderWrites()
	rows := 0
	remaining := c.journal.dirty[:0]
	for _, j := range c.journal.dirty {
		refusal := c.unwrittenRefusal(j, silent, rows)
		if refusal == nil {
			rows += j.rows()
			remaining = append(remaining, j)
			continue
		}
		c.withdraw(j, refusal)
	}
	clear(c.journal.dirty[len(remaining):])
	c.journal.dirty = remaining
}

// unwrittenRefusal returns the error for a changed job that is to be written behind a number of rows, or
// nil if it is not an unwritten acceptance or can be written in time.
func (c *Scheduler) unwrittenRefusal(j *job, silent bool, rowsAhead int) *RefusedError {
	switch {
	case !j.definitionUnwritten || j.cancelling:
		return nil
	case silent:
		return c.storeRefusal()
	default:
		return c.slowRefusal(rowsAhead, j.deadline)
	}
}

// withdraw removes a job whose rows have not been sent and refuses it. The job has been removed from the
// changed ones.
func (c *Scheduler) withdraw(j *job, refusal *RefusedError) {
	for _, p := range j.placements {
		// The assignment has not been sent to the store, so no start order was sent either.
		c.release(p)
	}
	j.dirty = false
	for _, b := range j.barriers {
		b.writeDone()
	}
	c.removeSteps(j)
	c.removeJob(j)
	c.openJobs--
	c.returnShare(j)
	if j.replacesRow && !c.unreadable[j.id] {
		c.journal.removals = append(c.journal.removals, j.id)
	}
	c.recordRefusal(j.definition, refusal)
	j.replyAll(refusal)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deletionDeferred reports whether the definition of a job that is over is deleted later, together with its
// progress: while the store is slow, its rows are needed for what callers wait for.
func (c *Scheduler) deletionDeferred(j *job) bool {
	return c.journal.forecaster.Slow(c.now) && c.now.Sub(j.progress.EndedAt) <= c.settings.StateRetention
}

// logSlowTransaction logs what a transaction of a slow store held and what is left to be written.
func (c *Scheduler) logSlowTransaction(sent *batch, rows int) {
	took := c.now.Sub(sent.sentAt)
	if !c.journal.forecaster.Slow(c.now) && took < slowTransaction {
		return
	}
	c.Log.Info("slow transaction", "cell", c.claim.Cell, "took-ms", took.Milliseconds(), "rows", rows, "results", sent.classes[writeResult],
		"in-time", sent.classes[writeInTime], "late-assignments", sent.classes[writeLateAssignment], "late-acceptances", sent.classes[writeLateAcceptance],
		"updates", sent.classes[writeUpdate], "queued", len(c.journal.dirty))
}

// slowTransaction is the time from which a transaction is logged.
const slowTransaction = 300 * time.Millisecond
