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

// Settings configure the simulated platform. The rates are limits on the calls of all clients together.
type Settings struct {
	Listen          netip.AddrPort   `json:"listen"`
	WritesPerSecond int              `json:"writes-per-second"`
	ReadsPerSecond  int              `json:"reads-per-second"`
	ListLag         modeler.Duration `json:"list-lag"`
	FenceMode       FenceMode        `json:"fence-mode"`
	Workers         []modeler.Worker `json:"workers"`
}

// Faults are the faults of the table, the object store and the workers that are injected.
type Faults struct {
	TableDown      bool             `json:"table-down,omitempty"`
	ObjectsDown    bool             `json:"objects-down,omitempty"`
	TableDelay     modeler.Duration `json:"table-delay,omitempty"`
	LostReplies    int              `json:"lost-replies,omitempty"`
	LeavingWorkers []string         `json:"leaving-workers,omitempty"`
	RestartWorkers []string         `json:"restart-workers,omitempty"`
	// KillWorkers kills workers and removes them from the instance list; ReviveWorkers brings them back
	// without any state.
	KillWorkers   []string `json:"kill-workers,omitempty"`
	ReviveWorkers []string `json:"revive-workers,omitempty"`
	// HideWorkers removes running workers from the instance list, as a fault of the list would;
	// ShowWorkers lists them again.
	HideWorkers     []string `json:"hide-workers,omitempty"`
	ShowWorkers     []string `json:"show-workers,omitempty"`
	UnlistInstances []string `json:"unlist-instances,omitempty"`
}

// Platform is the state of the simulated platform.
type Platform struct {
	clock   clockwork.Clock
	listLag time.Duration
	table   *table
	workers map[string]*worker

	mu         sync.Mutex
	faults     Faults
	objects    map[string]json.RawMessage
	instances  map[string]modeler.Instance
	cachedList connector.InstanceList
	cachedAt   time.Time
	events     []Event
}

// New returns a simulated platform with the given workers and no instances.
func New(settings Settings, clock clockwork.Clock) *Platform {
	platform := &Platform{
		clock:     clock,
		listLag:   time.Duration(settings.ListLag),
		table:     newTable(settings.WritesPerSecond, settings.ReadsPerSecond, clock),
		workers:   make(map[string]*worker),
		objects:   make(map[string]json.RawMessage),
		instances: make(map[string]modeler.Instance),
	}
	for _, info := range settings.Workers {
		platform.workers[info.Name] = newWorker(info, settings.FenceMode, clock, platform.recordEvent)
	}
	return platform
}

func (p *Platform) recordEvent(event Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, event)
}

// Events returns the events of all workers so far. The events of one worker are in chronological order.
func (p *Platform) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

// TableUsage returns the call counters of the table.
func (p *Platform) TableUsage() TableCounts { return p.table.usage() }

// Rows returns all rows under a prefix. It bypasses rate limits and faults, for use by external checks.
func (p *Platform) Rows(prefix string) []connector.Row {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return p.table.scan(connector.ReadRequest{Prefix: prefix})
}

// SetFaults replaces the faults in effect. Faults that name workers or instances are applied once, at
// this call.
func (p *Platform) SetFaults(faults Faults) {
	p.forEachWorker(faults.LeavingWorkers, (*worker).leave)
	p.forEachWorker(faults.RestartWorkers, (*worker).restart)
	p.forEachWorker(faults.KillWorkers, (*worker).kill)
	p.forEachWorker(faults.ReviveWorkers, (*worker).revive)
	p.forEachWorker(faults.HideWorkers, func(w *worker) { w.setHidden(true) })
	p.forEachWorker(faults.ShowWorkers, func(w *worker) { w.setHidden(false) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range faults.UnlistInstances {
		delete(p.instances, name)
	}
	p.faults = faults
}

// SetCapacity changes the capacity of a worker, which its entry in the list shows.
func (p *Platform) SetCapacity(name string, capacity modeler.Resources) {
	p.forEachWorker([]string{name}, func(w *worker) { w.setCapacity(capacity) })
}

func (p *Platform) forEachWorker(names []string, act func(*worker)) {
	for _, name := range names {
		if w := p.workers[name]; w != nil {
			act(w)
		}
	}
}

// consumeLostReply reports whether the reply to the current call is to be dropped, and decrements the
// number of replies to drop.
func (p *Platform) consumeLostReply() bool {
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

// list returns the list of instances and workers, which may be out of date by up to listLag.
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
	if p.cachedList.Workers != nil && now.Sub(p.cachedAt) < p.listLag {
		return p.cachedList
	}
	p.cachedList = connector.InstanceList{Workers: workers, Instances: make([]modeler.Instance, 0, len(p.instances))}
	for _, instance := range p.instances {
		p.cachedList.Instances = append(p.cachedList.Instances, instance)
	}
	sort.Slice(p.cachedList.Instances, func(i, j int) bool { return p.cachedList.Instances[i].Name < p.cachedList.Instances[j].Name })
	p.cachedAt = now
	return p.cachedList
}
