// Package mesher is the peer-to-peer transport between instances. It exchanges length-delimited
// protobuf frames over long-lived TCP connections served by gnet.
//
// # Usage
//
//	mesh, stop, err := mesher.New(settings, dependencies)
//	mesh.SetPeers(instances)
//	reply, err := mesh.Call(ctx, "north-a", call)
//
// Each instance dials every other instance and sends its calls and heartbeats over the connection
// that it dialled. Replies are returned on the connection that carried the call. A frame that is too
// long, cannot be decoded or arrives before a hello with a valid token is counted as a bad frame, and
// the connection is closed.
//
// A call whose connection breaks returns a *LinkError. It is then unknown whether the call took
// effect. Retrying is safe because every call carries the caller's idempotency key.
package mesher
