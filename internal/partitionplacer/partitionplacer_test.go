package partitionplacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

func resources(processors int64, memory datasize.ByteSize, accelerators int64) modeler.Resources {
	return modeler.Resources{Processors: modeler.Processors(processors * 1000), Memory: memory, Accelerators: accelerators}
}

// newPlacer returns a Placer with four workers in two racks and two zones: w0 and w1 without
// accelerators in rack r0 and zone z0, w2 and w3 with two accelerators each in rack r1 and zone z1.
func newPlacer() *partitionplacer.Placer {
	placer := partitionplacer.New(1)
	for i := range 4 {
		worker := modeler.Worker{
			Name:             fmt.Sprintf("w%d", i),
			Rack:             fmt.Sprintf("r%d", i/2),
			AvailabilityZone: fmt.Sprintf("z%d", i/2),
			Capacity:         resources(16, 32*datasize.GB, int64(i/2*2)),
			Slots:            2,
		}
		placer.SetUsable(placer.Add(worker, "pool"), true)
	}
	return placer
}

func expectWorkers(t *testing.T, placer *partitionplacer.Placer, request partitionplacer.Request, want ...int) {
	t.Helper()
	request.Pools = []string{"pool"}
	placements, shortage := placer.Place(request)
	if len(want) == 0 {
		if shortage == partitionplacer.NoShortage {
			t.Fatalf("placed %v, want a shortage", placements)
		}
		return
	}
	if len(placements) != len(want) {
		t.Fatalf("got %d places (%s), want %d", len(placements), shortage, len(want))
	}
	for i, placement := range placements {
		if placement.Worker != want[i] {
			t.Errorf("task %d went to worker %d, want %d", i, placement.Worker, want[i])
		}
	}
}

func TestBatchUsesBestFit(t *testing.T) {
	placer := newPlacer()
	placer.Reserve(1, resources(10, 0, 0), modeler.Batch)
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(4, datasize.GB, 0), Tasks: 1}, 1)
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(4, datasize.GB, 0), Tasks: 1}, 0)
}

func TestPlainTasksAvoidWorkersWithAccelerators(t *testing.T) {
	placer := newPlacer()
	plain := partitionplacer.Request{Class: modeler.Batch, Needs: resources(16, datasize.GB, 0), Tasks: 1}
	placer.Reserve(2, resources(0, 16*datasize.GB, 0), modeler.Batch)
	expectWorkers(t, placer, plain, 0)
	expectWorkers(t, placer, plain, 1)
	// Only workers with accelerators are left. They are used rather than left idle.
	expectWorkers(t, placer, plain, 2)
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(1, datasize.GB, 1), Tasks: 1}, 3)
}

func TestMemoryAndAcceleratorsAreChecked(t *testing.T) {
	placer := newPlacer()
	for i := range 4 {
		placer.Reserve(i, resources(0, 31*datasize.GB, 0), modeler.Batch)
	}
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(1, 2*datasize.GB, 0), Tasks: 1})
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(1, datasize.GB, 3), Tasks: 1})
}

func TestGangIsPlacedAllOrNothing(t *testing.T) {
	placer := newPlacer()
	gang := partitionplacer.Request{Class: modeler.Gang, Needs: resources(10, datasize.GB, 0), Tasks: 5}
	expectWorkers(t, placer, gang)
	for i := range 4 {
		if got := placer.Reserved(i); got != (modeler.Resources{}) {
			t.Errorf("worker %d still has %+v reserved for a gang that was not placed", i, got)
		}
	}
	gang.Tasks = 4
	expectWorkers(t, placer, gang, 0, 1, 2, 3)
}

func TestServicesSpreadOverZonesThenRacks(t *testing.T) {
	placer := newPlacer()
	placements, _ := placer.Place(partitionplacer.Request{Class: modeler.StandingService, Needs: resources(1, datasize.GB, 0), Pools: []string{"pool"}, Tasks: 4})
	zones := make(map[string]int)
	for _, placement := range placements {
		zones[placer.Worker(placement.Worker).AvailabilityZone]++
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("tasks per zone are %v, want two in each of the two zones", zones)
	}
}

func TestQuickRequestsFindEveryFreeSlot(t *testing.T) {
	placer := newPlacer()
	quick := partitionplacer.Request{Class: modeler.Quick, Needs: resources(0, datasize.MB, 0), Pools: []string{"pool"}, Tasks: 1}
	for range 8 {
		if _, shortage := placer.Place(quick); shortage != partitionplacer.NoShortage {
			t.Fatal("a free slot was not found")
		}
	}
	if _, shortage := placer.Place(quick); shortage != partitionplacer.FullNow {
		t.Errorf("got %q with all slots taken, want full-now", shortage)
	}
}

func TestUnusableWorkersAreSkipped(t *testing.T) {
	placer := newPlacer()
	for i := range 3 {
		placer.SetUsable(i, false)
	}
	expectWorkers(t, placer, partitionplacer.Request{Class: modeler.Batch, Needs: resources(1, datasize.GB, 0), Tasks: 2}, 3, 3)
}

func TestShortageWhenEmpty(t *testing.T) {
	placer := newPlacer()
	for i := range 4 {
		placer.Reserve(i, resources(16, 0, 0), modeler.Batch)
	}
	for _, c := range []struct {
		request partitionplacer.Request
		want    partitionplacer.Shortage
	}{
		{partitionplacer.Request{Class: modeler.Batch, Needs: resources(16, datasize.GB, 0), Tasks: 100}, partitionplacer.NoShortage},
		{partitionplacer.Request{Class: modeler.Batch, Needs: resources(17, datasize.GB, 0), Tasks: 1}, partitionplacer.NeverFits},
		{partitionplacer.Request{Class: modeler.Gang, Needs: resources(16, datasize.GB, 0), Tasks: 4}, partitionplacer.NoShortage},
		{partitionplacer.Request{Class: modeler.Gang, Needs: resources(16, datasize.GB, 0), Tasks: 5}, partitionplacer.NeverFits},
		{partitionplacer.Request{Class: modeler.Batch, Needs: resources(1, datasize.GB, 3), Tasks: 1}, partitionplacer.NeverFits},
	} {
		c.request.Pools = []string{"pool"}
		if got := placer.ShortageWhenEmpty(c.request); got != c.want {
			t.Errorf("%+v: got %q, want %q", c.request, got, c.want)
		}
	}
}

// TestReservationsNeverExceedCapacity places and releases tasks at random and compares an
// independent sum of the reservations with the capacity.
func TestReservationsNeverExceedCapacity(t *testing.T) {
	placer := newPlacer()
	random := rand.New(rand.NewPCG(7, 7))
	type reservation struct {
		worker  int
		request partitionplacer.Request
	}
	var reservations []reservation
	sums := make([]modeler.Resources, 4)
	slots := make([]int, 4)
	for range 20000 {
		if len(reservations) > 0 && random.IntN(2) == 0 {
			i := random.IntN(len(reservations))
			r := reservations[i]
			placer.Release(r.worker, r.request.Needs, r.request.Class)
			sums[r.worker] = sums[r.worker].Minus(r.request.Needs)
			if r.request.Class == modeler.Quick {
				slots[r.worker]--
			}
			reservations = append(reservations[:i], reservations[i+1:]...)
			continue
		}
		request := partitionplacer.Request{
			Class: modeler.Classes()[random.IntN(4)],
			Needs: resources(random.Int64N(6), datasize.ByteSize(random.Int64N(8))*datasize.GB, random.Int64N(2)),
			Pools: []string{"pool"},
			Tasks: 1 + random.IntN(3),
		}
		placements, _ := placer.Place(request)
		for _, placement := range placements {
			reservations = append(reservations, reservation{worker: placement.Worker, request: request})
			sums[placement.Worker] = sums[placement.Worker].Plus(request.Needs)
			if request.Class == modeler.Quick {
				slots[placement.Worker]++
			}
		}
		for i, sum := range sums {
			if !sum.Fits(placer.Worker(i).Capacity) || slots[i] > 2 {
				t.Fatalf("worker %d has %+v and %d slots reserved, which exceeds its capacity", i, sum, slots[i])
			}
		}
	}
}
