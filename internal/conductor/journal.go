package conductor

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/stepper"
)

// The store takes this much in one transaction at most, the rows of the preconditions included.
const (
	mostRows  = 80
	mostBytes = 600_000
)

// journal collects the jobs that have to be written. One transaction is in flight at a time; all
// that changes meanwhile goes into the next.
type journal struct {
	dirty []*job
	// drops are final jobs that nobody may ask for any more.
	drops    []string
	inFlight bool
	sentAt   time.Time
	// usual is how long transactions took lately.
	usual time.Duration
	// barriers run once all that was dirty when they were set has been written.
	barriers []func()
}

const (
	// usualWeight is the inverse of the weight of the latest transaction in what is usual.
	usualWeight = 3
	// stalledAfter is from how long a transaction in flight means that the store is in trouble; it
	// is a quarter of the shortest objective of either user. A store that is slow and answers is
	// given stalledFactor times what is usual.
	stalledAfter  = 400 * time.Millisecond
	stalledFactor = 3
	// storeBack and storeSpread give the time after which callers are asked to come back: the
	// store's usual outages take some seconds, and callers must not come all at once.
	storeBack   = 900 * time.Millisecond
	storeSpread = 800 * time.Millisecond
)

// storeRefusal returns why nothing can be accepted now, or nil: the store does not answer.
func (c *Conductor) storeRefusal() *RefusedError {
	if !c.journal.inFlight || c.now.Sub(c.journal.sentAt) < max(stalledAfter, stalledFactor*c.journal.usual) {
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
func (c *Conductor) touch(j *job, after func()) {
	if after != nil {
		j.after = append(j.after, after)
	}
	if !j.dirty {
		j.dirty = true
		c.journal.dirty = append(c.journal.dirty, j)
	}
}

// whenWritten runs a function once everything that has changed so far is written.
func (c *Conductor) whenWritten(after func()) {
	if len(c.journal.dirty) == 0 && !c.journal.inFlight {
		after()
		return
	}
	c.journal.barriers = append(c.journal.barriers, after)
}

// commit sends the next transaction, if there is something to write and none is in flight.
func (c *Conductor) commit() {
	if c.journal.inFlight || c.deposed || len(c.journal.dirty)+len(c.journal.drops) == 0 && len(c.journal.barriers) == 0 {
		return
	}
	transaction := connector.Transaction{
		Preconditions: []connector.Precondition{{Key: c.claim.Row, Version: c.claim.Version}},
	}
	var after []func()
	size, taken := 0, 0
	for _, j := range c.journal.dirty {
		rows := len(transaction.Puts) + len(transaction.Deletes)
		if rows >= mostRows || size >= mostBytes {
			break
		}
		size += c.write(&transaction, j)
		after = append(after, j.after...)
		j.after, j.dirty = nil, false
		taken++
	}
	c.journal.dirty = c.journal.dirty[taken:]
	for len(c.journal.drops) > 0 && len(transaction.Puts)+len(transaction.Deletes) < mostRows {
		transaction.Deletes = append(transaction.Deletes, progressKey(c.claim.Cell, c.journal.drops[0]))
		c.journal.drops = c.journal.drops[1:]
	}
	if len(c.journal.dirty) == 0 {
		after = append(after, c.journal.barriers...)
		c.journal.barriers = nil
	}
	if len(transaction.Puts)+len(transaction.Deletes) == 0 {
		runAll(after)
		return
	}
	c.journal.inFlight = true
	c.journal.sentAt = c.now
	c.group.Go(func() { c.sendTransaction(transaction, after) })
}

func runAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// write adds the rows of a job and returns their size.
func (c *Conductor) write(transaction *connector.Transaction, j *job) int {
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

func (c *Conductor) sendTransaction(transaction connector.Transaction, after []func()) {
	sentAt := c.Clock.Now()
	outcome, err := c.Journal.Commit(c.ctx, transaction)
	c.Counts.Committed(c.Clock.Since(sentAt), len(transaction.Puts)+len(transaction.Deletes))
	c.post(func() {
		c.journal.inFlight = false
		c.journal.usual += (c.now.Sub(sentAt) - c.journal.usual) / usualWeight
		switch {
		case err != nil:
			// The writer tries until the conductor ends, so only that can have been the reason.
			c.Log.Warn("transaction given up", "cell", c.claim.Cell, "error", err)
		case !outcome.Committed:
			c.depose("the owner's row has changed")
		default:
			runAll(after)
		}
	})
}

// recover reads the rows of the cell, until the store gives them.
func (c *Conductor) recover() {
	delay := firstRetry
	for c.ctx.Err() == nil {
		definitions, err := c.Rows.Snapshot(c.ctx, "jobs", c.claim.Cell)
		var progress connector.Changes
		if err == nil {
			progress, err = c.Rows.Snapshot(c.ctx, "progress", c.claim.Cell)
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
func (c *Conductor) adopt(definitions, progress []connector.Row) {
	texts := make(map[string]*stepper.Job, len(definitions))
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
		p, err := stepper.Decode(row.Value)
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
func (c *Conductor) adoptPlaces(j *job) {
	if j.definition == nil {
		return
	}
	j.progress.Each(j.id, func(key stepper.TaskKey, task *stepper.Task) {
		if !task.Assigned() {
			return
		}
		c.place(j, key, task, inQuestion)
	})
}
