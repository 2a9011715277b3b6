package workerregistrar

import (
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// minMissingLists is the number of consecutive lists without a worker after which it is considered
// gone. The platform's list lags and may be wrong once.
const minMissingLists = 3

// Handler handles the reports of workers. Its methods are called on the control goroutine.
type Handler interface {
	// WorkerListed is called for a new worker, before any other method is called with its index.
	WorkerListed(index int, worker modeler.Worker)
	// CapacityChanged is called when the list shows another capacity of a worker.
	CapacityChanged(index int, capacity modeler.Resources)
	// TaskRunning is called for each task that a worker reports as running when it is fenced.
	TaskRunning(index int, task connector.RunningTask)
	// TaskEnded is called for each record of an ended task, possibly more than once.
	TaskEnded(index int, record connector.TaskEnded)
	// TasksLost is called when a worker has restarted or is gone, so that none of its earlier tasks
	// can still be running.
	TasksLost(index int)
	// UsabilityChanged is called when a worker may have become usable or unusable for new tasks.
	UsabilityChanged(index int, usable bool)
}

// Settings configures a Registrar. HandedOver is set if the previous owner handed the
// partition over; ClockBound is the largest difference between two machines' clocks.
type Settings struct {
	Partition  string
	Epoch      modeler.Epoch
	HandedOver bool
	Mode       fencer.Mode
	TaskLease  time.Duration
	ClockBound time.Duration
}

// Dependencies are the components that a Registrar uses.
type Dependencies struct {
	Clock      clockwork.Clock
	Log        *slog.Logger
	Workers    fencer.Workers
	Handler    Handler
	OwnedUntil func() time.Time
	// Post runs a message on the control goroutine once the journal has been read.
	Post func(message func())
	// WriteEntry writes an entry about a worker to the journal and then calls written on the control
	// goroutine.
	WriteEntry func(entry journaler.Entry, written func())
	// OwnershipLost is called on the control goroutine when a worker has accepted an owner with a
	// higher epoch.
	OwnershipLost func()
}

// workerState is the state of one worker of the partition.
type workerState struct {
	info      modeler.Worker
	link      *fencer.Link
	closeLink func()
	boot      string
	fenced    bool
	leaving   bool
	gone      bool
	// unreachable is set while the latest heartbeat got no reply.
	unreachable bool
	// bootStale is set when the worker has refused a start because it has restarted, until a heartbeat
	// tells its new boot.
	bootStale bool
	// lastReplyAt is when the latest reply of the current boot arrived.
	lastReplyAt time.Time
	// journaled is set when the journal records that this boot of the worker may have tasks.
	journaled bool
	// listedAt is the time when the worker was first listed.
	listedAt time.Time
	// missingLists counts the consecutive lists that did not contain the worker.
	missingLists int
	records      recordTracker
}

// usable reports whether the worker may be given new tasks.
func (w *workerState) usable() bool {
	return w.fenced && w.journaled && !w.leaving && !w.gone && !w.unreachable && !w.bootStale
}

// Registrar keeps track of the workers of a partition.
type Registrar struct {
	settings Settings
	Dependencies
	workers []*workerState
	byName  map[string]int
	// boots holds the boot of each worker that may have tasks according to the journal.
	boots map[string]string
	// absentUntil holds the workers that the last owner used and that are not listed, with the time
	// when all leases that it can have granted them have expired.
	absentUntil      map[string]time.Time
	mayHaveLostTasks bool
	listed           bool
}

// New returns an empty registrar.
func New(settings Settings, dependencies Dependencies) *Registrar {
	return &Registrar{
		settings:     settings,
		Dependencies: dependencies,
		byName:       make(map[string]int),
		boots:        make(map[string]string),
		absentUntil:  make(map[string]time.Time),
	}
}

// Close closes all links.
func (r *Registrar) Close() {
	for _, w := range r.workers {
		w.closeLink()
	}
}

// Len returns the number of workers, including those that are gone.
func (r *Registrar) Len() int { return len(r.workers) }

// Worker returns the description of a worker.
func (r *Registrar) Worker(index int) modeler.Worker { return r.workers[index].info }

// Link returns the link to a worker.
func (r *Registrar) Link(index int) *fencer.Link { return r.workers[index].link }

// Boot returns the current boot of a worker.
func (r *Registrar) Boot(index int) string { return r.workers[index].boot }

// IsGone reports whether a worker has been removed because it left the platform's list.
func (r *Registrar) IsGone(index int) bool { return r.workers[index].gone }

// IsLeaving reports whether a worker leaves as planned.
func (r *Registrar) IsLeaving(index int) bool { return r.workers[index].leaving }

// BootByName returns the current boot of the worker with the given name, or "" if it is unknown or
// gone.
func (r *Registrar) BootByName(worker string) string {
	index, found := r.byName[worker]
	if !found || r.workers[index].gone {
		return ""
	}
	return r.workers[index].boot
}

// MayHaveLostTasks reports whether a worker that the last owner used may have restarted or disappeared
// before it could report its tasks to this owner.
func (r *Registrar) MayHaveLostTasks() bool { return r.mayHaveLostTasks }

// ApplyList updates the workers from the platform's list, restricted to the partition's racks.
func (r *Registrar) ApplyList(workers []modeler.Worker) {
	r.listed = true
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.Name] = true
		if index, found := r.byName[worker.Name]; found && !r.workers[index].gone {
			r.SetLeaving(index, worker.Leaving)
			r.setCapacity(index, worker.Capacity)
			continue
		}
		r.add(worker)
	}
	for _, w := range r.workers {
		w.missingLists++
		if present[w.info.Name] {
			w.missingLists = 0
		}
	}
}

// add gives a listed worker a new index and starts its link.
func (r *Registrar) add(worker modeler.Worker) {
	index := len(r.workers)
	w := &workerState{info: worker, leaving: worker.Leaving, listedAt: r.Clock.Now()}
	r.workers = append(r.workers, w)
	r.byName[worker.Name] = index
	r.Handler.WorkerListed(index, worker)
	linkSettings := fencer.LinkSettings{
		Partition:  r.settings.Partition,
		Epoch:      r.settings.Epoch,
		Mode:       r.settings.Mode,
		TaskLease:  r.settings.TaskLease,
		FenceDelay: r.settings.Mode.FenceDelay(r.settings.HandedOver),
		OwnedUntil: r.OwnedUntil,
	}
	w.link, w.closeLink = fencer.NewLink(worker, linkSettings, &listener{registrar: r, index: index}, r.Workers, r.Clock)
}

// SetLeaving sets whether a worker is leaving. A leaving worker gets no new tasks.
func (r *Registrar) SetLeaving(index int, leaving bool) {
	w := r.workers[index]
	if w.leaving == leaving {
		return
	}
	w.leaving = leaving
	r.Log.Info("worker leaving", "worker", w.info.Name, "leaving", leaving)
	r.Handler.UsabilityChanged(index, w.usable())
}

// setUnreachable sets whether a worker answers heartbeats. One that does not gets no new tasks.
func (r *Registrar) setUnreachable(index int, unreachable bool) {
	w := r.workers[index]
	if w.unreachable != unreachable {
		w.unreachable = unreachable
		r.Log.Info("worker unreachable", "worker", w.info.Name, "unreachable", unreachable)
	}
	r.Handler.UsabilityChanged(index, w.usable())
}

// BootRefused records that a worker has refused a start because it has restarted since the given boot. It
// gets no new tasks until its next heartbeat.
func (r *Registrar) BootRefused(index int, boot string) {
	w := r.workers[index]
	w.bootStale = w.bootStale || w.boot == boot
	r.Handler.UsabilityChanged(index, w.usable())
}

// RecordReply records that a boot of the worker has just replied.
func (r *Registrar) RecordReply(index int, boot string) {
	if w := r.workers[index]; w.boot == boot {
		w.lastReplyAt = r.Clock.Now()
	}
}

// LastReplyAt returns when the latest reply of the worker's current boot arrived. TasksLost is called
// before that changes.
func (r *Registrar) LastReplyAt(index int) time.Time { return r.workers[index].lastReplyAt }

func (r *Registrar) setCapacity(index int, capacity modeler.Resources) {
	w := r.workers[index]
	if w.info.Capacity == capacity {
		return
	}
	r.Log.Info("worker's capacity changed", "worker", w.info.Name, "before", w.info.Capacity, "now", capacity)
	w.info.Capacity = capacity
	r.Handler.CapacityChanged(index, capacity)
}

// RestoreBoots takes from the journal the boots of the workers that may have tasks, and notes which of
// these workers are no longer listed.
func (r *Registrar) RestoreBoots(boots map[string]string) {
	leaseEnd := r.Clock.Now().Add(r.settings.TaskLease + r.settings.ClockBound)
	for name, boot := range boots {
		r.boots[name] = boot
		if _, found := r.byName[name]; !found {
			r.absentUntil[name] = leaseEnd
		}
	}
}

// AllAccountedFor reports whether no task of an earlier owner can be running unnoticed.
func (r *Registrar) AllAccountedFor() bool {
	if !r.listed || len(r.absentUntil) > 0 {
		return false
	}
	for _, w := range r.workers {
		if !w.fenced && !w.gone {
			return false
		}
	}
	return true
}

// listener passes the reports of a link to the control goroutine.
type listener struct {
	registrar *Registrar
	index     int
}

func (l *listener) Fenced(reply connector.FenceReply) {
	l.registrar.Post(func() { l.registrar.fenced(l.index, reply) })
}

func (l *listener) Synced(reply connector.SyncReply) {
	l.registrar.Post(func() { l.registrar.synced(l.index, reply) })
}

func (l *listener) Unreachable() {
	l.registrar.Post(func() { l.registrar.setUnreachable(l.index, true) })
}

func (l *listener) OwnershipLost() { l.registrar.Post(l.registrar.OwnershipLost) }

// fenced handles the reply of a worker that has been fenced: it adopts the running tasks and the
// records of ended ones.
func (r *Registrar) fenced(index int, reply connector.FenceReply) {
	w := r.workers[index]
	w.boot = reply.Boot
	r.RecordReply(index, reply.Boot)
	w.records = newRecordTracker(reply)
	if known, found := r.boots[w.info.Name]; found && known != reply.Boot {
		r.mayHaveLostTasks = true
	}
	for _, running := range reply.Running {
		r.Handler.TaskRunning(index, running)
	}
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(index, record)
	}
	w.fenced = true
	delete(r.absentUntil, w.info.Name)
	r.journalBoot(index)
}

// journalBoot records in the journal that the worker may have tasks in its current boot. Only then does
// the worker become usable.
func (r *Registrar) journalBoot(index int) {
	w := r.workers[index]
	boot := w.boot
	w.journaled = r.boots[w.info.Name] == boot
	r.Handler.UsabilityChanged(index, w.usable())
	if w.journaled {
		return
	}
	entry := journaler.Entry{Kind: journaler.WorkerAdded, Worker: w.info.Name, Boot: boot, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {
		r.boots[w.info.Name] = boot
		w.journaled = w.boot == boot
		r.Handler.UsabilityChanged(index, w.usable())
	})
}

// synced handles the reply to a heartbeat.
func (r *Registrar) synced(index int, reply connector.SyncReply) {
	w := r.workers[index]
	if w.gone {
		return
	}
	r.SetLeaving(index, reply.Leaving || w.leaving)
	if reply.Boot != w.boot {
		r.restarted(index, reply.Boot)
	}
	r.RecordReply(index, reply.Boot)
	w.bootStale = false
	r.setUnreachable(index, false)
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(index, record)
	}
}

// restarted handles a worker that has restarted and thereby lost all its tasks and records.
func (r *Registrar) restarted(index int, boot string) {
	w := r.workers[index]
	r.Log.Warn("worker restarted", "worker", w.info.Name, "boot", boot)
	w.boot = boot
	w.records = newRecordTracker(connector.FenceReply{})
	r.Handler.TasksLost(index)
	r.journalBoot(index)
}

// RemoveGone removes the workers that are no longer listed and whose leases have all expired.
func (r *Registrar) RemoveGone(now time.Time) {
	for index, w := range r.workers {
		if w.gone || w.missingLists < minMissingLists {
			continue
		}
		if now.Before(r.leaseEnd(w)) {
			continue
		}
		r.Log.Warn("worker gone", "worker", w.info.Name)
		r.mayHaveLostTasks = r.mayHaveLostTasks || !w.fenced
		w.gone = true
		w.closeLink()
		r.Handler.UsabilityChanged(index, false)
		r.Handler.TasksLost(index)
		r.journalRemoval(w.info.Name)
	}
	for name, leaseEnd := range r.absentUntil {
		if !now.Before(leaseEnd) {
			r.mayHaveLostTasks = true
			delete(r.absentUntil, name)
			r.journalRemoval(name)
		}
	}
}

// leaseEnd returns the time when all leases on a worker have expired: those that this owner granted
// and, if the worker was never fenced, those that an earlier owner may have granted.
func (r *Registrar) leaseEnd(w *workerState) time.Time {
	leaseEnd := w.link.LatestLeaseEnd()
	if inherited := w.listedAt.Add(r.settings.TaskLease); !w.fenced && inherited.After(leaseEnd) {
		leaseEnd = inherited
	}
	return leaseEnd.Add(r.settings.ClockBound)
}

// journalRemoval records in the journal that a worker can no longer have tasks.
func (r *Registrar) journalRemoval(name string) {
	delete(r.boots, name)
	entry := journaler.Entry{Kind: journaler.WorkerRemoved, Worker: name, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {})
}

// TrackRecord notes the arrival of a record from a worker. It returns a function to be called once the
// record has been handled, which allows the worker to delete the record, or nil if the record has
// arrived before. A record of an earlier boot is not tracked, because the worker has lost it; the
// returned function then does nothing.
func (r *Registrar) TrackRecord(index int, record connector.TaskEnded) (onHandled func()) {
	w := r.workers[index]
	if record.Boot != w.boot {
		return func() {}
	}
	if !w.records.add(record.Sequence) {
		return nil
	}
	return func() {
		if record.Boot == w.boot {
			w.link.Confirm(w.records.markHandled(record.Sequence))
		}
	}
}

// Condition returns the condition of a worker as shown to operators.
func (r *Registrar) Condition(index int) string {
	w := r.workers[index]
	switch {
	case w.gone:
		return "gone"
	case w.leaving:
		return "leaving"
	case !w.fenced:
		return "fencing"
	default:
		return "ready"
	}
}
