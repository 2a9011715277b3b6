package cellmanager_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/connector"
)

// TestHeartbeatsDoNotGrowWithTheFleet counts the heartbeats that one instance sends and receives a
// second in fleets of different sizes, from the intervals of an owner and of another instance.
func TestHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	for _, test := range []struct {
		peers int
		// maxSent and maxToOwner are the most heartbeats a second from an instance that owns nothing,
		// and from all such instances to one owner.
		maxSent, maxToOwner float64
		// ownerInterval is the interval of the owner's heartbeats.
		ownerInterval time.Duration
	}{
		{peers: 8, maxSent: 32, maxToOwner: 32, ownerInterval: 250 * time.Millisecond},
		{peers: 36, maxSent: 44, maxToOwner: 144, ownerInterval: 250 * time.Millisecond},
		{peers: 146, maxSent: 42, maxToOwner: 167, ownerInterval: 250 * time.Millisecond},
		{peers: 1451, maxSent: 42, maxToOwner: 167, ownerInterval: 250 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test.peers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				for i := range test.peers - 2 {
					c.version++
					key := fmt.Sprintf("instances/all/peer-%d", i)
					c.rows[key] = connector.Row{Key: key, Version: c.version, Value: []byte(`{"run":"peer@1","region":"r","mesh":"127.0.0.1:9"}`)}
				}
				owner, others, stop := startThree(t, c)
				defer stopAll(stop)
				if interval := owner.HeartbeatInterval(others[0].Incarnation()); interval != test.ownerInterval {
					t.Errorf("an owner sends a heartbeat each %s, want %s", interval, test.ownerInterval)
				}
				perSecond := func(from *cellmanager.Manager, to string) float64 {
					return float64(time.Second) / float64(from.HeartbeatInterval(to))
				}
				toOwner := perSecond(others[0], owner.Incarnation())
				sent := float64(test.peers-1)*perSecond(others[0], others[1].Incarnation()) + toOwner
				if sent > test.maxSent+toOwner || toOwner*float64(test.peers) > test.maxToOwner {
					t.Errorf("an instance sends %.1f heartbeats a second, want at most %.0f; an owner receives %.1f, want at most %.0f", sent, test.maxSent, toOwner*float64(test.peers), test.maxToOwner)
				}
			})
		})
	}
}
