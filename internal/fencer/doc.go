// Package fencer is the link from the owner of a partition to one worker: it fences the worker,
// keeps its leases renewed by one heartbeat a worker, and starts and stops attempts with a certain
// outcome.
//
// # Usage
//
//	link, closeLink := fencer.NewLink(worker, terms, listener, platform, clock)
//	outcome := link.Start(request)      // returns when it is certain, or the link is closed
//	outcome := link.Stop(attempt)
//	link.Confirm(sequence)
//
// A link first fences its worker and reports what the worker runs and finished. It then holds one
// long poll open, which renews all leases of the partition on the worker and brings the records
// of ended tasks as they arise.
//
// Two modes serve the two kinds of worker that we may meet. Workers of the first compare epochs
// and obey none lower than the highest they saw; fencing them takes one call. Workers of the
// second know only when a lease ends: an owner then grants no lease beyond its own ownership, and
// a successor waits until all that its predecessor can have granted are over.
package fencer
