// Package partitionscheduler runs one owned partition: it takes jobs, places their tasks, follows them on
// the workers and answers for them. All of it belongs to the control goroutine.
//
// # Usage
//
//	partition := partitionscheduler.New(grant, dependencies)
//	partition.Load(grant)
//	partition.Submit(submission, digest, reply)
//	partition.Round()                     // after each batch of messages
//	partition.Tick(now)                   // once a second
//	partition.HandOver(handover)          // hand-over
//	partition.Close()
//
// # Order of writes and sends
//
// A durable job is answered only after its Accepted entry is written. A not repeatable task is
// sent only after its Permitted entry is written. A task's end is told to anybody, the worker
// included, only after its Ended entry is written; until then the worker keeps its record. Each
// line of code between two of these steps may be the last one that this process runs.
//
// # Proof
//
// A partition that was just adopted holds back every task that an earlier owner may have started,
// until each worker of the partition obeys the new epoch and has shown its list, or has left the
// platform's list and its leases are over. Jobs that are accepted later are new by proof: the
// journal shows that nobody accepted them before. Quick requests are in no journal, so they wait
// for the same proof.
package partitionscheduler
