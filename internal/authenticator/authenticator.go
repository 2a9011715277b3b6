// Package authenticator tells who holds a bearer token.
//
// # Usage
//
//	tokens := authenticator.New(map[string]string{"crew-porto": secret})
//	name, known := tokens.Authenticate(request)
//
// Tokens are compared by digest and in constant time, all of them at every request, so that the
// time of an answer tells nothing. No token is ever logged.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// holder is a name with the digest of its token.
type principal struct {
	subject string
	digest  [sha256.Size]byte
}

// Tokens are the holders of one kind of access.
type Authenticator struct {
	holders []principal
}

// New returns the tokens of holders by name.
func New(tokens map[string]string) *Authenticator {
	t := &Authenticator{}
	for name, token := range tokens {
		t.holders = append(t.holders, principal{subject: name, digest: sha256.Sum256([]byte(token))})
	}
	return t
}

// Authenticate returns the name that belongs to a request's bearer token.
func (t *Authenticator) Authenticate(request *http.Request) (name string, known bool) {
	scheme, token, found := strings.Cut(request.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	digest := sha256.Sum256([]byte(token))
	for i := range t.holders {
		if subtle.ConstantTimeCompare(t.holders[i].digest[:], digest[:]) == 1 {
			name, known = t.holders[i].subject, true
		}
	}
	return name, known
}
