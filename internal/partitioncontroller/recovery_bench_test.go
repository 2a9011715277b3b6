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

// BenchmarkTakeOver kills the owner of a partition 30 times, each time at another moment of its
// renewals, and reports how long an urgent quick request that arrives right after the kill waits
// for its start by the successor. Time is virtual, so the figures are those of the protocol.
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
	w := newWorld(mode, smallShape)
	w.start(0)
	w.start(1)
	<-w.clock.After(8*time.Second + time.Duration(round)*37*time.Millisecond)
	owner, other := w.at(0), w.at(1)
	began := w.clock.Now()
	if how == "kill" {
		owner.kill()
		w.mu.Lock()
		w.nodes = map[int]*node{0: other}
		w.mu.Unlock()
	} else {
		w.open.Go(func() { w.handOver(owner, other) })
	}
	// One of the two keys is in the partition that the owner held.
	for _, key := range []string{"caller/ab", "caller/abc"} {
		w.call(key, modeler.Job{Class: modeler.Quick, Team: "team", Tasks: 1, Repeatable: true, Urgent: true}, 0)
	}
	<-w.clock.After(time.Minute)
	var last time.Duration
	for _, event := range w.platform.Events() {
		if event.Started {
			last = max(last, event.At.Sub(began))
		}
	}
	w.end()
	synctest.Wait()
	return last
}
