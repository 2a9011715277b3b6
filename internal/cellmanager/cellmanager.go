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

// Mesh sends calls to other instances and tracks their heartbeats.
type Mesh interface {
	Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error)
	LivePeers() map[string]*messenger.Heartbeat
	// Announce sends a heartbeat to all peers ahead of its time.
	Announce()
	SetPeers(instances []modeler.Instance)
	AddPeer(instance modeler.Instance)
}

// Advisor calls the placement advisor from this instance.
type Advisor interface {
	Advise(ctx context.Context, step steptracker.StepKey, workers []string) (workerdriver.Advice, error)
}

// Decoders decode the rows that the platform and its workers write.
type Decoders struct {
	// ConfigurationTable and ConfigurationKey name the row that holds the configuration.
	ConfigurationTable, ConfigurationKey string
	Configuration                        func(text []byte) (*configprovider.Configuration, error)
	WorkersTable                         string
	Worker                               func(key string, text []byte) (workerdriver.Worker, error)
}

// Settings are the settings of a manager.
type Settings struct {
	// Name is the name of the instance. Name and the start time of its process identify an
	// incarnation of the instance.
	Name             string
	Region           string
	AvailabilityZone string
	Mesh             netip.AddrPort
	// Processors is the number of processors of the machine.
	Processors modeler.Processors
	Scheduler  cellscheduler.Settings
	// RevocationLimit is how long after the removal of a key this instance may still act on it, whether
	// or not it reaches the store; 0 means no limit.
	RevocationLimit time.Duration
	// ConfigurationLimit is how long after its acknowledgement a configuration must be in force at all
	// instances; 0 means no limit.
	ConfigurationLimit time.Duration
}

// UptimeReader reads the time since the machine started, including the time for which it was suspended.
type UptimeReader interface {
	Uptime() time.Duration
}

// Dependencies are the dependencies of a manager.
type Dependencies struct {
	Clock clockwork.Clock
	// Uptime may be nil: then the clock is used.
	Uptime   UptimeReader
	Log      *slog.Logger
	Store    storerelayer.Store
	Workers  cellscheduler.WorkerClient
	Advisor  Advisor
	Decoders Decoders
	Metrics  *cellscheduler.Metrics
	// OnOwnershipChanged is called when this instance begins or ceases to own cells. It must not block
	// and may be nil.
	OnOwnershipChanged func(owns bool)
}

// Manager tracks the owners of all cells, forwards calls to them and runs the schedulers of the cells
// that this instance owns.
type Manager struct {
	settings Settings
	Dependencies
	mesh          Mesh
	incarnation   string
	startedAt     time.Time
	configuration *configprovider.Provider
	ctx           context.Context
	cancel        context.CancelFunc
	group         sync.WaitGroup
	leaving       atomic.Bool
	store         *storerelayer.Relayer
	stopStore     func()
	slowness      *slownessdetector.Detector
	keys          keyState
	readiness     readinessLog

	mu    sync.Mutex
	cells map[string]*cell
	// lastHeartbeat maps incarnations to the time of their latest heartbeat.
	lastHeartbeat map[string]time.Time
	// peerCount is the number of other instances that are registered in the store, peerZones the
	// availability zone of each.
	peerCount int
	peerZones map[string]string
	// endedAt maps incarnations whose process has ended to the time at which this was detected.
	endedAt map[string]time.Time
}

// cell is what this instance knows about one cell.
type cell struct {
	name      string
	ownership elector.Ownership
	// rowRead reports whether the owner row has been read at least once.
	rowRead bool
	// ownerSince is when this instance first saw the current owner, last saw the cell lose its
	// owner, or last failed to claim the cell, whichever is latest. ownerConfirmedAt is when the
	// owner last reported in a heartbeat that it owns the cell.
	ownerSince, ownerConfirmedAt time.Time
	// abandonedAt is when the owner that the row names was first heard to have stopped serving the
	// cell, or zero.
	abandonedAt time.Time
	// betterCandidateSince is since when another instance has been a better owner, or zero.
	betterCandidateSince time.Time
	scheduler            *cellscheduler.Scheduler
	stopScheduler        func()
	// relays selects the relays for the workers of the cell while this instance owns it.
	relays *relaySelector
	// releasing reports whether this instance has stopped accepting work for the cell and finishes its
	// writes. Its heartbeats do not list the cell then.
	releasing bool
	// inTransition reports whether this instance is claiming the cell or handing it off.
	inTransition bool
	// ownerChanged is closed and replaced whenever the owner changes.
	ownerChanged chan struct{}
}

// IncarnationName returns the name of one incarnation (process lifetime) of an instance.
func IncarnationName(instance string, startedAt time.Time) string {
	return instance + "@" + strconv.FormatInt(startedAt.UnixMilli(), 10)
}

// incarnationStart parses the start time from the name of an incarnation.
func incarnationStart(incarnation string) time.Time {
	_, digits, _ := strings.Cut(incarnation, "@")
	milliseconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// incarnationInstance parses the instance name from the name of an incarnation.
func incarnationInstance(incarnation string) string {
	instance, _, _ := strings.Cut(incarnation, "@")
	return instance
}

// New returns a manager and a function that stops it without handing its cells over.
func New(settings Settings, dependencies Dependencies) (*Manager, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	now := dependencies.Clock.Now()
	m := &Manager{
		settings:      settings,
		Dependencies:  dependencies,
		incarnation:   IncarnationName(settings.Name, now),
		startedAt:     now,
		configuration: &configprovider.Provider{},
		ctx:           ctx,
		cancel:        cancel,
		cells:         make(map[string]*cell),
		lastHeartbeat: make(map[string]time.Time),
		endedAt:       make(map[string]time.Time),
	}
	m.slowness = slownessdetector.New(m.Clock)
	if m.Uptime == nil {
		m.Uptime = clockUptime{clock: m.Clock, startedAt: now}
	}
	m.keys.denials = cellscheduler.NewDenialRecorder(m.Log, m.Clock, m.Metrics)
	m.Metrics.PublishConfiguration(m.configurationStatus)
	m.store, m.stopStore = storerelayer.New(storerelayer.Dependencies{
		Store: dependencies.Store, Clock: m.Clock, Log: m.Log, CallPeer: m.callStoreThroughPeer, Peers: m.peersWithStore,
		ProbeKey: instancesTable + "/all/" + settings.Name,
	})
	return m, m.stop
}

// SetMesh sets the mesh and its listen address. It must be called before Start.
func (m *Manager) SetMesh(mesh Mesh, address netip.AddrPort) {
	m.mesh, m.settings.Mesh = mesh, address
}

// Incarnation returns the name by which peers identify this process.
func (m *Manager) Incarnation() string { return m.incarnation }

// Configuration returns the provider of the current configuration.
func (m *Manager) Configuration() *configprovider.Provider { return m.configuration }

func (m *Manager) stop() {
	m.cancel()
	m.mu.Lock()
	var stops []func()
	for _, c := range m.cells {
		if c.stopScheduler != nil {
			stops = append(stops, c.stopScheduler)
		}
	}
	m.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	m.stopStore()
	m.group.Wait()
}

// Heartbeat returns this instance's current heartbeat.
func (m *Manager) Heartbeat() *messenger.Heartbeat {
	heartbeat := &messenger.Heartbeat{
		Instance:           m.incarnation,
		Region:             m.settings.Region,
		Leaving:            m.leaving.Load(),
		Configuration:      m.configuration.Version(),
		StoreSilenceMillis: m.store.SinceDirectAnswer().Milliseconds(),
		Slow:               m.slowness.Slow(),
		StoreLost:          m.store.SinceAnswer() > storeLostTimeout,

		StoreRoundTripMillis: m.store.RoundTrip().Milliseconds(),
		Processors:           int64(m.settings.Processors),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.cells {
		if c.scheduler != nil && !c.releasing {
			heartbeat.Holdings = append(heartbeat.Holdings, &messenger.Holding{Partition: c.name, Epoch: c.ownership.FencingToken})
		}
	}
	return heartbeat
}

// HandleHeartbeat processes a heartbeat received from a peer.
func (m *Manager) HandleHeartbeat(heartbeat *messenger.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeartbeat[heartbeat.GetInstance()] = m.Clock.Now()
	delete(m.endedAt, heartbeat.GetInstance())
	if heartbeat.GetLeaving() {
		m.recordAbandonedCells(heartbeat)
	}
	for _, holding := range heartbeat.GetHoldings() {
		c := m.cells[holding.GetPartition()]
		if c == nil || holding.GetEpoch() < c.ownership.FencingToken {
			continue
		}
		if holding.GetEpoch() == c.ownership.FencingToken {
			// An owner without access to the store can't do its work. Its heartbeats don't confirm
			// ownership while the store answers this instance, so that the owner is replaced.
			if c.ownership.Owner == heartbeat.GetInstance() && (!heartbeat.GetStoreLost() || m.store.SinceDirectAnswer() > storeServedTimeout) {
				c.ownerConfirmedAt = m.Clock.Now()
			}
			continue
		}
		// The peer has claimed the cell, but this instance has not read the new owner row yet.
		c.ownership.Owner, c.ownership.FencingToken, c.ownership.Version = heartbeat.GetInstance(), holding.GetEpoch(), 0
		m.handleOwnerChange(c)
	}
}

// recordAbandonedCells records the cells that an instance that is shutting down has stopped serving
// although their rows still name it: it has nothing left to write, and a successor need not wait until
// the row is released. The caller holds the mutex.
func (m *Manager) recordAbandonedCells(heartbeat *messenger.Heartbeat) {
	held := make(map[string]bool, len(heartbeat.GetHoldings()))
	for _, holding := range heartbeat.GetHoldings() {
		held[holding.GetPartition()] = true
	}
	for name, c := range m.cells {
		if c.ownership.Owner == heartbeat.GetInstance() && !held[name] && c.abandonedAt.IsZero() {
			c.abandonedAt = m.Clock.Now()
			m.Log.Info("cell abandoned by its owner", "cell", name, "owner", c.ownership.Owner, "fence", c.ownership.FencingToken)
		}
	}
}

const (
	// storeLostTimeout is how long the store may stay silent before it counts as unreachable.
	storeLostTimeout = 2500 * time.Millisecond
	// storeServedTimeout is how long the store may stay silent and still count as reachable. It is
	// longer than the one second for which a watch waits for changes.
	storeServedTimeout = 1500 * time.Millisecond
	// ownerStoreTimeout is how long an owner continues without an answer from the store while the
	// store answers other instances.
	ownerStoreTimeout = 6 * time.Second
)

// mayGrantLeases reports whether this instance, as an owner, may keep granting leases: the store has
// answered it recently, or has recently answered none of the live peers, of which there is at least one.
func (m *Manager) mayGrantLeases() bool {
	if m.store.SinceAnswer() < ownerStoreTimeout {
		return true
	}
	live := m.mesh.LivePeers()
	for _, heartbeat := range live {
		if time.Duration(heartbeat.GetStoreSilenceMillis())*time.Millisecond < storeLostTimeout {
			return false
		}
	}
	return len(live) > 0
}

// ownerLastConfirmed returns when the owner of a cell was last known to own it. The latest heartbeat
// alone does not show this, as a live incarnation may have lost the cell. For an incarnation that has
// ended it returns the zero time. The caller holds the mutex.
func (m *Manager) ownerLastConfirmed(c *cell) time.Time {
	if m.ended(c.ownership.Owner) {
		return time.Time{}
	}
	if c.ownerConfirmedAt.After(c.ownerSince) {
		return c.ownerConfirmedAt
	}
	return c.ownerSince
}

// HandlePeerExited records that the process of a peer's incarnation has ended.
func (m *Manager) HandlePeerExited(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.endedAt[incarnation]; !known {
		m.endedAt[incarnation] = m.Clock.Now()
		m.Log.Info("peer process ended", "peer", incarnation)
	}
}

// ended reports whether an incarnation is known to have ended: nothing listens on its address any
// more, or a later incarnation of the same instance is known. The caller holds the mutex.
func (m *Manager) ended(incarnation string) bool {
	if _, known := m.endedAt[incarnation]; known {
		return true
	}
	instance, started := incarnationInstance(incarnation), incarnationStart(incarnation)
	if instance == m.settings.Name && incarnation != m.incarnation && started.Before(m.startedAt) {
		return true
	}
	for other := range m.lastHeartbeat {
		if incarnationInstance(other) == instance && incarnationStart(other).After(started) {
			return true
		}
	}
	return false
}

// NoOwnerError reports that no owner of a cell was found in time. The call had no effect.
type NoOwnerError struct{ Cell string }

func (e *NoOwnerError) Error() string { return "no owner of cell " + e.Cell + " was found in time" }

// InDoubtError reports that the outcome of a call is unknown: it may have taken effect.
type InDoubtError struct {
	Cell string
	Err  error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("cell %s: outcome of the call unknown: %v", e.Cell, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// maxInFlightTransactions is how many transactions of one owner may be in flight while the store is
// slow. The store handles those of a part one after the other, which is half of the time of each: a second
// one uses the other half, and more of them only wait.
const maxInFlightTransactions = 2

// newCommitters returns one committer for each transaction that the owner with this fencing token
// may have in flight.
func (m *Manager) newCommitters(c *cell, fencingToken int64) []cellscheduler.Committer {
	committers := make([]cellscheduler.Committer, maxInFlightTransactions)
	for slot := range committers {
		name := fmt.Sprintf("%s/%s.%d.%d", c.name, m.incarnation, fencingToken, slot)
		writer := committer.NewWriter(m.store, name, m.Clock)
		writer.RetryWhenRestored(m.store.Restored)
		committers[slot] = writer
	}
	return committers
}

// peersWithStore returns the peers that the store answers, those in the same region first.
func (m *Manager) peersWithStore() []string {
	var sameRegion, otherRegions []string
	for incarnation, heartbeat := range m.mesh.LivePeers() {
		if heartbeat.GetLeaving() || time.Duration(heartbeat.GetStoreSilenceMillis())*time.Millisecond > storeServedTimeout {
			continue
		}
		if heartbeat.GetRegion() == m.settings.Region {
			sameRegion = append(sameRegion, incarnation)
		} else {
			otherRegions = append(otherRegions, incarnation)
		}
	}
	sort.Strings(sameRegion)
	sort.Strings(otherRegions)
	return append(sameRegion, otherRegions...)
}

// callStoreThroughPeer sends a store request to a peer, which makes the call on this instance's
// behalf.
func (m *Manager) callStoreThroughPeer(ctx context.Context, peer string, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := m.mesh.Call(ctx, peer, &messenger.Call{
		Kind: messenger.CallKind_CALL_KIND_TRANSACT, Job: request, PatienceNanos: int64(relayTimeout),
	})
	if err != nil {
		return nil, err
	}
	if reply.GetError() != messenger.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return nil, &badCallError{Reason: reply.GetReason()}
	}
	return reply.GetAnswer(), nil
}

// relayTimeout bounds a call to the store through a peer, including the time that a watch waits.
const relayTimeout = 3 * time.Second

// instanceRow is the value of an instance's row: how peers reach the instance.
type instanceRow struct {
	Incarnation      string         `json:"run"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability-zone"`
	Mesh             netip.AddrPort `json:"mesh"`
}

// instancesTable is the table with one row for each instance.
const instancesTable = "instances"

func (m *Manager) register() {
	value, err := json.Marshal(instanceRow{Incarnation: m.incarnation, Region: m.settings.Region, AvailabilityZone: m.settings.AvailabilityZone, Mesh: m.settings.Mesh})
	if err != nil {
		m.Log.Error("instance registration failed", "error", errors.Wrap(err, "encode row"))
		return
	}
	put := connector.Transaction{Puts: []connector.Put{{Key: instancesTable + "/all/" + m.settings.Name, Value: value}}}
	for m.ctx.Err() == nil {
		if _, err = m.store.Transact(m.ctx, put); err == nil {
			return
		}
		m.Log.Warn("instance registration failed, will retry", "error", err)
		m.sleep(registerRetryDelay)
	}
}

// registerRetryDelay is the delay before registration is retried.
const registerRetryDelay = 300 * time.Millisecond

func (m *Manager) sleep(duration time.Duration) {
	select {
	case <-m.ctx.Done():
	case <-m.Clock.After(duration):
	}
}
