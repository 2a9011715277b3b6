package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Refusal is a worker's reason for refusing a request. An attempt whose start was refused did not
// run.
type Refusal string

// The reasons for which a worker refuses a request.
const (
	// RefusedStaleEpoch means that the worker has seen a higher epoch of the partition.
	RefusedStaleEpoch Refusal = "epoch"
	// RefusedLeaseExpired means that the lease in the request had already expired.
	RefusedLeaseExpired Refusal = "lease-over"
	// RefusedCapacity means that the task exceeds the free capacity of the worker, or that no
	// slot is free for a task of class Quick.
	RefusedCapacity Refusal = "capacity"
	// RefusedLeaving means that the worker is about to shut down.
	RefusedLeaving Refusal = "leaving"
	// RefusedStopped means that the attempt was stopped before it was started.
	RefusedStopped Refusal = "stopped"
	// RefusedWrongBoot means that the worker has restarted since the boot in the request.
	RefusedWrongBoot Refusal = "boot"
)

// StartRequest starts an attempt; duplicates of the request have no further effect. The worker ends
// the task if its lease is not renewed before LeaseEnd. If Wait is set, the worker replies when the
// task ends or after Wait. Boot identifies the boot of the worker: a worker that has restarted since
// then refuses the request, because it cannot know whether it ran the attempt before.
type StartRequest struct {
	Attempt    modeler.Attempt   `json:"attempt"`
	Boot       string            `json:"boot"`
	Class      modeler.Class     `json:"class"`
	Needs      modeler.Resources `json:"needs"`
	LeaseEnd   time.Time         `json:"lease-end"`
	Repeatable bool              `json:"repeatable"`
	Wait       modeler.Duration  `json:"wait,omitempty"`
	Payload    json.RawMessage   `json:"payload,omitempty"`
}

// StartReply tells whether the attempt was accepted. Ended is set if the task ended within Wait.
type StartReply struct {
	Accepted bool       `json:"accepted"`
	Refusal  Refusal    `json:"refusal,omitempty"`
	Ended    *TaskEnded `json:"ended,omitempty"`
}

// EndKind is the way in which a task ended on a worker.
type EndKind string

// The ways in which a task ends. EndedLeaseExpired means that its lease was not renewed in time.
const (
	EndedFinished     EndKind = "finished"
	EndedStopped      EndKind = "stopped"
	EndedLeaseExpired EndKind = "lapsed"
)

// TaskEnded is a worker's record of a task that ended. Sequence numbers the records of one boot of
// the worker.
type TaskEnded struct {
	Boot     string            `json:"boot"`
	Sequence int64             `json:"sequence"`
	Class    modeler.Class     `json:"class"`
	Attempt  modeler.Attempt   `json:"attempt"`
	Kind     EndKind           `json:"kind"`
	Needs    modeler.Resources `json:"needs"`
	Result   *modeler.Result   `json:"result,omitempty"`
	At       time.Time         `json:"at"`
}

// SyncRequest is the heartbeat from a partition owner to a worker. It renews the leases of all tasks
// of the partition and acknowledges the records up to Confirmed, which the worker may then discard.
// The worker replies as soon as it has a record after Known, or after Wait.
type SyncRequest struct {
	Partition string           `json:"partition"`
	Epoch     modeler.Epoch    `json:"epoch"`
	LeaseEnd  time.Time        `json:"lease-end"`
	Confirmed int64            `json:"confirmed"`
	Known     int64            `json:"known"`
	Wait      modeler.Duration `json:"wait"`
}

// SyncReply holds the records after Known. Boot differs from the previous reply if the worker
// restarted and lost its state.
type SyncReply struct {
	Refusal Refusal     `json:"refusal,omitempty"`
	Boot    string      `json:"boot"`
	Leaving bool        `json:"leaving,omitempty"`
	Ended   []TaskEnded `json:"ended,omitempty"`
}

// FenceRequest makes a worker refuse all requests with a lower epoch of the partition from then on.
type FenceRequest struct {
	Partition string        `json:"partition"`
	Epoch     modeler.Epoch `json:"epoch"`
}

// RunningTask is a task that is running on a worker.
type RunningTask struct {
	Attempt   modeler.Attempt   `json:"attempt"`
	Class     modeler.Class     `json:"class"`
	Needs     modeler.Resources `json:"needs"`
	StartedAt time.Time         `json:"started-at"`
	LeaseEnd  time.Time         `json:"lease-end"`
}

// FenceReply lists the tasks that the worker runs and its records of ended tasks: all that are
// unconfirmed, and the confirmed ones that it still has. Last is the sequence of the latest record.
type FenceReply struct {
	Refusal Refusal       `json:"refusal,omitempty"`
	Boot    string        `json:"boot"`
	Last    int64         `json:"last"`
	Running []RunningTask `json:"running,omitempty"`
	Ended   []TaskEnded   `json:"ended,omitempty"`
}

// StopRequest ends an attempt. If Boot is the worker's current boot and the worker does not know the
// attempt, it refuses a later start of the attempt.
type StopRequest struct {
	Epoch   modeler.Epoch   `json:"epoch"`
	Boot    string          `json:"boot"`
	Attempt modeler.Attempt `json:"attempt"`
}

// StopReply reports the outcome of the attempt: Ended is set if it ran, and NeverRan if it did not run
// and never will.
type StopReply struct {
	Refusal  Refusal    `json:"refusal,omitempty"`
	NeverRan bool       `json:"never-ran,omitempty"`
	Ended    *TaskEnded `json:"ended,omitempty"`
}

// Start sends a StartRequest to a worker.
func (c *Client) Start(ctx context.Context, worker modeler.Worker, request StartRequest) (StartReply, error) {
	var reply StartReply
	err := c.call(ctx, http.MethodPost, workerURL(worker, "start"), request, &reply)
	return reply, err
}

// Sync sends a SyncRequest to a worker.
func (c *Client) Sync(ctx context.Context, worker modeler.Worker, request SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := c.call(ctx, http.MethodPost, workerURL(worker, "sync"), request, &reply)
	return reply, err
}

// Fence sends a FenceRequest to a worker.
func (c *Client) Fence(ctx context.Context, worker modeler.Worker, request FenceRequest) (FenceReply, error) {
	var reply FenceReply
	err := c.call(ctx, http.MethodPost, workerURL(worker, "fence"), request, &reply)
	return reply, err
}

// Stop sends a StopRequest to a worker.
func (c *Client) Stop(ctx context.Context, worker modeler.Worker, request StopRequest) (StopReply, error) {
	var reply StopReply
	err := c.call(ctx, http.MethodPost, workerURL(worker, "stop"), request, &reply)
	return reply, err
}

func workerURL(worker modeler.Worker, verb string) string {
	return "http://" + worker.Address.String() + "/workers/" + worker.Name + "/" + verb
}
