package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// placeState is how far a run has come.
type placeState int

const (
	// unsent: the record that names the worker is being written.
	unsent placeState = iota
	// sending: the start is on its way.
	sending
	// started: the worker has confirmed it.
	started
	// doubted: the start had no answer. It may have been carried out, or may be later.
	doubted
	// inQuestion: an earlier owner's record names the worker, or the worker has begun a new life.
	inQuestion
)

// place is a run that holds room on a worker until it is proved to be over.
type place struct {
	job    *job
	key    steptracker.TaskKey
	run    int
	step   *steptracker.Step
	worker *worker
	state  placeState
	// startedAt is when the worker confirmed the run, sentAt when the last order was sent.
	startedAt, sentAt time.Time
	// refusedAt is when the worker obeyed a stop: the run can't begin any more.
	refusedAt time.Time
	// stopping tells that the run is to end, and why.
	stopping string
	stopSent bool
	// gauge is the worker's latest figure of the run, percent what it may work at.
	gauge, percent int
}

// place reserves room for a run on the worker that its record names. A worker that is not known
// yet gets the run as soon as it joins.
func (c *Scheduler) place(j *job, key steptracker.TaskKey, task *steptracker.Task, state placeState) *place {
	p := &place{job: j, key: key, run: task.Run, step: &j.definition.Steps[key.Step], state: state, sentAt: c.now, percent: 100}
	if j.places == nil {
		j.places = make(map[steptracker.TaskKey]*place)
	}
	j.places[key] = p
	w := c.workers[task.AssignedTo.Worker]
	if w == nil {
		w = &worker{info: workerdriver.Worker{Incarnation: task.AssignedTo}, site: -1, places: make(map[steptracker.TaskKey]*place), leaseEnds: c.inheritedLease()}
		c.workers[task.AssignedTo.Worker] = w
	}
	p.worker = w
	w.places[key] = p
	w.used = w.used.Plus(p.step.Reservation())
	c.takeSite(w, p.step)
	return p
}

// takeSite takes the room of a task out of the survey of this round.
func (c *Scheduler) takeSite(w *worker, step *steptracker.Step) {
	if w.site < 0 || w.site >= len(c.sites) {
		return
	}
	site := &c.sites[w.site]
	if needs := step.Reservation(); needs.Fits(site.Free) {
		site.Free = site.Free.Minus(needs)
	}
}

// release gives back the room of a run that is over.
func (c *Scheduler) release(p *place) {
	if p.job.places[p.key] != p {
		return
	}
	delete(p.job.places, p.key)
	delete(p.worker.places, p.key)
	p.worker.used = p.worker.used.Minus(p.step.Reservation())
	c.dirty = true
}

// end takes in that a run is over. The record is written before anybody is told.
func (c *Scheduler) end(p *place, how steptracker.EndReason, checkpoint string) {
	j := p.job
	if j.places[p.key] != p {
		return
	}
	c.Log.Info("ended", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "how", how,
		"ran-ms", p.ran(c.now).Milliseconds(), "stopping", p.stopping)
	c.Metrics.RunEnded(how)
	c.learn(p, how)
	c.release(p)
	if j.progress.State.Final() {
		if j.placed() == 0 {
			c.touch(j, func() { j.definition = nil })
		}
		return
	}
	if checkpoint != "" {
		c.keepCheckpoint(p, checkpoint)
	}
	if !j.progress.RecordEnd(j.definition, p.key, p.run, how) {
		return
	}
	c.touch(j, nil)
	if p.step.Gang {
		c.endGang(p, how)
	}
	c.settle(j)
}

func (p *place) ran(now time.Time) time.Duration {
	if p.startedAt.IsZero() {
		return 0
	}
	return now.Sub(p.startedAt)
}

// endGang ends the run of a gang with that of one member: done for all of them if it is done, and
// otherwise stopped, because the others only wait for the one that is gone.
func (c *Scheduler) endGang(p *place, how steptracker.EndReason) {
	for _, other := range p.job.places {
		if other.key.StepKey != p.key.StepKey || other.run != p.run {
			continue
		}
		if how == steptracker.Done {
			// Its own end is listed in a moment; until then its room is taken.
			other.stopping = "gang is done"
			continue
		}
		c.stopPlace(other, "gang ended "+string(how))
	}
}

// keepCheckpoint remembers saved progress. A gang has one for all of its members.
func (c *Scheduler) keepCheckpoint(p *place, checkpoint string) {
	key := p.key
	if p.step.Gang {
		key.Index = 0
	}
	if task := p.job.progress.Task(key); task != nil {
		task.Checkpoint = checkpoint
	}
}

// seen takes in that a worker lists a run.
func (c *Scheduler) seen(p *place, running *workerdriver.RunningTask) {
	if p.state != started {
		if p.state != sending {
			c.Log.Info("run found", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker)
		}
		c.begin(p)
		if p.worker.info.StartMillis != 0 {
			if task := p.job.progress.Task(p.key); task != nil && task.Run == p.run && task.AssignedTo.StartMillis != p.worker.info.StartMillis {
				task.AssignedTo.StartMillis = p.worker.info.StartMillis
				c.touch(p.job, nil)
			}
		}
	}
	p.gauge = running.Metric
	if running.Checkpoint != "" && running.Checkpoint != "0" && !p.job.progress.State.Final() {
		c.keepCheckpoint(p, running.Checkpoint)
	}
	if p.job.progress.State.Final() {
		c.stopPlace(p, "job is "+string(p.job.progress.State))
	}
}

// begin takes in that a worker has confirmed a start.
func (c *Scheduler) begin(p *place) {
	p.state, p.startedAt = started, c.now
	p.job.progress.Started = true
	if p.job.shown == steptracker.Queued {
		p.job.shown = steptracker.Running
	}
}

// send orders the start of a run whose record has been written.
func (c *Scheduler) send(p *place) {
	if c.deposed || p.state != unsent || p.job.places[p.key] != p {
		return
	}
	if p.stopping != "" || p.job.progress.State.Final() {
		// It was never sent, so it is over.
		c.end(p, steptracker.NeverStarted, "")
		return
	}
	w := p.worker
	ticket, valid := c.ticket(p.key.StepKey, w)
	if w.clockAt.IsZero() || !w.known || !valid {
		c.end(p, steptracker.NeverStarted, "")
		return
	}
	order := &workerdriver.Start{
		Task:           p.key,
		Run:            p.run,
		Payload:        p.job.definition.Payload,
		Checkpoint:     c.checkpoint(p),
		PlacementToken: ticket,
		LeaseExpiry:    c.extend(w),
		FencingToken:   c.claim.Fence,
	}
	p.state, p.sentAt = sending, c.now
	info := w.info
	c.group.Go(func() {
		self, err := c.WorkerClient.Start(c.ctx, &info, order)
		c.post(func() { c.answered(p, info.StartMillis, self, err) })
	})
}

func (c *Scheduler) checkpoint(p *place) string {
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

// answered takes in what came of a start.
func (c *Scheduler) answered(p *place, born int64, self workerdriver.ReplyHeader, err error) {
	if p.job.places[p.key] != p {
		return
	}
	w := p.worker
	c.Metrics.StartAnswered(c.now.Sub(p.sentAt), err)
	if err == nil {
		c.readClock(w, self)
		if p.state == sending {
			c.begin(p)
			c.Log.Info("started", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "took-ms", c.now.Sub(p.sentAt).Milliseconds())
		}
		if p.stopping != "" {
			c.orderStop(p)
		}
		return
	}
	var refused *workerdriver.RefusedError
	if !errors.As(err, &refused) {
		if p.state == sending {
			p.state = doubted
			p.sentAt = c.now
			c.Log.Warn("start in doubt", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "error", err)
			c.peek(w)
		}
		return
	}
	c.Log.Info("start refused", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "reason", refused.Reason)
	c.refusedStart(p, refused.Reason)
}

func (c *Scheduler) refusedStart(p *place, why workerdriver.Reason) {
	w := p.worker
	switch why {
	case workerdriver.StaleFence:
		c.depose("worker " + w.info.Worker + " has seen a higher fence")
		return
	case workerdriver.NoPlacementToken:
		c.dropTicket(p.key.StepKey, w)
	case workerdriver.Unhealthy, workerdriver.InsufficientCapacity, workerdriver.Malformed:
		w.avoidUntil = c.now.Add(avoidFor)
	case workerdriver.WrongIncarnation:
		w.known = false
	case workerdriver.StaleRun, workerdriver.OrderExpired:
	}
	c.end(p, steptracker.NeverStarted, "")
}

// peek asks for a worker's list at once, beside the hold that may be waiting for an end.
func (c *Scheduler) peek(w *worker) {
	info, fence, seen := w.info, c.claim.Fence, w.seen
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

// stopPlace orders the end of a run. Its room is free once its end is listed.
func (c *Scheduler) stopPlace(p *place, why string) {
	if p.stopping == "" {
		p.stopping = why
		c.Log.Info("stopping", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "reason", why)
	}
	switch p.state {
	case unsent:
		// What was never sent is over; send sees to it once the record is written.
	case sending:
		// The stop follows the answer, so that it can't overtake the start.
	case started, doubted, inQuestion:
		c.orderStop(p)
	}
}

func (c *Scheduler) orderStop(p *place) {
	if p.stopSent || c.deposed {
		return
	}
	p.stopSent = true
	info := p.worker.info
	order := workerdriver.Stop{Task: p.key, Run: p.run, FencingToken: c.claim.Fence}
	c.group.Go(func() {
		self, err := c.WorkerClient.Stop(c.ctx, &info, order)
		c.post(func() { c.stopAnswered(p, self, err) })
	})
}

func (c *Scheduler) stopAnswered(p *place, self workerdriver.ReplyHeader, err error) {
	if p.job.places[p.key] != p {
		return
	}
	p.sentAt = c.now
	if err == nil && (self.Born == 0 || self.Born == p.worker.info.StartMillis) {
		p.refusedAt = c.now
		if p.state == doubted {
			c.peek(p.worker)
		}
		return
	}
	p.stopSent = false
}

// stopStray ends a run that nobody wants: its order was carried out late, or its job is over.
func (c *Scheduler) stopStray(w *worker, running *workerdriver.RunningTask, sentAt time.Time) {
	if j := c.jobs[running.Task.Job]; j != nil && j.places[running.Task] != nil && j.places[running.Task].worker == w {
		return
	}
	c.Log.Warn("stray run", "task", running.Task.String(), "run", running.Run, "worker", w.info.Worker)
	info := w.info
	order := workerdriver.Stop{Task: running.Task, Run: running.Run, FencingToken: c.claim.Fence}
	c.group.Go(func() {
		if _, err := c.WorkerClient.Stop(c.ctx, &info, order); err != nil {
			c.Log.Warn("stray run not stopped", "task", order.Task.String(), "run", order.Run, "error", err)
		}
	})
}

const (
	// doubtFor is how long a start without an answer may show up in its worker's list before the
	// run is refused for good.
	doubtFor = 250 * time.Millisecond
	// stopAgain is after how much time a stop without effect is ordered again.
	stopAgain = 500 * time.Millisecond
)

// watchPlace does what is due for a run.
func (c *Scheduler) watchPlace(p *place) {
	waited := c.now.Sub(p.sentAt)
	switch {
	case p.state == doubted && p.stopping == "" && waited > doubtFor:
		c.stopPlace(p, "its start had no answer")
	case p.stopping != "" && !p.stopSent && p.state != unsent && p.state != sending && waited > stopAgain && p.stopping != "gang is done":
		c.orderStop(p)
	case p.state == doubted && !p.refusedAt.IsZero() && waited > stopAgain:
		p.sentAt = c.now
		c.peek(p.worker)
	}
}
