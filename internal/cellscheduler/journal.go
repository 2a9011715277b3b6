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
	mostRows  = 80
	mostBytes = 600_000
)

// journal collects the jobs that have to be written. Usually one transaction is in flight, and all that
// changes meanwhile goes into the next. While the store is slow, more of them are: each goes through a
// lane, which resolves its own lost answers. A job is in one of them at most, so that its rows are
// written in the order of its changes.
type journal struct {
	dirty []*job
	// drops are final jobs that nobody may ask for any more. While they are being removed nothing else
	// is in flight: a job may be handed in again under the same ID.
	drops   []string
	limiter *inflightlimiter.Limiter
	// flights are what is in flight, by lane, nil where nothing is.
	flights   []*flight
	exclusive bool
}

// keep takes back that the row of a forgotten job is to be removed: a job comes again under its ID.
func (j *journal) keep(id string) {
	if at := slices.Index(j.drops, id); at >= 0 {
		j.drops = slices.Delete(j.drops, at, at+1)
	}
}

// flight is a transaction under way.
type flight struct {
	jobs     []*job
	after    []func()
	barriers []*barrier
}

// barrier runs a function once so many jobs and transactions have been written.
type barrier struct {
	after func()
	waits int
}

func (b *barrier) pass() {
	if b.waits--; b.waits == 0 {
		b.after()
	}
}

const (
	// storeBack and storeSpread give the time after which callers are asked to come back: the
	// store's usual outages take some seconds, and callers must not come all at once.
	storeBack   = 900 * time.Millisecond
	storeSpread = 800 * time.Millisecond
)

// storeRefusal returns why nothing can be accepted now, or nil: the store does not answer.
func (c *Scheduler) storeRefusal() *RefusedError {
	if !c.journal.limiter.Stalled(c.now) {
		return nil
	}
	return &RefusedError{
		Reason: "the store does not answer", Unavailable: true,
		RetryAfter: storeBack + time.Duration(c.random.Int64N(int64(storeSpread))),
	}
}

func definitionKey(cell, id string) string { return "jobs/" + cell + "/" + id }
func progressKey(cell, id string) string   { return "progress/" + cell + "/" + id }

// touch marks a job as changed. after runs once the change is written; it may be nil.
func (c *Scheduler) touch(j *job, after func()) {
	if after != nil {
		j.after = append(j.after, after)
	}
	if !j.dirty {
		j.dirty = true
		c.journal.dirty = append(c.journal.dirty, j)
	}
}

// whenWritten runs a function once everything that has changed so far is written.
func (c *Scheduler) whenWritten(after func()) {
	b := &barrier{after: after}
	for _, j := range c.journal.dirty {
		j.barriers = append(j.barriers, b)
		b.waits++
	}
	for _, f := range c.journal.flights {
		if f != nil {
			f.barriers = append(f.barriers, b)
			b.waits++
		}
	}
	if b.waits == 0 {
		after()
	}
}

// commit sends what has to be written, as far as lanes are free.
func (c *Scheduler) commit() {
	for !c.deposed && !c.journal.exclusive {
		lane, free := c.journal.limiter.FreeSlot(c.now)
		if !free {
			return
		}
		f, transaction := c.fill()
		if f == nil {
			return
		}
		c.journal.flights[lane] = f
		c.journal.limiter.Acquire(lane, c.now)
		c.group.Go(func() { c.sendTransaction(lane, f, transaction) })
	}
}

// fill makes a transaction of the jobs that have changed and are not in flight.
func (c *Scheduler) fill() (*flight, connector.Transaction) {
	transaction := connector.Transaction{
		Preconditions: []connector.Precondition{{Key: c.claim.OwnerKey, Version: c.claim.OwnerVersion}},
	}
	f := &flight{}
	size := 0
	kept := c.journal.dirty[:0]
	for _, j := range c.journal.dirty {
		if j.inFlight || rows(&transaction) >= mostRows || size >= mostBytes {
			kept = append(kept, j)
			continue
		}
		size += c.write(&transaction, j)
		f.after, f.barriers = append(f.after, j.after...), append(f.barriers, j.barriers...)
		f.jobs = append(f.jobs, j)
		j.after, j.barriers, j.dirty, j.inFlight = nil, nil, false, true
	}
	clear(c.journal.dirty[len(kept):])
	c.journal.dirty = kept
	// While the store is slow, jobs are forgotten only when there is nothing else to write.
	patient := !c.journal.limiter.Slow() || len(f.jobs) == 0
	if c.journal.limiter.Idle() && patient {
		for len(c.journal.drops) > 0 && rows(&transaction) < mostRows {
			transaction.Deletes = append(transaction.Deletes, progressKey(c.claim.Cell, c.journal.drops[0]))
			c.journal.drops = c.journal.drops[1:]
			c.journal.exclusive = true
		}
	}
	if rows(&transaction) == 0 {
		return nil, transaction
	}
	return f, transaction
}

func rows(transaction *connector.Transaction) int {
	return len(transaction.Puts) + len(transaction.Deletes)
}

func runAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// write adds the rows of a job and returns their size.
func (c *Scheduler) write(transaction *connector.Transaction, j *job) int {
	text, err := j.progress.Encode()
	if err != nil {
		c.Log.Error("job not written", "job", j.id, "error", err)
		return 0
	}
	size := len(text)
	transaction.Puts = append(transaction.Puts, connector.Put{Key: progressKey(c.claim.Cell, j.id), Value: text})
	if j.fresh {
		j.fresh = false
		definition, err := encodeDefinition(j.definition)
		if err != nil {
			c.Log.Error("job not written", "job", j.id, "error", err)
			return size
		}
		size += len(definition)
		transaction.Puts = append(transaction.Puts, connector.Put{Key: definitionKey(c.claim.Cell, j.id), Value: definition})
	} else if j.progress.State.Final() && !j.forgotten && j.placed() == 0 {
		j.forgotten = true
		transaction.Deletes = append(transaction.Deletes, definitionKey(c.claim.Cell, j.id))
	}
	return size
}

func (c *Scheduler) sendTransaction(lane int, f *flight, transaction connector.Transaction) {
	sentAt := c.Clock.Now()
	outcome, err := c.Committers[lane].Commit(c.ctx, transaction)
	c.Metrics.TransactionCommitted(c.Clock.Since(sentAt), rows(&transaction))
	c.post(func() {
		c.journal.flights[lane], c.journal.exclusive = nil, false
		c.journal.limiter.Release(lane, c.now)
		for _, j := range f.jobs {
			j.inFlight = false
		}
		switch {
		case err != nil:
			// The writer tries until the scheduler ends, so only that can have been the reason.
			c.Log.Warn("transaction given up", "cell", c.claim.Cell, "error", err)
		case !outcome.Committed:
			c.depose("the owner's row has changed")
		default:
			runAll(f.after)
			for _, b := range f.barriers {
				b.pass()
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
			c.post(func() { c.adopt(definitions.Rows, progress.Rows) })
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

// adopt takes over what the rows say. Runs that may be on workers stay in question until their
// worker has listed them under the new fence.
func (c *Scheduler) adopt(definitions, progress []connector.Row) {
	texts := make(map[string]*steptracker.Job, len(definitions))
	for _, row := range definitions {
		definition, err := decodeDefinition(row.Value)
		if err != nil {
			c.Log.Error("row can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		texts[definition.ID] = definition
	}
	for _, row := range progress {
		id := row.Key[len(progressKey(c.claim.Cell, "")):]
		p, err := steptracker.Decode(row.Value)
		if err != nil {
			c.Log.Error("row can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		j := &job{id: id, definition: texts[id], progress: p, stored: true, shown: shownState(p)}
		if j.definition == nil && !p.State.Final() {
			c.Log.Error("definition missing", "job", id)
			continue
		}
		j.forgotten = j.definition == nil
		c.jobs[id] = j
		if !p.State.Final() {
			c.open++
		}
	}
	c.recovered = true
	for _, j := range c.jobs {
		c.adoptPlaces(j)
		c.refresh(j)
	}
	c.Log.Info("cell taken over", "cell", c.claim.Cell, "fence", c.claim.Fence, "jobs", len(c.jobs), "open", c.open,
		"took-ms", c.now.Sub(c.claimedAt).Milliseconds())
	waiting := c.waiting
	c.waiting = nil
	runAll(waiting)
	for _, w := range c.workers {
		c.hold(w)
	}
}

// adoptPlaces makes places of the runs that a job's record names.
func (c *Scheduler) adoptPlaces(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.ForEachTask(j.id, func(key steptracker.TaskKey, task *steptracker.Task) {
		if !task.Assigned() {
			return
		}
		c.place(j, key, task, inQuestion)
	})
}
