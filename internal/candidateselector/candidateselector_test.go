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

func sites(free ...modeler.Processors) []cellplacer.Candidate {
	var all []cellplacer.Candidate
	for i, processors := range free {
		room := modeler.Resources{Processors: processors, Memory: 64 << 30}
		all = append(all, cellplacer.Candidate{Worker: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/2), Free: room, Capacity: room, Slowdown: 1})
	}
	return all
}

func step(processors modeler.Processors) *steptracker.Step {
	return &steptracker.Step{Tasks: 2, Needs: modeler.Resources{Processors: processors, Memory: 1 << 30}}
}

func TestNominate(t *testing.T) {
	slow := sites(4000, 4000, 4000)
	slow[0].Slowdown = 2
	for _, test := range []struct {
		name  string
		sites []cellplacer.Candidate
		asked []modeler.Processors
		ask   candidateselector.Request
		want  []int
	}{
		{"most room first", sites(1000, 3000, 2000), nil, candidateselector.Request{Step: step(1000), Tasks: 2, SuitableShare: 1}, []int{1, 2}},
		{"no room, no name", sites(900, 0), nil, candidateselector.Request{Step: step(1000), Tasks: 2, SuitableShare: 1}, nil},
		{"good ones first", sites(1000, 4000), nil, candidateselector.Request{Step: step(1000), Tasks: 1, SuitableShare: 0.5, KnownSuitable: []int{0}}, []int{0, 1}},
		{"slow ones last", slow, nil, candidateselector.Request{Step: step(4000), Tasks: 1, SuitableShare: 1}, []int{1, 2}},
		{"what others asked for counts", sites(2000, 1500), []modeler.Processors{2000, 0}, candidateselector.Request{Step: step(1000), Tasks: 0, SuitableShare: 1}, nil},
		{"others last", sites(2000, 1500), []modeler.Processors{2000, 0}, candidateselector.Request{Step: step(1000), Tasks: 1, SuitableShare: 1}, []int{1, 0}},
		{"skipped", sites(2000, 1500), nil, candidateselector.Request{Step: step(1000), Tasks: 1, SuitableShare: 1, Excluded: func(site int) bool { return site == 0 }}, []int{1}},
		{"rack of the data", sites(4000, 4000, 1000), nil, candidateselector.Request{Step: &steptracker.Step{DataRack: "r1", Needs: modeler.Resources{Processors: 1000}}, Tasks: 1, SuitableShare: 1}, []int{2, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			asked := test.asked
			if asked == nil {
				asked = make([]modeler.Processors, len(test.sites))
			}
			if got, _ := candidateselector.New(test.sites, asked).Select(test.ask); !slices.Equal(got, test.want) {
				t.Errorf("named %v, want %v", got, test.want)
			}
		})
	}
}

// TestStepsThatAskTogetherNameDifferentWorkers is the load of a burst: forty quick steps of two tasks
// ask in one round about a hundred workers with room for two tasks each.
func TestStepsThatAskTogetherNameDifferentWorkers(t *testing.T) {
	free := make([]modeler.Processors, 100)
	for i := range free {
		free[i] = 12000
	}
	list := candidateselector.New(sites(free...), make([]modeler.Processors, len(free)))
	named := make(map[int]int)
	for range 40 {
		sites, places := list.Select(candidateselector.Request{Step: step(6000), Tasks: 2, SuitableShare: 0.7})
		if places < 2 {
			t.Errorf("%.1f places are expected, want 2", places)
		}
		for _, site := range sites {
			named[site]++
		}
	}
	most := 0
	for _, count := range named {
		most = max(most, count)
	}
	// Each step needs three names for two places with seven of ten good: 120 names on 100 workers.
	if len(named) != 100 || most > 2 {
		t.Errorf("%d workers were named, one of them %d times; want all 100, each twice at most", len(named), most)
	}
}

func BenchmarkRoundOfALargeCell(b *testing.B) {
	free := make([]modeler.Processors, 350)
	for i := range free {
		free[i] = modeler.Processors(i * 180)
	}
	all := sites(free...)
	asked := make([]modeler.Processors, len(free))
	for b.Loop() {
		clear(asked)
		list := candidateselector.New(all, asked)
		for range 100 {
			list.Select(candidateselector.Request{Step: step(9900), Tasks: 3, SuitableShare: 0.7})
		}
	}
}
