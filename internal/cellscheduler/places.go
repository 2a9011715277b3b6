package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// placementState is how far a run has come.
type placementState int

const (
	// runUnsent: the record that names the worker is being written.
	runUnsent placementState = iota
	// runSending: the start is on its way.
	runSending
	// runStarted: the worker has confirmed it.
	runStarted
	// runInDoubt: the start had no answer. It may have been carried out, or may be later.
	runInDoubt
	// runUnconfirmed: an earlier owner's record names the worker, or the worker has begun a new life.
	runUnconfirmed
)

// placement is a run that holds room on a worker until it is proved to be over.
type placement struct {
	job    *job
	key    steptracker.TaskKey
	run    int
	step   *steptracker.Step
	worker *worker
	state  placementState
	// startedAt is when the worker confirmed the run, sentAt when the last order was sent.
	startedAt, sentAt time.Time
	// stopConfirmedAt is when the worker obeyed a stop: the run can't begin any more.
	stopConfirmedAt time.Time
	// stopReason tells that the run is to end, and why.
	stopReason string
	stopSent   bool
	// gauge is the worker's latest figure of the run, cpuPercent what it may work at.
	gauge, cpuPercent int
}

// addPlacement reserves room for a run on the worker that its record names. A worker that is not known
// yet gets the run as soon as it joins.
func (c *Scheduler) addPlacement(j *job, key steptracker.TaskKey, task *steptracker.Task, state placementState) *placement {
	p := &placement{job: j, key: key, run: task.Run, step: &j.definition.Steps[key.Step], state: state, sentAt: c.now, cpuPercent: 100}
	if j.placements == nil {
		j.placements = make(map[steptracker.TaskKey]*placement)
	}
	j.placements[key] = p
	w := c.workers[task.AssignedTo.Worker]
	if w == nil {
		w = &worker{info: workerdriver.Worker{Incarnation: task.AssignedTo}, site: -1, placements: make(map[steptracker.TaskKey]*placement), leaseEnds: c.inheritedLease()}
		c.workers[task.AssignedTo.Worker] = w
	}
	p.worker = w
	w.placements[key] = p
	w.used = w.used.Plus(p.step.Reservation())
	c.takeCandidate(w, p.step)
	return p
}

// takeCandidate takes the room of a task out of the survey of this round.
func (c *Scheduler) takeCandidate(w *worker, step *steptracker.Step) {
	if w.site < 0 || w.site >= len(c.candidates) {
		return
	}
	candidate := &c.candidates[w.site]
	if needs := step.Reservation(); needs.Fits(candidate.Free) {
		candidate.Free = candidate.Free.Minus(needs)
	}
}

// release gives back the room of a run that is over.
func (c *Scheduler) release(p *placement) {
	if p.job.placements[p.key] != p {
		return
	}
	delete(p.job.placements, p.key)
	delete(p.worker.placements, p.key)
	p.worker.used = p.worker.used.Minus(p.step.Reservation())
	c.roundNeeded = true
}

// endRun takes in that a run is over. The record is written before anybody is told.
func (c *Scheduler) endRun(p *placement, reason steptracker.EndReason, checkpoint string) {
	j := p.job
	if j.placements[p.key] != p {
		return
	}
	c.Log.Info("ended", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "how", reason,
		"ran-ms", p.elapsed(c.now).Milliseconds(), "stopping", p.stopReason)
	c.Metrics.RunEnded(reason)
	c.learn(p, reason)
	c.release(p)
	if j.progress.State.Final() {
		if j.placementCount() == 0 {
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

// endGangRun ends the run of a gang with that of one member: done for all of them if it is done, and
// otherwise stopped, because the others only wait for the one that is gone.
func (c *Scheduler) endGangRun(p *placement, reason steptracker.EndReason) {
	for _, other := range p.job.placements {
		if other.key.StepKey != p.key.StepKey || other.run != p.run {
			continue
		}
		if reason == steptracker.Done {
			// Its own end is listed in a moment; until then its room is taken.
			other.stopReason = "gang is done"
			continue
		}
		c.stopRun(other, "gang ended "+string(reason))
	}
}

// recordCheckpoint remembers saved progress. A gang has one for all of its members.
func (c *Scheduler) recordCheckpoint(p *placement, checkpoint string) {
	key := p.key
	if p.step.Gang {
		key.Index = 0
	}
	if task := p.job.progress.Task(key); task != nil {
		task.Checkpoint = checkpoint
	}
}

// runListed takes in that a worker lists a run.
func (c *Scheduler) runListed(p *placement, running *workerdriver.RunningTask) {
	if p.state != runStarted {
		if p.state != runSending {
			c.Log.Info("run found", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker)
		}
		c.markStarted(p)
		if p.worker.info.StartMillis != 0 {
			if task := p.job.progress.Task(p.key); task != nil && task.Run == p.run && task.AssignedTo.StartMillis != p.worker.info.StartMillis {
				task.AssignedTo.StartMillis = p.worker.info.StartMillis
				c.markDirty(p.job, nil)
			}
		}
	}
	p.gauge = running.Metric
	if running.Checkpoint != "" && running.Checkpoint != "0" && !p.job.progress.State.Final() {
		c.recordCheckpoint(p, running.Checkpoint)
	}
	if p.job.progress.State.Final() {
		c.stopRun(p, "job is "+string(p.job.progress.State))
	}
}

// markStarted takes in that a worker has confirmed a start.
func (c *Scheduler) markStarted(p *placement) {
	p.state, p.startedAt = runStarted, c.now
	p.job.progress.Started = true
	if p.job.visibleState == steptracker.Queued {
		p.job.visibleState = steptracker.Running
	}
}

// sendStart orders the start of a run whose record has been written.
func (c *Scheduler) sendStart(p *placement) {
	if c.ownershipLost || p.state != runUnsent || p.job.placements[p.key] != p {
		return
	}
	if p.stopReason != "" || p.job.progress.State.Final() {
		// It was never sent, so it is over.
		c.endRun(p, steptracker.NeverStarted, "")
		return
	}
	w := p.worker
	token, valid := c.ticket(p.key.StepKey, w)
	if w.clockAt.IsZero() || !w.known || !valid {
		c.endRun(p, steptracker.NeverStarted, "")
		return
	}
	order := &workerdriver.Start{
		Task:           p.key,
		Run:            p.run,
		Payload:        p.job.definition.Payload,
		Checkpoint:     c.checkpoint(p),
		PlacementToken: token,
		LeaseExpiry:    c.extend(w),
		FencingToken:   c.claim.FencingToken,
	}
	p.state, p.sentAt = runSending, c.now
	info := w.info
	c.group.Go(func() {
		header, err := c.WorkerClient.Start(c.ctx, &info, order)
		c.post(func() { c.startAnswered(p, info.StartMillis, header, err) })
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

// startAnswered takes in what came of a start.
func (c *Scheduler) startAnswered(p *placement, born int64, header workerdriver.ReplyHeader, err error) {
	if p.job.placements[p.key] != p {
		return
	}
	w := p.worker
	c.Metrics.StartAnswered(c.now.Sub(p.sentAt), err)
	if err == nil {
		c.readClock(w, header)
		if p.state == runSending {
			c.markStarted(p)
			c.Log.Info("started", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "took-ms", c.now.Sub(p.sentAt).Milliseconds())
		}
		if p.stopReason != "" {
			c.sendStop(p)
		}
		return
	}
	var refused *workerdriver.RefusedError
	if !errors.As(err, &refused) {
		if p.state == runSending {
			p.state = runInDoubt
			p.sentAt = c.now
			c.Log.Warn("start in doubt", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "error", err)
			c.requestListing(w)
		}
		return
	}
	c.Log.Info("start refused", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "reason", refused.Reason)
	c.startRefused(p, refused.Reason)
}

func (c *Scheduler) startRefused(p *placement, reason workerdriver.Reason) {
	w := p.worker
	switch reason {
	case workerdriver.StaleFence:
		c.loseOwnership("worker " + w.info.Worker + " has seen a higher fence")
		return
	case workerdriver.NoPlacementToken:
		c.dropTicket(p.key.StepKey, w)
	case workerdriver.Unhealthy, workerdriver.InsufficientCapacity, workerdriver.Malformed:
		w.avoidUntil = c.now.Add(avoidFor)
	case workerdriver.WrongIncarnation:
		w.known = false
	case workerdriver.StaleRun, workerdriver.OrderExpired:
	}
	c.endRun(p, steptracker.NeverStarted, "")
}

// requestListing asks for a worker's list at once, beside the hold that may be waiting for an end.
func (c *Scheduler) requestListing(w *worker) {
	info, fence, seen := w.info, c.claim.FencingToken, w.seen
	sentAt := c.now
	c.group.Go(func() {
		listing, err := c.WorkerClient.Sync(c.ctx, &info, workerdriver.Sync{FencingToken: fence, AckedSequence: seen})
		if err != nil {
			return
		}
		c.post(func() {
			if listing.Born == 0 || listing.Born == w.info.StartMillis {
				c.takeRunning(w, listing, sentAt)
			}
		})
	})
}

// stopRun orders the end of a run. Its room is free once its end is listed.
func (c *Scheduler) stopRun(p *placement, reason string) {
	if p.stopReason == "" {
		p.stopReason = reason
		c.Log.Info("stopping", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "reason", reason)
	}
	switch p.state {
	case runUnsent:
		// What was never sent is over; send sees to it once the record is written.
	case runSending:
		// The stop follows the answer, so that it can't overtake the start.
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
	order := workerdriver.Stop{Task: p.key, Run: p.run, FencingToken: c.claim.FencingToken}
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
	if err == nil && (header.Born == 0 || header.Born == p.worker.info.StartMillis) {
		p.stopConfirmedAt = c.now
		if p.state == runInDoubt {
			c.requestListing(p.worker)
		}
		return
	}
	p.stopSent = false
}

// stopStrayRun ends a run that nobody wants: its order was carried out late, or its job is over.
func (c *Scheduler) stopStrayRun(w *worker, running *workerdriver.RunningTask, sentAt time.Time) {
	if j := c.jobs[running.Task.Job]; j != nil && j.placements[running.Task] != nil && j.placements[running.Task].worker == w {
		return
	}
	c.Log.Warn("stray run", "task", running.Task.String(), "run", running.Run, "worker", w.info.Worker)
	info := w.info
	order := workerdriver.Stop{Task: running.Task, Run: running.Run, FencingToken: c.claim.FencingToken}
	c.group.Go(func() {
		if _, err := c.WorkerClient.Stop(c.ctx, &info, order); err != nil {
			c.Log.Warn("stray run not stopped", "task", order.Task.String(), "run", order.Run, "error", err)
		}
	})
}

const (
	// inDoubtTimeout is how long a start without an answer may show up in its worker's list before the
	// run is refused for good.
	inDoubtTimeout = 250 * time.Millisecond
	// stopRetryInterval is after how much time a stop without effect is ordered again.
	stopRetryInterval = 500 * time.Millisecond
)

// checkPlacement does what is due for a run.
func (c *Scheduler) checkPlacement(p *placement) {
	waited := c.now.Sub(p.sentAt)
	switch {
	case p.state == runInDoubt && p.stopReason == "" && waited > inDoubtTimeout:
		c.stopRun(p, "its start had no answer")
	case p.stopReason != "" && !p.stopSent && p.state != runUnsent && p.state != runSending && waited > stopRetryInterval && p.stopReason != "gang is done":
		c.sendStop(p)
	case p.state == runInDoubt && !p.stopConfirmedAt.IsZero() && waited > stopRetryInterval:
		p.sentAt = c.now
		c.requestListing(p.worker)
	}
}
