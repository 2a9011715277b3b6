// Package advicerouter decides through which instance the placement advisor is asked. It is pure: the time
// is passed in.
//
// # Usage
//
//	router := advicerouter.New()
//	router.Sort(instances)
//	instance := router.Choose(cost, now)
//	answered := router.CallSent(instance, cost, now)
//	…
//	answered(now, err)
//
// The load that it answers: the advisor serves one call of each instance at a time, in turn. Some
// hundred calls of ten milliseconds and some ten calls of half a second come each second, and a short
// call behind a long one comes too late. So instances near the advisor take short calls only, as many of
// them as the short calls of the last second kept busy, and a call goes where it is served soonest.
package advicerouter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longCall is from which length a call keeps others waiting noticeably.
	longCall = 30 * time.Millisecond
	// shortQueue and longQueue are how much work may wait for the advisor on one instance when a short
	// or a long call joins it.
	shortQueue = 60 * time.Millisecond
	longQueue  = 20 * time.Millisecond
	// mostQueued bounds the calls of one instance; the advisor refuses them from 32 on.
	mostQueued = 16
	// overheadWeight is the weight of the latest call in what is known of an instance's way to the
	// advisor.
	overheadWeight = 0.2
	// failedOverhead is what a call counts as that failed: the instance may be cut off.
	failedOverhead = time.Second
	// leastReserved instances take short calls only, where there are more, and spareLoad times as many
	// as the short calls of the last second kept busy, up to half of all.
	leastReserved = 2
	spareLoad     = 1.5
)

// IsLong tells whether a call of some length is kept away from short ones.
func IsLong(cost time.Duration) bool { return cost >= longCall }

// Router are the queues of all instances at the advisor.
type Router struct {
	all map[string]*line
	// near are the lines of the instances that can ask now, the nearest to the advisor first.
	near []*line
	// shortWork is the advisor's work for short calls, fading within a second; it was counted at shortAt.
	shortWork time.Duration
	shortAt   time.Time
}

// line is the queue of one instance's calls.
type line struct {
	instance string
	// clearAt is when the calls so far are served.
	clearAt time.Time
	queued  int
	// overhead is how long a call takes beyond the advisor's own work and the calls before it.
	overhead time.Duration
}

// New returns lines without calls.
func New() *Router { return &Router{all: make(map[string]*line)} }

func (r *Router) line(instance string) *line {
	if r.all[instance] == nil {
		r.all[instance] = &line{instance: instance}
	}
	return r.all[instance]
}

// SetInstances takes in which instances can ask now.
func (r *Router) SetInstances(instances []string) {
	r.near = r.near[:0]
	for _, instance := range instances {
		r.near = append(r.near, r.line(instance))
	}
	slices.SortFunc(r.near, func(a, b *line) int {
		return cmp.Or(cmp.Compare(a.overhead, b.overhead), cmp.Compare(a.instance, b.instance))
	})
}

// Choose returns the instance that serves a call soonest, or an empty name if none should take one now.
func (r *Router) Choose(cost time.Duration, now time.Time) string {
	among, most := r.near, shortQueue
	if IsLong(cost) {
		among, most = r.near[r.reserved(now):], longQueue
	}
	best, bestServed := "", time.Duration(0)
	for _, line := range among {
		waits := max(0, line.clearAt.Sub(now))
		if line.queued >= mostQueued || waits > most {
			continue
		}
		if served := waits + line.overhead; best == "" || served < bestServed {
			best, bestServed = line.instance, served
		}
	}
	return best
}

// reserved is how many instances take short calls only.
func (r *Router) reserved(now time.Time) int {
	wanted := 1 + int(math.Ceil(spareLoad*r.faded(now).Seconds()))
	return max(0, min(max(leastReserved, min(wanted, len(r.near)/2)), len(r.near)-1))
}

func (r *Router) faded(now time.Time) time.Duration {
	return time.Duration(math.Exp(-now.Sub(r.shortAt).Seconds()) * float64(r.shortWork))
}

// RecordCall takes in that a call was sent, and returns the function that takes in its answer.
func (r *Router) RecordCall(instance string, cost time.Duration, now time.Time) func(now time.Time, err error) {
	if !IsLong(cost) {
		r.shortWork, r.shortAt = r.faded(now)+cost, now
	}
	line := r.line(instance)
	if line.clearAt.Before(now) {
		line.clearAt = now
	}
	line.clearAt = line.clearAt.Add(cost)
	line.queued++
	served := line.clearAt
	return func(now time.Time, err error) {
		line.queued--
		late := max(0, now.Sub(served))
		if err != nil {
			late = failedOverhead
		}
		line.overhead += time.Duration(overheadWeight * float64(late-line.overhead))
	}
}
