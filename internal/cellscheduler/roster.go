package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// holdWait is how long a worker may wait for an end before it answers. It bounds the age of
	// what is known of the worker, and of its lease.
	holdWait = time.Second
	// firstRetry and lastRetry are the pauses after a call that had no answer.
	firstRetry = 150 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
	// unwrittenHold is after how much time a worker is held again although its last ends are not
	// written yet: its lease must not lapse because the store is down.
	unwrittenHold = 800 * time.Millisecond
	// silentAfter is after how much time without an answer a worker gets nothing new.
	silentAfter = 2500 * time.Millisecond
	// islandLimit is how long an owner that hears nothing of the store goes on extending leases.
	islandLimit = 6 * time.Second
	// clockDrift is by how much a worker's steady clock may be slow.
	clockDrift = 0.02
	// replacedPause is how long a worker that was replaced is not asked again; its entry in the
	// platform's list goes away meanwhile.
	replacedPause = 2 * time.Second
	// avoidFor is how long a worker that said it is unhealthy gets nothing new.
	avoidFor = 700 * time.Millisecond
)

// worker is a worker of the cell's service.
type worker struct {
	info workerdriver.Worker
	// listed tells that the worker is in the platform's list.
	listed bool
	// known tells that this life has listed what it runs under this owner's fence.
	known bool
	// clock was read at clockAt, never later than it really was.
	clock   workerdriver.Clock
	clockAt time.Time
	// leaseEnds is when everything there is over at the latest, if nothing more is heard.
	leaseEnds time.Time
	heard     time.Time
	// taken is the number of the last end that was taken in, seen that of the last one written.
	taken, seen int64
	holding     bool
	holdDue     time.Time
	failures    int
	avoidUntil  time.Time
	used        modeler.Resources
	placements  map[steptracker.TaskKey]*placement
	pace        pace
	// share is what filling work may use beside serving tasks, nil where there are not both.
	share *cputhrottler.Throttler
	// asked is what steps have asked the advisor for on the worker that have no answer yet.
	asked modeler.Processors
	// site is the worker's place in the survey of a round, or -1.
	site int
}

// free is what is left of a worker. It is never negative: adopted runs may exceed what the worker
// says that it has.
func (w *worker) free() modeler.Resources {
	capacity := w.info.Capacity
	return capacity.Minus(modeler.Resources{
		Processors:   min(w.used.Processors, capacity.Processors),
		Memory:       min(w.used.Memory, capacity.Memory),
		Accelerators: min(w.used.Accelerators, capacity.Accelerators),
	})
}

// usable tells whether a worker may get new work.
func (c *Scheduler) usable(w *worker) bool {
	return w.listed && w.known && !w.info.Draining && c.now.Sub(w.heard) < silentAfter && c.now.After(w.avoidUntil) &&
		!w.pace.quarantined(c.now)
}

// UpdateWorkers tells the scheduler of workers in the platform's list. With whole set, a worker that is
// not named has left the list.
func (c *Scheduler) UpdateWorkers(named []workerdriver.Worker, gone []string, whole bool) {
	c.post(func() {
		if whole {
			for _, w := range c.workers {
				w.listed = false
			}
		}
		for i := range named {
			if named[i].Service == c.claim.Cell {
				c.enlist(named[i])
			}
		}
		for _, id := range gone {
			if w := c.workers[id]; w != nil {
				w.listed = false
				c.Log.Info("worker gone from the list", "worker", id, "places", len(w.placements))
			}
		}
	})
}

func (c *Scheduler) enlist(info workerdriver.Worker) {
	w := c.workers[info.Worker]
	if w == nil {
		w = &worker{info: info, site: -1, placements: make(map[steptracker.TaskKey]*placement)}
		w.leaseEnds = c.inheritedLease()
		c.workers[info.Worker] = w
		c.Log.Info("worker joined", "worker", info.Worker, "born", info.StartMillis, "zone", info.AvailabilityZone, "rack", info.Rack)
	}
	if info.Draining && !w.info.Draining {
		c.Log.Info("worker draining", "worker", info.Worker, "remaining-ms", info.Remaining.Milliseconds(), "places", len(w.placements))
	}
	w.listed = true
	reborn := info.StartMillis > w.info.StartMillis && w.info.StartMillis != 0
	born := w.info.StartMillis
	w.info = info
	if info.StartMillis < born {
		w.info.StartMillis = born
	}
	if reborn {
		c.beginLife(w, info.StartMillis)
	}
	if !w.holding {
		c.hold(w)
	}
}

// inheritedLease is when a lease that an earlier owner gave is over at the latest.
func (c *Scheduler) inheritedLease() time.Time {
	if c.claim.NoPreviousOwner {
		return c.claimedAt
	}
	longest := time.Duration(float64(c.settings.MaxLease) * (1 + 2*clockDrift))
	return c.claimedAt.Add(islandLimit + longest)
}

// beginLife takes note that a worker has started anew: what its life before ran is over. Orders
// whose fate is open may still reach the new life.
func (c *Scheduler) beginLife(w *worker, born int64) {
	c.Log.Info("worker started anew", "worker", w.info.Worker, "born", born, "places", len(w.placements))
	w.info.StartMillis = born
	w.known, w.taken, w.seen = false, 0, 0
	w.clockAt = time.Time{}
	w.pace = pace{}
	for _, p := range w.placements {
		switch p.state {
		case runStarted, runUnconfirmed:
			p.state = runUnconfirmed
		case runSending, runInDoubt, runUnsent:
		}
	}
}

// hold sends the next hold to a worker, if it is time for one.
func (c *Scheduler) hold(w *worker) {
	if w.holding || c.ownershipLost || !c.recovered || c.now.Before(w.holdDue) {
		return
	}
	order := workerdriver.Sync{FencingToken: c.claim.FencingToken, AckedSequence: w.seen}
	switch {
	case !w.known:
		// The first list of a life comes at once.
	case w.taken > w.seen:
		// The ends are not written yet; the worker would repeat them at once.
	case w.mixes():
		order.MaxWait = pacedWait
	default:
		order.MaxWait = holdWait
	}
	switch {
	case w.clockAt.IsZero() || !c.OwnershipConfirmed():
	case w.known && c.now.Sub(w.heard) > silentAfter:
		// An order without an answer may have arrived, so each one that extends the lease puts off
		// the time from which the worker's runs are surely over. The lease follows the first answer.
		order.MaxWait = 0
	default:
		order.LeaseExpiry = c.extend(w)
	}
	w.holding = true
	info := w.info
	sentAt := c.now
	c.group.Go(func() {
		listing, err := c.WorkerClient.Sync(c.ctx, &info, order)
		c.post(func() {
			w.holding = false
			c.heldBy(w, listing, err, sentAt)
		})
	})
}

// extend returns the end of a lease that begins now, on the worker's clock, and remembers when it
// is over at the latest.
func (c *Scheduler) extend(w *worker) workerdriver.Clock {
	since := c.now.Sub(w.clockAt)
	slack := time.Duration(clockDrift * float64(since+c.settings.Lease) * 1.1)
	if ends := c.now.Add(c.settings.Lease + slack); ends.After(w.leaseEnds) {
		w.leaseEnds = ends
	}
	return w.clock + workerdriver.Clock(since+c.settings.Lease)
}

// readClock notes a worker's clock and life. It reports false if the answer is of another life than
// is known here.
func (c *Scheduler) readClock(w *worker, self workerdriver.ReplyHeader) bool {
	if self.Born != 0 && self.Born != w.info.StartMillis {
		if self.Born < w.info.StartMillis {
			return false
		}
		c.beginLife(w, self.Born)
	}
	w.clock, w.clockAt = self.Clock, c.now
	return true
}

func (c *Scheduler) heldBy(w *worker, listing workerdriver.SyncReply, err error, sentAt time.Time) {
	if err != nil {
		c.holdFailed(w, err)
		return
	}
	if c.now.Sub(sentAt) > silentAfter && w.failures > 0 {
		c.Log.Info("worker regained", "worker", w.info.Worker)
	}
	w.failures = 0
	if !c.readClock(w, listing.ReplyHeader) {
		w.holdDue = c.now.Add(firstRetry)
		return
	}
	w.heard = c.now
	c.takeEnds(w, listing.Ended)
	c.takeRunning(w, listing, sentAt)
	c.repace(w)
	if !w.known {
		w.known = true
		c.roundNeeded = true
		c.Log.Info("worker listed", "worker", w.info.Worker, "running", len(listing.Running), "ended", len(listing.Ended), "fence", c.claim.FencingToken)
	}
	if w.taken > w.seen {
		taken, born := w.taken, w.info.StartMillis
		w.holdDue = c.now.Add(unwrittenHold)
		c.afterWrites(func() {
			if w.info.StartMillis != born {
				return
			}
			w.seen = max(w.seen, taken)
			w.holdDue = c.now
			c.hold(w)
		})
		return
	}
	w.holdDue = c.now
	c.hold(w)
}

func (c *Scheduler) holdFailed(w *worker, err error) {
	w.failures++
	if w.failures == 1 || w.failures%16 == 0 {
		c.Log.Warn("worker does not answer", "worker", w.info.Worker, "failures", w.failures, "places", len(w.placements), "error", err)
	}
	w.holdDue = c.now.Add(min(firstRetry*time.Duration(w.failures), lastRetry))
	var refused *workerdriver.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	switch refused.Reason {
	case workerdriver.StaleFence:
		c.loseOwnership("worker " + w.info.Worker + " has seen a higher fence")
	case workerdriver.Unhealthy:
		w.avoidUntil = c.now.Add(avoidFor)
	case workerdriver.WrongIncarnation:
		c.endLife(w)
	case workerdriver.StaleRun, workerdriver.OrderExpired, workerdriver.InsufficientCapacity, workerdriver.NoPlacementToken, workerdriver.Malformed:
	}
}

// endLife takes in that another worker answers at the address: this one is over, and no order for it
// is obeyed any more.
func (c *Scheduler) endLife(w *worker) {
	c.Log.Warn("worker replaced", "worker", w.info.Worker, "places", len(w.placements))
	for _, p := range w.placements {
		if p.state != runUnsent {
			c.endRun(p, steptracker.WorkerLost, "")
		}
	}
	w.known = false
	if !w.listed && len(w.placements) == 0 {
		delete(c.workers, w.info.Worker)
	}
	w.holdDue = c.now.Add(replacedPause)
}

// checkWorker does what is due for a worker.
func (c *Scheduler) checkWorker(w *worker) {
	if !w.holding {
		c.hold(w)
	}
	// A lease that is surely over ends all that the worker may have run. New orders carry a new
	// lease, so only runs that were there before are over.
	if len(w.placements) > 0 && c.now.After(w.leaseEnds) && c.now.Sub(w.heard) > silentAfter {
		c.Log.Warn("lease over", "worker", w.info.Worker, "places", len(w.placements), "heard-ms-ago", c.now.Sub(w.heard).Milliseconds())
		for _, p := range w.placements {
			c.endRun(p, steptracker.LeaseExpired, "")
		}
		w.known = false
	}
	if !w.listed && len(w.placements) == 0 && c.now.After(w.leaseEnds) && c.now.Sub(w.heard) > silentAfter {
		delete(c.workers, w.info.Worker)
		return
	}
	for _, p := range w.placements {
		c.checkPlacement(p)
	}
}

// takeEnds takes in the ends that are new.
func (c *Scheduler) takeEnds(w *worker, ended []workerdriver.EndedTask) {
	for i := range ended {
		e := &ended[i]
		if e.Sequence <= w.taken {
			continue
		}
		w.taken = e.Sequence
		j := c.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		p := j.placements[e.Task]
		if p == nil || p.run != e.Run || p.worker != w {
			continue
		}
		c.endRun(p, e.Reason, e.Checkpoint)
	}
}

// takeRunning compares a list with what should be there.
func (c *Scheduler) takeRunning(w *worker, listing workerdriver.SyncReply, sentAt time.Time) {
	there := make(map[steptracker.TaskKey]int, len(listing.Running)+len(listing.Ended))
	// A run whose end is listed is not lost. Its end is taken in with the hold that may acknowledge it.
	for i := range listing.Ended {
		there[listing.Ended[i].Task] = listing.Ended[i].Run
	}
	for i := range listing.Running {
		running := &listing.Running[i]
		there[running.Task] = running.Run
		p := w.placements[running.Task]
		if p == nil || p.run != running.Run {
			c.stopStrayRun(w, running, sentAt)
			continue
		}
		c.runListed(p, running)
	}
	for _, p := range w.placements {
		if run, found := there[p.key]; found && run == p.run {
			continue
		}
		switch p.state {
		case runUnconfirmed:
			// The worker has seen the new fence, so no order of an earlier owner arrives any more.
			c.endRun(p, steptracker.NeverStarted, "")
		case runStarted:
			if p.startedAt.Before(sentAt) {
				c.endRun(p, steptracker.WorkerLost, "")
			}
		case runInDoubt:
			if !p.stopConfirmedAt.IsZero() && p.stopConfirmedAt.Before(sentAt) {
				c.endRun(p, steptracker.NeverStarted, "")
			}
		case runSending, runUnsent:
		}
	}
}
