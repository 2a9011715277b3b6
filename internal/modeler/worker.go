package modeler

import (
	"net/netip"
	"strconv"
)

// Worker is a machine that runs tasks, as listed by the platform. Leaving is set once the worker is
// about to shut down and takes no new tasks.
type Worker struct {
	Name             string         `json:"name"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability-zone"`
	Rack             string         `json:"rack"`
	Capacity         Resources      `json:"capacity"`
	Slots            int            `json:"slots"`
	Address          netip.AddrPort `json:"address"`
	Leaving          bool           `json:"leaving,omitempty"`
}

// maxSlots limits the slots of a worker: a task takes at least a thousandth of a processor.
const maxSlots = int(MaxWorkerProcessors)

// Valid reports whether w describes a worker that can be used. The platform's list may contain entries by other
// writers.
func (w *Worker) Valid() bool {
	return w.Name != "" && w.Address.IsValid() && w.Address.Port() != 0 && !w.Address.Addr().IsUnspecified() && !w.Address.Addr().IsMulticast() &&
		w.Capacity.FitOneWorker() && w.Slots >= 0 && w.Slots <= maxSlots
}

// Instance is one running process of the scheduler, as listed by the platform. Mesh is the address
// of its listener for mesh connections (gnet), and Peer that of its Peer service (Connect RPC).
type Instance struct {
	Name             string         `json:"name"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability-zone"`
	Mesh             netip.AddrPort `json:"mesh"`
	Peer             netip.AddrPort `json:"peer"`
	Leaving          bool           `json:"leaving,omitempty"`
}

// Epoch numbers the successive owners of a partition. It never decreases, so workers can reject
// requests from a former owner.
type Epoch int64

// Attempt identifies one attempt to run one task of the job with the given key. A worker that
// receives the same attempt twice starts it once.
type Attempt struct {
	Partition string `json:"partition"`
	Epoch     Epoch  `json:"epoch"`
	Key       string `json:"key"`
	Task      int    `json:"task"`
	Number    int    `json:"number"`
}

// ID returns the identifier of the attempt on a worker. The pair of epoch and number is unique
// within one task of a key, across all owners of the partition.
func (a Attempt) ID() string {
	return a.Key + "/" + strconv.Itoa(a.Task) + "/" + strconv.FormatInt(int64(a.Epoch), 10) + "." + strconv.Itoa(a.Number)
}
