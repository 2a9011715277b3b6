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

// Follow registers the instance and follows the rules, the peers and the owners.
func (d *Manager) Follow() {
	d.group.Go(d.register)
	d.follow(d.ctx, d.Decoders.ConfigurationTable, "", d.applyRules)
	d.follow(d.ctx, instancesTable, "all", d.applyPeers())
	d.group.Go(d.lookAfterOwners)
}

func (d *Manager) follow(ctx context.Context, table, part string, apply func([]connector.Row, bool)) {
	d.group.Go(func() {
		tablewatcher.Watch(ctx, tablewatcher.Options{
			Store: d.store, Clock: d.Clock, Log: d.Log, Table: table, Part: part,
			Wait: watchWait, Anew: readAnew, Apply: apply,
		})
	})
}

func (d *Manager) applyRules(rows []connector.Row, _ bool) {
	for _, row := range rows {
		if row.Key != d.Decoders.ConfigurationKey || row.Value == nil {
			continue
		}
		rules, err := d.Decoders.Configuration(row.Value)
		if err != nil {
			d.Log.Error("rules can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		if !d.book.Apply(rules) {
			continue
		}
		d.Log.Info("rules applied", "version", rules.Version, "queues", len(rules.Queues), "services", len(rules.Services))
		for _, service := range rules.Services {
			d.openCell(service.Name)
		}
	}
}

// openCell begins to follow the owner of a cell.
func (d *Manager) openCell(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cells[name] != nil {
		return
	}
	c := &cell{name: name, since: d.Clock.Now(), changed: make(chan struct{}), ownership: elector.Ownership{Cell: name}}
	d.cells[name] = c
	d.follow(d.ctx, elector.OwnersTable, name, func(rows []connector.Row, whole bool) { d.applyOwner(c, rows, whole) })
}

func (d *Manager) applyOwner(c *cell, rows []connector.Row, whole bool) {
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
		d.Log.Error("owner's row can't be read", "row", stored.Key, "version", stored.Version, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.read = true
	d.learnOwner(c, ownership)
}

// learnOwner takes in what a row says, unless something newer is known. The caller holds the mutex.
func (d *Manager) learnOwner(c *cell, ownership elector.Ownership) {
	known := &c.ownership
	if ownership.Fence < known.Fence || ownership.Version <= known.Version {
		return
	}
	changed := ownership.Holder != known.Holder || ownership.Fence != known.Fence
	*known = ownership
	if changed {
		d.ownerChanged(c)
	}
}

// ownerChanged starts or ends this instance's own work on a cell. The caller holds the mutex.
func (d *Manager) ownerChanged(c *cell) {
	c.since = d.Clock.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	d.Log.Info("owner known", "cell", c.name, "owner", c.ownership.Holder, "fence", c.ownership.Fence, "version", c.ownership.Version)
	if c.ownership.Mesh.IsValid() && c.ownership.Holder != d.run {
		d.mesh.Meet(modeler.Instance{Name: c.ownership.Holder, Region: c.ownership.Region, Mesh: c.ownership.Mesh})
	}
	if c.scheduler != nil && (c.ownership.Holder != d.run || c.scheduler.Claim().Fence != c.ownership.Fence) {
		d.group.Go(c.stop)
		c.scheduler, c.stop = nil, nil
	}
	if c.ownership.Holder == d.run && c.scheduler == nil && c.ownership.Version != 0 && !d.leaving.Load() {
		d.startScheduler(c)
	}
}

func (d *Manager) startScheduler(c *cell) {
	claim := cellscheduler.Claim{
		Cell:    c.name,
		Fence:   c.ownership.Fence,
		Row:     elector.OwnerKey(c.name),
		Version: c.ownership.Version,
		First:   c.ownership.Fence == 1,
	}
	ctx, cancel := context.WithCancel(d.ctx)
	var stop func()
	c.scheduler, stop = cellscheduler.Start(claim, d.settings.Scheduler, cellscheduler.Dependencies{
		Clock:         d.Clock,
		Log:           d.Log,
		Workers:       d.Workers,
		Advisors:      d,
		Journals:      d.newWriters(c, claim.Fence),
		Rows:          d.store,
		Configuration: d.book,
		Confirmed:     d.confirmed,
		Deposed:       func() { d.deposed(c, claim.Fence) },
		Counts:        d.Counts,
	})
	c.stop = func() {
		cancel()
		stop()
	}
	began := c.scheduler
	d.follow(ctx, d.Decoders.WorkersTable, "", func(rows []connector.Row, whole bool) { d.applyWorkers(began, rows, whole) })
}

// deposed is called when the store or a worker has shown that somebody else owns a cell. Who that is
// comes with the row.
func (d *Manager) deposed(c *cell, fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.scheduler == nil || c.scheduler.Claim().Fence != fence {
		return
	}
	d.group.Go(c.stop)
	c.scheduler, c.stop = nil, nil
	if c.ownership.Holder == d.run {
		c.ownership.Holder = ""
		c.since = d.Clock.Now()
	}
}

func (d *Manager) applyWorkers(to *cellscheduler.Scheduler, rows []connector.Row, whole bool) {
	var named []workerdriver.Worker
	var gone []string
	for _, row := range rows {
		if row.Value == nil {
			if info, known := idOf(row.Key); known {
				gone = append(gone, info)
			}
			continue
		}
		worker, err := d.Decoders.Worker(row.Key, row.Value)
		if err != nil {
			d.Log.Warn("worker's entry can't be read", "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		named = append(named, worker)
	}
	to.SetWorkers(named, gone, whole)
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

func (d *Manager) applyPeers() func([]connector.Row, bool) {
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
				d.Log.Error("peer's row can't be read", "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			peers[row.Key] = peer
		}
		instances := make([]modeler.Instance, 0, len(peers))
		for _, peer := range peers {
			if peer.Run != d.run {
				instances = append(instances, modeler.Instance{Name: peer.Run, Region: peer.Region, AvailabilityZone: peer.AvailabilityZone, Mesh: peer.Mesh})
			}
		}
		d.mu.Lock()
		d.listed = len(instances)
		d.mu.Unlock()
		d.mesh.SetPeers(instances)
	}
}

// lookAfterOwners claims cells whose owner is silent.
func (d *Manager) lookAfterOwners() {
	ticker := d.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.Chan():
		}
		d.slowness.Measure()
		if d.leaving.Load() {
			continue
		}
		d.mu.Lock()
		for _, c := range d.cells {
			if d.claimDue(c) {
				c.claiming = true
				known := c.ownership
				d.group.Go(func() { d.claim(c, known) })
			} else if d.givesUp(c) {
				c.claiming = true
				d.group.Go(func() { d.giveAway(c) })
			}
		}
		d.mu.Unlock()
	}
}

// claimDue tells whether it is this instance's turn to claim a cell. The caller holds the mutex.
func (d *Manager) claimDue(c *cell) bool {
	if !c.read || c.claiming || c.scheduler != nil {
		return false
	}
	silentFrom := c.since
	if c.ownership.Holder != "" && !d.ended(c.ownership.Holder) {
		silentFrom = d.lastHeld(c).Add(elector.FailureTimeout)
		if d.listed > 0 && len(d.mesh.Live()) == 0 {
			// Whoever hears nobody may be cut off itself, and would take the cell from an owner that
			// all others hear.
			silentFrom = silentFrom.Add(alonePatience)
		}
	}
	delay, candidate := elector.ClaimDelay(d.candidates(), d.run)
	return candidate && d.Clock.Since(silentFrom) >= delay
}

// givesUp tells whether this instance owns a cell that one on a larger, nearer or steadier machine
// should have. The caller holds the mutex.
func (d *Manager) givesUp(c *cell) bool {
	if c.scheduler == nil || c.claiming {
		return false
	}
	candidates := d.candidates()
	for _, other := range candidates[1:] {
		if candidates[0].ShouldEvacuateTo(other) && d.Clock.Since(c.since) > slowAfter {
			return true
		}
	}
	if d.Clock.Since(c.since) < settledAfter {
		c.worseSince = time.Time{}
		return false
	}
	worse := false
	for _, other := range candidates[1:] {
		worse = worse || candidates[0].ShouldMoveTo(other) && d.Clock.Since(other.Started) > settledAfter
	}
	if !worse {
		c.worseSince = time.Time{}
		return false
	}
	if c.worseSince.IsZero() {
		c.worseSince = d.Clock.Now()
	}
	return d.Clock.Since(c.worseSince) > settledAfter
}

// giveAway leaves a cell to an instance on a larger, nearer or sound machine.
func (d *Manager) giveAway(c *cell) {
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	d.Log.Info("cell given away", "cell", c.name, "slow", d.slowness.Slow(), "store-silent-ms", d.store.DirectSilence().Milliseconds(), "round-trip-ms", d.store.RoundTrip().Milliseconds())
	d.leaveCell(ctx, c)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.claiming = false
}

// slowAfter is how long an owner keeps a cell at least although its machine is slow.
const slowAfter = time.Second

// settledAfter is how long an owner keeps a cell at least, and how long a candidate has to have run.
const settledAfter = 3 * time.Second

// candidates are the instances that could claim a cell. The caller holds the mutex.
func (d *Manager) candidates() []elector.Candidate {
	candidates := []elector.Candidate{{Name: d.run, Started: d.startedAt, StoreUnreachable: d.store.DirectSilence() > storeLost, RoundTrip: d.store.RoundTrip(), Slow: d.slowness.Slow(), Processors: d.settings.Processors}}
	for run, beat := range d.mesh.Live() {
		if d.alive(run) {
			candidates = append(candidates, elector.Candidate{
				Name: run, Started: startOf(run), Leaving: beat.GetLeaving(), Slow: beat.GetSlow(),
				StoreUnreachable: time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond > storeLost,
				StoreAnswered:    time.Duration(beat.GetStoreSilenceMillis())*time.Millisecond < storeServed,
				RoundTrip:        time.Duration(beat.GetStoreRoundTripMillis()) * time.Millisecond,
				Processors:       modeler.Processors(beat.GetProcessors()),
			})
		}
	}
	return candidates
}

func (d *Manager) claim(c *cell, known elector.Ownership) {
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	d.Log.Info("claiming", "cell", c.name, "owner", known.Holder, "fence", known.Fence, "version", known.Version)
	ownership, err := elector.Claim(ctx, d.store, elector.Claimant{Run: d.run, Region: d.settings.Region, Mesh: d.settings.Mesh}, known)
	var lost *elector.LostError
	if err != nil && !errors.As(err, &lost) {
		// The row tells what became of the claim.
		d.Log.Warn("claim without answer", "cell", c.name, "error", err)
		ownership, err = d.readOwner(ctx, c)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.claiming = false
	if err != nil && !errors.As(err, &lost) {
		c.since = d.Clock.Now()
		return
	}
	d.learnOwner(c, ownership)
}

func (d *Manager) readOwner(ctx context.Context, c *cell) (elector.Ownership, error) {
	rows, err := d.store.Read(ctx, elector.OwnerKey(c.name))
	if err != nil {
		return elector.Ownership{}, err
	}
	return elector.ParseOwnership(c.name, rows[elector.OwnerKey(c.name)])
}

// Leave hands the cells of this instance over: what is being written is finished, and each row is
// left without an owner, so that another instance claims it at once.
func (d *Manager) Leave(ctx context.Context) {
	d.leaving.Store(true)
	d.mu.Lock()
	var own []*cell
	for _, c := range d.cells {
		if c.scheduler != nil {
			own = append(own, c)
		}
	}
	d.mu.Unlock()
	for _, c := range own {
		d.leaveCell(ctx, c)
	}
}

func (d *Manager) leaveCell(ctx context.Context, c *cell) {
	d.mu.Lock()
	leaving, stop := c.scheduler, c.stop
	known := c.ownership
	d.mu.Unlock()
	if leaving == nil {
		return
	}
	if err := leaving.Leave(ctx); err != nil {
		d.Log.Warn("cell left in haste", "cell", c.name, "error", err)
	}
	stop()
	ownership, err := elector.Release(ctx, d.store, known)
	d.Log.Info("cell left", "cell", c.name, "fence", known.Fence, "error", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.scheduler, c.stop = nil, nil
	if err == nil {
		d.learnOwner(c, ownership)
	}
}
