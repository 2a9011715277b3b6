// Package writeforecaster forecasts when a row that is queued now will be written, and recommends when
// callers that are turned away should return. It does no I/O and reads no clock: the time is passed in.
//
// # Usage
//
//	f := writeforecaster.New(slots, maxRows)
//	f.Sent(slot, now)
//	…
//	f.Done(slot, now)
//	if f.Slow(now) && now.Add(f.WrittenIn(now, rowsAhead)).After(deadline) {
//		refuse(f.ReturnAfter(now, rowsAhead, patience, random))
//	}
//
// It is designed for a store that handles the transactions of an owner one after the other, in 10 to 20 ms
// each as a rule and in 0.4 to 0.7 s for several seconds at a time, while a hundred to two hundred and fifty
// jobs a second arrive whose callers wait three seconds and return four times at most. The store can write
// a hundred rows in a transaction, so that a slow store writes fewer rows than are queued: those that can't be
// written in time are known as soon as they arrive.
package writeforecaster

import "time"

const (
	// slowThreshold is the time for a transaction from which the store counts as slow: several times the
	// time of a healthy store, and too short to make any caller late.
	slowThreshold = 100 * time.Millisecond
	// averageDivisor is the inverse of the weight of the latest transaction in the moving average.
	averageDivisor = 3
	// changeFactor is the ratio to the average from which the latest transaction replaces it: the store has
	// turned slow or is well again.
	changeFactor = 2
	// overdueDivisor is the inverse of the part of its age that an overdue transaction is expected to take
	// longer.
	overdueDivisor = 2
	// serviceDivisor is the inverse of the part of a transaction's time that passes on the way and until the
	// answer: the store is at work on the next one meanwhile. It is used until that has been measured.
	serviceDivisor = 3
)

// Forecaster learns how long the store takes for a transaction.
type Forecaster struct {
	maxRows int
	// sentAt is when the transaction in each slot was sent, or the zero time if the slot is free.
	sentAt []time.Time
	// idleSince is when the store last ended a transaction or an outage: before that it can't have begun
	// with those in flight.
	idleSince time.Time
	// alone is the moving average of the time from sending a transaction to its answer if the store has nothing
	// else to do, service that of the time between two answers if it has.
	alone, service time.Duration
}

// New returns a forecaster for a number of transactions in flight, each of maxRows rows at most.
func New(slots, maxRows int) *Forecaster {
	return &Forecaster{maxRows: maxRows, sentAt: make([]time.Time, slots)}
}

// Sent records that a transaction was sent in a slot.
func (f *Forecaster) Sent(slot int, now time.Time) { f.sentAt[slot] = now }

// Done records that the outcome of the transaction in a slot is known.
func (f *Forecaster) Done(slot int, now time.Time) {
	sentAt := f.sentAt[slot]
	if took := now.Sub(f.begun(sentAt)); f.idleSince.After(sentAt) {
		f.service = smooth(f.service, took)
	} else {
		f.alone = smooth(f.alone, took)
	}
	// The latest of the two tells how slow the store is now.
	if f.service > f.alone || serviceDivisor*f.service < f.alone {
		if f.idleSince.After(sentAt) {
			f.alone = f.service + f.service/serviceDivisor
		} else {
			f.service = f.alone - f.alone/serviceDivisor
		}
	}
	f.sentAt[slot], f.idleSince = time.Time{}, now
}

// smooth returns the moving average after another duration.
func smooth(average, latest time.Duration) time.Duration {
	if latest > changeFactor*average || changeFactor*latest < average {
		return latest
	}
	return average + (latest-average)/averageDivisor
}

// Restored records that an outage of the store has ended.
func (f *Forecaster) Restored(now time.Time) { f.idleSince = now }

// begun returns when the store can have begun with a transaction at the earliest.
func (f *Forecaster) begun(sentAt time.Time) time.Time {
	if f.idleSince.After(sentAt) {
		return f.idleSince
	}
	return sentAt
}

// inFlight returns how many transactions are in flight, how long the store has been at work on the first of
// them, and how long it is expected to take for that one.
func (f *Forecaster) inFlight(now time.Time) (count int, age, expected time.Duration) {
	expected = f.alone
	for _, sentAt := range f.sentAt {
		if sentAt.IsZero() {
			continue
		}
		count++
		age = max(age, now.Sub(f.begun(sentAt)))
		if f.idleSince.After(sentAt) {
			expected = f.service
		}
	}
	return count, age, expected
}

// Average returns how long the store has lately taken for a transaction.
func (f *Forecaster) Average() time.Duration { return f.alone }

// TransactionTime returns how long the store takes for a transaction. One that is in flight for longer than
// the average shows that the store has become slower.
func (f *Forecaster) TransactionTime(now time.Time) time.Duration {
	_, age, _ := f.inFlight(now)
	return max(f.alone, age)
}

// Slow reports whether the store takes so long that admission and the order of writes matter.
func (f *Forecaster) Slow(now time.Time) bool { return f.TransactionTime(now) >= slowThreshold }

// WrittenIn returns the time until a row is written that is queued now behind a number of others. Of a
// transaction that is overdue nothing is known but its age, so it is expected to take half as long again.
func (f *Forecaster) WrittenIn(now time.Time, rowsAhead int) time.Duration {
	count, age, expected := f.inFlight(now)
	alone, service := f.alone, f.service
	if age > alone {
		alone, service = age, max(service, age-age/serviceDivisor)
	}
	queued := time.Duration(rowsAhead/f.maxRows) * service
	if count == 0 {
		return alone + queued
	}
	remaining := expected - age
	if remaining < 0 {
		remaining = age / overdueDivisor
	}
	return max(remaining+time.Duration(count)*service, alone) + queued
}

// Random returns a random duration from 0 up to a limit.
type Random func(limit time.Duration) time.Duration

const (
	// minReturn is the shortest time to come back: a caller that returns sooner meets the same queue.
	minReturn = 300 * time.Millisecond
	// minOutageReturn is the shortest time to come back during an outage, which as a rule lasts seconds.
	minOutageReturn = 900 * time.Millisecond
	// maxReturn bounds the time to come back: outages of the store are over after a few seconds, and
	// callers do not wait longer.
	maxReturn = 5 * time.Second
)

// ReturnAfter returns when a caller should come back whose row can't be written within its patience behind
// the rows that are queued: when enough of them have been written, and no later than twice that, so that
// the callers arrive spread over the time that the queue needs.
func (f *Forecaster) ReturnAfter(now time.Time, rowsAhead int, patience time.Duration, random Random) time.Duration {
	needed := f.WrittenIn(now, rowsAhead)
	earliest := min(max(minReturn, needed-max(0, patience)), maxReturn/2)
	return earliest + random(max(minReturn, min(needed, maxReturn/2)))
}

// ReturnAfterOutage returns when a caller should come back that is turned away in an outage of a given age.
// The longer an outage has lasted, the longer it goes on, so callers are told to stay away for half of its
// age at least and all of it at most: their few tries then reach past its end.
func ReturnAfterOutage(age time.Duration, random Random) time.Duration {
	earliest := min(max(minOutageReturn, age/2), maxReturn/2)
	return earliest + random(earliest)
}
