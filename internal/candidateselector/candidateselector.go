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
	spareFactor = 1.6
	gangFactor  = 3
	// mostSought bounds the tasks of a step that is no gang: they can start one by one as room comes
	// free.
	mostSought = 16
	// slownessStep is by how much the pace of two workers must differ to matter more than their room.
	slownessStep = 0.4
)

// Selector is the workers that may be named during one round, the best first.
type Selector struct {
	sites []cellplacer.Candidate
	order []int
	asked []modeler.Processors
}

// New returns the list of some sites, asked being what steps have asked for that have no answer yet.
func New(sites []cellplacer.Candidate, asked []modeler.Processors) *Selector {
	l := &Selector{sites: sites, order: make([]int, len(sites)), asked: asked}
	for i := range l.order {
		l.order[i] = i
	}
	slices.SortFunc(l.order, l.compare)
	return l
}

// compare is negative if a site should be named before another one.
func (s *Selector) compare(a, b int) int {
	return cmp.Or(
		cmp.Compare(bucket(&s.sites[a]), bucket(&s.sites[b])),
		cmp.Compare(s.room(b), s.room(a)),
		cmp.Compare(s.sites[a].Worker, s.sites[b].Worker),
	)
}

// ask counts what is asked of a site against its room, and moves it to its place in the order.
func (s *Selector) ask(site int, processors modeler.Processors) {
	if at := slices.Index(s.order, site); at >= 0 {
		s.order = slices.Delete(s.order, at, at+1)
	}
	s.asked[site] += processors
	at, _ := slices.BinarySearchFunc(s.order, site, s.compare)
	s.order = slices.Insert(s.order, at, site)
}

func bucket(site *cellplacer.Candidate) int { return int((site.Slowdown - 1) / slownessStep) }

// room is what is left of a site when all that was asked for there has started.
func (s *Selector) room(site int) modeler.Processors {
	return s.sites[site].Free.Processors - s.asked[site]
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
func (s *Selector) Select(ask Request) (named []int, places float64) {
	n := nomination{list: s, ask: &ask, needs: ask.Step.Reservation(), wanted: float64(ask.Tasks)}
	if ask.Step.Gang {
		n.wanted *= gangFactor
	} else {
		n.wanted = min(n.wanted, mostSought) * spareFactor
	}
	sought := n.wanted
	for _, site := range ask.KnownSuitable {
		n.take(site, 1, 0)
	}
	if ask.Step.DataRack != "" {
		n.walk(ask.Step.DataRack, true)
	}
	n.walk("", true)
	n.walk("", false)
	for _, site := range n.named {
		s.ask(site, n.needs.Processors)
	}
	return n.named, sought - n.wanted
}

type nomination struct {
	list   *Selector
	ask    *Request
	needs  modeler.Resources
	wanted float64
	named  []int
}

// walk names sites in order, of one rack if that is given, and with asked set only those that have
// room beside what was asked for.
func (n *nomination) walk(rack string, asked bool) {
	for _, site := range n.list.order {
		if n.wanted <= 0 || len(n.named) >= MaxCandidates {
			return
		}
		if rack != "" && n.list.sites[site].Rack != rack || slices.Contains(n.named, site) || n.ask.Excluded != nil && n.ask.Excluded(site) {
			continue
		}
		if asked {
			n.take(site, n.ask.SuitableShare, n.list.asked[site])
		} else {
			n.take(site, n.ask.SuitableShare, 0)
		}
	}
}

// take names a site if it has room, which is good with a probability.
func (n *nomination) take(site int, good float64, asked modeler.Processors) {
	free := n.list.sites[site].Free
	free.Processors -= asked
	count := cellplacer.MaxTasks(free, n.needs, n.ask.Step.MaxPerWorker)
	if count == 0 || n.wanted <= 0 {
		return
	}
	n.wanted -= float64(count) * good
	n.named = append(n.named, site)
}
