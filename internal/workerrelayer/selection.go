package workerrelayer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Instance is an instance that could relay orders.
type Instance struct {
	Name             string
	AvailabilityZone string
	Processors       modeler.Processors
}

const (
	// processorsPerWorker is the processor time, in thousandths of a processor, that a worker costs an
	// owner that sends all orders itself.
	processorsPerWorker = 1.5
	// maxDirectShare is the share of its processors that an owner may spend on orders.
	maxDirectShare = 0.4
	// workersPerRelay limits the workers whose orders one relay sends. It bounds what the failure of a
	// relay delays, and its load. The fewer relays there are, the more orders travel together.
	workersPerRelay = 100
)

// Needed reports whether an owner with a number of processors needs relays for its workers. The load
// is up to four starts a second and worker, in bursts that last some seconds.
func Needed(workers int, processors modeler.Processors) bool {
	return float64(workers)*processorsPerWorker > maxDirectShare*float64(processors)
}

// Table holds the relays by availability zone.
type Table map[string][]string

// NewTable selects relays among the instances for the workers, which are given by availability zone.
// Relays are in the zone of their workers, and on its largest machines. A zone without instances has no
// relays.
func NewTable(instances []Instance, workers map[string]int) Table {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b Instance) int {
		// The order by hash differs from the order of names, in which machines are stopped in turn.
		return cmp.Or(
			cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	table := make(Table)
	for _, instance := range ordered {
		zone := instance.AvailabilityZone
		if len(table[zone])*workersPerRelay < workers[zone] {
			table[zone] = append(table[zone], instance.Name)
		}
	}
	return table
}

// Relay returns the relay for a worker in a zone, or "" if the zone has none. When the relays change,
// only the workers of removed and added relays get another one (rendezvous hashing).
func (t Table) Relay(zone, worker string) string {
	best, bestHash := "", uint64(0)
	for _, name := range t[zone] {
		if hash := xxhash.Sum64String(name + "/" + worker); best == "" || hash > bestHash {
			best, bestHash = name, hash
		}
	}
	return best
}
