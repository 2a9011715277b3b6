// Package partitionscheduler schedules one partition that this instance owns: it accepts jobs,
// places their tasks, tracks them on the workers and answers queries about them. A partition consists
// of the workers on some racks of a region, and the jobs submitted to it. All methods must be called
// on the control goroutine, which package partitioncontroller runs.
//
// # Usage
//
//	partition := partitionscheduler.New(grant, settings, dependencies)
//	partition.Load(grant)
//	partition.Submit(submission, digest, reply)
//	partition.ScheduleRound()             // after each batch of messages
//	partition.Tick(now)                   // once a second
//	partition.HandOver(handover)          // to another instance
//	partition.Close()
//
// # Order of writes and sends
//
// The acceptance of a durable job is reported only after its Accepted entry is written. A task that
// is not repeatable is sent to a worker only after its Permitted entry is written. The end of a
// task of a durable job is reported, and confirmed to the worker, only after its Ended entry is
// written; until then the worker keeps its record of the end. The process may therefore crash
// between any two of these steps.
//
// # Reconciliation
//
// After the adoption of a partition, tasks that an earlier owner may have started are not placed
// until the partition is reconciled: every worker of the partition must have accepted the new epoch
// and reported its tasks, or must have left the platform's list of workers and hold no lease that is
// still valid.
// Durable jobs accepted later need not wait, because the journal proves that nobody accepted them
// before. Quick requests are not in the journal, so they wait for reconciliation too.
package partitionscheduler
