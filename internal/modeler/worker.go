package modeler

import (
	"net/netip"
	"strconv"
)

// Worker is a machine that runs tasks, as the platform's instance list and its racks describe it.
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

// Instance is an entry instance as the platform's instance list shows it. Mesh is the address of
// its gnet listener, Peer that of its connect listener.
type Instance struct {
	Name             string         `json:"name"`
	Region           string         `json:"region"`
	AvailabilityZone string         `json:"availability-zone"`
	Mesh             netip.AddrPort `json:"mesh"`
	Peer             netip.AddrPort `json:"peer"`
	Leaving          bool           `json:"leaving,omitempty"`
}

// Epoch counts the owners of a partition. It only grows.
type Epoch int64

// Attempt names one try to run one task of one key. The same attempt sent twice starts once.
type Attempt struct {
	Partition string `json:"partition"`
	Epoch     Epoch  `json:"epoch"`
	Key       string `json:"key"`
	Task      int    `json:"task"`
	Number    int    `json:"number"`
}

// ID is the attempt's name on a worker. Epoch and number together never repeat within the task of
// a key, whichever owner gave them.
func (a Attempt) ID() string {
	return a.Key + "/" + strconv.Itoa(a.Task) + "/" + strconv.FormatInt(int64(a.Epoch), 10) + "." + strconv.Itoa(a.Number)
}
