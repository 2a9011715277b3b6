package partitionplacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
)

func needs(processors int64, memory datasize.ByteSize, accelerators int64) modeler.Resources {
	return modeler.Resources{Processors: modeler.Processors(processors * 1000), Memory: memory, Accelerators: accelerators}
}

// newCell returns workers in two racks and two zones: w0 and w1 without accelerators in rack r0 and
// zone z0, w2 and w3 with two accelerators each in r1 and z1.
func newCell() *partitionplacer.Placer {
	cell := partitionplacer.New(1)
	for i := range 4 {
		worker := modeler.Worker{
			Name:             fmt.Sprintf("w%d", i),
			Rack:             fmt.Sprintf("r%d", i/2),
			AvailabilityZone: fmt.Sprintf("z%d", i/2),
			Capacity:         needs(16, 32*datasize.GB, int64(i/2*2)),
			Slots:            2,
		}
		cell.SetUsable(cell.Add(worker, "pool"), true)
	}
	return cell
}

func expectWorkers(t *testing.T, cell *partitionplacer.Placer, ask partitionplacer.Request, want ...int) {
	t.Helper()
	ask.Pools = []string{"pool"}
	placements, shortage := cell.Place(ask)
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

func TestBatchFillsTheFullestWorkerThatFits(t *testing.T) {
	cell := newCell()
	cell.Reserve(1, needs(10, 0, 0), modeler.Batch)
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(4, datasize.GB, 0), Tasks: 1}, 1)
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(4, datasize.GB, 0), Tasks: 1}, 0)
}

func TestAcceleratorsAreKeptForThoseThatNeedThem(t *testing.T) {
	cell := newCell()
	plain := partitionplacer.Request{Class: modeler.Batch, Needs: needs(16, datasize.GB, 0), Tasks: 1}
	cell.Reserve(2, needs(0, 16*datasize.GB, 0), modeler.Batch)
	expectWorkers(t, cell, plain, 0)
	expectWorkers(t, cell, plain, 1)
	// Only workers with accelerators are left, and idle ones serve nobody.
	expectWorkers(t, cell, plain, 2)
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(1, datasize.GB, 1), Tasks: 1}, 3)
}

func TestMemoryAndAcceleratorsAreCheckedLikeProcessors(t *testing.T) {
	cell := newCell()
	for i := range 4 {
		cell.Reserve(i, needs(0, 31*datasize.GB, 0), modeler.Batch)
	}
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(1, 2*datasize.GB, 0), Tasks: 1})
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(1, datasize.GB, 3), Tasks: 1})
}

func TestGangTakesAllPlacesOrNone(t *testing.T) {
	cell := newCell()
	gang := partitionplacer.Request{Class: modeler.Gang, Needs: needs(10, datasize.GB, 0), Tasks: 5}
	expectWorkers(t, cell, gang)
	for i := range 4 {
		if got := cell.Reserved(i); got != (modeler.Resources{}) {
			t.Errorf("worker %d keeps %+v of a gang that was not placed", i, got)
		}
	}
	gang.Tasks = 4
	expectWorkers(t, cell, gang, 0, 1, 2, 3)
}

func TestServicesSpreadOverZonesThenRacks(t *testing.T) {
	cell := newCell()
	placements, _ := cell.Place(partitionplacer.Request{Class: modeler.StandingService, Needs: needs(1, datasize.GB, 0), Pools: []string{"pool"}, Tasks: 4})
	zones := make(map[string]int)
	for _, placement := range placements {
		zones[cell.Worker(placement.Worker).AvailabilityZone]++
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("4 tasks are spread %v over two zones", zones)
	}
}

func TestQuickRequestsNeverOverlookAFreeSlot(t *testing.T) {
	cell := newCell()
	quick := partitionplacer.Request{Class: modeler.Quick, Needs: needs(0, datasize.MB, 0), Pools: []string{"pool"}, Tasks: 1}
	for range 8 {
		if _, shortage := cell.Place(quick); shortage != partitionplacer.NoShortage {
			t.Fatal("a slot is free and was not found")
		}
	}
	if _, shortage := cell.Place(quick); shortage != partitionplacer.FullNow {
		t.Errorf("got %q with all slots taken, want full-now", shortage)
	}
}

func TestWorkerThatIsNotUsableGetsNothing(t *testing.T) {
	cell := newCell()
	for i := range 3 {
		cell.SetUsable(i, false)
	}
	expectWorkers(t, cell, partitionplacer.Request{Class: modeler.Batch, Needs: needs(1, datasize.GB, 0), Tasks: 2}, 3, 3)
}

func TestNeverFitsOnlyIfAnEmptyCellCouldNotHoldIt(t *testing.T) {
	cell := newCell()
	for i := range 4 {
		cell.Reserve(i, needs(16, 0, 0), modeler.Batch)
	}
	for _, c := range []struct {
		ask  partitionplacer.Request
		want partitionplacer.Shortage
	}{
		{partitionplacer.Request{Class: modeler.Batch, Needs: needs(16, datasize.GB, 0), Tasks: 100}, partitionplacer.NoShortage},
		{partitionplacer.Request{Class: modeler.Batch, Needs: needs(17, datasize.GB, 0), Tasks: 1}, partitionplacer.NeverFits},
		{partitionplacer.Request{Class: modeler.Gang, Needs: needs(16, datasize.GB, 0), Tasks: 4}, partitionplacer.NoShortage},
		{partitionplacer.Request{Class: modeler.Gang, Needs: needs(16, datasize.GB, 0), Tasks: 5}, partitionplacer.NeverFits},
		{partitionplacer.Request{Class: modeler.Batch, Needs: needs(1, datasize.GB, 3), Tasks: 1}, partitionplacer.NeverFits},
	} {
		c.ask.Pools = []string{"pool"}
		if got := cell.ShortageWhenEmpty(c.ask); got != c.want {
			t.Errorf("%+v: got %q, want %q", c.ask, got, c.want)
		}
	}
}

// TestReservationsNeverPassCapacity places and releases at random and adds up by itself.
func TestReservationsNeverPassCapacity(t *testing.T) {
	cell := newCell()
	random := rand.New(rand.NewPCG(7, 7))
	type held struct {
		worker int
		ask    partitionplacer.Request
	}
	var all []held
	sums := make([]modeler.Resources, 4)
	slots := make([]int, 4)
	for range 20000 {
		if len(all) > 0 && random.IntN(2) == 0 {
			i := random.IntN(len(all))
			h := all[i]
			cell.Release(h.worker, h.ask.Needs, h.ask.Class)
			sums[h.worker] = sums[h.worker].Minus(h.ask.Needs)
			if h.ask.Class == modeler.Quick {
				slots[h.worker]--
			}
			all = append(all[:i], all[i+1:]...)
			continue
		}
		ask := partitionplacer.Request{
			Class: modeler.Classes()[random.IntN(4)],
			Needs: needs(random.Int64N(6), datasize.ByteSize(random.Int64N(8))*datasize.GB, random.Int64N(2)),
			Pools: []string{"pool"},
			Tasks: 1 + random.IntN(3),
		}
		placements, _ := cell.Place(ask)
		for _, placement := range placements {
			all = append(all, held{worker: placement.Worker, ask: ask})
			sums[placement.Worker] = sums[placement.Worker].Plus(ask.Needs)
			if ask.Class == modeler.Quick {
				slots[placement.Worker]++
			}
		}
		for i, sum := range sums {
			if !sum.Fits(cell.Worker(i).Capacity) || slots[i] > 2 {
				t.Fatalf("worker %d holds %+v and %d slots", i, sum, slots[i])
			}
		}
	}
}
