package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// throttledSyncWait replaces syncWait while best-effort tasks run beside serving tasks, so that
// the response times of the serving tasks are at most half a second old.
const throttledSyncWait = 400 * time.Millisecond

// hasMixedLoad reports whether a worker runs both best-effort and serving tasks.
func (w *worker) hasMixedLoad() bool {
	serving, bestEffort := false, false
	for _, p := range w.placements {
		serving = serving || p.step.TailTarget > 0
		bestEffort = bestEffort || p.step.BestEffort
	}
	return serving && bestEffort
}

// updateThrottle adjusts the CPU share of a worker's best-effort tasks to the tail latencies of
// its serving tasks.
func (c *Scheduler) updateThrottle(w *worker) {
	percent := 100
	if w.hasMixedLoad() {
		if w.throttler == nil {
			w.throttler = cputhrottler.New()
		}
		worst := 0.0
		for _, p := range w.placements {
			if p.step.TailTarget > 0 && p.state == runStarted {
				worst = max(worst, cputhrottler.TargetRatio(time.Duration(p.metric)*time.Millisecond, p.step.TailTarget))
			}
		}
		percent = w.throttler.Update(worst, c.now)
	} else {
		w.throttler = nil
	}
	for _, p := range w.placements {
		if p.step.BestEffort && p.state == runStarted && p.cpuPercent != percent {
			c.sendThrottle(p, percent)
		}
	}
}

func (c *Scheduler) sendThrottle(p *placement, percent int) {
	before := p.cpuPercent
	p.cpuPercent, p.worker.neighboursChangedAt = percent, c.now
	c.Log.Info("paced", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "percent", percent)
	info := p.worker.info
	order := workerdriver.Throttle{Task: p.key, Run: p.run, Percent: percent, FencingToken: p.worker.fencingToken}
	c.group.Go(func() {
		if err := c.WorkerClient.Throttle(c.ctx, &info, order); err != nil {
			c.post(func() {
				// The order is sent again after the next sync.
				p.cpuPercent = before
				c.Log.Warn("throttle order failed", "task", order.Task.String(), "run", order.Run, "error", err)
			})
		}
	})
}
