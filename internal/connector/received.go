package connector

import "context"

type receivedKey struct{}

// WithReceived returns a context whose calls report each part of a reply that arrives, with its size in bytes.
// A call that still receives its reply is slow but not lost. The functions of ctx are called as well.
func WithReceived(ctx context.Context, received func(size int)) context.Context {
	outer, _ := ctx.Value(receivedKey{}).(func(size int))
	if outer == nil {
		return context.WithValue(ctx, receivedKey{}, received)
	}
	return context.WithValue(ctx, receivedKey{}, func(size int) {
		received(size)
		outer(size)
	})
}

// ReportReceived reports to the functions of a call's context that a part of its reply has arrived. Clients
// of a store call it.
func ReportReceived(ctx context.Context, size int) {
	if received, found := ctx.Value(receivedKey{}).(func(size int)); found {
		received(size)
	}
}
