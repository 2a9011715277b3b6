package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/absenceverifier"
	"dotterelpost.example/dotterelpost/internal/incarnationverifier"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// syncWorker sends the next sync to a worker if it is due.
func (c *Scheduler) syncWorker(w *worker) {
	if w.removed || w.syncInFlight || c.ownershipLost || !c.recovered || c.now.Before(w.nextSyncAt) {
		return
	}
	order := workerdriver.Sync{FencingToken: w.fencingToken}
	// A worker that did not answer may have restarted. Its new incarnation counts its ends anew and would discard those
	// up to the number.
	mayAcknowledge := w.syncFailures == 0 && w.incarnation.MayAcknowledge()
	if mayAcknowledge {
		order.AckedSequence = w.lastWrittenEnd
	} else if w.deferAcknowledgement(c.now) {
		return
	}
	switch {
	case !w.synced:
		// The first listing of an incarnation is requested without waiting.
	case w.lastEnd > w.lastWrittenEnd || !mayAcknowledge && w.lastWrittenEnd > w.acknowledgedEnd:
		// The worker would repeat its unacknowledged ends at once, so there is nothing to wait for.
	case w.hasMixedLoad():
		order.MaxWait = throttledSyncWait
	default:
		order.MaxWait = c.syncWait()
	}
	switch {
	case w.clockAt.IsZero() || !c.OwnershipConfirmed():
	case w.synced && (!w.unreachableSince.IsZero() || c.now.Sub(w.lastReplyAt) > c.unresponsiveAfter()):
		// An unanswered order may have arrived, so each one that extends the lease postpones the
		// time at which the worker's runs are certainly over. The lease is extended again after
		// the first answer.
		order.MaxWait = 0
	default:
		order.LeaseExpiry = c.extendLease(w)
	}
	w.syncInFlight, w.orderedAt = true, c.now
	info := w.info
	sentAt := c.now
	c.group.Go(func() {
		listing, err := c.WorkerClient.Sync(c.ctx, &info, order)
		c.post(func() {
			w.syncInFlight = false
			if w.removed {
				return
			}
			if err != nil {
				c.syncFailed(w, order.FencingToken, err)
				return
			}
			if listing.StartMillis == w.info.StartMillis {
				w.acknowledgedEnd = max(w.acknowledgedEnd, order.AckedSequence)
			}
			c.syncAnswered(w, listing, order.FencingToken, sentAt)
		})
	})
}

// deferAcknowledgement reports whether a sync should wait for the answer to a start order, after which it may
// acknowledge ends. It does not wait for long, because ends of runs become known from the answer.
func (w *worker) deferAcknowledgement(now time.Time) bool {
	if w.lastWrittenEnd <= w.acknowledgedEnd || !w.incarnation.AwaitsAnswer() || !w.synced || w.syncFailures > 0 || w.acknowledgementDeferred {
		w.acknowledgementDeferred = false
		return false
	}
	w.acknowledgementDeferred = true
	w.nextSyncAt = now.Add(initialRetryDelay)
	return true
}

// verifyIncarnation records the answer to a start order, and sends the sync that has waited for it. It reports false if
// another incarnation than the listed one has carried out the order.
func (c *Scheduler) verifyIncarnation(w *worker, sent incarnationverifier.Start, header workerdriver.ReplyHeader, err error) bool {
	same := true
	var refused *workerdriver.RefusedError
	switch {
	case err == nil && !header.Unanswered:
		if same = w.incarnation.StartAnswered(sent, header.Clock, c.now); !same {
			c.assumeLongestLease(w)
			c.requestListing(w)
		}
	case errors.As(err, &refused) || isNeverSent(err):
		w.incarnation.StartRefused(sent)
	default:
		w.incarnation.StartUnanswered(sent, c.now)
	}
	if w.acknowledgementDeferred && !w.incarnation.AwaitsAnswer() {
		w.nextSyncAt = c.now
		c.syncWorker(w)
	}
	return same
}

// extendLease returns the end, on the worker's clock, of a lease that starts now, and updates the
// latest time at which it expires.
func (c *Scheduler) extendLease(w *worker) workerdriver.Clock {
	since := c.now.Sub(w.clockAt)
	slack := time.Duration(maxClockDrift * float64(since+c.settings.Lease) * 1.1)
	if endsAt := c.now.Add(c.settings.Lease + slack); endsAt.After(w.leaseEndsAt) {
		w.leaseEndsAt = endsAt
	}
	w.extendedAt = c.now
	return w.clock + workerdriver.Clock(since+c.settings.Lease)
}

// updateClock updates a worker's clock and incarnation from a reply. It reports false if the
// reply is from an older incarnation.
func (c *Scheduler) updateClock(w *worker, header workerdriver.ReplyHeader) bool {
	if header.StartMillis != 0 && header.StartMillis != w.info.StartMillis {
		if header.StartMillis < w.info.StartMillis {
			return false
		}
		c.workerRestarted(w, header.StartMillis)
	}
	w.clock, w.clockAt, w.clockBorn = header.Clock, c.now, header.StartMillis
	c.observeClock(w, header.Clock)
	return true
}

func (c *Scheduler) syncAnswered(w *worker, listing workerdriver.SyncReply, token int64, sentAt time.Time) {
	if c.now.Sub(sentAt) > c.unresponsiveAfter() && w.syncFailures > 0 {
		c.Log.Info("worker answers again", "worker", w.info.Worker)
	}
	w.syncFailures, w.unreachableSince = 0, time.Time{}
	c.noteClock(w, listing.ReplyHeader, sentAt)
	if !c.updateClock(w, listing.ReplyHeader) {
		w.nextSyncAt = c.now.Add(initialRetryDelay)
		return
	}
	w.lastReplyAt = c.now
	w.incarnation.Listed(sentAt, listing.Clock, c.now)
	c.processEnds(w, listing.Ended, sentAt)
	c.reconcileRunning(w, listing, token, sentAt)
	c.updateThrottle(w)
	if !w.synced {
		w.synced, w.hasListed = true, true
		c.roundNeeded = true
		if w.restarted {
			// Until now the incarnation has obeyed orders with the token of the one before.
			w.restarted = false
			c.assumeLongestLease(w)
		}
		c.Log.Info("worker listed", "worker", w.info.Worker, "running", len(listing.Running), "ended", len(listing.Ended), "fence", w.fencingToken)
	}
	if w.lastEnd > w.lastWrittenEnd {
		lastEnd, startMillis, processedAt := w.lastEnd, w.info.StartMillis, c.now
		w.nextSyncAt = c.now.Add(unwrittenSyncDelay)
		c.afterWrites(func() {
			if w.info.StartMillis != startMillis {
				return
			}
			if lastEnd > w.lastWrittenEnd {
				c.Metrics.EndsWritten(lastEnd-w.lastWrittenEnd, c.now.Sub(processedAt))
			}
			w.lastWrittenEnd = max(w.lastWrittenEnd, lastEnd)
			w.nextSyncAt = c.now
			c.syncWorker(w)
		})
		return
	}
	w.nextSyncAt = c.now
	c.syncWorker(w)
}

func (c *Scheduler) syncFailed(w *worker, token int64, err error) {
	if token != w.fencingToken {
		// The order was meant for an earlier incarnation, and says nothing about this one.
		w.nextSyncAt = c.now
		c.syncWorker(w)
		return
	}
	w.syncFailures++
	if w.syncFailures == 1 || w.syncFailures%16 == 0 {
		c.Log.Warn("worker does not answer", "worker", w.info.Worker, "failures", w.syncFailures, "places", len(w.placements),
			"answered-ms-ago", c.now.Sub(w.lastReplyAt).Milliseconds(), "error", err)
	}
	w.nextSyncAt = c.now.Add(min(initialRetryDelay*time.Duration(w.syncFailures), maxRetryDelay))
	var refused *workerdriver.RefusedError
	if !errors.As(err, &refused) {
		c.markUnreachable(w)
		if w.syncFailures == 1 {
			// If only the connection broke, the worker answers on a new one.
			w.nextSyncAt = c.now
		}
		return
	}
	switch refused.Reason {
	case workerdriver.StaleFencingToken:
		c.loseOwnership("worker " + w.info.Worker + " has seen a higher fencing token")
	case workerdriver.Unhealthy:
		w.avoidUntil = c.now.Add(unhealthyBackoff)
	case workerdriver.WrongIncarnation:
		c.workerReplaced(w)
	case workerdriver.StaleRun, workerdriver.OrderExpired, workerdriver.InsufficientCapacity, workerdriver.NoPlacementToken, workerdriver.Malformed:
	}
}

// processEnds handles the ends of runs that were not processed before.
func (c *Scheduler) processEnds(w *worker, ended []workerdriver.EndedTask, sentAt time.Time) {
	for i := range ended {
		e := &ended[i]
		if e.Sequence <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Sequence
		j := c.jobs[e.Task.Job]
		if j == nil {
			c.noteForeignEnd(w, e)
			continue
		}
		p := j.placements[e.Task]
		if p == nil || p.run != e.Run || p.worker != w {
			c.noteForeignEnd(w, e)
			c.adoptEnd(j, e)
			continue
		}
		if task := j.progress.Task(e.Task); task != nil {
			task.CrashHistory.RecordSurvival()
		}
		c.endRun(p, conclusion{reason: e.Reason, by: byListedEnd, sequence: e.Sequence, listRequestedAt: sentAt}, e.Checkpoint)
	}
}

// reconcileRunning compares a worker's listing, which was requested with a token, with its placements.
func (c *Scheduler) reconcileRunning(w *worker, listing workerdriver.SyncReply, token int64, sentAt time.Time) {
	c.countStrays(w, listing)
	listed := make(map[steptracker.TaskKey]int, len(listing.Running)+len(listing.Ended))
	// A run whose end is listed is not lost. Its end is processed with the sync that may
	// acknowledge it.
	for i := range listing.Ended {
		listed[listing.Ended[i].Task] = listing.Ended[i].Run
	}
	for i := range listing.Running {
		running := &listing.Running[i]
		listed[running.Task] = running.Run
		p := w.placements[running.Task]
		if p == nil || p.run != running.Run {
			c.stopStrayRun(w, running, sentAt)
			continue
		}
		c.runListed(p, running)
	}
	absence := absenceverifier.Listing{RequestedAt: sentAt, AllEnds: listing.AllEnds}
	for _, p := range w.placements {
		if run, found := listed[p.key]; found && run == p.run {
			continue
		}
		if p.state == runUnconfirmed && token != w.fencingToken {
			// The list was requested before the restart was known. Start orders may have reached the new incarnation
			// after the list was made.
			continue
		}
		reason, proven := absence.Verify(p.absentRun())
		if !proven {
			continue
		}
		if p.state == runUnconfirmed && reason == steptracker.WorkerLost {
			c.recordUnprovedRun(p)
		}
		c.endRun(p, conclusion{reason: reason, by: byAbsence, listRequestedAt: sentAt}, "")
	}
}

// absentRun returns what is known about a run that its worker does not list.
func (p *placement) absentRun() absenceverifier.Run {
	run := absenceverifier.Run{StartedAt: p.startedAt, StopConfirmedAt: p.stopConfirmedAt, OnEarlierIncarnation: p.onEarlierIncarnation()}
	switch p.state {
	case runStarted:
		run.State = absenceverifier.Started
	case runInDoubt:
		run.State = absenceverifier.InDoubt
	case runUnconfirmed:
		run.State = absenceverifier.Unconfirmed
	case runSending, runUnsent:
		run.State = absenceverifier.Unsettled
	}
	return run
}
