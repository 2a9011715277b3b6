package cellscheduler

import (
	"slices"
	"time"
)

const (
	// maxRoundDuration bounds a round. With a backlog of a thousand steps on a thousand workers, a round
	// over all of them takes a third of a second, and placement tokens expire before the next one.
	maxRoundDuration = 16 * time.Millisecond
	// roundPauseFactor limits the share of time spent in rounds: the pause after a round is at least
	// this many times the round's duration. An owner that does nothing else neither accepts jobs nor
	// processes the ends of runs.
	roundPauseFactor = 4
)

// visitor visits the steps of a backlog within a bounded time. It is designed for a burst that leaves
// more steps waiting than one round can look at: the highest ranks come first in every round, because
// they are the most likely to be placed; then those for which the advisor has answered, because the room
// that is reserved for them and their placement tokens would be lost by the time of their next turn; and the rest
// take turns, because room that suits one of them must not stay free behind others that need more.
type visitor struct {
	// next is the index at which the turns continue.
	next int
}

// visit calls visit with indexes below count, in ascending order of rank, until the time is over. The
// first half of the time is for the highest ranks. answered are the indexes that come next, in ascending order.
// At least one index is visited, and none twice.
func (v *visitor) visit(count int, answered []int, now func() time.Time, limit time.Duration, visit func(index int)) {
	began := now()
	index := 0
	for index < count {
		visit(index)
		index++
		if now().Sub(began) >= limit/2 {
			break
		}
	}
	if index >= count {
		v.next = 0
		return
	}
	if v.next < index || v.next >= count {
		v.next = index
	}
	first, _ := slices.BinarySearch(answered, index)
	for _, index := range answered[first:] {
		if now().Sub(began) >= limit {
			return
		}
		visit(index)
	}
	for v.next < count && now().Sub(began) < limit {
		if _, visited := slices.BinarySearch(answered, v.next); !visited {
			visit(v.next)
		}
		v.next++
	}
}
