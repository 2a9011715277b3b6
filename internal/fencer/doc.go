// Package fencer implements the link from the owner of a partition to one worker. A link fences the
// worker, renews the leases of its tasks by heartbeat, and starts and stops attempts until their
// outcome is certain.
//
// # Usage
//
//	link, closeLink := fencer.NewLink(worker, settings, listener, workers, clock)
//	outcome := link.Start(request) // returns when certain, or when the link is closed
//	outcome := link.Stop(attempt, boot)
//	link.Confirm(sequence)
//
// A link first fences its worker and reports which tasks the worker runs and which have ended. It
// then keeps one long poll open, which renews the leases of all tasks of the partition on the
// worker and returns the records of ended tasks as they occur.
//
// There are two fencing modes, for two kinds of workers. Workers of the first kind compare epochs
// and reject requests with an epoch lower than the highest that they have seen; fencing them takes
// one call. Workers of the second kind only know when a lease ends: an owner must not grant a lease
// that ends after its own partition lease, and a successor must wait until all leases that its
// predecessor may have granted have expired.
package fencer
