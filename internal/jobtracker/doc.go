// Package jobtracker tracks the state of the jobs and tasks of one partition. It is a pure state
// machine: its inputs are journal entries and the task lists of workers, its outputs are answers to
// callers. It does no I/O and must be used from a single goroutine.
//
// # Usage
//
//	tracker := jobtracker.New()
//	err := tracker.Restore(snapshot, entries)                    // replay the journal
//	tracker.AdoptRunning(index, worker, boot, running)           // add what the workers run
//	queue, final := tracker.ResolveUnverified(evidence, bootOf)  // decide about the other tasks
//	answer := job.Answer()
//
// The central invariant is that a task is queued only if no earlier attempt of it runs or can still
// start. A task that was read from the journal is Unverified until every worker of the partition
// has been fenced under the new epoch and has sent its task list; ResolveUnverified then decides
// about it.
package jobtracker
