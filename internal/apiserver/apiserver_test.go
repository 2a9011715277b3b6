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

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/apiserver"
	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/bodylimiter"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionrouter"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// fakeRouter returns a fixed answer and error. If entered is set, each call sends to it and then blocks
// until the context ends.
type fakeRouter struct {
	answer  modeler.Answer
	err     error
	entered chan struct{}
}

func (r *fakeRouter) reply(ctx context.Context) (modeler.Answer, error) {
	if r.entered != nil {
		r.entered <- struct{}{}
		<-ctx.Done()
	}
	return r.answer, r.err
}

func (r *fakeRouter) Submit(ctx context.Context, _, _ string, _ []byte, _ bool) (modeler.Answer, error) {
	return r.reply(ctx)
}

func (r *fakeRouter) Status(ctx context.Context, _, _ string, _ bool) (modeler.Answer, error) {
	return r.reply(ctx)
}

func (r *fakeRouter) Cancel(ctx context.Context, _, _ string) (modeler.Answer, error) {
	return r.reply(ctx)
}

func newServer(r *fakeRouter) *apiserver.Server {
	state := &ticketer.State{Number: 1}
	state.Contracts = []ticketer.Contract{{Caller: "crew", Team: "roofers", HomeRegion: "north", RequestsInFlight: 1}}
	return newServerWithTickets(r, state, true)
}

func newServerWithTickets(r *fakeRouter, state *ticketer.State, proven bool) *apiserver.Server {
	return apiserver.New(apiserver.Dependencies{
		Bodies:        bodylimiter.New(bodylimiter.Budget(0, 1<<20), clockwork.NewRealClock(), slog.New(slog.DiscardHandler)),
		Router:        r,
		Authenticator: authenticator.New(map[string]string{"crew": "token-of-the-crew", "stranger": "token-of-a-stranger"}),
		Tickets:       func() *ticketer.State { return state },
		TicketsProven: func() bool { return proven },
		Log:           slog.New(slog.DiscardHandler),
		ShuttingDown:  make(chan struct{}),
	})
}

func send(ctx context.Context, server http.Handler, method, path, token, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, request)
	return recorder
}

const quickRequest = `{"class": "quick", "needs": {"processors": 1, "memory": "1MB"}, "repeatable": true}`

func expectProblem(t *testing.T, reply *httptest.ResponseRecorder, status int, ran apiserver.Ran, detail string) {
	t.Helper()
	var problem apiserver.Problem
	if err := json.Unmarshal(reply.Body.Bytes(), &problem); err != nil {
		t.Fatalf("%q is not a problem document: %v", reply.Body, err)
	}
	if reply.Code != status || problem.Ran != ran || !strings.Contains(problem.Detail, detail) {
		t.Errorf("got %d, ran %q, %q; want %d, %q, %q", reply.Code, problem.Ran, problem.Detail, status, ran, detail)
	}
	if reply.Header().Get("Content-Type") != "application/problem+json" {
		t.Errorf("content type %q", reply.Header().Get("Content-Type"))
	}
	if (status == 429 || status == 503) && reply.Header().Get("Retry-After") == "" {
		t.Error("the header Retry-After is missing")
	}
}

func TestInvalidRequestsAreNotRouted(t *testing.T) {
	server := newServer(&fakeRouter{entered: nil, err: &modeler.UndecidedError{Key: "the request was routed"}})
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
		{"invalid JSON", "token-of-the-crew", "/v1/requests", "k", "{", 400, "body: $"},
		{"unknown field", "token-of-the-crew", "/v1/requests", "k", `{"colour": 1}`, 400, "unknown field colour"},
		{"another team", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "{", `{"team": "others", `, 1), 400, "the contract is with team roofers"},
		{"two tasks", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "{", `{"tasks": 2, `, 1), 400, "a quick request is one task"},
		{"job sent to /v1/requests", "token-of-the-crew", "/v1/requests", "k", strings.Replace(quickRequest, "quick", "batch", 1), 400, "/v1/jobs"},
		{"quick request sent to /v1/jobs", "token-of-the-crew", "/v1/jobs", "k", quickRequest, 400, "/v1/requests"},
		{"too large", "token-of-the-crew", "/v1/requests", "k", strings.Repeat(" ", 2<<20), 413, "send at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectProblem(t, send(context.Background(), server, "POST", c.path, c.token, c.key, c.body), c.status, apiserver.RanNo, c.detail)
		})
	}
}

func TestProblemsReportWhetherAnythingRan(t *testing.T) {
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
		server := newServer(&fakeRouter{err: c.err})
		expectProblem(t, send(context.Background(), server, "POST", "/v1/requests", "token-of-the-crew", "k", quickRequest), c.status, c.ran, "")
	}
}

func TestRequestsInFlightAreLimitedPerCaller(t *testing.T) {
	router := &fakeRouter{entered: make(chan struct{}), answer: modeler.Answer{Key: "crew/k", State: modeler.Done}}
	server := newServer(router)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- send(ctx, server, "POST", "/v1/requests", "token-of-the-crew", "k", quickRequest) }()
	<-router.entered
	expectProblem(t, send(ctx, server, "POST", "/v1/requests", "token-of-the-crew", "l", quickRequest), 429, apiserver.RanNo, "1 at a time")
	cancel()
	if reply := <-first; reply.Code != 200 {
		t.Errorf("the first request got status %d, want 200", reply.Code)
	}
	router.entered = nil
	if reply := send(context.Background(), server, "POST", "/v1/requests", "token-of-the-crew", "l", quickRequest); reply.Code != 200 {
		t.Errorf("a request after the first one ended got status %d, want 200", reply.Code)
	}
}

// TestCallersRetryWhileNoTicketIsRead: an instance that has just started knows no contract. It must not
// answer that a caller has none, which is final, but when to try again.
func TestCallersRetryWhileNoTicketIsRead(t *testing.T) {
	server := newServerWithTickets(&fakeRouter{}, &ticketer.State{}, false)
	recorder := send(t.Context(), server, http.MethodPost, "/v1/requests", "token-of-the-crew", "k", quickRequest)
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 and a time: %s", recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
	}
	recorder = send(t.Context(), newServer(&fakeRouter{}), http.MethodPost, "/v1/requests", "token-of-a-stranger", "k", quickRequest)
	if recorder.Code != http.StatusForbidden {
		t.Errorf("a caller without a contract in the ticket got status %d, want 403", recorder.Code)
	}
}

// TestMissingContractIsNotStatedFromAnOldTicket: a newer ticket, which this instance can't read, may have added the
// contract. A contract that is known is served.
func TestMissingContractIsNotStatedFromAnOldTicket(t *testing.T) {
	state := &ticketer.State{Number: 7}
	state.Contracts = []ticketer.Contract{{Caller: "crew", Team: "roofers", HomeRegion: "north", RequestsInFlight: 1}}
	server := newServerWithTickets(&fakeRouter{}, state, false)
	expectProblem(t, send(t.Context(), server, http.MethodPost, "/v1/requests", "token-of-a-stranger", "k", quickRequest), http.StatusServiceUnavailable, apiserver.RanNo, "ticket 7")
	if reply := send(t.Context(), server, http.MethodPost, "/v1/requests", "token-of-the-crew", "k", quickRequest); reply.Code/100 != 2 {
		t.Errorf("a caller with a contract: status %d", reply.Code)
	}
}
