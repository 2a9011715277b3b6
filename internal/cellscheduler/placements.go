package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// placementState is the progress of a run on its worker.
type placementState int

const (
	// runUnsent: the assignment to the worker is being written.
	runUnsent placementState = iota
	// runSending: the start order has been sent and is not answered yet.
	runSending
	// runStarted: the worker has confirmed the start.
	runStarted
	// runInDoubt: the start order was not answered. The worker may have carried it out or may
	// still do so.
	runInDoubt
	// runUnconfirmed: the run was assigned by an earlier owner or before the worker restarted,
	// and the worker has not listed it since.
	runUnconfirmed
)

// placement is a run that holds resources on a worker until the run is known to be over.
type placement struct {
	job    *job
	key    steptracker.TaskKey
	run    int
	step   *steptracker.Step
	worker *worker
	state  placementState
	// placedAt is when the run was assigned, orderedAt when its start was sent, startedAt when the worker
	// confirmed it, sentAt when the last order was sent.
	placedAt, orderedAt, startedAt, sentAt time.Time
	// stopConfirmedAt is when the worker confirmed a stop, after which the run cannot start any
	// more.
	stopConfirmedAt time.Time
	// stopReason is why the run is being stopped, empty if it is not.
	stopReason string
	stopSent   bool
	// onUnlisted is set if the start was carried out by an incarnation of the worker that has not been listed.
	onUnlisted bool
	// copyInDoubt is set if the start was confirmed and another copy of the order was not answered.
	copyInDoubt bool
	// startClock is the worker's clock when the run was first known to have started.
	startClock workerdriver.Clock
	// crashRecorded is set once the end of the worker's incarnation has been recorded with the task.
	crashRecorded bool
	// isolated is set while no run of another job may start on the worker. startDeferred is set while
	// the start order waits until the worker has outlived the starts of the runs beside it.
	isolated, startDeferred bool
	// assignedAt is when the assignment was written. awaitsToken is set while the start order waits for a new
	// placement token.
	assignedAt  time.Time
	awaitsToken bool
	// survivalRequested is set once a listing has been requested to learn whether the worker has outlived
	// the start of the isolated run.
	survivalRequested bool
	// metric is the latest value that the worker has listed for the run, for a serving task its
	// tail latency in milliseconds. cpuPercent is the CPU share that the run may use.
	metric, cpuPercent int
	// team is the team to whose quota the run is charged, empty if there is none.
	team string
	// presenceMark is the reading of the worker's presence when the run was assigned. lookedAt is when the
	// metric was last recorded.
	presenceMark interferencedetector.Mark
	lookedAt     time.Time
}

// addPlacement reserves resources for a run on the worker that its record names. If that worker
// is not known yet, an entry is created for it, to be completed when the worker joins.
func (c *Scheduler) addPlacement(j *job, key steptracker.TaskKey, task *steptracker.Task, state placementState) *placement {
	p := &placement{job: j, key: key, run: task.Run, step: &j.definition.Steps[key.Step], state: state, placedAt: c.now, sentAt: c.now, cpuPercent: 100}
	if j.placements == nil {
		j.placements = make(map[steptracker.TaskKey]*placement)
	}
	j.placements[key] = p
	w := c.workers[task.AssignedTo.Worker]
	if w == nil {
		w = c.newWorker(workerdriver.Worker{Incarnation: task.AssignedTo})
	}
	p.worker = w
	w.placements[key] = p
	c.beginPresence(p)
	w.used = w.used.Plus(p.step.Reservation())
	c.reserveCandidate(w, p.step)
	c.chargeQuota(p)
	return p
}

// reserveCandidate subtracts the resources of a task from the candidate's free resources in this
// round.
func (c *Scheduler) reserveCandidate(w *worker, step *steptracker.Step) {
	if w.candidateIndex < 0 || w.candidateIndex >= len(c.candidates) {
		return
	}
	candidate := &c.candidates[w.candidateIndex]
	if needs := step.Reservation(); needs.Fits(candidate.Free) || needs.Fits(candidate.Available()) {
		candidate.Take(needs)
	}
}

// release returns the resources of a run that is over.
func (c *Scheduler) release(p *placement) {
	if p.job.placements[p.key] != p {
		return
	}
	delete(p.job.placements, p.key)
	delete(p.worker.placements, p.key)
	c.keepLateStart(p)
	c.endIsolation(p)
	c.releaseQuota(p)
	c.endPresence(p)
	p.worker.used = p.worker.used.Minus(p.step.Reservation())
	c.roundNeeded = true
}

// endRun handles the end of a run. The change is written before callers or the worker learn of
// it.
func (c *Scheduler) endRun(p *placement, end conclusion, checkpoint string) {
	j, reason := p.job, end.reason
	if j.placements[p.key] != p {
		return
	}
	c.logEnd(p, &end)
	c.Metrics.RunEnded(reason)
	c.recordRunEnd(p, reason)
	c.release(p)
	if j.progress.State.Final() {
		if j.placementCount() == 0 {
			j.progress.Open = nil
			c.markDirty(j, func() { j.definition = nil })
		}
		return
	}
	if checkpoint != "" {
		c.recordCheckpoint(p, checkpoint)
	}
	if !j.progress.RecordEnd(j.definition, p.key, p.run, reason) {
		return
	}
	c.markDirty(j, nil)
	if p.step.Gang {
		c.endGangRun(p, reason)
	}
	c.updateFinalState(j)
}

func (p *placement) elapsed(now time.Time) time.Duration {
	if p.startedAt.IsZero() {
		return 0
	}
	return now.Sub(p.startedAt)
}

// sinceOrder returns the time since the start order was first sent, 0 if it was not sent by this owner.
func (p *placement) sinceOrder(now time.Time) time.Duration {
	if p.orderedAt.IsZero() {
		return 0
	}
	return now.Sub(p.orderedAt)
}

// endGangRun ends the run of a gang when one member has ended. If that member is done, the other
// members are done too; otherwise they are stopped, because they would only wait for the missing
// member.
func (c *Scheduler) endGangRun(p *placement, reason steptracker.EndReason) {
	for _, other := range p.job.placements {
		if other.key.StepKey != p.key.StepKey || other.run != p.run {
			continue
		}
		if reason == steptracker.Done {
			// The worker lists this member's own end soon; until then its resources remain
			// reserved.
			other.stopReason = "gang is done"
			continue
		}
		c.stopRun(other, "gang ended "+string(reason))
	}
}

// recordCheckpoint stores a run's checkpoint. The members of a gang share one checkpoint.
func (c *Scheduler) recordCheckpoint(p *placement, checkpoint string) {
	key := p.key
	if p.step.Gang {
		key.Index = 0
	}
	if task := p.job.progress.Task(key); task != nil {
		task.Checkpoint = checkpoint
	}
}

// runListed handles a run that its worker lists as running.
func (c *Scheduler) runListed(p *placement, running *workerdriver.RunningTask) {
	if p.state != runStarted {
		if p.state != runSending {
			c.Log.Info("run found", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker)
		}
		c.markStarted(p, p.worker.latestClock)
		if p.worker.info.StartMillis != 0 {
			if task := p.job.progress.Task(p.key); task != nil && task.Run == p.run && task.AssignedTo.StartMillis != p.worker.info.StartMillis {
				task.AssignedTo.StartMillis = p.worker.info.StartMillis
				c.markDirty(p.job, nil)
			}
		}
	}
	p.metric = running.Metric
	c.recordServingLook(p)
	if running.Checkpoint != "" && running.Checkpoint != "0" && !p.job.progress.State.Final() {
		c.recordCheckpoint(p, running.Checkpoint)
	}
	if p.job.progress.State.Final() {
		c.stopRun(p, "job is "+string(p.job.progress.State))
	}
}

// markStarted records that the worker has confirmed the start, at the latest at a reading of its clock.
func (c *Scheduler) markStarted(p *placement, clock workerdriver.Clock) {
	p.state, p.startedAt, p.startClock = runStarted, c.now, clock
	p.job.progress.Started = true
	if p.job.visibleState == steptracker.Queued {
		c.setVisibleState(p.job, steptracker.Running)
	}
}

// sendStart sends the start order of a run whose assignment has been written.
func (c *Scheduler) sendStart(p *placement) {
	if c.ownershipLost || p.state != runUnsent || p.job.placements[p.key] != p {
		return
	}
	if p.stopReason != "" || p.job.progress.State.Final() {
		// The start order was never sent, so the run is over.
		c.endRun(p, neverSent, "")
		return
	}
	w := p.worker
	token, valid := c.placementToken(p.key.StepKey, w)
	// A member of a gang waits for the tokens of the others.
	valid = valid && (!p.step.Gang || c.hasGangTokens(p))
	if !valid && c.renewForStart(p) {
		return
	}
	if w.clockAt.IsZero() || !w.synced || !valid {
		c.endRun(p, neverSent, "")
		return
	}
	if !w.used.Fits(w.info.Capacity) {
		// The capacity has shrunk while the assignment was being written.
		c.Log.Info("start dropped, the worker's capacity has shrunk", "task", p.key.String(), "run", p.run, "worker", w.info.Worker)
		c.endRun(p, neverSent, "")
		return
	}
	if c.exceedsQuota(p) {
		c.endRun(p, neverSent, "")
		return
	}
	if c.deferIsolatedStart(p) {
		return
	}
	order := &workerdriver.Start{
		Task:           p.key,
		Run:            p.run,
		Payload:        p.job.definition.Payload,
		Checkpoint:     c.checkpoint(p),
		PlacementToken: token,
		LeaseExpiry:    c.extendLease(w),
		FencingToken:   w.fencingToken,
	}
	p.state, p.sentAt, p.orderedAt, w.orderedAt = runSending, c.now, c.now, c.now
	info := w.info
	sent := w.incarnation.StartSent(c.now)
	c.group.Go(func() {
		header, err := c.WorkerClient.Start(c.ctx, &info, order)
		c.post(func() {
			if order.FencingToken == w.fencingToken {
				p.onUnlisted = !c.verifyIncarnation(w, sent, header, err)
			}
			c.startAnswered(p, &info, order.FencingToken, header, err)
		})
	})
}

func (c *Scheduler) checkpoint(p *placement) string {
	if !p.step.Checkpoints {
		return ""
	}
	key := p.key
	if p.step.Gang {
		key.Index = 0
	}
	if task := p.job.progress.Task(key); task != nil {
		return task.Checkpoint
	}
	return ""
}

// startAnswered handles the result of a start order that was sent to an incarnation.
func (c *Scheduler) startAnswered(p *placement, sentTo *workerdriver.Worker, token int64, header workerdriver.ReplyHeader, err error) {
	if p.job.placements[p.key] != p {
		return
	}
	w := p.worker
	c.Metrics.StartAnswered(c.now.Sub(p.sentAt), err)
	if err == nil {
		if token == w.fencingToken {
			// The clock of another incarnation says nothing about this one's.
			c.noteClock(w, header, p.orderedAt)
			c.updateClock(w, header)
		}
		p.copyInDoubt = header.Unanswered
		if p.state == runSending {
			c.markStarted(p, header.Clock)
			c.startLatency = updateLatency(c.startLatency, c.now.Sub(p.sentAt))
			c.Log.Info("started", p.startFields(sentTo, token, header, "took-ms", c.now.Sub(p.sentAt).Milliseconds())...)
		}
		if p.stopReason != "" {
			c.sendStop(p)
		}
		return
	}
	var refused *workerdriver.RefusedError
	if !errors.As(err, &refused) || refused.Reason == workerdriver.StaleFencingToken && token != w.fencingToken {
		// A new incarnation that refuses the token of the one before may have carried out another copy.
		switch {
		case p.state == runSending && isNeverSent(err):
			c.markUnreachable(w)
			c.Log.Info("start not sent", p.startFields(sentTo, token, header, "error", err)...)
			c.endRun(p, neverSent, "")
		case p.state == runSending:
			p.state = runInDoubt
			p.sentAt = c.now
			c.Log.Warn("start in doubt", p.startFields(sentTo, token, header, "waited-ms", c.now.Sub(p.orderedAt).Milliseconds(), "error", err)...)
			c.requestListing(w)
		}
		return
	}
	c.Log.Info("start refused", p.startFields(sentTo, token, header, "reason", refused.Reason, "status", refused.Status, "state", p.state.String())...)
	c.startRefused(p, refused.Reason)
}

func (c *Scheduler) startRefused(p *placement, reason workerdriver.Reason) {
	w := p.worker
	switch reason {
	case workerdriver.StaleFencingToken:
		c.loseOwnership("worker " + w.info.Worker + " has seen a higher fencing token")
		return
	case workerdriver.NoPlacementToken:
		c.dropToken(p.key.StepKey, w)
		p.job.needsToken = true
	case workerdriver.Unhealthy, workerdriver.InsufficientCapacity, workerdriver.Malformed:
		w.avoidUntil = c.now.Add(unhealthyBackoff)
	case workerdriver.WrongIncarnation:
		w.synced = false
	case workerdriver.StaleRun, workerdriver.OrderExpired:
	}
	c.endRun(p, conclusion{reason: steptracker.NeverStarted, by: byRefusedStart}, "")
}

// requestListing requests a worker's listing at once, in addition to the sync that may be waiting
// for a run to end. It acknowledges nothing, as it is requested when the worker may have restarted.
func (c *Scheduler) requestListing(w *worker) {
	if !c.recovered || c.ownershipLost {
		return
	}
	info, token := w.info, w.fencingToken
	sentAt := c.now
	c.group.Go(func() {
		listing, err := c.WorkerClient.Sync(c.ctx, &info, workerdriver.Sync{FencingToken: token})
		if err != nil {
			return
		}
		c.post(func() {
			switch {
			case w.removed:
			case listing.StartMillis == 0 || listing.StartMillis == w.info.StartMillis:
				w.incarnation.Listed(sentAt, listing.Clock, c.now)
				c.observeClock(w, listing.Clock)
				c.reconcileRunning(w, listing, token, sentAt)
			case listing.StartMillis > w.info.StartMillis && w.info.StartMillis != 0:
				c.workerRestarted(w, listing.StartMillis)
			}
		})
	})
}

// stopRun stops a run. Its resources are released once the worker lists its end.
func (c *Scheduler) stopRun(p *placement, reason string) {
	if p.stopReason == "" {
		p.stopReason = reason
		c.Log.Info("stopping", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "reason", reason)
	}
	switch p.state {
	case runUnsent:
		// A run that was never sent needs no stop; sendStart ends it once the assignment is
		// written.
	case runSending:
		// The stop is sent after the start is answered, so that it cannot overtake the start.
	case runStarted, runInDoubt, runUnconfirmed:
		c.sendStop(p)
	}
}

func (c *Scheduler) sendStop(p *placement) {
	if p.stopSent || c.ownershipLost {
		return
	}
	p.stopSent = true
	info := p.worker.info
	order := workerdriver.Stop{Task: p.key, Run: p.run, FencingToken: p.worker.fencingToken}
	c.group.Go(func() {
		header, err := c.WorkerClient.Stop(c.ctx, &info, order)
		c.post(func() { c.stopAnswered(p, header, err) })
	})
}

func (c *Scheduler) stopAnswered(p *placement, header workerdriver.ReplyHeader, err error) {
	if p.job.placements[p.key] != p {
		return
	}
	p.sentAt = c.now
	if err == nil && (header.StartMillis == 0 || header.StartMillis == p.worker.info.StartMillis) {
		p.stopConfirmedAt = c.now
		if p.state == runInDoubt {
			c.requestListing(p.worker)
		}
		return
	}
	p.stopSent = false
}

// stopStrayRun stops a run that should not exist: its start was carried out late, or its job is
// over.
func (c *Scheduler) stopStrayRun(w *worker, running *workerdriver.RunningTask, sentAt time.Time) {
	if j := c.jobs[running.Task.Job]; j != nil && j.placements[running.Task] != nil && j.placements[running.Task].worker == w {
		return
	}
	c.Log.Warn("stray run", "task", running.Task.String(), "run", running.Run, "worker", w.info.Worker)
	info := w.info
	order := workerdriver.Stop{Task: running.Task, Run: running.Run, FencingToken: w.fencingToken}
	c.group.Go(func() {
		if _, err := c.WorkerClient.Stop(c.ctx, &info, order); err != nil {
			c.Log.Warn("stray run could not be stopped", "task", order.Task.String(), "run", order.Run, "error", err)
		}
	})
}

const (
	// inDoubtTimeout is how long an unanswered start may take to appear in the worker's listing
	// before a stop order is sent, after which the run cannot start any more.
	inDoubtTimeout = 250 * time.Millisecond
	// stopRetryInterval is how long after an ineffective stop order the next one is sent.
	stopRetryInterval = 500 * time.Millisecond
)

// checkPlacement handles the expired timeouts of a run.
func (c *Scheduler) checkPlacement(p *placement) {
	waited := c.now.Sub(p.sentAt)
	switch {
	case p.state == runInDoubt && p.stopReason == "" && waited > inDoubtTimeout:
		c.stopRun(p, "start not answered")
	case p.stopReason != "" && !p.stopSent && p.state != runUnsent && p.state != runSending && waited > stopRetryInterval && p.stopReason != "gang is done":
		c.sendStop(p)
	case p.state == runInDoubt && !p.stopConfirmedAt.IsZero() && waited > stopRetryInterval:
		p.sentAt = c.now
		c.requestListing(p.worker)
	case p.startDeferred:
		c.sendStart(p)
	case p.awaitsToken:
		c.resumeStart(p)
	case p.isolated:
		c.checkIsolatedRun(p)
	}
}
