package cputhrottler_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
)

// replay runs a serving task whose tail grows with the share of the filling work, by an amount that
// changes every five seconds. It returns the longest time over the target and the mean share.
func replay(next func(worst float64, now time.Time) int) (longestOver time.Duration, meanShare float64) {
	const look = 500 * time.Millisecond
	harms := []float64{0.3, 1.6, 0.7, 2.5, 0.1}
	now := time.Unix(1000, 0)
	share, total, looks := 100, 0, 0
	var over time.Duration
	for i := range 100 {
		harm := harms[(i/10)%len(harms)]
		ratio := 0.4 + harm*float64(share)/100
		if ratio > 1 {
			over += look
			longestOver = max(longestOver, over)
		} else {
			over = 0
		}
		share = next(ratio, now.Add(time.Duration(i)*look))
		total += share
		looks++
	}
	return longestOver, float64(total) / float64(looks)
}

// TestServingTasksStayUnderTheirTarget holds the users' bound of four seconds over the target with
// room to spare, and lets filling work have a good part of the time, beside two baselines.
func TestServingTasksStayUnderTheirTarget(t *testing.T) {
	share := cputhrottler.New()
	over, mean := replay(share.Update)
	alwaysOver, _ := replay(func(float64, time.Time) int { return 100 })
	_, neverMean := replay(func(float64, time.Time) int { return 0 })
	if over >= 4*time.Second || alwaysOver < 4*time.Second {
		t.Errorf("over the target for %s, %s without pacing; the bound is 4 s", over, alwaysOver)
	}
	if mean <= neverMean {
		t.Errorf("mean share %.0f %%, no more than with none", mean)
	}
	t.Logf("over for %s at most, mean share %.0f %%", over, mean)
}

func TestShareDoesNotSwingBetweenTheBounds(t *testing.T) {
	share := cputhrottler.New()
	now := time.Unix(1000, 0)
	share.Update(0.9, now)
	for i := range 20 {
		if got := share.Update(0.7, now.Add(time.Duration(i)*time.Second)); got != 50 {
			t.Fatalf("share %d after %d s between the bounds, want 50", got, i)
		}
	}
}
