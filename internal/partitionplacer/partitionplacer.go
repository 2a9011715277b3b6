package partitionplacer

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// slotChoices is how many random workers a quick request compares.
const slotChoices = 3

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
func (pl *Placer) Place(ask Request) ([]Placement, Shortage) {
	placements := make([]Placement, 0, ask.Tasks)
	beside := ask.JobWorkers
	for range ask.Tasks {
		placement, found := pl.choose(ask, beside)
		if !found {
			pl.undo(ask, placements)
			return nil, FullNow
		}
		pl.Reserve(placement.Worker, ask.Needs, ask.Class)
		placements = append(placements, placement)
		beside = append(beside[:len(beside):len(beside)], placement.Worker)
	}
	return placements, NoShortage
}

func (pl *Placer) undo(ask Request, placements []Placement) {
	for _, placement := range placements {
		pl.Release(placement.Worker, ask.Needs, ask.Class)
	}
}

func (pl *Placer) choose(ask Request, beside []int) (Placement, bool) {
	switch {
	case ask.Class == modeler.Quick:
		return pl.chooseSlot(ask)
	case ask.Class == modeler.StandingService && ask.Spread != modeler.SpreadNone:
		return pl.chooseSpread(ask, beside)
	case ask.Spread == modeler.SpreadRack, ask.Spread == modeler.SpreadAvailabilityZone:
		return pl.chooseSpread(ask, beside)
	default:
		return pl.chooseBestFit(ask)
	}
}

// chooseSlot compares a few random workers with a free slot. If none of the few can take the
// request it walks from the emptiest bucket down, so that a free slot is never overlooked and full
// workers are met last.
func (pl *Placer) chooseSlot(ask Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "most free slots of a few"}
	pools := pl.poolsOf(ask)
	for _, p := range pools {
		for range min(slotChoices, len(p.slotted)) {
			pl.considerSlot(ask, p.slotted[pl.random.IntN(len(p.slotted))], &best)
		}
	}
	if best.Worker >= 0 {
		return best, true
	}
	best.Reason = "first slot from the emptiest worker down"
	// Bucket 0 holds the full workers. It is walked through only if no pool has anything better.
	for _, lowest := range []int{1, 0} {
		for _, p := range pools {
			pl.searchSlots(ask, p, lowest, &best)
		}
	}
	return best, best.Worker >= 0
}

// poolsOf returns the pools that a question allows. Those without accelerators come first, and are
// left out if it asks for any.
func (pl *Placer) poolsOf(ask Request) []*pool {
	pools := make([]*pool, 0, len(pl.pools))
	for _, accelerated := range []bool{false, true} {
		if !accelerated && ask.Needs.Accelerators > 0 {
			continue
		}
		for number := range pl.pools {
			p := &pl.pools[number]
			if p.accelerated == accelerated && slices.Contains(ask.Pools, p.name) {
				pools = append(pools, p)
			}
		}
	}
	return pools
}

func (pl *Placer) searchSlots(ask Request, p *pool, lowest int, best *Placement) {
	for number := len(p.buckets) - 1; number >= lowest && best.Worker < 0; number-- {
		for _, index := range p.buckets[number] {
			if pl.sites[index].freeSlots > 0 {
				pl.considerSlot(ask, index, best)
			}
			if best.Worker >= 0 {
				return
			}
		}
	}
}

func (pl *Placer) considerSlot(ask Request, index int, best *Placement) {
	best.Candidates++
	s := &pl.sites[index]
	if !ask.Needs.Fits(s.free()) || slices.Contains(ask.Avoid, index) {
		return
	}
	if best.Worker < 0 || s.freeSlots > pl.sites[best.Worker].freeSlots {
		best.Worker = index
	}
}

// chooseBestFit takes the fullest worker that the task fits on. Workers with accelerators are
// passed over for work that needs none while another worker has room: a storm of plain work would
// otherwise leave accelerators idle on workers whose processors are all taken.
func (pl *Placer) chooseBestFit(ask Request) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "best fit"}
	for _, p := range pl.poolsOf(ask) {
		if p.accelerated && ask.Needs.Accelerators == 0 {
			if best.Worker >= 0 {
				break
			}
			best.Reason = "best fit beside accelerators"
		}
		pl.searchBuckets(ask, p, &best)
	}
	return best, best.Worker >= 0
}

// enoughFits is how many workers of one bucket that fit are compared. They differ by less than a
// processor and its memory, so that looking at more of them gains little.
const enoughFits = 16

func (pl *Placer) searchBuckets(ask Request, p *pool, best *Placement) {
	for number := bucketOf(ask.Needs); number < len(p.buckets); number++ {
		fits := 0
		for _, index := range p.buckets[number] {
			if fits == enoughFits {
				break
			}
			best.Candidates++
			if !ask.Needs.Fits(pl.sites[index].free()) || slices.Contains(ask.Avoid, index) {
				continue
			}
			fits++
			best.Worker = pl.tighter(best.Worker, index)
		}
		if fits > 0 {
			return
		}
	}
}

// tighter returns the one of two workers with less memory left, in whose bucket both may stand.
func (pl *Placer) tighter(old, candidate int) int {
	if old < 0 {
		return candidate
	}
	a, b := pl.sites[old].free(), pl.sites[candidate].free()
	if b.Processors < a.Processors {
		return candidate
	}
	if b.Processors == a.Processors && b.Memory < a.Memory {
		return candidate
	}
	return old
}

// chooseSpread takes the worker whose availability zone, rack and own place hold the fewest tasks
// of the job, in that order, and of those the emptiest.
func (pl *Placer) chooseSpread(ask Request, beside []int) (Placement, bool) {
	best := Placement{Worker: -1, Reason: "fewest tasks of the job around"}
	bestCrowd := crowd{}
	for _, p := range pl.poolsOf(ask) {
		for _, index := range p.members {
			s := &pl.sites[index]
			if !s.usable {
				continue
			}
			best.Candidates++
			if !ask.Needs.Fits(s.free()) || slices.Contains(ask.Avoid, index) {
				continue
			}
			here := pl.crowdAt(index, beside)
			if best.Worker < 0 || here.less(bestCrowd) {
				best.Worker = index
				bestCrowd = here
			}
		}
	}
	return best, best.Worker >= 0
}

// crowd counts the tasks of a job around a worker, and the worker's reserved share.
type crowd struct {
	zone, rack, worker int
	share              float64
}

func (a crowd) less(b crowd) bool {
	switch {
	case a.zone != b.zone:
		return a.zone < b.zone
	case a.rack != b.rack:
		return a.rack < b.rack
	case a.worker != b.worker:
		return a.worker < b.worker
	default:
		return a.share < b.share
	}
}

func (pl *Placer) crowdAt(index int, beside []int) crowd {
	s := &pl.sites[index]
	here := crowd{share: s.reserved.DominantShare(s.info.Capacity)}
	for _, other := range beside {
		o := &pl.sites[other]
		if o.info.AvailabilityZone == s.info.AvailabilityZone {
			here.zone++
		}
		if o.info.Rack == s.info.Rack {
			here.rack++
		}
		if other == index {
			here.worker++
		}
	}
	return here
}

// CanEverHold tells whether the tasks would fit if nothing else ran, on the workers that are there.
func (pl *Placer) ShortageWhenEmpty(ask Request) Shortage {
	room := 0
	for _, p := range pl.poolsOf(ask) {
		for _, index := range p.members {
			room += pl.roomIn(ask, &pl.sites[index])
			if room >= pl.tasksAtOnce(ask) {
				return NoShortage
			}
		}
	}
	return NeverFits
}

func (pl *Placer) tasksAtOnce(ask Request) int {
	if ask.Class == modeler.Gang {
		return ask.Tasks
	}
	return 1
}

// roomIn counts how many of the tasks an empty worker holds.
func (pl *Placer) roomIn(ask Request, s *site) int {
	if ask.Class == modeler.Quick && s.info.Slots == 0 {
		return 0
	}
	free := s.info.Capacity
	count := 0
	for count < ask.Tasks && ask.Needs.Fits(free) {
		free = free.Minus(ask.Needs)
		count++
	}
	return count
}
