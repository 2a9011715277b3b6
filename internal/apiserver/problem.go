package apiserver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionrouter"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// Ran reports in a problem whether the request may have started anything.
type Ran string

// RanNo means that the request certainly started nothing. RanUnknown means that it is not known.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Problem is the body of every error response, a problem document as defined in RFC 9457.
type Problem struct {
	Type   string           `json:"type"`
	Title  string           `json:"title"`
	Status int              `json:"status"`
	Detail string           `json:"detail"`
	Ran    Ran              `json:"ran"`
	Faults validator.Faults `json:"faults,omitempty"`

	retryAfter time.Duration
}

// typePrefix is the prefix of every problem type.
const typePrefix = "urn:dotterelpost:problem:"

// newProblem returns a problem without a retry time. Names and titles are part of the API.
func newProblem(name, title string, status int, ran Ran, detail string) Problem {
	return Problem{Type: typePrefix + name, Title: title, Status: status, Ran: ran, Detail: detail}
}

func (p Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// Encoding fails only if the connection is broken, so the error cannot be reported to the caller.
	_ = json.NewEncoder(w).Encode(p)
}

// problemOf converts an error to the problem that is returned to the caller.
func problemOf(err error) Problem {
	var refused *modeler.RefusedError
	var noContract *partitionrouter.NoContractError
	var bad *partitionrouter.BadCallError
	switch {
	case errors.As(err, &refused):
		return refusalOf(refused)
	case errors.As(err, &noContract):
		return newProblem("no-contract", "No contract in force", http.StatusForbidden, RanNo, err.Error())
	case errors.As(err, &bad):
		return newProblem("bad-request", "The request is not understood", http.StatusBadRequest, RanNo, err.Error())
	}
	problem := newProblem("undecided", "The answer is not known yet", http.StatusGatewayTimeout, RanUnknown,
		err.Error()+"; retry with the same key")
	problem.retryAfter = time.Second
	return problem
}

func refusalOf(refused *modeler.RefusedError) Problem {
	status, title := http.StatusServiceUnavailable, "Refused for now"
	switch refused.Kind {
	case modeler.KeyReused:
		status, title = http.StatusUnprocessableEntity, "The key stands for another request"
	case modeler.UnknownKey:
		status, title = http.StatusNotFound, "Nothing under this key"
	case modeler.NoPolicy:
		status, title = http.StatusForbidden, "No policy for this work"
	case modeler.Overloaded, modeler.TableDown:
	}
	problem := newProblem(string(refused.Kind), title, status, RanNo, refused.Reason)
	problem.retryAfter = refused.RetryAfter
	return problem
}
