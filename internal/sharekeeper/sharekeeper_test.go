package sharekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/sharekeeper"
)

var start = time.Unix(1_000_000, 0)

// TestShareHoldsInAnyWindow: in any span of time at most the team's weight in jobs, and one burst, are within
// its share. The clock of the jobs is set back and forward meanwhile, as after a change of owner.
func TestShareHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 40).Draw(t, "weight")
		keeper := sharekeeper.New()
		elapsed, step := time.Duration(0), time.Duration(0)
		var within []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "jobs") {
			elapsed += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			if rapid.IntRange(0, 20).Draw(t, "setBack") == 0 {
				step -= time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "by"))
			}
			if keeper.Mark("team", weight, start.Add(elapsed+step)) == sharekeeper.Within {
				within = append(within, elapsed)
			}
		}
		for first := range within {
			for last := first; last < len(within); last++ {
				span := (within[last] - within[first]).Seconds()
				if limit := weight*span + max(1, weight) + 1e-6; float64(last-first+1) > limit {
					t.Fatalf("%d jobs within the share in %.3f s, want at most %.3f", last-first+1, span, limit)
				}
			}
		}
	})
}

func TestMark(t *testing.T) {
	keeper := sharekeeper.New()
	mark := func(team string, weight float64, after time.Duration) sharekeeper.Standing {
		return keeper.Mark(team, weight, start.Add(after))
	}
	for i, test := range []struct {
		team   string
		weight float64
		after  time.Duration
		want   sharekeeper.Standing
	}{
		{"a", 2, 0, sharekeeper.Within},
		{"a", 2, 0, sharekeeper.Within},
		{"a", 2, 0, sharekeeper.Beyond},
		{"b", 0.5, 0, sharekeeper.Within},
		{"b", 0.5, time.Second, sharekeeper.Beyond},
		{"b", 0.5, 2 * time.Second, sharekeeper.Within},
		{"none", 0, 0, sharekeeper.Beyond},
		// The weight is lowered: what was left of the larger burst is gone.
		{"c", 10, 0, sharekeeper.Within},
		{"c", 1, 0, sharekeeper.Within},
		{"c", 1, 0, sharekeeper.Beyond},
	} {
		if got := mark(test.team, test.weight, test.after); got != test.want {
			t.Errorf("job %d of team %s has standing %d, want %d", i, test.team, got, test.want)
		}
	}
}

func TestAdmit(t *testing.T) {
	work := sharekeeper.WorkOf(4, 1000, time.Second)
	request := sharekeeper.Request{Work: work, Duration: time.Second, Objective: 2 * time.Second}
	for name, test := range map[string]struct {
		pool  sharekeeper.Pool
		ahead sharekeeper.Work
		want  time.Duration
	}{
		"room":                {sharekeeper.Pool{Capacity: 8000, Free: 4000}, sharekeeper.Work{}, 0},
		"useful though late":  {sharekeeper.Pool{Capacity: 8000}, sharekeeper.WorkOf(36, 1000, time.Second), 0},
		"no longer useful":    {sharekeeper.Pool{Capacity: 8000}, sharekeeper.WorkOf(44, 1000, time.Second), 6 * time.Second},
		"nothing known":       {sharekeeper.Pool{}, sharekeeper.WorkOf(44, 1000, time.Second), 0},
		"bounded time":        {sharekeeper.Pool{Capacity: 8000}, sharekeeper.WorkOf(4000, 1000, time.Second), 10 * time.Second},
		"durations not known": {sharekeeper.Pool{Capacity: modeler.ProcessorsOf(8)}, sharekeeper.Work{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if decision := test.pool.Admit(test.ahead, request, 0); decision.RetryAfter != test.want || decision.Refused != (test.want > 0) {
				t.Errorf("refused %t, retry after %s; want %s", decision.Refused, decision.RetryAfter, test.want)
			}
		})
	}
}

func TestBeyondMustYield(t *testing.T) {
	pool := sharekeeper.Pool{Capacity: 8000}
	step := func(standing sharekeeper.Standing, slack time.Duration) sharekeeper.Waiting {
		return sharekeeper.Waiting{Work: sharekeeper.WorkOf(8, 1000, time.Second), Standing: standing, Slack: slack}
	}
	const within, beyond = sharekeeper.Within, sharekeeper.Beyond
	for name, test := range map[string]struct {
		steps []sharekeeper.Waiting
		want  bool
	}{
		"nothing waits":      {nil, false},
		"in time":            {[]sharekeeper.Waiting{step(beyond, 0), step(within, 5*time.Second)}, false},
		"would be late":      {[]sharekeeper.Waiting{step(beyond, 0), step(within, 3*time.Second)}, true},
		"behind work within": {[]sharekeeper.Waiting{step(within, 0), step(within, 3*time.Second), step(beyond, 0)}, false},
		"late in any case":   {[]sharekeeper.Waiting{step(within, 0), step(within, 0), step(beyond, 0), step(within, time.Second)}, false},
		"expired":            {[]sharekeeper.Waiting{step(beyond, 0), step(within, -time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := pool.BeyondMustYield(test.steps); got != test.want {
				t.Errorf("work beyond shares has to yield: %t, want %t", got, test.want)
			}
		})
	}
}

// TestReservedRoomYields: room that is reserved for work beyond shares is given up for a step that would be late
// otherwise, but not for one without a deadline.
func TestReservedRoomYields(t *testing.T) {
	pool := sharekeeper.Pool{Capacity: 8000, ReservedBeyond: 8000}
	for slack, want := range map[time.Duration]bool{0: false, time.Second: true, time.Minute: false} {
		step := sharekeeper.Waiting{Work: sharekeeper.WorkOf(8, 1000, time.Second), Slack: slack}
		if got := pool.BeyondMustYield([]sharekeeper.Waiting{step}); got != want {
			t.Errorf("with a slack of %s, work beyond shares has to yield: %t, want %t", slack, got, want)
		}
	}
}

func BenchmarkMark(b *testing.B) {
	for _, teams := range []int{20, 2000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprint("team-", i)
			}
			keeper := sharekeeper.New()
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(3 * time.Millisecond)
				keeper.Mark(names[i%teams], 4, now)
			}
		})
	}
}
