package cellscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
)

// TestRoomIsNeverExceededInRandomRounds: free and soft-reserved resources never exceed what is free on the worker and never wrap, in
// any dimension.
func TestRoomIsNeverExceededInRandomRounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	resources := func(p, m, a int) modeler.Resources {
		return modeler.Resources{Processors: modeler.Processors(random.IntN(p)), Memory: datasize.ByteSize(random.IntN(m)) << 28, Accelerators: int64(random.IntN(a))}
	}
	for n := range 3000 {
		c := newRound(1 + random.IntN(6))
		for _, w := range c.workers {
			w.info.Capacity.Accelerators = 8
			w.used = resources(70000, 600, 10)
		}
		var ranked []*step
		for i := range 1 + random.IntN(8) {
			s := newGang(fmt.Sprint(n, i), 1+random.IntN(6), 0)
			s.def.Needs = resources(40000, 100, 3)
			s.def.BestEffort, s.def.Gang = random.IntN(5) == 0, random.IntN(3) > 0
			s.def.MaxPerWorker = random.IntN(3)
			s.tier = prioritizer.TierOnTime
			if random.IntN(2) == 0 {
				s.tier = prioritizer.TierLate
			}
			s.adviceInFlight = true
			s.reserved = nil
			if random.IntN(3) > 0 {
				s.reserved = map[string]int{}
				for id := range c.workers {
					s.reserved[id] = random.IntN(4)
				}
			}
			ranked = append(ranked, s)
		}
		if random.IntN(2) == 0 {
			slices.SortFunc(ranked, func(a, b *step) int { return int(a.tier) - int(b.tier) })
		}
		check := func(what string) {
			for i := range c.candidates {
				got, actual := c.candidates[i].Available(), c.candidateWorkers[i].free()
				if !got.Fits(actual) || !c.candidates[i].Free.Fits(actual) || !c.candidates[i].SoftReserved.Fits(actual) || c.candidates[i].Free.Processors < 0 || c.candidates[i].SoftReserved.Processors < 0 || c.candidates[i].Free.Accelerators < 0 || c.candidates[i].SoftReserved.Accelerators < 0 {
					t.Fatalf("%d %s: candidate %+v, in fact free %+v", n, what, c.candidates[i], actual)
				}
			}
		}
		c.collectCandidates(ranked)
		check("collect")
		for _, s := range ranked {
			if random.IntN(6) == 0 {
				continue
			}
			if s.tier > prioritizer.TierOnTime {
				c.applyLateReservations()
				check("late")
			}
			c.returnReservation(s)
			check("return")
			switch random.IntN(4) {
			case 0:
				s.earmarks = c.allCandidates()
			case 1:
				for range random.IntN(4) {
					w := c.candidateWorkers[0]
					if len(c.candidates) > 0 && s.def.Reservation().Fits(c.candidates[0].Available()) {
						w.used = w.used.Plus(s.def.Reservation())
						c.reserveCandidate(w, s.def)
						s.reserved = nil
					}
				}
			case 2:
				s.reserved = map[string]int{"w0": random.IntN(5)}
			}
			check("place")
			c.applyReservation(s)
			check("apply")
			c.earmarkRoom(s)
			check("earmark")
		}
	}
}
