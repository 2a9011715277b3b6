// Package mesher connects the entry instances with each other: long-lived TCP connections by gnet
// that carry length-delimited protobuf frames.
//
// # Usage
//
//	mesh, stop, err := mesher.New(settings, dependencies)
//	mesh.SetPeers(instances)
//	reply, err := mesh.Call(ctx, "north-a", call)
//
// Each instance dials every other one and sends its calls and heartbeats over the connection that
// it dialled; replies come back on the connection of the call. A frame that is too long, can't be
// decoded or comes before a hello with the right token closes the connection and is counted.
//
// A call whose connection breaks ends with a *LinkError. Whether it took effect is not known then,
// which does no harm: every call carries the caller's key and may be repeated.
package mesher
