package cellscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// pacedWait is how long a worker may wait for an end before it answers, where filling work runs
// beside serving tasks: the figures of the serving tasks are half a second old at most.
const pacedWait = 400 * time.Millisecond

// mixes tells whether filling work runs beside serving tasks on a worker.
func (w *worker) mixes() bool {
	serves, fills := false, false
	for _, p := range w.placements {
		serves = serves || p.step.TailTarget > 0
		fills = fills || p.step.BestEffort
	}
	return serves && fills
}

// repace brings the share of a worker's filling work into line with the tails of its serving tasks.
func (c *Scheduler) repace(w *worker) {
	percent := 100
	if w.mixes() {
		if w.share == nil {
			w.share = cputhrottler.New()
		}
		worst := 0.0
		for _, p := range w.placements {
			if p.step.TailTarget > 0 && p.state == runStarted {
				worst = max(worst, cputhrottler.TargetRatio(time.Duration(p.gauge)*time.Millisecond, p.step.TailTarget))
			}
		}
		percent = w.share.Update(worst, c.now)
	} else {
		w.share = nil
	}
	for _, p := range w.placements {
		if p.step.BestEffort && p.state == runStarted && p.cpuPercent != percent {
			c.orderPace(p, percent)
		}
	}
}

func (c *Scheduler) orderPace(p *placement, percent int) {
	before := p.cpuPercent
	p.cpuPercent = percent
	c.Log.Info("paced", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "percent", percent)
	info := p.worker.info
	order := workerdriver.Throttle{Task: p.key, Run: p.run, Percent: percent, FencingToken: c.claim.FencingToken}
	c.group.Go(func() {
		if err := c.WorkerClient.Throttle(c.ctx, &info, order); err != nil {
			c.post(func() {
				// The next list has it ordered again.
				p.cpuPercent = before
				c.Log.Warn("not paced", "task", order.Task.String(), "run", order.Run, "error", err)
			})
		}
	})
}
