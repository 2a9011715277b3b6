package cellscheduler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// isNeverSent reports whether an order without an answer has certainly not reached its worker.
func isNeverSent(err error) bool {
	var inDoubt *workerdriver.InDoubtError
	return errors.As(err, &inDoubt) && inDoubt.NeverSent
}

// markUnreachable records that the connection to a worker broke or cannot be established. The worker gets
// no new tasks until it answers a sync.
func (c *Scheduler) markUnreachable(w *worker) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = c.now
	}
}

// outlived reports whether a worker is known to have outlived the start of a run by the survival period.
// Only the worker's own clock counts, because replies arrive late while this instance is slow.
func (w *worker) outlived(p *placement) bool {
	return p.state == runStarted && time.Duration(w.latestClock-p.startClock) >= crashattributor.SurvivalPeriod
}

// startUnknown reports whether it is open when a run started. An order without an answer may be carried
// out late: if the worker has answered since it was sent and has not listed the run, the run had not
// started then.
func (w *worker) startUnknown(p *placement) bool {
	return p.state == runUnconfirmed || p.state == runInDoubt && w.latestClockAt.Sub(p.orderedAt) >= crashattributor.SurvivalPeriod
}

// maxLoggedRuns limits how many runs one log line names.
const maxLoggedRuns = 8

// recordCrash attributes the end of an incarnation of a worker to one of its runs, as far as possible, and
// records it with their tasks. The end of a draining worker is not a crash.
func (c *Scheduler) recordCrash(w *worker) {
	if w.crashRecorded || w.info.Draining {
		return
	}
	w.crashRecorded = true
	runs := append(c.attributeRuns(w, maps.Values(w.placements)), w.lapsed...)
	w.lapsed = nil
	var suspects []string
	for _, run := range runs {
		if run.verdict >= crashattributor.Suspected && len(suspects) < maxLoggedRuns {
			suspects = append(suspects, run.key.String())
		}
		c.recordCrashOfRun(run)
	}
	slices.Sort(suspects)
	c.Metrics.WorkerCrashed(len(runs))
	var unreachable time.Duration
	if !w.unreachableSince.IsZero() {
		unreachable = c.now.Sub(w.unreachableSince)
	}
	c.Log.Warn("worker crashed", "worker", w.info.Worker, "born", w.info.StartMillis, "runs", len(runs), "suspects", suspects,
		"answered-ms-ago", c.now.Sub(w.lastReplyAt).Milliseconds(), "unreachable-ms", unreachable.Milliseconds())
}

// onEarlierIncarnation reports whether the run was assigned to an incarnation of its worker that has ended.
func (p *placement) onEarlierIncarnation() bool {
	task := p.job.progress.Task(p.key)
	return !p.startedAt.IsZero() || task != nil && task.AssignedTo.StartMillis != 0 && task.AssignedTo.StartMillis < p.worker.info.StartMillis
}

// recordUnprovedRun records the crash of a worker with a run that an earlier owner assigned to it. Whether
// the run had started is not known, and so neither whether it was the cause.
func (c *Scheduler) recordUnprovedRun(p *placement) {
	if !p.crashRecorded {
		c.recordCrashOfRun(runVerdict{job: p.job, key: p.key, verdict: crashattributor.Unknown})
	}
}

// recordCrashOfRun records a crash with the task of one run. If the task is given up, its job fails.
func (c *Scheduler) recordCrashOfRun(run runVerdict) {
	task := run.job.progress.Task(run.key)
	if task == nil || task.Done || run.job.progress.State.Final() {
		return
	}
	history := &task.CrashHistory
	history.RecordCrash(run.verdict)
	if run.verdict == crashattributor.Cleared && run.job.definition.Steps[run.key.Step].LongRunning {
		*history = crashattributor.History{}
	}
	c.markDirty(run.job, nil)
	if history.GivenUp() {
		c.Log.Warn("task given up", "task", run.key.String(), "queue", run.job.progress.Queue, "crashes", history.Crashes, "attributed", history.Attributed)
		c.Metrics.TaskGivenUp()
		c.updateFinalState(run.job)
	}
}

// runVerdict is the verdict on a run if its worker has crashed.
type runVerdict struct {
	job     *job
	key     steptracker.TaskKey
	verdict crashattributor.Verdict
}

// attributeRuns returns those of some runs that a worker may be executing, with their verdicts if it has crashed.
func (c *Scheduler) attributeRuns(w *worker, placements iter.Seq[*placement]) []runVerdict {
	var verdicts []runVerdict
	var runs []crashattributor.Run
	for p := range placements {
		if p.state == runUnsent || p.state == runSending || p.onUnlisted {
			// A start order that was sent before the crash would have failed by now.
			continue
		}
		p.crashRecorded = true
		verdicts = append(verdicts, runVerdict{job: p.job, key: p.key})
		runs = append(runs, crashattributor.Run{
			Job: p.job.id, Outlived: w.outlived(p), StartUnknown: w.startUnknown(p), Isolated: p.isolated,
		})
	}
	for i, verdict := range crashattributor.Attribute(runs) {
		verdicts[i].verdict = verdict
	}
	return verdicts
}

// lapsedRetention is how long after the lease has expired a worker that restarts counts as crashed.
const lapsedRetention = 30 * time.Second

// keepLapsedRuns keeps the runs of a worker whose lease has expired, until it is known whether the worker
// has crashed.
func (c *Scheduler) keepLapsedRuns(w *worker, lapsed []*placement) {
	if !w.info.Draining {
		w.lapsed, w.lapsedAt = append(w.lapsed, c.attributeRuns(w, slices.Values(lapsed))...), c.now
	}
}

func (c *Scheduler) hasLapsedRuns(w *worker) bool {
	return len(w.lapsed) > 0 && c.now.Sub(w.lapsedAt) < lapsedRetention
}
