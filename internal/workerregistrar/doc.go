// Package workerregistrar keeps the workers of one partition: which ones the platform lists, whether each
// was fenced, in which boot it is, which of its records were dealt with, and when it counts as
// gone. It knows nothing of jobs.
//
// # Usage
//
//	registrar := workerregistrar.New(settings, dependencies)
//	registrar.Apply(workers)                  // the platform's list, for the racks of the partition
//	registrar.RestoreBoots(tracker.Workers)  // once the journal has been read
//	if registrar.AllAccountedFor() { … }    // no task of an earlier owner can be running unnoticed
//	registrar.RemoveGone(now)
//
// A site is the number of a worker here; numbers are never reused. All methods belong to the
// control goroutine; what links report is handed over by Dependencies.Post.
//
// # Who has to be accounted for
//
// A worker gets its first task only after the journal shows that it may have tasks, in its present
// boot. A successor therefore knows every worker that can hold one: those that the list shows are
// fenced; one that the list does not show any more is waited out until its leases are over; one
// that is in another boot has lost its tasks. In the last two cases a task may have run and left
// no trace, which the successor keeps in mind as "forgetful".
package workerregistrar
