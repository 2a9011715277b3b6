package simulator

import (
	"encoding/json"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Settings of the stand-in. The rates are the platform's limits for everybody together.
type Settings struct {
	Listen          netip.AddrPort   `json:"listen"`
	WritesPerSecond int              `json:"writes-per-second"`
	ReadsPerSecond  int              `json:"reads-per-second"`
	ListLag         modeler.Duration `json:"list-lag"`
	FenceMode       FenceMode        `json:"fence-mode"`
	Workers         []modeler.Worker `json:"workers"`
}

// Faults are the failures of the table and the object store that are switched on.
type Faults struct {
	TableDown      bool             `json:"table-down,omitempty"`
	ObjectsDown    bool             `json:"objects-down,omitempty"`
	TableDelay     modeler.Duration `json:"table-delay,omitempty"`
	LostReplies    int              `json:"lost-replies,omitempty"`
	LeavingWorkers []string         `json:"leaving-workers,omitempty"`
	RestartWorkers []string         `json:"restart-workers,omitempty"`
	// KillWorkers ends workers and takes them off the list; ReviveWorkers brings them back empty.
	KillWorkers   []string `json:"kill-workers,omitempty"`
	ReviveWorkers []string `json:"revive-workers,omitempty"`
	// HideWorkers takes running workers off the list by mistake, ShowWorkers undoes that.
	HideWorkers     []string `json:"hide-workers,omitempty"`
	ShowWorkers     []string `json:"show-workers,omitempty"`
	UnlistInstances []string `json:"unlist-instances,omitempty"`
}

// Platform is the stand-in's whole state.
type Platform struct {
	clock   clockwork.Clock
	lag     time.Duration
	table   *table
	workers map[string]*worker

	mu        sync.Mutex
	faults    Faults
	objects   map[string]json.RawMessage
	instances map[string]modeler.Instance
	shown     connector.InstanceList
	shownAt   time.Time
	events    []Event
}

// New returns a stand-in with the given workers and no entry instances.
func New(settings Settings, clock clockwork.Clock) *Platform {
	platform := &Platform{
		clock:     clock,
		lag:       time.Duration(settings.ListLag),
		table:     newTable(settings.WritesPerSecond, settings.ReadsPerSecond, clock),
		workers:   make(map[string]*worker),
		objects:   make(map[string]json.RawMessage),
		instances: make(map[string]modeler.Instance),
	}
	for _, info := range settings.Workers {
		platform.workers[info.Name] = newWorker(info, settings.FenceMode, clock, platform.record)
	}
	return platform
}

func (p *Platform) record(event Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, event)
}

// Events returns what happened on the workers so far, in the order in which it happened on each.
func (p *Platform) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

// TableUsage returns the counts of the table.
func (p *Platform) TableUsage() TableCounts { return p.table.usage() }

// Rows returns all rows under a prefix, past every limit and fault, for the auditor.
func (p *Platform) Rows(prefix string) []connector.Row {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return p.table.page(connector.ReadRequest{Prefix: prefix})
}

// SetFaults switches faults on and off, and has the named workers leave or restart.
func (p *Platform) SetFaults(faults Faults) {
	p.each(faults.LeavingWorkers, (*worker).leave)
	p.each(faults.RestartWorkers, (*worker).restart)
	p.each(faults.KillWorkers, (*worker).die)
	p.each(faults.ReviveWorkers, (*worker).revive)
	p.each(faults.HideWorkers, func(w *worker) { w.hide(true) })
	p.each(faults.ShowWorkers, func(w *worker) { w.hide(false) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range faults.UnlistInstances {
		delete(p.instances, name)
	}
	p.faults = faults
}

func (p *Platform) each(names []string, act func(*worker)) {
	for _, name := range names {
		if w := p.workers[name]; w != nil {
			act(w)
		}
	}
}

// takeLostReply tells whether the reply to this call shall be lost.
func (p *Platform) takeLostReply() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LostReplies == 0 {
		return false
	}
	p.faults.LostReplies--
	return true
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) register(instance modeler.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.Name] = instance
}

// list returns the list as it was up to one lag ago.
func (p *Platform) list() connector.InstanceList {
	workers := make([]modeler.Worker, 0, len(p.workers))
	for _, w := range p.workers {
		if info, listed := w.describe(); listed {
			workers = append(workers, info)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.shown.Workers != nil && now.Sub(p.shownAt) < p.lag {
		return p.shown
	}
	p.shown = connector.InstanceList{Workers: workers, Instances: make([]modeler.Instance, 0, len(p.instances))}
	for _, instance := range p.instances {
		p.shown.Instances = append(p.shown.Instances, instance)
	}
	sort.Slice(p.shown.Instances, func(i, j int) bool { return p.shown.Instances[i].Name < p.shown.Instances[j].Name })
	p.shownAt = now
	return p.shown
}
