package cellmanager_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/connector"
)

func proven(manager *cellmanager.Manager) bool {
	_, proven := manager.ProvenConfiguration()
	return proven
}

// TestOutdatedConfigurationProvesNothing: an instance that can't confirm its configuration stops to state which queues
// and keys don't exist before the configuration limit, and acts on the keys that it knows until the revocation limit.
func TestOutdatedConfigurationProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		c.configurationLimit = applyLimit
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		instance := others[0]
		c.set(func() { c.refused[name(instance)], c.silent[instance.Incarnation()] = true, true })
		cutAt := time.Now()
		wantVerdict(t, instance, "q", "key-c", "401 unknown-key")
		for time.Since(cutAt) < applyLimit {
			sleep(transferTick)
		}
		if proven(instance) || instance.Ready() {
			t.Errorf("proven %t, ready %t after the configuration limit", proven(instance), instance.Ready())
		}
		wantVerdict(t, instance, "q", "key-c", "503")
		sleep(limit - applyLimit)
		wantVerdict(t, instance, "q", "key-a", "503")
		if !proven(others[1]) || !others[1].Ready() {
			t.Error("the other instances are not proven or not ready")
		}
	})
}

// TestKnownKeysOutliveTheProof: between the two limits a known key is accepted, and an unknown one is not denied.
func TestKnownKeysOutliveTheProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		c.configurationLimit = applyLimit
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		c.set(func() { c.down = true })
		for proven(others[0]) {
			wantVerdict(t, others[0], "q", "key-a", "ok a")
			wantVerdict(t, others[0], "q", "key-c", "401 unknown-key")
			sleep(transferTick)
		}
		wantVerdict(t, others[0], "q", "key-a", "ok a")
		wantVerdict(t, others[0], "q", "key-c", "503")
		if others[0].Ready() {
			t.Error("ready without a proven configuration")
		}
	})
}

// TestStaleReadProvesNothing: the store has discarded its history and answers reads with an earlier state, in which a key
// is valid that has been taken away.
func TestStaleReadProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		stale, version := func() (map[string]connector.Row, int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return maps.Clone(c.rows), c.version
		}()
		// The instances have seen a later version of the store before.
		c.putWorker("w", "ready")
		sleep(3 * time.Second)
		c.set(func() { c.stale, c.staleVersion = stale, version })
		sleep(limit)
		for range 100 {
			wantVerdict(t, others[0], "q", "key-a", "503")
			sleep(100 * time.Millisecond)
		}
		c.set(func() { c.stale = nil })
		sleep(time.Second)
		wantVerdict(t, others[0], "q", "key-a", "ok a")
	})
}

// TestProofReturnsWithTheStore: once the store answers again after an outage, every instance soon knows that its
// configuration is the newest one, also without teams.
func TestProofReturnsWithTheStore(t *testing.T) {
	const soon = 500 * time.Millisecond
	for name, outage := range map[string]func(c *cluster, begins bool){
		"refuses all": func(c *cluster, begins bool) { c.down = begins },
		"answers no instance": func(c *cluster, begins bool) {
			for _, manager := range c.managers {
				c.hanging[name(manager)] = begins
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				c.keyFaults = keyFaults{configurationLimit: 3 * time.Second, hanging: make(map[string]bool), suspended: make(map[string]time.Duration)}
				_, others, stop := startThree(t, c)
				defer stopAll(stop)
				for range 10 {
					c.set(func() { outage(c, true) })
					sleep(4500 * time.Millisecond)
					if proven(others[0]) {
						t.Error("proven without an answer for 4.5 s")
					}
					c.set(func() { outage(c, false) })
					sleep(soon)
					for _, manager := range others {
						if !proven(manager) {
							t.Errorf("%s is not proven %s after the outage", manager.Incarnation(), soon)
						}
					}
					sleep(5130 * time.Millisecond)
				}
			})
		})
	}
}
