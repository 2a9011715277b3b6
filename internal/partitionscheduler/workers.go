package partitionscheduler

import (
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

// ApplyWorkers updates the workers of the partition from the platform's list and the partition's
// racks.
func (p *Partition) ApplyWorkers() {
	definition, found := p.Tickets().PartitionNamed(p.name)
	workers := p.Workers()
	if !found || workers == nil || p.handoverEnded() {
		return
	}
	racks := make(map[string]bool, len(definition.Racks))
	for _, rack := range definition.Racks {
		racks[rack] = true
	}
	var own []modeler.Worker
	for _, worker := range workers {
		if worker.Region == definition.Region && racks[worker.Rack] {
			own = append(own, worker)
		}
	}
	p.registrar.ApplyList(own)
	p.reconcile()
}

// ApplyTickets moves workers to the pools that the current tickets assign to their racks.
func (p *Partition) ApplyTickets() {
	for index := range p.registrar.Len() {
		pool, _ := p.Tickets().PoolOf(p.registrar.Worker(index).Rack)
		p.placer.SetPool(index, pool)
	}
	p.ApplyWorkers()
	p.dirty = true
}

// WorkerListed adds a new worker. The placer and the registrar number the workers in the same order.
func (p *Partition) WorkerListed(_ int, worker modeler.Worker) {
	pool, _ := p.Tickets().PoolOf(worker.Rack)
	p.placer.Add(worker, pool)
	p.placed = append(p.placed, make(map[taskRef]struct{}))
	p.usable = append(p.usable, false)
}

// UsabilityChanged sets whether a worker may get new tasks.
func (p *Partition) UsabilityChanged(index int, usable bool) {
	if p.usable[index] != usable {
		p.usable[index] = usable
		p.updateUsability(index)
	}
	p.reconcile()
}

// CapacityChanged changes the capacity of a worker. Tasks that run there stay.
func (p *Partition) CapacityChanged(index int, capacity modeler.Resources) {
	p.placer.SetCapacity(index, capacity)
	p.dirty = true
}

// TaskRunning adopts a task that a worker reported as running when it was fenced.
func (p *Partition) TaskRunning(index int, running connector.RunningTask) {
	if p.hasLaterOwner(running.Attempt) {
		return
	}
	worker := p.registrar.Worker(index).Name
	boot := p.registrar.Boot(index)
	if !p.tracker.AdoptRunning(index, worker, boot, running) {
		p.Log.Warn("worker runs a task that has ended or is assigned elsewhere; stopping it", "worker", worker, "attempt", running.Attempt.ID())
		link := p.registrar.Link(index)
		go link.Stop(running.Attempt, boot)
		return
	}
	job := p.tracker.Find(running.Attempt.Key)
	p.placer.Reserve(index, job.Spec.Needs, job.Spec.Class)
	p.recordPlacement(index, job, running.Attempt.Task)
	if job.Cancelled {
		p.stopTask(job, running.Attempt.Task)
	}
}

// hasLaterOwner reports whether an attempt shows that the partition has a later owner; if so, it
// also reports the loss of ownership. Workers that are fenced by leases alone serve both owners, so
// an owner that was cut off may first learn of its successor here.
func (p *Partition) hasLaterOwner(attempt modeler.Attempt) bool {
	if attempt.Partition != p.name || attempt.Epoch <= p.epoch {
		return false
	}
	p.loseOwnership()
	return true
}

// recordPlacement records a task for which resources are already reserved on a worker.
func (p *Partition) recordPlacement(index int, job *jobtracker.Job, task int) {
	p.placed[index][taskRef{job: job, task: task}] = struct{}{}
	p.usedByTeam[job.Spec.Team] = p.usedByTeam[job.Spec.Team].Plus(job.Spec.Needs)
}

// releasePlace releases the resources reserved for a task, if there are any.
func (p *Partition) releasePlace(job *jobtracker.Job, task int) {
	index := job.Tasks[task].WorkerIndex
	if index == jobtracker.NoWorker {
		return
	}
	ref := taskRef{job: job, task: task}
	if _, found := p.placed[index][ref]; !found {
		return
	}
	delete(p.placed[index], ref)
	p.endIsolation(index, ref)
	p.placer.Release(index, job.Spec.Needs, job.Spec.Class)
	p.usedByTeam[job.Spec.Team] = p.usedByTeam[job.Spec.Team].Minus(job.Spec.Needs)
	p.dirty = true
}

// TasksLost handles the tasks of a worker that can no longer run any of them.
func (p *Partition) TasksLost(index int) {
	gone := p.registrar.IsGone(index)
	for ref, verdict := range p.attributeCrash(index) {
		if ref.job.Tasks[ref.task].Phase == jobtracker.Starting && !gone {
			// The start is retried until the worker answers; a restarted worker refuses it.
			p.crashVerdicts[ref] = verdict
			continue
		}
		p.loseTask(ref.job, ref.task, verdict, "worker "+p.registrar.Worker(index).Name+" was lost while the task was assigned to it")
	}
}

// placementRequest returns the placement request for a number of tasks of a job.
func (p *Partition) placementRequest(job *jobtracker.Job, tasks int) partitionplacer.Request {
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
