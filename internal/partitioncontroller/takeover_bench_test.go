package partitioncontroller_test

import (
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// BenchmarkTakeOver kills the owner of a partition, or hands the partition over, 30 times, each
// time at a different point of its renewal interval. It reports how long an urgent quick request
// submitted right after that waits until the successor starts it. Time is virtual, so the figures
// reflect only the protocol.
func BenchmarkTakeOver(b *testing.B) {
	for _, mode := range []simulator.FenceMode{simulator.CompareEpochs, simulator.WaitForLeaseExpiry} {
		for _, how := range []string{"kill", "hand-over"} {
			b.Run(fmt.Sprintf("%s/%s", mode, how), func(b *testing.B) {
				const rounds = 30
				for range b.N {
					var waits []time.Duration
					for round := range rounds {
						synctest.Test(&testing.T{}, func(*testing.T) { waits = append(waits, measureTakeOver(mode, how, round)) })
					}
					sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
					b.ReportMetric(waits[rounds/2].Seconds(), "p50-s")
					b.ReportMetric(waits[rounds-1].Seconds(), "max-s")
				}
			})
		}
	}
}

func measureTakeOver(mode simulator.FenceMode, how string, round int) time.Duration {
	c := newTestCluster(mode, smallSize)
	c.startInstance(0)
	c.startInstance(1)
	<-c.clock.After(8*time.Second + time.Duration(round)*37*time.Millisecond)
	owner, other := c.instanceAt(0), c.instanceAt(1)
	began := c.clock.Now()
	if how == "kill" {
		owner.kill()
		c.mu.Lock()
		c.instances = map[int]*testInstance{0: other}
		c.mu.Unlock()
	} else {
		c.background.Go(func() { c.handOver(owner, other) })
	}
	// One of the two keys belongs to the partition that the owner held.
	for _, key := range []string{"caller/ab", "caller/abc"} {
		c.startCaller(key, modeler.Job{Class: modeler.Quick, Team: "team", Tasks: 1, Repeatable: true, Urgent: true}, 0)
	}
	<-c.clock.After(time.Minute)
	var last time.Duration
	for _, event := range c.platform.Events() {
		if event.Started {
			last = max(last, event.At.Sub(began))
		}
	}
	c.shutDown()
	synctest.Wait()
	return last
}
