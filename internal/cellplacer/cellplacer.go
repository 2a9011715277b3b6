// Package cellplacer decides which workers the tasks of one step go to. It is pure: no I/O, no clock, no
// state of its own.
//
// # Usage
//
//	places, fits := cellplacer.Place(sites, cellplacer.Request{Step: step, Tasks: 4, AllOrNothing: true})
//
// The load that it answers: many small urgent tasks beside a few wide gangs whose tasks each take a
// third of a worker. Small tasks go where the least room is left over, so that whole workers stay
// free for the gangs. A worker whose measured pace is slow is taken last.
package cellplacer

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// Candidate is a worker that may take tasks of the step.
type Candidate struct {
	Worker   string
	Rack     string
	Capacity modeler.Resources
	Free     modeler.Resources
	// Present is how many tasks of the step are there.
	StepTasks int
	// ReservedForGang keeps the worker's room for a gang that waits: only short work may use it.
	ReservedForGang bool
	// Slowness is how long work takes there against the usual, 1 for a sound worker.
	Slowdown float64
}

// Request is what has to be placed.
type Request struct {
	Step  *steptracker.Step
	Tasks int
	// AllOrNothing asks for all tasks or none.
	AllOrNothing bool
}

// Place returns the index of a candidate for each task, as many as fit. With AllOrNothing it returns all or
// none. It changes the free room of the sites that it gives out.
func Place(sites []Candidate, ask Request) []int {
	if ask.Step.SameRack {
		return packRack(sites, ask)
	}
	return pack(sites, ask, "")
}

// packRack tries each rack alone, and all racks together only if no rack could ever hold the tasks:
// spread over racks they take longer.
func packRack(sites []Candidate, ask Request) []int {
	possible := false
	for _, rack := range racks(sites) {
		if places := pack(sites, Request{Step: ask.Step, Tasks: ask.Tasks, AllOrNothing: true}, rack); len(places) > 0 {
			return places
		}
		possible = possible || holds(sites, ask, rack)
	}
	if possible {
		return nil
	}
	return pack(sites, ask, "")
}

func racks(sites []Candidate) []string {
	var names []string
	for i := range sites {
		if !slices.Contains(names, sites[i].Rack) {
			names = append(names, sites[i].Rack)
		}
	}
	return names
}

// holds tells whether a rack could take the tasks if nothing else ran there.
func holds(sites []Candidate, ask Request, rack string) bool {
	room := 0
	for i := range sites {
		if sites[i].Rack == rack {
			room += MaxTasks(sites[i].Capacity, ask.Step.Reservation(), ask.Step.MaxPerWorker)
		}
	}
	return room >= ask.Tasks
}

// MaxTasks is how many tasks fit into some room, at most most of them if that is not 0.
func MaxTasks(room, needs modeler.Resources, most int) int {
	count := 1 << 20
	if needs.Processors > 0 {
		count = min(count, int(max(0, room.Processors)/needs.Processors))
	}
	if needs.Memory > 0 {
		count = min(count, int(room.Memory/needs.Memory))
	}
	if needs.Accelerators > 0 {
		count = min(count, int(max(0, room.Accelerators)/needs.Accelerators))
	}
	if most > 0 {
		count = min(count, most)
	}
	return count
}

func pack(sites []Candidate, ask Request, rack string) []int {
	needs := ask.Step.Reservation()
	var places []int
	for len(places) < ask.Tasks {
		best := -1
		for i := range sites {
			if rack != "" && sites[i].Rack != rack || !takes(&sites[i], ask.Step, needs) {
				continue
			}
			if best < 0 || better(&sites[i], &sites[best], ask.Step) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		sites[best].Free = sites[best].Free.Minus(needs)
		sites[best].StepTasks++
		places = append(places, best)
	}
	if ask.AllOrNothing && len(places) < ask.Tasks {
		for _, place := range places {
			sites[place].Free = sites[place].Free.Plus(needs)
			sites[place].StepTasks--
		}
		return nil
	}
	return places
}

func takes(site *Candidate, step *steptracker.Step, needs modeler.Resources) bool {
	return needs.Fits(site.Free) && (step.MaxPerWorker == 0 || site.StepTasks < step.MaxPerWorker)
}

// slownessStep is by how much the pace of two workers must differ to matter more than how well a
// task fits.
const slownessStep = 0.4

// better prefers the rack of the data, then sound workers, then the tightest fit.
func better(a, b *Candidate, step *steptracker.Step) bool {
	if step.DataRack != "" && (a.Rack == step.DataRack) != (b.Rack == step.DataRack) {
		return a.Rack == step.DataRack
	}
	if difference := a.Slowdown - b.Slowdown; difference > slownessStep || difference < -slownessStep {
		return difference < 0
	}
	return a.Free.Processors < b.Free.Processors
}
