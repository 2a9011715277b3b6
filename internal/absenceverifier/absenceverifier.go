// Package absenceverifier decides what it proves that a worker's list does not name a run. It does no I/O and
// reads no clock.
//
// # Usage
//
//	listing := absenceverifier.Listing{RequestedAt: sentAt, AllEnds: reply.AllEnds}
//	if reason, proven := listing.Verify(run); proven {
//		// The run is over and has ended with the reason.
//	}
//
// A list names what runs and what has ended. It names all that runs, but only the first ends that are not
// acknowledged. While there may be more, a run that is not named may have ended in any way, so its absence
// proves nothing. The list becomes complete as its ends are written and acknowledged.
package absenceverifier

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// State is what is known about the start of a run.
type State int

// The states of a run.
const (
	// Unsettled: the start order has not been sent, or its answer is awaited.
	Unsettled State = iota
	// Started: the worker has confirmed the start.
	Started
	// InDoubt: the start order was not answered.
	InDoubt
	// Unconfirmed: the run was assigned by an earlier owner or before the worker restarted.
	Unconfirmed
)

// Run is an assigned run that a list does not name.
type Run struct {
	State State
	// StartedAt is when the start was confirmed, StopConfirmedAt when a stop was, after which the run cannot
	// start any more.
	StartedAt, StopConfirmedAt time.Time
	// OnEarlierIncarnation is set if the run was assigned to an incarnation of the worker that has ended.
	OnEarlierIncarnation bool
}

// Listing is a worker's list.
type Listing struct {
	// RequestedAt is when the list was requested. What was confirmed before is contained in it.
	RequestedAt time.Time
	// AllEnds is set if the list names all ends that are not acknowledged.
	AllEnds bool
}

// Verify returns how a run that the list does not name has ended. It reports false if nothing is proven.
func (l Listing) Verify(run Run) (reason steptracker.EndReason, proven bool) {
	if !l.AllEnds {
		return "", false
	}
	switch run.State {
	case Started:
		return steptracker.WorkerLost, run.StartedAt.Before(l.RequestedAt)
	case InDoubt:
		return steptracker.NeverStarted, !run.StopConfirmedAt.IsZero() && run.StopConfirmedAt.Before(l.RequestedAt)
	case Unconfirmed:
		// The worker has seen the fencing token, so no start order of an earlier owner can take effect.
		if run.OnEarlierIncarnation {
			return steptracker.WorkerLost, true
		}
		return steptracker.NeverStarted, true
	case Unsettled:
	}
	return "", false
}
