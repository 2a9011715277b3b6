package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// durationRatio compares the durations of a queue's tasks with their estimates.
type durationRatio struct {
	// ratio is the moving average of actual duration divided by estimate.
	ratio   float64
	samples int
}

const (
	// durationWeight is the weight of the latest run in a queue's duration ratio.
	durationWeight = 0.1
	// healthWeight is the weight of the latest run in a worker's failure rate. Its weight in the
	// worker's duration ratio is half of that.
	healthWeight = 0.3
	// quarantineFailureRate is the failure rate above which a worker is quarantined.
	quarantineFailureRate = 0.6
	// quarantinePeriod is how long a quarantined worker gets no new tasks.
	quarantinePeriod = 3 * time.Second
)

// workerHealth compares a worker's results with those of other workers.
type workerHealth struct {
	// durationRatio is the moving average of run durations relative to the expected durations.
	durationRatio float64
	// failureRate is the moving average of the fraction of runs that ended with TaskFailed. Runs
	// that were stopped or lost do not count.
	failureRate      float64
	quarantinedUntil time.Time
	// speed is the worker's speed apart from the effects of neighbours.
	speed interferencedetector.Speed
}

// slowdown returns the slowdown of the worker as a placement candidate: its duration ratio, which is
// 1 for an average worker, plus its failure rate.
func (h *workerHealth) slowdown() float64 {
	slowdown := 1.0
	if h.durationRatio > 0 {
		slowdown = h.durationRatio
	}
	return slowdown + h.failureRate
}

func (h *workerHealth) isQuarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// recordRunEnd updates the health of the worker and the duration ratio of the queue after a run.
func (c *Scheduler) recordRunEnd(p *placement, reason steptracker.EndReason) {
	w := p.worker
	switch reason {
	case steptracker.Done:
		w.health.failureRate *= 1 - healthWeight
		c.recordDuration(p)
	case steptracker.TaskFailed:
		w.health.failureRate += healthWeight * (1 - w.health.failureRate)
		if s := p.job.steps[p.key.StepKey]; s != nil {
			if s.failedOn == nil {
				s.failedOn = make(map[string]bool)
			}
			s.failedOn[w.info.Worker] = true
		}
		if w.health.failureRate > quarantineFailureRate {
			w.health.quarantinedUntil = c.now.Add(quarantinePeriod)
			w.health.failureRate = quarantineFailureRate
			c.Log.Warn("worker set aside", "worker", w.info.Worker, "until", w.health.quarantinedUntil)
		}
	case steptracker.Stopped, steptracker.LeaseExpired, steptracker.Broken, steptracker.Alone, steptracker.NeverStarted, steptracker.WorkerLost:
	}
}

func (c *Scheduler) recordDuration(p *placement) {
	if p.step.Estimate <= 0 || p.startedAt.IsZero() || p.step.LongRunning {
		return
	}
	ratio := float64(c.now.Sub(p.startedAt)) / float64(p.step.Estimate)
	// What a known neighbour explains does not count against the worker.
	ratio /= c.recordInterference(p, ratio)
	r := c.durationRatios[p.job.progress.Queue]
	if r == nil {
		r = &durationRatio{ratio: ratio}
		c.durationRatios[p.job.progress.Queue] = r
	}
	r.samples++
	expected := r.ratio
	r.ratio += durationWeight * (ratio - r.ratio)
	health := &p.worker.health
	if health.durationRatio == 0 {
		health.durationRatio = 1
	}
	if expected > 0 {
		health.durationRatio += healthWeight / 2 * (ratio/expected - health.durationRatio)
	}
}

// expectedDuration returns how long a task of a step is expected to take.
func (c *Scheduler) expectedDuration(j *job, step int) time.Duration {
	estimate := j.definition.Steps[step].Estimate
	if r := c.durationRatios[j.progress.Queue]; r != nil && r.ratio > 0 {
		return time.Duration(float64(estimate) * r.ratio)
	}
	return estimate
}
