// Package slownessdetector detects that the local machine has become slow by timing a small, fixed
// computation.
//
// # Usage
//
//	detector := slownessdetector.New(clock)
//	detector.Measure()
//	if detector.Slow() { … }
//
// A machine may become several times slower for some seconds. An instance that owns a cell and runs on
// such a machine falls further and further behind, although its heartbeats arrive and its calls to the
// store succeed.
package slownessdetector

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// dataBytes is the size of the input of one measurement. Hashing it takes some tens of microseconds
	// on a healthy machine.
	dataBytes = 32 << 10
	// windowSize is the number of recent measurements. Only the shortest of them is considered, because a
	// measurement that was interrupted says nothing about the speed of the machine.
	windowSize = 6
	// slowFactor is the ratio of a duration to the shortest one so far above which the machine counts as
	// slow. Durations on a healthy machine vary by less than half of this factor.
	slowFactor = 3
)

// Detector measures the speed of the local machine. It is safe for concurrent use.
type Detector struct {
	clock clockwork.Clock
	data  []byte

	mu       sync.Mutex
	shortest time.Duration
	recent   []time.Duration
	next     int
}

// New returns a Detector without measurements.
func New(clock clockwork.Clock) *Detector {
	return &Detector{clock: clock, data: make([]byte, dataBytes)}
}

// Measure runs the computation once and records its duration.
func (d *Detector) Measure() {
	start := d.clock.Now()
	sum := sha256.Sum256(d.data)
	duration := d.clock.Since(start)
	d.mu.Lock()
	defer d.mu.Unlock()
	// The result is part of the next input, so that the compiler cannot eliminate the computation.
	copy(d.data, sum[:])
	d.record(duration)
}

func (d *Detector) record(duration time.Duration) {
	if d.shortest == 0 || duration < d.shortest {
		d.shortest = duration
	}
	if len(d.recent) < windowSize {
		d.recent = append(d.recent, duration)
		return
	}
	d.recent[d.next] = duration
	d.next = (d.next + 1) % windowSize
}

// Slow reports whether all recent measurements were several times longer than the shortest one so far.
func (d *Detector) Slow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.recent) == windowSize && slices.Min(d.recent) > slowFactor*d.shortest
}
