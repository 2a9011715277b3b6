// Package cellmanager tracks the owner of each cell on behalf of an instance: it forwards calls to
// the owner over the mesh, and claims a cell when the owner's heartbeats stop. A cell consists of one
// service's workers, queues and jobs; it is scheduled by the instance that owns it.
//
// # Usage
//
//	manager, stop := cellmanager.New(settings, dependencies)
//	manager.SetMesh(mesh, address)
//	manager.Start()
//	err := manager.Submit(ctx, queue, job)
//
// A call is retried with the same job ID until an owner answers or the caller's deadline passes; the
// job ID makes retries idempotent. Submit returns an *InDoubtError when it is unknown whether the job
// was accepted.
package cellmanager
