// Package apiserver is the front door for callers: HTTP and JSON by net/http.
//
// # Usage
//
//	handler := apiserver.New(apiserver.Settings{Tokens: tokens}, dependencies)
//	http.Serve(listener, handler)
//
// The interface:
//
//	POST   /v1/requests          a quick request; the answer comes on the connection
//	POST   /v1/jobs              a batch, gang or standing-service job; accepted when written
//	GET    /v1/jobs/{key}        the state of a key; ?wait=30s holds the answer until it is final
//	DELETE /v1/jobs/{key}        cancels, and answers what became of it
//
// The header Idempotency-Key names the request. The same key again gives the same work, from
// whichever instance; the same key with another body is refused. Errors are problem documents
// whose field "ran" says whether anything ran: "no" is proved, "unknown" asks the caller to come
// back with the same key.
package apiserver
