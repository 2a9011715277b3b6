package steptracker

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Limits of a job. They bound what one request may cost; the widest jobs of both users have a
// tenth of them.
const (
	maxSteps          = 64
	maxTasks          = 2000
	maxPayload        = 4000
	maxOccurrences    = 10000
	maxResourceAmount = 1 << 40
)

// Step is a part of a job: tasks that are alike.
type Step struct {
	Tasks int               `json:"tasks"`
	Needs modeler.Resources `json:"needs"`
	// Estimate is the caller's rough guess of how long one task takes.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps that must have ended before this one starts.
	After []int `json:"after,omitempty"`
	// Checkpoints tells that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tells that the tasks work only together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tells that the tasks slow down if they are spread over racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is one that the worker must have, or empty.
	Label string `json:"label,omitempty"`
	// DataRack is where the data of the tasks is, or empty.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `json:"most-per-worker,omitempty"`
	// AllowDuplicates tells that copies of a task may run side by side.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// LongRunning tells that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail of the response times of a lasting task; 0 is no bound.
	TailTarget time.Duration `json:"tail-target,omitempty"`
	// BestEffort tells that the tasks use only processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away by the system's own doing.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Reservation is what one task of the step takes of a worker.
func (s *Step) Reservation() modeler.Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.Processors = 0
	}
	return needs
}

// Schedule tells when the occurrences of a job are due. The zero value is a job that runs once, at
// once.
type Schedule struct {
	Occurrences int           `json:"occurrences,omitempty"`
	First       time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// Job is what a caller handed in. It never changes.
type Job struct {
	ID       string   `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
}

// InvalidJobError tells what is wrong with a job and where.
type InvalidJobError struct {
	Path   string
	Reason string
}

func (e *InvalidJobError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns an *InvalidJobError if the job can't be taken.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > maxPayload:
		return &InvalidJobError{Path: "$.payload", Reason: fmt.Sprintf("%d bytes are over the limit of %d", len(j.Payload), maxPayload)}
	case len(j.Steps) == 0:
		return &InvalidJobError{Path: "$.steps", Reason: "a job has at least one step"}
	case len(j.Steps) > maxSteps:
		return &InvalidJobError{Path: "$.steps", Reason: fmt.Sprintf("%d steps are over the limit of %d", len(j.Steps), maxSteps)}
	case j.Schedule.Occurrences < 0 || j.Schedule.Occurrences > maxOccurrences:
		return &InvalidJobError{Path: "$.schedule.occurrences", Reason: fmt.Sprintf("must be between 0 and %d", maxOccurrences)}
	case j.Schedule.Interval < 0:
		return &InvalidJobError{Path: "$.schedule.interval", Reason: "must not be negative"}
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i, len(j.Steps)); err != nil {
			return err
		}
		total += j.Steps[i].Tasks
	}
	if total > maxTasks {
		return &InvalidJobError{Path: "$.steps", Reason: fmt.Sprintf("%d tasks are over the limit of %d", total, maxTasks)}
	}
	return nil
}

// check refuses numbers without meaning. A step may only follow earlier ones, so there is no cycle.
func (s *Step) validate(index, steps int) error {
	path := fmt.Sprintf("$.steps[%d]", index)
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return &InvalidJobError{Path: path + ".tasks", Reason: fmt.Sprintf("must be between 1 and %d", maxTasks)}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index || dependency >= steps {
			return &InvalidJobError{Path: path + ".after", Reason: fmt.Sprintf("step %d does not come before step %d", dependency, index)}
		}
	}
	needs := s.Needs
	if needs.Processors < 0 || needs.Processors > maxResourceAmount || needs.Accelerators < 0 || needs.Accelerators > maxResourceAmount || needs.Memory > maxResourceAmount<<20 {
		return &InvalidJobError{Path: path, Reason: "a size is negative or beyond any worker"}
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TailTarget < 0 {
		return &InvalidJobError{Path: path, Reason: "a number is negative"}
	}
	return nil
}

// Scheduled tells whether the job runs at set times.
func (j *Job) Scheduled() bool { return j.Schedule.Occurrences > 0 }

// Occurrences is how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Occurrences) }

// DueAt is when an occurrence may start; the zero time is at once.
func (j *Job) DueAt(occurrence int) time.Time {
	if !j.Scheduled() {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// IsLongRunning tells whether any step runs until the job is cancelled.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath is the longest chain of the steps' durations, as estimate gives them.
func (j *Job) CriticalPath(estimate func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, dependency := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += estimate(i)
		longest = max(longest, ends[i])
	}
	return longest
}
