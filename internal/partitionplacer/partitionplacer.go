package partitionplacer

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// slotSamples is the number of random workers that are compared in each pool for a quick request.
const slotSamples = 3

// Request asks for places for a number of identical tasks of a class in some pools.
type Request struct {
	Class  modeler.Class
	Needs  modeler.Resources
	Pools  []string
	Tasks  int
	Spread modeler.Spread
	// JobWorkers lists the workers that have other tasks of the same job; new tasks are spread away
	// from them.
	JobWorkers []int
	// Avoid lists workers that are not eligible because the task failed to start there.
	Avoid []int
}

// Placement is the placement of one task. Candidates is the number of workers that were examined.
type Placement struct {
	Worker     int
	Candidates int
	Reason     string
}

// Shortage is the reason why nothing was placed.
type Shortage string

const (
	// NoShortage means that all tasks were placed.
	NoShortage Shortage = ""
	// FullNow means that the tasks do not fit on the workers at present.
	FullNow Shortage = "full-now"
	// NeverFits means that no worker of the pools could hold a task even when empty or, for a gang,
	// that all workers together could not hold its tasks.
	NeverFits Shortage = "never-fits"
)

// Place places all tasks of the request and reserves their resources, or places none.
func (pl *Placer) Place(request Request) ([]Placement, Shortage) {
	placements := make([]Placement, 0, request.Tasks)
	jobWorkers := request.JobWorkers
	for range request.Tasks {
		placement, found := pl.choose(request, jobWorkers)
		if !found {
			pl.releaseAll(request, placements)
			return nil, FullNow
		}
		pl.Reserve(placement.Worker, request.Needs, request.Class)
		placements = append(placements, placement)
		jobWorkers = append(jobWorkers[:len(jobWorkers):len(jobWorkers)], placement.Worker)
	}
	return placements, NoShortage
}

func (pl *Placer) releaseAll(request Request, placements []Placement) {
	for _, placement := range placements {
		pl.Release(placement.Worker, request.Needs, request.Class)
	}
}

func (pl *Placer) choose(request Request, jobWorkers []int) (Placement, bool) {
	switch {
	case request.Class == modeler.Quick:
		return pl.chooseSlot(request)
	case request.Class == modeler.StandingService && request.Spread != modeler.SpreadNone:
		return pl.chooseSpread(request, jobWorkers)
	case request.Spread == modeler.SpreadRack, request.Spread == modeler.SpreadAvailabilityZone:
		return pl.chooseSpread(request, jobWorkers)
	default:
		return pl.chooseBestFit(request)
	}
}

// chooseSlot compares a few random workers with a free slot. If none of them can take the request,
// it searches the buckets from the emptiest workers to the fullest, so that it finds any free slot
// and examines full workers last.
func (pl *Placer) chooseSlot(request Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "most free slots of a few random workers"}
	pools := pl.matchingPools(request)
	for _, p := range pools {
		for range min(slotSamples, len(p.withFreeSlot)) {
			pl.considerSlot(request, p.withFreeSlot[pl.random.IntN(len(p.withFreeSlot))], &best)
		}
	}
	if best.Worker >= 0 {
		return best, true
	}
	best.Reason = "first free slot, emptiest workers first"
	// Bucket 0 holds the full workers. It is searched only if no other bucket of any pool has a
	// free slot.
	for _, lowestBucket := range []int{1, 0} {
		for _, p := range pools {
			pl.searchSlots(request, p, lowestBucket, &best)
		}
	}
	return best, best.Worker >= 0
}

// matchingPools returns the pools that a request may use. Pools without accelerators come first;
// they are left out if the request needs accelerators.
func (pl *Placer) matchingPools(request Request) []*pool {
	pools := make([]*pool, 0, len(pl.pools))
	for _, accelerated := range []bool{false, true} {
		if !accelerated && request.Needs.Accelerators > 0 {
			continue
		}
		for number := range pl.pools {
			p := &pl.pools[number]
			if p.accelerated == accelerated && slices.Contains(request.Pools, p.name) {
				pools = append(pools, p)
			}
		}
	}
	return pools
}

func (pl *Placer) searchSlots(request Request, p *pool, lowestBucket int, best *Placement) {
	for number := len(p.buckets) - 1; number >= lowestBucket && best.Worker < 0; number-- {
		for _, index := range p.buckets[number] {
			if pl.workers[index].freeSlots > 0 {
				pl.considerSlot(request, index, best)
			}
			if best.Worker >= 0 {
				return
			}
		}
	}
}

func (pl *Placer) considerSlot(request Request, index int, best *Placement) {
	best.Candidates++
	w := &pl.workers[index]
	if !request.Needs.Fits(w.free()) || slices.Contains(request.Avoid, index) {
		return
	}
	if best.Worker < 0 || w.freeSlots > pl.workers[best.Worker].freeSlots {
		best.Worker = index
	}
}

// chooseBestFit chooses the fullest worker on which the task fits. Tasks that need no accelerators
// are placed on workers with accelerators only if no other worker fits: a burst of such tasks would
// otherwise occupy all processors of these workers and leave their accelerators idle.
func (pl *Placer) chooseBestFit(request Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "best fit"}
	for _, p := range pl.matchingPools(request) {
		if p.accelerated && request.Needs.Accelerators == 0 {
			if best.Worker >= 0 {
				break
			}
			best.Reason = "best fit on a worker with accelerators"
		}
		pl.searchBuckets(request, p, &best)
	}
	return best, best.Worker >= 0
}

// maxFitsCompared limits how many fitting workers of one bucket are compared. In their scarcer free
// resource, the workers of a bucket differ by less than one processor or its memory, so comparing
// more of them gains little.
const maxFitsCompared = 16

func (pl *Placer) searchBuckets(request Request, p *pool, best *Placement) {
	for number := bucketOf(request.Needs); number < len(p.buckets); number++ {
		fits := 0
		for _, index := range p.buckets[number] {
			if fits == maxFitsCompared {
				break
			}
			best.Candidates++
			if !request.Needs.Fits(pl.workers[index].free()) || slices.Contains(request.Avoid, index) {
				continue
			}
			fits++
			best.Worker = pl.tighterFit(best.Worker, index)
		}
		if fits > 0 {
			return
		}
	}
}

// tighterFit returns the worker with fewer free processors or, if these are equal, with less free
// memory. Best is negative if there is only the candidate.
func (pl *Placer) tighterFit(best, candidate int) int {
	if best < 0 {
		return candidate
	}
	a, b := pl.workers[best].free(), pl.workers[candidate].free()
	if b.Processors < a.Processors {
		return candidate
	}
	if b.Processors == a.Processors && b.Memory < a.Memory {
		return candidate
	}
	return best
}

// chooseSpread chooses the worker with the fewest tasks of the job in its availability zone, then
// on its rack, then on the worker itself, and among equal workers the emptiest.
func (pl *Placer) chooseSpread(request Request, jobWorkers []int) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "fewest tasks of the job in zone, on rack and on worker"}
	bestScore := spreadScore{}
	for _, p := range pl.matchingPools(request) {
		for _, index := range p.members {
			w := &pl.workers[index]
			if !w.usable {
				continue
			}
			best.Candidates++
			if !request.Needs.Fits(w.free()) || slices.Contains(request.Avoid, index) {
				continue
			}
			score := pl.spreadScoreAt(index, jobWorkers)
			if best.Worker < 0 || score.less(bestScore) {
				best.Worker = index
				bestScore = score
			}
		}
	}
	return best, best.Worker >= 0
}

// spreadScore orders workers by the tasks of a job near them and by the reserved share of the
// worker.
type spreadScore struct {
	tasksInZone, tasksOnRack, tasksOnWorker int
	reservedShare                           float64
}

func (a spreadScore) less(b spreadScore) bool {
	switch {
	case a.tasksInZone != b.tasksInZone:
		return a.tasksInZone < b.tasksInZone
	case a.tasksOnRack != b.tasksOnRack:
		return a.tasksOnRack < b.tasksOnRack
	case a.tasksOnWorker != b.tasksOnWorker:
		return a.tasksOnWorker < b.tasksOnWorker
	default:
		return a.reservedShare < b.reservedShare
	}
}

func (pl *Placer) spreadScoreAt(index int, jobWorkers []int) spreadScore {
	w := &pl.workers[index]
	score := spreadScore{reservedShare: w.reserved.DominantShare(w.info.Capacity)}
	for _, other := range jobWorkers {
		o := &pl.workers[other]
		if o.info.AvailabilityZone == w.info.AvailabilityZone {
			score.tasksInZone++
		}
		if o.info.Rack == w.info.Rack {
			score.tasksOnRack++
		}
		if other == index {
			score.tasksOnWorker++
		}
	}
	return score
}

// ShortageWhenEmpty returns NoShortage if the tasks would fit on the workers if these were empty,
// otherwise NeverFits.
func (pl *Placer) ShortageWhenEmpty(request Request) Shortage {
	fitting := 0
	for _, p := range pl.matchingPools(request) {
		for _, index := range p.members {
			fitting += pl.tasksThatFit(request, &pl.workers[index])
			if fitting >= pl.tasksPlacedTogether(request) {
				return NoShortage
			}
		}
	}
	return NeverFits
}

// tasksPlacedTogether returns how many tasks must be placed at the same time: all tasks of a gang,
// otherwise one.
func (pl *Placer) tasksPlacedTogether(request Request) int {
	if request.Class == modeler.Gang {
		return request.Tasks
	}
	return 1
}

// tasksThatFit returns how many of the tasks fit on the worker when it is empty.
func (pl *Placer) tasksThatFit(request Request, w *workerState) int {
	if request.Class == modeler.Quick && w.info.Slots == 0 {
		return 0
	}
	free := w.info.Capacity
	count := 0
	for count < request.Tasks && request.Needs.Fits(free) {
		free = free.Minus(request.Needs)
		count++
	}
	return count
}
