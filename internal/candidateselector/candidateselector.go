// Package candidateselector chooses which workers to name to the placement advisor. It is pure: no I/O, no
// clock.
//
// # Usage
//
//	selector := candidateselector.New(sites, asked)
//	named, places := selector.Select(candidateselector.Request{Step: step, Tasks: 4, Share: 0.7})
//
// The load that it answers: more than a hundred steps a second ask about some hundreds of workers, of
// which only a share is good for each step. Steps that ask at the same time would all name the workers
// with the most room, and most of them would find it taken when their tickets come. So what has been
// asked for counts against a worker's room until the answer is there, and a step is given as many
// names as it needs, from a list that is sorted once a round.
package candidateselector

import (
	"cmp"
	"slices"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

const (
	// MostNamed is how many workers one call may name.
	MaxCandidates = 100
	// spareFactor is how many more places are sought than the tasks need, gangFactor how many more than a
	// gang needs: its room must be there all at once, and which workers are good is worth knowing before
	// that.
	taskOversampling = 1.6
	gangOversampling = 3
	// mostSought bounds the tasks of a step that is no gang: they can start one by one as room comes
	// free.
	maxTasksSought = 16
	// slownessStep is by how much the pace of two workers must differ to matter more than their room.
	slowdownBucketWidth = 0.4
)

// Selector is the workers that may be named during one round, the best first.
type Selector struct {
	candidates []cellplacer.Candidate
	order      []int
	pending    []modeler.Processors
}

// New returns the list of some sites, asked being what steps have asked for that have no answer yet.
func New(candidates []cellplacer.Candidate, pending []modeler.Processors) *Selector {
	s := &Selector{candidates: candidates, order: make([]int, len(candidates)), pending: pending}
	for i := range s.order {
		s.order[i] = i
	}
	slices.SortFunc(s.order, s.compare)
	return s
}

// compare is negative if a site should be named before another one.
func (s *Selector) compare(a, b int) int {
	return cmp.Or(
		cmp.Compare(slowdownBucket(&s.candidates[a]), slowdownBucket(&s.candidates[b])),
		cmp.Compare(s.uncommitted(b), s.uncommitted(a)),
		cmp.Compare(s.candidates[a].Worker, s.candidates[b].Worker),
	)
}

// ask counts what is asked of a site against its room, and moves it to its place in the order.
func (s *Selector) addPending(index int, processors modeler.Processors) {
	if position := slices.Index(s.order, index); position >= 0 {
		s.order = slices.Delete(s.order, position, position+1)
	}
	s.pending[index] += processors
	position, _ := slices.BinarySearchFunc(s.order, index, s.compare)
	s.order = slices.Insert(s.order, position, index)
}

func slowdownBucket(candidate *cellplacer.Candidate) int {
	return int((candidate.Slowdown - 1) / slowdownBucketWidth)
}

// room is what is left of a site when all that was asked for there has started.
func (s *Selector) uncommitted(index int) modeler.Processors {
	return s.candidates[index].Free.Processors - s.pending[index]
}

// Request is what a step needs.
type Request struct {
	Step *steptracker.Step
	// Tasks is how many have no place.
	Tasks int
	// Share is the share of named workers that will be good.
	SuitableShare float64
	// Good are sites known to be good: they are named first.
	KnownSuitable []int
	// Skip tells of a site that it may not be named.
	Excluded func(site int) bool
}

// Select returns the sites to name, and how many tasks may be expected to find a place there. What they
// are asked for counts from now on.
func (s *Selector) Select(request Request) (selected []int, expected float64) {
	selection := selection{selector: s, request: &request, needs: request.Step.Reservation(), remaining: float64(request.Tasks)}
	if request.Step.Gang {
		selection.remaining *= gangOversampling
	} else {
		selection.remaining = min(selection.remaining, maxTasksSought) * taskOversampling
	}
	target := selection.remaining
	for _, index := range request.KnownSuitable {
		selection.add(index, 1, 0)
	}
	if request.Step.DataRack != "" {
		selection.addInOrder(request.Step.DataRack, true)
	}
	selection.addInOrder("", true)
	selection.addInOrder("", false)
	for _, index := range selection.selected {
		s.addPending(index, selection.needs.Processors)
	}
	return selection.selected, target - selection.remaining
}

type selection struct {
	selector  *Selector
	request   *Request
	needs     modeler.Resources
	remaining float64
	selected  []int
}

// walk names sites in order, of one rack if that is given, and with asked set only those that have
// room beside what was asked for.
func (s *selection) addInOrder(rack string, subtractPending bool) {
	for _, index := range s.selector.order {
		if s.remaining <= 0 || len(s.selected) >= MaxCandidates {
			return
		}
		if rack != "" && s.selector.candidates[index].Rack != rack || slices.Contains(s.selected, index) || s.request.Excluded != nil && s.request.Excluded(index) {
			continue
		}
		if subtractPending {
			s.add(index, s.request.SuitableShare, s.selector.pending[index])
		} else {
			s.add(index, s.request.SuitableShare, 0)
		}
	}
}

// take names a site if it has room, which is good with a probability.
func (s *selection) add(index int, probability float64, pending modeler.Processors) {
	free := s.selector.candidates[index].Free
	free.Processors -= pending
	count := cellplacer.MaxTasks(free, s.needs, s.request.Step.MaxPerWorker)
	if count == 0 || s.remaining <= 0 {
		return
	}
	s.remaining -= float64(count) * probability
	s.selected = append(s.selected, index)
}
