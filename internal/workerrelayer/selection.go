package workerrelayer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Instance is an instance that could relay orders.
type Instance struct {
	Name             string
	AvailabilityZone string
}

const (
	// processorsPerWorker is the processor time, in thousandths of a processor, that a worker costs an
	// owner that sends all orders itself.
	processorsPerWorker = 1.5
	// maxDirectShare is the share of its processors that an owner may spend on orders.
	maxDirectShare = 0.4
	// workersPerRelay limits the workers whose orders one relay sends. It bounds what the failure of a
	// relay delays, and its load.
	workersPerRelay = 40
)

// Needed reports whether an owner with a number of processors needs relays for its workers. The load
// is up to four starts a second and worker, in bursts that last some seconds.
func Needed(workers int, processors modeler.Processors) bool {
	return float64(workers)*processorsPerWorker > maxDirectShare*float64(processors)
}

// Table holds the relays by availability zone.
type Table map[string][]string

// NewTable selects relays among the instances for the workers, which are given by availability zone.
// Relays are in the zone of their workers. A zone without instances has no relays.
func NewTable(instances []Instance, workers map[string]int) Table {
	table := make(Table)
	for _, instance := range instances {
		table[instance.AvailabilityZone] = append(table[instance.AvailabilityZone], instance.Name)
	}
	for zone, names := range table {
		// The order by hash differs from the order of names, in which machines are stopped in turn.
		slices.SortFunc(names, func(a, b string) int {
			if ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b); ha != hb {
				if ha < hb {
					return -1
				}
				return 1
			}
			return strings.Compare(a, b)
		})
		count := (workers[zone] + workersPerRelay - 1) / workersPerRelay
		table[zone] = names[:min(count, len(names))]
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
