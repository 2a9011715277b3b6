package cellmanager

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/elector"
)

const (
	// usualHeartbeatInterval is the interval of the heartbeats that detect a failed owner, and of all
	// heartbeats in a small fleet.
	usualHeartbeatInterval = elector.HeartbeatTimeout / 5
	// intervalPerPeer and ownerIntervalPerPeer, times the number of peers, are the intervals of other
	// heartbeats: an instance sends forty a second to peers that own no cell, and each owner receives at
	// most 160 a second, however large the fleet is.
	intervalPerPeer      = 25 * time.Millisecond
	ownerIntervalPerPeer = 6 * time.Millisecond
)

// HeartbeatInterval returns the time until this instance's next heartbeat to a peer. Heartbeats of an
// owner are frequent, because they show that it works; those to an owner tell it which instances can
// help it. All others only rank the candidates for a cell, where an instance that has failed unnoticed
// costs the others one elector.StaggerDelay.
func (m *Manager) HeartbeatInterval(peer string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	perPeer := intervalPerPeer
	for _, c := range m.cells {
		if c.scheduler != nil {
			return usualHeartbeatInterval
		}
		if c.ownership.Owner == peer {
			perPeer = ownerIntervalPerPeer
		}
	}
	return max(usualHeartbeatInterval, time.Duration(m.peerCount)*perPeer)
}
