package chaostester

import (
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// Plan is a day to rehearse: its load and its troubles.
type Plan struct {
	Seed uint64 `json:"seed"`
	// LoadDuration is how long callers hand jobs in.
	LoadDuration modeler.Duration `json:"length"`
	Instances    int              `json:"instances"`
	Workers      int              `json:"workers"`
	// Processors of a worker.
	Processors modeler.Processors `json:"processors"`
	// TaskDuration is how long each task takes.
	TaskDuration modeler.Duration `json:"work"`
	Queues       []Queue          `json:"queues"`
	Faults       []Fault          `json:"troubles"`
}

// Queue is a queue and the jobs that come to it.
type Queue struct {
	Name          string  `json:"name"`
	JobsPerSecond float64 `json:"per-second"`
	Steps         []Step  `json:"steps"`
	Priority      int     `json:"priority"`
	// Advised tells that the advisor decides which workers may run the steps.
	Advised bool `json:"advised"`
}

// Step is a step of each job of a queue. It follows the one before it.
type Step struct {
	Tasks      int                `json:"tasks"`
	Processors modeler.Processors `json:"processors"`
	Gang       bool               `json:"gang"`
}

// FaultKind is what happens in a trouble.
type FaultKind string

// The kinds of trouble.
const (
	// KillOwner ends the owner at once; an instance of its name starts anew when the trouble is over.
	KillOwner FaultKind = "kill-owner"
	// KillAllInstances ends all instances at once.
	KillAllInstances FaultKind = "kill-all"
	// ShutDownOwner asks the owner to leave.
	ShutDownOwner FaultKind = "stop-owner"
	// The troubles of the store.
	StoreUnavailable  FaultKind = "store-busy"
	StoreUnresponsive FaultKind = "store-silent"
	StoreSlow         FaultKind = "store-slow"
	StoreRepliesLost  FaultKind = "store-lost"
	// CompactHistory drops the store's history.
	CompactHistory FaultKind = "history-forgotten"
	// RestartWorker ends a worker's life and begins a new one; WorkerMute lets it obey without answering.
	RestartWorker     FaultKind = "worker-restart"
	DropWorkerReplies FaultKind = "worker-mute"
)

// Fault happens once, or Times times, Every apart.
type Fault struct {
	Kind     FaultKind        `json:"kind"`
	At       modeler.Duration `json:"at"`
	Duration modeler.Duration `json:"for"`
	// Count is how often it happens, 0 standing for once.
	Count    int              `json:"times"`
	Interval modeler.Duration `json:"every"`
}

const schemaText = `{
 "$defs": {
  "duration": {"type": "string", "pattern": "^([0-9]+(\\.[0-9]+)?(ms|s|m))+$"}
 },
 "type": "object", "additionalProperties": false,
 "required": ["length", "instances", "workers", "processors", "work", "queues"],
 "properties": {
  "seed": {"type": "integer", "minimum": 0},
  "length": {"$ref": "#/$defs/duration"},
  "instances": {"type": "integer", "minimum": 1, "maximum": 16},
  "workers": {"type": "integer", "minimum": 1, "maximum": 200},
  "processors": {"type": "number", "exclusiveMinimum": 0, "maximum": 1024},
  "work": {"$ref": "#/$defs/duration"},
  "queues": {"type": "array", "minItems": 1, "maxItems": 20, "items": {
   "type": "object", "additionalProperties": false, "required": ["name", "per-second", "steps"],
   "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9-]{1,40}$"},
    "per-second": {"type": "number", "exclusiveMinimum": 0, "maximum": 2000},
    "priority": {"type": "integer", "minimum": 0, "maximum": 9},
    "advised": {"type": "boolean"},
    "steps": {"type": "array", "minItems": 1, "maxItems": 10, "items": {
     "type": "object", "additionalProperties": false, "required": ["tasks", "processors"],
     "properties": {
      "tasks": {"type": "integer", "minimum": 1, "maximum": 200},
      "processors": {"type": "number", "exclusiveMinimum": 0, "maximum": 1024},
      "gang": {"type": "boolean"}}}}}}},
  "troubles": {"type": "array", "maxItems": 100, "items": {
   "type": "object", "additionalProperties": false, "required": ["kind", "at"],
   "properties": {
    "kind": {"enum": ["kill-owner", "kill-all", "stop-owner", "store-busy", "store-silent", "store-slow", "store-lost", "history-forgotten", "worker-restart", "worker-mute"]},
    "at": {"$ref": "#/$defs/duration"},
    "for": {"$ref": "#/$defs/duration"},
    "times": {"type": "integer", "minimum": 1, "maximum": 200},
    "every": {"$ref": "#/$defs/duration"}}}}}}`

// ParsePlan reads a plan. The error is a validator.Faults with the place and remedy of each fault.
func ParsePlan(file string, text []byte) (*Plan, error) {
	schema, err := validator.Compile("plan", schemaText)
	if err != nil {
		return nil, err
	}
	plan := &Plan{}
	if faults := schema.Decode(file, text, plan); len(faults) > 0 {
		return nil, faults
	}
	return plan, nil
}

// taskMemory is what each task asks for: processors decide in a rehearsal.
const taskMemory = 16 * datasize.MB

// The objective of all jobs, and how the advisor works.
const (
	target      = 600 * time.Millisecond
	stretch     = 2
	maxFailures = 3
	decide      = 5 * time.Millisecond
	perWorker   = 100 * time.Microsecond
	valid       = 1500 * time.Millisecond
)

// steps are the steps of a job of the queue.
func (q *Queue) steps(work time.Duration) []steptracker.Step {
	steps := make([]steptracker.Step, len(q.Steps))
	for i, s := range q.Steps {
		steps[i] = steptracker.Step{
			Tasks: s.Tasks, Needs: modeler.Resources{Processors: s.Processors, Memory: taskMemory}, Estimate: work, Gang: s.Gang,
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}

func (p *Plan) queues() []configprovider.Queue {
	var queues []configprovider.Queue
	for _, q := range p.Queues {
		queue := configprovider.Queue{Name: q.Name, Target: target, Stretch: stretch, MaxFailures: maxFailures, Priority: q.Priority}
		if q.Advised {
			queue.Advisor = &configprovider.AdvisorSettings{BaseLatency: decide, LatencyPerWorker: perWorker, TokenLifetime: valid}
		}
		queues = append(queues, queue)
	}
	return queues
}
