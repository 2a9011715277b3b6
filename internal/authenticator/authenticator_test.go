package authenticator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"dotterelpost.example/dotterelpost/internal/authenticator"
)

func TestAuthenticate(t *testing.T) {
	a := authenticator.New(map[string]string{"crew": "secret", "stranger": "other"})
	for header, want := range map[string]string{
		"Bearer secret": "crew", "bearer other": "stranger", "Bearer wrong": "", "Basic secret": "", "Bearer": "", "": "",
		"Bearer secret ": "",
	} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
		if header != "" {
			request.Header.Set("Authorization", header)
		}
		if name, known := a.Authenticate(request); name != want || known != (want != "") {
			t.Errorf("%q: got %q, %t, want %q", header, name, known, want)
		}
	}
}

// TestKeysOfSeveralPrincipals: a principal may hold several tokens, and a token that two hold belongs to the
// first.
func TestKeysOfSeveralPrincipals(t *testing.T) {
	digest := authenticator.DigestOf
	a := authenticator.NewOfDigests([]authenticator.Principal{
		{Name: "a", Digests: []authenticator.Digest{digest("a1"), digest("a2")}},
		{Name: "b", Digests: []authenticator.Digest{digest("b1"), digest("a2")}},
		{Name: "none"},
	})
	for token, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "": "", "A1": ""} {
		if name, known := a.Resolve(digest(token)); name != want || known != (want != "") {
			t.Errorf("%q: got %q, %t, want %q", token, name, known, want)
		}
	}
}

// BenchmarkResolve identifies the principal of a token as each request does.
func BenchmarkResolve(b *testing.B) {
	for _, teams := range []int{20, 2000} {
		principals := make([]authenticator.Principal, teams)
		tokens := make([]string, teams)
		for i := range principals {
			tokens[i] = fmt.Sprintf("key-of-team-%08d", i)
			principals[i] = authenticator.Principal{Name: fmt.Sprint(i), Digests: []authenticator.Digest{
				authenticator.DigestOf(tokens[i] + "-old"), authenticator.DigestOf(tokens[i]),
			}}
		}
		a := authenticator.NewOfDigests(principals)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				if _, known := a.Resolve(authenticator.DigestOf(tokens[i%teams])); !known {
					b.Fatal("a known token was not resolved")
				}
			}
		})
	}
}
