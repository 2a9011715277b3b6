package cellscheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
	"dotterelpost.example/dotterelpost/internal/incarnationverifier"
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// syncWait is how long a worker may delay its answer to a sync while no run ends. It bounds
	// the age of what is known about the worker, and of its lease. In a cell of more than
	// manyWorkers workers it is longSyncWait: most of them end no run within a second, and their syncs
	// would be most of what the owner does.
	syncWait     = time.Second
	longSyncWait = 2 * time.Second
	manyWorkers  = 200
	// initialRetryDelay and maxRetryDelay bound the delay before an unanswered call is retried.
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 600 * time.Millisecond
	// unwrittenSyncDelay is how long the next sync is delayed while the last ends of runs on the
	// worker are not written yet. After that the worker is synced anyway, so that its lease does
	// not expire during a store outage.
	unwrittenSyncDelay = 800 * time.Millisecond
	// responseTimeout is how long a worker may take for an answer in addition to the time for which it
	// may delay it. After that it gets no new tasks.
	responseTimeout = 1500 * time.Millisecond
	// maxStoreSilence is how long an owner that does not hear from the store continues to extend
	// leases.
	maxStoreSilence = 6 * time.Second
	// maxClockDrift is the fraction by which a worker's monotonic clock may be slow.
	maxClockDrift = 0.02
	// replacedRetryDelay is how long no sync is sent to a replaced worker. Its entry is removed
	// from the platform's list meanwhile.
	replacedRetryDelay = 2 * time.Second
	// unhealthyBackoff is how long a worker gets no new tasks after it has refused an order as
	// unhealthy, as malformed or for lack of capacity.
	unhealthyBackoff = 700 * time.Millisecond
)

// worker is a worker of the cell's service.
type worker struct {
	info workerdriver.Worker
	// listed is set if the worker is in the platform's list.
	listed bool
	// synced is set once this incarnation has listed its runs under this owner's fencing token.
	synced bool
	// restarted is set from a restart until the new incarnation has listed its runs.
	restarted bool
	// hasListed is set once any incarnation has listed its runs under this owner.
	hasListed bool
	// fencingToken is the token of the orders for this incarnation.
	fencingToken int64
	// clock is the worker's clock at clockAt. The true reading at that time may have been later,
	// never earlier.
	clock   workerdriver.Clock
	clockAt time.Time
	// clockBorn is the start time of the incarnation in the reply with that reading, 0 if the reply named none.
	clockBorn int64
	// unnamedClock is the latest reading in a reply that named no incarnation, which arrived at unnamedClockAt, 0
	// once a later reply has named one.
	unnamedClock   workerdriver.Clock
	unnamedClockAt time.Time
	// latestClock is the latest reading of the worker's clock in any reply of this incarnation, which
	// arrived at latestClockAt.
	latestClock   workerdriver.Clock
	latestClockAt time.Time
	// lapsed are the runs that ended because the lease had expired at lapsedAt. If the worker turns out to
	// have crashed, that counts for their tasks.
	lapsed   []runVerdict
	lapsedAt time.Time
	// isolatedRuns counts the isolated runs on the worker. While there are any, it gets no new tasks.
	isolatedRuns int
	// leaseEndsAt is the latest time at which the worker's lease expires unless it is extended.
	leaseEndsAt time.Time
	// extendedAt is when an order that extends the lease was last sent.
	extendedAt  time.Time
	lastReplyAt time.Time
	// unreachableSince is when a call first failed for want of a connection since the worker last
	// answered a sync, or the zero time.
	unreachableSince time.Time
	// crashRecorded is set once the end of the incarnation has been recorded.
	crashRecorded bool
	// lastEnd is the sequence number of the last end of a run that was processed, lastWrittenEnd
	// that of the last one that was written.
	lastEnd, lastWrittenEnd int64
	// acknowledgedEnd is the number of the last end that the incarnation was told to discard.
	acknowledgedEnd int64
	// incarnation tracks which start orders may have reached another incarnation. acknowledgementDeferred is set while a
	// sync waits for the answer to one.
	incarnation             incarnationverifier.Verifier
	acknowledgementDeferred bool
	syncInFlight            bool
	// orderedAt is when an order was last sent to the worker.
	orderedAt time.Time
	// removed is set once the entry has been removed. The worker's ID may have another entry then.
	removed      bool
	nextSyncAt   time.Time
	syncFailures int
	// avoidUntil is the time until which the worker gets no new tasks after it refused an order.
	avoidUntil time.Time
	used       modeler.Resources
	placements map[steptracker.TaskKey]*placement
	// lateStarts are the runs that are over and may still be started by an unanswered order, in the order in
	// which they ended.
	lateStarts []lateStart
	health     workerHealth
	presence   interferencedetector.Presence
	// neighboursChangedAt is when a run last came or went, or was throttled.
	neighboursChangedAt time.Time
	// throttler limits the CPU share of best-effort tasks beside serving tasks. It is nil if the
	// worker does not run both.
	throttler *cputhrottler.Throttler
	// adviceRequested is the processor capacity for which unanswered advisor calls have named the
	// worker.
	adviceRequested modeler.Processors
	// candidateIndex is the worker's index in the candidates of the round, or -1.
	candidateIndex int
}

// free returns the free resources of a worker. They are never negative: runs restored from stored
// rows may exceed the capacity that the worker reports.
func (w *worker) free() modeler.Resources {
	capacity := w.info.Capacity
	return capacity.Minus(modeler.Resources{
		Processors:   min(w.used.Processors, capacity.Processors),
		Memory:       min(w.used.Memory, capacity.Memory),
		Accelerators: min(w.used.Accelerators, capacity.Accelerators),
	})
}

// clockAge returns the age of the reading of the worker's clock, 0 if there is none.
func (w *worker) clockAge(now time.Time) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return now.Sub(w.clockAt)
}

// usable reports whether a worker may get new tasks.
func (c *Scheduler) usable(w *worker) bool {
	return w.listed && w.synced && !w.info.Draining && w.isolatedRuns == 0 && w.unreachableSince.IsZero() && c.now.Sub(w.lastReplyAt) < c.unresponsiveAfter() &&
		c.now.After(w.avoidUntil) && !w.health.isQuarantined(c.now)
}

// syncWait returns how long a worker may delay its answer to a sync while no run ends.
func (c *Scheduler) syncWait() time.Duration {
	if len(c.workers) > manyWorkers {
		return longSyncWait
	}
	return syncWait
}

// unresponsiveAfter returns the time without an answer after which a worker gets no new tasks.
func (c *Scheduler) unresponsiveAfter() time.Duration { return c.syncWait() + responseTimeout }

// UpdateWorkers updates the workers from the platform's list. With complete set, workers that are
// not named have been removed from the list.
func (c *Scheduler) UpdateWorkers(listed []workerdriver.Worker, removed []string, complete bool) {
	c.post(func() {
		if complete {
			for _, w := range c.workers {
				w.listed = false
			}
		}
		for i := range listed {
			if listed[i].Service == c.claim.Cell {
				c.updateWorker(listed[i])
			}
		}
		for _, id := range removed {
			if w := c.workers[id]; w != nil && w.listed {
				w.listed = false
				c.Log.Info("worker gone from the list", "worker", id, "places", len(w.placements))
			}
		}
	})
}

func (c *Scheduler) updateWorker(info workerdriver.Worker) {
	w := c.workers[info.Worker]
	if w == nil {
		w = c.newWorker(info)
		c.Log.Info("worker joined", "worker", info.Worker, "born", info.StartMillis, "zone", info.AvailabilityZone, "rack", info.Rack)
	}
	if info.Draining && !w.info.Draining {
		c.Log.Info("worker draining", "worker", info.Worker, "remaining-ms", info.Remaining.Milliseconds(), "places", len(w.placements))
	}
	w.listed = true
	restarted := info.StartMillis > w.info.StartMillis && w.info.StartMillis != 0
	previousStart := w.info.StartMillis
	w.info = info
	if info.StartMillis < previousStart {
		w.info.StartMillis = previousStart
	}
	if restarted {
		c.workerRestarted(w, info.StartMillis)
	}
	if !w.syncInFlight {
		c.syncWorker(w)
	}
	c.syncPredecessors(w)
}

// syncPredecessors sends a sync at once to the earlier workers at the address of a worker that has just
// started. The answer proves that they are gone, which the list alone does not.
func (c *Scheduler) syncPredecessors(successor *worker) {
	if successor.synced {
		return
	}
	for _, w := range c.sortedWorkers() {
		if w.info.Address == successor.info.Address && w.info.StartMillis < successor.info.StartMillis && (len(w.placements) > 0 || len(w.lapsed) > 0) {
			w.nextSyncAt = c.now
			c.syncWorker(w)
		}
	}
}

// inheritedLeaseEnd returns the latest expiry of a lease granted by an earlier owner, which may have
// extended leases for up to maxStoreSilence after this instance claimed the cell.
func (c *Scheduler) inheritedLeaseEnd() time.Time {
	if c.claim.NoPreviousOwner {
		return c.claimedAt
	}
	return c.claimedAt.Add(maxStoreSilence + c.longestLease())
}

// longestLease returns how long a lease lasts at most after a worker has granted it, whatever end it was given.
func (c *Scheduler) longestLease() time.Duration {
	return time.Duration(float64(c.settings.MaxLease) * (1 + 2*maxClockDrift))
}

// assumeLongestLease updates the end of a worker's lease when orders for another incarnation may have extended it until
// now: they name an end by the clock of that incarnation.
func (c *Scheduler) assumeLongestLease(w *worker) {
	if endsAt := c.now.Add(c.longestLease()); endsAt.After(w.leaseEndsAt) {
		w.leaseEndsAt = endsAt
	}
}

// workerRestarted handles the start of a new incarnation of a worker. The runs of the previous
// one are over. Unanswered start orders may still reach the new incarnation.
func (c *Scheduler) workerRestarted(w *worker, startMillis int64) {
	c.Log.Info("worker started anew", "worker", w.info.Worker, "born", startMillis, "places", len(w.placements))
	c.recordCrash(w)
	w.info.StartMillis, w.crashRecorded = startMillis, false
	// The new incarnation refuses what was sent to the one before, once it has seen this token.
	c.fencingToken = min(c.fencingToken+1, max(c.claim.FencingToken, c.claim.LastToken))
	w.fencingToken = c.fencingToken
	w.latestClock, w.latestClockAt = 0, time.Time{}
	w.synced, w.lastEnd, w.lastWrittenEnd, w.acknowledgedEnd = false, 0, 0, 0
	w.incarnation, w.acknowledgementDeferred = incarnationverifier.Verifier{}, false
	w.clockAt, w.clockBorn, w.unnamedClock = time.Time{}, 0, 0
	w.restarted = true
	c.assumeLongestLease(w)
	w.health = workerHealth{}
	c.refuseLateStarts(w)
	for _, p := range w.placements {
		p.onUnlisted = false
		switch p.state {
		case runStarted, runUnconfirmed:
			p.state = runUnconfirmed
			if p.copyInDoubt {
				c.doubtAgain(p)
			}
		case runInDoubt:
			c.doubtAgain(p)
		case runSending, runUnsent:
		}
	}
	c.requestListing(w)
}

// workerReplaced handles another worker answering at the address. The old worker is gone and no
// order for it will be carried out.
func (c *Scheduler) workerReplaced(w *worker) {
	c.Log.Warn("worker replaced", "worker", w.info.Worker, "places", len(w.placements))
	c.recordCrash(w)
	for _, p := range w.placements {
		if p.state != runUnsent {
			c.endRun(p, conclusion{reason: steptracker.WorkerLost, by: byReplacedWorker}, "")
		}
	}
	w.synced = false
	w.lapsed = nil
	w.nextSyncAt = c.now.Add(replacedRetryDelay)
}

// newWorker adds the worker that an entry of the platform's list or a stored run names.
func (c *Scheduler) newWorker(info workerdriver.Worker) *worker {
	w := &worker{
		info: info, candidateIndex: -1, placements: make(map[steptracker.TaskKey]*placement),
		fencingToken: c.fencingToken, leaseEndsAt: c.inheritedLeaseEnd(),
	}
	c.addWorker(w)
	return w
}

// addWorker adds a worker.
func (c *Scheduler) addWorker(w *worker) {
	c.workers[w.info.Worker] = w
	c.workerOrder = nil
}

// mayObeyOrders reports whether an order to the worker may still be answered or carried out, or an end of a run that it
// has listed is not written yet. Its next incarnation under the ID needs a token higher than those of these orders.
func (w *worker) mayObeyOrders(now time.Time) bool {
	return w.syncInFlight || w.lastEnd > w.lastWrittenEnd || now.Sub(w.orderedAt) <= lateOrderPeriod
}

// removeWorker removes a worker.
func (c *Scheduler) removeWorker(w *worker) {
	w.removed = true
	c.replaceStrays(w, nil)
	delete(c.workers, w.info.Worker)
	c.workerOrder = nil
}

// sortedWorkers returns all workers sorted by ID. The slice is not changed by later calls.
func (c *Scheduler) sortedWorkers() []*worker {
	if c.workerOrder == nil {
		c.workerOrder = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return strings.Compare(a.info.Worker, b.info.Worker) })
	}
	return c.workerOrder
}

// minChecksPerTick is the number of workers checked at each tick. Of more workers a fifth is checked, so
// that each one is checked every 100 ms, which is less than the shortest timeout.
const minChecksPerTick = 100

// checkWorkers handles the expired timeouts of some workers and their runs, in turn.
func (c *Scheduler) checkWorkers() {
	workers := c.sortedWorkers()
	for range min(len(workers), max(minChecksPerTick, (len(workers)+4)/5)) {
		if c.checkFrom >= len(workers) {
			c.checkFrom = 0
		}
		c.checkWorker(workers[c.checkFrom])
		c.checkFrom++
	}
}

// lapsedRuns returns the runs on a silent worker whose lease is over. A start order that was not answered may have been
// carried out by an incarnation that has not been listed and has granted the longest lease.
func (c *Scheduler) lapsedRuns(w *worker) []*placement {
	if len(w.placements) == 0 || !c.now.After(w.leaseEndsAt) || c.now.Sub(w.lastReplyAt) <= c.unresponsiveAfter() {
		return nil
	}
	longestEnded := c.now.After(w.extendedAt.Add(responseTimeout + c.longestLease()))
	var lapsed []*placement
	for _, p := range w.placements {
		if longestEnded || p.state != runSending && p.state != runInDoubt && !p.copyInDoubt {
			lapsed = append(lapsed, p)
		}
	}
	return lapsed
}

// checkWorker handles the expired timeouts of a worker and its runs.
func (c *Scheduler) checkWorker(w *worker) {
	c.expireStrays(w)
	if !w.syncInFlight && (w.listed || len(w.placements) > 0) {
		c.syncWorker(w)
	}
	// All runs that a worker may have are over once its lease has certainly expired. New start
	// orders extend the lease, so only older runs are affected.
	if lapsed := c.lapsedRuns(w); len(lapsed) > 0 {
		c.Log.Warn("lease over", "worker", w.info.Worker, "places", len(w.placements), "lapsed", len(lapsed), "heard-ms-ago", c.now.Sub(w.lastReplyAt).Milliseconds(),
			"ended-ms-ago", c.now.Sub(w.leaseEndsAt).Milliseconds(), "clock-age-ms", w.clockAge(c.now).Milliseconds(), "clock-born", w.clockBorn, "born", w.info.StartMillis,
			"fence", w.fencingToken, "decided-late-ms", c.Clock.Since(c.now).Milliseconds())
		c.keepLapsedRuns(w, lapsed)
		for _, p := range lapsed {
			c.endRun(p, conclusion{reason: steptracker.LeaseExpired, by: byLeaseEnd}, "")
		}
		// The worker gets no lease before it has answered, so that the runs that are left lapse, too.
		w.synced, w.clockAt = false, time.Time{}
	}
	if !w.listed && len(w.placements) == 0 && c.now.After(w.leaseEndsAt) && !w.mayObeyOrders(c.now) && !c.hasLapsedRuns(w) {
		c.removeWorker(w)
		return
	}
	for _, p := range w.placements {
		c.checkPlacement(p)
	}
}
