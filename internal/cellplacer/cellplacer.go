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
func Place(candidates []Candidate, request Request) []int {
	if request.Step.SameRack {
		return placeOnOneRack(candidates, request)
	}
	return placeBestFit(candidates, request, "")
}

// packRack tries each rack alone, and all racks together only if no rack could ever hold the tasks:
// spread over racks they take longer.
func placeOnOneRack(candidates []Candidate, request Request) []int {
	possible := false
	for _, rack := range rackNames(candidates) {
		if places := placeBestFit(candidates, Request{Step: request.Step, Tasks: request.Tasks, AllOrNothing: true}, rack); len(places) > 0 {
			return places
		}
		possible = possible || rackCanHold(candidates, request, rack)
	}
	if possible {
		return nil
	}
	return placeBestFit(candidates, request, "")
}

func rackNames(candidates []Candidate) []string {
	var names []string
	for i := range candidates {
		if !slices.Contains(names, candidates[i].Rack) {
			names = append(names, candidates[i].Rack)
		}
	}
	return names
}

// holds tells whether a rack could take the tasks if nothing else ran there.
func rackCanHold(candidates []Candidate, request Request, rack string) bool {
	maxTasks := 0
	for i := range candidates {
		if candidates[i].Rack == rack {
			maxTasks += MaxTasks(candidates[i].Capacity, request.Step.Reservation(), request.Step.MaxPerWorker)
		}
	}
	return maxTasks >= request.Tasks
}

// MaxTasks is how many tasks fit into some room, at most most of them if that is not 0.
func MaxTasks(available, needs modeler.Resources, limit int) int {
	count := 1 << 20
	if needs.Processors > 0 {
		count = min(count, int(max(0, available.Processors)/needs.Processors))
	}
	if needs.Memory > 0 {
		count = min(count, int(available.Memory/needs.Memory))
	}
	if needs.Accelerators > 0 {
		count = min(count, int(max(0, available.Accelerators)/needs.Accelerators))
	}
	if limit > 0 {
		count = min(count, limit)
	}
	return count
}

func placeBestFit(candidates []Candidate, request Request, rack string) []int {
	needs := request.Step.Reservation()
	var places []int
	for len(places) < request.Tasks {
		best := -1
		for i := range candidates {
			if rack != "" && candidates[i].Rack != rack || !canTake(&candidates[i], request.Step, needs) {
				continue
			}
			if best < 0 || preferred(&candidates[i], &candidates[best], request.Step) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		candidates[best].Free = candidates[best].Free.Minus(needs)
		candidates[best].StepTasks++
		places = append(places, best)
	}
	if request.AllOrNothing && len(places) < request.Tasks {
		for _, place := range places {
			candidates[place].Free = candidates[place].Free.Plus(needs)
			candidates[place].StepTasks--
		}
		return nil
	}
	return places
}

func canTake(candidate *Candidate, step *steptracker.Step, needs modeler.Resources) bool {
	return needs.Fits(candidate.Free) && (step.MaxPerWorker == 0 || candidate.StepTasks < step.MaxPerWorker)
}

// slownessStep is by how much the pace of two workers must differ to matter more than how well a
// task fits.
const slowdownTolerance = 0.4

// better prefers the rack of the data, then sound workers, then the tightest fit.
func preferred(a, b *Candidate, step *steptracker.Step) bool {
	if step.DataRack != "" && (a.Rack == step.DataRack) != (b.Rack == step.DataRack) {
		return a.Rack == step.DataRack
	}
	if difference := a.Slowdown - b.Slowdown; difference > slowdownTolerance || difference < -slowdownTolerance {
		return difference < 0
	}
	return a.Free.Processors < b.Free.Processors
}
