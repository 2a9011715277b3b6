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
		{"short to the first", 4, nil, short, "i00"},
		{"long past the reserved ones", 4, nil, long, "i02"},
		{"long to the next one", 4, []time.Duration{long}, long, "i03"},
		{"no long behind long ones", 4, []time.Duration{long, long}, long, ""},
		{"short beside long ones", 4, []time.Duration{long, long}, short, "i00"},
		{"short where it is served soonest", 4, []time.Duration{short}, short, "i01"},
		{"one instance takes all", 1, nil, long, "i00"},
		{"no instance", 0, nil, short, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := advicerouter.New()
			lines.SetInstances(instances(test.instances))
			for _, cost := range test.before {
				lines.RecordCall(lines.Choose(cost, start), cost, start)
			}
			if got := lines.Choose(test.cost, start); got != test.want {
				t.Errorf("chose %q, want %q", got, test.want)
			}
		})
	}
}

// TestShortCallsOfABurst is a burst of 300 short calls a second beside as many long ones as get a line:
// no short call may wait behind a long one, and none finds no line.
func TestShortCallsOfABurst(t *testing.T) {
	lines := advicerouter.New()
	lines.SetInstances(instances(32))
	longs, turnedAway := 0, 0
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Second / 300)
		if instance := lines.Choose(long, now); instance != "" && i%10 == 0 {
			answered := lines.RecordCall(instance, long, now)
			defer answered(now.Add(long), nil)
			longs++
		}
		instance := lines.Choose(short, now)
		if instance == "" {
			turnedAway++
			continue
		}
		lines.RecordCall(instance, short, now)(now.Add(short), nil)
	}
	if turnedAway > 0 || longs < 250 {
		t.Errorf("%d of 3000 short calls found no line, %d long ones did of 300", turnedAway, longs)
	}
}

func TestInstanceThatFailsGoesLast(t *testing.T) {
	lines := advicerouter.New()
	lines.SetInstances(instances(2))
	lines.RecordCall("i00", short, start)(start.Add(2*time.Second), fmt.Errorf("cut off"))
	now := start.Add(2 * time.Second)
	lines.SetInstances(instances(2))
	if got := lines.Choose(short, now); got != "i01" {
		t.Errorf("chose %q after the other one had failed", got)
	}
}
