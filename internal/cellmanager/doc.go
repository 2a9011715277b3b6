// Package cellmanager answers for an instance: it knows who owns each cell, hands calls on to the owner
// over the mesh, and takes a cell over when its owner is silent.
//
// # Usage
//
//	d, stop := cellmanager.New(settings, dependencies)
//	d.Follow()
//	outcome, err := d.Submit(ctx, queue, job)
//
// A call is repeated with the same job id until somebody answers or the caller's time is over: the id
// makes that harmless. An error that is no refusal means that it is not known whether the job was
// accepted.
package cellmanager
