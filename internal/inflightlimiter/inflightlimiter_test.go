package inflightlimiter_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
)

const (
	lanes = 4
	ms    = time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// replay sends whenever a lane is free, every 5 ms, to a store that takes so long by the time of the
// sending. It returns how many transactions were sent and the most that were in flight.
func replay(l *inflightlimiter.Limiter, from, length time.Duration, takes func(time.Duration) time.Duration) (sent, most int) {
	due := make(map[int]time.Duration)
	for at := from; at < from+length; at += 5 * ms {
		now := start.Add(at)
		for lane := range lanes {
			if end, flying := due[lane]; flying && end <= at {
				l.Release(lane, now)
				delete(due, lane)
			}
		}
		for lane, free := l.FreeSlot(now); free; lane, free = l.FreeSlot(now) {
			l.Acquire(lane, now)
			due[lane] = at + takes(at)
			sent++
		}
		most = max(most, len(due))
	}
	return sent, most
}

func always(takes time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return takes }
}

func TestLanesByHowLongTheStoreTakes(t *testing.T) {
	for _, test := range []struct {
		name               string
		takes              time.Duration
		leastSent, mostFly int
	}{
		// One at a time carries five seconds' load in 5 s / 15 ms, or 20 ms as time goes in steps.
		{"usual store", 15 * ms, 250, 1},
		// One at a time would send 12 in five seconds.
		{"slow store", 400 * ms, 36, lanes},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent, most := replay(inflightlimiter.New(lanes), 0, 5*time.Second, always(test.takes))
			if sent < test.leastSent || most != test.mostFly {
				t.Errorf("%d transactions, %d at once; want at least %d, and %d at once", sent, most, test.leastSent, test.mostFly)
			}
		})
	}
}

// TestOutageFindsOneInFlight: whatever is in flight when the store falls silent is in doubt.
func TestOutageFindsOneInFlight(t *testing.T) {
	l := inflightlimiter.New(lanes)
	_, most := replay(l, 0, 8*time.Second, func(at time.Duration) time.Duration {
		if at > 3*time.Second {
			return time.Hour
		}
		return 15 * ms
	})
	if most != 1 {
		t.Errorf("%d transactions are in doubt, want 1", most)
	}
	if l.Idle() || !l.Stalled(start.Add(8*time.Second)) {
		t.Error("the store is not said to be silent")
	}
}

func TestStalled(t *testing.T) {
	for _, test := range []struct {
		name         string
		usual, after time.Duration
		want         bool
	}{
		{"usual store, in time", 15 * ms, 399 * ms, false},
		{"usual store, silent", 15 * ms, 400 * ms, true},
		{"slow store is given more", 300 * ms, 800 * ms, false},
		{"slow store, silent", 300 * ms, 1000 * ms, true},
		{"never over half of a caller's time", 2000 * ms, 1200 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := inflightlimiter.New(1)
			if _, most := replay(l, 0, 30*time.Second, always(test.usual)); most != 1 {
				t.Fatalf("%d at once in one lane", most)
			}
			if !l.Idle() {
				l.Release(0, start.Add(30*time.Second))
			}
			at := start.Add(time.Minute)
			l.Acquire(0, at)
			if got := l.Stalled(at.Add(test.after)); got != test.want {
				t.Errorf("stalled after %s: %t", test.after, got)
			}
		})
	}
}
