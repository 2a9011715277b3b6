// Package connector speaks the platform's protocols: the table service, the object store, the
// instance list and the workers, all JSON over HTTP by net/http.
//
// # Usage
//
//	platform := connector.New(address, client)
//	outcome, err := platform.Transact(ctx, connector.Transaction{ID: id, Puts: puts})
//	reply, err := platform.Start(ctx, worker, connector.StartRequest{Attempt: attempt})
//
// Every call either returns what the other side said, or an *UnreachableError. Only the latter's
// NeverSent makes "nothing happened" certain: without it the call may have taken effect, and the
// caller of this package has to find out. Nothing is repeated here.
package connector
