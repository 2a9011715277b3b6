package cellplacer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

func newCandidate(name, rack string, free modeler.Processors) cellplacer.Candidate {
	return cellplacer.Candidate{
		Worker: name, Rack: rack, Slowdown: 1,
		Capacity: modeler.Resources{Processors: 64000, Memory: 128 << 30}, Free: modeler.Resources{Processors: free, Memory: 128 << 30},
	}
}

func newStep(processors modeler.Processors) *steptracker.Step {
	return &steptracker.Step{Needs: modeler.Resources{Processors: processors, Memory: 1 << 20}}
}

func withInterference(candidate cellplacer.Candidate, interference float64) cellplacer.Candidate {
	candidate.Interference = interference
	return candidate
}

// withSoftReserved reserves a part of the candidate's free processors.
func withSoftReserved(candidate cellplacer.Candidate, processors modeler.Processors) cellplacer.Candidate {
	candidate.SoftReserved.Processors = processors
	candidate.Free.Processors -= processors
	return candidate
}

func withSlowdown(candidate cellplacer.Candidate, slowdown float64) cellplacer.Candidate {
	candidate.Slowdown = slowdown
	return candidate
}

func TestPlace(t *testing.T) {
	withRack := func(s *steptracker.Step, rack string) *steptracker.Step { s.DataRack = rack; return s }
	for name, test := range map[string]struct {
		candidates []cellplacer.Candidate
		request    cellplacer.Request
		want       string
	}{
		"best fit":                {[]cellplacer.Candidate{newCandidate("a", "r1", 9000), newCandidate("b", "r1", 6000)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[1]"},
		"soft-reserved room last": {[]cellplacer.Candidate{withSoftReserved(newCandidate("a", "r1", 9000), 6000), newCandidate("b", "r1", 60000)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[1]"},
		"soft-reserved room where nothing else is left": {[]cellplacer.Candidate{withSoftReserved(newCandidate("a", "r1", 9000), 6000), newCandidate("b", "r1", 6000)}, cellplacer.Request{Step: newStep(5000), Tasks: 3}, "[1 0]"},
		"as many as fit":                       {[]cellplacer.Candidate{newCandidate("a", "r1", 9000), newCandidate("b", "r1", 6000)}, cellplacer.Request{Step: newStep(5000), Tasks: 3}, "[1 0]"},
		"all or none":                          {[]cellplacer.Candidate{newCandidate("a", "r1", 9000), newCandidate("b", "r1", 6000)}, cellplacer.Request{Step: newStep(5000), Tasks: 3, AllOrNothing: true}, "[]"},
		"rack of the data":                     {[]cellplacer.Candidate{newCandidate("a", "r1", 9000), newCandidate("b", "r2", 6000)}, cellplacer.Request{Step: withRack(newStep(5000), "r1"), Tasks: 1}, "[0]"},
		"max per worker":                       {[]cellplacer.Candidate{newCandidate("a", "r1", 60000)}, cellplacer.Request{Step: &steptracker.Step{MaxPerWorker: 2}, Tasks: 5}, "[0 0]"},
		"slow worker last":                     {[]cellplacer.Candidate{{Worker: "a", Slowdown: 3, Free: modeler.Resources{Processors: 5000, Memory: 1 << 30}}, newCandidate("b", "r1", 60000)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[1]"},
		"away from neighbours that interfere":  {[]cellplacer.Candidate{withInterference(newCandidate("a", "r1", 5000), 0.2), newCandidate("b", "r1", 60000)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[1]"},
		"beside them for lack of room":         {[]cellplacer.Candidate{withInterference(newCandidate("a", "r1", 9000), 2), newCandidate("b", "r1", 6000)}, cellplacer.Request{Step: newStep(5000), Tasks: 2}, "[1 0]"},
		"slower worker without neighbours":     {[]cellplacer.Candidate{withInterference(newCandidate("a", "r1", 9000), 0.9), withSlowdown(newCandidate("b", "r1", 6000), 1.5)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[1]"},
		"much slower worker beside neighbours": {[]cellplacer.Candidate{withInterference(newCandidate("a", "r1", 9000), 0.9), withSlowdown(newCandidate("b", "r1", 6000), 3)}, cellplacer.Request{Step: newStep(5000), Tasks: 1}, "[0]"},
		"tasks that slow each other down":      {[]cellplacer.Candidate{newCandidate("a", "r1", 60000), newCandidate("b", "r1", 50000), newCandidate("c", "r1", 60000)}, cellplacer.Request{Step: newStep(5000), Tasks: 4, Interference: 0.5}, "[1 0 2 1]"},
		"one rack for a gang":                  {[]cellplacer.Candidate{newCandidate("a", "r1", 6000), newCandidate("b", "r2", 6000), newCandidate("c", "r2", 9000)}, cellplacer.Request{Step: &steptracker.Step{SameRack: true, Needs: modeler.Resources{Processors: 5000}}, Tasks: 2, AllOrNothing: true}, "[1 2]"},
		"waits for one rack":                   {[]cellplacer.Candidate{newCandidate("a", "r1", 6000), newCandidate("b", "r2", 6000)}, cellplacer.Request{Step: &steptracker.Step{SameRack: true, Needs: modeler.Resources{Processors: 5000}}, Tasks: 2, AllOrNothing: true}, "[]"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := fmt.Sprint(cellplacer.Place(test.candidates, test.request)); got != test.want {
				t.Errorf("placed on %s, want %s", got, test.want)
			}
		})
	}
}

// TestPlaceNeverExceedsFreeResources places random steps on random candidates.
func TestPlaceNeverExceedsFreeResources(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var candidates []cellplacer.Candidate
		for i := range 1 + random.IntN(12) {
			free := modeler.Processors(random.Int64N(64000))
			candidates = append(candidates, withSoftReserved(newCandidate(fmt.Sprint(i), fmt.Sprint("r", i%3), free), modeler.Processors(random.Int64N(int64(free+1)))))
		}
		before := slices.Clone(candidates)
		step := &steptracker.Step{
			Needs:        modeler.Resources{Processors: modeler.Processors(random.Int64N(30000)), Memory: 1 << 30},
			MaxPerWorker: random.IntN(3), SameRack: random.IntN(4) == 0,
		}
		request := cellplacer.Request{Step: step, Tasks: 1 + random.IntN(20), AllOrNothing: random.IntN(2) == 0}
		places := cellplacer.Place(candidates, request)
		if request.AllOrNothing && len(places) != 0 && len(places) != request.Tasks {
			t.Fatalf("%d of %d tasks placed", len(places), request.Tasks)
		}
		if len(places) == 0 && !slices.Equal(candidates, before) {
			t.Fatalf("nothing was placed, but the candidates %+v have changed to %+v", before, candidates)
		}
		for _, candidate := range candidates {
			if candidate.Free.Processors < 0 || candidate.SoftReserved.Processors < 0 || step.MaxPerWorker > 0 && candidate.StepTasks > step.MaxPerWorker {
				t.Fatalf("candidate %+v is over its free resources or the limit of tasks per worker", candidate)
			}
		}
	}
}

// TestInterferenceKeepsNothingFromStarting: as many tasks are placed with any interference as without, and on
// the same workers if it is the same everywhere.
func TestInterferenceKeepsNothingFromStarting(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var without, uniform, with []cellplacer.Candidate
		for i := range 1 + random.IntN(12) {
			candidate := newCandidate(fmt.Sprint(i), fmt.Sprint("r", i%3), modeler.Processors(random.Int64N(64000)))
			without, uniform, with = append(without, candidate), append(uniform, withInterference(candidate, 0.5)), append(with, withInterference(candidate, float64(random.IntN(3))))
		}
		request := cellplacer.Request{Step: newStep(modeler.Processors(1 + random.Int64N(30000))), Tasks: 1 + random.IntN(20), AllOrNothing: random.IntN(2) == 0}
		places := cellplacer.Place(without, request)
		if got := cellplacer.Place(uniform, request); !slices.Equal(got, places) {
			t.Fatalf("placed on %v with the same interference everywhere, on %v without", got, places)
		}
		if got := cellplacer.Place(with, request); len(got) != len(places) {
			t.Fatalf("%d tasks placed with interference, %d without", len(got), len(places))
		}
	}
}

// BenchmarkSmallTasksBesideGangs simulates the workload of the package comment: small tasks, then
// gangs whose tasks take a third of a worker. It reports how many gangs can be placed after the
// small tasks were placed by best fit and, as the baseline, each on a random worker if it fits
// there.
func BenchmarkSmallTasksBesideGangs(b *testing.B) {
	for _, policy := range []string{"best-fit", "random"} {
		b.Run(policy, func(b *testing.B) {
			placed := 0
			for range b.N {
				placed = countPlacedGangs(policy)
			}
			b.ReportMetric(float64(placed), "gangs")
		})
	}
}

// countPlacedGangs places small tasks by the policy and returns how many gangs can be placed after
// that.
func countPlacedGangs(policy string) int {
	random := rand.New(rand.NewPCG(3, 4))
	var candidates []cellplacer.Candidate
	for i := range 48 {
		candidates = append(candidates, newCandidate(fmt.Sprint(i), fmt.Sprint("r", i/8), 64000))
	}
	for range 300 {
		small := newStep(modeler.Processors(2000 + random.Int64N(8000)))
		if policy == "best-fit" {
			cellplacer.Place(candidates, cellplacer.Request{Step: small, Tasks: 1})
			continue
		}
		chosen := random.IntN(len(candidates))
		cellplacer.Place(candidates[chosen:chosen+1], cellplacer.Request{Step: small, Tasks: 1})
	}
	gangs := 0
	for range 40 {
		if len(cellplacer.Place(candidates, cellplacer.Request{Step: newStep(18000), Tasks: 8, AllOrNothing: true})) > 0 {
			gangs++
		}
	}
	return gangs
}

func TestBestFitLeavesRoomForGangs(t *testing.T) {
	bestFit, baseline := countPlacedGangs("best-fit"), countPlacedGangs("random")
	if bestFit <= baseline {
		t.Errorf("%d gangs were placed after best fit, %d after random placement; want more after best fit", bestFit, baseline)
	}
}
