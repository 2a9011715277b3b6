package apiserver

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/bodylimiter"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/internal/validator"
)

//go:embed job.json
var jobSchemaText string

var jobSchema = sync.OnceValues(func() (*validator.Schema, error) {
	return validator.Compile("job", jobSchemaText)
})

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 200
	// defaultTimeout bounds a request whose timeout is set neither by the deadline of a quick request nor
	// by the parameter wait.
	defaultTimeout = 30 * time.Second
	// maxTimeout is the maximum deadline or wait time that a caller may request.
	maxTimeout = 5 * time.Minute
	// deadlineGrace extends the timeout of a quick request beyond its deadline, so that its outcome at
	// the deadline can still be returned.
	deadlineGrace = time.Second
)

// Router forwards calls to the instances that own the partitions of their keys.
type Router interface {
	Submit(ctx context.Context, caller, key string, job []byte, wait bool) (modeler.Answer, error)
	Status(ctx context.Context, caller, key string, wait bool) (modeler.Answer, error)
	Cancel(ctx context.Context, caller, key string) (modeler.Answer, error)
}

// Authenticator identifies the caller by the bearer token of a request.
type Authenticator interface {
	Authenticate(request *http.Request) (name string, known bool)
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Router        Router
	Authenticator Authenticator
	// Tickets returns the state of the ticket in force, and TicketsProven whether that state shows which
	// contracts exist.
	Tickets       func() *ticketer.State
	TicketsProven func() bool
	Log           *slog.Logger
	Bodies        *bodylimiter.Limiter
	// ShuttingDown is closed when the instance has handed over its partitions and is about to stop.
	ShuttingDown <-chan struct{}
}

// Server is the HTTP handler of the API for callers.
type Server struct {
	Dependencies
	mux *http.ServeMux

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a Server.
func New(dependencies Dependencies) *Server {
	s := &Server{Dependencies: dependencies, mux: http.NewServeMux(), inFlight: make(map[string]int)}
	s.mux.HandleFunc("POST /v1/requests", s.authorize(s.postRequest))
	s.mux.HandleFunc("POST /v1/jobs", s.authorize(s.postJob))
	s.mux.HandleFunc("GET /v1/jobs/{key}", s.authorize(s.getJob))
	s.mux.HandleFunc("DELETE /v1/jobs/{key}", s.authorize(s.deleteJob))
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Bodies.Guard(w, r)
	s.mux.ServeHTTP(w, r)
}

// authorize wraps a handler. It rejects requests that have no valid token, whose caller has no
// contract, or that exceed the contract's limit on requests in flight.
func (s *Server) authorize(serve func(w http.ResponseWriter, r *http.Request, contract ticketer.Contract)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, known := s.Authenticator.Authenticate(r)
		if !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			newProblem("not-admitted", "No valid token", http.StatusUnauthorized, RanNo, "send the caller's bearer token").write(w)
			return
		}
		// The proof is asked for first: a state that is read later is not older.
		proven := s.TicketsProven()
		tickets := s.Tickets()
		contract, found := tickets.ContractOf(caller)
		if !found && tickets.Number == 0 {
			problem := newProblem("no-ticket", "No ticket read yet", http.StatusServiceUnavailable, RanNo, "this instance has not read the contracts in force")
			problem.retryAfter = time.Second
			problem.write(w)
			return
		}
		if !found && !proven {
			problem := newProblem("old-ticket", "Newest ticket not known", http.StatusServiceUnavailable, RanNo,
				fmt.Sprintf("caller %s has no contract in ticket %d, and this instance can't read whether there is a newer one", caller, tickets.Number))
			problem.retryAfter = time.Second
			problem.write(w)
			return
		}
		if !found {
			newProblem("no-contract", "No contract in force", http.StatusForbidden, RanNo,
				fmt.Sprintf("caller %s has no contract in ticket %d", caller, tickets.Number)).write(w)
			return
		}
		if !s.acquireSlot(contract) {
			problem := newProblem("too-many-in-flight", "Too many requests in flight", http.StatusTooManyRequests, RanNo,
				fmt.Sprintf("the contract allows %d at a time on one instance", contract.RequestsInFlight))
			problem.retryAfter = time.Second
			problem.write(w)
			return
		}
		defer s.releaseSlot(contract)
		serve(w, r, contract)
	}
}

func (s *Server) acquireSlot(contract ticketer.Contract) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[contract.Caller] >= contract.RequestsInFlight {
		return false
	}
	s.inFlight[contract.Caller]++
	return true
}

func (s *Server) releaseSlot(contract ticketer.Contract) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[contract.Caller]--
}

func (s *Server) postRequest(w http.ResponseWriter, r *http.Request, contract ticketer.Contract) {
	key, job, ok := s.readJob(w, r, contract)
	if !ok {
		return
	}
	if job.Class != modeler.Quick {
		badRequest(w, "$.class", fmt.Sprintf("class %s is not a quick request", job.Class), "send it to /v1/jobs")
		return
	}
	timeout := defaultTimeout
	if job.Deadline > 0 {
		timeout = min(time.Duration(job.Deadline), maxTimeout) + deadlineGrace
	}
	s.submit(w, r, contract, key, job, true, timeout)
}

func (s *Server) postJob(w http.ResponseWriter, r *http.Request, contract ticketer.Contract) {
	key, job, ok := s.readJob(w, r, contract)
	if !ok {
		return
	}
	if job.Class == modeler.Quick {
		badRequest(w, "$.class", "a quick request is not a job", "send it to /v1/requests")
		return
	}
	s.submit(w, r, contract, key, job, false, defaultTimeout)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, contract ticketer.Contract, key string, job modeler.Job, wait bool, timeout time.Duration) {
	text, err := json.Marshal(job)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	answer, err := s.Router.Submit(ctx, contract.Caller, key, text, wait)
	writeAnswer(w, answer, err)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request, contract ticketer.Contract) {
	timeout, wait := defaultTimeout, false
	if text := r.URL.Query().Get("wait"); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested < 0 {
			badRequest(w, "wait", fmt.Sprintf("%q is not a valid duration", text), "use a duration such as 30s")
			return
		}
		timeout, wait = min(requested, maxTimeout), requested > 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	if wait {
		// A wait may be much longer than a graceful shutdown should take. The caller retries, and the
		// load balancer forwards the retry to another instance.
		go s.cancelOnShutdown(ctx, cancel)
	}
	answer, err := s.Router.Status(ctx, contract.Caller, r.PathValue("key"), wait)
	writeAnswer(w, answer, err)
}

// cancelOnShutdown cancels a waiting request when the instance shuts down.
func (s *Server) cancelOnShutdown(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-s.ShuttingDown:
		cancel()
	case <-ctx.Done():
	}
}

func (s *Server) deleteJob(w http.ResponseWriter, r *http.Request, contract ticketer.Contract) {
	ctx, cancel := context.WithTimeout(r.Context(), defaultTimeout)
	defer cancel()
	answer, err := s.Router.Cancel(ctx, contract.Caller, r.PathValue("key"))
	writeAnswer(w, answer, err)
}

func writeAnswer(w http.ResponseWriter, answer modeler.Answer, err error) {
	if err != nil {
		problemOf(err).write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !answer.State.Final() {
		w.WriteHeader(http.StatusAccepted)
	}
	// Encoding fails only if the connection is broken; the caller then retries with the same key.
	_ = json.NewEncoder(w).Encode(answer)
}

func badRequest(w http.ResponseWriter, path, fault, remedy string) {
	problem := newProblem("bad-request", "The request has faults", http.StatusBadRequest, RanNo, path+": "+fault+"; "+remedy)
	problem.Faults = validator.Faults{{Path: path, Problem: fault, Remedy: remedy}}
	problem.write(w)
}

// readJob reads and validates the idempotency key and the body. If ok is false, it has written an error
// response.
func (s *Server) readJob(w http.ResponseWriter, r *http.Request, contract ticketer.Contract) (key string, job modeler.Job, ok bool) {
	key = r.Header.Get("Idempotency-Key")
	if !isValidKey(key) {
		badRequest(w, "Idempotency-Key", fmt.Sprintf("%q is not a valid key", key),
			fmt.Sprintf("send 1 to %d letters, digits, dots, dashes or underscores", maxKeyBytes))
		return "", job, false
	}
	var faults validator.Faults
	err := s.Bodies.Read(w, r, maxBodyBytes, defaultTimeout, func(text []byte) { job, faults = parseJob(text, contract) })
	var ended *bodylimiter.EndedError
	if errors.As(err, &ended) {
		problem := newProblem("body-ended", "The body was not received", http.StatusServiceUnavailable, RanNo, ended.Error())
		problem.retryAfter = time.Second
		w.Header().Set("Connection", "close")
		problem.write(w)
		return "", job, false
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		newProblem("too-large", "The body was not read", http.StatusRequestEntityTooLarge, RanNo,
			fmt.Sprintf("send at most %d bytes: %v", maxBodyBytes, err)).write(w)
		return "", job, false
	}
	if len(faults) > 0 {
		problem := newProblem("bad-request", "The request has faults", http.StatusBadRequest, RanNo, faults.Error())
		problem.Faults = faults
		problem.write(w)
		return "", job, false
	}
	return key, job, true
}

func isValidKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, r := range key {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
		default:
			return false
		}
	}
	return true
}

// parseJob decodes and validates a job, and sets the fields that the contract determines.
func parseJob(text []byte, contract ticketer.Contract) (modeler.Job, validator.Faults) {
	var job modeler.Job
	schema, err := jobSchema()
	if err != nil {
		return job, validator.Faults{{Path: "$", Problem: err.Error(), Remedy: "report this as a bug"}}
	}
	if faults := schema.Decode("body", text, &job); len(faults) > 0 {
		return job, faults
	}
	var faults validator.Faults
	if job.Team != "" && job.Team != contract.Team {
		faults = append(faults, validator.Fault{
			File: "body", Path: "$.team",
			Problem: fmt.Sprintf("the contract is with team %s", contract.Team), Remedy: "omit team",
		})
	}
	job.Team = contract.Team
	job.Tasks = max(job.Tasks, 1)
	if job.Class == modeler.Quick && job.Tasks > 1 {
		faults = append(faults, validator.Fault{File: "body", Path: "$.tasks", Problem: "a quick request is one task", Remedy: "omit tasks"})
	}
	return job, faults
}
