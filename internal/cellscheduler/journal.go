package cellscheduler

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/writeforecaster"
)

// These limits keep a transaction within what the store accepts: a hundred entries, of which the owner's
// row and the writer's row, as preconditions, and the put of the writer's row are three, and the last job
// may add two.
const (
	maxTransactionRows  = 95
	maxTransactionBytes = 600_000
)

// journal collects the jobs that have to be written. Usually one transaction is in flight, and
// changes made meanwhile are combined into the next one (group commit). While the store is slow,
// several are in flight, each through its own committer, which retries it until the result is
// known. A job is in at most one of them, so that its rows are written in the order of its
// changes.
type journal struct {
	dirty []*job
	// removals are the IDs of final jobs whose retention time is over. No other transaction is in
	// flight while they are being removed, because a job may be submitted again under the same
	// ID.
	removals []string
	limiter  *inflightlimiter.Limiter
	// forecaster forecasts when what is queued will be written.
	forecaster *writeforecaster.Forecaster
	// batches are the batches in flight by committer index, nil where there is none.
	batches []*batch
	// exclusive is set while rows are being removed.
	exclusive bool
}

// cancelRemoval cancels the removal of a job's row because a job is submitted again under the
// same ID. It reports whether there is such a row.
func (j *journal) cancelRemoval(id string) bool {
	at := slices.Index(j.removals, id)
	if at < 0 {
		return false
	}
	j.removals = slices.Delete(j.removals, at, at+1)
	return true
}

// batch is the set of jobs written by one transaction.
type batch struct {
	jobs     []*job
	after    []func()
	barriers []*barrier
	// sentAt is when the transaction was sent, classes the number of its jobs by write class.
	sentAt  time.Time
	classes [writeUpdate + 1]int
}

// barrier calls a function once a number of jobs and transactions have been written.
type barrier struct {
	after     func()
	remaining int
}

func (b *barrier) writeDone() {
	if b.remaining--; b.remaining == 0 {
		b.after()
	}
}

func definitionKey(cell, id string) string { return "jobs/" + cell + "/" + id }
func progressKey(cell, id string) string   { return "progress/" + cell + "/" + id }

// markDirty marks a job as changed. after is called once the change is written; it may be nil.
func (c *Scheduler) markDirty(j *job, after func()) {
	if after != nil {
		j.afterWrite = append(j.afterWrite, after)
	}
	if !j.dirty {
		j.dirty, j.changedAt = true, c.now
		c.journal.dirty = append(c.journal.dirty, j)
	}
}

// afterWrites calls a function once all changes so far are written.
func (c *Scheduler) afterWrites(after func()) {
	b := &barrier{after: after}
	for _, j := range c.journal.dirty {
		j.barriers = append(j.barriers, b)
		b.remaining++
	}
	for _, sent := range c.journal.batches {
		if sent != nil {
			sent.barriers = append(sent.barriers, b)
			b.remaining++
		}
	}
	if b.remaining == 0 {
		after()
	}
}

// commit sends transactions with the collected changes while committers are free.
func (c *Scheduler) commit() {
	for !c.ownershipLost && !c.journal.exclusive {
		slot, free := c.journal.limiter.FreeSlot(c.now)
		if !free {
			return
		}
		c.refuseUnwritten()
		b, transaction := c.buildBatch()
		if b == nil {
			return
		}
		c.journal.batches[slot] = b
		b.sentAt = c.now
		c.journal.limiter.Acquire(slot, c.now)
		c.journal.forecaster.Sent(slot, c.now)
		c.group.Go(func() { c.sendTransaction(slot, b, transaction) })
	}
}

// buildBatch builds a transaction from the changed jobs that are not in flight.
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
		b.jobs, b.classes[j.writeClass] = append(b.jobs, j), b.classes[j.writeClass]+1
		j.afterWrite, j.barriers, j.dirty, j.inFlight = nil, nil, false, true
	}
	clear(c.journal.dirty[len(remaining):])
	c.journal.dirty = remaining
	// While the store is slow, jobs are removed only when there is nothing else to write.
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

// appendRows adds a job's rows to a transaction and returns their size in bytes.
func (c *Scheduler) appendRows(transaction *connector.Transaction, j *job) int {
	size := 0
	over := j.progress.State.Final() && j.placementCount() == 0
	switch {
	case over && j.definitionUnwritten:
		// The job was cancelled before it was written.
		j.definitionUnwritten, j.definitionDeleted = false, true
	case j.definitionUnwritten:
		size = c.appendDefinition(transaction, j)
		if size == 0 {
			return 0
		}
		if !j.hasProgress() && !j.replacesRow {
			// While the store is slow, rows are what limits the jobs that can be accepted.
			return size
		}
	case over && !j.definitionDeleted && !c.deletionDeferred(j):
		j.definitionDeleted = true
		transaction.Deletes = append(transaction.Deletes, definitionKey(c.claim.Cell, j.id))
	case j.definitionOutdated && !over:
		size = c.appendDefinition(transaction, j)
	}
	text, err := j.progress.Encode()
	if err != nil {
		c.Log.Error("job could not be encoded", "job", j.id, "error", err)
		return size
	}
	transaction.Puts = append(transaction.Puts, connector.Put{Key: progressKey(c.claim.Cell, j.id), Value: text})
	return size + len(text)
}

// appendDefinition adds a job's definition to a transaction and returns its size in bytes, 0 if it can't be encoded.
func (c *Scheduler) appendDefinition(transaction *connector.Transaction, j *job) int {
	j.definitionUnwritten, j.definitionOutdated = false, false
	definition, err := j.definition.Encode(j.progress.AcceptedAt)
	if err != nil {
		c.Log.Error("job could not be encoded", "job", j.id, "error", err)
		return 0
	}
	transaction.Puts = append(transaction.Puts, connector.Put{Key: definitionKey(c.claim.Cell, j.id), Value: definition})
	return len(definition)
}

// hasProgress reports whether anything is known about a job beyond its definition and the time of its
// acceptance.
func (j *job) hasProgress() bool {
	return j.placementCount() > 0 || j.progress.Started || j.progress.State != ""
}

func (c *Scheduler) sendTransaction(slot int, sent *batch, transaction connector.Transaction) {
	sentAt := c.Clock.Now()
	outcome, err := c.Committers[slot].Commit(c.ctx, transaction)
	c.Metrics.TransactionCommitted(c.Clock.Since(sentAt), rowCount(&transaction))
	c.post(func() {
		c.journal.batches[slot], c.journal.exclusive = nil, false
		c.journal.limiter.Release(slot, c.now)
		c.journal.forecaster.Done(slot, c.now)
		c.logSlowTransaction(sent, rowCount(&transaction))
		for _, j := range sent.jobs {
			j.inFlight = false
		}
		switch {
		case err != nil:
			// The committer retries until the scheduler stops, so the scheduler has been stopped.
			c.Log.Warn("transaction abandoned", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "jobs", len(sent.jobs), "unwritten-ends", c.unwrittenEnds(), "error", err)
		case !outcome.Committed:
			c.loseOwnership("the owner's row has changed")
		default:
			runAll(sent.after)
			for _, b := range sent.barriers {
				b.writeDone()
			}
		}
	})
}

// storedRows are the rows from which a new owner restores the state.
type storedRows struct{ definitions, progress []connector.Row }

// recover reads the cell's rows: the definitions and the progress of all jobs and, for submissions, the entries
// of paths. The reads need not see the same moment: no earlier owner can write since this one has claimed the
// cell.
func (c *Scheduler) recover() {
	c.group.Go(func() {
		entries := c.readPart(pathsTable, pathsPart)
		c.post(func() { c.restorePaths(entries) })
	})
	var rows storedRows
	var group sync.WaitGroup
	group.Go(func() { rows.definitions = c.readPart("jobs", c.claim.Cell) })
	rows.progress = c.readPart("progress", c.claim.Cell)
	group.Wait()
	c.post(func() { c.restoreRows(rows) })
}

// OutdatedRowsError reports that rows were read as of a version before that of the claim. Ends of runs that an earlier
// owner has written and acknowledged may be missing from them.
type OutdatedRowsError struct {
	Table string
	// Version is the version of the rows, Claim that of the owner's row.
	Version, Claim int64
}

func (e *OutdatedRowsError) Error() string {
	return fmt.Sprintf("rows of table %s are as of version %d, before the claim at version %d", e.Table, e.Version, e.Claim)
}

// readPart reads a part of a table and retries until it succeeds or the scheduler stops. Each part is retried
// by itself: a store that refuses most calls would hardly ever serve several at once.
func (c *Scheduler) readPart(table, part string) []connector.Row {
	delay := initialRetryDelay
	for c.ctx.Err() == nil {
		changes, err := c.SnapshotReader.Snapshot(c.ctx, table, part)
		if err == nil && changes.Version < c.claim.OwnerVersion {
			err = &OutdatedRowsError{Table: table, Version: changes.Version, Claim: c.claim.OwnerVersion}
		}
		if err == nil {
			return changes.Rows
		}
		c.Log.Warn("rows could not be read; retrying", "cell", c.claim.Cell, "table", table, "error", err)
		select {
		case <-c.ctx.Done():
		case <-c.Clock.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// restoreRows restores the state from the stored rows. Assigned runs are unconfirmed until their
// worker has listed its runs under the new fencing token.
func (c *Scheduler) restoreRows(rows storedRows) {
	accepted := make(map[string]*job, len(rows.definitions))
	for _, row := range rows.definitions {
		definition, acceptedAt, err := steptracker.DecodeJob(row.Value)
		if err != nil {
			c.Log.Error("row could not be decoded", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		// Replaced below if the job has progress.
		p := steptracker.NewProgress(definition, acceptedAt)
		accepted[definition.ID] = &job{id: definition.ID, definition: definition, progress: p, stored: true, visibleState: visibleStateOf(p)}
	}
	for _, row := range rows.progress {
		id := row.Key[len(progressKey(c.claim.Cell, "")):]
		p, err := steptracker.Decode(row.Value)
		if err != nil {
			c.Log.Error("row could not be decoded", "row", row.Key, "version", row.Version, "error", err)
			// What the row says is not known, so the job must not begin anew.
			c.noteUnreadable(id, accepted[id])
			delete(accepted, id)
			c.unreadable[id] = true
			continue
		}
		j := accepted[id]
		if j == nil {
			j = &job{id: id, stored: true, definitionDeleted: true}
		}
		j.progress, j.visibleState = p, visibleStateOf(p)
		if j.definition == nil && !p.State.Final() {
			c.Log.Error("job definition missing", "job", id)
			c.noteMissingDefinition(id, p)
			continue
		}
		accepted[id] = j
	}
	for id, j := range accepted {
		if j.progress.AcceptedAt.IsZero() {
			// Versions that did not store the time wrote the progress with each definition, so the job
			// is over and its progress has been removed.
			c.Log.Warn("definition of a job that is over", "job", id)
			continue
		}
		c.jobs[id] = j
		addCount(c.paths.jobs, j.progress.Path, 1)
		c.countQueued(j, 1)
		if !j.progress.State.Final() {
			c.openJobs++
		}
	}
	c.recovered = true
	c.restoreShares()
	unconfirmed := 0
	for _, j := range c.jobs {
		c.restorePlacements(j)
		unconfirmed += len(j.placements)
		c.updateSteps(j)
	}
	c.adoptPolicies()
	c.restoreQuotas()
	c.Log.Info("cell taken over", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "jobs", len(c.jobs), "open", c.openJobs,
		"unconfirmed", unconfirmed, "took-ms", c.now.Sub(c.claimedAt).Milliseconds())
	deferred := c.deferredCalls
	c.deferredCalls = nil
	runAll(deferred)
	for _, w := range c.workers {
		c.syncWorker(w)
	}
}

// restorePlacements creates placements for the runs that a job's record assigns to workers.
func (c *Scheduler) restorePlacements(j *job) {
	if j.definition == nil {
		c.noteMissingDefinition(j.id, j.progress)
		return
	}
	j.progress.ForEachTask(j.id, func(key steptracker.TaskKey, task *steptracker.Task) {
		if !task.Assigned() {
			return
		}
		c.addPlacement(j, key, task, runUnconfirmed)
	})
}
