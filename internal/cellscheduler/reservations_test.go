package cellscheduler

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// newRound returns a scheduler with empty workers of 64 processors, between two rounds.
func newRound(workers int) *Scheduler {
	clock := clockwork.NewFakeClock()
	c := &Scheduler{
		Dependencies: Dependencies{Clock: clock, Log: slog.New(slog.DiscardHandler), Configuration: &configprovider.Provider{}, Metrics: NewMetrics(), AdvisorClient: noAdvisor{}},
		now:          clock.Now(), pendingSteps: make(map[steptracker.StepKey]*step), workers: make(map[string]*worker),
	}
	c.advisor.init()
	for i := range workers {
		info := workerdriver.Worker{Incarnation: steptracker.Incarnation{Worker: fmt.Sprint("w", i)}, Capacity: modeler.Resources{Processors: 64000, Memory: 128 << 30}}
		c.addWorker(&worker{info: info, listed: true, synced: true, lastReplyAt: c.now, placements: make(map[steptracker.TaskKey]*placement)})
	}
	return c
}

// newGang returns a late gang of tasks of 16 processors that reserves room on the first worker, with a call in flight.
func newGang(id string, tasks, reserved int) *step {
	definition := &steptracker.Job{Steps: []steptracker.Step{{Tasks: tasks, Gang: true, Needs: modeler.Resources{Processors: 16000}, Estimate: time.Second}}}
	return &step{
		key: steptracker.StepKey{Job: id}, job: &job{definition: definition, progress: &steptracker.Progress{}}, def: &definition.Steps[0],
		tasks: make([]steptracker.Task, tasks), tier: prioritizer.TierLate, reserved: map[string]int{"w0": reserved}, renewalsInFlight: 1,
	}
}

// TestLowestRankLosesItsReservation: when the room has become too small for all reservations, that of the lowest rank is
// cut, in every round.
func TestLowestRankLosesItsReservation(t *testing.T) {
	for range 20 {
		c := newRound(1)
		c.workers["w0"].used = modeler.Resources{Processors: 16000}
		first, second := newGang("first", 2, 2), newGang("second", 2, 2)
		c.collectCandidates([]*step{first, second})
		c.applyLateReservations()
		if first.reservedInRound["w0"] != 2 || second.reservedInRound["w0"] != 1 {
			t.Fatalf("%d and %d tasks are reserved, want 2 and 1", first.reservedInRound["w0"], second.reservedInRound["w0"])
		}
	}
}

// TestLateReservationIsSoftForStepsOnTime: until the first late step is visited, steps on time may use what late
// gangs reserve; after that no other step may.
func TestLateReservationIsSoftForStepsOnTime(t *testing.T) {
	c := newRound(1)
	gang := newGang("gang", 2, 2)
	c.collectCandidates([]*step{gang})
	if got := c.candidates[0]; got.Free.Processors != 32000 || got.SoftReserved.Processors != 32000 {
		t.Errorf("%d processors are free and %d soft-reserved, want 32000 of each", got.Free.Processors, got.SoftReserved.Processors)
	}
	// A step on time takes 40 processors, 8 of them from those that are reserved.
	c.candidates[0].Take(modeler.Resources{Processors: 40000})
	c.applyLateReservations()
	if got := c.candidates[0]; got.Free.Processors != 8000 || got.SoftReserved.Processors != 0 || gang.reservedInRound["w0"] != 1 {
		t.Errorf("%d processors are free, %d soft-reserved, and %d tasks reserved, want 8000, 0 and 1", got.Free.Processors, got.SoftReserved.Processors, gang.reservedInRound["w0"])
	}
}

// TestEarmarksLeaveRoomForLowerRanks: the first gang without enough room may earmark all that it needs, the others together a
// tenth of the cell.
func TestEarmarksLeaveRoomForLowerRanks(t *testing.T) {
	c := newRound(20)
	c.collectCandidates(nil)
	all := c.allCandidates()
	for i, want := range []modeler.Processors{64000 * 5, 64000 * 5, 64000 * 5} {
		gang := newGang(fmt.Sprint(i), 20, 0)
		gang.earmarks = all
		c.earmarkRoom(gang)
		if c.earmarked.Processors != want {
			t.Errorf("%d processors are earmarked after %d gangs, want %d", c.earmarked.Processors, i+1, want)
		}
	}
	c.collectCandidates(nil)
	for i, want := range []modeler.Processors{64000, 64000 * 2, 64000 * 2} {
		gang := newGang(fmt.Sprint(i), 4, 0)
		gang.earmarks = all
		c.earmarkRoom(gang)
		if c.earmarked.Processors != want {
			t.Errorf("%d processors are earmarked after %d small gangs, want %d", c.earmarked.Processors, i+1, want)
		}
	}
}

// TestExpectedFreeCountsRunsThatEndSoon: tokens are renewed for the workers on which runs are about to end.
func TestExpectedFreeCountsRunsThatEndSoon(t *testing.T) {
	c := newRound(1)
	c.workers["w0"].used = modeler.Resources{Processors: 48000}
	for i, left := range []time.Duration{time.Second, 3 * time.Second, -time.Second} {
		definition := &steptracker.Job{Steps: []steptracker.Step{{Needs: modeler.Resources{Processors: 16000}, Estimate: 5 * time.Second}}}
		key := steptracker.TaskKey{Index: i}
		c.workers["w0"].placements[key] = &placement{
			key: key, job: &job{definition: definition, progress: &steptracker.Progress{}}, step: &definition.Steps[0], state: runStarted, startedAt: c.now.Add(left - 5*time.Second),
		}
	}
	c.collectCandidates(nil)
	if got := c.expectedFree(0, c.now.Add(2*time.Second)).Processors; got != 48000 {
		t.Errorf("%d processors are expected to be free in 2 s, want 48000", got)
	}
}

// TestLastingTasksAreNotExpectedToEnd: a gang that waits for the room of a service earmarks nothing.
func TestLastingTasksAreNotExpectedToEnd(t *testing.T) {
	c := newRound(1)
	c.workers["w0"].used = modeler.Resources{Processors: 48000}
	service := &steptracker.Job{Steps: []steptracker.Step{{Needs: modeler.Resources{Processors: 48000}, LongRunning: true}}}
	c.workers["w0"].placements[steptracker.TaskKey{}] = &placement{
		job: &job{definition: service, progress: &steptracker.Progress{}}, step: &service.Steps[0], state: runStarted, startedAt: c.now.Add(-time.Minute),
	}
	c.collectCandidates(nil)
	if got := c.expectedFree(0, c.now.Add(time.Second)).Processors; got != 16000 {
		t.Errorf("%d processors are expected to be free beside a service, want 16000", got)
	}
	gang := newGang("gang", 2, 0)
	gang.earmarks = c.allCandidates()
	if c.earmarkRoom(gang); c.earmarked.Processors != 0 {
		t.Errorf("%d processors are earmarked, want none", c.earmarked.Processors)
	}
}

// TestEarmarksAreLimitedInEveryDimension: gangs that need few processors may not earmark all memory or accelerators.
func TestEarmarksAreLimitedInEveryDimension(t *testing.T) {
	for name, needs := range map[string]modeler.Resources{"accelerators": {Processors: 100, Accelerators: 1}, "memory": {Memory: 16 << 30}} {
		c := newRound(20)
		for _, w := range c.workers {
			w.info.Capacity.Accelerators = 8
		}
		c.collectCandidates(nil)
		for range 40 {
			gang := newGang("gang", 4, 0)
			gang.def.Needs = needs
			gang.earmarks = c.allCandidates()
			c.earmarkRoom(gang)
		}
		if share := c.earmarked.DominantShare(c.capacity); share > 0.15 {
			t.Errorf("%s: %.2f of the cell is earmarked", name, share)
		}
	}
}

// TestGangOnOneRackEarmarksOneRack: a gang that must be on one rack earmarks room on the rack that has the most room for it.
func TestGangOnOneRackEarmarksOneRack(t *testing.T) {
	c := newRound(4)
	for i, w := range c.sortedWorkers() {
		w.info.Rack = fmt.Sprint("r", i/2)
	}
	c.workers["w0"].used, c.workers["w2"].used = modeler.Resources{Processors: 32000}, modeler.Resources{Processors: 16000}
	c.collectCandidates(nil)
	gang := newGang("gang", 8, 0)
	gang.def.SameRack = true
	if got := c.rackToEarmark(gang, c.allCandidates()); !slices.Equal(got, []int{2, 3}) {
		t.Errorf("earmarks the workers %v, want those of the second rack", got)
	}
}

// TestIsolatedGangReservesWhereItMayStart: a gang that needs isolation reserves no room where it may not be isolated.
func TestIsolatedGangReservesWhereItMayStart(t *testing.T) {
	c := newRound(8)
	c.interference.detector = interferencedetector.New()
	for i, w := range c.sortedWorkers() {
		switch {
		case i < 4:
			w.used = modeler.Resources{Processors: 16000}
			w.placements[steptracker.TaskKey{Index: i}] = &placement{key: steptracker.TaskKey{Index: i}}
		case i >= 6:
			w.isolatedRuns = 1
			c.isolatedWorkers++
		}
	}
	c.collectCandidates(nil)
	gang := newGang("gang", 4, 0)
	gang.tasks[0].CrashHistory.Suspected, gang.approved = 1, make(map[string]approval)
	for id := range c.workers {
		gang.approved[id] = approval{}
	}
	c.prepareGang(gang, &configprovider.AdvisorSettings{BaseLatency: 380 * time.Millisecond, LatencyPerWorker: 5500 * time.Microsecond, TokenLifetime: 1500 * time.Millisecond})
	if len(gang.reserved) == 0 {
		t.Error("the gang reserves nothing")
	}
	for id := range gang.reserved {
		if !c.mayIsolateOn(c.workers[id]) {
			t.Errorf("the gang reserves room on %s, where it may not start", id)
		}
	}
}

// TestQuotaIsReservedDuringRenewal: steps of lower rank may not use up a team's quota while a gang's tokens are renewed.
func TestQuotaIsReservedDuringRenewal(t *testing.T) {
	c := newRound(2)
	c.quotas.init()
	c.quotas.keeper.SetQuota("team", modeler.Resources{Processors: 64000})
	gang := newGang("gang", 4, 4)
	gang.job.progress.Team = "team"
	c.pendingSteps[gang.key] = gang
	c.reserveQuotaForAdvice(gang)
	if _, found := c.quotas.heads["team"]; !found {
		t.Error("the quota is not reserved")
	}
}
