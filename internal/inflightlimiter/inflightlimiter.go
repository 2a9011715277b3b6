// Package inflightlimiter decides how many transactions an owner has in flight, and from when on a store that
// does not answer means that callers are refused. It is pure: the time is passed in.
//
// # Usage
//
//	limiter := inflightlimiter.New(4)
//	if lane, free := limiter.FreeSlot(now); free {
//		limiter.Sent(lane, now)
//		…
//		limiter.Answered(lane, now)
//	}
//	if limiter.Stalled(now) { … }
//
// The load that it answers: two hundred rows a second, a store that takes 15 ms for a transaction, 0.4 s
// and more for some seconds, and now and then nothing at all. One transaction at a time carries the usual
// day at the least cost. A slow store needs several. While the store answers nothing, whatever is in
// flight is in doubt and its callers can't come back, so an outage must find one in flight.
package inflightlimiter

import "time"

const (
	// slowStore is from which usual length of transactions a second one is sent beside the first: three
	// times what the store takes in its usual order.
	slowStore = 60 * time.Millisecond
	// usualWeight is the inverse of the weight of the latest transaction in what is usual.
	usualWeight = 3
	// stalledAfter is from how long a transaction in flight means that the store is in trouble; it
	// is a quarter of the shortest objective of either user. A store that is slow and answers is
	// given stalledFactor times what is usual.
	stalledAfter  = 400 * time.Millisecond
	stalledFactor = 3
	// stalledAtMost bounds that: an outage makes transactions long too, and callers who are told after
	// half of their time can come back.
	stalledAtMost = 1200 * time.Millisecond
)

// Limiter are the transactions that may be in flight at once.
type Limiter struct {
	// sentAt is when each lane's transaction was sent, the zero time where there is none.
	sentAt []time.Time
	// usual is how long transactions took lately.
	usual time.Duration
}

// New returns a limiter with nothing in flight.
func New(count int) *Limiter { return &Limiter{sentAt: make([]time.Time, count)} }

// Idle tells whether nothing is in flight.
func (l *Limiter) Idle() bool {
	for _, sentAt := range l.sentAt {
		if !sentAt.IsZero() {
			return false
		}
	}
	return true
}

// Slow tells whether transactions take long as a rule.
func (l *Limiter) Slow() bool { return l.usual >= slowStore }

// FreeSlot returns the lane that the next transaction goes through, if one may be sent now.
func (l *Limiter) FreeSlot(now time.Time) (lane int, free bool) {
	lane = -1
	busy, latest := 0, time.Time{}
	for i, sentAt := range l.sentAt {
		switch {
		case !sentAt.IsZero():
			busy++
			if sentAt.After(latest) {
				latest = sentAt
			}
		case lane < 0:
			lane = i
		}
	}
	spread := l.usual / time.Duration(len(l.sentAt))
	if lane < 0 || busy > 0 && (!l.Slow() || now.Sub(latest) < spread) {
		return 0, false
	}
	return lane, true
}

// Acquire takes in that a transaction was sent.
func (l *Limiter) Acquire(lane int, now time.Time) { l.sentAt[lane] = now }

// Release takes in that it is known what became of a lane's transaction.
func (l *Limiter) Release(lane int, now time.Time) {
	l.usual += (now.Sub(l.sentAt[lane]) - l.usual) / usualWeight
	l.sentAt[lane] = time.Time{}
}

// Stalled tells whether the store does not answer: nothing new can be accepted.
func (l *Limiter) Stalled(now time.Time) bool {
	patience := min(max(stalledAfter, stalledFactor*l.usual), stalledAtMost)
	for _, sentAt := range l.sentAt {
		if !sentAt.IsZero() && now.Sub(sentAt) >= patience {
			return true
		}
	}
	return false
}
