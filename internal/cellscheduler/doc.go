// Package cellscheduler schedules the jobs of one cell: it places the tasks of the jobs in the cell's
// queues on the workers of the cell's service. A single control goroutine holds all state. Calls to
// the store, to workers and to the placement advisor run on other goroutines, which post their results
// to the control goroutine.
//
// # Usage
//
//	c, stop := cellscheduler.Start(claim, settings, dependencies)
//	result, err := c.Submit(ctx, job)
//	state, err := c.State(ctx, id)
//
// Writes to the store precede the actions that depend on them:
//
//   - a job is written before its submission is confirmed;
//   - the assignment of a run to a worker is written before the start order is sent;
//   - the end of a run is written before it is acknowledged to the worker and reported to callers.
//
// Every transaction has the owner's row of the cell as a precondition, so a former owner cannot write.
// Workers reject its orders as soon as they have seen the higher fencing token of its successor.
//
// After a change of owner the stored rows tell which run is assigned to which worker. A run from these
// rows counts as ended only when its worker has seen the new fencing token and does not list the run,
// or when the worker's lease has certainly expired.
package cellscheduler
