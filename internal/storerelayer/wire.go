package storerelayer

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// wireRow is a row as instances exchange it. Its value is any sequence of bytes: records may be
// compressed, and rows of other writers may hold anything.
type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version,omitempty"`
}

func encodeRows(rows []connector.Row) []wireRow {
	var wire []wireRow
	for _, row := range rows {
		wire = append(wire, wireRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return wire
}

func decodeRows(wire []wireRow) []connector.Row {
	var rows []connector.Row
	for _, row := range wire {
		rows = append(rows, connector.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return rows
}

// wireTransaction is a transaction as instances exchange it.
type wireTransaction struct {
	ID            string                   `json:"id,omitempty"`
	Preconditions []connector.Precondition `json:"preconditions,omitempty"`
	Puts          []wireRow                `json:"puts,omitempty"`
	Deletes       []string                 `json:"deletes,omitempty"`
}

// wireRequest is a call to the store as instances exchange it; one of its fields is set.
type wireRequest struct {
	Transact *wireTransaction `json:"transact,omitempty"`
	Read     []string         `json:"read,omitempty"`
	Snapshot *snapshotRequest `json:"snapshot,omitempty"`
	Watch    *watchRequest    `json:"watch,omitempty"`
}

type snapshotRequest struct {
	Table string `json:"table"`
	Part  string `json:"part"`
}

type watchRequest struct {
	Table string        `json:"table"`
	After int64         `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// wireReply is the result of a store call as instances exchange it.
type wireReply struct {
	Committed bool      `json:"committed,omitempty"`
	Conflicts []wireRow `json:"conflicts,omitempty"`
	Rows      []wireRow `json:"rows,omitempty"`
	// Version is that of a committed transaction, of a snapshot or of the changes of a watch.
	Version   int64 `json:"version,omitempty"`
	Compacted bool  `json:"forgotten,omitempty"`
	// Refused is set if the call certainly had no effect, InDoubt if that is unknown.
	Refused string `json:"refused,omitempty"`
	Status  int    `json:"status,omitempty"`
	InDoubt string `json:"doubt,omitempty"`
}

func (r *request) encode() ([]byte, error) {
	wire := wireRequest{Read: r.Read, Snapshot: r.Snapshot, Watch: r.Watch}
	if r.Transact != nil {
		wire.Transact = &wireTransaction{ID: r.Transact.ID, Preconditions: r.Transact.Preconditions, Deletes: r.Transact.Deletes}
		for _, put := range r.Transact.Puts {
			wire.Transact.Puts = append(wire.Transact.Puts, wireRow{Key: put.Key, Value: put.Value})
		}
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return data, nil
}

func decodeRequest(data []byte) (*request, error) {
	var wire wireRequest
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decode request")
	}
	r := &request{Read: wire.Read, Snapshot: wire.Snapshot, Watch: wire.Watch}
	if wire.Transact != nil {
		r.Transact = &connector.Transaction{ID: wire.Transact.ID, Preconditions: wire.Transact.Preconditions, Deletes: wire.Transact.Deletes}
		for _, put := range wire.Transact.Puts {
			r.Transact.Puts = append(r.Transact.Puts, connector.Put{Key: put.Key, Value: put.Value})
		}
	}
	return r, nil
}

func (r *reply) encode() ([]byte, error) {
	wire := wireReply{
		Committed: r.Outcome.Committed, Conflicts: encodeRows(r.Outcome.Conflicts), Version: max(r.Outcome.Version, r.Changes.Version),
		Rows: encodeRows(r.Changes.Rows), Compacted: r.Compacted, Refused: r.Refused, Status: r.Status, InDoubt: r.InDoubt,
	}
	for _, row := range r.Rows {
		wire.Rows = append(wire.Rows, wireRow{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode reply")
	}
	return data, nil
}

// decodeReply decodes the reply to a request.
func decodeReply(data []byte, req *request) (reply, error) {
	var wire wireReply
	if err := json.Unmarshal(data, &wire); err != nil {
		return reply{}, errors.Wrap(err, "decode reply")
	}
	r := reply{Compacted: wire.Compacted, Refused: wire.Refused, Status: wire.Status, InDoubt: wire.InDoubt}
	rows := decodeRows(wire.Rows)
	switch {
	case req.Transact != nil:
		r.Outcome = connector.Outcome{Committed: wire.Committed, Version: wire.Version, Conflicts: decodeRows(wire.Conflicts)}
	case req.Read != nil:
		r.Rows = make(map[string]connector.Row, len(rows))
		for _, row := range rows {
			r.Rows[row.Key] = row
		}
	default:
		r.Changes = connector.Changes{Rows: rows, Version: wire.Version}
	}
	return r, nil
}
