// Package inflightlimiter limits how many transactions an owner has in flight, and detects a
// stalled store, so that callers can be refused. It does no I/O and reads no clock: the time is
// passed in.
//
// # Usage
//
//	limiter := inflightlimiter.New(4)
//	if slot, free := limiter.FreeSlot(now); free {
//		limiter.Acquire(slot, now)
//		…
//		limiter.Release(slot, now)
//	}
//	if limiter.Stalled(now) { … }
//
// It is designed for 200 rows a second and a store that usually takes 15 ms for a transaction,
// sometimes 0.4 s or more for several seconds, and occasionally does not answer at all. One
// transaction at a time carries the usual load at the least cost; a slow store needs several. When
// the store stops answering, the transactions in flight are in doubt, so that their callers can't
// be told to retry; only one should be in flight when an outage begins.
package inflightlimiter

import "time"

const (
	// slowThreshold is the average duration from which several transactions may be in flight at
	// once: three times the duration at a healthy store.
	slowThreshold = 60 * time.Millisecond
	// averageDivisor is the inverse of the weight of the latest transaction in the moving average.
	averageDivisor = 3
	// minStallTimeout is the shortest time in flight after which the store counts as stalled: a
	// quarter of the shortest latency objective that the scheduler is designed for. A store that is
	// slow but answers is allowed stallTimeoutFactor times the average duration.
	minStallTimeout    = 400 * time.Millisecond
	stallTimeoutFactor = 3
	// maxStallTimeout bounds the stall timeout, because an outage raises the average duration too.
	// Callers that are refused after half of their deadline still have time to retry.
	maxStallTimeout = 1200 * time.Millisecond
)

// Limiter tracks the transactions in flight in a fixed number of slots.
type Limiter struct {
	// sentAt is when the transaction in each slot was sent, or the zero time if the slot is free.
	sentAt []time.Time
	// averageDuration is the exponential moving average of transaction durations.
	averageDuration time.Duration
	// restoredAt is when an outage of the store last ended.
	restoredAt time.Time
}

// New returns a limiter with count free slots.
func New(count int) *Limiter { return &Limiter{sentAt: make([]time.Time, count)} }

// Idle reports whether no transaction is in flight.
func (l *Limiter) Idle() bool {
	for _, sentAt := range l.sentAt {
		if !sentAt.IsZero() {
			return false
		}
	}
	return true
}

// Slow reports whether the average duration of transactions is at or above the slow threshold.
func (l *Limiter) Slow() bool { return l.averageDuration >= slowThreshold }

// AverageDuration returns the moving average of the duration of transactions.
func (l *Limiter) AverageDuration() time.Duration { return l.averageDuration }

// FreeSlot returns the slot for the next transaction, if one may be sent now: when no transaction is
// in flight or, while the store is slow, when the latest was sent long enough ago that the
// transactions are spaced evenly over the average duration.
func (l *Limiter) FreeSlot(now time.Time) (slot int, free bool) {
	slot = -1
	inFlight, latest := 0, time.Time{}
	for i, sentAt := range l.sentAt {
		switch {
		case !sentAt.IsZero():
			inFlight++
			if sentAt.After(latest) {
				latest = sentAt
			}
		case slot < 0:
			slot = i
		}
	}
	minSpacing := l.averageDuration / time.Duration(len(l.sentAt))
	if slot < 0 || inFlight > 0 && (!l.Slow() || now.Sub(latest) < minSpacing) {
		return 0, false
	}
	return slot, true
}

// Acquire records that a transaction was sent in a slot.
func (l *Limiter) Acquire(slot int, now time.Time) { l.sentAt[slot] = now }

// Restored records that an outage of the store has ended. The time before it says nothing about how
// long the store takes now.
func (l *Limiter) Restored(now time.Time) { l.restoredAt = now }

// inFlightSince returns since when the store has had the opportunity to answer the transaction in a
// slot.
func (l *Limiter) inFlightSince(slot int) time.Time {
	if l.restoredAt.After(l.sentAt[slot]) {
		return l.restoredAt
	}
	return l.sentAt[slot]
}

// Release frees a slot whose transaction has a known outcome, and updates the average duration.
func (l *Limiter) Release(slot int, now time.Time) {
	l.averageDuration += (now.Sub(l.inFlightSince(slot)) - l.averageDuration) / averageDivisor
	l.sentAt[slot] = time.Time{}
}

// Stalled reports whether a transaction has been in flight for longer than the stall timeout, so that
// nothing new can be accepted.
func (l *Limiter) Stalled(now time.Time) bool {
	timeout := min(max(minStallTimeout, stallTimeoutFactor*l.averageDuration), maxStallTimeout)
	for slot, sentAt := range l.sentAt {
		if !sentAt.IsZero() && now.Sub(l.inFlightSince(slot)) >= timeout {
			return true
		}
	}
	return false
}
