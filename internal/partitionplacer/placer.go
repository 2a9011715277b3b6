package partitionplacer

import (
	"math/rand/v2"
	"slices"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// workerState is a worker with its reservations and its positions in the index of its pool. The
// index of a worker in Placer.workers is never reused.
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

// pool is one pool's workers with accelerators, or those without. Members lists all of them.
// Buckets and withFreeSlot index the usable ones: by free resources, and those that have a free
// slot.
type pool struct {
	name         string
	accelerated  bool
	members      []int
	buckets      [][]int
	withFreeSlot []int
}

// Placer holds the workers of one partition with their reservations.
type Placer struct {
	workers []workerState
	pools   []pool
	random  *rand.Rand
}

// New returns a Placer without workers. The seed determines the random sampling for quick requests.
func New(seed uint64) *Placer {
	return &Placer{random: rand.New(rand.NewPCG(seed, seed))}
}

// Add adds a worker to a pool and returns its index. The worker gets no tasks until SetUsable is
// called.
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

// Worker returns the definition of a worker.
func (pl *Placer) Worker(index int) modeler.Worker { return pl.workers[index].info }

// Free returns the resources of a worker that are not reserved.
func (pl *Placer) Free(index int) modeler.Resources { return pl.workers[index].free() }

// Reserved returns the resources that are reserved on a worker.
func (pl *Placer) Reserved(index int) modeler.Resources { return pl.workers[index].reserved }

// free returns the resources that are not reserved, never less than zero: reservations may exceed
// the capacity if an adopted task runs on a worker whose declared capacity has shrunk, and the
// unsigned amount of memory would then wrap around to a huge value.
func (w *workerState) free() modeler.Resources {
	capacity := w.info.Capacity
	return capacity.Minus(modeler.Resources{
		Processors:   min(w.reserved.Processors, capacity.Processors),
		Memory:       min(w.reserved.Memory, capacity.Memory),
		Accelerators: min(w.reserved.Accelerators, capacity.Accelerators),
	})
}

// SetUsable sets whether a worker may get new tasks. Its running tasks are not affected.
func (pl *Placer) SetUsable(index int, usable bool) {
	w := &pl.workers[index]
	if w.usable == usable {
		return
	}
	if !usable {
		pl.removeFromIndex(index)
		w.usable = false
		return
	}
	w.usable = true
	pl.addToIndex(index)
}

// SetCapacity changes the capacity of a worker. Its reservations stay, also those beyond the capacity.
func (pl *Placer) SetCapacity(index int, capacity modeler.Resources) {
	pl.updateReservation(index, func(w *workerState) { w.info.Capacity = capacity })
}

// SetPool moves a worker to another pool.
func (pl *Placer) SetPool(index int, poolName string) {
	w := &pl.workers[index]
	number := pl.poolIndex(poolName, w.info)
	if w.pool == number {
		return
	}
	usable := w.usable
	pl.SetUsable(index, false)
	old := &pl.pools[w.pool]
	old.members = slices.DeleteFunc(old.members, func(member int) bool { return member == index })
	w.pool = number
	pl.pools[number].members = append(pl.pools[number].members, index)
	pl.SetUsable(index, usable)
}

// Usable reports whether a worker may get new tasks.
func (pl *Placer) Usable(index int) bool { return pl.workers[index].usable }

// Reserve reserves resources for a task that already runs on a worker. The reservation may exceed
// the free resources if the worker accepted the task before it was added here; what the worker
// reports takes precedence.
func (pl *Placer) Reserve(index int, needs modeler.Resources, class modeler.Class) {
	pl.updateReservation(index, func(w *workerState) {
		w.reserved = w.reserved.Plus(needs)
		if class == modeler.Quick {
			w.freeSlots--
		}
	})
}

// Release releases resources reserved by Place or Reserve.
func (pl *Placer) Release(index int, needs modeler.Resources, class modeler.Class) {
	pl.updateReservation(index, func(w *workerState) {
		w.reserved = w.reserved.Minus(needs)
		if class == modeler.Quick {
			w.freeSlots++
		}
	})
}

// updateReservation changes the reservation of a worker and updates the index of its pool.
func (pl *Placer) updateReservation(index int, apply func(*workerState)) {
	w := &pl.workers[index]
	if w.usable {
		pl.removeFromIndex(index)
	}
	apply(w)
	if w.usable {
		pl.addToIndex(index)
	}
}

// memoryPerProcessor is the ratio of memory to processors on the workers that the scheduler is
// designed for. It balances the sizes of the buckets; any other ratio would also give correct
// placements.
const memoryPerProcessor = 2 * datasize.GB

// bucketOf returns the bucket number, which is determined by the scarcer of free processors and
// free memory. A worker that is full in one of them is in bucket 0, however much it has left of the
// other. Buckets by processors alone would hold many workers without free memory, all of which would
// be examined for every placement.
//
// The bucket of a request is never higher than that of a worker on which it fits, because the
// request is at most as large as the free resources in both dimensions.
func bucketOf(free modeler.Resources) int {
	byProcessors := int(max(free.Processors, 0) / 1000)
	return min(byProcessors, int(free.Memory/memoryPerProcessor))
}

func (pl *Placer) addToIndex(index int) {
	w := &pl.workers[index]
	p := &pl.pools[w.pool]
	w.bucket = bucketOf(w.free())
	for len(p.buckets) <= w.bucket {
		p.buckets = append(p.buckets, nil)
	}
	w.bucketPosition = len(p.buckets[w.bucket])
	p.buckets[w.bucket] = append(p.buckets[w.bucket], index)
	if w.freeSlots > 0 {
		w.slotPosition = len(p.withFreeSlot)
		p.withFreeSlot = append(p.withFreeSlot, index)
	}
}

func (pl *Placer) removeFromIndex(index int) {
	w := &pl.workers[index]
	p := &pl.pools[w.pool]
	bucket := p.buckets[w.bucket]
	last := bucket[len(bucket)-1]
	bucket[w.bucketPosition] = last
	pl.workers[last].bucketPosition = w.bucketPosition
	p.buckets[w.bucket] = bucket[:len(bucket)-1]
	if w.slotPosition >= 0 {
		last = p.withFreeSlot[len(p.withFreeSlot)-1]
		p.withFreeSlot[w.slotPosition] = last
		pl.workers[last].slotPosition = w.slotPosition
		p.withFreeSlot = p.withFreeSlot[:len(p.withFreeSlot)-1]
		w.slotPosition = -1
	}
}

// Totals returns the total capacity and the total reservations of all usable workers.
func (pl *Placer) Totals() (capacity, reserved modeler.Resources) {
	for i := range pl.workers {
		w := &pl.workers[i]
		if !w.usable {
			continue
		}
		capacity = capacity.Plus(w.info.Capacity)
		reserved = reserved.Plus(w.reserved)
	}
	return capacity, reserved
}
