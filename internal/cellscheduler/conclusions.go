package cellscheduler

import (
	"cmp"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// evidence is what the end of a run was concluded from, as logs name it.
type evidence string

const (
	byListedEnd      evidence = "listed-end"
	byAbsence        evidence = "absent-from-list"
	byRefusedStart   evidence = "start-refused"
	byUnsentStart    evidence = "never-sent"
	byLeaseEnd       evidence = "lease-over"
	byReplacedWorker evidence = "worker-replaced"
)

// conclusion is that a run has ended.
type conclusion struct {
	reason steptracker.EndReason
	by     evidence
	// sequence is the number of the listed end, 0 if there is none. listRequestedAt is when the worker's list was
	// requested, the zero time if the conclusion is not from a list.
	sequence        int64
	listRequestedAt time.Time
}

// neverSent is the conclusion about a run whose start order has certainly not reached its worker.
var neverSent = conclusion{reason: steptracker.NeverStarted, by: byUnsentStart}

// listAge returns the age of the list, 0 if the conclusion is not from a list.
func (e *conclusion) listAge(now time.Time) time.Duration {
	if e.listRequestedAt.IsZero() {
		return 0
	}
	return now.Sub(e.listRequestedAt)
}

// String returns the state as logs name it.
func (s placementState) String() string {
	switch s {
	case runUnsent:
		return "unsent"
	case runSending:
		return "sending"
	case runStarted:
		return "started"
	case runInDoubt:
		return "in-doubt"
	case runUnconfirmed:
		return "unconfirmed"
	}
	return "unknown"
}

// logEnd logs the end of a run.
func (c *Scheduler) logEnd(p *placement, end *conclusion) {
	w := p.worker
	var assignedBorn int64
	if task := p.job.progress.Task(p.key); task != nil && task.Run == p.run {
		assignedBorn = task.AssignedTo.StartMillis
	}
	c.Log.Info("ended", "task", p.key.String(), "run", p.run, "worker", w.info.Worker, "how", end.reason,
		"by", end.by, "state", p.state.String(), "sequence", end.sequence, "list-age-ms", end.listAge(c.now).Milliseconds(),
		"fence", w.fencingToken, "born", w.info.StartMillis, "assigned-born", assignedBorn,
		"ran-ms", p.elapsed(c.now).Milliseconds(), "ordered-ms-ago", p.sinceOrder(c.now).Milliseconds(), "stopping", p.stopReason)
}

// startFields returns the fields of a line about the result of a start order that was sent to an incarnation, and
// others.
func (p *placement) startFields(sentTo *workerdriver.Worker, token int64, header workerdriver.ReplyHeader, others ...any) []any {
	return append([]any{
		"task", p.key.String(), "run", p.run, "worker", sentTo.Worker, "zone", sentTo.AvailabilityZone,
		"way", cmp.Or(header.Relay, "direct"), "copies", header.Copies, "fence", token, "born", sentTo.StartMillis,
	}, others...)
}

// noteForeignEnd logs an end that is listed as done and is not of the current run of its task. Those that are recorded
// already are only listed again. So may be those of jobs whose tasks are no longer known, in the first list under this
// owner.
func (c *Scheduler) noteForeignEnd(w *worker, end *workerdriver.EndedTask) {
	if end.Reason != steptracker.Done || end.Task.Job == "" {
		return
	}
	run, state, current, known := 0, "unknown-job", "", false
	if j := c.jobs[end.Task.Job]; j != nil {
		state = "unknown-task"
		if task := j.progress.Task(end.Task); task != nil {
			if task.Done && task.Run == end.Run {
				return
			}
			run, state, current, known = task.Run, "unassigned", task.AssignedTo.Worker, true
			if task.Done {
				state = "done"
			}
		}
		if p := j.placements[end.Task]; p != nil {
			run, state, current = p.run, p.state.String(), p.worker.info.Worker
		} else if j.progress.State.Final() {
			state = string(j.progress.State)
		}
	}
	if !known && !w.hasListed {
		return
	}
	c.Metrics.ForeignEndListed()
	c.Log.Warn("done run is not current", "task", end.Task.String(), "run", end.Run, "worker", w.info.Worker, "born", w.info.StartMillis,
		"fence", w.fencingToken, "sequence", end.Sequence, "current-run", run, "current-state", state, "current-worker", current)
}

// unwrittenEnds returns the number of ends of runs that were processed and may not be written yet.
func (c *Scheduler) unwrittenEnds() int64 {
	var count int64
	for _, w := range c.workers {
		count += w.lastEnd - w.lastWrittenEnd
	}
	return count
}

// noteClock remembers the latest reading of a worker's clock in replies that name no incarnation, and logs once that
// the clock has gone back in a reply to a later order that names one. Then the reading was of another incarnation.
func (c *Scheduler) noteClock(w *worker, header workerdriver.ReplyHeader, sentAt time.Time) {
	switch {
	case header.StartMillis == 0:
		if header.Clock > w.unnamedClock {
			w.unnamedClock, w.unnamedClockAt = header.Clock, c.now
		}
		return
	case w.unnamedClock == 0 || header.StartMillis != w.info.StartMillis || !sentAt.After(w.unnamedClockAt):
		return
	case header.Clock < w.unnamedClock:
		c.Log.Warn("worker's clock went back", "worker", w.info.Worker, "born", header.StartMillis,
			"by-ms", time.Duration(w.unnamedClock-header.Clock).Milliseconds(), "read-ms-ago", c.now.Sub(w.unnamedClockAt).Milliseconds(),
			"lease-ends-ms", w.leaseEndsAt.Sub(c.now).Milliseconds(), "places", len(w.placements))
	}
	w.unnamedClock = 0
}
