package caller

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// The types of the API are shared with the scheduler.
type (
	// Job is a job or quick request that a caller submits.
	Job = modeler.Job
	// Answer is the state of a key, with the results of its tasks.
	Answer = modeler.Answer
	// Result is the result of one task.
	Result = modeler.Result
	// Resources are the resources that a task needs.
	Resources = modeler.Resources
	// Processors is a number of processors, in thousandths.
	Processors = modeler.Processors
	// Duration is a time.Duration that is encoded in JSON as a string such as "1m30s".
	Duration = modeler.Duration
	// Class is the class of a job.
	Class = modeler.Class
	// State is the state in an Answer.
	State = modeler.State
)

// The values of Class and State.
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

// Problem is the body of an error response.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran is "no" if it is certain that this request started nothing, and "unknown" otherwise.
	Ran string `json:"ran"`
}

// ProblemError reports that a request was answered with an error response.
type ProblemError struct {
	Problem    Problem
	RetryAfter time.Duration
}

func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s (%d): %s; ran: %s", e.Problem.Title, e.Problem.Status, e.Problem.Detail, e.Problem.Ran)
}

// UndecidedError reports that the context ended before the answer was known.
type UndecidedError struct {
	Key string
	Err error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("%s: the answer is not known yet; retry with the same key: %v", e.Key, e.Err)
}

func (e *UndecidedError) Unwrap() error { return e.Err }

// DamagedError reports that an answer was truncated or belongs to another key.
type DamagedError struct {
	Key string
}

func (e *DamagedError) Error() string {
	return "the answer for " + e.Key + " is truncated or belongs to another key"
}
