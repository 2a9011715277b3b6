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

// minMissingLists is how many lists in a row must lack a worker before it counts as gone: the list
// lags and may be wrong once.
const minMissingLists = 3

// Handler deals with what workers report. Its methods are called on the control goroutine.
type Handler interface {
	// WorkerListed is called for a new site, before anything else about it.
	WorkerListed(index int, worker modeler.Worker)
	// TaskRunning is called for each task that a worker shows when it is fenced.
	TaskRunning(index int, task connector.RunningTask)
	// TaskEnded is called for each record. The same record may come again.
	TaskEnded(index int, record connector.TaskEnded)
	// TasksLost is called when a worker can't run any task any more that it had.
	TasksLost(index int)
	// UsabilityChanged is called when a site began or ceased to take new work.
	UsabilityChanged(index int, usable bool)
}

// Settings of a registrar.
type Settings struct {
	Partition  string
	Epoch      modeler.Epoch
	HandedOver bool
	Mode       fencer.Mode
	TaskLease  time.Duration
	ClockBound time.Duration
}

// Dependencies of a registrar.
type Dependencies struct {
	Clock      clockwork.Clock
	Log        *slog.Logger
	Workers    fencer.Workers
	Handler    Handler
	OwnedUntil func() time.Time
	// Post runs a message on the control goroutine, once the journal was read.
	Post func(message func())
	// WriteEntry writes an entry about a worker and calls back on the control goroutine.
	WriteEntry func(entry journaler.Entry, written func())
	// OwnershipLost is called on the control goroutine when a worker obeys a higher epoch.
	OwnershipLost func()
}

// entry is one worker of the partition.
type entry struct {
	info      modeler.Worker
	link      *fencer.Link
	closeLink func()
	boot      string
	fenced    bool
	leaving   bool
	gone      bool
	// journaled is set when the journal shows that tasks may be on this boot of the worker.
	journaled bool
	// listedAt is when the worker was listed first.
	listedAt time.Time
	// missingLists counts the lists in a row that did not show the worker.
	missingLists int
	records      recordTracker
}

func (m *entry) usable() bool { return m.fenced && m.journaled && !m.leaving && !m.gone }

// Registrar holds the workers of a partition.
type Registrar struct {
	settings Settings
	Dependencies
	workers []*entry
	byName  map[string]int
	// boots is what the journal shows: the boot of each worker that may have tasks.
	boots map[string]string
	// absentUntil holds the workers that the last owner used and the list does not show, with the time
	// when all leases that it can have given them are over.
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
	for _, m := range r.workers {
		m.closeLink()
	}
}

// Len returns how many sites there are, gone ones included.
func (r *Registrar) Len() int { return len(r.workers) }

// Worker returns the worker of a site.
func (r *Registrar) Worker(index int) modeler.Worker { return r.workers[index].info }

// Link returns the link to the worker of a site.
func (r *Registrar) Link(index int) *fencer.Link { return r.workers[index].link }

// Boot returns the present boot of the worker of a site.
func (r *Registrar) Boot(index int) string { return r.workers[index].boot }

// IsGone tells whether the worker of a site was given up.
func (r *Registrar) IsGone(index int) bool { return r.workers[index].gone }

// BootByName returns the present boot of a worker, "" if it is not here.
func (r *Registrar) BootByName(worker string) string {
	index, found := r.byName[worker]
	if !found || r.workers[index].gone {
		return ""
	}
	return r.workers[index].boot
}

// MayHaveLostTasks tells whether a worker that the last owner used restarted or vanished before its list
// was seen here.
func (r *Registrar) MayHaveLostTasks() bool { return r.mayHaveLostTasks }

// ApplyList brings the sites in line with the listed workers of the partition's racks.
func (r *Registrar) ApplyList(workers []modeler.Worker) {
	r.listed = true
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.Name] = true
		if index, found := r.byName[worker.Name]; found && !r.workers[index].gone {
			r.SetLeaving(index, worker.Leaving)
			continue
		}
		r.add(worker)
	}
	for _, m := range r.workers {
		m.missingLists++
		if present[m.info.Name] {
			m.missingLists = 0
		}
	}
}

func (r *Registrar) add(worker modeler.Worker) {
	index := len(r.workers)
	m := &entry{info: worker, leaving: worker.Leaving, listedAt: r.Clock.Now()}
	r.workers = append(r.workers, m)
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
	m.link, m.closeLink = fencer.NewLink(worker, linkSettings, &listener{registrar: r, index: index}, r.Workers, r.Clock)
}

// SetLeaving keeps new work off a worker that is leaving.
func (r *Registrar) SetLeaving(index int, leaving bool) {
	m := r.workers[index]
	if m.leaving == leaving {
		return
	}
	m.leaving = leaving
	r.Log.Info("worker leaving", "worker", m.info.Name, "leaving", leaving)
	r.Handler.UsabilityChanged(index, m.usable())
}

// RestoreBoots learns from the journal which workers may have tasks, and finds those that the list
// does not show any more.
func (r *Registrar) RestoreBoots(boots map[string]string) {
	leaseEnd := r.Clock.Now().Add(r.settings.TaskLease + r.settings.ClockBound)
	for name, boot := range boots {
		r.boots[name] = boot
		if _, found := r.byName[name]; !found {
			r.absentUntil[name] = leaseEnd
		}
	}
}

// AllAccountedFor tells whether nothing of an earlier owner can run unseen.
func (r *Registrar) AllAccountedFor() bool {
	if !r.listed || len(r.absentUntil) > 0 {
		return false
	}
	for _, m := range r.workers {
		if !m.fenced && !m.gone {
			return false
		}
	}
	return true
}

// listener hands what a link reports to the control goroutine.
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

func (l *listener) Deposed() { l.registrar.Post(l.registrar.OwnershipLost) }

// fenced adopts a worker's list.
func (r *Registrar) fenced(index int, reply connector.FenceReply) {
	m := r.workers[index]
	m.boot = reply.Boot
	m.records = newRecordTracker(reply)
	if known, found := r.boots[m.info.Name]; found && known != reply.Boot {
		r.mayHaveLostTasks = true
	}
	for _, running := range reply.Running {
		r.Handler.TaskRunning(index, running)
	}
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(index, record)
	}
	m.fenced = true
	delete(r.absentUntil, m.info.Name)
	r.journalBoot(index)
}

// journalBoot has it written that tasks may be on this boot of the worker, and lets it take work then.
func (r *Registrar) journalBoot(index int) {
	m := r.workers[index]
	boot := m.boot
	m.journaled = r.boots[m.info.Name] == boot
	r.Handler.UsabilityChanged(index, m.usable())
	if m.journaled {
		return
	}
	entry := journaler.Entry{Kind: journaler.WorkerAdded, Worker: m.info.Name, Boot: boot, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {
		r.boots[m.info.Name] = boot
		m.journaled = m.boot == boot
		r.Handler.UsabilityChanged(index, m.usable())
	})
}

func (r *Registrar) synced(index int, reply connector.SyncReply) {
	m := r.workers[index]
	if m.gone {
		return
	}
	r.SetLeaving(index, reply.Leaving || m.leaving)
	if reply.Boot != m.boot {
		r.restarted(index, reply.Boot)
	}
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(index, record)
	}
}

// restarted deals with a worker that lost its memory and with it everything that it ran.
func (r *Registrar) restarted(index int, boot string) {
	m := r.workers[index]
	r.Log.Warn("worker restarted", "worker", m.info.Name, "boot", boot)
	m.boot = boot
	m.records = newRecordTracker(connector.FenceReply{})
	r.Handler.TasksLost(index)
	r.journalBoot(index)
}

// RemoveGone gives up on workers that left the platform's list and whose leases are all over.
func (r *Registrar) RemoveGone(now time.Time) {
	for index, m := range r.workers {
		if m.gone || m.missingLists < minMissingLists {
			continue
		}
		if now.Before(r.leaseEnd(m)) {
			continue
		}
		r.Log.Warn("worker gone", "worker", m.info.Name)
		r.mayHaveLostTasks = r.mayHaveLostTasks || !m.fenced
		m.gone = true
		m.closeLink()
		r.Handler.UsabilityChanged(index, false)
		r.Handler.TasksLost(index)
		r.journalRemoval(m.info.Name)
	}
	for name, leaseEnd := range r.absentUntil {
		if !now.Before(leaseEnd) {
			r.mayHaveLostTasks = true
			delete(r.absentUntil, name)
			r.journalRemoval(name)
		}
	}
}

// leaseEnd returns when all leases on a worker are over: those that this owner granted, and those
// of an earlier one if the worker was never fenced.
func (r *Registrar) leaseEnd(m *entry) time.Time {
	leaseEnd := m.link.LatestLeaseEnd()
	if inherited := m.listedAt.Add(r.settings.TaskLease); !m.fenced && inherited.After(leaseEnd) {
		leaseEnd = inherited
	}
	return leaseEnd.Add(r.settings.ClockBound)
}

func (r *Registrar) journalRemoval(name string) {
	delete(r.boots, name)
	entry := journaler.Entry{Kind: journaler.WorkerRemoved, Worker: name, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {})
}

// TrackRecord notes a record of a worker. It returns the function that lets the worker forget the
// record once it was dealt with, or nil if that is under way already.
func (r *Registrar) TrackRecord(index int, record connector.TaskEnded) (onHandled func()) {
	m := r.workers[index]
	if record.Boot != m.boot {
		return func() {}
	}
	if !m.records.add(record.Sequence) {
		return nil
	}
	return func() {
		if record.Boot == m.boot {
			m.link.Confirm(m.records.markHandled(record.Sequence))
		}
	}
}

// Condition says for people in which condition the worker of a site is.
func (r *Registrar) Condition(index int) string {
	m := r.workers[index]
	switch {
	case m.gone:
		return "gone"
	case m.leaving:
		return "leaving"
	case !m.fenced:
		return "fencing"
	default:
		return "ready"
	}
}
