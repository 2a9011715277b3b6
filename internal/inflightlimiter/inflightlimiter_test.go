package inflightlimiter_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
)

const (
	slots = 4
	ms    = time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// replay simulates a store in steps of 5 ms and sends a transaction whenever a slot is free.
// latency gives the duration of a transaction by the time at which it is sent. It returns the
// number of transactions sent and the peak number in flight.
func replay(l *inflightlimiter.Limiter, from, length time.Duration, latency func(time.Duration) time.Duration) (sent, peak int) {
	completesAt := make(map[int]time.Duration)
	for at := from; at < from+length; at += 5 * ms {
		now := start.Add(at)
		for slot := range slots {
			if end, inFlight := completesAt[slot]; inFlight && end <= at {
				l.Release(slot, now)
				delete(completesAt, slot)
			}
		}
		for slot, free := l.FreeSlot(now); free; slot, free = l.FreeSlot(now) {
			l.Acquire(slot, now)
			completesAt[slot] = at + latency(at)
			sent++
		}
		peak = max(peak, len(completesAt))
	}
	return sent, peak
}

func constantLatency(latency time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return latency }
}

func TestInFlightTransactionsByStoreLatency(t *testing.T) {
	for _, test := range []struct {
		name              string
		latency           time.Duration
		minSent, wantPeak int
	}{
		// One at a time takes 15 to 20 ms each in 5 ms steps, so at least 5 s / 20 ms are sent.
		{"usual store", 15 * ms, 250, 1},
		// One at a time would send only 12 transactions in five seconds.
		{"slow store", 400 * ms, 36, slots},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent, peak := replay(inflightlimiter.New(slots), 0, 5*time.Second, constantLatency(test.latency))
			if sent < test.minSent || peak != test.wantPeak {
				t.Errorf("%d transactions, %d at once; want at least %d, and %d at once", sent, peak, test.minSent, test.wantPeak)
			}
		})
	}
}

// TestOutageLeavesOneTransactionInDoubt checks that at most one transaction is in flight, and so in
// doubt, when a store that was fast stops answering.
func TestOutageLeavesOneTransactionInDoubt(t *testing.T) {
	l := inflightlimiter.New(slots)
	_, peak := replay(l, 0, 8*time.Second, func(at time.Duration) time.Duration {
		if at > 3*time.Second {
			return time.Hour
		}
		return 15 * ms
	})
	if peak != 1 {
		t.Errorf("%d transactions are in doubt, want 1", peak)
	}
	if l.Idle() || !l.Stalled(start.Add(8*time.Second)) {
		t.Error("the store is not reported as stalled")
	}
}

func TestStalled(t *testing.T) {
	for _, test := range []struct {
		name                  string
		averageLatency, after time.Duration
		want                  bool
	}{
		{"fast store, below the timeout", 15 * ms, 399 * ms, false},
		{"fast store, stalled", 15 * ms, 400 * ms, true},
		{"slow store has a longer timeout", 300 * ms, 800 * ms, false},
		{"slow store, stalled", 300 * ms, 1000 * ms, true},
		{"timeout is at most half of a caller's deadline", 2000 * ms, 1200 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := inflightlimiter.New(1)
			if _, peak := replay(l, 0, 30*time.Second, constantLatency(test.averageLatency)); peak != 1 {
				t.Fatalf("%d transactions in flight with one slot", peak)
			}
			if !l.Idle() {
				l.Release(0, start.Add(30*time.Second))
			}
			at := start.Add(time.Minute)
			l.Acquire(0, at)
			if got := l.Stalled(at.Add(test.after)); got != test.want {
				t.Errorf("Stalled after %s = %t", test.after, got)
			}
		})
	}
}

// TestOutageDoesNotSlowTheStoreDown replays an outage of four seconds. When the store answers again, it
// is neither stalled nor slow, so that the next transaction is sent as soon as the one in flight ends.
func TestOutageDoesNotSlowTheStoreDown(t *testing.T) {
	l := inflightlimiter.New(slots)
	for at := time.Duration(0); at < 3*time.Second; at += 15 * ms {
		l.Acquire(0, start.Add(at))
		l.Release(0, start.Add(at+15*ms))
	}
	l.Acquire(0, start.Add(3*time.Second))
	answers := start.Add(7 * time.Second)
	if !l.Stalled(answers) {
		t.Error("a silent store is not reported as stalled")
	}
	l.Restored(answers)
	if l.Stalled(answers.Add(50 * ms)) {
		t.Error("the store is still reported as stalled after its return")
	}
	l.Release(0, answers.Add(50*ms))
	if l.Slow() {
		t.Error("the time of the outage counts as the store's latency")
	}
	if _, free := l.FreeSlot(answers.Add(50 * ms)); !free {
		t.Error("the next transaction has to wait")
	}
}
