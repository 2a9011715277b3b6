package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 16 << 20

// Settings of a client. Endpoints are the balancer, or entry instances to take turns with.
type Settings struct {
	Endpoints []netip.AddrPort
	Token     string
	// Clock is the real one if nil.
	Clock clockwork.Clock
}

// Client calls entry instances. It is safe for many goroutines.
type Client struct {
	settings      Settings
	http          *http.Client
	endpointIndex atomic.Uint64
}

// New returns a client; its clean-up function closes idle connections.
func New(settings Settings) (*Client, func()) {
	if settings.Clock == nil {
		settings.Clock = clockwork.NewRealClock()
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{settings: settings, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Request sends a quick request and returns its final answer.
func (c *Client) Request(ctx context.Context, key string, job Job) (Answer, error) {
	return c.callWithRetries(ctx, call{method: http.MethodPost, path: "/v1/requests", key: key, job: &job, final: true})
}

// Submit sends a job and returns as soon as it is accepted.
func (c *Client) Submit(ctx context.Context, key string, job Job) (Answer, error) {
	return c.callWithRetries(ctx, call{method: http.MethodPost, path: "/v1/jobs", key: key, job: &job})
}

// Status returns what is true of a key now.
func (c *Client) Status(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + key, key: key})
}

// Wait returns the final answer of a key.
func (c *Client) Wait(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + key + "?wait=20s", key: key, final: true})
}

// Cancel cancels a key and returns what became of it.
func (c *Client) Cancel(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, call{method: http.MethodDelete, path: "/v1/jobs/" + key, key: key, final: true})
}

// call is one question about a key. With final it is repeated until the answer is.
type call struct {
	method, path, key string
	job               *Job
	final             bool
}

func (c *Client) callWithRetries(ctx context.Context, ask call) (Answer, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = 20 * time.Millisecond
	delays.MaxInterval = time.Second
	var last error
	for {
		answer, err := c.callOnce(ctx, ask)
		if err == nil && (!ask.final || answer.State.Final()) {
			return answer, nil
		}
		if err != nil && !isRetryable(err) {
			return answer, err
		}
		if err != nil && ctx.Err() == nil {
			last = err
		}
		delay := delays.NextBackOff()
		var problem *ProblemError
		if errors.As(err, &problem) {
			delay = max(delay, min(problem.RetryAfter, time.Second))
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return answer, &UndecidedError{Key: ask.key, Err: last}
		case <-c.settings.Clock.After(delay):
		}
	}
}

// isRetryable tells whether a failure may pass. Repeating is always safe; here it is about use.
func isRetryable(err error) bool {
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Problem.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway:
		return true
	}
	return false
}

func (c *Client) callOnce(ctx context.Context, ask call) (Answer, error) {
	var answer Answer
	var body io.Reader
	if ask.job != nil {
		text, err := json.Marshal(ask.job)
		if err != nil {
			return answer, errors.Wrap(err, "encode job")
		}
		body = bytes.NewReader(text)
	}
	endpoint := c.settings.Endpoints[int(c.endpointIndex.Add(1)%uint64(len(c.settings.Endpoints)))]
	request, err := http.NewRequestWithContext(ctx, ask.method, "http://"+endpoint.String()+ask.path, body)
	if err != nil {
		return answer, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Token)
	request.Header.Set("Idempotency-Key", ask.key)
	reply, err := c.http.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "call "+endpoint.String())
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return answer, errors.Wrap(err, "read answer")
	}
	if reply.StatusCode/100 != 2 {
		return answer, problemOf(reply, text)
	}
	if err := json.Unmarshal(text, &answer); err != nil || !isComplete(&answer, ask.key) {
		return Answer{}, &DamagedError{Key: ask.key}
	}
	return answer, nil
}

func problemOf(reply *http.Response, text []byte) error {
	problem := &ProblemError{Problem: Problem{Status: reply.StatusCode, Title: reply.Status, Ran: "unknown"}}
	// A balancer's own error page is no problem document; its status is all there is to know.
	_ = json.Unmarshal(text, &problem.Problem)
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return problem
}

// isComplete tells whether an answer belongs to the key and none of its results was cut.
func isComplete(answer *Answer, key string) bool {
	if !strings.HasSuffix(answer.Key, "/"+key) {
		return false
	}
	for i := range answer.Results {
		if !answer.Results[i].ValidFor(answer.Key) {
			return false
		}
	}
	return true
}
