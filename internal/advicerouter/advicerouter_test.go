package advicerouter_test

import (
	"fmt"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
)

const (
	short = 9 * time.Millisecond
	long  = 500 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func instances(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("i%02d", i))
	}
	return names
}

func TestChoose(t *testing.T) {
	for _, test := range []struct {
		name      string
		instances int
		before    []time.Duration
		cost      time.Duration
		want      string
	}{
		{"short call uses the first instance", 4, nil, short, "i00"},
		{"long call skips the reserved instances", 4, nil, long, "i02"},
		{"second long call uses the next instance", 4, []time.Duration{long}, long, "i03"},
		{"long call does not queue behind another", 4, []time.Duration{long, long}, long, ""},
		{"long calls do not delay a short call", 4, []time.Duration{long, long}, short, "i00"},
		{"short call avoids a busy instance", 4, []time.Duration{short}, short, "i01"},
		{"single instance takes long calls", 1, nil, long, "i00"},
		{"no instance", 0, nil, short, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := advicerouter.New()
			router.SetInstances(instances(test.instances))
			for _, cost := range test.before {
				router.RecordCall(router.Choose(cost, start), cost, start)
			}
			if got := router.Choose(test.cost, start); got != test.want {
				t.Errorf("chose %q, want %q", got, test.want)
			}
		})
	}
}

func TestIdleCountsInstancesThatMayTakeTheCall(t *testing.T) {
	router := advicerouter.New()
	router.SetInstances(instances(6))
	done := router.RecordCall(router.Choose(long, start), long, start)
	if idle, all := router.Idle(long, start); idle != 3 || all != 4 {
		t.Errorf("%d of %d instances are idle for long calls, want 3 of 4", idle, all)
	}
	if idle, all := router.Idle(short, start); idle != 5 || all != 6 {
		t.Errorf("%d of %d instances are idle for short calls, want 5 of 6", idle, all)
	}
	done(start.Add(long), nil)
	if idle, _ := router.Idle(long, start.Add(long)); idle != 4 {
		t.Errorf("%d instances are idle after the answer, want 4", idle)
	}
}

func TestCallSize(t *testing.T) {
	const base, perWorker, maxSize = 380 * time.Millisecond, 5500 * time.Microsecond, 100
	for name, test := range map[string]struct {
		base, perWorker time.Duration
		workers, idle   int
		want            int
	}{
		"one call while few instances are idle": {base, perWorker, 60, 3, 60},
		"two calls at the same time":            {base, perWorker, 60, 8, 34},
		"half of the idle instances":            {base, perWorker, 100, 4, 50},
		"no call above the maximum":             {base, perWorker, 240, 3, 100},
		"a short call is not split":             {9 * time.Millisecond, 130 * time.Microsecond, 60, 40, 100},
		"workers that cost nothing":             {base, 0, 60, 40, 100},
		"none":                                  {base, perWorker, 0, 8, 34},
		"workers that cost more than a call":    {50 * time.Millisecond, 100 * time.Millisecond, 2, 40, 1},
	} {
		if got := advicerouter.CallSize(test.base, test.perWorker, test.workers, test.idle, maxSize); got != test.want {
			t.Errorf("%s: %d workers a call, want %d", name, got, test.want)
		}
	}
}

// TestBurstOfShortCallsIsNotDelayed checks that in a burst of 300 short and 30 long calls a second
// every short call finds an instance, and most long calls do.
func TestBurstOfShortCallsIsNotDelayed(t *testing.T) {
	router := advicerouter.New()
	router.SetInstances(instances(32))
	longSent, shortRejected := 0, 0
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Second / 300)
		if instance := router.Choose(long, now); instance != "" && i%10 == 0 {
			done := router.RecordCall(instance, long, now)
			defer done(now.Add(long), nil)
			longSent++
		}
		instance := router.Choose(short, now)
		if instance == "" {
			shortRejected++
			continue
		}
		router.RecordCall(instance, short, now)(now.Add(short), nil)
	}
	if shortRejected > 0 || longSent < 250 {
		t.Errorf("%d of 3000 short calls found no instance, want 0; %d of 300 long calls did, want at least 250", shortRejected, longSent)
	}
}

func TestFailedInstanceIsChosenLast(t *testing.T) {
	router := advicerouter.New()
	router.SetInstances(instances(2))
	router.RecordCall("i00", short, start)(start.Add(2*time.Second), fmt.Errorf("cut off"))
	now := start.Add(2 * time.Second)
	router.SetInstances(instances(2))
	if got := router.Choose(short, now); got != "i01" {
		t.Errorf("chose %q after a call from i00 had failed, want i01", got)
	}
}
