package demonstrator

import (
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// peakPacking replays the events and returns the packing at the time when the most processors were
// reserved.
func peakPacking(events []simulator.Event) Packing {
	used := make(map[string]modeler.Resources)
	capacity := make(map[string]modeler.Resources)
	var reserved, peak modeler.Resources
	var best Packing
	for _, event := range events {
		capacity[event.Worker] = event.Capacity
		if event.Started {
			used[event.Worker] = used[event.Worker].Plus(event.Needs)
			reserved = reserved.Plus(event.Needs)
		} else {
			used[event.Worker] = used[event.Worker].Minus(event.Needs)
			reserved = reserved.Minus(event.Needs)
		}
		if reserved.Processors > peak.Processors {
			peak = reserved
			best = currentPacking(used, capacity)
		}
	}
	return best
}

func currentPacking(used, capacity map[string]modeler.Resources) Packing {
	var reserved, total modeler.Resources
	count := 0
	for worker, resources := range used {
		if resources == (modeler.Resources{}) {
			continue
		}
		reserved = reserved.Plus(resources)
		total = total.Plus(capacity[worker])
		count++
	}
	return Packing{PeakDominantShare: reserved.DominantShare(total), WorkersUsedAtPeak: count}
}
