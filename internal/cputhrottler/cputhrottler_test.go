package cputhrottler_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/cputhrottler"
)

// replay simulates a serving task whose tail latency grows with the share of the best-effort tasks,
// by a factor that changes every five seconds. It returns the longest time over the target and the
// mean share.
func replay(update func(worst float64, now time.Time) int) (longestOver time.Duration, meanShare float64) {
	const interval = 500 * time.Millisecond
	interference := []float64{0.3, 1.6, 0.7, 2.5, 0.1}
	now := time.Unix(1000, 0)
	share, total, updates := 100, 0, 0
	var over time.Duration
	for i := range 100 {
		factor := interference[(i/10)%len(interference)]
		ratio := 0.4 + factor*float64(share)/100
		if ratio > 1 {
			over += interval
			longestOver = max(longestOver, over)
		} else {
			over = 0
		}
		share = update(ratio, now.Add(time.Duration(i)*interval))
		total += share
		updates++
	}
	return longestOver, float64(total) / float64(updates)
}

// TestServingTasksMeetLatencyTarget checks that serving tasks exceed their target for less than the
// allowed four seconds at a time, and that best-effort tasks still get a share. The baselines are no
// throttling, which exceeds the bound, and no best-effort tasks.
func TestServingTasksMeetLatencyTarget(t *testing.T) {
	throttler := cputhrottler.New()
	over, mean := replay(throttler.Update)
	alwaysOver, _ := replay(func(float64, time.Time) int { return 100 })
	_, neverMean := replay(func(float64, time.Time) int { return 0 })
	if over >= 4*time.Second || alwaysOver < 4*time.Second {
		t.Errorf("over the target for %s, %s without throttling; the bound is 4 s", over, alwaysOver)
	}
	if mean <= neverMean {
		t.Errorf("mean share %.0f %%, want more than without best-effort tasks", mean)
	}
	t.Logf("over the target for at most %s, mean share %.0f %%", over, mean)
}

func TestShareIsStableBetweenThresholds(t *testing.T) {
	throttler := cputhrottler.New()
	now := time.Unix(1000, 0)
	throttler.Update(0.9, now)
	for i := range 20 {
		if got := throttler.Update(0.7, now.Add(time.Duration(i)*time.Second)); got != 50 {
			t.Fatalf("share %d after %d s between the thresholds, want 50", got, i)
		}
	}
}
