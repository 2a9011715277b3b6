// Package incarnationverifier decides whether an acknowledgement may be sent to a worker. It does no I/O and reads no
// clock.
//
// # Usage
//
//	var v incarnationverifier.Verifier
//	v.Listed(requestedAt, reply.Clock, now)
//	start := v.StartSent(now)
//	v.StartAnswered(start, reply.Clock, now)
//	if v.MayAcknowledge() {
//		// No incarnation but the listed one can have ended runs.
//	}
//
// An acknowledgement is the number of an end, and each incarnation of a worker counts anew. A worker that restarts
// under its ID obeys what is sent to the incarnation before, and only its lists name the incarnation. If it has carried
// out a start order by then, an acknowledgement by the former count discards the end of that run before any list has
// named it, and the run is taken for lost. So nothing is acknowledged while a start order may have been carried out by
// another incarnation than the listed one: until it is answered, and if the clock in its answer is behind that of the
// listed incarnation, or if it is not answered, until the worker has been listed again.
package incarnationverifier

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// maxClockDrift is the fraction by which a worker's clock may be slow (PROTOCOL, Running tasks).
	maxClockDrift = 0.02
	// clockResolution is the unit of a reading.
	clockResolution = time.Millisecond
)

// Verifier tracks the orders to one worker. The zero value is a worker that has not been listed.
type Verifier struct {
	// reading is the latest reading of the clock of the listed incarnation, which arrived at readAt.
	reading workerdriver.Clock
	readAt  time.Time
	// unanswered counts the start orders that await their answers.
	unanswered int
	// suspectedAt is when a start order was last found to have perhaps reached another incarnation, the zero time if
	// the worker has been listed since.
	suspectedAt time.Time
}

// Start is a start order.
type Start struct {
	// earliest is the lowest reading with which the listed incarnation can answer.
	earliest workerdriver.Clock
}

// StartSent records that a start order is sent.
func (v *Verifier) StartSent(now time.Time) Start {
	v.unanswered++
	if v.readAt.IsZero() {
		return Start{}
	}
	passed := time.Duration((1 - maxClockDrift) * float64(now.Sub(v.readAt)))
	return Start{earliest: v.reading + workerdriver.Clock(max(0, passed-clockResolution))}
}

// StartAnswered records the answer to a start order that was carried out. It reports false if another incarnation than
// the listed one seems to have done so.
func (v *Verifier) StartAnswered(start Start, clock workerdriver.Clock, now time.Time) bool {
	v.unanswered--
	if clock < start.earliest {
		v.suspectedAt = now
		return false
	}
	v.read(clock, now)
	return true
}

// StartRefused records that a start order was refused or has not been sent.
func (v *Verifier) StartRefused(Start) { v.unanswered-- }

// StartUnanswered records that a start order was not answered.
func (v *Verifier) StartUnanswered(_ Start, now time.Time) {
	v.unanswered--
	v.suspectedAt = now
}

// Listed records a list that names the known incarnation.
func (v *Verifier) Listed(requestedAt time.Time, clock workerdriver.Clock, now time.Time) {
	if requestedAt.After(v.suspectedAt) {
		v.suspectedAt = time.Time{}
	}
	v.read(clock, now)
}

func (v *Verifier) read(clock workerdriver.Clock, now time.Time) {
	if clock >= v.reading {
		v.reading, v.readAt = clock, now
	}
}

// AwaitsAnswer reports whether the answer to a start order is awaited.
func (v *Verifier) AwaitsAnswer() bool { return v.unanswered > 0 }

// MayAcknowledge reports whether no start order can have been carried out by another incarnation than the listed one.
func (v *Verifier) MayAcknowledge() bool { return v.unanswered == 0 && v.suspectedAt.IsZero() }
