package bodylimiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTake takes 20 bytes for a body beside others, with a budget of 100 bytes, 75 of them before bodies give way.
func TestTake(t *testing.T) {
	type body struct {
		held int64
		// progressed is how long ago the last bytes arrived.
		progressed time.Duration
		whole      bool
	}
	const own = -1
	for name, test := range map[string]struct {
		before, after []body
		own           int64
		ended         []int
		refusal       Reason
	}{
		"alone":                                  {},
		"room":                                   {before: []body{{held: 30}, {held: 25}}},
		"the oldest gives way":                   {before: []body{{held: 30}, {held: 30}}, ended: []int{0}},
		"several give way":                       {before: []body{{held: 5}, {held: 30}, {held: 40}}, ended: []int{0, 1}},
		"a body without progress gives way":      {before: []body{{held: 30}, {held: 30, progressed: slowAfter}}, ended: []int{1}},
		"whole bodies stay":                      {before: []body{{held: 60, whole: true}, {held: 20}}, ended: []int{1}},
		"whole bodies hold the budget":           {before: []body{{held: 81, whole: true}}, refusal: BudgetFull},
		"the body itself is the oldest":          {own: 20, after: []body{{held: 50}}, ended: []int{own}, refusal: GaveWay},
		"alone beyond the budget":                {own: 90},
		"others were told to end, with room":     {before: []body{{held: 75}}, ended: []int{0}},
		"others were told to end, without room":  {before: []body{{held: 85}}, ended: []int{0}, refusal: BudgetFull},
		"ended although its memory is not given": {before: []body{{held: 40}, {held: 41}}, ended: []int{0}, refusal: BudgetFull},
	} {
		l := ledger{budget: 100}
		now := time.Unix(1000, 0)
		var others []*entry
		add := func(bodies []body) {
			for _, b := range bodies {
				e := &entry{held: b.held}
				l.add(e, now.Add(-b.progressed))
				l.held += b.held
				if b.whole {
					l.close(e)
				}
				others = append(others, e)
			}
		}
		add(test.before)
		e := &entry{}
		l.add(e, now)
		e.held, l.held = test.own, l.held+test.own
		add(test.after)
		// The list by progress is in the order of time.
		for i := range others {
			if now.Sub(others[i].progressed) > 0 && others[i].pacedElement != nil {
				l.byProgress.MoveToFront(others[i].pacedElement)
			}
		}
		refusal, ended := l.take(e, 20, now)
		if refusal != test.refusal {
			t.Errorf("%s: refused for %q, want %q", name, refusal, test.refusal)
		}
		var want []*entry
		for _, i := range test.ended {
			if i != own {
				want = append(want, others[i])
			}
		}
		if len(ended) != len(want) {
			t.Fatalf("%s: %d bodies ended, want %d", name, len(ended), len(want))
		}
		for i := range want {
			if ended[i] != want[i] || want[i].reason != GaveWay {
				t.Errorf("%s: another body ended", name)
			}
		}
	}
}

// TestCrowdReplay replays a crowd: bodies come, grow, stall, get whole and leave in a random order, and an ordinary one
// arrives at once beside them now and then. The bodies never hold more than the budget, what a body held is given
// back, and most of the ordinary ones become whole.
func TestCrowdReplay(t *testing.T) {
	const budget, largest, piece, events = 8 << 20, 256 << 10, 16 << 10, 20000
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 0))
		l := ledger{budget: budget}
		now := time.Unix(1000, 0)
		var bodies []*entry
		remove := func(i int) {
			l.close(bodies[i])
			l.give(bodies[i], bodies[i].held)
			bodies[i] = bodies[len(bodies)-1]
			bodies = bodies[:len(bodies)-1]
		}
		ordinary, whole := 0, 0
		for range events {
			now = now.Add(time.Duration(random.Int64N(int64(10 * time.Millisecond))))
			if len(bodies) < 400 && random.IntN(2) == 0 {
				bodies = append(bodies, &entry{})
				l.add(bodies[len(bodies)-1], now)
			}
			// A body that was told to end returns what it holds as soon as its goroutine runs.
			for i := len(bodies) - 1; i >= 0; i-- {
				if bodies[i].reason != "" && random.IntN(2) == 0 {
					remove(i)
				}
			}
			if random.IntN(50) == 0 {
				ordinary++
				e, refusal := &entry{}, Reason("")
				l.add(e, now)
				for e.held < largest && refusal == "" {
					l.progress(e, now)
					refusal, _ = l.take(e, piece, now)
				}
				if refusal == "" {
					whole++
				}
				l.close(e)
				l.give(e, e.held)
			}
			if len(bodies) == 0 {
				continue
			}
			i := random.IntN(len(bodies))
			e := bodies[i]
			switch {
			case e.reason != "":
			case e.held >= largest:
				remove(i)
			default:
				l.progress(e, now)
				if refusal, _ := l.take(e, piece, now); refusal != "" && e.reason != refusal {
					t.Fatalf("seed %d: refused for %q, ended for %q", seed, refusal, e.reason)
				}
			}
			held, ending := int64(0), int64(0)
			for _, e := range bodies {
				held += e.held
				if e.reason != "" {
					ending += e.held
				}
			}
			if held != l.held || ending != l.ending || held > budget {
				t.Fatalf("seed %d: %d bytes held and %d ending, counted %d and %d of %d", seed, held, ending, l.held, l.ending, budget)
			}
		}
		for len(bodies) > 0 {
			remove(0)
		}
		if l.held != 0 || l.ending != 0 || l.open.Len() != 0 || l.byProgress.Len() != 0 {
			t.Errorf("seed %d: %d bytes held and %d ending after all have left", seed, l.held, l.ending)
		}
		if whole*2 <= ordinary {
			t.Errorf("seed %d: %d of %d ordinary bodies became whole", seed, whole, ordinary)
		}
	}
}
