package interferencedetector_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/interferencedetector"
)

// record lets steps of two runs end, of which one had the neighbour and took longer by the factor, until the
// pair is found. It returns the number of shared runs, or 0 if the pair was not found.
func record(d *interferencedetector.Detector, slowed, neighbour interferencedetector.Kind, factor float64, workers int, at time.Time) int {
	random := rand.New(rand.NewPCG(1, 2))
	speeds := make([]interferencedetector.Speed, workers+1)
	for shared := 1; shared <= 200; shared++ {
		var step interferencedetector.Step
		off := math.Exp(0.7 * random.NormFloat64())
		for i := range 2 {
			run := interferencedetector.Run{Kind: slowed, Ratio: off * math.Exp(0.2*random.NormFloat64()), Worker: "alone", Speed: &speeds[workers], At: at}
			if i == 0 {
				on := shared % workers
				run.Ratio, run.Worker, run.Speed = run.Ratio*factor, fmt.Sprint("w", on), &speeds[on]
				run.Neighbours = []interferencedetector.Share{{Kind: neighbour, Share: 1}}
			}
			for _, change := range d.RunEnded(&step, run, i == 1) {
				if change.Found && change.Slowed == slowed && change.Neighbour == neighbour {
					return shared
				}
			}
		}
	}
	return 0
}

func TestSharedRunsUntilFound(t *testing.T) {
	for name, test := range map[string]struct {
		factor  float64
		workers int
		most    int
	}{
		"twice as slow":      {2, 6, 30},
		"half as slow again": {1.6, 6, 60},
		"on one worker only": {2, 1, 0},
		"on two workers":     {2, 2, 0},
		"not slowed":         {1, 6, 0},
		"hardly slowed":      {1.1, 6, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := interferencedetector.New()
			found := record(d, image(1), image(2), test.factor, test.workers, replayStart)
			t.Logf("found after %d shared runs", found)
			if (found > 0) != (test.most > 0) || found > test.most {
				t.Errorf("found after %d shared runs, want at most %d (0: never)", found, test.most)
			}
		})
	}
}

func TestPartnersInBothDirections(t *testing.T) {
	d := interferencedetector.New()
	if record(d, image(1), image(2), 2, 6, replayStart) == 0 {
		t.Fatal("pair not found")
	}
	for of, other := range map[int]int{1: 2, 2: 1} {
		partners := d.Partners(image(of))
		if len(partners) != 1 || partners[0].Kind != image(other) || partners[0].Cost < 0.3 {
			t.Errorf("partners of %s are %v, want %s", image(of), partners, image(other))
		}
	}
	explained := d.Explained(image(1), []interferencedetector.Share{{Kind: image(2), Share: 1}})
	if reverse := d.Explained(image(2), []interferencedetector.Share{{Kind: image(1), Share: 1}}); explained < 1.3 || reverse != 1 {
		t.Errorf("explained slowdowns %.2f and %.2f, want over 1.3 and 1", explained, reverse)
	}
}

// TestManyImages: the memory is bounded while images come and go, and pairs with images that are gone are
// cleared.
func TestManyImages(t *testing.T) {
	d := interferencedetector.New()
	if record(d, image(0), image(1), 2, 6, replayStart) == 0 {
		t.Fatal("pair not found")
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 60000 {
		var step interferencedetector.Step
		run := interferencedetector.Run{Kind: image(2 + random.IntN(1000)), Ratio: 1, Worker: "w", Speed: new(interferencedetector.Speed), At: replayStart.Add(time.Duration(i) * time.Millisecond)}
		for range 4 {
			neighbour := image(2 + random.IntN(1000))
			run.Neighbours = append(run.Neighbours, interferencedetector.Share{Kind: neighbour, Share: 0.5})
		}
		d.RunEnded(&step, run, true)
	}
	if kinds, pairs := d.Size(); kinds > 300 || pairs > 4096 || d.Found() != 0 || len(d.Partners(image(0)))+len(d.Partners(image(1))) != 0 {
		t.Errorf("%d kinds, %d pairs, %d found", kinds, pairs, d.Found())
	}
}

func TestShares(t *testing.T) {
	var p interferencedetector.Presence
	second := func(n float64) time.Time { return replayStart.Add(time.Duration(n * float64(time.Second))) }
	p.Add(image(2), second(0))
	mark := p.Add(image(1), second(1))
	p.Add(image(1), second(2))
	p.Remove(image(2), second(3))
	p.Add(image(3), second(4))
	p.Remove(image(1), second(5))
	shares := p.Shares(nil, image(1), mark, second(5))
	if got, want := fmt.Sprint(shares), "[{image-2 0.5} {image-1 0.75} {image-3 0.25}]"; got != want {
		t.Errorf("shares %s, want %s", got, want)
	}
	if p.Has(image(2)) || !p.Has(image(1)) || !p.Has(image(3)) {
		t.Error("wrong kinds present")
	}
}

// BenchmarkRunEnded measures the end of a run with five kinds of neighbours, of steps of twenty tasks.
func BenchmarkRunEnded(b *testing.B) {
	d := interferencedetector.New()
	speeds := make([]interferencedetector.Speed, 100)
	random := rand.New(rand.NewPCG(1, 2))
	runs := make([]interferencedetector.Run, 6000)
	for i := range runs {
		runs[i] = interferencedetector.Run{Kind: image(i / 20), Ratio: math.Exp(random.NormFloat64()), Worker: "worker", Speed: &speeds[random.IntN(100)], At: replayStart}
		for range 5 {
			runs[i].Neighbours = append(runs[i].Neighbours, interferencedetector.Share{Kind: image(random.IntN(12)), Share: random.Float64()})
		}
	}
	var step interferencedetector.Step
	b.ReportAllocs()
	for i := range b.N {
		d.RunEnded(&step, runs[i%len(runs)], i%20 == 19)
	}
}

func BenchmarkNoPairKnown(b *testing.B) {
	d := interferencedetector.New()
	kind := image(1)
	b.ReportAllocs()
	for range b.N {
		if d.Partners(kind) != nil {
			b.Fatal("a pair is known")
		}
	}
}
