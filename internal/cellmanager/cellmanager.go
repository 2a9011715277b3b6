package cellmanager

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/elector"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/slownessdetector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/storerelayer"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// Mesh carries calls to other instances.
type Mesh interface {
	Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error)
	LivePeers() map[string]*messenger.Heartbeat
	SetPeers(instances []modeler.Instance)
	AddPeer(instance modeler.Instance)
}

// Advisor asks the placement advisor from this instance.
type Advisor interface {
	Advise(ctx context.Context, step steptracker.StepKey, workers []string) (workerdriver.Advice, error)
}

// Decoders read the rows that the platform and its workers write.
type Decoders struct {
	// ConfigurationTable and ConfigurationKey name the row of the rules.
	ConfigurationTable, ConfigurationKey string
	Configuration                        func(text []byte) (*configprovider.Configuration, error)
	WorkersTable                         string
	Worker                               func(key string, text []byte) (workerdriver.Worker, error)
}

// Settings of a manager.
type Settings struct {
	// Name is that of the instance. A run of its process is Name and the time of its start.
	Name             string
	Region           string
	AvailabilityZone string
	Mesh             netip.AddrPort
	// Processors is what the machine has.
	Processors modeler.Processors
	Scheduler  cellscheduler.Settings
}

// Dependencies of a manager.
type Dependencies struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Store    storerelayer.Store
	Workers  cellscheduler.WorkerClient
	Advisor  Advisor
	Decoders Decoders
	Counts   *cellscheduler.Metrics
}

// Manager answers for an instance.
type Manager struct {
	settings Settings
	Dependencies
	mesh      Mesh
	run       string
	startedAt time.Time
	book      *configprovider.Provider
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup
	leaving   atomic.Bool
	store     *storerelayer.Relayer
	stopStore func()
	slowness  *slownessdetector.Detector

	mu    sync.Mutex
	cells map[string]*cell
	heard map[string]time.Time
	// listed is how many other instances have a row.
	listed int
	// gone are the runs whose process has ended, and when that was noticed.
	gone map[string]time.Time
}

// cell is what is known here of one cell.
type cell struct {
	name      string
	ownership elector.Ownership
	// read tells that the row has been read at least once.
	read bool
	// since is when the present holder was first seen here, heldAt when it last said itself that it
	// holds the cell.
	since, heldAt time.Time
	// worseSince is since when a better instance could hold the cell, or zero.
	worseSince time.Time
	scheduler  *cellscheduler.Scheduler
	stop       func()
	claiming   bool
	// changed is closed and made anew whenever the owner changes.
	changed chan struct{}
}

// IncarnationName names a run of an instance's process.
func IncarnationName(instance string, startedAt time.Time) string {
	return instance + "@" + strconv.FormatInt(startedAt.UnixMilli(), 10)
}

// startOf reads the time of the start out of the name of a run.
func startOf(run string) time.Time {
	_, digits, _ := strings.Cut(run, "@")
	milliseconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// instanceOf reads the name of the instance out of that of a run.
func instanceOf(run string) string {
	instance, _, _ := strings.Cut(run, "@")
	return instance
}

// New returns a manager and the function that ends it at once.
func New(settings Settings, dependencies Dependencies) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	now := dependencies.Clock.Now()
	d := &Manager{
		settings:     settings,
		Dependencies: dependencies,
		run:          IncarnationName(settings.Name, now),
		startedAt:    now,
		book:         &configprovider.Provider{},
		ctx:          ctx,
		cancel:       cancel,
		cells:        make(map[string]*cell),
		heard:        make(map[string]time.Time),
		gone:         make(map[string]time.Time),
	}
	d.slowness = slownessdetector.New(d.Clock)
	d.store, d.stopStore = storerelayer.New(storerelayer.Dependencies{
		Store: dependencies.Store, Clock: d.Clock, Log: d.Log, CallPeer: d.callStore, Peers: d.servedPeers,
		ProbeKey: instancesTable + "/all/" + settings.Name,
	})
	return d, d.stop
}

// SetMesh gives the manager its mesh and where that listens, before Follow is called.
func (m *Manager) SetMesh(mesh Mesh, address netip.AddrPort) {
	m.mesh, m.settings.Mesh = mesh, address
}

// Incarnation is the name under which this process is known to others.
func (m *Manager) Incarnation() string { return m.run }

// Configuration returns the rules in force.
func (m *Manager) Configuration() *configprovider.Provider { return m.book }

func (m *Manager) stop() {
	m.cancel()
	m.mu.Lock()
	var stops []func()
	for _, c := range m.cells {
		if c.stop != nil {
			stops = append(stops, c.stop)
		}
	}
	m.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	m.stopStore()
	m.group.Wait()
}

// Heartbeat returns the heartbeat to send now.
func (m *Manager) Heartbeat() *messenger.Heartbeat {
	beat := &messenger.Heartbeat{
		Instance:           m.run,
		Region:             m.settings.Region,
		Leaving:            m.leaving.Load(),
		Configuration:      m.book.Version(),
		StoreSilenceMillis: m.store.SinceDirectAnswer().Milliseconds(),
		Slow:               m.slowness.Slow(),
		StoreLost:          m.store.SinceAnswer() > storeLost,

		StoreRoundTripMillis: m.store.RoundTrip().Milliseconds(),
		Processors:           int64(m.settings.Processors),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.cells {
		if c.scheduler != nil {
			beat.Holdings = append(beat.Holdings, &messenger.Holding{Partition: c.name, Epoch: c.ownership.FencingToken})
		}
	}
	return beat
}

// HandleHeartbeat takes in a heartbeat of a peer.
func (m *Manager) HandleHeartbeat(beat *messenger.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[beat.GetInstance()] = m.Clock.Now()
	delete(m.gone, beat.GetInstance())
	for _, holding := range beat.GetHoldings() {
		c := m.cells[holding.GetPartition()]
		if c == nil || holding.GetEpoch() < c.ownership.FencingToken {
			continue
		}
		if holding.GetEpoch() == c.ownership.FencingToken {
			// An owner that the store has lost can't do its work: it counts as silent where the
			// store serves others.
			if c.ownership.Owner == beat.GetInstance() && (!beat.GetStoreLost() || m.store.SinceDirectAnswer() > storeServed) {
				c.heldAt = m.Clock.Now()
			}
			continue
		}
		// The peer has claimed the cell, and its row has not been read here yet.
		c.ownership.Owner, c.ownership.FencingToken, c.ownership.Version = beat.GetInstance(), holding.GetEpoch(), 0
		m.ownerChanged(c)
	}
}

const (
	// storeLost is from how long a silence on the store counts as lost.
	storeLost = 2500 * time.Millisecond
	// storeServed is up to which silence the store surely serves an instance: a watch of it waits for
	// a second.
	storeServed = 1500 * time.Millisecond
	// ownershipLimit is how long an owner goes on without word of the store while others have it.
	ownershipLimit = 6 * time.Second
)

// confirmed tells whether an owner here may go on giving leases: it has heard of the store lately,
// or nobody that it hears of has.
func (m *Manager) confirmed() bool {
	if m.store.SinceAnswer() < ownershipLimit {
		return true
	}
	live := m.mesh.LivePeers()
	for _, beat := range live {
		if time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond < storeLost {
			return false
		}
	}
	return len(live) > 0
}

// Ready tells whether this instance can serve callers: it has rules and an owner for every service.
func (m *Manager) Ready() bool {
	rules := m.book.Current()
	if rules == nil || m.leaving.Load() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, service := range rules.Services {
		c := m.cells[service.Name]
		if c == nil || c.scheduler == nil && (c.ownership.Owner == "" || m.Clock.Since(m.lastHeld(c)) > elector.HeartbeatTimeout) {
			return false
		}
	}
	return true
}

// alive tells whether a peer was heard lately. The caller holds the mutex.
func (m *Manager) alive(run string) bool {
	heard, known := m.heard[run]
	return known && !m.ended(run) && m.Clock.Since(heard) < elector.HeartbeatTimeout
}

// lastHeld is when the holder of a cell was last known to hold it: a run may be heard and hold
// nothing any more. A run that has ended holds nothing since it was noticed here. The caller holds the
// mutex.
func (m *Manager) lastHeld(c *cell) time.Time {
	if m.ended(c.ownership.Owner) {
		return time.Time{}
	}
	if c.heldAt.After(c.since) {
		return c.heldAt
	}
	return c.since
}

// HandlePeerEnded takes in that the process of a run has ended.
func (m *Manager) HandlePeerEnded(run string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.gone[run]; !known {
		m.gone[run] = m.Clock.Now()
		m.Log.Info("peer gone", "peer", run)
	}
}

// ended tells whether a run is surely over: nothing listens where it did, or a later run of the same
// instance is known. The caller holds the mutex.
func (m *Manager) ended(run string) bool {
	if _, gone := m.gone[run]; gone {
		return true
	}
	instance, started := instanceOf(run), startOf(run)
	if instance == m.settings.Name && run != m.run && started.Before(m.startedAt) {
		return true
	}
	for other := range m.heard {
		if instanceOf(other) == instance && startOf(other).After(started) {
			return true
		}
	}
	return false
}

// NoOwnerError tells that no owner of a cell was found in time; the call was never handed on.
type NoOwnerError struct{ Cell string }

func (e *NoOwnerError) Error() string { return "no owner of cell " + e.Cell + " was found in time" }

// InDoubtError tells that it is not known what became of a call.
type InDoubtError struct {
	Cell string
	Err  error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("cell %s: not known what became of the call: %v", e.Cell, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// lanes is how many transactions of one owner may be in flight while the store is slow.
const lanes = 4

// newWriters returns the journals for one ownership.
func (m *Manager) newWriters(c *cell, fence int64) []cellscheduler.Committer {
	journals := make([]cellscheduler.Committer, lanes)
	for lane := range journals {
		name := fmt.Sprintf("%s/%s.%d.%d", c.name, m.run, fence, lane)
		journals[lane] = committer.NewWriter(m.store, name, m.Clock)
	}
	return journals
}

// servedPeers are the peers that the store answers, those of the same region first.
func (m *Manager) servedPeers() []string {
	var near, far []string
	for run, beat := range m.mesh.LivePeers() {
		if beat.GetLeaving() || time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond > storeServed {
			continue
		}
		if beat.GetRegion() == m.settings.Region {
			near = append(near, run)
		} else {
			far = append(far, run)
		}
	}
	sort.Strings(near)
	sort.Strings(far)
	return append(near, far...)
}

// callStore asks a peer to call the store.
func (m *Manager) callStore(ctx context.Context, peer string, ask []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, relayPatience)
	defer cancel()
	reply, err := m.mesh.Call(ctx, peer, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_TRANSACT, Job: ask, PatienceNanos: int64(relayPatience),
	})
	if err != nil {
		return nil, err
	}
	if reply.GetError() != messenger.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return nil, &badCallError{Reason: reply.GetReason()}
	}
	return reply.GetAnswer(), nil
}

// relayPatience bounds a call to the store through a peer, the wait of a watch included.
const relayPatience = 3 * time.Second

// peerRow is an instance's row: how others reach it.
type peerRow struct {
	Run              string         `json:"run"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability-zone"`
	Mesh             netip.AddrPort `json:"mesh"`
}

// instancesTable holds a row for each instance.
const instancesTable = "instances"

func (m *Manager) register() {
	value, err := json.Marshal(peerRow{Run: m.run, Region: m.settings.Region, AvailabilityZone: m.settings.AvailabilityZone, Mesh: m.settings.Mesh})
	if err != nil {
		m.Log.Error("instance not registered", "error", errors.Wrap(err, "encode row"))
		return
	}
	put := connector.Transaction{Puts: []connector.Put{{Key: instancesTable + "/all/" + m.settings.Name, Value: value}}}
	for m.ctx.Err() == nil {
		if _, err = m.store.Transact(m.ctx, put); err == nil {
			return
		}
		m.Log.Warn("instance not registered yet", "error", err)
		m.pause(registerAgain)
	}
}

// registerAgain is the pause before another attempt to register.
const registerAgain = 300 * time.Millisecond

func (m *Manager) pause(pause time.Duration) {
	select {
	case <-m.ctx.Done():
	case <-m.Clock.After(pause):
	}
}
