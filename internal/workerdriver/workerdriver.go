// Package workerdriver defines the orders that the owner of a cell sends to workers, and the workers'
// replies. It has types only: the scheduler creates the orders and the platform's client sends them.
//
// # Usage
//
//	type Workers interface {
//		Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (
//			workerdriver.ReplyHeader, error)
//	}
//
// Every order carries a fencing token. A worker refuses orders whose token is lower than the
// highest that it has seen.
package workerdriver

import (
	"fmt"
	"net/netip"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// Worker is one incarnation of a worker, as described in the platform's list of workers.
type Worker struct {
	steptracker.Incarnation
	Service          string
	Address          netip.AddrPort
	AvailabilityZone string
	Rack             string
	Labels           []string
	Capacity         modeler.Resources
	Draining         bool
	// Remaining is the minimum time until a draining worker stops.
	Remaining time.Duration
}

// HasLabel reports whether the worker has a label. Every worker has the empty label.
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

// Clock is a reading of a worker's own monotonic clock. It is meaningless to other incarnations.
type Clock time.Duration

// ReplyHeader is the part of every reply in which a worker identifies its incarnation. A worker may
// restart with the same ID, and its new incarnation carries out orders that were meant for the
// previous one; the start time distinguishes the two.
type ReplyHeader struct {
	Clock Clock
	// StartMillis is the start time of the worker in Unix milliseconds, 0 if unknown.
	StartMillis int64
	// Unanswered is set if the order was repeated, so that another copy of it may reach the worker later. It is
	// set by the sender, not by the worker.
	Unanswered bool `json:",omitempty"`
	// Copies is the number of copies of a start order that were sent, 0 if unknown. Relay is the instance that
	// relayed it, empty if it was sent directly. Both are set by senders, also if the order failed.
	Copies int    `json:",omitempty"`
	Relay  string `json:"-"`
}

// Start orders a worker to start a run, which is one attempt to execute a task.
type Start struct {
	Task           steptracker.TaskKey
	Run            int
	Payload        string
	Checkpoint     string
	PlacementToken string
	// LeaseExpiry is when the lease on everything that runs on the worker expires, by the worker's
	// clock. The worker refuses the order itself after that time.
	LeaseExpiry  Clock
	FencingToken int64
}

// Stop orders a worker to stop a run. If the Start order of the run arrives later, the worker
// refuses it.
type Stop struct {
	Task         steptracker.TaskKey
	Run          int
	FencingToken int64
}

// Sync extends the lease, acknowledges ended runs and requests the lists of running and ended runs.
type Sync struct {
	// LeaseExpiry is the new expiry, or 0 if the lease is not extended.
	LeaseExpiry  Clock
	FencingToken int64
	// AckedSequence is the sequence number of the last ended run that has been stored.
	AckedSequence int64
	// MaxWait is how long the worker may wait for a run to end before it replies.
	MaxWait time.Duration
}

// Throttle sets the share of processor time that a run may use, in percent.
type Throttle struct {
	Task         steptracker.TaskKey
	Run          int
	Percent      int
	FencingToken int64
}

// RunningTask is an entry of a worker's list of running tasks.
type RunningTask struct {
	Task       steptracker.TaskKey
	Run        int
	Checkpoint string
	// ProgressPercent is how much of the task is done or, for a task without an end, its level of
	// activity, 0 to 100.
	ProgressPercent int
	// Metric is the tail latency of a serving task in milliseconds, or the processor usage of any
	// other task in thousandths of a processor.
	Metric int
}

// EndedTask is an entry of a worker's list of ended runs.
type EndedTask struct {
	Sequence   int64
	Task       steptracker.TaskKey
	Run        int
	Reason     steptracker.EndReason
	Checkpoint string
}

// SyncReply is a worker's reply to a Sync order.
type SyncReply struct {
	ReplyHeader
	Running []RunningTask
	Ended   []EndedTask
	// AllEnds is set if Ended holds all ends that are not acknowledged. A worker lists a limited number.
	AllEnds bool
}

// Reason is why a worker refused an order.
type Reason string

// The reasons for which a worker refuses an order.
const (
	StaleFencingToken    Reason = "low-fence"
	StaleRun             Reason = "old-run"
	OrderExpired         Reason = "late"
	InsufficientCapacity Reason = "no-room"
	NoPlacementToken     Reason = "no-ticket"
	WrongIncarnation     Reason = "other-life"
	Unhealthy            Reason = "unhealthy"
	Malformed            Reason = "malformed"
)

// RefusedError reports that the worker has not carried out the order and never will.
type RefusedError struct {
	Worker string
	Reason Reason
	// Status is the HTTP status of the reply, 0 if unknown.
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused: %s", e.Worker, e.Reason)
}

// InDoubtError reports that an order got no reply. Unless NeverSent is set, the worker may have
// carried it out or may still do so.
type InDoubtError struct {
	Worker    string
	NeverSent bool
	Err       error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// FailedError reports that a worker has answered with a status that neither confirms nor refuses an order.
type FailedError struct {
	// Status is the HTTP status of the reply.
	Status int
}

func (e *FailedError) Error() string { return fmt.Sprintf("answered with status %d", e.Status) }

// PlacementToken permits the tasks of one step to start on one incarnation of a worker.
type PlacementToken struct {
	Worker string
	Text   string
}

// Advice is the reply of the placement advisor: tokens for those of the named workers that may run
// a step, and how long they are valid.
type Advice struct {
	// Tickets holds the tokens. Instances exchange Advice as JSON under the names of its fields.
	Tickets []PlacementToken
	Valid   time.Duration
}

// BusyError reports that the placement advisor has too many calls waiting.
type BusyError struct{}

func (*BusyError) Error() string { return "the placement advisor has too many calls waiting" }
