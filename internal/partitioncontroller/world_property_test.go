package partitioncontroller_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/c2h5oh/datasize"
	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// step is one thing that happens in a world, and how long nothing else happens after it.
type step struct {
	Kind  string
	Place int
	For   time.Duration
	Pause time.Duration
	Job   string
}

func (s step) String() string {
	return fmt.Sprintf("{Kind: %q, Place: %d, For: %d, Pause: %d, Job: %q}", s.Kind, s.Place, s.For, s.Pause, s.Job)
}

// failures are the kinds of step that bring something about; the rest are calls.
var failures = []string{
	"kill", "freeze", "cut-table", "cut-workers", "table-down", "lost-replies", "lost-worker-replies",
	"worker-restarts", "worker-leaves", "hand-over", "worker-dies", "worker-hidden", "objects-down",
}

var jobs = []string{"quick", "order", "batch", "charge-run", "gang", "cancelled-batch", "cancelled-gang", "cancelled-order"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{
			Kind:  "call",
			Place: rapid.IntRange(0, 3).Draw(t, "place"),
			For:   time.Duration(rapid.IntRange(0, 20000).Draw(t, "for")) * time.Millisecond,
			Pause: time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 2500, 9000}).Draw(t, "pause")) * time.Millisecond,
			Job:   rapid.SampledFrom(jobs).Draw(t, "job"),
		}
		if rapid.IntRange(0, 2).Draw(t, "fail") == 0 {
			s.Kind = rapid.SampledFrom(failures).Draw(t, "kind")
		}
		return s
	}), 4, 30).Draw(t, "steps")
}

func (w *world) take(number int, s step) {
	place := s.Place % 2
	n := w.at(place)
	after := func(undo func()) {
		w.open.Go(func() {
			select {
			case <-w.ctx.Done():
			case <-w.clock.After(s.For):
			}
			undo()
		})
	}
	switch s.Kind {
	case "call":
		w.callKind(number, s)
	case "kill":
		n.kill()
		after(func() { w.replace(place, n) })
	case "freeze":
		n.wire.freeze()
		after(n.wire.unfreeze)
	case "cut-table":
		n.wire.set(func() { n.wire.noTable = true })
		after(func() { n.wire.set(func() { n.wire.noTable = false }) })
	case "cut-workers":
		n.wire.set(func() { n.wire.noWork = true })
		after(func() { n.wire.set(func() { n.wire.noWork = false }) })
	case "lost-worker-replies":
		n.wire.set(func() { n.wire.lose = 3 })
	case "table-down":
		w.platform.SetFaults(simulator.Faults{TableDown: true})
		after(func() { w.platform.SetFaults(simulator.Faults{}) })
	case "lost-replies":
		w.platform.SetFaults(simulator.Faults{LostReplies: 3})
	case "worker-restarts":
		worker := fmt.Sprintf("w%d", s.Place)
		w.mu.Lock()
		w.bad[worker] = true
		w.mu.Unlock()
		w.platform.SetFaults(simulator.Faults{RestartWorkers: []string{worker}})
	case "worker-dies":
		// At most one at a time of each partition, and it comes back: work has to be able to end.
		worker := fmt.Sprintf("w%d", place)
		w.mu.Lock()
		w.bad[worker] = true
		w.mu.Unlock()
		w.platform.SetFaults(simulator.Faults{KillWorkers: []string{worker}})
		after(func() { w.platform.SetFaults(simulator.Faults{ReviveWorkers: []string{worker}}) })
	case "worker-hidden":
		worker := fmt.Sprintf("w%d", s.Place)
		w.platform.SetFaults(simulator.Faults{HideWorkers: []string{worker}})
		after(func() { w.platform.SetFaults(simulator.Faults{ShowWorkers: []string{worker}}) })
	case "objects-down":
		w.platform.SetFaults(simulator.Faults{ObjectsDown: true})
		after(func() { w.platform.SetFaults(simulator.Faults{}) })
	case "worker-leaves":
		// Only one of each partition's two, so that work can go on.
		worker := fmt.Sprintf("w%d", place)
		w.mu.Lock()
		w.left = append(w.left, auditor.Departure{Worker: worker, At: w.clock.Now()})
		w.mu.Unlock()
		w.platform.SetFaults(simulator.Faults{LeavingWorkers: []string{worker}})
	case "hand-over":
		if other := w.at(1 - place); other != nil && n != nil {
			w.open.Go(func() { w.handOver(n, other) })
		}
	}
}

func (w *world) replace(place int, killed *node) {
	if w.ctx.Err() == nil && w.at(place) == killed {
		w.start(place)
	}
}

type testPayload struct {
	RunsFor modeler.Duration `json:"runs-for"`
	Answer  int              `json:"answer"`
}

func (w *world) callKind(number int, s step) {
	job := modeler.Job{
		Class:      modeler.Batch,
		Team:       "team",
		Tasks:      2,
		Needs:      modeler.Resources{Processors: 1000, Memory: datasize.GB},
		Repeatable: true,
	}
	var cancelAfter time.Duration
	kind, cancelled := strings.CutPrefix(s.Job, "cancelled-")
	if cancelled {
		cancelAfter = s.For/2 + time.Millisecond
	}
	switch kind {
	case "quick", "order":
		job.Class, job.Tasks, job.Needs, job.Repeatable = modeler.Quick, 1, modeler.Resources{}, kind == "quick"
	case "charge-run":
		job.Repeatable = false
	case "gang":
		job.Class = modeler.Gang
	}
	// Errors can't happen: the type has nothing that does not encode.
	job.Payload, _ = json.Marshal(testPayload{RunsFor: modeler.Duration(s.For), Answer: number})
	w.call(fmt.Sprintf("caller/%s%s", s.Job, strings.Repeat("x", number)), job, cancelAfter)
}

// healTime is how long the world goes on without faults: longer than the longest task, its lease,
// and a take-over.
const healTime = 3 * time.Minute

// play runs the steps in a world of its own, lets it heal, and returns what was violated.
func play(t *testing.T, mode simulator.FenceMode, steps []step) (violations []string, started int) {
	return playBroken(t, mode, breakage{}, steps)
}

// breakage is a mechanism that is switched off.
type breakage struct {
	// noFence has owners rely on epochs that the workers ignore.
	noFence bool
	// forget is a kind of journal entry that is not written.
	forget journaler.EntryKind
}

func playBroken(t *testing.T, mode simulator.FenceMode, broken breakage, steps []step) (violations []string, started int) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(mode, smallShape)
		w.forget = broken.forget
		if broken.noFence {
			w.mode = fencer.CompareEpochs{}
		}
		w.start(0)
		w.start(1)
		<-w.clock.After(6 * time.Second)
		for number, s := range steps {
			w.take(number, s)
			if s.Pause > 0 {
				<-w.clock.After(s.Pause)
			}
		}
		<-w.clock.After(25 * time.Second)
		w.platform.SetFaults(simulator.Faults{})
		<-w.clock.After(healTime)
		if mode == simulator.WaitForLeaseExpiry && breaksOwnership(steps) {
			// Workers that know only leases lose their tasks when nobody may grant one. Seen in the
			// trace of a hand-over whose successor was killed a moment later.
			w.stops = nil
		}
		violations = w.violations()
		started = len(w.platform.Events())
		w.end()
		synctest.Wait()
	})
	return violations, started
}

// breaksOwnership tells whether any step can keep an owner from renewing.
func breaksOwnership(steps []step) bool {
	for _, s := range steps {
		switch s.Kind {
		case "kill", "freeze", "cut-table", "cut-workers", "table-down", "lost-replies", "lost-worker-replies":
			return true
		}
	}
	return false
}

func checkWorlds(t *testing.T, mode simulator.FenceMode) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		violations, _ := play(t, mode, steps)
		if len(violations) > 0 {
			rt.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
		}
	})
}

func TestPromisesInAnyWorldWithEpochs(t *testing.T) { checkWorlds(t, simulator.CompareEpochs) }

func TestPromisesInAnyWorldWaitingOut(t *testing.T) { checkWorlds(t, simulator.WaitForLeaseExpiry) }

const ms = time.Millisecond

// TestAuditSeesBrokenMechanisms switches one mechanism off at a time. The same steps have to pass
// with the mechanism and be caught without it: a check that can't fail proves nothing.
func TestAuditSeesBrokenMechanisms(t *testing.T) {
	pausedInStart := []step{
		{Kind: "freeze", Place: 0, For: 10000 * ms},
		{Kind: "call", For: 20000 * ms, Job: "quick"},
		{Kind: "call", For: 20000 * ms, Job: "quick"},
	}
	allLost := func(job string) []step {
		return []step{
			{Kind: "call", For: 20000 * ms, Job: job},
			{Kind: "call", For: 20000 * ms, Job: job, Pause: 300 * ms},
			{Kind: "worker-restarts", Place: 0},
			{Kind: "worker-restarts", Place: 1},
			{Kind: "worker-restarts", Place: 2},
			{Kind: "worker-restarts", Place: 3},
			{Kind: "kill", Place: 0, For: 1000 * ms},
			{Kind: "kill", Place: 1, For: 1000 * ms},
		}
	}
	for _, c := range []struct {
		name   string
		mode   simulator.FenceMode
		broken breakage
		steps  []step
		want   string
	}{
		{"fence", simulator.WaitForLeaseExpiry, breakage{noFence: true}, pausedInStart, "while it ran on"},
		{"permit", simulator.CompareEpochs, breakage{forget: journaler.Permitted}, allLost("order"), "started 2 times"},
		{"acceptance", simulator.CompareEpochs, breakage{forget: journaler.Accepted}, allLost("batch"), `is "lost" at the end`},
	} {
		t.Run(c.name, func(t *testing.T) {
			mode := c.mode
			if c.broken.noFence {
				mode = simulator.CompareEpochs
			}
			if violations, events := play(t, mode, c.steps); len(violations) > 0 || events == 0 {
				t.Fatalf("with the mechanism on: %d events, violations %q", events, violations)
			}
			violations, _ := playBroken(t, c.mode, c.broken, c.steps)
			if !strings.Contains(strings.Join(violations, " "), c.want) {
				t.Errorf("nobody noticed that it is off: %q", violations)
			}
		})
	}
}

// TestTracesThatFailed keeps the shrunk traces of failures that the worlds above found.
func TestTracesThatFailed(t *testing.T) {
	for _, c := range []struct {
		name  string
		mode  simulator.FenceMode
		steps []step
	}{
		{"long tasks lapsed again and again, as heartbeats followed the task lease", simulator.WaitForLeaseExpiry, []step{
			{Kind: "freeze", Place: 1, For: 70 * ms, Pause: ms},
			{Kind: "worker-leaves", Place: 3, Pause: 9000 * ms},
			{Kind: "call", Place: 1, For: 5684 * ms, Job: "batch"},
			{Kind: "cut-workers", Place: 1, For: 3000 * ms},
		}},
		{"an owner cut off from the table told what its successor had changed", simulator.WaitForLeaseExpiry, []step{
			{Kind: "call", Job: "quick", Pause: 9000 * ms},
			{Kind: "call", For: 20000 * ms, Job: "order"},
			{Kind: "call", For: 463 * ms, Pause: 9000 * ms, Job: "quick"},
			{Kind: "cut-table", For: 20000 * ms, Pause: 300 * ms},
			{Kind: "lost-worker-replies", Pause: 2500 * ms},
			{Kind: "call", For: 3 * ms, Pause: 20 * ms, Job: "gang"},
			{Kind: "call", For: ms, Pause: ms, Job: "cancelled-gang"},
		}},
		{"an adopted quick request was queued without its body", simulator.WaitForLeaseExpiry, []step{
			{Kind: "call", For: 811 * ms, Pause: 9000 * ms, Job: "cancelled-order"},
			{Kind: "cut-table", Place: 1, For: 9540 * ms, Pause: 20 * ms},
			{Kind: "call", For: 44 * ms, Pause: 2500 * ms, Job: "batch"},
			{Kind: "call", Place: 1, For: 1816 * ms, Pause: 9000 * ms, Job: "quick"},
		}},
		{"an owner cut off took its successor's task for a quick request, and told its end", simulator.WaitForLeaseExpiry, []step{
			{Kind: "cut-table", Place: 1, For: 9473 * ms, Pause: 9000 * ms},
			{Kind: "call", Place: 1, For: 7 * ms, Pause: 300 * ms, Job: "batch"},
			{Kind: "table-down", Place: 2, For: 4741 * ms, Pause: ms},
			{Kind: "cut-workers", Place: 3, For: 917 * ms, Pause: ms},
			{Kind: "cut-table", Place: 2, For: 7293 * ms, Pause: 20 * ms},
			{Kind: "freeze", Place: 3, For: 6172 * ms, Pause: 300 * ms},
		}},
		{"the same, by a hand-over and a cut", simulator.WaitForLeaseExpiry, []step{
			{Kind: "call", For: 20000 * ms, Job: "quick"},
			{Kind: "hand-over", Place: 0, Pause: ms},
			{Kind: "call", For: 12303 * ms, Pause: 2500 * ms, Job: "quick"},
			{Kind: "hand-over", Place: 1, Pause: ms},
			{Kind: "cut-table", Place: 0, For: 9043 * ms, Pause: 2500 * ms},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations, events := play(t, c.mode, c.steps)
			if len(violations) > 0 || events == 0 {
				t.Errorf("%d events, violations: %s", events, strings.Join(violations, "\n"))
			}
		})
	}
}

// TestMain fixes the seed unless the command line names one: CI gives the same verdict every time,
// and make soak looks elsewhere.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	m.Run()
}
