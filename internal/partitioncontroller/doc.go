// Package partitioncontroller holds the control goroutine of an instance: all state of the partitions that the
// instance owns belongs to it, and callers, worker links and the journal hand it messages.
//
// # Usage
//
//	control, stop := partitioncontroller.New(settings, dependencies)
//	control.Adopt(partitionscheduler.Grant{Partition: "north-1", Epoch: 7, Version: version})
//	answer, err := control.Submit(ctx, partitionscheduler.Submission{Partition: "north-1", Key: key, Job: job})
//	state, err := control.HandOver(ctx, "north-1")
//	control.Drop("north-1", 7)
//
// One goroutine serves all partitions, so that no decision needs a lock. It never waits for
// anything: what takes time runs on goroutines of its own and reports back as a message.
package partitioncontroller
