package partitionscheduler

import (
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

// ApplyWorkers brings the sites in line with the platform's list and the racks of the partition.
func (p *Partition) ApplyWorkers() {
	object, found := p.Tickets().PartitionNamed(p.name)
	workers := p.Workers()
	if !found || workers == nil || p.yielded() {
		return
	}
	racks := make(map[string]bool, len(object.Racks))
	for _, rack := range object.Racks {
		racks[rack] = true
	}
	var mine []modeler.Worker
	for _, worker := range workers {
		if worker.Region == object.Region && racks[worker.Rack] {
			mine = append(mine, worker)
		}
	}
	p.roster.Apply(mine)
	p.settle()
}

// ApplyTickets moves workers to the pools that the tickets name now.
func (p *Partition) ApplyTickets() {
	for site := range p.roster.Len() {
		pool, _ := p.Tickets().PoolOf(p.roster.Worker(site).Rack)
		p.cell.SetPool(site, pool)
	}
	p.ApplyWorkers()
	p.dirty = true
}

// Listed makes room for a new site. The cell numbers its workers in the same order as the roster.
func (p *Partition) Listed(_ int, worker modeler.Worker) {
	pool, _ := p.Tickets().PoolOf(worker.Rack)
	p.cell.Add(worker, pool)
	p.tasks = append(p.tasks, make(map[place]struct{}))
}

// Changed lets a site take new work or keeps it from doing so.
func (p *Partition) Changed(site int, usable bool) {
	p.cell.SetUsable(site, usable)
	p.dirty = true
	p.settle()
}

// Running adopts a task that a worker showed when it was fenced.
func (p *Partition) Running(site int, running connector.RunningTask) {
	if p.isOutdated(running.Attempt) {
		return
	}
	worker := p.roster.Worker(site).Name
	boot := p.roster.Boot(site)
	if !p.book.AdoptRunning(site, worker, boot, running) {
		p.Log.Warn("adopted worker runs a task that is over or elsewhere; stopping it", "worker", worker, "attempt", running.Attempt.ID())
		link := p.roster.Link(site)
		go link.Stop(running.Attempt, boot)
		return
	}
	job := p.book.Find(running.Attempt.Key)
	p.cell.Reserve(site, job.Spec.Needs, job.Spec.Class)
	p.occupy(site, job, running.Attempt.Task)
	if job.Cancelled {
		p.stopTask(job, running.Attempt.Task)
	}
}

// isOutdated tells whether an attempt shows that the partition has a later owner, and gives it up
// then. Workers that know only leases serve both owners, so that this may be the first that an
// owner which was cut off hears of its successor.
func (p *Partition) isOutdated(attempt modeler.Attempt) bool {
	if attempt.Partition != p.name || attempt.Epoch <= p.epoch {
		return false
	}
	p.deposed()
	return true
}

// occupy notes that a task holds a place that is reserved already.
func (p *Partition) occupy(site int, job *jobtracker.Job, task int) {
	p.tasks[site][place{job: job, task: task}] = struct{}{}
	p.used[job.Spec.Team] = p.used[job.Spec.Team].Plus(job.Spec.Needs)
}

// vacate gives the place of a task back, if it holds one.
func (p *Partition) vacate(job *jobtracker.Job, task int) {
	site := job.Tasks[task].WorkerIndex
	if site == jobtracker.NoWorker {
		return
	}
	held := place{job: job, task: task}
	if _, found := p.tasks[site][held]; !found {
		return
	}
	delete(p.tasks[site], held)
	p.cell.Release(site, job.Spec.Needs, job.Spec.Class)
	p.used[job.Spec.Team] = p.used[job.Spec.Team].Minus(job.Spec.Needs)
	p.dirty = true
}

// Emptied deals with all tasks of a worker that can't run any of them any more.
func (p *Partition) Emptied(site int) {
	gone := p.roster.IsGone(site)
	for held := range p.tasks[site] {
		t := &held.job.Tasks[held.task]
		if t.Phase == jobtracker.Starting && !gone {
			// The start is repeated until the worker answers, and a restarted one refuses it.
			continue
		}
		if t.Phase == jobtracker.Starting || t.Phase == jobtracker.Running {
			p.lose(held.job, held.task, "worker "+p.roster.Worker(site).Name+" was lost while it had the task")
		}
	}
}

// ask builds the placing question for so many tasks of a job.
func (p *Partition) ask(job *jobtracker.Job, tasks int) partitionplacer.Request {
	policy, _ := p.Tickets().PolicyOf(job.Spec.Team, job.Spec.Class)
	spread := job.Spec.Spread
	if spread == "" {
		spread = policy.Spread
	}
	return partitionplacer.Request{
		Class:  job.Spec.Class,
		Needs:  job.Spec.Needs,
		Pools:  policy.Pools,
		Tasks:  tasks,
		Spread: spread,
	}
}
