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
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// lookEvery is how often owners are looked after.
	lookEvery = 100 * time.Millisecond
	// watchWait is how long a watch of a table waits for a change.
	watchWait = time.Second
	// readAnew is after how much time a followed table is read anew.
	readAnew = 6 * time.Second
	// alonePatience is how much longer an instance waits that hears no other: the usual cuts heal
	// within it.
	alonePatience = 6 * time.Second
	// claimTimeout bounds one claim.
	claimTimeout = 2 * time.Second
)

// Start registers the instance and follows the rules, the peers and the owners.
func (m *Manager) Start() {
	m.group.Go(m.register)
	m.follow(m.ctx, m.Decoders.ConfigurationTable, "", m.applyRules)
	m.follow(m.ctx, instancesTable, "all", m.applyPeers())
	m.group.Go(m.monitorOwners)
}

func (m *Manager) follow(ctx context.Context, table, part string, apply func([]connector.Row, bool)) {
	m.group.Go(func() {
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: m.store, Clock: m.Clock, Log: m.Log, Table: table, Part: part,
			WatchTimeout: watchWait, ResyncInterval: readAnew, Apply: apply,
		})
	})
}

func (m *Manager) applyRules(rows []connector.Row, _ bool) {
	for _, row := range rows {
		if row.Key != m.Decoders.ConfigurationKey || row.Value == nil {
			continue
		}
		rules, err := m.Decoders.Configuration(row.Value)
		if err != nil {
			m.Log.Error("rules can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		if !m.book.Apply(rules) {
			continue
		}
		m.Log.Info("rules applied", "version", rules.Version, "queues", len(rules.Queues), "services", len(rules.Services))
		for _, service := range rules.Services {
			m.openCell(service.Name)
		}
	}
}

// openCell begins to follow the owner of a cell.
func (m *Manager) openCell(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cells[name] != nil {
		return
	}
	c := &cell{name: name, since: m.Clock.Now(), changed: make(chan struct{}), ownership: elector.Ownership{Cell: name}}
	m.cells[name] = c
	m.follow(m.ctx, elector.OwnersTable, name, func(rows []connector.Row, whole bool) { m.applyOwner(c, rows, whole) })
}

func (m *Manager) applyOwner(c *cell, rows []connector.Row, whole bool) {
	stored := connector.Row{Key: elector.OwnerKey(c.name)}
	found := whole
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
		m.Log.Error("owner's row can't be read", "row", stored.Key, "version", stored.Version, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.read = true
	m.learnOwner(c, ownership)
}

// learnOwner takes in what a row says, unless something newer is known. The caller holds the mutex.
func (m *Manager) learnOwner(c *cell, ownership elector.Ownership) {
	known := &c.ownership
	if ownership.FencingToken < known.FencingToken || ownership.Version <= known.Version {
		return
	}
	changed := ownership.Owner != known.Owner || ownership.FencingToken != known.FencingToken
	*known = ownership
	if changed {
		m.ownerChanged(c)
	}
}

// ownerChanged starts or ends this instance's own work on a cell. The caller holds the mutex.
func (m *Manager) ownerChanged(c *cell) {
	c.since = m.Clock.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	m.Log.Info("owner known", "cell", c.name, "owner", c.ownership.Owner, "fence", c.ownership.FencingToken, "version", c.ownership.Version)
	if c.ownership.Mesh.IsValid() && c.ownership.Owner != m.run {
		m.mesh.AddPeer(modeler.Instance{Name: c.ownership.Owner, Region: c.ownership.Region, Mesh: c.ownership.Mesh})
	}
	if c.scheduler != nil && (c.ownership.Owner != m.run || c.scheduler.Claim().FencingToken != c.ownership.FencingToken) {
		m.group.Go(c.stop)
		c.scheduler, c.stop = nil, nil
	}
	if c.ownership.Owner == m.run && c.scheduler == nil && c.ownership.Version != 0 && !m.leaving.Load() {
		m.startScheduler(c)
	}
}

func (m *Manager) startScheduler(c *cell) {
	claim := cellscheduler.Claim{
		Cell:            c.name,
		FencingToken:           c.ownership.FencingToken,
		OwnerKey:        elector.OwnerKey(c.name),
		OwnerVersion:    c.ownership.Version,
		NoPreviousOwner: c.ownership.FencingToken == 1,
	}
	ctx, cancel := context.WithCancel(m.ctx)
	var stop func()
	c.scheduler, stop = cellscheduler.Start(claim, m.settings.Scheduler, cellscheduler.Dependencies{
		Clock:              m.Clock,
		Log:                m.Log,
		WorkerClient:       m.Workers,
		AdvisorClient:      m,
		Committers:         m.newWriters(c, claim.FencingToken),
		SnapshotReader:     m.store,
		Configuration:      m.book,
		OwnershipConfirmed: m.confirmed,
		OnOwnershipLost:    func() { m.deposed(c, claim.FencingToken) },
		Metrics:            m.Counts,
	})
	c.stop = func() {
		cancel()
		stop()
	}
	began := c.scheduler
	m.follow(ctx, m.Decoders.WorkersTable, "", func(rows []connector.Row, whole bool) { m.applyWorkers(began, rows, whole) })
}

// deposed is called when the store or a worker has shown that somebody else owns a cell. Who that is
// comes with the row.
func (m *Manager) deposed(c *cell, fence int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.scheduler == nil || c.scheduler.Claim().FencingToken != fence {
		return
	}
	m.group.Go(c.stop)
	c.scheduler, c.stop = nil, nil
	if c.ownership.Owner == m.run {
		c.ownership.Owner = ""
		c.since = m.Clock.Now()
	}
}

func (m *Manager) applyWorkers(to *cellscheduler.Scheduler, rows []connector.Row, whole bool) {
	var named []workerdriver.Worker
	var gone []string
	for _, row := range rows {
		if row.Value == nil {
			if info, known := idOf(row.Key); known {
				gone = append(gone, info)
			}
			continue
		}
		worker, err := m.Decoders.Worker(row.Key, row.Value)
		if err != nil {
			m.Log.Warn("worker's entry can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		named = append(named, worker)
	}
	to.UpdateWorkers(named, gone, whole)
}

// idOf is the last part of a row's key.
func idOf(key string) (string, bool) {
	slashes := 0
	for i := range key {
		if key[i] == '/' {
			if slashes++; slashes == 2 {
				return key[i+1:], i+1 < len(key)
			}
		}
	}
	return "", false
}

func (m *Manager) applyPeers() func([]connector.Row, bool) {
	peers := make(map[string]peerRow)
	return func(rows []connector.Row, whole bool) {
		if whole {
			clear(peers)
		}
		for _, row := range rows {
			var peer peerRow
			if row.Value == nil {
				delete(peers, row.Key)
				continue
			}
			if err := json.Unmarshal(row.Value, &peer); err != nil || !peer.Mesh.IsValid() {
				m.Log.Error("peer's row can't be read", "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			peers[row.Key] = peer
		}
		instances := make([]modeler.Instance, 0, len(peers))
		for _, peer := range peers {
			if peer.Run != m.run {
				instances = append(instances, modeler.Instance{Name: peer.Run, Region: peer.Region, AvailabilityZone: peer.AvailabilityZone, Mesh: peer.Mesh})
			}
		}
		m.mu.Lock()
		m.listed = len(instances)
		m.mu.Unlock()
		m.mesh.SetPeers(instances)
	}
}

// monitorOwners claims cells whose owner is silent.
func (m *Manager) monitorOwners() {
	ticker := m.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.Chan():
		}
		m.slowness.Measure()
		if m.leaving.Load() {
			continue
		}
		m.mu.Lock()
		for _, c := range m.cells {
			if m.claimDue(c) {
				c.claiming = true
				known := c.ownership
				m.group.Go(func() { m.claim(c, known) })
			} else if m.shouldGiveAway(c) {
				c.claiming = true
				m.group.Go(func() { m.giveAway(c) })
			}
		}
		m.mu.Unlock()
	}
}

// claimDue tells whether it is this instance's turn to claim a cell. The caller holds the mutex.
func (m *Manager) claimDue(c *cell) bool {
	if !c.read || c.claiming || c.scheduler != nil {
		return false
	}
	silentFrom := c.since
	if c.ownership.Owner != "" && !m.ended(c.ownership.Owner) {
		silentFrom = m.lastHeld(c).Add(elector.HeartbeatTimeout)
		if m.listed > 0 && len(m.mesh.LivePeers()) == 0 {
			// Whoever hears nobody may be cut off itself, and would take the cell from an owner that
			// all others hear.
			silentFrom = silentFrom.Add(alonePatience)
		}
	}
	delay, candidate := elector.ClaimDelay(m.candidates(), m.run)
	return candidate && m.Clock.Since(silentFrom) >= delay
}

// shouldGiveAway tells whether this instance owns a cell that one on a larger, nearer or steadier machine
// should have. The caller holds the mutex.
func (m *Manager) shouldGiveAway(c *cell) bool {
	if c.scheduler == nil || c.claiming {
		return false
	}
	candidates := m.candidates()
	for _, other := range candidates[1:] {
		if candidates[0].ShouldEvacuateTo(other) && m.Clock.Since(c.since) > slowAfter {
			return true
		}
	}
	if m.Clock.Since(c.since) < settledAfter {
		c.worseSince = time.Time{}
		return false
	}
	worse := false
	for _, other := range candidates[1:] {
		worse = worse || candidates[0].ShouldMoveTo(other) && m.Clock.Since(other.Started) > settledAfter
	}
	if !worse {
		c.worseSince = time.Time{}
		return false
	}
	if c.worseSince.IsZero() {
		c.worseSince = m.Clock.Now()
	}
	return m.Clock.Since(c.worseSince) > settledAfter
}

// giveAway leaves a cell to an instance on a larger, nearer or sound machine.
func (m *Manager) giveAway(c *cell) {
	ctx, cancel := context.WithTimeout(m.ctx, claimTimeout)
	defer cancel()
	m.Log.Info("cell given away", "cell", c.name, "slow", m.slowness.Slow(), "store-silent-ms", m.store.SinceDirectAnswer().Milliseconds(), "round-trip-ms", m.store.RoundTrip().Milliseconds())
	m.leaveCell(ctx, c)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.claiming = false
}

// slowAfter is how long an owner keeps a cell at least although its machine is slow.
const slowAfter = time.Second

// settledAfter is how long an owner keeps a cell at least, and how long a candidate has to have run.
const settledAfter = 3 * time.Second

// candidates are the instances that could claim a cell. The caller holds the mutex.
func (m *Manager) candidates() []elector.Candidate {
	candidates := []elector.Candidate{{Name: m.run, Started: m.startedAt, StoreUnreachable: m.store.SinceDirectAnswer() > storeLost, RoundTrip: m.store.RoundTrip(), Slow: m.slowness.Slow(), Processors: m.settings.Processors}}
	for run, beat := range m.mesh.LivePeers() {
		if m.alive(run) {
			candidates = append(candidates, elector.Candidate{
				Name: run, Started: startOf(run), Leaving: beat.GetLeaving(), Slow: beat.GetSlow(),
				StoreUnreachable:      time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond > storeLost,
				StoreAnsweredRecently: time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond < storeServed,
				RoundTrip:             time.Duration(beat.GetStoreRoundTripMillis()) * time.Millisecond,
				Processors:            modeler.Processors(beat.GetProcessors()),
			})
		}
	}
	return candidates
}

func (m *Manager) claim(c *cell, known elector.Ownership) {
	ctx, cancel := context.WithTimeout(m.ctx, claimTimeout)
	defer cancel()
	m.Log.Info("claiming", "cell", c.name, "owner", known.Owner, "fence", known.FencingToken, "version", known.Version)
	ownership, err := elector.Claim(ctx, m.store, elector.Claimant{Incarnation: m.run, Region: m.settings.Region, Mesh: m.settings.Mesh}, known)
	var lost *elector.ClaimConflictError
	if err != nil && !errors.As(err, &lost) {
		// The row tells what became of the claim.
		m.Log.Warn("claim without answer", "cell", c.name, "error", err)
		ownership, err = m.readOwner(ctx, c)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.claiming = false
	if err != nil && !errors.As(err, &lost) {
		c.since = m.Clock.Now()
		return
	}
	m.learnOwner(c, ownership)
}

func (m *Manager) readOwner(ctx context.Context, c *cell) (elector.Ownership, error) {
	rows, err := m.store.Read(ctx, elector.OwnerKey(c.name))
	if err != nil {
		return elector.Ownership{}, err
	}
	return elector.ParseOwnership(c.name, rows[elector.OwnerKey(c.name)])
}

// ReleaseCells hands the cells of this instance over: what is being written is finished, and each row is
// left without an owner, so that another instance claims it at once.
func (m *Manager) ReleaseCells(ctx context.Context) {
	m.leaving.Store(true)
	m.mu.Lock()
	var own []*cell
	for _, c := range m.cells {
		if c.scheduler != nil {
			own = append(own, c)
		}
	}
	m.mu.Unlock()
	for _, c := range own {
		m.leaveCell(ctx, c)
	}
}

func (m *Manager) leaveCell(ctx context.Context, c *cell) {
	m.mu.Lock()
	leaving, stop := c.scheduler, c.stop
	known := c.ownership
	m.mu.Unlock()
	if leaving == nil {
		return
	}
	if err := leaving.Shutdown(ctx); err != nil {
		m.Log.Warn("cell left in haste", "cell", c.name, "error", err)
	}
	stop()
	ownership, err := elector.Release(ctx, m.store, known)
	m.Log.Info("cell left", "cell", c.name, "fence", known.FencingToken, "error", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.scheduler, c.stop = nil, nil
	if err == nil {
		m.learnOwner(c, ownership)
	}
}
