package partitionplacer

import (
	"math/rand/v2"
	"slices"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// site is a worker with what is left of it. Worker indexes are never reused.
type workerState struct {
	info           modeler.Worker
	pool           int
	reserved       modeler.Resources
	freeSlots      int
	usable         bool
	bucket         int
	bucketPosition int
	slotPosition   int
}

// pool is an index over the usable workers of one pool, either those with accelerators or those
// without. slotted lists the ones with a free slot.
type pool struct {
	name         string
	accelerated  bool
	members      []int
	buckets      [][]int
	withFreeSlot []int
}

// Placer is the model of the workers of one partition.
type Placer struct {
	workers []workerState
	pools   []pool
	random  *rand.Rand
}

// New returns an empty cell. The seed decides the random choices among slots.
func New(seed uint64) *Placer {
	return &Placer{random: rand.New(rand.NewPCG(seed, seed))}
}

// Add puts a worker into a pool and returns its index. It is not usable before SetUsable.
func (pl *Placer) Add(info modeler.Worker, poolName string) int {
	index := len(pl.workers)
	number := pl.poolIndex(poolName, info)
	pl.workers = append(pl.workers, workerState{
		info:         info,
		pool:         number,
		freeSlots:    info.Slots,
		slotPosition: -1,
	})
	pl.pools[number].members = append(pl.pools[number].members, index)
	return index
}

func (pl *Placer) poolIndex(name string, info modeler.Worker) int {
	accelerated := info.Capacity.Accelerators > 0
	for number := range pl.pools {
		if pl.pools[number].name == name && pl.pools[number].accelerated == accelerated {
			return number
		}
	}
	pl.pools = append(pl.pools, pool{name: name, accelerated: accelerated})
	return len(pl.pools) - 1
}

// Worker returns the description of a worker.
func (pl *Placer) Worker(index int) modeler.Worker { return pl.workers[index].info }

// Free returns what is not reserved on a worker.
func (pl *Placer) Free(index int) modeler.Resources { return pl.workers[index].free() }

// Reserved returns what is reserved on a worker.
func (pl *Placer) Reserved(index int) modeler.Resources { return pl.workers[index].reserved }

// free never goes below nothing: an adopted task may stand on a worker whose declared capacity
// shrank, and unsigned memory would wrap to a huge amount there.
func (s *workerState) free() modeler.Resources {
	capacity := s.info.Capacity
	return capacity.Minus(modeler.Resources{
		Processors:   min(s.reserved.Processors, capacity.Processors),
		Memory:       min(s.reserved.Memory, capacity.Memory),
		Accelerators: min(s.reserved.Accelerators, capacity.Accelerators),
	})
}

// SetUsable lets a worker take new work or keeps it from doing so. What it runs is not touched.
func (pl *Placer) SetUsable(index int, usable bool) {
	s := &pl.workers[index]
	if s.usable == usable {
		return
	}
	if !usable {
		pl.removeFromIndex(index)
		s.usable = false
		return
	}
	s.usable = true
	pl.addToIndex(index)
}

// SetPool moves a worker to another pool.
func (pl *Placer) SetPool(index int, poolName string) {
	s := &pl.workers[index]
	number := pl.poolIndex(poolName, s.info)
	if s.pool == number {
		return
	}
	usable := s.usable
	pl.SetUsable(index, false)
	old := &pl.pools[s.pool]
	old.members = slices.DeleteFunc(old.members, func(member int) bool { return member == index })
	s.pool = number
	pl.pools[number].members = append(pl.pools[number].members, index)
	pl.SetUsable(index, usable)
}

// Usable tells whether a worker takes new work.
func (pl *Placer) Usable(index int) bool { return pl.workers[index].usable }

// Reserve takes needs on a worker for a task that runs there already. It may exceed what is free
// only if the worker took the task before this cell knew it; the worker's word counts.
func (pl *Placer) Reserve(index int, needs modeler.Resources, class modeler.Class) {
	pl.updateReservation(index, func(s *workerState) {
		s.reserved = s.reserved.Plus(needs)
		if class == modeler.Quick {
			s.freeSlots--
		}
	})
}

// Release gives back what Place or Reserve took.
func (pl *Placer) Release(index int, needs modeler.Resources, class modeler.Class) {
	pl.updateReservation(index, func(s *workerState) {
		s.reserved = s.reserved.Minus(needs)
		if class == modeler.Quick {
			s.freeSlots++
		}
	})
}

func (pl *Placer) updateReservation(index int, apply func(*workerState)) {
	s := &pl.workers[index]
	if s.usable {
		pl.removeFromIndex(index)
	}
	apply(s)
	if s.usable {
		pl.addToIndex(index)
	}
}

// memoryPerProcessor is the ratio of both users' workers. It only makes the buckets even; any other
// ratio is as correct.
const memoryPerProcessor = 2 * datasize.GB

// bucketOf numbers the bucket by the scarcer of free processors and free memory. A worker that is
// full in one dimension stands in bucket 0, whatever is left of the other: buckets by processors
// alone were full of workers without memory, and were walked through at every decision.
//
// What fits on a worker is never in a higher bucket than the worker, since it is at most as large
// in both dimensions.
func bucketOf(free modeler.Resources) int {
	byProcessors := int(max(free.Processors, 0) / 1000)
	return min(byProcessors, int(free.Memory/memoryPerProcessor))
}

func (pl *Placer) addToIndex(index int) {
	s := &pl.workers[index]
	p := &pl.pools[s.pool]
	s.bucket = bucketOf(s.free())
	for len(p.buckets) <= s.bucket {
		p.buckets = append(p.buckets, nil)
	}
	s.bucketPosition = len(p.buckets[s.bucket])
	p.buckets[s.bucket] = append(p.buckets[s.bucket], index)
	if s.freeSlots > 0 {
		s.slotPosition = len(p.withFreeSlot)
		p.withFreeSlot = append(p.withFreeSlot, index)
	}
}

func (pl *Placer) removeFromIndex(index int) {
	s := &pl.workers[index]
	p := &pl.pools[s.pool]
	bucket := p.buckets[s.bucket]
	last := bucket[len(bucket)-1]
	bucket[s.bucketPosition] = last
	pl.workers[last].bucketPosition = s.bucketPosition
	p.buckets[s.bucket] = bucket[:len(bucket)-1]
	if s.slotPosition >= 0 {
		last = p.withFreeSlot[len(p.withFreeSlot)-1]
		p.withFreeSlot[s.slotPosition] = last
		pl.workers[last].slotPosition = s.slotPosition
		p.withFreeSlot = p.withFreeSlot[:len(p.withFreeSlot)-1]
		s.slotPosition = -1
	}
}

// Totals returns capacity and reservations of all usable workers together.
func (pl *Placer) Totals() (capacity, reserved modeler.Resources) {
	for i := range pl.workers {
		s := &pl.workers[i]
		if !s.usable {
			continue
		}
		capacity = capacity.Plus(s.info.Capacity)
		reserved = reserved.Plus(s.reserved)
	}
	return capacity, reserved
}
