package jobtracker

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// savedTracker is the encoding of a snapshot. It holds durable jobs only.
type savedTracker struct {
	Jobs    []savedJob    `json:"jobs"`
	Workers []savedWorker `json:"workers"`
}

type savedWorker struct {
	Name string `json:"name"`
	Boot string `json:"boot"`
}

type savedJob struct {
	Key        string      `json:"key"`
	Digest     string      `json:"digest"`
	Spec       modeler.Job `json:"spec"`
	Ticket     int64       `json:"ticket"`
	AcceptedAt time.Time   `json:"accepted-at"`
	FinishedAt time.Time   `json:"finished-at,omitzero"`
	Cancelled  bool        `json:"cancelled,omitempty"`
	Tasks      []savedTask `json:"tasks"`
}

// savedTask omits everything that the workers report again. Final is set only for a final state.
type savedTask struct {
	Final        modeler.State           `json:"final,omitempty"`
	Evidence     journaler.Evidence      `json:"evidence,omitempty"`
	CrashHistory crashattributor.History `json:"crash-history,omitzero"`
	Reason       string                  `json:"reason,omitempty"`
	Permitted    *modeler.Attempt        `json:"permitted,omitempty"`
	Worker       string                  `json:"worker,omitempty"`
	Boot         string                  `json:"boot,omitempty"`
	Result       *modeler.Result         `json:"result,omitempty"`
	StartedAt    time.Time               `json:"started-at,omitzero"`
}

// Save encodes all accepted durable jobs. A task whose end has not been written to the journal yet
// is saved as open: the worker keeps its record until the entry is written.
func (tr *Tracker) Save() (json.RawMessage, error) {
	saved := savedTracker{Jobs: []savedJob{}}
	for _, job := range tr.jobs {
		if job.Durable && job.Accepted {
			saved.Jobs = append(saved.Jobs, job.save())
		}
	}
	for name, boot := range tr.Workers {
		saved.Workers = append(saved.Workers, savedWorker{Name: name, Boot: boot})
	}
	sort.Slice(saved.Workers, func(i, j int) bool { return saved.Workers[i].Name < saved.Workers[j].Name })
	sort.Slice(saved.Jobs, func(i, j int) bool { return saved.Jobs[i].Key < saved.Jobs[j].Key })
	text, err := json.Marshal(saved)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return text, nil
}

func (j *Job) save() savedJob {
	saved := savedJob{
		Key:        j.Key,
		Digest:     j.Digest,
		Spec:       j.Spec,
		Ticket:     j.Ticket,
		AcceptedAt: j.AcceptedAt,
		FinishedAt: j.FinishedAt,
		Cancelled:  j.Cancelled,
	}
	for i := range j.Tasks {
		saved.Tasks = append(saved.Tasks, j.Tasks[i].save())
	}
	return saved
}

func (t *Task) save() savedTask {
	saved := savedTask{StartedAt: t.StartedAt, Evidence: t.Evidence, CrashHistory: t.CrashHistory}
	if t.Permitted {
		attempt := t.Attempt
		saved.Permitted = &attempt
		saved.Worker = t.Worker
		saved.Boot = t.Boot
	}
	if t.Phase == Finished {
		saved.Final = t.State
		saved.Reason = t.Reason
		saved.Result = t.Result
	}
	return saved
}

// Restore fills an empty tracker from a snapshot, which may be empty, and the entries after it.
func (tr *Tracker) Restore(snapshot json.RawMessage, entries []journaler.Entry) error {
	if len(snapshot) > 0 {
		var saved savedTracker
		if err := json.Unmarshal(snapshot, &saved); err != nil {
			return errors.Wrap(err, "decode snapshot")
		}
		for i := range saved.Jobs {
			tr.restore(&saved.Jobs[i])
		}
		for _, worker := range saved.Workers {
			tr.Workers[worker.Name] = worker.Boot
		}
	}
	for _, entry := range entries {
		tr.Apply(entry)
	}
	return nil
}

func (tr *Tracker) restore(saved *savedJob) {
	job := tr.Add(saved.Key, saved.Digest, saved.Spec, saved.AcceptedAt, Unverified)
	job.Durable = true
	job.Accepted = true
	job.Ticket = saved.Ticket
	job.Cancelled = saved.Cancelled
	for i := range saved.Tasks {
		if i >= len(job.Tasks) {
			break
		}
		job.restoreTask(i, &saved.Tasks[i], saved.FinishedAt)
	}
}

func (j *Job) restoreTask(task int, saved *savedTask, finishedAt time.Time) {
	t := &j.Tasks[task]
	t.StartedAt = saved.StartedAt
	t.Evidence = saved.Evidence
	t.CrashHistory = saved.CrashHistory
	if saved.Permitted != nil {
		t.Permitted = true
		t.Attempt = *saved.Permitted
		t.Worker = saved.Worker
		t.Boot = saved.Boot
	}
	if saved.Final != "" {
		j.End(task, saved.Final, saved.Reason, saved.Result, finishedAt)
	}
}
