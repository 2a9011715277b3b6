package cellscheduler

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// survivalPeriod is how long a worker must have outlived the start of a run before the run is known not
// to have crashed it by starting.
const survivalPeriod = 100 * time.Millisecond

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
func (w *worker) outlived(p *placement) bool {
	return !p.startedAt.IsZero() && w.clockAt.Sub(p.startedAt) >= survivalPeriod
}

// maxLoggedRuns limits how many runs one log line names.
const maxLoggedRuns = 8

// logCrash logs that an incarnation of a worker has ended, and which runs had just begun on it.
func (c *Scheduler) logCrash(w *worker) {
	if w.crashLogged || w.info.Draining {
		return
	}
	w.crashLogged = true
	runs := 0
	var recent []string
	for _, p := range w.placements {
		if p.state == runUnsent {
			continue
		}
		runs++
		if !w.outlived(p) && len(recent) < maxLoggedRuns {
			recent = append(recent, p.key.String())
		}
	}
	slices.Sort(recent)
	var unreachable time.Duration
	if !w.unreachableSince.IsZero() {
		unreachable = c.now.Sub(w.unreachableSince)
	}
	c.Metrics.WorkerCrashed(runs)
	c.Log.Warn("worker crashed", "worker", w.info.Worker, "born", w.info.StartMillis, "runs", runs, "recent", recent,
		"answered-ms-ago", c.now.Sub(w.clockAt).Milliseconds(), "unreachable-ms", unreachable.Milliseconds())
}
