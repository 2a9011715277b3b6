package cellscheduler

import (
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// The store takes this much in one transaction at most, the rows of the preconditions included.
const (
	maxTransactionRows  = 80
	maxTransactionBytes = 600_000
)

// journal collects the jobs that have to be written. Usually one transaction is in flight, and all that
// changes meanwhile goes into the next. While the store is slow, more of them are: each goes through a
// lane, which resolves its own lost answers. A job is in one of them at most, so that its rows are
// written in the order of its changes.
type journal struct {
	dirty []*job
	// removals are final jobs that nobody may ask for any more. While they are being removed nothing else
	// is in flight: a job may be handed in again under the same ID.
	removals []string
	limiter  *inflightlimiter.Limiter
	// batches are what is in flight, by lane, nil where nothing is.
	batches   []*batch
	exclusive bool
}

// cancelRemoval takes back that the row of a forgotten job is to be removed: a job comes again under its ID.
func (j *journal) cancelRemoval(id string) {
	if at := slices.Index(j.removals, id); at >= 0 {
		j.removals = slices.Delete(j.removals, at, at+1)
	}
}

// batch is a transaction under way.
type batch struct {
	jobs     []*job
	after    []func()
	barriers []*barrier
}

// barrier runs a function once so many jobs and transactions have been written.
type barrier struct {
	after     func()
	remaining int
}

func (b *barrier) writeDone() {
	if b.remaining--; b.remaining == 0 {
		b.after()
	}
}

const (
	// storeRetryMin and storeSpread give the time after which callers are asked to come back: the
	// store's usual outages take some seconds, and callers must not come all at once.
	storeRetryMin    = 900 * time.Millisecond
	storeRetryJitter = 800 * time.Millisecond
)

// storeRefusal returns why nothing can be accepted now, or nil: the store does not answer.
func (c *Scheduler) storeRefusal() *RefusedError {
	if !c.journal.limiter.Stalled(c.now) {
		return nil
	}
	return &RefusedError{
		Reason: "the store does not answer", Unavailable: true,
		RetryAfter: storeRetryMin + time.Duration(c.random.Int64N(int64(storeRetryJitter))),
	}
}

func definitionKey(cell, id string) string { return "jobs/" + cell + "/" + id }
func progressKey(cell, id string) string   { return "progress/" + cell + "/" + id }

// markDirty marks a job as changed. after runs once the change is written; it may be nil.
func (c *Scheduler) markDirty(j *job, after func()) {
	if after != nil {
		j.afterWrite = append(j.afterWrite, after)
	}
	if !j.dirty {
		j.dirty = true
		c.journal.dirty = append(c.journal.dirty, j)
	}
}

// afterWrites runs a function once everything that has changed so far is written.
func (c *Scheduler) afterWrites(after func()) {
	b := &barrier{after: after}
	for _, j := range c.journal.dirty {
		j.barriers = append(j.barriers, b)
		b.remaining++
	}
	for _, f := range c.journal.batches {
		if f != nil {
			f.barriers = append(f.barriers, b)
			b.remaining++
		}
	}
	if b.remaining == 0 {
		after()
	}
}

// commit sends what has to be written, as far as lanes are free.
func (c *Scheduler) commit() {
	for !c.ownershipLost && !c.journal.exclusive {
		lane, free := c.journal.limiter.FreeSlot(c.now)
		if !free {
			return
		}
		b, transaction := c.buildBatch()
		if b == nil {
			return
		}
		c.journal.batches[lane] = b
		c.journal.limiter.Acquire(lane, c.now)
		c.group.Go(func() { c.sendTransaction(lane, b, transaction) })
	}
}

// buildBatch makes a transaction of the jobs that have changed and are not in flight.
func (c *Scheduler) buildBatch() (*batch, connector.Transaction) {
	transaction := connector.Transaction{
		Preconditions: []connector.Precondition{{Key: c.claim.OwnerKey, Version: c.claim.OwnerVersion}},
	}
	b := &batch{}
	size := 0
	remaining := c.journal.dirty[:0]
	for _, j := range c.journal.dirty {
		if j.inFlight || rowCount(&transaction) >= maxTransactionRows || size >= maxTransactionBytes {
			remaining = append(remaining, j)
			continue
		}
		size += c.appendRows(&transaction, j)
		b.after, b.barriers = append(b.after, j.afterWrite...), append(b.barriers, j.barriers...)
		b.jobs = append(b.jobs, j)
		j.afterWrite, j.barriers, j.dirty, j.inFlight = nil, nil, false, true
	}
	clear(c.journal.dirty[len(remaining):])
	c.journal.dirty = remaining
	// While the store is slow, jobs are forgotten only when there is nothing else to write.
	removalAllowed := !c.journal.limiter.Slow() || len(b.jobs) == 0
	if c.journal.limiter.Idle() && removalAllowed {
		for len(c.journal.removals) > 0 && rowCount(&transaction) < maxTransactionRows {
			transaction.Deletes = append(transaction.Deletes, progressKey(c.claim.Cell, c.journal.removals[0]))
			c.journal.removals = c.journal.removals[1:]
			c.journal.exclusive = true
		}
	}
	if rowCount(&transaction) == 0 {
		return nil, transaction
	}
	return b, transaction
}

func rowCount(transaction *connector.Transaction) int {
	return len(transaction.Puts) + len(transaction.Deletes)
}

func runAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// appendRows adds the rows of a job and returns their size.
func (c *Scheduler) appendRows(transaction *connector.Transaction, j *job) int {
	text, err := j.progress.Encode()
	if err != nil {
		c.Log.Error("job not written", "job", j.id, "error", err)
		return 0
	}
	size := len(text)
	transaction.Puts = append(transaction.Puts, connector.Put{Key: progressKey(c.claim.Cell, j.id), Value: text})
	if j.definitionUnwritten {
		j.definitionUnwritten = false
		definition, err := encodeDefinition(j.definition)
		if err != nil {
			c.Log.Error("job not written", "job", j.id, "error", err)
			return size
		}
		size += len(definition)
		transaction.Puts = append(transaction.Puts, connector.Put{Key: definitionKey(c.claim.Cell, j.id), Value: definition})
	} else if j.progress.State.Final() && !j.definitionDeleted && j.placementCount() == 0 {
		j.definitionDeleted = true
		transaction.Deletes = append(transaction.Deletes, definitionKey(c.claim.Cell, j.id))
	}
	return size
}

func (c *Scheduler) sendTransaction(lane int, b *batch, transaction connector.Transaction) {
	sentAt := c.Clock.Now()
	outcome, err := c.Committers[lane].Commit(c.ctx, transaction)
	c.Metrics.TransactionCommitted(c.Clock.Since(sentAt), rowCount(&transaction))
	c.post(func() {
		c.journal.batches[lane], c.journal.exclusive = nil, false
		c.journal.limiter.Release(lane, c.now)
		for _, j := range b.jobs {
			j.inFlight = false
		}
		switch {
		case err != nil:
			// The writer tries until the scheduler ends, so only that can have been the reason.
			c.Log.Warn("transaction given up", "cell", c.claim.Cell, "error", err)
		case !outcome.Committed:
			c.loseOwnership("the owner's row has changed")
		default:
			runAll(b.after)
			for _, b := range b.barriers {
				b.writeDone()
			}
		}
	})
}

// recover reads the rows of the cell, until the store gives them.
func (c *Scheduler) recover() {
	delay := firstRetry
	for c.ctx.Err() == nil {
		definitions, err := c.SnapshotReader.Snapshot(c.ctx, "jobs", c.claim.Cell)
		var progress connector.Changes
		if err == nil {
			progress, err = c.SnapshotReader.Snapshot(c.ctx, "progress", c.claim.Cell)
		}
		if err == nil {
			c.post(func() { c.restoreRows(definitions.Rows, progress.Rows) })
			return
		}
		c.Log.Warn("rows not read", "cell", c.claim.Cell, "error", err)
		select {
		case <-c.ctx.Done():
		case <-c.Clock.After(delay):
		}
		delay = min(2*delay, lastRetry)
	}
}

// restoreRows takes over what the rows say. Runs that may be on workers stay in question until their
// worker has listed them under the new fence.
func (c *Scheduler) restoreRows(definitions, progress []connector.Row) {
	parsed := make(map[string]*steptracker.Job, len(definitions))
	for _, row := range definitions {
		definition, err := decodeDefinition(row.Value)
		if err != nil {
			c.Log.Error("row can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		parsed[definition.ID] = definition
	}
	for _, row := range progress {
		id := row.Key[len(progressKey(c.claim.Cell, "")):]
		p, err := steptracker.Decode(row.Value)
		if err != nil {
			c.Log.Error("row can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		j := &job{id: id, definition: parsed[id], progress: p, stored: true, visibleState: visibleStateOf(p)}
		if j.definition == nil && !p.State.Final() {
			c.Log.Error("definition missing", "job", id)
			continue
		}
		j.definitionDeleted = j.definition == nil
		c.jobs[id] = j
		if !p.State.Final() {
			c.openJobs++
		}
	}
	c.recovered = true
	for _, j := range c.jobs {
		c.restorePlacements(j)
		c.refresh(j)
	}
	c.Log.Info("cell taken over", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "jobs", len(c.jobs), "open", c.openJobs,
		"took-ms", c.now.Sub(c.claimedAt).Milliseconds())
	waiting := c.deferredCalls
	c.deferredCalls = nil
	runAll(waiting)
	for _, w := range c.workers {
		c.hold(w)
	}
}

// restorePlacements makes places of the runs that a job's record names.
func (c *Scheduler) restorePlacements(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.ForEachTask(j.id, func(key steptracker.TaskKey, task *steptracker.Task) {
		if !task.Assigned() {
			return
		}
		c.addPlacement(j, key, task, runUnconfirmed)
	})
}
