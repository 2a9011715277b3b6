package steptracker

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
)

// State is the state of a job as reported to callers.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// EndReason is the reason why a run ended.
type EndReason string

// The reasons why runs end. Only Done and TaskFailed affect the outcome of the job; for all others
// the task is not at fault.
const (
	Done         EndReason = "done"
	TaskFailed   EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
	Broken       EndReason = "broken"
	Alone        EndReason = "alone"
	// NeverStarted is set by the scheduler, not by a worker: the run is proved never to have
	// started.
	NeverStarted EndReason = "never-ran"
	// WorkerLost is set by the scheduler, not by a worker: the incarnation of the worker that had
	// the run has ended.
	WorkerLost EndReason = "lost"
)

// StepKey identifies a step of an occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// Compare returns a negative number if k comes before other.
func (k StepKey) Compare(other StepKey) int {
	return cmp.Or(cmp.Compare(k.Job, other.Job), cmp.Compare(k.Occurrence, other.Occurrence), cmp.Compare(k.Step, other.Step))
}

// TaskKey identifies a task.
type TaskKey struct {
	StepKey
	Index int
}

// String returns the key in the form used between scheduler and workers.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// InvalidTaskKeyError reports a text that is not a valid task key.
type InvalidTaskKeyError struct {
	Text string
}

func (e *InvalidTaskKeyError) Error() string {
	return strconv.Quote(e.Text) + " is not a valid task key"
}

// ParseTaskKey parses the output of TaskKey.String.
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

// Incarnation identifies a worker between one of its starts and the next: a worker that restarts
// keeps its name.
type Incarnation struct {
	Worker string `json:"worker,omitempty"`
	// StartMillis is the start time that the worker reports, in Unix milliseconds.
	StartMillis int64 `json:"born,omitempty"`
}

// Task is the record of one task.
type Task struct {
	// Run is the number of the latest run, 0 before the first.
	Run int `json:"run,omitempty"`
	// AssignedTo is the incarnation that may have the latest run; the zero value means none.
	AssignedTo Incarnation `json:"at,omitzero"`
	Done       bool        `json:"done,omitempty"`
	Failures   int         `json:"failures,omitempty"`
	// FailedRun is the number of the last run that failed. A gang keeps its failures in the record
	// of its first task: several tasks may fail in the same run, which counts as one failure.
	FailedRun int `json:"failed-run,omitempty"`
	// CrashHistory is what is known about the crashes of the workers that ran the task.
	CrashHistory crashattributor.History `json:"crash-history,omitzero"`
	// Checkpoint is the latest known checkpoint of the task.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Assigned reports whether a worker may have a run of the task.
func (t *Task) Assigned() bool { return t.AssignedTo.Worker != "" }

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Number int      `json:"number"`
	Steps  [][]Task `json:"steps"`
}

// Progress is the state of a job and its tasks. It is written to the store as a whole after each
// change.
type Progress struct {
	Queue string `json:"queue"`
	// Team is the team that submitted the job.
	Team string `json:"team,omitempty"`
	// Path is the path of the job.
	Path string `json:"path,omitempty"`
	// State is set only when it is final.
	State      State     `json:"state,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	AcceptedAt time.Time `json:"accepted-at"`
	// EndedAt is the time when the job reached its final state.
	EndedAt time.Time `json:"ended-at,omitzero"`
	// Next is the number of the first occurrence that has not been opened.
	Next int `json:"next,omitempty"`
	// Started reports whether a worker has confirmed the start of a task.
	Started bool `json:"begun,omitempty"`
	// Open lists the occurrences that have become due and have not ended.
	Open []*Occurrence `json:"open,omitempty"`
}

// NewProgress returns the progress of a job that has just been accepted.
func NewProgress(job *Job, acceptedAt time.Time) *Progress {
	return &Progress{Queue: job.Queue, Team: job.Team, Path: job.Path, AcceptedAt: acceptedAt}
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

// FindOccurrence returns the open occurrence with the given number.
func (p *Progress) FindOccurrence(number int) (*Occurrence, bool) {
	for _, occurrence := range p.Open {
		if occurrence.Number == number {
			return occurrence, true
		}
	}
	return nil, false
}

// Task returns the record of a task, or nil if its occurrence is not open or has no such task.
func (p *Progress) Task(key TaskKey) *Task {
	occurrence, found := p.FindOccurrence(key.Occurrence)
	if !found || key.Step >= len(occurrence.Steps) || key.Index >= len(occurrence.Steps[key.Step]) {
		return nil
	}
	return &occurrence.Steps[key.Step][key.Index]
}

// StepDone reports whether all tasks of a step have completed successfully.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if !o.Steps[step][i].Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all dependencies of a step are done.
func (o *Occurrence) StepReady(job *Job, step int) bool {
	for _, dependency := range job.Steps[step].After {
		if !o.StepDone(dependency) {
			return false
		}
	}
	return true
}

// Assign records that a run of a task is assigned to an incarnation of a worker.
func (p *Progress) Assign(key TaskKey, run int, at Incarnation) {
	task := p.Task(key)
	task.Run, task.AssignedTo = run, at
}

// RecordEnd records the end of a run. It returns false and changes nothing if the run is not the
// latest run of the task or its end has already been recorded. When one task of a gang is done, all
// tasks of the gang are done; failures of several tasks in the same run count as one failure.
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
		p.RecordDone(job, key)
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

// RecordDone records that a task is done, whichever of its runs was. All tasks of a gang are done then.
func (p *Progress) RecordDone(job *Job, key TaskKey) {
	task := p.Task(key)
	if task == nil {
		return
	}
	task.Done = true
	if job.Steps[key.Step].Gang {
		occurrence, _ := p.FindOccurrence(key.Occurrence)
		for i := range occurrence.Steps[key.Step] {
			occurrence.Steps[key.Step][i].Done = true
		}
	}
}

// UpdateState closes the occurrences that have ended and sets the final state of the job if it has
// been reached. maxFailures is the number of failed runs of one task after which the job fails, 0 if that is
// not known. Long-running tasks may fail any number of times, but may not crash their workers.
func (p *Progress) UpdateState(job *Job, maxFailures int, now time.Time) {
	if p.State != "" {
		return
	}
	open := p.Open[:0]
	for _, occurrence := range p.Open {
		ended := true
		for i := range job.Steps {
			if !job.Steps[i].LongRunning && maxFailures > 0 && occurrence.hasFailedTask(i, maxFailures) {
				p.State, p.Reason, p.EndedAt = Failed, "a task failed in "+strconv.Itoa(maxFailures)+" attempts", now
			}
			if crashes := occurrence.crashesOfGivenUpTask(i); crashes > 0 {
				p.State, p.Reason, p.EndedAt = Failed, "a task crashed the workers that started it ("+strconv.Itoa(crashes)+" crashes)", now
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

// crashesOfGivenUpTask returns the number of workers that crashed under a task of the step that is given
// up, or 0 if there is none.
func (o *Occurrence) crashesOfGivenUpTask(step int) int {
	for i := range o.Steps[step] {
		if history := &o.Steps[step][i].CrashHistory; history.GivenUp() {
			return history.Crashes
		}
	}
	return 0
}

// Cancel sets the state to Cancelled unless the job already has a final state.
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
