// Package steptracker defines jobs that consist of steps and tracks the progress of their tasks. It
// does no I/O, reads no clock and takes no locks; all calls must come from one goroutine.
//
// # Usage
//
//	if err := job.Validate(); err != nil { … }
//	progress := steptracker.NewProgress(job, acceptedAt)
//	progress.OpenDue(job, now)
//	progress.Assign(key, run, incarnation)
//	progress.RecordEnd(job, key, run, steptracker.Done)
//	progress.UpdateState(job, maxFailures, now)
//	data, err := progress.Encode()
//
// A task is assigned first, then the progress is written to the store, and only then is the start
// sent to the worker. After a crash of the scheduler, the stored progress therefore shows every
// worker that may be running a task, and the number of the run.
package steptracker
