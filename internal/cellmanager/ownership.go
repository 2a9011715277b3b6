package cellmanager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/elector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/tablewatcher"
	"dotterelpost.example/dotterelpost/internal/workerrelayer"
)

const (
	// ownerCheckInterval is how often owners are checked for failover and hand-off.
	ownerCheckInterval = 100 * time.Millisecond
	// watchTimeout is how long a watch of a table waits for a change.
	watchTimeout = time.Second
	// resyncInterval is how often a watched table is read in full.
	resyncInterval = 6 * time.Second
	// isolationDelay is how much longer an instance that hears no peer waits before it claims a
	// cell. Most network partitions end within this time.
	isolationDelay = 6 * time.Second
	// ownerChangeTimeout bounds one claim or hand-off of a cell.
	ownerChangeTimeout = 2 * time.Second
)

// Start registers the instance and starts to watch the configuration, the peers and the owners of
// cells.
func (m *Manager) Start() {
	m.group.Go(m.register)
	m.watchConfiguration()
	m.watchTable(m.ctx, instancesTable, "all", m.applyPeers())
	m.group.Go(m.monitorOwners)
}

func (m *Manager) watchTable(ctx context.Context, table, part string, apply func([]connector.Row, bool)) {
	m.group.Go(func() {
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: m.store, Clock: m.Clock, Log: m.Log, Table: table, Part: part,
			WatchTimeout: watchTimeout, ResyncInterval: resyncInterval, Apply: apply,
		})
	})
}

// trackCell starts to watch the owner row of a cell.
func (m *Manager) trackCell(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cells[name] != nil {
		return
	}
	c := &cell{name: name, ownerSince: m.Clock.Now(), ownerChanged: make(chan struct{}), ownership: elector.Ownership{Cell: name}}
	m.cells[name] = c
	m.watchTable(m.ctx, elector.OwnersTable, name, func(rows []connector.Row, snapshot bool) { m.applyOwner(c, rows, snapshot) })
}

func (m *Manager) applyOwner(c *cell, rows []connector.Row, snapshot bool) {
	stored := connector.Row{Key: elector.OwnerKey(c.name)}
	found := snapshot
	for _, row := range rows {
		if row.Key == stored.Key {
			stored, found = row, true
		}
	}
	if !found {
		return
	}
	ownership, err := elector.ParseOwnership(c.name, stored)
	if err != nil {
		m.Log.Error("invalid owner row", "row", stored.Key, "version", stored.Version, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.rowRead = true
	m.updateOwner(c, ownership)
}

// updateOwner applies the contents of an owner row, unless a newer one is already known. The caller
// holds the mutex.
func (m *Manager) updateOwner(c *cell, ownership elector.Ownership) {
	known := &c.ownership
	if ownership.FencingToken < known.FencingToken || ownership.Version <= known.Version {
		return
	}
	changed := ownership.Owner != known.Owner || ownership.FencingToken != known.FencingToken
	*known = ownership
	if changed {
		m.handleOwnerChange(c)
	}
}

// handleOwnerChange wakes callers that wait for a new owner, and starts or stops this instance's
// scheduler of the cell. The caller holds the mutex.
func (m *Manager) handleOwnerChange(c *cell) {
	c.ownerSince, c.abandonedAt = m.Clock.Now(), time.Time{}
	close(c.ownerChanged)
	c.ownerChanged = make(chan struct{})
	m.Log.Info("owner known", "cell", c.name, "owner", c.ownership.Owner, "fence", c.ownership.FencingToken, "version", c.ownership.Version)
	if c.ownership.Mesh.IsValid() && c.ownership.Owner != m.incarnation {
		m.mesh.AddPeer(modeler.Instance{Name: c.ownership.Owner, Region: c.ownership.Region, Mesh: c.ownership.Mesh})
	}
	if c.scheduler != nil && (c.ownership.Owner != m.incarnation || c.scheduler.Claim().FencingToken != c.ownership.FencingToken) {
		m.group.Go(c.stopScheduler)
		m.forgetScheduler(c)
	}
	if c.ownership.Owner == m.incarnation && c.scheduler == nil && c.ownership.Version != 0 && !m.leaving.Load() {
		m.startScheduler(c)
	}
}

func (m *Manager) startScheduler(c *cell) {
	claim := cellscheduler.Claim{
		Cell:            c.name,
		FencingToken:    c.ownership.FencingToken,
		OwnerKey:        elector.OwnerKey(c.name),
		OwnerVersion:    c.ownership.Version,
		LastToken:       c.ownership.LastToken(),
		NoPreviousOwner: c.ownership.HadNoPreviousOwner(),
	}
	ctx, cancel := context.WithCancel(m.ctx)
	var stop func()
	relays := newRelaySelector(m)
	c.relays = relays
	c.scheduler, stop = cellscheduler.Start(claim, m.settings.Scheduler, cellscheduler.Dependencies{
		Clock:              m.Clock,
		Log:                m.Log,
		WorkerClient:       workerrelayer.New(workerrelayer.Dependencies{Direct: m.Workers, Relays: relays, CallPeer: m.callWorkerThroughPeer}),
		AdvisorClient:      m,
		Committers:         m.newCommitters(c, claim.FencingToken),
		SnapshotReader:     m.store,
		PathTable:          m.store,
		Configuration:      m.configuration,
		OwnershipConfirmed: m.mayGrantLeases,
		StoreRestored:      m.store.Restored,
		StoreSilence:       m.store.SinceAnswer,
		OnOwnershipLost:    func() { m.handleOwnershipLost(c, claim.FencingToken) },
		Metrics:            m.Metrics,
		Access:             cellscheduler.Access{KeysProven: m.keysProven, Denials: m.keys.denials},
	})
	c.stopScheduler = func() {
		cancel()
		stop()
	}
	m.reportOwnership()
	list := &workerList{manager: m, scheduler: c.scheduler, relays: relays, invalid: make(map[string]bool)}
	m.watchTable(ctx, m.Decoders.WorkersTable, "", list.apply)
}

// forgetScheduler records that this instance no longer schedules a cell. The caller holds the mutex.
func (m *Manager) forgetScheduler(c *cell) {
	c.scheduler, c.stopScheduler = nil, nil
	m.reportOwnership()
}

// reportOwnership reports whether this instance owns any cell. The caller holds the mutex.
func (m *Manager) reportOwnership() {
	if m.OnOwnershipChanged == nil {
		return
	}
	owns := false
	for _, c := range m.cells {
		owns = owns || c.scheduler != nil
	}
	m.OnOwnershipChanged(owns)
}

// handleOwnershipLost is called when the store or a worker has shown that another instance owns a
// cell. Which instance that is becomes known when the owner row is read.
func (m *Manager) handleOwnershipLost(c *cell, fencingToken int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.scheduler == nil || c.scheduler.Claim().FencingToken != fencingToken {
		return
	}
	m.group.Go(c.stopScheduler)
	m.forgetScheduler(c)
	if c.ownership.Owner == m.incarnation {
		c.ownership.Owner = ""
		c.ownerSince = m.Clock.Now()
	}
}

func (m *Manager) applyPeers() func([]connector.Row, bool) {
	peers := make(map[string]instanceRow)
	return func(rows []connector.Row, snapshot bool) {
		if snapshot {
			clear(peers)
		}
		for _, row := range rows {
			var peer instanceRow
			if row.Value == nil {
				delete(peers, row.Key)
				continue
			}
			if err := json.Unmarshal(row.Value, &peer); err != nil || !peer.Mesh.IsValid() {
				m.Log.Error("invalid instance row", "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			peers[row.Key] = peer
		}
		zones := make(map[string]string, len(peers))
		instances := make([]modeler.Instance, 0, len(peers))
		for _, peer := range peers {
			if peer.Incarnation != m.incarnation {
				zones[peer.Incarnation] = peer.AvailabilityZone
				instances = append(instances, modeler.Instance{Name: peer.Incarnation, Region: peer.Region, AvailabilityZone: peer.AvailabilityZone, Mesh: peer.Mesh})
			}
		}
		m.mu.Lock()
		m.peerCount, m.peerZones = len(instances), zones
		m.mu.Unlock()
		m.mesh.SetPeers(instances)
	}
}

// monitorOwners claims cells whose owner has failed, and hands cells off to better owners.
func (m *Manager) monitorOwners() {
	ticker := m.Clock.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.slowness.Measure()
		m.renewProof()
		if m.leaving.Load() {
			continue
		}
		m.mu.Lock()
		for _, c := range m.cells {
			if c.scheduler != nil {
				c.relays.update()
			}
			if m.shouldClaim(c) {
				c.inTransition = true
				known := c.ownership
				m.group.Go(func() { m.claim(c, known) })
			} else if m.shouldHandOff(c) {
				c.inTransition = true
				m.group.Go(func() { m.handOff(c) })
			}
		}
		m.mu.Unlock()
	}
}

// shouldClaim reports whether this instance should claim a cell now. The caller holds the mutex.
func (m *Manager) shouldClaim(c *cell) bool {
	if !c.rowRead || c.inTransition || c.scheduler != nil {
		return false
	}
	failedAt := c.ownerSince
	switch {
	case !c.abandonedAt.IsZero():
		failedAt = c.abandonedAt
	case c.ownership.Owner == "":
	case m.ended(c.ownership.Owner):
		// The delay of the candidates counts from the end of the owner, not from when it became the
		// owner: all of them would claim the cell at once, and any of them could win.
		if _, known := m.endedAt[c.ownership.Owner]; !known {
			m.endedAt[c.ownership.Owner] = m.Clock.Now()
		}
		if endedAt := m.endedAt[c.ownership.Owner]; endedAt.After(failedAt) {
			failedAt = endedAt
		}
	default:
		failedAt = m.ownerLastConfirmed(c).Add(elector.HeartbeatTimeout)
		if m.peerCount > 0 && len(m.mesh.LivePeers()) == 0 {
			// An instance that hears no peer may itself be cut off, and would then replace an owner
			// that all other instances still hear.
			failedAt = failedAt.Add(isolationDelay)
		}
	}
	delay, candidate := elector.ClaimDelay(m.candidates(), m.incarnation)
	return candidate && m.Clock.Since(failedAt) >= delay
}

// candidates returns the instances that could claim a cell, this instance first. The caller holds the
// mutex.
func (m *Manager) candidates() []elector.Candidate {
	candidates := []elector.Candidate{{Name: m.incarnation, Started: m.startedAt, StoreUnreachable: m.store.SinceDirectAnswer() > storeLostTimeout, RoundTrip: m.store.RoundTrip(), Slow: m.slowness.Slow(), Processors: m.settings.Processors}}
	for incarnation, heartbeat := range m.mesh.LivePeers() {
		if !m.ended(incarnation) {
			candidates = append(candidates, elector.Candidate{
				Name: incarnation, Started: incarnationStart(incarnation), Leaving: heartbeat.GetLeaving(), Slow: heartbeat.GetSlow(),
				StoreUnreachable:      time.Duration(heartbeat.GetStoreSilenceMillis())*time.Millisecond > storeLostTimeout,
				StoreAnsweredRecently: time.Duration(heartbeat.GetStoreSilenceMillis())*time.Millisecond < storeServedTimeout,
				RoundTrip:             time.Duration(heartbeat.GetStoreRoundTripMillis()) * time.Millisecond,
				Processors:            modeler.Processors(heartbeat.GetProcessors()),
			})
		}
	}
	return candidates
}

func (m *Manager) claim(c *cell, known elector.Ownership) {
	ctx, cancel := context.WithTimeout(m.ctx, ownerChangeTimeout)
	defer cancel()
	m.Log.Info("claiming", "cell", c.name, "owner", known.Owner, "fence", known.FencingToken, "version", known.Version)
	ownership, err := elector.Claim(ctx, m.store, elector.Claimant{Incarnation: m.incarnation, Region: m.settings.Region, Mesh: m.settings.Mesh}, known)
	var conflict *elector.ClaimConflictError
	if err != nil && !errors.As(err, &conflict) {
		// The outcome of the claim is unknown; the owner row shows it.
		m.Log.Warn("claim outcome unknown, reading the owner row", "cell", c.name, "error", err)
		ownership, err = m.readOwner(ctx, c)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.inTransition = false
	if err != nil && !errors.As(err, &conflict) {
		c.ownerSince = m.Clock.Now()
		return
	}
	m.updateOwner(c, ownership)
	m.mesh.Announce()
}

func (m *Manager) readOwner(ctx context.Context, c *cell) (elector.Ownership, error) {
	rows, err := m.store.Read(ctx, elector.OwnerKey(c.name))
	if err != nil {
		return elector.Ownership{}, err
	}
	return elector.ParseOwnership(c.name, rows[elector.OwnerKey(c.name)])
}
