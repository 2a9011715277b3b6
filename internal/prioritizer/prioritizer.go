// Package prioritizer orders the steps that wait for resources. It does no I/O and reads no clock.
//
// # Usage
//
//	rank := prioritizer.RankOf(step, now)
//	if rank.Compare(other) < 0 { … }
//
// The package is designed for a load close to the capacity of all workers, with bursts of one kind
// of work that exceed the capacity for some seconds. Steps that can still meet their objective come
// first, by priority and then by deadline. Next come steps that are late but whose results are
// still useful, and then all others, which are still run to their end.
// Work beyond the share of its team that has to make way comes after all work within shares whose results
// are still useful.
package prioritizer

import (
	"cmp"
	"time"
)

// WaitingStep describes a step that waits for resources.
type WaitingStep struct {
	AcceptedAt time.Time
	// Priority is the priority of the queue; lower values come first.
	Priority int
	// Stretch and Target define the objective for the time from acceptance to the end of the job,
	// which is Stretch times CriticalPath plus Target.
	Stretch float64
	Target  time.Duration
	// CriticalPath is the duration of the job's longest chain of dependent steps, RemainingTime the
	// part of it that is left.
	CriticalPath, RemainingTime time.Duration
	// Overhead is the time that passes besides the run until a caller sees the result of a step that is
	// chosen now: for advice, writes and orders.
	Overhead    time.Duration
	LongRunning bool
}

// Tier classifies steps by how useful their results still are to the caller.
type Tier int

// The tiers, the most urgent first. Long-running tasks come first because they serve users all the
// time.
const (
	TierLongRunning Tier = iota
	TierOnTime
	TierLate
	TierExpired
)

// expiryFactor times the objective is the time after which the results of a job are no longer
// useful.
const expiryFactor = 3

// Rank is the position of a step in the order of waiting steps.
type Rank struct {
	Tier     Tier
	Priority int
	// BeyondShare is set by the caller for work beyond the share of its team that has to make way for
	// work within shares.
	BeyondShare bool
	// Deadline is the time by which the job must end to meet its objective. For steps that are late
	// or expired it is the time at which the results stop being useful.
	Deadline time.Time
	// Slack is how long the step can wait and still meet Deadline; it is negative if it can't, and 0 for
	// long-running tasks.
	Slack time.Duration
}

// RankOf returns the rank of a step.
func RankOf(step WaitingStep, now time.Time) Rank {
	objective := time.Duration(step.Stretch*float64(step.CriticalPath)) + step.Target
	deadline := step.AcceptedAt.Add(objective)
	rank := Rank{Tier: TierOnTime, Priority: step.Priority, Deadline: deadline}
	if step.LongRunning {
		rank.Tier = TierLongRunning
		return rank
	}
	// Without the overhead, the steps that come first during a burst would be those that are just
	// about to be late, and all of them would end late.
	earliestEnd := now.Add(step.RemainingTime + step.Overhead)
	if earliestEnd.After(deadline) {
		rank.Tier = TierLate
		rank.Deadline = step.AcceptedAt.Add(expiryFactor * objective)
		if earliestEnd.After(rank.Deadline) {
			rank.Tier = TierExpired
		}
	}
	rank.Slack = rank.Deadline.Sub(earliestEnd)
	return rank
}

// yields reports whether work comes after all work within the shares that is not expired.
func (r Rank) yields() bool {
	return r.Tier == TierExpired || r.BeyondShare && r.Tier != TierLongRunning
}

// Compare returns a negative number if r comes before other.
func (r Rank) Compare(other Rank) int {
	if r.yields() != other.yields() {
		if other.yields() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.Tier, other.Tier), compareFlags(r.BeyondShare, other.BeyondShare), cmp.Compare(r.Priority, other.Priority), r.Deadline.Compare(other.Deadline))
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
