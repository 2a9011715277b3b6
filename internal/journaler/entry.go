package journaler

import (
	"encoding/json"
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// EntryKind says what an entry records.
type EntryKind string

const (
	// Accepted: the job was taken; written before the caller is told so.
	Accepted EntryKind = "accepted"
	// Permitted: one task of a not repeatable job may be sent to one worker, once; written
	// before it is sent.
	Permitted EntryKind = "permitted"
	// Ended: a task reached a final state; written before the worker's record is confirmed.
	Ended EntryKind = "ended"
	// Cancelled: the caller wants no more of the job.
	Cancelled EntryKind = "cancelled"
	// Interrupted: an attempt ended unfinished, and the task may be tried again. It is written so
	// that nobody says "not run" of the task later.
	Interrupted EntryKind = "interrupted"
	// WorkerAdded: from now on tasks may be sent to a worker in a boot. Written before the first
	// one is, so that a successor knows every worker that can hold one.
	WorkerAdded EntryKind = "worker-added"
	// WorkerRemoved: a worker is gone and its leases are over.
	WorkerRemoved EntryKind = "worker-removed"
)

// Entry is one step of a job of a partition.
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

	State  modeler.State   `json:"state,omitempty"`
	Reason string          `json:"reason,omitempty"`
	Result *modeler.Result `json:"result,omitempty"`
}

// Evidence is what is known of earlier attempts of a task.
type Evidence string

const (
	// NeverRan: no attempt of it ever ran.
	NeverRan Evidence = ""
	// MayHaveRun: an attempt may have run and is over.
	MayHaveRun Evidence = "may-have-run"
	// HasRun: an attempt ran and is over.
	HasRun Evidence = "has-run"
)

// journalRow is one partition's share of a transaction.
type journalRow struct {
	Entries []Entry `json:"entries"`
}

// permitRow stands forever, so that a key whose job is long forgotten is never run again.
type permitRow struct {
	Attempt modeler.Attempt `json:"attempt"`
	Worker  string          `json:"worker"`
	Boot    string          `json:"boot"`
}

// OwnerKey is the row that names the owner and the epoch of a partition.
func OwnerKey(partition string) string { return "partition/" + partition }

// rowPrefix is where the journal rows of a partition stand.
func rowPrefix(partition string) string { return "journal/" + partition + "/" }

// rowKey orders rows by epoch, then by sequence.
func rowKey(partition string, epoch modeler.Epoch, sequence int64) string {
	return fmt.Sprintf("%s%012d-%012d", rowPrefix(partition), epoch, sequence)
}

func permitKey(partition string, entry Entry) string {
	return fmt.Sprintf("permit/%s/%s/%d", partition, entry.Key, entry.Task)
}

func snapshotKey(partition string) string { return "snapshot/" + partition }

// snapshotRow names the object that holds a partition's state up to and with a journal row.
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

// CodecError tells that a row of ours can't be written or read.
type CodecError struct {
	Key string
	Err error
}

func (e *CodecError) Error() string {
	return fmt.Sprintf("row %q of the journal: %v", e.Key, e.Err)
}

func (e *CodecError) Unwrap() error { return e.Err }
