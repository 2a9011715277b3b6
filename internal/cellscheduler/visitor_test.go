package cellscheduler

import (
	"testing"
	"time"
)

// TestBacklogIsVisitedInTurns replays rounds over the backlog that a burst leaves on the large site: a
// thousand steps, each of which takes 0.3 ms to look at. Every round must end in time and begin with
// the highest ranks, and every step must be looked at within the validity of a placement token.
func TestBacklogIsVisitedInTurns(t *testing.T) {
	const (
		steps         = 1000
		cost          = 300 * time.Microsecond
		tokenLifetime = 4 * time.Second
	)
	now := time.Unix(1_000_000, 0)
	began := now
	visited := make([]int, steps)
	var v visitor
	rounds := 0
	for ; now.Sub(began) < tokenLifetime; rounds++ {
		roundBegan := now
		previous := -1
		v.visit(steps, nil, func() time.Time { return now }, maxRoundDuration, func(index int) {
			if index <= previous {
				t.Fatalf("step %d was visited after step %d", index, previous)
			}
			previous = index
			visited[index]++
			now = now.Add(cost)
		})
		took := now.Sub(roundBegan)
		if took > maxRoundDuration+cost {
			t.Fatalf("a round took %s, want at most %s", took, maxRoundDuration+cost)
		}
		now = now.Add(roundPauseFactor * took)
	}
	for index, count := range visited {
		if count == 0 {
			t.Errorf("step %d was not visited in %s", index, tokenLifetime)
		}
		if index < 20 && count != rounds {
			t.Errorf("step %d, of the highest ranks, was visited in %d of %d rounds", index, count, rounds)
		}
	}
}

// TestAnsweredStepsAreVisitedInTheNextRound: a step for which the advisor has answered does not wait for its turn, and no
// step is visited twice in a round.
func TestAnsweredStepsAreVisitedInTheNextRound(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	answered := []int{3, 500, 999}
	var v visitor
	for range 50 {
		visited := make(map[int]int)
		v.visit(1000, answered, func() time.Time { return now }, maxRoundDuration, func(index int) {
			visited[index]++
			now = now.Add(300 * time.Microsecond)
		})
		for index, count := range visited {
			if count > 1 {
				t.Errorf("step %d was visited %d times", index, count)
			}
		}
		for _, index := range answered {
			if visited[index] == 0 {
				t.Errorf("step %d was not visited", index)
			}
		}
	}
}

func TestShortBacklogIsVisitedWhole(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var v visitor
	for range 3 {
		count := 0
		v.visit(30, nil, func() time.Time { return now }, maxRoundDuration, func(int) { count++ })
		if count != 30 {
			t.Errorf("%d of 30 steps were visited", count)
		}
	}
	v.visit(0, nil, func() time.Time { return now }, maxRoundDuration, func(int) { t.Error("a step of an empty backlog was visited") })
}
