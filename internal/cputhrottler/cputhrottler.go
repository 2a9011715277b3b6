// Package cputhrottler decides what share of a worker's idle processor time best-effort tasks may use
// alongside serving tasks. It does no I/O and reads no clock: the time is passed in.
//
// # Usage
//
//	throttler := cputhrottler.New()
//	percent := throttler.Update(cputhrottler.TargetRatio(tail, target), now)
//
// The interference of best-effort tasks with serving tasks differs by image and changes within
// seconds, and the tail latency of a serving task may exceed its target for a few seconds at most.
// The share therefore falls by at least half with every update that shows a tail latency near its
// target, and grows in small steps once the tail latency has been well below the target for some
// time. The gap between the two thresholds is a hysteresis that prevents oscillation.
package cputhrottler

import "time"

const (
	// shrinkThreshold is the ratio of tail latency to target from which the share shrinks,
	// growThreshold the ratio up to which it may grow.
	shrinkThreshold, growThreshold = 0.85, 0.6
	// stopThreshold is the ratio from which best-effort tasks are stopped at once.
	stopThreshold = 1.0
	// growDelay is the minimum time after the last reduction, and between two increases, of the
	// share.
	growDelay = 1500 * time.Millisecond
	// growStep is the amount by which the share grows at a time, in percentage points.
	growStep = 10
	// minShare is the share, in percent, below which best-effort tasks are stopped.
	minShare  = 10
	fullShare = 100
)

// Throttler holds the share of the best-effort tasks on one worker.
type Throttler struct {
	percent int
	// lastShrink is when the tail latency was last at or above the shrink threshold.
	lastShrink time.Time
	lastGrowth time.Time
}

// New returns a throttler with a share of 100 percent.
func New() *Throttler { return &Throttler{percent: fullShare} }

// Percent returns the share that best-effort tasks may use, 0 to 100.
func (t *Throttler) Percent() int { return t.percent }

// TargetRatio returns the ratio of a tail latency to its target, or 0 without a target.
func TargetRatio(tail, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(tail) / float64(target)
}

// Update adjusts the share to the highest target ratio of the worker's serving tasks, and returns it.
func (t *Throttler) Update(worstRatio float64, now time.Time) int {
	switch {
	case worstRatio >= stopThreshold:
		t.percent, t.lastShrink = 0, now
	case worstRatio >= shrinkThreshold:
		t.percent, t.lastShrink = t.percent/2, now
		if t.percent < minShare {
			t.percent = 0
		}
	case worstRatio <= growThreshold && now.Sub(t.lastShrink) >= growDelay && now.Sub(t.lastGrowth) >= growDelay:
		t.percent, t.lastGrowth = min(fullShare, t.percent+growStep), now
	}
	return t.percent
}
