package connector_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// listTransport answers every request with a list.
type listTransport string

func (l listTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(l)))}, nil
}

func list(t *testing.T, text string) (connector.InstanceList, error) {
	t.Helper()
	client := connector.NewWithTransport(netip.MustParseAddrPort("127.0.0.1:1"), listTransport(text))
	return client.List(t.Context(), "north")
}

const validWorker = `{"name":"w","rack":"r1","capacity":{"processors":16,"memory":"32GB"},"slots":8,"address":"10.0.0.1:80"}`

// TestOddEntryHidesNoOther: an entry of the list that describes no worker is left out, and all others are used.
func TestOddEntryHidesNoOther(t *testing.T) {
	for name, odd := range map[string]string{
		"nested deeply":         strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"nested in a field":     strings.Replace(validWorker, `"r1"`, strings.Repeat(`{"a":`, 20000)+"1"+strings.Repeat("}", 20000), 1),
		"number out of range":   strings.Replace(validWorker, `"processors":16`, `"processors":1e400`, 1),
		"too many processors":   strings.Replace(validWorker, `"processors":16`, `"processors":1e300`, 1),
		"more than a worker":    strings.Replace(validWorker, `"processors":16`, `"processors":1025`, 1),
		"negative":              strings.Replace(validWorker, `"processors":16`, `"processors":-1`, 1),
		"too much memory":       strings.Replace(validWorker, "32GB", "999999PB", 1),
		"slots out of range":    strings.Replace(validWorker, `"slots":8`, `"slots":9223372036854775807`, 1),
		"port out of range":     strings.Replace(validWorker, ":80", ":70000", 1),
		"port 0":                strings.Replace(validWorker, ":80", ":0", 1),
		"unspecified address":   strings.Replace(validWorker, "10.0.0.1", "0.0.0.0", 1),
		"null":                  "null",
		"list":                  "[1,2]",
		"text":                  `"]},{"`,
		"number":                "17",
		"field of another type": strings.Replace(validWorker, `"w"`, "7", 1),
		"no name":               strings.Replace(validWorker, `"w"`, `""`, 1),
	} {
		got, err := list(t, `{"version":[{"x":1}],"workers":[`+validWorker+", "+odd+" ,"+validWorker+`],"instances":[{"name":"i","mesh":"10.0.0.2:1"},`+odd+`],"empty":null}`)
		if err != nil || len(got.Workers) != 2 || got.Workers[1].Slots != 8 || len(got.Instances) < 1 || got.Invalid < 1 {
			t.Errorf("%s: %d workers, %d instances, %d invalid, error %v", name, len(got.Workers), len(got.Instances), got.Invalid, err)
		}
	}
	for name, text := range map[string]string{"no JSON": "\xff", "a list": "[]", "cut off": `{"workers":[` + validWorker} {
		if got, err := list(t, text); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
