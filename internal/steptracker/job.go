package steptracker

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Limits of a job, which bound the cost of one request. They are ten times the size of the largest
// jobs that the scheduler is designed for.
const (
	MaxSteps          = 64
	maxTasks          = 2000
	maxPayloadBytes   = 4000
	maxOccurrences    = 10000
	maxResourceAmount = 1 << 40
)

// Step is a part of a job that consists of identical tasks.
type Step struct {
	Tasks int               `json:"tasks"`
	Needs modeler.Resources `json:"needs"`
	// Estimate is the caller's rough estimate of the run time of one task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// Checkpoints reports whether the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang reports whether the tasks must all run at the same time; they also end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack asks for all tasks on one rack, because they are slower when spread over racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is a label that the worker must have; empty means any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the input data of the tasks; empty means no preference.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"most-per-worker,omitempty"`
	// AllowDuplicates permits several copies of a task to run at the same time.
	AllowDuplicates bool `json:"duplicates,omitempty"`
	// LongRunning reports whether the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TailTarget is the target for the tail latency of a long-running task; 0 means no target.
	TailTarget time.Duration `json:"tail-target,omitempty"`
	// BestEffort reports whether the tasks use only processor time that other tasks leave idle. No
	// processors are reserved for them.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable limits how many tasks of a long-running step may be stopped at the same time by
	// the scheduler itself.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Reservation returns the resources that one task of the step reserves on a worker.
func (s *Step) Reservation() modeler.Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.Processors = 0
	}
	return needs
}

// Schedule defines when the occurrences of a job are due. The zero value describes a job that runs
// once and immediately.
type Schedule struct {
	Occurrences int           `json:"occurrences,omitempty"`
	First       time.Time     `json:"first,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// Job is a job as submitted by a caller. It is immutable.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Team is the team that submitted the job, empty if the configuration knows no teams or the queue is
	// public.
	Team string `json:"team,omitempty"`
	// Path is the host and the path prefix of the queue, empty if the job was accepted while there was one
	// service.
	Path     string   `json:"path,omitempty"`
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
	// Policy is that of the queue when the job was accepted, nil if a version that did not store it has accepted
	// the job.
	Policy *configprovider.Policy `json:"policy,omitempty"`
}

// InvalidJobError reports an invalid field of a job. Path is the JSON path of the field.
type InvalidJobError struct {
	Path   string
	Reason string
}

func (e *InvalidJobError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns an *InvalidJobError if the job is not acceptable.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > maxPayloadBytes:
		return &InvalidJobError{Path: "$.payload", Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(j.Payload), maxPayloadBytes)}
	case len(j.Steps) == 0:
		return &InvalidJobError{Path: "$.steps", Reason: "a job must have at least one step"}
	case len(j.Steps) > MaxSteps:
		return &InvalidJobError{Path: "$.steps", Reason: fmt.Sprintf("%d steps exceed the limit of %d", len(j.Steps), MaxSteps)}
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
		return &InvalidJobError{Path: "$.steps", Reason: fmt.Sprintf("%d tasks exceed the limit of %d", total, maxTasks)}
	}
	return nil
}

// validate rejects values out of range. A step may depend only on steps with a lower index, so
// dependencies can't form a cycle.
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
		return &InvalidJobError{Path: path, Reason: "a resource amount is negative or larger than any worker"}
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TailTarget < 0 {
		return &InvalidJobError{Path: path, Reason: "a duration or a limit is negative"}
	}
	return nil
}

// Scheduled reports whether the job runs on a schedule.
func (j *Job) Scheduled() bool { return j.Schedule.Occurrences > 0 }

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Schedule.Occurrences) }

// DueAt returns the earliest start time of an occurrence; the zero time means immediately.
func (j *Job) DueAt(occurrence int) time.Time {
	if !j.Scheduled() {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// IsLongRunning reports whether any step runs until the job is cancelled.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the length of the longest chain of dependent steps, given the estimated
// duration of each step.
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

// RemainingPath returns the length of the longest chain of dependent steps that begins with a step,
// given the estimated duration of each step.
func (j *Job) RemainingPath(step int, estimate func(step int) time.Duration) time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= step; i-- {
		paths[i] += estimate(i)
		for _, dependency := range j.Steps[i].After {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths[step]
}
