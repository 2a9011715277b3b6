// Package adminserver implements the operators' HTTP API: change tickets, views of workers and
// partitions, a report, metrics and health checks.
//
// # Usage
//
//	handler := adminserver.New(dependencies)
//	http.Serve(listener, handler)
//
// The endpoints are:
//
//	POST /v1/tickets             submits a ticket; 409 returns the state in force on a conflict
//	GET  /v1/tickets/{number}    returns an accepted ticket; "head" returns the state in force
//	GET  /v1/tickets/{number}/status   returns the ticket number that each instance has in force
//	GET  /v1/workers, /v1/partitions, /v1/report
//	GET  /debug/vars, /healthz, /readyz
package adminserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/bodylimiter"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/metricsrecorder"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// requestTimeout limits the handling of a request.
const requestTimeout = 15 * time.Second

// TicketStore reads and accepts tickets.
type TicketStore interface {
	Submit(ctx context.Context, ticket ticketer.Ticket) (*ticketer.State, error)
	Get(ctx context.Context, number int64) (ticketer.Ticket, error)
	Head(ctx context.Context) (*ticketer.State, error)
}

// Controller returns views of the partitions that this instance owns and of their workers.
type Controller interface {
	Workers(ctx context.Context) ([]partitionscheduler.WorkerView, error)
	Partitions(ctx context.Context) ([]partitionscheduler.PartitionView, error)
}

// Authenticator identifies the operator by the bearer token of a request.
type Authenticator interface {
	Authenticate(request *http.Request) (name string, known bool)
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Instance      string
	Region        string
	Store         TicketStore
	Controller    Controller
	Authenticator Authenticator
	Metrics       *metricsrecorder.Recorder
	Bodies        *bodylimiter.Limiter
	// Tickets returns the state in force on this instance. AdvanceTicket puts a newer one in force.
	Tickets       func() *ticketer.State
	AdvanceTicket func(*ticketer.State) bool
	// InForceSince returns the time when the current ticket came into force on this instance.
	InForceSince func() time.Time
	// LivePeers returns the last heartbeat of each live peer by instance name.
	LivePeers func() map[string]*messenger.Heartbeat
	// Ready returns the reason why the instance is not ready, or nil.
	Ready func() error
	Cost  func() Cost
}

// Server is the HTTP handler of the operators' API.
type Server struct {
	Dependencies
	mux *http.ServeMux
}

// New returns a Server.
func New(dependencies Dependencies) *Server {
	s := &Server{Dependencies: dependencies, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, Health{Status: "alive"}) })
	s.mux.HandleFunc("GET /readyz", s.getReady)
	s.mux.HandleFunc("POST /v1/tickets", s.authenticate(s.postTicket))
	s.mux.HandleFunc("GET /v1/tickets/{number}", s.authenticate(s.getTicket))
	s.mux.HandleFunc("GET /v1/tickets/{number}/status", s.authenticate(s.getTicketStatus))
	s.mux.HandleFunc("GET /v1/workers", s.authenticate(s.getWorkers))
	s.mux.HandleFunc("GET /v1/partitions", s.authenticate(s.getPartitions))
	s.mux.HandleFunc("GET /v1/report", s.authenticate(s.getReport))
	s.mux.HandleFunc("GET /debug/vars", s.authenticate(s.Metrics.ServeHTTP))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Bodies.Guard(w, r)
	s.mux.ServeHTTP(w, r)
}

// Health is the response body of the health checks.
type Health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// ErrorResponse is the response body of an error. Winner is the state in force if a ticket was rejected
// because another one had been accepted.
type ErrorResponse struct {
	Error  string           `json:"error"`
	Faults validator.Faults `json:"faults,omitempty"`
	Winner *ticketer.State  `json:"winner,omitempty"`
}

// TicketStatus reports on which instances a ticket is in force. Head is the number of the latest ticket.
type TicketStatus struct {
	Number     int64            `json:"number"`
	Head       int64            `json:"head"`
	AcceptedAt time.Time        `json:"accepted-at,omitzero"`
	Instances  []InstanceTicket `json:"instances"`
	InForce    bool             `json:"in-force-everywhere"`
}

// InstanceTicket is the number of the ticket that an instance has in force, and the time since when, by
// the instance's own clock.
type InstanceTicket struct {
	Instance string    `json:"instance"`
	Region   string    `json:"region"`
	Number   int64     `json:"number"`
	Since    time.Time `json:"since,omitzero"`
}

// Cost counts the table accesses and the cross-region traffic of this instance since its start.
type Cost struct {
	TableWrites      int64 `json:"table-writes"`
	TableReads       int64 `json:"table-reads"`
	CrossRegionBytes int64 `json:"cross-region-bytes"`
}

// Report contains the measures of one instance: the waiting times of tasks, the decisions about them and
// the cost, with a view of the partitions that it owns.
type Report struct {
	Instance   string                             `json:"instance"`
	Ticket     int64                              `json:"ticket"`
	Waits      []metricsrecorder.WaitStats        `json:"waits"`
	Decisions  map[string]int64                   `json:"decisions"`
	Cost       Cost                               `json:"cost"`
	Partitions []partitionscheduler.PartitionView `json:"partitions"`
}

// authenticate wraps a handler so that it requires an operator's token and has a deadline.
func (s *Server) authenticate(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, known := s.Authenticator.Authenticate(r); !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{Error: "send an operator's bearer token"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		handler(w, r.WithContext(ctx))
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	var faults validator.Faults
	var conflict *ticketer.ConflictError
	var notFound *ticketer.NotFoundError
	switch {
	case errors.As(err, &faults):
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Error: "the ticket has faults; nothing was changed", Faults: faults})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, ErrorResponse{Error: err.Error(), Winner: &conflict.Current})
	case errors.As(err, &notFound):
		writeJSON(w, http.StatusNotFound, ErrorResponse{Error: err.Error()})
	default:
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()})
	}
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Health{Status: "not-ready", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, Health{Status: "ready"})
}

func (s *Server) postTicket(w http.ResponseWriter, r *http.Request) {
	var ticket ticketer.Ticket
	var faults validator.Faults
	err := s.Bodies.Read(w, r, validator.MaxBytes, requestTimeout, func(text []byte) { ticket, faults = ticketer.Parse("ticket", text) })
	var ended *bodylimiter.EndedError
	if errors.As(err, &ended) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{Error: ended.Error()})
		return
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		writeJSON(w, http.StatusRequestEntityTooLarge, ErrorResponse{Error: err.Error()})
		return
	}
	if len(faults) > 0 {
		writeError(w, faults)
		return
	}
	state, err := s.Store.Submit(r.Context(), ticket)
	if err != nil {
		writeError(w, err)
		return
	}
	s.AdvanceTicket(state)
	writeJSON(w, http.StatusCreated, TicketStatus{Number: state.Number, Head: state.Number, AcceptedAt: state.AcceptedAt, Instances: s.instances()})
}

// ticketNumber parses the number in the path; "head" means the number in force on this instance.
func (s *Server) ticketNumber(r *http.Request) (int64, error) {
	text := r.PathValue("number")
	if text == "head" {
		return s.Tickets().Number, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 {
		return 0, validator.Faults{{Path: "number", Problem: fmt.Sprintf("%q is not a ticket number", text), Remedy: "give a number of 1 or more, or head"}}
	}
	return number, nil
}

func (s *Server) getTicket(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("number") == "head" {
		state, err := s.Store.Head(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, state)
		return
	}
	number, err := s.ticketNumber(r)
	if err != nil {
		writeError(w, err)
		return
	}
	ticket, err := s.Store.Get(r.Context(), number)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, ticket)
}

// instances returns the ticket numbers of this instance and of its live peers, sorted by name.
func (s *Server) instances() []InstanceTicket {
	list := []InstanceTicket{{Instance: s.Instance, Region: s.Region, Number: s.Tickets().Number, Since: s.InForceSince()}}
	for name, heartbeat := range s.LivePeers() {
		list = append(list, InstanceTicket{Instance: name, Region: heartbeat.GetRegion(), Number: heartbeat.GetTicket(), Since: time.UnixMilli(heartbeat.GetInForceSinceMillis())})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

func (s *Server) getTicketStatus(w http.ResponseWriter, r *http.Request) {
	number, err := s.ticketNumber(r)
	if err != nil {
		writeError(w, err)
		return
	}
	head, err := s.Store.Head(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if number > head.Number {
		writeError(w, &ticketer.NotFoundError{Number: number})
		return
	}
	status := TicketStatus{Number: number, Head: head.Number, AcceptedAt: head.AcceptedAt, Instances: s.instances(), InForce: true}
	for _, instance := range status.Instances {
		status.InForce = status.InForce && instance.Number >= number
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) getWorkers(w http.ResponseWriter, r *http.Request) {
	workers, err := s.Controller.Workers(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	writeJSON(w, http.StatusOK, workers)
}

func (s *Server) getPartitions(w http.ResponseWriter, r *http.Request) {
	partitions, err := s.Controller.Partitions(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	sort.Slice(partitions, func(i, j int) bool { return partitions[i].Name < partitions[j].Name })
	writeJSON(w, http.StatusOK, partitions)
}

func (s *Server) getReport(w http.ResponseWriter, r *http.Request) {
	partitions, err := s.Controller.Partitions(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Report{
		Instance:   s.Instance,
		Ticket:     s.Tickets().Number,
		Waits:      s.Metrics.Waits(),
		Decisions:  s.Metrics.Decisions(),
		Cost:       s.Cost(),
		Partitions: partitions,
	})
}
