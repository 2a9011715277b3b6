package cellscheduler

import (
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// lateStart is a run that is over and of which a start order was not answered, so that the worker may still
// carry it out. A worker refuses it unless it has restarted since.
type lateStart struct {
	task      steptracker.TaskKey
	run       int
	expiresAt time.Time
}

// lateOrderPeriod is for how long after it was sent an order may be carried out.
const lateOrderPeriod = 15 * time.Second

// keepLateStart remembers a run that is over if one of its start orders may still be carried out.
func (c *Scheduler) keepLateStart(p *placement) {
	if !p.copyInDoubt && p.state != runInDoubt {
		return
	}
	w := p.worker
	c.expireLateStarts(w)
	w.lateStarts = append(w.lateStarts, lateStart{task: p.key, run: p.run, expiresAt: p.orderedAt.Add(lateOrderPeriod)})
}

func (c *Scheduler) expireLateStarts(w *worker) {
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(late lateStart) bool { return c.now.After(late.expiresAt) })
}

// refuseLateStarts makes a worker that has restarted refuse the start orders that its previous incarnations have
// left unanswered. They are kept, because another restart voids the refusals again.
func (c *Scheduler) refuseLateStarts(w *worker) {
	c.expireLateStarts(w)
	for _, late := range w.lateStarts {
		info, order := w.info, workerdriver.Stop{Task: late.task, Run: late.run, FencingToken: w.fencingToken}
		c.group.Go(func() {
			if _, err := c.WorkerClient.Stop(c.ctx, &info, order); err != nil {
				c.Log.Warn("late start could not be ruled out", "task", order.Task.String(), "run", order.Run, "worker", info.Worker, "error", err)
			}
		})
	}
}

// doubtAgain puts a run back in doubt after its worker has restarted: the new incarnation has not refused the
// start orders that were not answered.
func (c *Scheduler) doubtAgain(p *placement) {
	p.state, p.stopReason, p.stopSent, p.stopConfirmedAt = runInDoubt, "", false, time.Time{}
	c.stopRun(p, "start not answered")
}
