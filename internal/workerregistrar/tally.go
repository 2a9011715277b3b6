package workerregistrar

import "dotterelpost.example/dotterelpost/internal/connector"

// tally keeps track of a worker's records: which ones arrived, and up to which one all of them
// were dealt with, so that the worker may forget them. Records arrive by the heartbeat and also as
// replies to starts, so one may come twice and out of order.
type tally struct {
	confirmed int64
	// open tells of each record after confirmed whether it was dealt with.
	open map[int64]bool
}

// newTally begins after the records that the worker had forgotten when it was fenced.
func newTally(reply connector.FenceReply) tally {
	t := tally{confirmed: reply.Last, open: make(map[int64]bool)}
	if len(reply.Ended) > 0 {
		t.confirmed = reply.Ended[0].Sequence - 1
	}
	return t
}

// arrived tells whether the record is a new one.
func (t *tally) arrived(sequence int64) bool {
	if _, found := t.open[sequence]; found || sequence <= t.confirmed {
		return false
	}
	t.open[sequence] = false
	return true
}

// settled notes that a record was dealt with, and returns up to which one all were.
func (t *tally) settled(sequence int64) int64 {
	if sequence > t.confirmed {
		t.open[sequence] = true
	}
	for t.open[t.confirmed+1] {
		t.confirmed++
		delete(t.open, t.confirmed)
	}
	return t.confirmed
}
