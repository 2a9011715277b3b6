package steptracker

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// State is what callers are told of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether the state can't change any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// EndReason is how a run ended.
type EndReason string

// How runs end. Only Done and TaskFailed count for the job; the others are no fault of the task.
const (
	Done         EndReason = "done"
	TaskFailed   EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
	Broken       EndReason = "broken"
	Alone        EndReason = "alone"
	// NeverStarted is an ending that no worker reports: the run is proved never to have started.
	NeverStarted EndReason = "never-ran"
	// WorkerLost is an ending that no worker reports: the worker's life ended with the run in it.
	WorkerLost EndReason = "lost"
)

// StepKey names a step of an occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// TaskKey names a task.
type TaskKey struct {
	StepKey
	Index int
}

// String writes the key as workers know it.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// InvalidTaskKeyError tells that a text names no task.
type InvalidTaskKeyError struct {
	Text string
}

func (e *InvalidTaskKeyError) Error() string { return strconv.Quote(e.Text) + " names no task" }

// ParseTaskKey reads what String writes.
func ParseTaskKey(text string) (TaskKey, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskKey{}, &InvalidTaskKeyError{Text: text}
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskKey{}, &InvalidTaskKeyError{Text: text}
		}
		numbers[i] = number
	}
	return TaskKey{StepKey: StepKey{Job: parts[0], Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2]}, nil
}

// Incarnation names one life of a worker: the same worker may start again under its name.
type Incarnation struct {
	Worker string `json:"worker,omitempty"`
	// StartMillis is the worker's own word for its start, in Unix milliseconds.
	StartMillis int64 `json:"born,omitempty"`
}

// Task is what is known of one task.
type Task struct {
	// Run is the number of the latest run, 0 before the first.
	Run int `json:"run,omitempty"`
	// AssignedTo is where the latest run may be; the zero life means nowhere.
	AssignedTo Incarnation `json:"at,omitzero"`
	Done       bool        `json:"done,omitempty"`
	Failures   int         `json:"failures,omitempty"`
	// FailedRun is the last run that failed. The members of a gang share their first member's
	// failures: several of them may fail in one run, which counts once.
	FailedRun int `json:"failed-run,omitempty"`
	// Checkpoint is the latest saved progress that is known.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Assigned tells whether a run of the task may be somewhere.
func (t *Task) Assigned() bool { return t.AssignedTo.Worker != "" }

// Occurrence is one round of a job's steps.
type Occurrence struct {
	Number int      `json:"number"`
	Steps  [][]Task `json:"steps"`
}

// Progress is what has become of a job. It is written whole after each change.
type Progress struct {
	Queue string `json:"queue"`
	// State is set only when it is final.
	State      State     `json:"state,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	AcceptedAt time.Time `json:"accepted-at"`
	// EndedAt is when the final state was decided.
	EndedAt time.Time `json:"ended-at,omitzero"`
	// Next is the first occurrence that has not begun.
	Next int `json:"next,omitempty"`
	// Started tells that a worker has confirmed the start of a task.
	Started bool `json:"begun,omitempty"`
	// Open are the occurrences that have begun and not ended.
	Open []*Occurrence `json:"open,omitempty"`
}

// NewProgress returns the progress of a job that has just been accepted.
func NewProgress(job *Job, acceptedAt time.Time) *Progress {
	return &Progress{Queue: job.Queue, AcceptedAt: acceptedAt}
}

// Encode writes the progress for the store.
func (p *Progress) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode progress")
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
	}
	return p, nil
}

// OpenDue opens the occurrences that are due.
func (p *Progress) OpenDue(job *Job, now time.Time) {
	for p.State == "" && p.Next < job.Occurrences() && !job.DueAt(p.Next).After(now) {
		occurrence := &Occurrence{Number: p.Next, Steps: make([][]Task, len(job.Steps))}
		for i := range job.Steps {
			occurrence.Steps[i] = make([]Task, job.Steps[i].Tasks)
		}
		p.Open = append(p.Open, occurrence)
		p.Next++
	}
}

// FindOccurrence returns an open occurrence.
func (p *Progress) FindOccurrence(number int) (*Occurrence, bool) {
	for _, occurrence := range p.Open {
		if occurrence.Number == number {
			return occurrence, true
		}
	}
	return nil, false
}

// Task returns the record of a task, or nil if its occurrence is over or there is no such task.
func (p *Progress) Task(key TaskKey) *Task {
	occurrence, found := p.FindOccurrence(key.Occurrence)
	if !found || key.Step >= len(occurrence.Steps) || key.Index >= len(occurrence.Steps[key.Step]) {
		return nil
	}
	return &occurrence.Steps[key.Step][key.Index]
}

// StepDone tells whether all tasks of a step have ended well.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if !o.Steps[step][i].Done {
			return false
		}
	}
	return true
}

// StepReady tells whether the steps before a step have ended.
func (o *Occurrence) StepReady(job *Job, step int) bool {
	for _, dependency := range job.Steps[step].After {
		if !o.StepDone(dependency) {
			return false
		}
	}
	return true
}

// Assign records that a run of a task goes to a life of a worker.
func (p *Progress) Assign(key TaskKey, run int, at Incarnation) {
	task := p.Task(key)
	task.Run, task.AssignedTo = run, at
}

// RecordEnd records the end of a run. It reports false, and changes nothing, if the run is not the one
// that the task waits for. A gang ends as one: an end of a member is that of all its members in the
// same run, and a failure counts once for each.
func (p *Progress) RecordEnd(job *Job, key TaskKey, run int, reason EndReason) bool {
	task := p.Task(key)
	if task == nil || task.Done || task.Run != run || !task.Assigned() {
		return false
	}
	step := &job.Steps[key.Step]
	occurrence, _ := p.FindOccurrence(key.Occurrence)
	switch reason {
	case Done:
		task.AssignedTo = Incarnation{}
		if step.LongRunning {
			return true
		}
		task.Done = true
		if step.Gang {
			for i := range occurrence.Steps[key.Step] {
				occurrence.Steps[key.Step][i].Done = true
			}
		}
	case TaskFailed:
		task.AssignedTo = Incarnation{}
		counted := task
		if step.Gang {
			counted = &occurrence.Steps[key.Step][0]
		}
		if counted.FailedRun != run {
			counted.FailedRun = run
			counted.Failures++
		}
	case Stopped, LeaseExpired, Broken, Alone, NeverStarted, WorkerLost:
		task.AssignedTo = Incarnation{}
	}
	return true
}

// UpdateState closes occurrences that have ended and decides the final state, if there is one now. A
// task that lasts has no limit of failures.
func (p *Progress) UpdateState(job *Job, maxFailures int, now time.Time) {
	if p.State != "" {
		return
	}
	open := p.Open[:0]
	for _, occurrence := range p.Open {
		ended := true
		for i := range job.Steps {
			if !job.Steps[i].LongRunning && occurrence.hasFailedTask(i, maxFailures) {
				p.State, p.Reason, p.EndedAt = Failed, "a task failed in "+strconv.Itoa(maxFailures)+" attempts", now
			}
			ended = ended && !job.Steps[i].LongRunning && occurrence.StepDone(i)
		}
		if !ended {
			open = append(open, occurrence)
		}
	}
	p.Open = open
	if p.State == "" && len(p.Open) == 0 && p.Next == job.Occurrences() {
		p.State, p.EndedAt = Completed, now
	}
}

func (o *Occurrence) hasFailedTask(step, maxFailures int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Failures >= maxFailures {
			return true
		}
	}
	return false
}

// Cancel makes the job cancelled, if it has no final state yet.
func (p *Progress) Cancel(now time.Time) {
	if p.State == "" {
		p.State, p.EndedAt = Cancelled, now
	}
}

// ForEachTask calls visit for every task of the open occurrences.
func (p *Progress) ForEachTask(id string, visit func(key TaskKey, task *Task)) {
	for _, occurrence := range p.Open {
		for step := range occurrence.Steps {
			for index := range occurrence.Steps[step] {
				key := TaskKey{StepKey: StepKey{Job: id, Occurrence: occurrence.Number, Step: step}, Index: index}
				visit(key, &occurrence.Steps[step][index])
			}
		}
	}
}
