package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// durationRatio is what is known of a queue's work.
type durationRatio struct {
	// ratio is how long tasks take against their callers' estimates.
	ratio   float64
	samples int
}

const (
	// learnWeight is the weight of the latest run in what is learned.
	learnWeight = 0.1
	// paceWeight is the weight of the latest run in a worker's pace.
	paceWeight = 0.3
	// grey is the share of failed runs from which a worker is set aside.
	grey = 0.6
	// quarantine is how long a worker is set aside before it is tried again.
	quarantine = 3 * time.Second
)

// pace is how a worker does against the others.
type pace struct {
	// ratio is how long runs take there against what they take elsewhere.
	ratio float64
	// failing is a running share of runs that failed by themselves.
	failing  float64
	setAside time.Time
}

func (p *pace) slowness() float64 {
	slowness := 1.0
	if p.ratio > 0 {
		slowness = p.ratio
	}
	return slowness + p.failing
}

func (p *pace) quarantined(now time.Time) bool { return now.Before(p.setAside) }

// learn takes in how a run went.
func (c *Scheduler) learn(p *placement, how steptracker.EndReason) {
	w := p.worker
	switch how {
	case steptracker.Done:
		w.pace.failing *= 1 - paceWeight
		c.learnDuration(p)
	case steptracker.TaskFailed:
		w.pace.failing += paceWeight * (1 - w.pace.failing)
		if s := p.job.steps[p.key.StepKey]; s != nil {
			if s.failedOn == nil {
				s.failedOn = make(map[string]bool)
			}
			s.failedOn[w.info.Worker] = true
		}
		if w.pace.failing > grey {
			w.pace.setAside = c.now.Add(quarantine)
			w.pace.failing = grey
			c.Log.Warn("worker set aside", "worker", w.info.Worker, "until", w.pace.setAside)
		}
	case steptracker.Stopped, steptracker.LeaseExpired, steptracker.Broken, steptracker.Alone, steptracker.NeverStarted, steptracker.WorkerLost:
	}
}

func (c *Scheduler) learnDuration(p *placement) {
	if p.step.Estimate <= 0 || p.startedAt.IsZero() || p.step.LongRunning {
		return
	}
	ratio := float64(c.now.Sub(p.startedAt)) / float64(p.step.Estimate)
	l := c.durationRatios[p.job.progress.Queue]
	if l == nil {
		l = &durationRatio{ratio: ratio}
		c.durationRatios[p.job.progress.Queue] = l
	}
	l.samples++
	usual := l.ratio
	l.ratio += learnWeight * (ratio - l.ratio)
	pace := &p.worker.pace
	if pace.ratio == 0 {
		pace.ratio = 1
	}
	if usual > 0 {
		pace.ratio += paceWeight / 2 * (ratio/usual - pace.ratio)
	}
}

// duration is how long a task of a step is expected to take.
func (c *Scheduler) duration(j *job, step int) time.Duration {
	estimate := j.definition.Steps[step].Estimate
	if l := c.durationRatios[j.progress.Queue]; l != nil && l.ratio > 0 {
		return time.Duration(float64(estimate) * l.ratio)
	}
	return estimate
}
