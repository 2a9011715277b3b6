package partitionplacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

// tasksPerWorker gives 39,000 tasks on 1,500 workers, the size expected in two years. Of these
// workers, 1,400 have two accelerators each, 2,800 in total.
const tasksPerWorker = 26

// newFullPlacer returns a Placer with tasks on every worker, the placements of these tasks and the
// request for one of them.
func newFullPlacer(workers int) (*partitionplacer.Placer, []partitionplacer.Placement, partitionplacer.Request) {
	placer := partitionplacer.New(1)
	for i := range workers {
		accelerators := int64(2)
		if i%15 == 0 {
			accelerators = 0
		}
		index := placer.Add(modeler.Worker{
			Name:             fmt.Sprintf("w%d", i),
			Rack:             fmt.Sprintf("r%d", i/8),
			AvailabilityZone: fmt.Sprintf("z%d", i%10),
			Capacity:         resources(64, 128*datasize.GB, accelerators),
			Slots:            8,
		}, "pool")
		placer.SetUsable(index, true)
	}
	request := partitionplacer.Request{Class: modeler.Batch, Needs: resources(2, 4*datasize.GB, 0), Pools: []string{"pool"}, Tasks: 1}
	var running []partitionplacer.Placement
	for range workers * tasksPerWorker {
		placements, _ := placer.Place(request)
		running = append(running, placements...)
	}
	return placer, running, request
}

// BenchmarkDecision measures single placements while other tasks start and end all the time. The
// metric p99-us is the 99th percentile in microseconds.
func BenchmarkDecision(b *testing.B) {
	requests := map[string]partitionplacer.Request{
		"quick":   {Class: modeler.Quick, Needs: resources(0, 64*datasize.MB, 0), Tasks: 1},
		"batch":   {Class: modeler.Batch, Needs: resources(2, 4*datasize.GB, 0), Tasks: 1},
		"gang":    {Class: modeler.Gang, Needs: resources(4, 8*datasize.GB, 1), Tasks: 8},
		"service": {Class: modeler.StandingService, Needs: resources(1, datasize.GB, 0), Tasks: 1},
	}
	for _, class := range []string{"quick", "batch", "gang", "service"} {
		for _, workers := range []int{375, 750, 1500, 6000, 15000} {
			b.Run(fmt.Sprintf("%s/workers=%d", class, workers), func(b *testing.B) {
				request := requests[class]
				request.Pools = []string{"pool"}
				measureDecision(b, workers, request)
			})
		}
	}
}

func measureDecision(b *testing.B, workers int, request partitionplacer.Request) {
	placer, running, churn := newFullPlacer(workers)
	random := rand.New(rand.NewPCG(1, 1))
	times := hdrhistogram.New(1, int64(time.Second), 3)
	placed := 0
	b.ResetTimer()
	for range b.N {
		// One running task ends and another one starts; this is not part of the measured time.
		b.StopTimer()
		i := random.IntN(len(running))
		placer.Release(running[i].Worker, churn.Needs, churn.Class)
		if replacements, shortage := placer.Place(churn); shortage == partitionplacer.NoShortage {
			running[i] = replacements[0]
		} else {
			placer.Reserve(running[i].Worker, churn.Needs, churn.Class)
		}
		b.StartTimer()
		startedAt := time.Now()
		placements, _ := placer.Place(request)
		took := time.Since(startedAt)
		b.StopTimer()
		// RecordValue fails only for values of more than a second, which would be visible in the
		// mean.
		_ = times.RecordValue(took.Nanoseconds())
		for _, placement := range placements {
			placed++
			placer.Release(placement.Worker, request.Needs, request.Class)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-us")
	b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
}

// firstFit, randomFit and twoChoices are the baselines, which use no index. firstFit returns the
// first worker on which the task fits, or -1.
func firstFit(placer *partitionplacer.Placer, workers int, request partitionplacer.Request) int {
	for i := range workers {
		if placer.Usable(i) && request.Needs.Fits(placer.Free(i)) {
			return i
		}
	}
	return -1
}

// randomFit returns the first worker on which the task fits, starting at a random one, or -1.
func randomFit(placer *partitionplacer.Placer, workers int, request partitionplacer.Request, random *rand.Rand) int {
	start := random.IntN(workers)
	for i := range workers {
		index := (start + i) % workers
		if placer.Usable(index) && request.Needs.Fits(placer.Free(index)) {
			return index
		}
	}
	return -1
}

// twoChoices returns the one of two random workers with more free processors; if the task fits on
// neither, it falls back to randomFit.
func twoChoices(placer *partitionplacer.Placer, workers int, request partitionplacer.Request, random *rand.Rand) int {
	a, b := random.IntN(workers), random.IntN(workers)
	fitsA, fitsB := request.Needs.Fits(placer.Free(a)), request.Needs.Fits(placer.Free(b))
	switch {
	case fitsA && (!fitsB || placer.Free(a).Processors >= placer.Free(b).Processors):
		return a
	case fitsB:
		return b
	default:
		return randomFit(placer, workers, request, random)
	}
}

// BenchmarkPacking places a mix of tasks of different sizes until 400 of them have not fitted
// anywhere, and reports the reserved share of the dominant resource and the share of idle
// accelerators. It assumes that tasks use exactly the resources that they request. The mix is
// generated from a fixed seed and is the same for each policy.
func BenchmarkPacking(b *testing.B) {
	const workers = 200
	policies := map[string]func(placer *partitionplacer.Placer, request partitionplacer.Request, random *rand.Rand) int{
		"first-fit": func(placer *partitionplacer.Placer, request partitionplacer.Request, _ *rand.Rand) int {
			return firstFit(placer, workers, request)
		},
		"any-fit": func(placer *partitionplacer.Placer, request partitionplacer.Request, random *rand.Rand) int {
			return randomFit(placer, workers, request, random)
		},
		"two-choices": func(placer *partitionplacer.Placer, request partitionplacer.Request, random *rand.Rand) int {
			return twoChoices(placer, workers, request, random)
		},
		"dotterelpost": func(placer *partitionplacer.Placer, request partitionplacer.Request, _ *rand.Rand) int {
			placements, shortage := placer.Place(request)
			if shortage != partitionplacer.NoShortage {
				return -1
			}
			placer.Release(placements[0].Worker, request.Needs, request.Class)
			return placements[0].Worker
		},
	}
	for _, name := range []string{"first-fit", "any-fit", "two-choices", "dotterelpost"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				reserved, idle := fillPlacer(workers, policies[name])
				b.ReportMetric(100*reserved, "%dominant")
				b.ReportMetric(100*idle, "%accelerators-idle")
			}
		})
	}
}

func fillPlacer(workers int, choose func(placer *partitionplacer.Placer, request partitionplacer.Request, random *rand.Rand) int) (reserved, idle float64) {
	placer := partitionplacer.New(1)
	for i := range workers {
		placer.SetUsable(placer.Add(modeler.Worker{Capacity: resources(64, 128*datasize.GB, int64(i%2*4))}, "pool"), true)
	}
	random := rand.New(rand.NewPCG(3, 3))
	failed := 0
	for failed < 400 {
		request := partitionplacer.Request{Class: modeler.Batch, Pools: []string{"pool"}, Tasks: 1}
		switch random.IntN(4) {
		case 0:
			request.Needs = resources(8+random.Int64N(16), 32*datasize.GB, 0)
		case 1:
			request.Needs = resources(2, 8*datasize.GB, 1)
		default:
			request.Needs = resources(1+random.Int64N(6), datasize.ByteSize(1+random.Int64N(12))*datasize.GB, 0)
		}
		index := choose(placer, request, random)
		if index < 0 {
			failed++
			continue
		}
		placer.Reserve(index, request.Needs, request.Class)
	}
	capacity, used := placer.Totals()
	return used.DominantShare(capacity), 1 - float64(used.Accelerators)/float64(capacity.Accelerators)
}
