package prioritizer_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/prioritizer"
)

var now = time.Unix(1_000_000, 0)

func TestCompare(t *testing.T) {
	waitingStep := func(priority int, age, chain time.Duration) prioritizer.WaitingStep {
		return prioritizer.WaitingStep{AcceptedAt: now.Add(-age), Priority: priority, Stretch: 2, Target: time.Second, CriticalPath: chain, RemainingTime: chain}
	}
	for name, test := range map[string]struct {
		first, second prioritizer.WaitingStep
	}{
		"priority":            {waitingStep(0, 0, time.Second), waitingStep(1, 0, time.Second)},
		"earlier deadline":    {waitingStep(0, time.Second, time.Second), waitingStep(0, 0, time.Second)},
		"on time before late": {waitingStep(2, 0, time.Second), waitingStep(0, 4*time.Second, time.Second)},
		"late before expired": {waitingStep(2, 4*time.Second, time.Second), waitingStep(0, time.Minute, time.Second)},
		"expired by priority": {waitingStep(0, time.Minute, time.Second), waitingStep(1, time.Minute, time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := prioritizer.RankOf(test.first, now), prioritizer.RankOf(test.second, now)
			if first.Compare(second) >= 0 || second.Compare(first) <= 0 {
				t.Errorf("%+v does not come before %+v", first, second)
			}
		})
	}
}

// TestOrderOfWorkWithinShares: without work beyond shares, the order is by tier, priority and deadline.
func TestOrderOfWorkWithinShares(t *testing.T) {
	var ranks []prioritizer.Rank
	for tier := prioritizer.TierLongRunning; tier <= prioritizer.TierExpired; tier++ {
		for i := range 9 {
			ranks = append(ranks, prioritizer.Rank{Tier: tier, Priority: i / 3, Deadline: now.Add(time.Duration(i%3) * time.Second)})
		}
	}
	for i, a := range ranks {
		for j, b := range ranks {
			if got := a.Compare(b); got != cmp.Compare(i, j) {
				t.Errorf("%+v compared with %+v is %d, want %d", a, b, got, cmp.Compare(i, j))
			}
		}
	}
}

// TestOrderOfWorkBeyondShares: work beyond shares comes after all work within shares that is not expired.
func TestOrderOfWorkBeyondShares(t *testing.T) {
	ranks := []prioritizer.Rank{
		{Tier: prioritizer.TierLongRunning, Priority: 2, BeyondShare: true},
		{Tier: prioritizer.TierOnTime},
		{Tier: prioritizer.TierLate, Priority: 2},
		{Tier: prioritizer.TierOnTime, BeyondShare: true},
		{Tier: prioritizer.TierOnTime, Priority: 1, BeyondShare: true},
		{Tier: prioritizer.TierLate, BeyondShare: true},
		{Tier: prioritizer.TierExpired, Priority: 2},
		{Tier: prioritizer.TierExpired, BeyondShare: true},
	}
	for i, a := range ranks {
		for j, b := range ranks {
			if got := a.Compare(b); got != cmp.Compare(i, j) {
				t.Errorf("%+v compared with %+v is %d, want %d", a, b, got, cmp.Compare(i, j))
			}
		}
	}
}

// simulateBurst runs one job per tick, in the order given by less, while jobs arrive faster: quickPerTick
// quick ones in each tick and another one in every second tick. The result of a job is seen after the
// overhead. simulateBurst returns how many jobs meet their objective.
func simulateBurst(quickPerTick int, overhead time.Duration, less func(a, b prioritizer.WaitingStep, at time.Time) bool) int {
	var waiting []prioritizer.WaitingStep
	onTime := 0
	for tick := range 400 {
		at := now.Add(time.Duration(tick) * 100 * time.Millisecond)
		if tick < 200 {
			for range quickPerTick {
				waiting = append(waiting, prioritizer.WaitingStep{AcceptedAt: at, Stretch: 1.5, Target: 600 * time.Millisecond, CriticalPath: 100 * time.Millisecond, RemainingTime: 100 * time.Millisecond})
			}
			if tick%2 == 0 {
				waiting = append(waiting, prioritizer.WaitingStep{AcceptedAt: at, Priority: 1, Stretch: 2, Target: 5 * time.Second, CriticalPath: 100 * time.Millisecond, RemainingTime: 100 * time.Millisecond})
			}
		}
		if len(waiting) == 0 {
			continue
		}
		best := 0
		for i := range waiting {
			if less(waiting[i], waiting[best], at) {
				best = i
			}
		}
		step := waiting[best]
		objective := time.Duration(step.Stretch*float64(step.CriticalPath)) + step.Target
		if !at.Add(overhead + step.CriticalPath).After(step.AcceptedAt.Add(objective)) {
			onTime++
		}
		waiting = slices.Delete(waiting, best, best+1)
	}
	return onTime
}

// TestRankMeetsMoreObjectivesThanArrivalOrder compares the rank with first-in, first-out order, in
// which a burst makes every later job miss its objective.
func TestRankMeetsMoreObjectivesThanArrivalOrder(t *testing.T) {
	byRank := simulateBurst(1, 0, func(a, b prioritizer.WaitingStep, at time.Time) bool {
		return prioritizer.RankOf(a, at).Compare(prioritizer.RankOf(b, at)) < 0
	})
	byArrival := simulateBurst(1, 0, func(a, b prioritizer.WaitingStep, _ time.Time) bool { return a.AcceptedAt.Before(b.AcceptedAt) })
	if byRank < 2*byArrival {
		t.Errorf("%d jobs on time by rank, %d in order of arrival; want at least twice as many by rank", byRank, byArrival)
	}
}

// TestOverheadCountsDuringBurst replays a burst of twice the capacity in which half a second passes for advice, writes and
// orders besides each run. It compares the rank that knows of the overhead with the one that does not.
func TestOverheadCountsDuringBurst(t *testing.T) {
	const overhead = 500 * time.Millisecond
	known := simulateBurst(2, overhead, func(a, b prioritizer.WaitingStep, at time.Time) bool {
		a.Overhead, b.Overhead = overhead, overhead
		return prioritizer.RankOf(a, at).Compare(prioritizer.RankOf(b, at)) < 0
	})
	unknown := simulateBurst(2, overhead, func(a, b prioritizer.WaitingStep, at time.Time) bool {
		return prioritizer.RankOf(a, at).Compare(prioritizer.RankOf(b, at)) < 0
	})
	t.Logf("%d jobs on time with the overhead, %d without it", known, unknown)
	if known < 2*unknown {
		t.Errorf("%d jobs on time with the overhead, %d without it; want at least twice as many", known, unknown)
	}
}
