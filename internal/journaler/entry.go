package journaler

import (
	"encoding/json"
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// EntryKind is the type of event that an entry records.
type EntryKind string

const (
	// Accepted: the job was accepted. The entry is written before the caller is told.
	Accepted EntryKind = "accepted"
	// Permitted: a task of a job that is not repeatable may be sent to one worker, once. The entry
	// is written before the task is sent.
	Permitted EntryKind = "permitted"
	// Ended: a task reached a final state. The entry is written before the worker's record is
	// confirmed.
	Ended EntryKind = "ended"
	// Cancelled: the caller cancelled the job.
	Cancelled EntryKind = "cancelled"
	// Interrupted: an attempt ended before completion, and the task may be retried. The entry
	// prevents the task from being reported as "not run" later.
	Interrupted EntryKind = "interrupted"
	// WorkerAdded: tasks may be sent to this boot of the worker from now on. The entry is written
	// before the first task is sent, so that a successor knows every worker that may run a task.
	WorkerAdded EntryKind = "worker-added"
	// WorkerRemoved: the worker is gone and all of its leases have expired.
	WorkerRemoved EntryKind = "worker-removed"
)

// Entry is one event in the journal of a partition.
type Entry struct {
	Kind   EntryKind `json:"kind"`
	Key    string    `json:"key"`
	At     time.Time `json:"at"`
	Task   int       `json:"task,omitempty"`
	Ticket int64     `json:"ticket,omitempty"`

	Digest string       `json:"digest,omitempty"`
	Job    *modeler.Job `json:"job,omitempty"`

	Attempt *modeler.Attempt `json:"attempt,omitempty"`
	Worker  string           `json:"worker,omitempty"`
	Boot    string           `json:"boot,omitempty"`

	Evidence Evidence `json:"evidence,omitempty"`
	// CrashHistory replaces that of the task; nil leaves it as it is.
	CrashHistory *crashattributor.History `json:"crash-history,omitempty"`

	State  modeler.State   `json:"state,omitempty"`
	Reason string          `json:"reason,omitempty"`
	Result *modeler.Result `json:"result,omitempty"`
}

// Evidence is what is known about earlier attempts of a task.
type Evidence string

const (
	// NeverRan: no attempt has run.
	NeverRan Evidence = ""
	// MayHaveRun: an attempt may have run; if so, it has ended.
	MayHaveRun Evidence = "may-have-run"
	// HasRun: an attempt has run and has ended.
	HasRun Evidence = "has-run"
)

// journalRow holds the entries of one partition in one transaction.
type journalRow struct {
	Entries []Entry `json:"entries"`
}

// permitRow records a permit. It is never deleted, so that a task is not run again under a key
// whose job was removed long ago.
type permitRow struct {
	Attempt modeler.Attempt `json:"attempt"`
	Worker  string          `json:"worker"`
	Boot    string          `json:"boot"`
}

// OwnerKey returns the key of the owner row of a partition, which holds its owner and epoch.
func OwnerKey(partition string) string { return "partition/" + partition }

// rowPrefix returns the key prefix of the journal rows of a partition.
func rowPrefix(partition string) string { return "journal/" + partition + "/" }

// rowKey returns the key of a journal row. Keys sort by epoch, then by sequence number.
func rowKey(partition string, epoch modeler.Epoch, sequence int64) string {
	return fmt.Sprintf("%s%012d-%012d", rowPrefix(partition), epoch, sequence)
}

func permitKey(partition string, entry Entry) string {
	return fmt.Sprintf("permit/%s/%s/%d", partition, entry.Key, entry.Task)
}

func snapshotKey(partition string) string { return "snapshot/" + partition }

// snapshotRow points to the object that holds a partition's state up to and including journal row
// UpTo.
type snapshotRow struct {
	Object string `json:"object"`
	UpTo   string `json:"up-to"`
}

func encodeRow(value any) (json.RawMessage, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, &CodecError{Err: err}
	}
	return text, nil
}

// CodecError reports that a row of the journal cannot be encoded or decoded.
type CodecError struct {
	Key string
	Err error
}

func (e *CodecError) Error() string {
	return fmt.Sprintf("journal row %q: %v", e.Key, e.Err)
}

func (e *CodecError) Unwrap() error { return e.Err }
