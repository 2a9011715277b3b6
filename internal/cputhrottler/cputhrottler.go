// Package cputhrottler decides how much of a worker's idle processor time the tasks that fill it may use
// beside tasks that serve. It is pure.
//
// # Usage
//
//	throttler := cputhrottler.New()
//	percent := throttler.Update(cputhrottler.Worst(tail, target), now)
//
// The load that it answers: filling work disturbs serving tasks by amounts that differ by image and
// change within seconds, and a serving task may be over its target for a few seconds at most. The
// share falls by half or more with every look that shows a tail near its target, and grows in small
// steps once the tail has been well below for a while. The gap between the two bounds keeps it from
// swinging.
package cputhrottler

import "time"

const (
	// tight is the part of its target from which a tail is too near to it, relaxed the part up to
	// which filling work may have more.
	tight, relaxed = 0.85, 0.6
	// over is the part of the target from which filling work stops at once.
	over = 1.0
	// calm is how long a tail must have been relaxed before the share grows.
	calm = 1500 * time.Millisecond
	// stepUp is by how much the share grows at a time, in per cent.
	stepUp = 10
	// smallest is the share below which filling work stops.
	smallest = 10
	full     = 100
)

// Throttler is the share of one worker.
type Throttler struct {
	percent int
	// tightAt is when a tail was last too near to its target.
	tightAt time.Time
	grownAt time.Time
}

// New returns a full share.
func New() *Throttler { return &Throttler{percent: full} }

// Percent is the share that filling work may use, 0 to 100.
func (t *Throttler) Percent() int { return t.percent }

// TargetRatio is a tail as part of its target.
func TargetRatio(tail, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(tail) / float64(target)
}

// Update takes in the worst ratio of a worker's serving tasks and returns the new share.
func (t *Throttler) Update(worst float64, now time.Time) int {
	switch {
	case worst >= over:
		t.percent, t.tightAt = 0, now
	case worst >= tight:
		t.percent, t.tightAt = t.percent/2, now
		if t.percent < smallest {
			t.percent = 0
		}
	case worst <= relaxed && now.Sub(t.tightAt) >= calm && now.Sub(t.grownAt) >= calm:
		t.percent, t.grownAt = min(full, t.percent+stepUp), now
	}
	return t.percent
}
