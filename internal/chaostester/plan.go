package chaostester

import (
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// Plan defines the load and the faults of a test run.
type Plan struct {
	Seed uint64 `json:"seed"`
	// LoadDuration is how long callers submit jobs.
	LoadDuration modeler.Duration `json:"length"`
	Instances    int              `json:"instances"`
	Workers      int              `json:"workers"`
	// Processors is the capacity of each worker.
	Processors modeler.Processors `json:"processors"`
	// TaskDuration is the run time of each task.
	TaskDuration modeler.Duration `json:"work"`
	Queues       []Queue          `json:"queues"`
	Faults       []Fault          `json:"troubles"`
}

// Queue is a queue and the jobs that callers submit to it.
type Queue struct {
	Name          string  `json:"name"`
	JobsPerSecond float64 `json:"per-second"`
	Steps         []Step  `json:"steps"`
	Priority      int     `json:"priority"`
	// Advised makes the advisor decide which workers may run the steps.
	Advised bool `json:"advised"`
	// CrashingShare is the share of jobs whose first task crashes each worker that starts it.
	CrashingShare float64 `json:"crashing"`
}

// Step is a step of each job of a queue. It starts after the previous step.
type Step struct {
	Tasks      int                `json:"tasks"`
	Processors modeler.Processors `json:"processors"`
	Gang       bool               `json:"gang"`
}

// FaultKind names what a fault does.
type FaultKind string

// The kinds of faults.
const (
	// KillOwner kills the instance that owns the cell and restarts it when the fault ends.
	KillOwner FaultKind = "kill-owner"
	// KillAllInstances kills all instances and restarts them when the fault ends.
	KillAllInstances FaultKind = "kill-all"
	// ShutDownOwner shuts the owner down gracefully and restarts it when the fault ends.
	ShutDownOwner FaultKind = "stop-owner"
	// The faults of the store: it refuses calls, does not answer, answers slowly, or applies calls whose
	// replies are lost.
	StoreUnavailable  FaultKind = "store-busy"
	StoreUnresponsive FaultKind = "store-silent"
	StoreSlow         FaultKind = "store-slow"
	StoreRepliesLost  FaultKind = "store-lost"
	// CompactHistory drops the history of the store.
	CompactHistory FaultKind = "history-forgotten"
	// RestartWorker restarts a worker. DropWorkerReplies makes a worker execute requests without
	// replying.
	RestartWorker     FaultKind = "worker-restart"
	DropWorkerReplies FaultKind = "worker-mute"
	// ShrinkWorker halves the capacity of a worker.
	ShrinkWorker FaultKind = "worker-shrink"
)

// Fault is a fault and the times at which it is injected.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At is the time from the start of the load to the first injection, Duration how long the fault
	// lasts each time.
	At       modeler.Duration `json:"at"`
	Duration modeler.Duration `json:"for"`
	// Count is how often the fault is injected; 0 means once. Interval is the time from the end of an
	// injection to the start of the next.
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
    "crashing": {"type": "number", "minimum": 0, "maximum": 1},
    "steps": {"type": "array", "minItems": 1, "maxItems": 10, "items": {
     "type": "object", "additionalProperties": false, "required": ["tasks", "processors"],
     "properties": {
      "tasks": {"type": "integer", "minimum": 1, "maximum": 200},
      "processors": {"type": "number", "exclusiveMinimum": 0, "maximum": 1024},
      "gang": {"type": "boolean"}}}}}}},
  "troubles": {"type": "array", "maxItems": 100, "items": {
   "type": "object", "additionalProperties": false, "required": ["kind", "at"],
   "properties": {
    "kind": {"enum": ["kill-owner", "kill-all", "stop-owner", "store-busy", "store-silent", "store-slow", "store-lost", "history-forgotten", "worker-restart", "worker-mute", "worker-shrink"]},
    "at": {"$ref": "#/$defs/duration"},
    "for": {"$ref": "#/$defs/duration"},
    "times": {"type": "integer", "minimum": 1, "maximum": 200},
    "every": {"$ref": "#/$defs/duration"}}}}}}`

// ParsePlan parses a plan. Its error is a validator.Faults with the place and the remedy of each fault.
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

// taskMemory is the memory that each task requests. It is small, so that only processors limit
// placement.
const taskMemory = 16 * datasize.MB

// The latency objective and the failure limit of the jobs of all queues, and the settings of the
// advisor.
const (
	targetLatency           = 600 * time.Millisecond
	targetStretch           = 2
	maxFailures             = 3
	advisorBaseLatency      = 5 * time.Millisecond
	advisorLatencyPerWorker = 100 * time.Microsecond
	advisorTokenLifetime    = 1500 * time.Millisecond
)

// steps returns the steps of a job of the queue.
func (q *Queue) steps(taskDuration time.Duration) []steptracker.Step {
	steps := make([]steptracker.Step, len(q.Steps))
	for i, s := range q.Steps {
		steps[i] = steptracker.Step{
			Tasks: s.Tasks, Needs: modeler.Resources{Processors: s.Processors, Memory: taskMemory}, Estimate: taskDuration, Gang: s.Gang,
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
		queue := configprovider.Queue{Name: q.Name, Policy: configprovider.Policy{Target: targetLatency, Stretch: targetStretch, MaxFailures: maxFailures, Priority: q.Priority}}
		if q.Advised {
			queue.Advisor = &configprovider.AdvisorSettings{BaseLatency: advisorBaseLatency, LatencyPerWorker: advisorLatencyPerWorker, TokenLifetime: advisorTokenLifetime}
		}
		queues = append(queues, queue)
	}
	return queues
}
