// Package advicerouter chooses the instance from which the placement advisor is called. It does no
// I/O and reads no clock: the time is passed in.
//
// # Usage
//
//	router := advicerouter.New()
//	router.SetInstances(instances)
//	instance := router.Choose(cost, now)
//	done := router.RecordCall(instance, cost, now)
//	…
//	done(now, err)
//
// The advisor serves the calls of each instance one at a time, in order. Every second there are
// several hundred calls of 10 ms and several tens of calls of half a second, and a short call that
// waits behind a long one completes too late. Some instances with the lowest overhead are
// therefore reserved for short calls, in proportion to the recent load of short calls, and each
// call goes to the instance where it is expected to complete first.
package advicerouter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longCallThreshold is the cost from which a call noticeably delays the calls behind it.
	longCallThreshold = 30 * time.Millisecond
	// maxWaitShort and maxWaitLong are the longest waits in an instance's queue at which a short or a
	// long call may join it.
	maxWaitShort = 60 * time.Millisecond
	maxWaitLong  = 20 * time.Millisecond
	// maxQueued bounds the queued calls of one instance; the advisor refuses calls from 32 on.
	maxQueued = 16
	// overheadSmoothing is the weight of the latest call in the moving average of an instance's
	// overhead.
	overheadSmoothing = 0.2
	// failurePenalty is the overhead recorded for a failed call: the instance may have lost its
	// connection to the advisor.
	failurePenalty = time.Second
	// The number of instances reserved for short calls is about reserveFactor times the number that
	// the short calls of the last second kept busy, at most half of all. At least minReserved are
	// reserved, but one instance always remains for long calls.
	minReserved   = 2
	reserveFactor = 1.5
)

// IsLong reports whether a call of the given cost is kept off the instances reserved for short calls.
func IsLong(cost time.Duration) bool { return cost >= longCallThreshold }

// CallSize returns how many workers to name in each of the calls about a number of workers, at most maxSize. A call takes
// base and perWorker for each worker. Several calls at the same time take less time than one, but they use no more than half of
// the idle instances, and the workers of a call take half of base or more.
func CallSize(base, perWorker time.Duration, workers, idle, maxSize int) int {
	if perWorker <= 0 || !IsLong(base+time.Duration(workers)*perWorker) {
		return maxSize
	}
	calls := max(1, idle/2)
	size := max(int(base/perWorker)/2, (workers+calls-1)/calls, 1)
	return min(size, maxSize)
}

// Router tracks the queues of all instances at the advisor.
type Router struct {
	queues map[string]*queue
	// byOverhead are the queues of the instances that can call the advisor now, those with the lowest
	// overhead first.
	byOverhead []*queue
	// recentShortWork is the total cost of recent short calls, decaying exponentially with a time
	// constant of one second. It was last updated at shortWorkAt.
	recentShortWork time.Duration
	shortWorkAt     time.Time
}

// queue is the queue of one instance's calls at the advisor.
type queue struct {
	instance string
	// idleAt is when the advisor is expected to have served all calls in the queue.
	idleAt time.Time
	queued int
	// overhead is the average time that a call takes beyond its own cost and the wait behind earlier
	// calls.
	overhead time.Duration
}

// New returns a router with no instances and no calls.
func New() *Router { return &Router{queues: make(map[string]*queue)} }

func (r *Router) queue(instance string) *queue {
	if r.queues[instance] == nil {
		r.queues[instance] = &queue{instance: instance}
	}
	return r.queues[instance]
}

// SetInstances sets the instances that can call the advisor now.
func (r *Router) SetInstances(instances []string) {
	r.byOverhead = r.byOverhead[:0]
	for _, instance := range instances {
		r.byOverhead = append(r.byOverhead, r.queue(instance))
	}
	slices.SortFunc(r.byOverhead, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.overhead, b.overhead), cmp.Compare(a.instance, b.instance))
	})
}

// Choose returns the instance from which a call of the given cost is expected to complete first, or
// an empty name if no instance should take it now.
func (r *Router) Choose(cost time.Duration, now time.Time) string {
	eligible, maxWait := r.eligible(cost, now)
	best, bestCompletion := "", time.Duration(0)
	for _, q := range eligible {
		wait := max(0, q.idleAt.Sub(now))
		if q.queued >= maxQueued || wait > maxWait {
			continue
		}
		if completion := wait + q.overhead; best == "" || completion < bestCompletion {
			best, bestCompletion = q.instance, completion
		}
	}
	return best
}

// Idle returns how many of the instances that may take a call of the given cost have none in progress, and how many
// there are.
func (r *Router) Idle(cost time.Duration, now time.Time) (idle, all int) {
	eligible, _ := r.eligible(cost, now)
	for _, q := range eligible {
		if q.queued == 0 {
			idle++
		}
	}
	return idle, len(eligible)
}

// eligible returns the queues that a call of the given cost may join, and how long it may wait there.
func (r *Router) eligible(cost time.Duration, now time.Time) (queues []*queue, maxWait time.Duration) {
	if IsLong(cost) {
		return r.byOverhead[r.reserved(now):], maxWaitLong
	}
	return r.byOverhead, maxWaitShort
}

// reserved returns the number of instances that take short calls only.
func (r *Router) reserved(now time.Time) int {
	wanted := 1 + int(math.Ceil(reserveFactor*r.decayedShortWork(now).Seconds()))
	return max(0, min(max(minReserved, min(wanted, len(r.byOverhead)/2)), len(r.byOverhead)-1))
}

func (r *Router) decayedShortWork(now time.Time) time.Duration {
	return time.Duration(math.Exp(-now.Sub(r.shortWorkAt).Seconds()) * float64(r.recentShortWork))
}

// RecordCall records that a call was sent, and returns a function that records its completion.
func (r *Router) RecordCall(instance string, cost time.Duration, now time.Time) func(now time.Time, err error) {
	if !IsLong(cost) {
		r.recentShortWork, r.shortWorkAt = r.decayedShortWork(now)+cost, now
	}
	q := r.queue(instance)
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	q.idleAt = q.idleAt.Add(cost)
	q.queued++
	expectedAt := q.idleAt
	return func(now time.Time, err error) {
		q.queued--
		overhead := max(0, now.Sub(expectedAt))
		if err != nil {
			overhead = failurePenalty
		}
		q.overhead += time.Duration(overheadSmoothing * float64(overhead-q.overhead))
	}
}
