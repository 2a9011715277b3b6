package apiserver_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/apiserver"
	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionrouter"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// fakeRouter answers as the routed owner would. With entered set it tells of each call and waits.
type fakeRouter struct {
	answer  modeler.Answer
	err     error
	entered chan struct{}
}

func (o *fakeRouter) reply(ctx context.Context) (modeler.Answer, error) {
	if o.entered != nil {
		o.entered <- struct{}{}
		<-ctx.Done()
	}
	return o.answer, o.err
}

func (o *fakeRouter) Submit(ctx context.Context, _, _ string, _ []byte, _ bool) (modeler.Answer, error) {
	return o.reply(ctx)
}

func (o *fakeRouter) Status(ctx context.Context, _, _ string, _ bool) (modeler.Answer, error) {
	return o.reply(ctx)
}

func (o *fakeRouter) Cancel(ctx context.Context, _, _ string) (modeler.Answer, error) {
	return o.reply(ctx)
}

func newServer(o *fakeRouter) *apiserver.Server {
	state := &ticketer.State{Number: 1}
	state.Contracts = []ticketer.Contract{{Caller: "crew", Team: "roofers", HomeRegion: "north", RequestsInFlight: 1}}
	return apiserver.New(apiserver.Dependencies{
		Router:        o,
		Authenticator: authenticator.New(map[string]string{"crew": "token-of-the-crew", "stranger": "token-of-a-stranger"}),
		Tickets:       func() *ticketer.State { return state },
		Log:           slog.New(slog.DiscardHandler),
		ShuttingDown:  make(chan struct{}),
	})
}

func send(ctx context.Context, door http.Handler, method, path, token, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	door.ServeHTTP(recorder, request)
	return recorder
}

const quickRequest = `{"class": "quick", "needs": {"processors": 1, "memory": "1MB"}, "repeatable": true}`

func expectProblem(t *testing.T, reply *httptest.ResponseRecorder, status int, ran apiserver.Ran, detail string) {
	t.Helper()
	var problem apiserver.Problem
	if err := json.Unmarshal(reply.Body.Bytes(), &problem); err != nil {
		t.Fatalf("%q is no problem document: %v", reply.Body, err)
	}
	if reply.Code != status || problem.Ran != ran || !strings.Contains(problem.Detail, detail) {
		t.Errorf("got %d, ran %q, %q; want %d, %q, %q", reply.Code, problem.Ran, problem.Detail, status, ran, detail)
	}
	if reply.Header().Get("Content-Type") != "application/problem+json" {
		t.Errorf("content type %q", reply.Header().Get("Content-Type"))
	}
	if (status == 429 || status == 503) && reply.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestBadRequestsNeverReachAnOwner(t *testing.T) {
	door := newServer(&fakeRouter{entered: nil, err: &modeler.UndecidedError{Key: "an owner was asked"}})
	for _, c := range []struct {
		name, token, path, key, body string
		status                       int
		detail                       string
	}{
		{"no token", "", "/v1/requests", "k", quickRequest, 401, "bearer token"},
		{"wrong token", "token-of-the-crev", "/v1/requests", "k", quickRequest, 401, "bearer token"},
		{"no contract", "token-of-a-stranger", "/v1/requests", "k", quickRequest, 403, "no contract"},
		{"no key", "token-of-the-crew", "/v1/requests", "", quickRequest, 400, "Idempotency-Key"},
		{"key with a slash", "token-of-the-crew", "/v1/requests", "a/b", quickRequest, 400, "Idempotency-Key"},
		{"no JSON", "token-of-the-crew", "/v1/requests", "k", "{", 400, "body: $"},
		{"unknown field", "token-of-the-crew", "/v1/requests", "k", `{"colour": 1}`, 400, "unknown field colour"},
		{"another team", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "{", `{"team": "others", `, 1), 400, "the contract is with team roofers"},
		{"two tasks", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "{", `{"tasks": 2, `, 1), 400, "a quick request is one task"},
		{"a job as a request", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "quick", "batch", 1), 400, "/v1/jobs"},
		{"a request as a job", "token-of-the-crew", "/v1/jobs", "k", quickRequest, 400, "/v1/requests"},
		{"too large", "token-of-the-crew", "/v1/requests", "k", strings.Repeat(" ", 2<<20), 413, "send at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectProblem(t, send(context.Background(), door, "POST", c.path, c.token, c.key, c.body), c.status, apiserver.RanNo, c.detail)
		})
	}
}

func TestErrorsSayWhetherAnythingRan(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		ran    apiserver.Ran
	}{
		{&modeler.RefusedError{Kind: modeler.Overloaded, RetryAfter: time.Second}, 503, apiserver.RanNo},
		{&modeler.RefusedError{Kind: modeler.TableDown, RetryAfter: time.Second}, 503, apiserver.RanNo},
		{&modeler.RefusedError{Kind: modeler.KeyReused}, 422, apiserver.RanNo},
		{&modeler.RefusedError{Kind: modeler.UnknownKey}, 404, apiserver.RanNo},
		{&modeler.UndecidedError{Key: "k"}, 504, apiserver.RanUnknown},
		{&partitionrouter.OwnerUnreachableError{Partition: "p", Err: &modeler.NotOwnerError{Partition: "p"}}, 504, apiserver.RanUnknown},
	} {
		door := newServer(&fakeRouter{err: c.err})
		expectProblem(t, send(context.Background(), door, "POST", "/v1/requests", "token-of-the-crew", "k", quickRequest), c.status, c.ran, "")
	}
}

func TestCallerHasOnlySoManyRequestsInFlight(t *testing.T) {
	o := &fakeRouter{entered: make(chan struct{}), answer: modeler.Answer{Key: "crew/k", State: modeler.Done}}
	door := newServer(o)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- send(ctx, door, "POST", "/v1/requests", "token-of-the-crew", "k", quickRequest) }()
	<-o.entered
	expectProblem(t, send(ctx, door, "POST", "/v1/requests", "token-of-the-crew", "l", quickRequest), 429, apiserver.RanNo, "1 at a time")
	cancel()
	if reply := <-first; reply.Code != 200 {
		t.Errorf("the first request got %d", reply.Code)
	}
	o.entered = nil
	if reply := send(context.Background(), door, "POST", "/v1/requests", "token-of-the-crew", "l", quickRequest); reply.Code != 200 {
		t.Errorf("after the first ended, the next one got %d", reply.Code)
	}
}
