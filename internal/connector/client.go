package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// maxReplyBytes bounds what is read of any reply of the platform.
const maxReplyBytes = 16 << 20

// UnreachableError tells that a call has no answer. NeverSent is set when no connection came
// about, so that the call can't have had an effect.
type UnreachableError struct {
	Call      string
	NeverSent bool
	Err       error
}

func (e *UnreachableError) Error() string {
	if e.NeverSent {
		return fmt.Sprintf("%s: no connection, so nothing was done: %v", e.Call, e.Err)
	}
	return fmt.Sprintf("%s: no answer, it may have taken effect: %v", e.Call, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// RefusedError tells that the platform answered and did nothing. Status is its HTTP status:
// 429 over the rate limit, 503 in an outage.
type RefusedError struct {
	Call   string
	Status int
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: refused with status %d, nothing was done: %s", e.Call, e.Status, e.Reason)
}

// Client is a client of the table service, the object store and the instance list at one
// address, and of every worker at the worker's own address.
type Client struct {
	base   string
	client *http.Client

	listMu sync.Mutex
	list   knownList
}

// New returns a client; its clean-up function closes idle connections.
func New(address netip.AddrPort) (*Client, func()) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	return NewWithTransport(address, transport), transport.CloseIdleConnections
}

// NewWithTransport returns a client that sends through a transport of the caller's.
func NewWithTransport(address netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{
		base:   "http://" + address.String(),
		client: &http.Client{Transport: transport},
	}
}

func (p *Client) call(ctx context.Context, method, target string, ask, reply any) error {
	var body io.Reader
	if ask != nil {
		text, err := json.Marshal(ask)
		if err != nil {
			return errors.Wrap(err, "encode "+target)
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return errors.Wrap(err, "build "+target)
	}
	status, _, text, err := p.send(request)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return &RefusedError{Call: method + " " + target, Status: status, Reason: string(text)}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return &UnreachableError{Call: method + " " + target, Err: err}
	}
	return nil
}

// send sends a request once and reads its whole reply.
func (p *Client) send(request *http.Request) (status int, header http.Header, text []byte, err error) {
	call := request.Method + " " + request.URL.String()
	answer, err := p.client.Do(request)
	if err != nil {
		return 0, nil, nil, &UnreachableError{Call: call, NeverSent: isDialFailure(err), Err: err}
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(io.LimitReader(answer.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, nil, &UnreachableError{Call: call, Err: err}
	}
	return answer.StatusCode, answer.Header, text, nil
}

func isDialFailure(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (p *Client) path(parts ...string) string {
	target, err := url.JoinPath(p.base, parts...)
	if err != nil {
		return p.base
	}
	return target
}
