// Package connector is the client of the stand-alone platform: the table service, the object store,
// the instance list and the workers, all with JSON over HTTP. It also defines the store types that
// package platform, the adapter to an external platform, shares.
//
// # Usage
//
//	client, closeClient := connector.New(address)
//	outcome, err := client.Transact(ctx, connector.Transaction{ID: id, Puts: puts})
//	reply, err := client.Start(ctx, worker, connector.StartRequest{Attempt: attempt})
//
// Every call returns the reply of the other side, a *RefusedError or an *UnreachableError. An
// *UnreachableError with NeverSent guarantees that the call had no effect; without NeverSent the
// call may have taken effect, and the user of this package has to find out. No call is retried.
package connector
