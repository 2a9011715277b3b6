// Package partitioncontroller runs the control loop of an instance. One goroutine holds the state
// of all partitions that the instance owns; callers, worker links and the journal send it messages.
//
// # Usage
//
//	control, stop := partitioncontroller.New(settings, dependencies)
//	control.Adopt(partitionscheduler.Grant{Partition: "north-1", Epoch: 7, Version: version})
//	answer, err := control.Submit(ctx, submission)
//	state, err := control.HandOver(ctx, "north-1")
//	control.Drop("north-1", 7)
//
// Because a single goroutine serves all partitions, scheduling decisions need no locks. It never
// blocks: slow operations run on their own goroutines and post their results as messages.
package partitioncontroller
