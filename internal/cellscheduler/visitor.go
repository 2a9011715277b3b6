package cellscheduler

import "time"

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
// they are the most likely to be placed, and the rest take turns, because room that suits one of them
// must not stay free behind others that need more.
type visitor struct {
	// next is the index at which the turns continue.
	next int
}

// visit calls visit with indexes below count, in ascending order of rank, until the time is over. The
// first half of the time is for the highest ranks. At least one index is visited.
func (v *visitor) visit(count int, now func() time.Time, limit time.Duration, visit func(index int)) {
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
	for v.next < count && now().Sub(began) < limit {
		visit(v.next)
		v.next++
	}
}
