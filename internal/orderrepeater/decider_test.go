package orderrepeater_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/orderrepeater"
)

// orderTimeout is how long an order without repeats is waited for.
const orderTimeout = 900 * time.Millisecond

// settledAfter returns how long an order takes until a copy is answered, and how many copies are sent. Answers take
// usual, times a random factor from 1 to 2; a share of the copies is lost.
func settledAfter(d *orderrepeater.Decider, random *rand.Rand, usual time.Duration, lost float64) (settled time.Duration, copies int) {
	settled = orderTimeout
	var took time.Duration
	for sentAt := time.Duration(0); ; sentAt += d.Delay("zone") {
		if settled <= sentAt || copies > 0 && !d.TakeRepeat(copies) {
			break
		}
		copies++
		answer := usual + time.Duration(random.Float64()*float64(usual))
		if random.Float64() >= lost && sentAt+answer < settled {
			settled, took = sentAt+answer, answer
		}
	}
	if settled < orderTimeout {
		d.RecordAnswer("zone", took)
	}
	return settled, copies
}

// TestOrdersAreSettledSoonWhileSomeAreLost replays the share of lost orders of the incident.
func TestOrdersAreSettledSoonWhileSomeAreLost(t *testing.T) {
	for _, usual := range []time.Duration{2 * time.Millisecond, 60 * time.Millisecond} {
		d, random := orderrepeater.NewDecider(), rand.New(rand.NewPCG(1, 0))
		const orders = 10_000
		late, sent := 0, 0
		for range orders {
			took, copies := settledAfter(d, random, usual, 0.064)
			sent += copies
			if took > orderTimeout/2 {
				late++
			}
		}
		// A job of five tasks depends on ten orders: with one in 1,000 late, one job in 100 is.
		if late > orders/1000 || sent > orders*12/10 {
			t.Errorf("answers of %s: %d of %d orders are settled late, %d copies", usual, late, orders, sent)
		}
	}
}

// TestRepeatsStayBoundedWhenWorkersTurnSlow: repeats must not add to an overload.
func TestRepeatsStayBoundedWhenWorkersTurnSlow(t *testing.T) {
	d, random := orderrepeater.NewDecider(), rand.New(rand.NewPCG(1, 0))
	for range 1000 {
		settledAfter(d, random, 2*time.Millisecond, 0)
	}
	const orders = 1000
	sent := 0
	for range orders {
		_, copies := settledAfter(d, random, 400*time.Millisecond, 0)
		sent += copies
	}
	if sent > orders*12/10+20 {
		t.Errorf("%d copies of %d orders to slow workers", sent, orders)
	}
}

func TestSyncsAreShortWhileOrdersAreLost(t *testing.T) {
	d, now := orderrepeater.NewDecider(), time.Unix(100, 0)
	if wait := d.SyncWait(2*time.Second, now); wait != 2*time.Second {
		t.Errorf("wait is %s before any loss", wait)
	}
	d.RecordLoss(now)
	if wait := d.SyncWait(2*time.Second, now.Add(time.Second)); wait >= 600*time.Millisecond {
		t.Errorf("wait is %s a second after a loss; an end would be unknown for longer than a job may be late", wait)
	}
	if wait := d.SyncWait(2*time.Second, now.Add(time.Minute)); wait != 2*time.Second {
		t.Errorf("wait is %s a minute after a loss", wait)
	}
}
