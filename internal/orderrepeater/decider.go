package orderrepeater

import "time"

const (
	// maxAttempts bounds how often one order is sent. With one order in ten unanswered, one in a thousand
	// stays unanswered after that.
	maxAttempts = 3
	// initialDelay is the delay of a repeat before any answer has been timed.
	initialDelay = 250 * time.Millisecond
	// minDelay and maxDelay bound the delay. On a calm network answers vary by less than minDelay. After
	// maxDelay the last copy still has a third of orderTimeout for its answer.
	minDelay = 50 * time.Millisecond
	maxDelay = 300 * time.Millisecond
	// deviationFactor, meanGain and deviationGain are those of the retransmission timeout of TCP (RFC 6298).
	deviationFactor = 4
	meanGain        = 0.125
	deviationGain   = 0.25

	// maxBudget is how many orders may be repeated in a row. Each answered order adds budgetPerAnswer, so that
	// repeats never add more than a fifth to the load of workers that have become slow.
	maxBudget       = 20
	budgetPerAnswer = 0.2

	// lossMemory is for how long after an order was answered only when repeated others are expected to be lost.
	lossMemory = 3 * time.Second
	// lossyWait is how long a worker may delay its answer to a sync while orders are lost. Until the sync is
	// repeated, no end of a run on the worker is known.
	lossyWait = 250 * time.Millisecond
)

// Decider decides when an order is repeated. It does no I/O and reads no clock.
type Decider struct {
	// answers holds the times that answers take by availability zone of the worker.
	answers map[string]*answerTime
	budget  float64
	lostAt  time.Time
}

// answerTime estimates how long the answers of workers take.
type answerTime struct{ mean, deviation time.Duration }

// NewDecider returns a decider that knows no answers.
func NewDecider() *Decider {
	return &Decider{answers: make(map[string]*answerTime), budget: maxBudget}
}

// RecordAnswer records that a worker in a zone has answered a copy of an order, and how long after that copy
// was sent, less the time for which the worker was allowed to wait. Answers within that time say nothing about
// those of other orders.
func (d *Decider) RecordAnswer(zone string, took time.Duration) {
	d.budget = min(maxBudget, d.budget+budgetPerAnswer)
	if took <= 0 {
		return
	}
	a := d.answers[zone]
	if a == nil {
		d.answers[zone] = &answerTime{mean: took, deviation: took / 2}
		return
	}
	a.deviation += time.Duration(deviationGain * float64((took-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(meanGain * float64(took-a.mean))
}

// RecordLoss records that a worker has answered a later copy of an order and not the first one.
func (d *Decider) RecordLoss(now time.Time) { d.lostAt = now }

// Delay returns how long after a copy of an order to a worker in a zone the next copy is due. It does not grow
// with the number of copies: what is lost is single orders, and the budget limits the load.
func (d *Decider) Delay(zone string) time.Duration {
	a := d.answers[zone]
	if a == nil {
		return initialDelay
	}
	return min(maxDelay, max(minDelay, a.mean+deviationFactor*a.deviation))
}

// TakeRepeat reports whether an order that was sent a number of times may be sent again now.
func (d *Decider) TakeRepeat(attempts int) bool {
	if attempts >= maxAttempts || d.budget < 1 {
		return false
	}
	d.budget--
	return true
}

// SyncWait returns how long a worker may delay its answer to a sync for which maxWait is left.
func (d *Decider) SyncWait(maxWait time.Duration, now time.Time) time.Duration {
	if d.lostAt.IsZero() || now.Sub(d.lostAt) > lossMemory {
		return maxWait
	}
	return min(maxWait, lossyWait)
}
