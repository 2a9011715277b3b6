// Package cellplacer chooses the workers for the tasks of one step. It does no I/O, reads no clock
// and keeps no state.
//
// # Usage
//
//	places := cellplacer.Place(candidates, cellplacer.Request{Step: step, Tasks: 4, AllOrNothing: true})
//
// The package is designed for a workload of many small urgent tasks and a few wide gangs, each task
// of which takes a third of a worker. Tasks are placed by best fit, so that small tasks leave whole
// workers free for the gangs. Workers that run tasks slowly, and those with tasks that the new ones would
// disturb or be disturbed by, are used last.
package cellplacer

import (
	"slices"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// Candidate is a worker that is eligible for tasks of the step.
type Candidate struct {
	Worker   string
	Rack     string
	Capacity modeler.Resources
	Free     modeler.Resources
	// StepTasks is the number of tasks of the step on the worker.
	StepTasks int
	// SoftReserved are resources that are free as well but reserved for steps of lower rank. They are used only where
	// nothing else is left.
	SoftReserved modeler.Resources
	// Slowdown is the ratio of run times on this worker to the usual run times: 1 for a healthy
	// worker, more for a slow one or one on which tasks fail.
	Slowdown float64
	// Interference is by how much the task and the tasks on the worker slow each other down, as fractions
	// of their durations; 0 if they are not known to.
	Interference float64
}

// Request defines the tasks to place.
type Request struct {
	Step  *steptracker.Step
	Tasks int
	// AllOrNothing requires that either all tasks are placed or none.
	AllOrNothing bool
	// Isolated asks for as few workers as possible on which as little as possible runs, because the
	// tasks may crash them.
	Isolated bool
	// Interference is by how much two tasks of the step slow each other down on one worker.
	Interference float64
}

// Place places as many of the tasks as fit and returns the index of the candidate for each of them.
// With AllOrNothing it places all tasks or none. It updates Free, SoftReserved and StepTasks of the chosen
// candidates.
func Place(candidates []Candidate, request Request) []int {
	if request.AllOrNothing && !hasRoom(candidates, request) {
		return nil
	}
	if request.Step.SameRack {
		return placeOnOneRack(candidates, request)
	}
	return placeBestFit(candidates, request, "")
}

// hasRoom reports whether all tasks fit. It takes far less time than to place them in vain.
func hasRoom(candidates []Candidate, request Request) bool {
	room := 0
	for i := range candidates {
		room += MaxTasks(candidates[i].Available(), request.Step.Reservation(), request.Step.MaxPerWorker)
		if room >= request.Tasks {
			return true
		}
	}
	return false
}

// Available returns the free resources, those that are soft-reserved included.
func (c *Candidate) Available() modeler.Resources { return c.Free.Plus(c.SoftReserved) }

// Take subtracts the resources of a task, those that are soft-reserved last.
func (c *Candidate) Take(needs modeler.Resources) {
	if needs.Fits(c.Free) {
		c.Free = c.Free.Minus(needs)
		return
	}
	c.Free, c.SoftReserved = modeler.Resources{}, c.Available().Minus(needs)
}

// placeOnOneRack tries to place all tasks on a single rack. It spreads them over racks, where they
// take longer, only if no rack could hold them even when empty.
func placeOnOneRack(candidates []Candidate, request Request) []int {
	possible := false
	for _, rack := range rackNames(candidates) {
		whole := request
		whole.AllOrNothing = true
		if places := placeBestFit(candidates, whole, rack); len(places) > 0 {
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

// rackCanHold reports whether an empty rack could hold the tasks.
func rackCanHold(candidates []Candidate, request Request, rack string) bool {
	maxTasks := 0
	for i := range candidates {
		if candidates[i].Rack == rack {
			maxTasks += MaxTasks(candidates[i].Capacity, request.Step.Reservation(), request.Step.MaxPerWorker)
		}
	}
	return maxTasks >= request.Tasks
}

// MaxTasks returns how many tasks fit into the available resources. A limit of 0 means no limit.
func MaxTasks(available, needs modeler.Resources, limit int) int {
	// Most workers of a full cell have no room, and comparing takes less time than dividing.
	if needs.Processors > 0 && available.Processors < needs.Processors {
		return 0
	}
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

// placeBestFit places tasks one by one on the preferred candidate. A rack other than "" restricts
// it to the candidates of that rack.
func placeBestFit(candidates []Candidate, request Request, rack string) []int {
	needs := request.Step.Reservation()
	var places []int
	var before []Candidate
	for len(places) < request.Tasks {
		best := -1
		for i := range candidates {
			if rack != "" && candidates[i].Rack != rack || !canTake(&candidates[i], request.Step, needs) {
				continue
			}
			if best < 0 || preferred(&candidates[i], &candidates[best], request) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		places = append(places, best)
		if request.AllOrNothing {
			before = append(before, candidates[best])
		}
		candidates[best].Take(needs)
		candidates[best].StepTasks++
		candidates[best].Interference += request.Interference
	}
	if request.AllOrNothing && len(places) < request.Tasks {
		for i, place := range slices.Backward(places) {
			candidates[place] = before[i]
		}
		return nil
	}
	return places
}

func canTake(candidate *Candidate, step *steptracker.Step, needs modeler.Resources) bool {
	return (needs.Fits(candidate.Free) || needs.Fits(candidate.Available())) && (step.MaxPerWorker == 0 || candidate.StepTasks < step.MaxPerWorker)
}

// slowdownTolerance is the difference in slowdown up to which two workers are compared by fit
// instead.
const slowdownTolerance = 0.4

// preferred reports whether a is a better choice than b: workers with room that is not soft-reserved come first, then those
// on the rack of the data, then workers with a lower slowdown, interference included, then those with less interference, then
// those with the fewest free processors (best fit).
// Isolated tasks prefer workers that have tasks of the step, then those with the most free processors.
func preferred(a, b *Candidate, request Request) bool {
	if request.Isolated {
		if (a.StepTasks > 0) != (b.StepTasks > 0) {
			return a.StepTasks > 0
		}
		return a.Free.Processors > b.Free.Processors
	}
	step := request.Step
	if a.SoftReserved.Processors > 0 || b.SoftReserved.Processors > 0 {
		needs := step.Reservation()
		if fits := needs.Fits(a.Free); fits != needs.Fits(b.Free) {
			return fits
		}
	}
	if step.DataRack != "" && (a.Rack == step.DataRack) != (b.Rack == step.DataRack) {
		return a.Rack == step.DataRack
	}
	if difference := a.Slowdown + a.Interference - b.Slowdown - b.Interference; difference > slowdownTolerance || difference < -slowdownTolerance {
		return difference < 0
	}
	if a.Interference != b.Interference {
		return a.Interference < b.Interference
	}
	return a.Free.Processors < b.Free.Processors
}
