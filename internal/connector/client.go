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

// maxReplyBytes limits how much of a reply is read.
const maxReplyBytes = 16 << 20

// UnreachableError reports that a call received no complete reply. NeverSent is set if no connection
// was established, so that the call cannot have had an effect.
type UnreachableError struct {
	Call      string
	NeverSent bool
	Err       error
}

func (e *UnreachableError) Error() string {
	if e.NeverSent {
		return fmt.Sprintf("%s: no connection, the call had no effect: %v", e.Call, e.Err)
	}
	return fmt.Sprintf("%s: no reply, the call may have taken effect: %v", e.Call, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// RefusedError reports that the platform refused a call, which then had no effect. Status is the
// HTTP status: 429 above the rate limit, 503 during an outage.
type RefusedError struct {
	Call   string
	Status int
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: refused with status %d, the call had no effect: %s", e.Call, e.Status, e.Reason)
}

// Client calls the table service, the object store and the instance list at one address, and each
// worker at its own address.
type Client struct {
	baseURL string
	client  *http.Client

	cacheMu sync.Mutex
	cache   cachedList
}

// New returns a client and a function that closes its idle connections.
func New(address netip.AddrPort) (*Client, func()) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	return NewWithTransport(address, transport), transport.CloseIdleConnections
}

// NewWithTransport returns a client that sends its requests through the given transport.
func NewWithTransport(address netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{
		baseURL: "http://" + address.String(),
		client:  &http.Client{Transport: transport},
	}
}

// call sends the payload as JSON and decodes the body of a successful response into reply. Either
// may be nil.
func (c *Client) call(ctx context.Context, method, target string, payload, reply any) error {
	var body io.Reader
	if payload != nil {
		encoded, err := json.Marshal(payload)
		if err != nil {
			return errors.Wrap(err, "encode request to "+target)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return errors.Wrap(err, "build request to "+target)
	}
	status, _, data, err := c.send(request)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return &RefusedError{Call: method + " " + target, Status: status, Reason: string(data)}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &UnreachableError{Call: method + " " + target, Err: err}
	}
	return nil
}

// send sends a request once and reads the reply, up to maxReplyBytes.
func (c *Client) send(request *http.Request) (status int, header http.Header, body []byte, err error) {
	call := request.Method + " " + request.URL.String()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, nil, &UnreachableError{Call: call, NeverSent: isDialFailure(err), Err: err}
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, nil, &UnreachableError{Call: call, Err: err}
	}
	return response.StatusCode, response.Header, body, nil
}

func isDialFailure(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// endpoint returns the URL of a path below the platform's address.
func (c *Client) endpoint(parts ...string) string {
	target, err := url.JoinPath(c.baseURL, parts...)
	if err != nil {
		return c.baseURL
	}
	return target
}
