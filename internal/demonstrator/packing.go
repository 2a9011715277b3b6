package demonstrator

import (
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// packing walks the events and finds the moment when most was reserved.
func packing(events []simulator.Event) Packing {
	used := make(map[string]modeler.Resources)
	capacity := make(map[string]modeler.Resources)
	var total, peak modeler.Resources
	var best Packing
	for _, event := range events {
		capacity[event.Worker] = event.Capacity
		if event.Started {
			used[event.Worker] = used[event.Worker].Plus(event.Needs)
			total = total.Plus(event.Needs)
		} else {
			used[event.Worker] = used[event.Worker].Minus(event.Needs)
			total = total.Minus(event.Needs)
		}
		if total.Processors > peak.Processors {
			peak = total
			best = packingNow(used, capacity)
		}
	}
	return best
}

func packingNow(used, capacity map[string]modeler.Resources) Packing {
	var reserved, whole modeler.Resources
	count := 0
	for worker, resources := range used {
		if resources == (modeler.Resources{}) {
			continue
		}
		reserved = reserved.Plus(resources)
		whole = whole.Plus(capacity[worker])
		count++
	}
	return Packing{PeakDominantShare: reserved.DominantShare(whole), WorkersUsedAtPeak: count}
}
