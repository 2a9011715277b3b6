package workerregistrar

import "dotterelpost.example/dotterelpost/internal/connector"

// recordTracker keeps track of a worker's records: which ones arrived, and up to which one all of them
// were dealt with, so that the worker may forget them. Records arrive by the heartbeat and also as
// replies to starts, so one may come twice and out of order.
type recordTracker struct {
	confirmed int64
	// handled tells of each record after confirmed whether it was dealt with.
	handled map[int64]bool
}

// newRecordTracker begins after the records that the worker had forgotten when it was fenced.
func newRecordTracker(reply connector.FenceReply) recordTracker {
	t := recordTracker{confirmed: reply.Last, handled: make(map[int64]bool)}
	if len(reply.Ended) > 0 {
		t.confirmed = reply.Ended[0].Sequence - 1
	}
	return t
}

// add tells whether the record is a new one.
func (t *recordTracker) add(sequence int64) bool {
	if _, found := t.handled[sequence]; found || sequence <= t.confirmed {
		return false
	}
	t.handled[sequence] = false
	return true
}

// markHandled notes that a record was dealt with, and returns up to which one all were.
func (t *recordTracker) markHandled(sequence int64) int64 {
	if sequence > t.confirmed {
		t.handled[sequence] = true
	}
	for t.handled[t.confirmed+1] {
		t.confirmed++
		delete(t.handled, t.confirmed)
	}
	return t.confirmed
}
