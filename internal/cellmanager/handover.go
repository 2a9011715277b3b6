package cellmanager

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/elector"
)

// shouldHandOff reports whether this instance should hand a cell that it owns off to another one:
// its own machine is slow and another one is not, or another machine is larger or nearer to the
// store and the difference has lasted for the stabilization window. The caller holds the mutex.
func (m *Manager) shouldHandOff(c *cell) bool {
	if c.scheduler == nil || c.inTransition {
		return false
	}
	candidates := m.candidates()
	for _, other := range candidates[1:] {
		if candidates[0].ShouldEvacuateTo(other) && m.Clock.Since(c.ownerSince) > slowHandOffDelay {
			return true
		}
	}
	if m.Clock.Since(c.ownerSince) < stabilizationWindow {
		c.betterCandidateSince = time.Time{}
		return false
	}
	betterCandidate := false
	for _, other := range candidates[1:] {
		betterCandidate = betterCandidate || candidates[0].ShouldMoveTo(other) && m.Clock.Since(other.Started) > stabilizationWindow
	}
	if !betterCandidate {
		c.betterCandidateSince = time.Time{}
		return false
	}
	if c.betterCandidateSince.IsZero() {
		c.betterCandidateSince = m.Clock.Now()
	}
	return m.Clock.Since(c.betterCandidateSince) > stabilizationWindow
}

// handOff releases a cell so that an instance on a better machine claims it.
func (m *Manager) handOff(c *cell) {
	ctx, cancel := context.WithTimeout(m.ctx, ownerChangeTimeout)
	defer cancel()
	m.Log.Info("cell given away", "cell", c.name, "slow", m.slowness.Slow(), "store-silent-ms", m.store.SinceDirectAnswer().Milliseconds(), "round-trip-ms", m.store.RoundTrip().Milliseconds())
	m.releaseCell(ctx, c)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.inTransition = false
}

// slowHandOffDelay is the minimum time that an owner on a slow machine keeps a cell.
const slowHandOffDelay = time.Second

// stabilizationWindow is the minimum time that an owner keeps a cell, that a better candidate must
// have been running, and that it must have been better, before the cell is handed off.
const stabilizationWindow = 3 * time.Second

// ReleaseCells releases the cells of this instance during a graceful shutdown: pending writes are
// finished, and the peers are told at once that the cells need another owner. If none of them claims a
// cell, its owner row is left without an owner.
func (m *Manager) ReleaseCells(ctx context.Context) {
	m.leaving.Store(true)
	m.mu.Lock()
	var owned []*cell
	for _, c := range m.cells {
		if c.scheduler != nil {
			owned = append(owned, c)
		}
	}
	m.mu.Unlock()
	for _, c := range owned {
		m.releaseCell(ctx, c)
	}
}

// releaseCell stops scheduling a cell and leaves it to a successor. During a graceful shutdown the peers
// are told before the pending writes are finished: each of these takes effect before the successor's
// claim or not at all, and a caller whose submission did not is sent on to the successor.
func (m *Manager) releaseCell(ctx context.Context, c *cell) {
	m.mu.Lock()
	scheduler, stop := c.scheduler, c.stopScheduler
	known := c.ownership
	c.releasing = scheduler != nil
	m.mu.Unlock()
	if scheduler == nil {
		return
	}
	finished := make(chan error, 1)
	m.group.Go(func() { finished <- scheduler.Shutdown(ctx) })
	succeeded := false
	if m.leaving.Load() {
		m.mesh.Announce()
		succeeded = m.awaitSuccessor(ctx, c, known)
	}
	if err := <-finished; err != nil {
		m.Log.Warn("cell left in haste", "cell", c.name, "error", err)
	}
	stop()
	m.mu.Lock()
	m.forgetScheduler(c)
	c.releasing = false
	m.mu.Unlock()
	if succeeded {
		return
	}
	ownership, err := elector.Release(ctx, m.store, known)
	m.Log.Info("cell left", "cell", c.name, "fence", known.FencingToken, "error", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.updateOwner(c, ownership)
	}
}

// successorTimeout is how long a leaving owner waits for a successor before it releases the row. A
// claim takes up to 0.8 s while the store is slow, and candidates check the owners ten times a second.
const successorTimeout = 1500 * time.Millisecond

// awaitSuccessor waits until a peer owns a cell that this instance has abandoned. It reports false if
// none has claimed it.
func (m *Manager) awaitSuccessor(ctx context.Context, c *cell, known elector.Ownership) bool {
	if len(m.mesh.LivePeers()) == 0 {
		return false
	}
	timeout := m.Clock.After(successorTimeout)
	for {
		m.mu.Lock()
		current, changed := c.ownership, c.ownerChanged
		m.mu.Unlock()
		if current.FencingToken > known.FencingToken {
			m.Log.Info("cell left", "cell", c.name, "fence", known.FencingToken, "successor", current.Owner)
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
