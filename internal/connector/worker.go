package connector

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Refusal is a worker's reason for not doing what it was told. A refused start never ran.
type Refusal string

// The reasons of a worker.
const (
	RefusedStaleEpoch   Refusal = "epoch"
	RefusedLeaseExpired Refusal = "lease-over"
	RefusedCapacity     Refusal = "capacity"
	RefusedLeaving      Refusal = "leaving"
	RefusedStopped      Refusal = "stopped"
	RefusedWrongBoot    Refusal = "boot"
)

// StartRequest starts an attempt once, however often it arrives. The worker ends the task when
// LeaseEnd passes unrenewed. With Wait the reply is held back until the task ends or Wait is over.
// A worker that restarted since Boot refuses: it can't know whether it ran the attempt before.
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

// StartReply says whether the attempt was taken, and how it ended if it did within the wait.
type StartReply struct {
	Accepted bool       `json:"accepted"`
	Refusal  Refusal    `json:"refusal,omitempty"`
	Ended    *TaskEnded `json:"ended,omitempty"`
}

// EndKind is the way in which a task ended on a worker.
type EndKind string

// The ways in which a task ends. Lapsed means that its lease was not renewed.
const (
	EndedFinished     EndKind = "finished"
	EndedStopped      EndKind = "stopped"
	EndedLeaseExpired EndKind = "lapsed"
)

// TaskEnded is a worker's record of a task that ended. Sequence counts the records of a boot.
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

// SyncRequest is the heartbeat to a worker: it renews the leases of all tasks of a partition,
// confirms the records up to Confirmed, and waits up to Wait for records after it.
type SyncRequest struct {
	Partition string           `json:"partition"`
	Epoch     modeler.Epoch    `json:"epoch"`
	LeaseEnd  time.Time        `json:"lease-end"`
	Confirmed int64            `json:"confirmed"`
	Known     int64            `json:"known"`
	Wait      modeler.Duration `json:"wait"`
}

// SyncReply holds the records after Known. Boot changes when the worker lost its memory.
type SyncReply struct {
	Refusal Refusal     `json:"refusal,omitempty"`
	Boot    string      `json:"boot"`
	Leaving bool        `json:"leaving,omitempty"`
	Ended   []TaskEnded `json:"ended,omitempty"`
}

// FenceRequest makes a worker refuse every lower epoch of the partition from now on.
type FenceRequest struct {
	Partition string        `json:"partition"`
	Epoch     modeler.Epoch `json:"epoch"`
}

// RunningTask is a task that a worker runs.
type RunningTask struct {
	Attempt   modeler.Attempt   `json:"attempt"`
	Class     modeler.Class     `json:"class"`
	Needs     modeler.Resources `json:"needs"`
	StartedAt time.Time         `json:"started-at"`
	LeaseEnd  time.Time         `json:"lease-end"`
}

// FenceReply lists what the worker runs, every unconfirmed record, and confirmed ones that it
// still remembers. Last is the sequence of the latest record.
type FenceReply struct {
	Refusal Refusal       `json:"refusal,omitempty"`
	Boot    string        `json:"boot"`
	Last    int64         `json:"last"`
	Running []RunningTask `json:"running,omitempty"`
	Ended   []TaskEnded   `json:"ended,omitempty"`
}

// StopRequest ends an attempt. A worker that does not know the attempt remembers to refuse it, if
// it still is in the boot.
type StopRequest struct {
	Epoch   modeler.Epoch   `json:"epoch"`
	Boot    string          `json:"boot"`
	Attempt modeler.Attempt `json:"attempt"`
}

// StopReply says what became of the attempt: Ended is set if it ever ran, and NeverRan if it did
// not and never will.
type StopReply struct {
	Refusal  Refusal    `json:"refusal,omitempty"`
	NeverRan bool       `json:"never-ran,omitempty"`
	Ended    *TaskEnded `json:"ended,omitempty"`
}

// Start starts an attempt.
func (p *Client) Start(ctx context.Context, worker modeler.Worker, ask StartRequest) (StartReply, error) {
	var reply StartReply
	err := p.call(ctx, http.MethodPost, workerPath(worker, "start"), ask, &reply)
	return reply, err
}

// Sync renews leases and collects records.
func (p *Client) Sync(ctx context.Context, worker modeler.Worker, ask SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := p.call(ctx, http.MethodPost, workerPath(worker, "sync"), ask, &reply)
	return reply, err
}

// Fence raises a worker's epoch.
func (p *Client) Fence(ctx context.Context, worker modeler.Worker, ask FenceRequest) (FenceReply, error) {
	var reply FenceReply
	err := p.call(ctx, http.MethodPost, workerPath(worker, "fence"), ask, &reply)
	return reply, err
}

// Stop ends an attempt.
func (p *Client) Stop(ctx context.Context, worker modeler.Worker, ask StopRequest) (StopReply, error) {
	var reply StopReply
	err := p.call(ctx, http.MethodPost, workerPath(worker, "stop"), ask, &reply)
	return reply, err
}

func workerPath(worker modeler.Worker, verb string) string {
	return "http://" + worker.Address.String() + "/workers/" + worker.Name + "/" + verb
}
