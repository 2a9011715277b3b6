package modeler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Class is the kind of work; each has a placing policy of its own.
type Class string

// The four classes of work.
const (
	Quick           Class = "quick"
	Batch           Class = "batch"
	Gang            Class = "gang"
	StandingService Class = "standing-service"
)

// Classes lists the classes in the order in which reports show them.
func Classes() []Class {
	return []Class{Quick, Batch, Gang, StandingService}
}

// Job is what a caller asks for. A quick request is a job of one task.
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

// Spread names the failure domain in which two tasks of a job avoid each other.
type Spread string

// The failure domains of a spread; the empty one lets the policy of the class decide.
const (
	SpreadNone             Spread = "none"
	SpreadRack             Spread = "rack"
	SpreadAvailabilityZone Spread = "availability-zone"
)

// Digest identifies the content of a job: the same key with another digest is another request.
func (j *Job) Digest() (string, error) {
	text, err := json.Marshal(j)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16]), nil
}

// State is what an answer says of a job or a task.
type State string

const (
	// Waiting: not started as far as anybody may rely on; it may still run.
	Waiting State = "waiting"
	// Placed: every task that is not over yet holds a place on a worker that accepted it.
	Placed State = "placed"
	// Done: it ran to its end; Succeeded tells how.
	Done State = "done"
	// NotRun: it is proved that no task of it ever started, and none will.
	NotRun State = "not-run"
	// Stopped: some of it ran, and it was ended before its end. It will not run again.
	Stopped State = "stopped"
	// Unknown: whether it ran can't be proved any more. It will not be run again.
	Unknown State = "unknown"
)

// Final tells whether a state can't change any more.
func (s State) Final() bool {
	switch s {
	case Done, NotRun, Stopped, Unknown:
		return true
	case Waiting, Placed:
		return false
	}
	return false
}

// Result is what a task handed back. Key and Checksum let the reader recognise an answer that
// belongs to another request or was cut short.
type Result struct {
	Key       string `json:"key"`
	Task      int    `json:"task"`
	Succeeded bool   `json:"succeeded"`
	Body      string `json:"body"`
	SizeBytes int    `json:"size-bytes"`
	Checksum  string `json:"checksum"`
}

// NewResult seals a body for a key.
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

// ValidFor tells whether the result belongs to the key and arrived complete.
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

// Answer is what a caller is told about its request key.
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
