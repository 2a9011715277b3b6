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

// maxAnswerBytes is the maximum number of bytes that are read of a response body.
const maxAnswerBytes = 16 << 20

// Settings configures a Client. Endpoints holds the address of the load balancer, or the addresses of
// instances, which are used in turn.
type Settings struct {
	Endpoints []netip.AddrPort
	Token     string
	// Clock defaults to the real clock if nil.
	Clock clockwork.Clock
}

// Client sends requests to dotterelpost instances. It is safe for concurrent use.
type Client struct {
	settings      Settings
	http          *http.Client
	endpointIndex atomic.Uint64
}

// New returns a Client and a function that closes its idle connections.
func New(settings Settings) (*Client, func()) {
	if settings.Clock == nil {
		settings.Clock = clockwork.NewRealClock()
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{settings: settings, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Request sends a quick request and returns its final answer.
func (c *Client) Request(ctx context.Context, key string, job Job) (Answer, error) {
	return c.callWithRetries(ctx, apiCall{method: http.MethodPost, path: "/v1/requests", key: key, job: &job, untilFinal: true})
}

// Submit sends a job and returns as soon as it is accepted.
func (c *Client) Submit(ctx context.Context, key string, job Job) (Answer, error) {
	return c.callWithRetries(ctx, apiCall{method: http.MethodPost, path: "/v1/jobs", key: key, job: &job})
}

// Status returns the current state of a key.
func (c *Client) Status(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs/" + key, key: key})
}

// Wait waits until the state of a key is final and returns the answer.
func (c *Client) Wait(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs/" + key + "?wait=20s", key: key, untilFinal: true})
}

// Cancel cancels the job with a key and returns its final answer.
func (c *Client) Cancel(ctx context.Context, key string) (Answer, error) {
	return c.callWithRetries(ctx, apiCall{method: http.MethodDelete, path: "/v1/jobs/" + key, key: key, untilFinal: true})
}

// apiCall is an API call for a key. If untilFinal is set, it is repeated until the answer is final.
type apiCall struct {
	method, path, key string
	job               *Job
	untilFinal        bool
}

func (c *Client) callWithRetries(ctx context.Context, call apiCall) (Answer, error) {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = 20 * time.Millisecond
	retryDelays.MaxInterval = time.Second
	var lastErr error
	for {
		answer, err := c.callOnce(ctx, call)
		if err == nil && (!call.untilFinal || answer.State.Final()) {
			return answer, nil
		}
		if err != nil && !isRetryable(err) {
			return answer, err
		}
		if err != nil && ctx.Err() == nil {
			lastErr = err
		}
		delay := retryDelays.NextBackOff()
		var problem *ProblemError
		if errors.As(err, &problem) {
			delay = max(delay, min(problem.RetryAfter, time.Second))
		}
		select {
		case <-ctx.Done():
			if lastErr == nil {
				lastErr = ctx.Err()
			}
			return answer, &UndecidedError{Key: call.key, Err: lastErr}
		case <-c.settings.Clock.After(delay):
		}
	}
}

// isRetryable reports whether a failure may be temporary. Any call can be retried safely because it
// carries its idempotency key, but retrying a permanent failure would be useless.
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

func (c *Client) callOnce(ctx context.Context, call apiCall) (Answer, error) {
	var answer Answer
	var body io.Reader
	if call.job != nil {
		data, err := json.Marshal(call.job)
		if err != nil {
			return answer, errors.Wrap(err, "encode job")
		}
		body = bytes.NewReader(data)
	}
	endpoint := c.settings.Endpoints[int(c.endpointIndex.Add(1)%uint64(len(c.settings.Endpoints)))]
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+endpoint.String()+call.path, body)
	if err != nil {
		return answer, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Token)
	request.Header.Set("Idempotency-Key", call.key)
	reply, err := c.http.Do(request)
	if err != nil {
		return answer, errors.Wrap(err, "call "+endpoint.String())
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return answer, errors.Wrap(err, "read answer")
	}
	if reply.StatusCode/100 != 2 {
		return answer, problemOf(reply, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil || !isComplete(&answer, call.key) {
		return Answer{}, &DamagedError{Key: call.key}
	}
	return answer, nil
}

func problemOf(reply *http.Response, data []byte) error {
	problem := &ProblemError{Problem: Problem{Status: reply.StatusCode, Title: reply.Status, Ran: "unknown"}}
	// The error page of a load balancer is not a problem document; then only the status is known.
	_ = json.Unmarshal(data, &problem.Problem)
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil {
		problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return problem
}

// isComplete reports whether an answer belongs to the key and none of its results is truncated.
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
