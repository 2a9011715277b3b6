// Package caller is the Go client of the dotterelpost API for callers.
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
// Each call carries the caller's idempotency key, so retries are safe. Until the context ends, the
// client retries after a broken connection, after a temporary refusal and while the answer is not known
// yet. It also retries if an answer is truncated or belongs to another key.
//
// The state of a final answer is done, not-run, stopped or unknown. The field Ran in a returned
// *ProblemError shows whether anything may have run. If the context ends before the answer is known,
// the calls return an *UndecidedError that wraps the last error; call again later with the same key.
package caller
