package modeler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Class is the kind of a job. Each class has its own placement policy.
type Class string

// The job classes.
const (
	Quick           Class = "quick"
	Batch           Class = "batch"
	Gang            Class = "gang"
	StandingService Class = "standing-service"
)

// Classes returns all classes in the order in which reports show them.
func Classes() []Class {
	return []Class{Quick, Batch, Gang, StandingService}
}

// Job is the description of a job as submitted by a caller. A request of class Quick is a job with
// one task. Needs are the resources of one task. Urgent jobs precede the other jobs in the queue. A
// task may run more than once only if the job is Repeatable. Worth is what the job is worth to the
// caller; the scheduler does not use it.
type Job struct {
	Class           Class           `json:"class"`
	Team            string          `json:"team"`
	Tasks           int             `json:"tasks,omitempty"`
	Needs           Resources       `json:"needs"`
	ExpectedRunTime Duration        `json:"expected-run-time,omitempty"`
	Deadline        Duration        `json:"deadline,omitempty"`
	Worth           float64         `json:"worth,omitempty"`
	Urgent          bool            `json:"urgent,omitempty"`
	Repeatable      bool            `json:"repeatable"`
	Checkpointable  bool            `json:"checkpointable,omitempty"`
	Spread          Spread          `json:"spread,omitempty"`
	Payload         json.RawMessage `json:"payload,omitempty"`
}

// Spread is the failure domain over which the tasks of a job are spread: two tasks avoid sharing one.
type Spread string

// The failure domains of Spread. An empty Spread leaves the choice to the policy of the class.
const (
	SpreadNone             Spread = "none"
	SpreadRack             Spread = "rack"
	SpreadAvailabilityZone Spread = "availability-zone"
)

// Digest returns a hash of the content of the job. A request that reuses a key with a different
// digest is a different request.
func (j *Job) Digest() (string, error) {
	encoded, err := json.Marshal(j)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16]), nil
}

// State is the state of a job or a task as reported to callers.
type State string

const (
	// Waiting means that the job is not known to have started; it may still run.
	Waiting State = "waiting"
	// Placed means that every unfinished task is assigned to a worker that accepted it.
	Placed State = "placed"
	// Done means that the job ran to completion; Result.Succeeded tells whether it succeeded.
	Done State = "done"
	// NotRun means that it is certain that no task ever started and that none will.
	NotRun State = "not-run"
	// Stopped means that the job ran in part and was ended before completion. It will not run again.
	Stopped State = "stopped"
	// Unknown means that it can no longer be determined whether the job ran. It will not run again.
	Unknown State = "unknown"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	switch s {
	case Done, NotRun, Stopped, Unknown:
		return true
	case Waiting, Placed:
		return false
	}
	return false
}

// Result is the output of a task. Key, SizeBytes and Checksum let the reader detect a result that
// belongs to another request or was truncated.
type Result struct {
	Key       string `json:"key"`
	Task      int    `json:"task"`
	Succeeded bool   `json:"succeeded"`
	Body      string `json:"body"`
	SizeBytes int    `json:"size-bytes"`
	Checksum  string `json:"checksum"`
}

// NewResult returns a result for a key, with the size and checksum of the body filled in.
func NewResult(key string, task int, succeeded bool, body string) Result {
	return Result{
		Key:       key,
		Task:      task,
		Succeeded: succeeded,
		Body:      body,
		SizeBytes: len(body),
		Checksum:  checksum(key, body),
	}
}

// ValidFor reports whether the result belongs to the key and is complete.
func (r *Result) ValidFor(key string) bool {
	return r.Key == key && r.SizeBytes == len(r.Body) && r.Checksum == checksum(key, r.Body)
}

func checksum(key, body string) string {
	sum := sha256.New()
	sum.Write([]byte(key))
	sum.Write([]byte{0})
	sum.Write([]byte(body))
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// Answer is the status that a caller receives for its request key. Tasks counts the tasks in each
// state.
type Answer struct {
	Key        string        `json:"key"`
	State      State         `json:"state"`
	Reason     string        `json:"reason,omitempty"`
	Tasks      map[State]int `json:"tasks,omitempty"`
	Results    []Result      `json:"results,omitempty"`
	AcceptedAt time.Time     `json:"accepted-at,omitzero"`
	StartedAt  time.Time     `json:"started-at,omitzero"`
	Ticket     int64         `json:"ticket,omitempty"`
}
