package partitionplacer

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// slotChoices is how many random workers a quick request compares.
const slotSamples = 3

// Request is one placing question: so many equal tasks of a class in some pools.
type Request struct {
	Class  modeler.Class
	Needs  modeler.Resources
	Pools  []string
	Tasks  int
	Spread modeler.Spread
	// Beside lists the workers that hold other tasks of the same job, for spreading.
	JobWorkers []int
	// Avoid lists workers that this task is kept off, because it failed to start there.
	Avoid []int
}

// Placement is a decision for one task. Candidates is how many workers were looked at.
type Placement struct {
	Worker     int
	Candidates int
	Reason     string
}

// Shortage says why nothing was placed.
type Shortage string

const (
	// NoShortage: everything asked for was placed.
	NoShortage Shortage = ""
	// FullNow: a worker could hold it, but not now.
	FullNow Shortage = "full-now"
	// NeverFits: no worker of the pools could hold it even if it were empty, or all of them
	// together could not hold a gang.
	NeverFits Shortage = "never-fits"
)

// Place finds and reserves places for all tasks asked for, or for none.
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

// chooseSlot compares a few random workers with a free slot. If none of the few can take the
// request it walks from the emptiest bucket down, so that a free slot is never overlooked and full
// workers are met last.
func (pl *Placer) chooseSlot(request Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "most free slots of a few"}
	pools := pl.matchingPools(request)
	for _, p := range pools {
		for range min(slotSamples, len(p.withFreeSlot)) {
			pl.considerSlot(request, p.withFreeSlot[pl.random.IntN(len(p.withFreeSlot))], &best)
		}
	}
	if best.Worker >= 0 {
		return best, true
	}
	best.Reason = "first slot from the emptiest worker down"
	// Bucket 0 holds the full workers. It is walked through only if no pool has anything better.
	for _, lowestBucket := range []int{1, 0} {
		for _, p := range pools {
			pl.searchSlots(request, p, lowestBucket, &best)
		}
	}
	return best, best.Worker >= 0
}

// poolsOf returns the pools that a question allows. Those without accelerators come first, and are
// left out if it asks for any.
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
	s := &pl.workers[index]
	if !request.Needs.Fits(s.free()) || slices.Contains(request.Avoid, index) {
		return
	}
	if best.Worker < 0 || s.freeSlots > pl.workers[best.Worker].freeSlots {
		best.Worker = index
	}
}

// chooseBestFit takes the fullest worker that the task fits on. Workers with accelerators are
// passed over for work that needs none while another worker has room: a storm of plain work would
// otherwise leave accelerators idle on workers whose processors are all taken.
func (pl *Placer) chooseBestFit(request Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "best fit"}
	for _, p := range pl.matchingPools(request) {
		if p.accelerated && request.Needs.Accelerators == 0 {
			if best.Worker >= 0 {
				break
			}
			best.Reason = "best fit beside accelerators"
		}
		pl.searchBuckets(request, p, &best)
	}
	return best, best.Worker >= 0
}

// enoughFits is how many workers of one bucket that fit are compared. They differ by less than a
// processor and its memory, so that looking at more of them gains little.
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

// tighter returns the one of two workers with less memory left, in whose bucket both may stand.
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

// chooseSpread takes the worker whose availability zone, rack and own place hold the fewest tasks
// of the job, in that order, and of those the emptiest.
func (pl *Placer) chooseSpread(request Request, jobWorkers []int) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "fewest tasks of the job around"}
	bestScore := spreadScore{}
	for _, p := range pl.matchingPools(request) {
		for _, index := range p.members {
			s := &pl.workers[index]
			if !s.usable {
				continue
			}
			best.Candidates++
			if !request.Needs.Fits(s.free()) || slices.Contains(request.Avoid, index) {
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

// crowd counts the tasks of a job around a worker, and the worker's reserved share.
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
	s := &pl.workers[index]
	score := spreadScore{reservedShare: s.reserved.DominantShare(s.info.Capacity)}
	for _, other := range jobWorkers {
		o := &pl.workers[other]
		if o.info.AvailabilityZone == s.info.AvailabilityZone {
			score.tasksInZone++
		}
		if o.info.Rack == s.info.Rack {
			score.tasksOnRack++
		}
		if other == index {
			score.tasksOnWorker++
		}
	}
	return score
}

// CanEverHold tells whether the tasks would fit if nothing else ran, on the workers that are there.
func (pl *Placer) ShortageWhenEmpty(request Request) Shortage {
	room := 0
	for _, p := range pl.matchingPools(request) {
		for _, index := range p.members {
			room += pl.tasksThatFit(request, &pl.workers[index])
			if room >= pl.tasksPlacedTogether(request) {
				return NoShortage
			}
		}
	}
	return NeverFits
}

func (pl *Placer) tasksPlacedTogether(request Request) int {
	if request.Class == modeler.Gang {
		return request.Tasks
	}
	return 1
}

// roomIn counts how many of the tasks an empty worker holds.
func (pl *Placer) tasksThatFit(request Request, s *workerState) int {
	if request.Class == modeler.Quick && s.info.Slots == 0 {
		return 0
	}
	free := s.info.Capacity
	count := 0
	for count < request.Tasks && request.Needs.Fits(free) {
		free = free.Minus(request.Needs)
		count++
	}
	return count
}
