// Package authenticator identifies the sender of an HTTP request by its bearer token.
//
// # Usage
//
//	a := authenticator.New(map[string]string{"crew-porto": secret})
//	name, known := a.Authenticate(request)
//
// The digest of the token is compared with the digests of all known tokens in constant time, so the
// response time reveals nothing about them. Tokens are never logged.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Digest is the digest of a token. Tokens themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// principal is a client that is allowed access, with the digest of its token.
type principal struct {
	name   string
	digest Digest
}

// Authenticator identifies the principals of one kind of access, such as callers or operators.
type Authenticator struct {
	principals []principal
}

// New returns an Authenticator. Tokens maps the names of the principals to their tokens.
func New(tokens map[string]string) *Authenticator {
	a := &Authenticator{}
	for name, token := range tokens {
		a.principals = append(a.principals, principal{name: name, digest: DigestOf(token)})
	}
	return a
}

// Authenticate returns the name of the principal whose bearer token the request carries, and false
// if the token is missing or unknown.
func (a *Authenticator) Authenticate(request *http.Request) (name string, known bool) {
	scheme, token, found := strings.Cut(request.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	digest := DigestOf(token)
	for i := range a.principals {
		if subtle.ConstantTimeCompare(a.principals[i].digest[:], digest[:]) == 1 {
			name, known = a.principals[i].name, true
		}
	}
	return name, known
}
