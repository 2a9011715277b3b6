// Package cellscheduler decides what runs in one cell: a service's workers and the jobs of the queues
// that use them. One goroutine holds all of its state; calls to the store, to workers and to the
// advisor run on others and post what they learn.
//
// # Usage
//
//	c, stop := cellscheduler.Start(claim, settings, dependencies)
//	outcome, err := c.Submit(ctx, queue, job)
//	state, err := c.State(ctx, id)
//
// What is written before what:
//
//   - a job before it is accepted;
//   - where a run goes before its start is sent;
//   - an end before it is acknowledged to the worker and before it is told to callers.
//
// Every write names the owner's row of the cell. An owner that was replaced can't write, and workers
// refuse its orders as soon as they have seen its successor's fence.
//
// After a claim the rows tell which worker may run what. A run is taken for ended only when its
// worker, which has seen the new fence, does not list it, or when the worker's lease is surely over.
package cellscheduler
