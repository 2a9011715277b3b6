// Package workerregistrar keeps track of the workers of one partition: which ones the platform lists,
// whether each has been fenced, its current boot (which changes whenever the worker restarts), which of
// its task records have been handled, and when it is considered gone. It does not deal with jobs.
//
// # Usage
//
//	registrar := workerregistrar.New(settings, dependencies)
//	registrar.ApplyList(workers)             // the platform's list, for the racks of the partition
//	registrar.RestoreBoots(tracker.Workers)  // once the journal has been read
//	if registrar.AllAccountedFor() { … }     // no task of an earlier owner can be running unnoticed
//	registrar.RemoveGone(now)
//
// Workers are identified by index; indexes are never reused. All methods must be called on the control
// goroutine of the partition controller. Reports of the links are passed to it through
// Dependencies.Post.
//
// # Accounting for the tasks of an earlier owner
//
// A worker gets its first task only after a journal entry has recorded that the worker may have tasks
// in its current boot. A successor therefore knows every worker that can have one. It fences those
// that the platform lists. For one that is no longer listed it waits until all its leases have
// expired. One that has a different boot has restarted and lost its tasks. In the last two cases a
// task may have run without leaving a record, which MayHaveLostTasks reports.
package workerregistrar
