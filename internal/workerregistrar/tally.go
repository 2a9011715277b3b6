package workerregistrar

import "dotterelpost.example/dotterelpost/internal/connector"

// recordTracker tracks the task records of a worker: which ones have arrived, and up to which sequence
// number all have been handled, so that the worker may delete them. Records arrive both with
// heartbeat replies and with replies to starts, so one may arrive twice or out of order.
type recordTracker struct {
	// confirmed is the sequence number up to which all records have been handled.
	confirmed int64
	// handled holds the records after confirmed that have arrived, and whether each has been handled.
	handled map[int64]bool
}

// newRecordTracker returns a tracker that starts after the records that the worker had already deleted
// when it was fenced.
func newRecordTracker(reply connector.FenceReply) recordTracker {
	t := recordTracker{confirmed: reply.Last, handled: make(map[int64]bool)}
	if len(reply.Ended) > 0 {
		t.confirmed = reply.Ended[0].Sequence - 1
	}
	return t
}

// add notes that a record has arrived, and reports whether it is new.
func (t *recordTracker) add(sequence int64) bool {
	if _, found := t.handled[sequence]; found || sequence <= t.confirmed {
		return false
	}
	t.handled[sequence] = false
	return true
}

// markHandled notes that a record has been handled, and returns the sequence number up to which all
// have been.
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
