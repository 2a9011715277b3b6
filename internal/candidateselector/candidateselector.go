// Package candidateselector selects the workers that a call to the placement advisor lists as
// candidates. It does no I/O and reads no clock.
//
// # Usage
//
//	selector := candidateselector.New(candidates, pending)
//	request := candidateselector.Request{Step: step, Tasks: 4, SuitableShare: 0.7}
//	selected, expected := selector.Select(request)
//
// The package is designed for more than a hundred advice calls a second over some hundreds of
// workers, of which only a share is suitable for each step. Without coordination, concurrent steps
// would all select the workers with the most free resources, and most of them would find these
// resources taken when the answer arrives. The selector therefore subtracts the demand of calls
// without an answer (the pending demand) from the free processors of each worker. Each step gets
// only as many candidates as it needs, from a list that is sorted once per scheduling round.
package candidateselector

import (
	"cmp"
	"slices"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

const (
	// MaxCandidates is the maximum number of workers in one call.
	MaxCandidates = 100
	// taskOversampling is the ratio of expected places to tasks of a step that is not a gang.
	taskOversampling = 1.6
	// GangOversampling is the ratio of expected places to tasks of a gang. It is higher, because all places of a
	// gang must be free at the same time, and it helps to know which workers are suitable before their resources are
	// free.
	GangOversampling = 3
	// maxTasksSought limits the tasks per call for a step that is not a gang: its tasks can start
	// one by one as resources become free.
	maxTasksSought = 16
	// slowdownBucketWidth is the width of the buckets by slowdown. Workers in the same bucket are
	// ordered by free processors.
	slowdownBucketWidth = 0.4
)

// Selector holds the candidates of one scheduling round, ordered from the most to the least
// preferred.
type Selector struct {
	candidates []cellplacer.Candidate
	// order holds the indexes of the candidates, and positions what decides the place of each of them.
	order     []int
	positions []position
	pending   []modeler.Processors
}

// position is what decides the place of a candidate in the order.
type position struct {
	slowdownBucket int
	uncommitted    modeler.Processors
	index          int
}

// New returns a Selector over candidates. Pending holds for each of them the processors requested by
// calls that have no answer yet; Select updates it.
func New(candidates []cellplacer.Candidate, pending []modeler.Processors) *Selector {
	s := &Selector{candidates: candidates, pending: pending, positions: make([]position, len(candidates)), order: make([]int, len(candidates))}
	for i := range candidates {
		s.positions[i] = s.positionOf(i)
	}
	sorted := slices.Clone(s.positions)
	slices.SortFunc(sorted, comparePositions)
	for i := range sorted {
		s.order[i] = sorted[i].index
	}
	return s
}

func (s *Selector) positionOf(index int) position {
	candidate := &s.candidates[index]
	return position{slowdownBucket: slowdownBucket(candidate), uncommitted: candidate.Free.Processors - s.pending[index], index: index}
}

// comparePositions orders candidates by slowdown, then by uncommitted processors, then by index. It is
// negative if candidate a comes before candidate b.
func comparePositions(a, b position) int {
	switch {
	case a.slowdownBucket != b.slowdownBucket:
		return cmp.Compare(a.slowdownBucket, b.slowdownBucket)
	case a.uncommitted != b.uncommitted:
		return cmp.Compare(b.uncommitted, a.uncommitted)
	default:
		return cmp.Compare(a.index, b.index)
	}
}

// addPending adds to the pending demand of a candidate and moves the candidate to its new position.
func (s *Selector) addPending(index int, processors modeler.Processors) {
	s.pending[index] += processors
	if at, found := s.find(s.positions[index]); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
	s.positions[index] = s.positionOf(index)
	at, _ := s.find(s.positions[index])
	s.order = slices.Insert(s.order, at, index)
}

// find returns where in the order a position is or belongs.
func (s *Selector) find(p position) (at int, found bool) {
	return slices.BinarySearchFunc(s.order, p, func(index int, p position) int { return comparePositions(s.positions[index], p) })
}

func slowdownBucket(candidate *cellplacer.Candidate) int {
	return int((candidate.Slowdown - 1) / slowdownBucketWidth)
}

// Request describes the demand of a step.
type Request struct {
	Step *steptracker.Step
	// Tasks is the number of tasks to place.
	Tasks int
	// SuitableShare is the expected share of suitable workers among the selected ones.
	SuitableShare float64
	// KnownSuitable lists candidates that are known to be suitable. They are selected first.
	KnownSuitable []int
	// Excluded reports whether a candidate must not be selected; nil excludes none.
	Excluded func(index int) bool
	// MayBeBusy allows candidates without room, because the answer will still hold once they have some. They
	// are selected last.
	MayBeBusy bool
	// Known is for how many tasks suitable candidates are known already, apart from KnownSuitable.
	Known int
}

// Select returns the indexes of the candidates for a call and the expected number of tasks that can
// be placed on them. It adds the demand of the step to their pending demand.
func (s *Selector) Select(request Request) (selected []int, expected float64) {
	sel := selection{selector: s, request: &request, needs: request.Step.Reservation(), remaining: float64(request.Tasks)}
	if request.Step.Gang {
		sel.remaining *= GangOversampling
	} else {
		sel.remaining = min(sel.remaining, maxTasksSought) * taskOversampling
	}
	sel.remaining -= float64(request.Known)
	target := sel.remaining
	for _, index := range request.KnownSuitable {
		sel.add(index, 1, sel.free(index))
	}
	if request.Step.DataRack != "" {
		sel.addInOrder(request.Step.DataRack, sel.uncommitted)
	}
	sel.addInOrder("", sel.uncommitted)
	sel.addInOrder("", sel.free)
	sel.addInOrder("", sel.available)
	if request.MayBeBusy {
		sel.addInOrder("", sel.capacity)
	}
	for _, index := range sel.selected {
		s.addPending(index, sel.needs.Processors)
	}
	return sel.selected, target - sel.remaining
}

// selection is the state of one call of Select. Remaining is the number of places that it still
// needs.
type selection struct {
	selector  *Selector
	request   *Request
	needs     modeler.Resources
	remaining float64
	selected  []int
	// isSelected reports for each candidate whether it is in selected. It is nil until one is.
	isSelected []bool
}

// uncommitted, free, available and capacity return more and more of a candidate's resources.
func (s *selection) uncommitted(index int) modeler.Resources {
	free := s.selector.candidates[index].Free
	free.Processors -= s.selector.pending[index]
	return free
}

func (s *selection) free(index int) modeler.Resources { return s.selector.candidates[index].Free }

func (s *selection) available(index int) modeler.Resources {
	return s.selector.candidates[index].Available()
}

func (s *selection) capacity(index int) modeler.Resources {
	return s.selector.candidates[index].Capacity
}

// addInOrder adds candidates in order of preference until there are enough: those on which a task fits into the
// given resources. A rack other than "" restricts it to that rack.
func (s *selection) addInOrder(rack string, resources func(index int) modeler.Resources) {
	for _, index := range s.selector.order {
		if s.remaining <= 0 || len(s.selected) >= MaxCandidates {
			return
		}
		if rack != "" && s.selector.candidates[index].Rack != rack {
			continue
		}
		// In a full cell few candidates have room, so that comes before the exclusions.
		room := resources(index)
		if s.places(room) == 0 || s.isSelected != nil && s.isSelected[index] || s.request.Excluded != nil && s.request.Excluded(index) {
			continue
		}
		s.add(index, s.request.SuitableShare, room)
	}
}

// places returns how many tasks fit into resources.
func (s *selection) places(resources modeler.Resources) int {
	return cellplacer.MaxTasks(resources, s.needs, s.request.Step.MaxPerWorker)
}

// add adds a candidate if at least one task fits into its resources. Probability is that of the candidate being
// suitable.
func (s *selection) add(index int, probability float64, resources modeler.Resources) {
	count := s.places(resources)
	if count == 0 || s.remaining <= 0 {
		return
	}
	s.remaining -= float64(count) * probability
	s.selected = append(s.selected, index)
	if s.isSelected == nil {
		s.isSelected = make([]bool, len(s.selector.candidates))
	}
	s.isSelected[index] = true
}
