package writeforecaster_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/writeforecaster"
)

const ms = time.Millisecond

var start = time.Unix(1_000_000, 0)

// after returns a forecaster that has seen ten transactions of a given duration, one after the other, and
// the time at which the last of them ended.
func after(took time.Duration) (*writeforecaster.Forecaster, time.Time) {
	f, now := writeforecaster.New(2, 95), start
	for range 10 {
		f.Sent(0, now)
		now = now.Add(took)
		f.Done(0, now)
	}
	return f, now
}

func TestWrittenIn(t *testing.T) {
	for _, test := range []struct {
		name      string
		took      time.Duration
		inFlight  []time.Duration // ages
		rowsAhead int
		want      time.Duration
		slow      bool
	}{
		{"healthy store, nothing queued", 9 * ms, nil, 0, 9 * ms, false},
		// Alone a transaction takes three times its unit, behind another one two of them.
		{"healthy store, two transactions queued", 9 * ms, []time.Duration{3 * ms}, 190, 24 * ms, false},
		{"slow store, nothing queued", 900 * ms, nil, 94, 900 * ms, true},
		{"slow store, one in flight", 900 * ms, []time.Duration{300 * ms}, 0, 1200 * ms, true},
		{"slow store, two in flight and a transaction queued", 900 * ms, []time.Duration{300 * ms, 100 * ms}, 95, 2400 * ms, true},
		{"the store has just become slow", 9 * ms, []time.Duration{300 * ms}, 0, 350 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, now := after(test.took)
			now = now.Add(time.Second)
			for slot, age := range test.inFlight {
				f.Sent(slot, now.Add(-age))
			}
			if got := f.WrittenIn(now, test.rowsAhead); got != test.want {
				t.Errorf("written in %s, want %s", got, test.want)
			}
			if got := f.Slow(now); got != test.slow {
				t.Errorf("slow is %t, want %t", got, test.slow)
			}
		})
	}
}

// TestServiceTimeIsLearned: with two transactions in flight the store answers one every 600 ms, and each takes
// 1.2 s. What is queued is written sooner than transactions that take 900 ms alone suggest.
func TestServiceTimeIsLearned(t *testing.T) {
	f, now := after(900 * ms)
	f.Sent(0, now)
	f.Sent(1, now)
	now = now.Add(900 * ms)
	f.Done(0, now)
	for slot := range 10 {
		f.Sent(slot%2, now)
		now = now.Add(600 * ms)
		f.Done((slot+1)%2, now)
	}
	f.Sent(0, now)
	if got := f.WrittenIn(now, 0); got != 1800*ms {
		t.Errorf("a row behind two transactions is written in %s, want 1.8s", got)
	}
}

// TestFullRateAtReturn: the first transaction after a slow time or an outage shows that the store is well.
func TestFullRateAtReturn(t *testing.T) {
	slow, now := after(700 * ms)
	slow.Sent(0, now)
	now = now.Add(12 * ms)
	slow.Done(0, now)
	silent, lost := after(12 * ms)
	silent.Sent(0, lost)
	back := lost.Add(4 * time.Second)
	if !silent.Slow(back) {
		t.Error("a store that does not answer is not slow")
	}
	silent.Restored(back)
	silent.Done(0, back.Add(12*ms))
	if slow.Slow(now) || silent.Slow(back.Add(12*ms)) {
		t.Error("the store still counts as slow")
	}
}

func TestReturnTimes(t *testing.T) {
	none := func(time.Duration) time.Duration { return 0 }
	all := func(limit time.Duration) time.Duration { return limit }
	shortest := time.Duration(0)
	for _, age := range []time.Duration{500 * ms, 2 * time.Second, 4 * time.Second, time.Minute} {
		earliest, latest := writeforecaster.ReturnAfterOutage(age, none), writeforecaster.ReturnAfterOutage(age, all)
		if earliest < shortest || latest < 2*earliest || latest > 5*time.Second {
			t.Errorf("outage of %s: callers return after %s to %s", age, earliest, latest)
		}
		shortest = earliest
	}
	f, now := after(900 * ms)
	if earliest, latest := f.ReturnAfter(now, 600, 3*time.Second, none), f.ReturnAfter(now, 600, 3*time.Second, all); earliest != 1500*ms || latest != 4000*ms {
		t.Errorf("600 rows queued: callers return after %s to %s", earliest, latest)
	}
}
