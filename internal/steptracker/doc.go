// Package steptracker holds jobs made of steps and what has become of each of their tasks. It is pure:
// no I/O, no clock, no locks; its owner calls it from one goroutine.
//
// # Usage
//
//	if err := job.Validate(); err != nil { … }
//	progress := steptracker.NewProgress(job, acceptedAt)
//	for _, key := range progress.Ready(now) { … progress.Assign(key, run, worker) }
//	progress.RecordEnd(job, key, run, steptracker.Done, "")
//	text, err := progress.Encode()
//
// A task is assigned before its start is sent to a worker, and the record is written to the store in
// between. Whoever reads the records after the loss of a process therefore knows every worker that
// may run a task, and under which run.
package steptracker
