package owner

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/bookkeeper"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/placer"
)

// listsBeforeGone is how many lists in a row must lack a worker before it counts as gone: the list
// lags and may be wrong once.
const listsBeforeGone = 3

// applyWorkers brings the sites in line with the platform's list and the racks of the partition.
func (p *partition) applyWorkers() {
	object, found := p.control.tickets.PartitionNamed(p.name)
	if !found || p.control.workers == nil {
		return
	}
	racks := make(map[string]bool, len(object.Racks))
	for _, rack := range object.Racks {
		racks[rack] = true
	}
	listed := make(map[string]bool)
	for _, worker := range p.control.workers {
		if worker.Region != object.Region || !racks[worker.Rack] {
			continue
		}
		listed[worker.Name] = true
		p.applyWorker(worker)
	}
	for _, s := range p.sites {
		if listed[s.info.Name] {
			s.missing = 0
		} else {
			s.missing++
		}
	}
	p.settle()
}

func (p *partition) applyWorker(worker modeler.Worker) {
	index, found := p.byID[worker.Name]
	if found && !p.sites[index].gone {
		p.setLeaving(index, worker.Leaving)
		return
	}
	p.addSite(worker)
}

func (p *partition) addSite(worker modeler.Worker) {
	pool, _ := p.control.tickets.PoolOf(worker.Rack)
	index := p.cell.Add(worker, pool)
	s := &site{info: worker, leaving: worker.Leaving, tasks: make(map[place]struct{})}
	p.sites = append(p.sites, s)
	p.byID[worker.Name] = index
	terms := fencer.Terms{
		Partition:  p.name,
		Epoch:      p.epoch,
		Mode:       p.control.settings.Mode,
		TaskLease:  p.control.settings.TaskLease,
		Wait:       p.control.settings.Mode.Wait(p.agreed),
		OwnedUntil: p.control.OwnedUntil,
	}
	s.link, s.closer = fencer.NewLink(worker, terms, &listener{partition: p, site: index}, p.control.Platform, p.control.Clock)
}

// applyTickets moves workers to the pools that the tickets name now.
func (p *partition) applyTickets() {
	for index, s := range p.sites {
		pool, _ := p.control.tickets.PoolOf(s.info.Rack)
		p.cell.SetPool(index, pool)
	}
	p.applyWorkers()
	p.dirty = true
}

func (p *partition) setLeaving(index int, leaving bool) {
	s := p.sites[index]
	if s.leaving == leaving {
		return
	}
	s.leaving = leaving
	p.control.Log.Info("worker leaving", "worker", s.info.Name, "leaving", leaving)
	p.updateUsable(index)
}

func (p *partition) updateUsable(index int) {
	s := p.sites[index]
	p.cell.SetUsable(index, s.fenced && s.written && !s.leaving && !s.gone)
	p.dirty = true
}

// listener hands what a link reports to the control goroutine.
type listener struct {
	partition *partition
	site      int
}

func (l *listener) Fenced(reply connector.FenceReply) {
	p := l.partition
	p.post(func() { p.whenLoaded(func() { p.fenced(l.site, reply) }) })
}

func (l *listener) Synced(reply connector.SyncReply) {
	p := l.partition
	p.post(func() { p.whenLoaded(func() { p.synced(l.site, reply) }) })
}

func (l *listener) Deposed() {
	p := l.partition
	p.post(p.deposed)
}

// deposed gives the partition up: somebody obeys another owner already.
func (p *partition) deposed() {
	p.control.Log.Warn("deposed", "partition", p.name, "epoch", p.epoch)
	delete(p.control.partitions, p.name)
	p.close()
	go p.control.Deposed(p.name)
}

// fenced adopts a worker's list.
func (p *partition) fenced(index int, reply connector.FenceReply) {
	s := p.sites[index]
	s.boot = reply.Boot
	s.records = newTally(reply)
	for _, running := range reply.Running {
		p.adoptRunning(index, running)
	}
	for _, record := range reply.Ended {
		p.handleRecord(index, record)
	}
	s.fenced = true
	delete(p.absent, s.info.Name)
	p.addWorker(index)
	p.settle()
}

// addWorker has it written that tasks may be on this worker, before the first one is sent there.
func (p *partition) addWorker(index int) {
	s := p.sites[index]
	boot := s.boot
	known, found := p.book.Workers[s.info.Name]
	if found && known == boot {
		s.written = true
		p.updateUsable(index)
		return
	}
	if found && !p.settled {
		p.forgetful = true
	}
	s.written = false
	p.updateUsable(index)
	entry := journaler.Entry{Kind: journaler.WorkerAdded, Worker: s.info.Name, Boot: boot, At: p.control.Clock.Now()}
	p.write(entry, lingerNone, func() {
		p.book.Apply(entry)
		s.written = s.boot == boot
		p.updateUsable(index)
	})
}

func (p *partition) adoptRunning(index int, running connector.RunningTask) {
	s := p.sites[index]
	if !p.book.AdoptRunning(index, s.info.Name, s.boot, running) {
		p.control.Log.Warn("adopted worker runs a task that is over or elsewhere; stopping it", "worker", s.info.Name, "attempt", running.Attempt.ID())
		go s.link.Stop(running.Attempt, s.boot)
		return
	}
	job := p.book.Find(running.Attempt.Key)
	p.reserve(index, job, running.Attempt.Task)
	if job.Cancelled {
		p.stopTask(job, running.Attempt.Task)
	}
}

// reserve takes the place of a task that runs already.
func (p *partition) reserve(index int, job *bookkeeper.Job, task int) {
	p.cell.Reserve(index, job.Spec.Needs, job.Spec.Class)
	p.occupy(index, job, task)
}

func (p *partition) occupy(index int, job *bookkeeper.Job, task int) {
	p.sites[index].tasks[place{job: job, task: task}] = struct{}{}
	p.used[job.Spec.Team] = p.used[job.Spec.Team].Plus(job.Spec.Needs)
}

// vacate gives the place of a task back.
func (p *partition) vacate(job *bookkeeper.Job, task int) {
	index := job.Tasks[task].Site
	if index == bookkeeper.NoSite {
		return
	}
	held := place{job: job, task: task}
	if _, found := p.sites[index].tasks[held]; !found {
		return
	}
	delete(p.sites[index].tasks, held)
	p.cell.Release(index, job.Spec.Needs, job.Spec.Class)
	p.used[job.Spec.Team] = p.used[job.Spec.Team].Minus(job.Spec.Needs)
	p.dirty = true
}

func (p *partition) synced(index int, reply connector.SyncReply) {
	s := p.sites[index]
	p.setLeaving(index, reply.Leaving || s.leaving)
	if reply.Boot != s.boot {
		p.restarted(index, reply.Boot)
	}
	for _, record := range reply.Ended {
		p.handleRecord(index, record)
	}
}

// restarted deals with a worker that lost its memory and with it everything that it ran.
func (p *partition) restarted(index int, boot string) {
	s := p.sites[index]
	p.control.Log.Warn("worker restarted", "worker", s.info.Name, "boot", boot, "tasks", len(s.tasks))
	s.boot = boot
	s.records = newTally(connector.FenceReply{})
	p.loseTasks(index)
	p.addWorker(index)
}

// checkGone gives up on workers that left the platform's list and whose leases are all over.
func (p *partition) checkGone(now time.Time) {
	for index, s := range p.sites {
		if s.gone || s.missing < listsBeforeGone {
			continue
		}
		if now.Before(s.link.LeaseHorizon().Add(p.control.settings.ClockBound)) {
			continue
		}
		p.control.Log.Warn("worker gone", "worker", s.info.Name, "tasks", len(s.tasks))
		s.gone = true
		s.closer()
		p.updateUsable(index)
		p.loseTasks(index)
		p.removeWorker(s.info.Name)
	}
	for name, over := range p.absent {
		if !now.Before(over) {
			p.forgetful = true
			delete(p.absent, name)
			p.removeWorker(name)
		}
	}
}

func (p *partition) removeWorker(name string) {
	entry := journaler.Entry{Kind: journaler.WorkerRemoved, Worker: name, At: p.control.Clock.Now()}
	p.write(entry, lingerLong, func() { p.book.Apply(entry) })
}

// loseTasks deals with all tasks of a worker that can't run any of them any more.
func (p *partition) loseTasks(index int) {
	s := p.sites[index]
	for held := range s.tasks {
		t := &held.job.Tasks[held.task]
		if t.Phase == bookkeeper.Ending {
			continue
		}
		if t.Phase == bookkeeper.Starting && !s.gone {
			// The start is repeated until the worker answers; a restarted worker may take it.
			continue
		}
		p.lose(held.job, held.task, "worker "+s.info.Name+" was lost while it had the task")
	}
}

func (p *partition) workerViews() []WorkerView {
	views := make([]WorkerView, 0, len(p.sites))
	for index, s := range p.sites {
		pool, _ := p.control.tickets.PoolOf(s.info.Rack)
		views = append(views, WorkerView{
			Name:      s.info.Name,
			Partition: p.name,
			Rack:      s.info.Rack,
			Pool:      pool,
			Condition: s.condition(),
			Tasks:     len(s.tasks),
			Capacity:  s.info.Capacity,
			Reserved:  p.cell.Reserved(index),
		})
	}
	return views
}

func (s *site) condition() string {
	switch {
	case s.gone:
		return "gone"
	case s.leaving:
		return "leaving"
	case !s.fenced:
		return "fencing"
	default:
		return "ready"
	}
}

// ask builds the placing question for so many tasks of a job.
func (p *partition) ask(job *bookkeeper.Job, tasks int) placer.Ask {
	policy, _ := p.control.tickets.PolicyOf(job.Spec.Team, job.Spec.Class)
	spread := job.Spec.Spread
	if spread == "" {
		spread = policy.Spread
	}
	return placer.Ask{
		Class:  job.Spec.Class,
		Needs:  job.Spec.Needs,
		Pools:  policy.Pools,
		Tasks:  tasks,
		Spread: spread,
	}
}
