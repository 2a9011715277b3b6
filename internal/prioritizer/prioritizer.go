// Package prioritizer orders the work that waits for room. It is pure.
//
// # Usage
//
//	rank := prioritizer.RankOf(ask, now)
//	if rank.Compare(other) < 0 { … }
//
// The load that it answers: offered work comes near to the room of all workers, and bursts of one
// kind pass it for some seconds. What can still meet its objective goes first, by priority and then
// by how soon the objective ends; then what is late but still of use; then the rest, which still
// ends.
package prioritizer

import (
	"cmp"
	"time"
)

// Request is what is known of a step that waits.
type WaitingStep struct {
	AcceptedAt time.Time
	Priority   int
	// Stretch and Target give the objective: Stretch times the chain, and Target more.
	Stretch float64
	Target  time.Duration
	// Chain is how long the job's longest chain of steps takes, Left what remains of it.
	CriticalPath, Remaining time.Duration
	LongRunning             bool
}

// Use is how much a job is still worth to its caller.
type Tier int

// The uses, the best first. What lasts has users of its own from moment to moment.
const (
	TierLongRunning Tier = iota
	TierOnTime
	TierLate
	TierExpired
)

// lateFactor times the objective is when a late job is of no use any more.
const expiryFactor = 3

// Rank orders steps.
type Rank struct {
	Tier     Tier
	Priority int
	// Ends is when the objective ends, or the time of use once that has passed.
	Deadline time.Time
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
	if now.Add(step.Remaining).After(deadline) {
		rank.Tier = TierLate
		rank.Deadline = step.AcceptedAt.Add(expiryFactor * objective)
		if now.Add(step.Remaining).After(rank.Deadline) {
			rank.Tier = TierExpired
		}
	}
	return rank
}

// Compare is negative if r goes first.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tier, other.Tier), cmp.Compare(r.Priority, other.Priority), r.Deadline.Compare(other.Deadline))
}
