// Package workerdriver holds the orders that the owner of a cell gives to workers, and what workers
// answer. It has types only: the platform's client carries them, the scheduler decides them.
//
// # Usage
//
//	type Workers interface {
//		Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error)
//	}
//
// Every order carries a fence. A worker does nothing for a fence below the highest that it has seen.
package workerdriver

import (
	"fmt"
	"net/netip"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// Worker is one life of a worker, as it describes itself in the platform's list.
type Worker struct {
	steptracker.Incarnation
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Rack             string
	Labels           []string
	Capacity         modeler.Resources
	Draining         bool
	// Remaining is the least time that a draining worker has left.
	Remaining time.Duration
}

// HasLabel tells whether the worker has a label; the empty one is on every worker.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, has := range w.Labels {
		if has == label {
			return true
		}
	}
	return false
}

// Clock is a reading of a worker's own steady clock. It means nothing to another life.
type Clock time.Duration

// ReplyHeader is what a worker says of itself in every answer. A worker may start again under its id, and
// its new life obeys orders that were meant for the one before: Born tells them apart.
type ReplyHeader struct {
	Clock Clock
	Born  int64
}

// Start orders a run.
type Start struct {
	Task       steptracker.TaskKey
	Run        int
	Payload    string
	Checkpoint string
	PlacementToken     string
	// LeaseExpiry is until when everything on the worker may go on, on its clock. The order itself is
	// refused after it.
	LeaseExpiry Clock
	FencingToken     int64
}

// Stop orders the end of a run. A run that has not arrived yet is refused for good.
type Stop struct {
	Task  steptracker.TaskKey
	Run   int
	FencingToken int64
}

// Sync extends the lease, acknowledges ends and asks for the lists.
type Sync struct {
	// LeaseExpiry is 0 if the lease is not to be extended.
	LeaseExpiry Clock
	FencingToken     int64
	// AckedSequence is the number of the last end that has been written down.
	AckedSequence int64
	// MaxWait is how long the worker may wait for an end before it answers.
	MaxWait time.Duration
}

// Throttle orders how much a run may work, in per cent.
type Throttle struct {
	Task    steptracker.TaskKey
	Run     int
	Percent int
	FencingToken   int64
}

// RunningTask is a run in a worker's list.
type RunningTask struct {
	Task       steptracker.TaskKey
	Run        int
	Checkpoint string
	// ProgressPercent is how much of it is done, or how far a lasting task is at work, 0 to 100.
	ProgressPercent int
	// Metric is the tail of the response times of a serving task in milliseconds, or the processors
	// in use in thousandths of any other task.
	Metric int
}

// EndedTask is an end in a worker's list.
type EndedTask struct {
	Sequence     int64
	Task       steptracker.TaskKey
	Run        int
	Reason        steptracker.EndReason
	Checkpoint string
}

// SyncReply is a worker's answer to a hold.
type SyncReply struct {
	ReplyHeader
	Running []RunningTask
	Ended   []EndedTask
}

// Reason tells why a worker refused an order.
type Reason string

// The reasons.
const (
	StaleFence           Reason = "low-fence"
	StaleRun             Reason = "old-run"
	OrderExpired                 Reason = "late"
	InsufficientCapacity Reason = "no-room"
	NoPlacementToken     Reason = "no-ticket"
	WrongIncarnation     Reason = "other-life"
	Unhealthy            Reason = "unhealthy"
	Malformed            Reason = "malformed"
)

// RefusedError tells that the worker did not do what the order says, and will not.
type RefusedError struct {
	Worker string
	Reason Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused: %s", e.Worker, e.Reason)
}

// InDoubtError tells that an order has no answer. Unless NeverSent is set it may have been carried
// out, or may be later.
type InDoubtError struct {
	Worker    string
	NeverSent bool
	Err       error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// PlacementToken lets the tasks of one step start on one life of a worker.
type PlacementToken struct {
	Worker string
	Text   string
}

// Advice is the answer of the placement advisor: the workers, of those named, that may run a step.
type Advice struct {
	Tickets []PlacementToken
	Valid   time.Duration
}

// BusyError tells that the advisor has too many calls waiting.
type BusyError struct{}

func (*BusyError) Error() string { return "the placement advisor has too many calls waiting" }
