package bodylimiter

import (
	"container/list"
	"time"
)

// Reason says why a body was ended before it was whole.
type Reason string

// The reasons.
const (
	// BudgetFull means that bodies that are being ended or decoded hold the whole budget.
	BudgetFull Reason = "budget-full"
	// GaveWay means that the body had been open longest, or without progress, when others needed the budget.
	GaveWay Reason = "gave-way"
	// NoProgress means that nothing arrived for stallTimeout.
	NoProgress Reason = "no-progress"
	// TooSlow means that the body was not whole within the time that its caller waits.
	TooSlow Reason = "too-slow"
)

const (
	// pressureNumerator / pressureDenominator is the part of the budget above which bodies give way. The rest is for
	// those that were told to end and have not yet returned what they hold.
	pressureNumerator, pressureDenominator = 3, 4
	// slowAfter is the time without progress after which a body gives way before older ones.
	slowAfter = time.Second
)

// ledger decides which bodies may hold memory. It does no I/O and reads no clock.
type ledger struct {
	budget int64
	// held is what all bodies hold, and ending the part of it that belongs to bodies told to end.
	held, ending int64
	// open lists the incomplete bodies that were not told to end by the time of opening, and byProgress the same
	// bodies by the time of their last progress.
	open, byProgress list.List
}

// entry is a body in a ledger.
type entry struct {
	held               int64
	opened, progressed time.Time
	// reason is set when the body is told to end.
	reason                    Reason
	openElement, pacedElement *list.Element
	// interrupt makes the body's goroutine notice that it was told to end.
	interrupt func()
}

// add adds a body that holds nothing yet.
func (l *ledger) add(e *entry, now time.Time) {
	e.opened, e.progressed = now, now
	e.openElement, e.pacedElement = l.open.PushBack(e), l.byProgress.PushBack(e)
}

// progress records that bytes of an incomplete body have arrived.
func (l *ledger) progress(e *entry, now time.Time) {
	e.progressed = now
	if e.pacedElement != nil {
		l.byProgress.MoveToBack(e.pacedElement)
	}
}

// close removes a body from the incomplete ones: it is whole or was told to end.
func (l *ledger) close(e *entry) {
	if e.openElement != nil {
		l.open.Remove(e.openElement)
		l.byProgress.Remove(e.pacedElement)
		e.openElement, e.pacedElement = nil, nil
	}
}

// end tells a body to end.
func (l *ledger) end(e *entry, reason Reason) {
	l.close(e)
	e.reason = reason
	l.ending += e.held
}

// give returns what a body holds.
func (l *ledger) give(e *entry, amount int64) {
	e.held -= amount
	l.held -= amount
	if e.reason != "" {
		l.ending -= amount
	}
}

// take decides whether an incomplete body may hold more. It ends others that give way to it. If refusal is not
// empty, the body itself has been told to end.
func (l *ledger) take(e *entry, amount int64, now time.Time) (refusal Reason, ended []*entry) {
	for l.held-l.ending+amount > l.budget/pressureDenominator*pressureNumerator && l.open.Len() > 1 {
		next := l.nextToEnd(now)
		if next == e {
			l.end(e, GaveWay)
			return GaveWay, ended
		}
		l.end(next, GaveWay)
		ended = append(ended, next)
	}
	if l.held+amount > l.budget && l.held > e.held {
		l.end(e, BudgetFull)
		return BudgetFull, ended
	}
	e.held += amount
	l.held += amount
	return "", ended
}

// nextToEnd returns the incomplete body that gives way first.
func (l *ledger) nextToEnd(now time.Time) *entry {
	if slowest := l.byProgress.Front().Value.(*entry); now.Sub(slowest.progressed) >= slowAfter {
		return slowest
	}
	return l.open.Front().Value.(*entry)
}
