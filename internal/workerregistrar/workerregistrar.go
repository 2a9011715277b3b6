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

// listsBeforeGone is how many lists in a row must lack a worker before it counts as gone: the list
// lags and may be wrong once.
const listsBeforeGone = 3

// Handler deals with what workers report. Its methods are called on the control goroutine.
type Handler interface {
	// WorkerListed is called for a new site, before anything else about it.
	WorkerListed(site int, worker modeler.Worker)
	// TaskRunning is called for each task that a worker shows when it is fenced.
	TaskRunning(site int, task connector.RunningTask)
	// TaskEnded is called for each record. The same record may come again.
	TaskEnded(site int, record connector.TaskEnded)
	// TasksLost is called when a worker can't run any task any more that it had.
	TasksLost(site int)
	// UsabilityChanged is called when a site began or ceased to take new work.
	UsabilityChanged(site int, usable bool)
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

// member is one worker of the partition.
type member struct {
	info    modeler.Worker
	link    *fencer.Link
	closer  func()
	boot    string
	fenced  bool
	leaving bool
	gone    bool
	// written is set when the journal shows that tasks may be on this boot of the worker.
	written bool
	// since is when the worker was listed first.
	since time.Time
	// missing counts the lists in a row that did not show the worker.
	missing int
	records tally
}

func (m *member) usable() bool { return m.fenced && m.written && !m.leaving && !m.gone }

// Registrar holds the workers of a partition.
type Registrar struct {
	settings Settings
	Dependencies
	members []*member
	byName  map[string]int
	// boots is what the journal shows: the boot of each worker that may have tasks.
	boots map[string]string
	// absent holds the workers that the last owner used and the list does not show, with the time
	// when all leases that it can have given them are over.
	absent    map[string]time.Time
	forgetful bool
	listed    bool
}

// New returns an empty registrar.
func New(settings Settings, dependencies Dependencies) *Registrar {
	return &Registrar{
		settings:     settings,
		Dependencies: dependencies,
		byName:       make(map[string]int),
		boots:        make(map[string]string),
		absent:       make(map[string]time.Time),
	}
}

// Close closes all links.
func (r *Registrar) Close() {
	for _, m := range r.members {
		m.closer()
	}
}

// Len returns how many sites there are, gone ones included.
func (r *Registrar) Len() int { return len(r.members) }

// Worker returns the worker of a site.
func (r *Registrar) Worker(site int) modeler.Worker { return r.members[site].info }

// Link returns the link to the worker of a site.
func (r *Registrar) Link(site int) *fencer.Link { return r.members[site].link }

// Boot returns the present boot of the worker of a site.
func (r *Registrar) Boot(site int) string { return r.members[site].boot }

// IsGone tells whether the worker of a site was given up.
func (r *Registrar) IsGone(site int) bool { return r.members[site].gone }

// BootByName returns the present boot of a worker, "" if it is not here.
func (r *Registrar) BootByName(worker string) string {
	site, found := r.byName[worker]
	if !found || r.members[site].gone {
		return ""
	}
	return r.members[site].boot
}

// MayHaveLostTasks tells whether a worker that the last owner used restarted or vanished before its list
// was seen here.
func (r *Registrar) MayHaveLostTasks() bool { return r.forgetful }

// ApplyList brings the sites in line with the listed workers of the partition's racks.
func (r *Registrar) ApplyList(workers []modeler.Worker) {
	r.listed = true
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.Name] = true
		if site, found := r.byName[worker.Name]; found && !r.members[site].gone {
			r.SetLeaving(site, worker.Leaving)
			continue
		}
		r.add(worker)
	}
	for _, m := range r.members {
		m.missing++
		if present[m.info.Name] {
			m.missing = 0
		}
	}
}

func (r *Registrar) add(worker modeler.Worker) {
	site := len(r.members)
	m := &member{info: worker, leaving: worker.Leaving, since: r.Clock.Now()}
	r.members = append(r.members, m)
	r.byName[worker.Name] = site
	r.Handler.WorkerListed(site, worker)
	terms := fencer.LinkSettings{
		Partition:  r.settings.Partition,
		Epoch:      r.settings.Epoch,
		Mode:       r.settings.Mode,
		TaskLease:  r.settings.TaskLease,
		FenceDelay: r.settings.Mode.FenceDelay(r.settings.HandedOver),
		OwnedUntil: r.OwnedUntil,
	}
	m.link, m.closer = fencer.NewLink(worker, terms, &listener{roster: r, site: site}, r.Workers, r.Clock)
}

// SetLeaving keeps new work off a worker that is leaving.
func (r *Registrar) SetLeaving(site int, leaving bool) {
	m := r.members[site]
	if m.leaving == leaving {
		return
	}
	m.leaving = leaving
	r.Log.Info("worker leaving", "worker", m.info.Name, "leaving", leaving)
	r.Handler.UsabilityChanged(site, m.usable())
}

// RestoreBoots learns from the journal which workers may have tasks, and finds those that the list
// does not show any more.
func (r *Registrar) RestoreBoots(boots map[string]string) {
	over := r.Clock.Now().Add(r.settings.TaskLease + r.settings.ClockBound)
	for name, boot := range boots {
		r.boots[name] = boot
		if _, found := r.byName[name]; !found {
			r.absent[name] = over
		}
	}
}

// AllAccountedFor tells whether nothing of an earlier owner can run unseen.
func (r *Registrar) AllAccountedFor() bool {
	if !r.listed || len(r.absent) > 0 {
		return false
	}
	for _, m := range r.members {
		if !m.fenced && !m.gone {
			return false
		}
	}
	return true
}

// listener hands what a link reports to the control goroutine.
type listener struct {
	roster *Registrar
	site   int
}

func (l *listener) Fenced(reply connector.FenceReply) {
	l.roster.Post(func() { l.roster.fenced(l.site, reply) })
}

func (l *listener) Synced(reply connector.SyncReply) {
	l.roster.Post(func() { l.roster.synced(l.site, reply) })
}

func (l *listener) Deposed() { l.roster.Post(l.roster.OwnershipLost) }

// fenced adopts a worker's list.
func (r *Registrar) fenced(site int, reply connector.FenceReply) {
	m := r.members[site]
	m.boot = reply.Boot
	m.records = newTally(reply)
	if known, found := r.boots[m.info.Name]; found && known != reply.Boot {
		r.forgetful = true
	}
	for _, running := range reply.Running {
		r.Handler.TaskRunning(site, running)
	}
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(site, record)
	}
	m.fenced = true
	delete(r.absent, m.info.Name)
	r.record(site)
}

// record has it written that tasks may be on this boot of the worker, and lets it take work then.
func (r *Registrar) record(site int) {
	m := r.members[site]
	boot := m.boot
	m.written = r.boots[m.info.Name] == boot
	r.Handler.UsabilityChanged(site, m.usable())
	if m.written {
		return
	}
	entry := journaler.Entry{Kind: journaler.WorkerAdded, Worker: m.info.Name, Boot: boot, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {
		r.boots[m.info.Name] = boot
		m.written = m.boot == boot
		r.Handler.UsabilityChanged(site, m.usable())
	})
}

func (r *Registrar) synced(site int, reply connector.SyncReply) {
	m := r.members[site]
	if m.gone {
		return
	}
	r.SetLeaving(site, reply.Leaving || m.leaving)
	if reply.Boot != m.boot {
		r.restarted(site, reply.Boot)
	}
	for _, record := range reply.Ended {
		r.Handler.TaskEnded(site, record)
	}
}

// restarted deals with a worker that lost its memory and with it everything that it ran.
func (r *Registrar) restarted(site int, boot string) {
	m := r.members[site]
	r.Log.Warn("worker restarted", "worker", m.info.Name, "boot", boot)
	m.boot = boot
	m.records = newTally(connector.FenceReply{})
	r.Handler.TasksLost(site)
	r.record(site)
}

// RemoveGone gives up on workers that left the platform's list and whose leases are all over.
func (r *Registrar) RemoveGone(now time.Time) {
	for site, m := range r.members {
		if m.gone || m.missing < listsBeforeGone {
			continue
		}
		if now.Before(r.leasesOver(m)) {
			continue
		}
		r.Log.Warn("worker gone", "worker", m.info.Name)
		r.forgetful = r.forgetful || !m.fenced
		m.gone = true
		m.closer()
		r.Handler.UsabilityChanged(site, false)
		r.Handler.TasksLost(site)
		r.remove(m.info.Name)
	}
	for name, over := range r.absent {
		if !now.Before(over) {
			r.forgetful = true
			delete(r.absent, name)
			r.remove(name)
		}
	}
}

// leasesOver returns when all leases on a worker are over: those that this owner granted, and those
// of an earlier one if the worker was never fenced.
func (r *Registrar) leasesOver(m *member) time.Time {
	over := m.link.LatestLeaseEnd()
	if inherited := m.since.Add(r.settings.TaskLease); !m.fenced && inherited.After(over) {
		over = inherited
	}
	return over.Add(r.settings.ClockBound)
}

func (r *Registrar) remove(name string) {
	delete(r.boots, name)
	entry := journaler.Entry{Kind: journaler.WorkerRemoved, Worker: name, At: r.Clock.Now()}
	r.WriteEntry(entry, func() {})
}

// TrackRecord notes a record of a worker. It returns the function that lets the worker forget the
// record once it was dealt with, or nil if that is under way already.
func (r *Registrar) TrackRecord(site int, record connector.TaskEnded) (settled func()) {
	m := r.members[site]
	if record.Boot != m.boot {
		return func() {}
	}
	if !m.records.arrived(record.Sequence) {
		return nil
	}
	return func() {
		if record.Boot == m.boot {
			m.link.Confirm(m.records.settled(record.Sequence))
		}
	}
}

// Condition says for people in which condition the worker of a site is.
func (r *Registrar) Condition(site int) string {
	m := r.members[site]
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
