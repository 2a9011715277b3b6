package cellscheduler

import (
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// isolatedWorkersDivisor limits the workers with isolated runs to this fraction of all workers while
	// all are in use, so that tasks that crash their workers take down few of them at a time.
	// minIsolatedWorkers are always allowed.
	isolatedWorkersDivisor = 8
	minIsolatedWorkers     = 2
	// maxStartDeferral is how long the start of an isolated run waits for the runs beside it. It is
	// shorter than the lifetime of a placement token.
	maxStartDeferral = 800 * time.Millisecond
)

// observeClock records a reading of a worker's clock and ends the isolation of the runs whose starts the
// worker has outlived.
func (c *Scheduler) observeClock(w *worker, clock workerdriver.Clock) {
	w.latestClock, w.latestClockAt = max(w.latestClock, clock), c.now
	if w.isolatedRuns == 0 {
		return
	}
	for _, p := range w.placements {
		if p.isolated && w.outlived(p) && !p.crashesLate() {
			c.endIsolation(p)
		}
	}
}

// crashesLate reports whether the run must stay isolated until it ends. Long-running tasks are isolated
// at their start only: they see crashes for other reasons sooner or later.
func (p *placement) crashesLate() bool {
	task := p.job.progress.Task(p.key)
	return task != nil && !p.step.LongRunning && task.CrashHistory.CrashesLate()
}

// needsIsolation reports whether the next run of a task of the step must be isolated.
func (s *step) needsIsolation(task int) bool {
	history := &s.tasks[task].CrashHistory
	if s.def.LongRunning {
		return history.Suspected > 0
	}
	return history.NeedsIsolation()
}

// unassignedTasks returns the indexes of the tasks that wait for a worker, those that need isolation apart from the
// others. A gang is isolated as a whole.
func (s *step) unassignedTasks() (ordinary, suspects []int) {
	for i := range s.tasks {
		switch {
		case !s.isWaiting(i):
		case s.needsIsolation(i):
			suspects = append(suspects, i)
		default:
			ordinary = append(ordinary, i)
		}
	}
	if s.def.Gang && len(suspects) > 0 {
		suspects = append(suspects, ordinary...)
		slices.Sort(suspects)
		return nil, suspects
	}
	return ordinary, suspects
}

// hasOrdinaryTask reports whether the step has an unassigned task that does not need isolation.
func (s *step) hasOrdinaryTask() bool {
	ordinary, suspect := false, false
	for i := range s.tasks {
		if s.isWaiting(i) {
			isolated := s.needsIsolation(i)
			ordinary, suspect = ordinary || !isolated, suspect || isolated
		}
	}
	return ordinary && !(s.def.Gang && suspect)
}

// mayIsolateOn reports whether a worker may take an isolated run: as long as there are few workers with
// isolated runs, any other one, and then those on which nothing runs.
func (c *Scheduler) mayIsolateOn(w *worker) bool {
	few := c.isolatedWorkers < max(minIsolatedWorkers, len(c.workers)/isolatedWorkersDivisor)
	return w.isolatedRuns == 0 && (few || len(w.placements) == 0)
}

// isolationCandidates returns the candidates that may take an isolated run.
func (c *Scheduler) isolationCandidates(candidates []cellplacer.Candidate) []cellplacer.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate cellplacer.Candidate) bool {
		return !c.mayIsolateOn(c.workers[candidate.Worker])
	})
}

// beginIsolation isolates a run that has just been placed.
func (c *Scheduler) beginIsolation(p *placement) {
	p.isolated = true
	if p.worker.isolatedRuns == 0 {
		c.isolatedWorkers++
	}
	p.worker.isolatedRuns++
}

// endIsolation ends the isolation of a run, if it is isolated.
func (c *Scheduler) endIsolation(p *placement) {
	if !p.isolated {
		return
	}
	p.isolated = false
	p.worker.isolatedRuns--
	if p.worker.isolatedRuns == 0 {
		c.isolatedWorkers--
		c.roundNeeded = true
	}
}

// deferIsolatedStart reports whether the start of an isolated run must wait because a run of another job
// has just started on the worker or is about to. No others follow, because the worker gets no new tasks.
func (c *Scheduler) deferIsolatedStart(p *placement) bool {
	if !p.isolated || c.now.Sub(p.placedAt) > maxStartDeferral {
		p.startDeferred = false
		return false
	}
	deferred := false
	for _, other := range p.worker.placements {
		deferred = deferred || other.job != p.job && other.state <= runStarted && !p.worker.outlived(other)
	}
	if deferred && !p.startDeferred {
		c.Log.Info("isolated start deferred", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker)
	}
	p.startDeferred = deferred
	if deferred && c.now.Sub(p.placedAt) > crashattributor.SurvivalPeriod {
		c.requestSurvivalListing(p)
	}
	return deferred
}

// checkIsolatedRun requests a listing when the survival period of an isolated run is over. The next
// regular sync may be answered much later.
func (c *Scheduler) checkIsolatedRun(p *placement) {
	if p.state == runStarted && c.now.Sub(p.startedAt) >= crashattributor.SurvivalPeriod && !p.crashesLate() {
		c.requestSurvivalListing(p)
	}
}

func (c *Scheduler) requestSurvivalListing(p *placement) {
	if !p.survivalRequested {
		p.survivalRequested = true
		c.requestListing(p.worker)
	}
}
