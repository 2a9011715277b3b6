// Package owner decides for the partitions that this instance owns. All of its state belongs to
// one control goroutine; callers, worker links and the journal hand it messages.
//
// # Usage
//
//	control, stop := owner.New(settings, dependencies)
//	control.Adopt(owner.Grant{Partition: "north-1", Epoch: 7, Version: version})
//	answer, err := control.Submit(ctx, owner.Submission{Partition: "north-1", Key: key, Job: job})
//	state, err := control.Yield(ctx, "north-1")
//	control.Drop("north-1")
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
package owner
