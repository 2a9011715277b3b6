// Package slownessdetector tells whether this machine has become slow, by timing a small fixed piece of work.
//
// # Usage
//
//	detector := slownessdetector.New(clock)
//	detector.Measure()
//	if detector.Slow() { … }
//
// The load that it answers: a machine that turns several times slower for some seconds. An owner there
// falls behind by more with every second, although it is heard and the store answers it.
package slownessdetector

import (
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// dataBytes is hashed in each beat: some tens of microseconds on a sound machine.
	dataBytes = 32 << 10
	// windowSize is how many beats count. The shortest of them is taken: a beat that was interrupted says
	// nothing about the machine.
	windowSize = 6
	// slowFactor is how many times longer than the shortest beat ever the work takes on a machine
	// that counts as slow. Measured times of a sound one vary by less than half of it.
	slowFactor = 3
)

// Detector measures one machine. It is safe for concurrent use.
type Detector struct {
	clock clockwork.Clock
	data  []byte

	mu       sync.Mutex
	shortest time.Duration
	recent   []time.Duration
	next     int
}

// New returns a detector without a measurement.
func New(clock clockwork.Clock) *Detector {
	return &Detector{clock: clock, data: make([]byte, dataBytes)}
}

// Measure does the work once and notes how long it took.
func (d *Detector) Measure() {
	began := d.clock.Now()
	sum := sha256.Sum256(d.data)
	took := d.clock.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	// The result goes into the next beat, so that the work can't be left out.
	copy(d.data, sum[:])
	d.record(took)
}

func (d *Detector) record(took time.Duration) {
	if d.shortest == 0 || took < d.shortest {
		d.shortest = took
	}
	if len(d.recent) < windowSize {
		d.recent = append(d.recent, took)
		return
	}
	d.recent[d.next] = took
	d.next = (d.next + 1) % windowSize
}

// Slow tells whether the last beats all took several times as long as the shortest one ever.
func (d *Detector) Slow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.recent) == windowSize && slices.Min(d.recent) > slowFactor*d.shortest
}
