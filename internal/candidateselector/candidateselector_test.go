package candidateselector_test

import (
	"fmt"
	"slices"
	"testing"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

func newCandidates(free ...modeler.Processors) []cellplacer.Candidate {
	var candidates []cellplacer.Candidate
	for i, processors := range free {
		resources := modeler.Resources{Processors: processors, Memory: 64 << 30}
		candidates = append(candidates, cellplacer.Candidate{Worker: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/2), Free: resources, Capacity: resources, Slowdown: 1})
	}
	return candidates
}

func newStep(processors modeler.Processors) *steptracker.Step {
	return &steptracker.Step{Tasks: 2, Needs: modeler.Resources{Processors: processors, Memory: 1 << 30}}
}

func TestSelect(t *testing.T) {
	slow := newCandidates(4000, 4000, 4000)
	slow[0].Slowdown = 2
	reserved := newCandidates(0, 1500)
	reserved[0].SoftReserved.Processors, reserved[0].Capacity.Processors = 4000, 4000
	busy := newCandidates(0, 1500)
	busy[0].Capacity.Processors = 4000
	for _, test := range []struct {
		name       string
		candidates []cellplacer.Candidate
		pending    []modeler.Processors
		request    candidateselector.Request
		want       []int
	}{
		{"most free resources first", newCandidates(1000, 3000, 2000), nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1}, []int{1, 2}},
		{"none without free resources", newCandidates(900, 0), nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1}, nil},
		{"known suitable first", newCandidates(1000, 4000), nil, candidateselector.Request{Step: newStep(1000), Tasks: 1, SuitableShare: 0.5, KnownSuitable: []int{0}}, []int{0, 1}},
		{"slow workers last", slow, nil, candidateselector.Request{Step: newStep(4000), Tasks: 1, SuitableShare: 1}, []int{1, 2}},
		{"no tasks, no candidates", newCandidates(2000, 1500), []modeler.Processors{2000, 0}, candidateselector.Request{Step: newStep(1000), Tasks: 0, SuitableShare: 1}, nil},
		{"soft-reserved resources last", reserved, nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1}, []int{1, 0}},
		{"busy workers last", busy, nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1, MayBeBusy: true}, []int{1, 0}},
		{"no busy workers", busy, nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1}, []int{1}},
		{"only what is not known", newCandidates(1500, 1500), nil, candidateselector.Request{Step: newStep(1000), Tasks: 2, SuitableShare: 1, Known: 3}, []int{0}},
		{"workers with pending demand last", newCandidates(2000, 1500), []modeler.Processors{2000, 0}, candidateselector.Request{Step: newStep(1000), Tasks: 1, SuitableShare: 1}, []int{1, 0}},
		{"excluded", newCandidates(2000, 1500), nil, candidateselector.Request{Step: newStep(1000), Tasks: 1, SuitableShare: 1, Excluded: func(index int) bool { return index == 0 }}, []int{1}},
		{"rack of the data", newCandidates(4000, 4000, 1000), nil, candidateselector.Request{Step: &steptracker.Step{DataRack: "r1", Needs: modeler.Resources{Processors: 1000}}, Tasks: 1, SuitableShare: 1}, []int{2, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pending := test.pending
			if pending == nil {
				pending = make([]modeler.Processors, len(test.candidates))
			}
			if got, _ := candidateselector.New(test.candidates, pending).Select(test.request); !slices.Equal(got, test.want) {
				t.Errorf("selected %v, want %v", got, test.want)
			}
		})
	}
}

// TestConcurrentStepsSelectDifferentWorkers simulates a burst: in one round, forty short steps of
// two tasks each select candidates among a hundred workers that can hold two tasks each.
func TestConcurrentStepsSelectDifferentWorkers(t *testing.T) {
	free := make([]modeler.Processors, 100)
	for i := range free {
		free[i] = 12000
	}
	selector := candidateselector.New(newCandidates(free...), make([]modeler.Processors, len(free)))
	selections := make(map[int]int)
	for range 40 {
		selected, expected := selector.Select(candidateselector.Request{Step: newStep(6000), Tasks: 2, SuitableShare: 0.7})
		if expected < 2 {
			t.Errorf("%.1f places are expected, want 2", expected)
		}
		for _, index := range selected {
			selections[index]++
		}
	}
	highest := 0
	for _, count := range selections {
		highest = max(highest, count)
	}
	// With a suitable share of 0.7, each step needs three candidates for two tasks: 120 selections
	// over 100 workers.
	if len(selections) != 100 || highest > 2 {
		t.Errorf("%d workers were selected, one of them %d times; want all 100, each at most twice", len(selections), highest)
	}
}

func BenchmarkSelectInLargeCell(b *testing.B) {
	free := make([]modeler.Processors, 350)
	for i := range free {
		free[i] = modeler.Processors(i * 180)
	}
	candidates := newCandidates(free...)
	pending := make([]modeler.Processors, len(free))
	for b.Loop() {
		clear(pending)
		selector := candidateselector.New(candidates, pending)
		for range 100 {
			selector.Select(candidateselector.Request{Step: newStep(9900), Tasks: 3, SuitableShare: 0.7})
		}
	}
}

// BenchmarkSelectInFullCell replays a round over the backlog that a burst leaves on 1,100 workers, most
// of which have no room for the step: the exclusions, which look names up in maps, must not be asked
// about those.
func BenchmarkSelectInFullCell(b *testing.B) {
	free := make([]modeler.Processors, 1100)
	for i := range free {
		free[i] = modeler.Processors(i * 9)
	}
	candidates := newCandidates(free...)
	excluded := make(map[string]bool)
	for i := range candidates {
		excluded[candidates[i].Worker] = i%3 == 0
	}
	pending := make([]modeler.Processors, len(free))
	for b.Loop() {
		clear(pending)
		selector := candidateselector.New(candidates, pending)
		for range 100 {
			selector.Select(candidateselector.Request{
				Step: newStep(9600), Tasks: 4, SuitableShare: 0.5, Excluded: func(index int) bool { return excluded[candidates[index].Worker] },
			})
		}
	}
}
