package cellplacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

func site(name, rack string, free modeler.Processors) cellplacer.Candidate {
	return cellplacer.Candidate{
		Worker: name, Rack: rack, Slowdown: 1,
		Capacity: modeler.Resources{Processors: 64000, Memory: 128 << 30}, Free: modeler.Resources{Processors: free, Memory: 128 << 30},
	}
}

func step(processors modeler.Processors) *steptracker.Step {
	return &steptracker.Step{Needs: modeler.Resources{Processors: processors, Memory: 1 << 20}}
}

func TestPack(t *testing.T) {
	withRack := func(s *steptracker.Step, rack string) *steptracker.Step { s.DataRack = rack; return s }
	for name, test := range map[string]struct {
		sites []cellplacer.Candidate
		ask   cellplacer.Request
		want  string
	}{
		"tightest fit":        {[]cellplacer.Candidate{site("a", "r1", 9000), site("b", "r1", 6000)}, cellplacer.Request{Step: step(5000), Tasks: 1}, "[1]"},
		"as many as fit":      {[]cellplacer.Candidate{site("a", "r1", 9000), site("b", "r1", 6000)}, cellplacer.Request{Step: step(5000), Tasks: 3}, "[1 0]"},
		"all or none":         {[]cellplacer.Candidate{site("a", "r1", 9000), site("b", "r1", 6000)}, cellplacer.Request{Step: step(5000), Tasks: 3, AllOrNothing: true}, "[]"},
		"rack of the data":    {[]cellplacer.Candidate{site("a", "r1", 9000), site("b", "r2", 6000)}, cellplacer.Request{Step: withRack(step(5000), "r1"), Tasks: 1}, "[0]"},
		"most on a worker":    {[]cellplacer.Candidate{site("a", "r1", 60000)}, cellplacer.Request{Step: &steptracker.Step{MaxPerWorker: 2}, Tasks: 5}, "[0 0]"},
		"slow worker last":    {[]cellplacer.Candidate{{Worker: "a", Slowdown: 3, Free: modeler.Resources{Processors: 5000, Memory: 1 << 30}}, site("b", "r1", 60000)}, cellplacer.Request{Step: step(5000), Tasks: 1}, "[1]"},
		"one rack for a gang": {[]cellplacer.Candidate{site("a", "r1", 6000), site("b", "r2", 6000), site("c", "r2", 9000)}, cellplacer.Request{Step: &steptracker.Step{SameRack: true, Needs: modeler.Resources{Processors: 5000}}, Tasks: 2, AllOrNothing: true}, "[1 2]"},
		"waits for one rack":  {[]cellplacer.Candidate{site("a", "r1", 6000), site("b", "r2", 6000)}, cellplacer.Request{Step: &steptracker.Step{SameRack: true, Needs: modeler.Resources{Processors: 5000}}, Tasks: 2, AllOrNothing: true}, "[]"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := fmt.Sprint(cellplacer.Place(test.sites, test.ask)); got != test.want {
				t.Errorf("placed on %s, want %s", got, test.want)
			}
		})
	}
}

// TestPackNeverPassesWhatIsFree places random steps on random sites.
func TestPackNeverPassesWhatIsFree(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var sites []cellplacer.Candidate
		for i := range 1 + random.IntN(12) {
			sites = append(sites, site(fmt.Sprint(i), fmt.Sprint("r", i%3), modeler.Processors(random.Int64N(64000))))
		}
		s := &steptracker.Step{
			Needs:        modeler.Resources{Processors: modeler.Processors(random.Int64N(30000)), Memory: 1 << 30},
			MaxPerWorker: random.IntN(3), SameRack: random.IntN(4) == 0,
		}
		ask := cellplacer.Request{Step: s, Tasks: 1 + random.IntN(20), AllOrNothing: random.IntN(2) == 0}
		places := cellplacer.Place(sites, ask)
		if ask.AllOrNothing && len(places) != 0 && len(places) != ask.Tasks {
			t.Fatalf("%d of %d tasks placed", len(places), ask.Tasks)
		}
		for _, site := range sites {
			if site.Free.Processors < 0 || s.MaxPerWorker > 0 && site.StepTasks > s.MaxPerWorker {
				t.Fatalf("site %+v is over its room", site)
			}
		}
	}
}

// BenchmarkSmallTasksBesideGangs replays the load of the package comment: small tasks arrive beside
// gangs whose tasks take a third of a worker. It reports how many gangs find room when the small ones
// go to the tightest fit and, as the baseline, to the first worker that has room in order of arrival.
func BenchmarkSmallTasksBesideGangs(b *testing.B) {
	for _, policy := range []string{"tightest", "first"} {
		b.Run(policy, func(b *testing.B) {
			placed := 0
			for range b.N {
				placed = replay(policy)
			}
			b.ReportMetric(float64(placed), "gangs")
		})
	}
}

func replay(policy string) int {
	random := rand.New(rand.NewPCG(3, 4))
	var sites []cellplacer.Candidate
	for i := range 48 {
		sites = append(sites, site(fmt.Sprint(i), fmt.Sprint("r", i/8), 64000))
	}
	for range 300 {
		small := step(modeler.Processors(2000 + random.Int64N(8000)))
		if policy == "tightest" {
			cellplacer.Place(sites, cellplacer.Request{Step: small, Tasks: 1})
			continue
		}
		at := random.IntN(len(sites))
		cellplacer.Place(sites[at:at+1], cellplacer.Request{Step: small, Tasks: 1})
	}
	gangs := 0
	for range 40 {
		if len(cellplacer.Place(sites, cellplacer.Request{Step: step(18000), Tasks: 8, AllOrNothing: true})) > 0 {
			gangs++
		}
	}
	return gangs
}

func TestTightestFitLeavesRoomForGangs(t *testing.T) {
	tightest, first := replay("tightest"), replay("first")
	if tightest <= first {
		t.Errorf("%d gangs find room beside the tightest fit, %d beside any fit", tightest, first)
	}
}
