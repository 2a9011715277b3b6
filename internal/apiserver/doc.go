// Package apiserver serves the HTTP API for callers.
//
// # Usage
//
//	handler := apiserver.New(dependencies)
//	http.Serve(listener, handler)
//
// The endpoints are:
//
//	POST   /v1/requests          submits a quick request and returns its final answer
//	POST   /v1/jobs              submits a batch, gang or standing-service job; returns once it is durable
//	GET    /v1/jobs/{key}        returns the state of a key; ?wait=30s waits up to 30 s for a final state
//	DELETE /v1/jobs/{key}        cancels a job and returns its resulting state
//
// The header Idempotency-Key identifies the request. A request that is repeated with the same key, on
// any instance, refers to the same job; the same key with a different body is refused. Errors are
// problem documents (RFC 9457). Their field "ran" is "no" if it is certain that the request started
// nothing, and "unknown" if the caller must retry with the same key to find out.
package apiserver
