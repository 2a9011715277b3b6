// Package caller is the Go client for callers of dotterelpost.
//
// # Usage
//
//	client, closeClient := caller.New(caller.Settings{
//		Endpoints: []netip.AddrPort{balancer},
//		Token:     token,
//	})
//	defer closeClient()
//	answer, err := client.Request(ctx, "quote-2026-1204-17", caller.Job{
//		Class: caller.Quick, Needs: needs, Repeatable: true, Payload: payload,
//	})
//
// Each call carries the caller's key, so the client repeats it safely: after a broken connection,
// after a refusal that asks for patience, and while the answer is not known yet, until the context
// ends. An answer that belongs to another key or was cut short is not taken, and asked for again.
//
// A final answer is one of done, not-run, stopped and unknown. A *ProblemError that is returned
// says in Ran whether anything ran. When the context ends first, the last problem is wrapped in an
// *UndecidedError: ask again later with the same key.
package caller
