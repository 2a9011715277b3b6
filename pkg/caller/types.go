package caller

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// The objects of the interface, as the scheduler itself uses them.
type (
	// Job is what a caller asks for.
	Job = modeler.Job
	// Answer is what a caller is told about a key.
	Answer = modeler.Answer
	// Result is what one task handed back.
	Result = modeler.Result
	// Resources is what a task needs.
	Resources = modeler.Resources
	// Processors is an amount of processor time in thousandths of a processor.
	Processors = modeler.Processors
	// Duration is a time.Duration that JSON shows as "1m30s".
	Duration = modeler.Duration
	// Class is the kind of work.
	Class = modeler.Class
	// State is what an answer says.
	State = modeler.State
)

// Classes and states, see the types.
const (
	Quick           = modeler.Quick
	Batch           = modeler.Batch
	Gang            = modeler.Gang
	StandingService = modeler.StandingService

	Waiting = modeler.Waiting
	Placed  = modeler.Placed
	Done    = modeler.Done
	NotRun  = modeler.NotRun
	Stopped = modeler.Stopped
	Unknown = modeler.Unknown
)

// Problem is the body of an error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran is "no" if it is proved that nothing ran by this call, else "unknown".
	Ran string `json:"ran"`
}

// ProblemError tells that a call was answered with a problem.
type ProblemError struct {
	Problem    Problem
	RetryAfter time.Duration
}

func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s (%d): %s; ran: %s", e.Problem.Title, e.Problem.Status, e.Problem.Detail, e.Problem.Ran)
}

// UndecidedError tells that the context ended before the answer was known.
type UndecidedError struct {
	Key string
	Err error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("%s: no certain answer yet, ask again with the same key: %v", e.Key, e.Err)
}

func (e *UndecidedError) Unwrap() error { return e.Err }

// DamagedError tells that an answer was cut short or belongs to another key.
type DamagedError struct {
	Key string
}

func (e *DamagedError) Error() string { return "the answer for " + e.Key + " is not whole" }
