package journaler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// DefaultRowsPerSnapshot is the default number of journal rows of a partition between snapshots.
// With fewer rows, a snapshot would not be worth its writes.
const DefaultRowsPerSnapshot = 256

// snapshotTimeout bounds the writing of one snapshot. If it fails, the next snapshot covers more
// rows.
const snapshotTimeout = 30 * time.Second

// Store is the part of the table and the object store that snapshots use.
type Store interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
	Scan(ctx context.Context, prefix string) ([]connector.Row, error)
	GetObject(ctx context.Context, name string) (json.RawMessage, error)
	PutObject(ctx context.Context, name string, content json.RawMessage) error
	DeleteObject(ctx context.Context, name string) error
}

// Recovered is the state of a partition that was read from the table and the object store. Rows is
// the number of journal rows that hold Entries.
type Recovered struct {
	Snapshot json.RawMessage
	Entries  []Entry
	Rows     int
}

// Load reads a partition's snapshot and the entries after it. It must only be called after the
// owner row names this instance, because until then the old owner may still write entries.
func Load(ctx context.Context, store Store, partition string) (Recovered, error) {
	rows, err := store.Read(ctx, snapshotKey(partition))
	if err != nil {
		return Recovered{}, errors.Wrap(err, "read snapshot row")
	}
	var recovered Recovered
	var pointer snapshotRow
	if row, found := rows[snapshotKey(partition)]; found {
		if err := json.Unmarshal(row.Value, &pointer); err != nil {
			return Recovered{}, &CodecError{Key: row.Key, Err: err}
		}
		recovered.Snapshot, err = store.GetObject(ctx, pointer.Object)
		if err != nil {
			return Recovered{}, errors.Wrap(err, "read snapshot "+pointer.Object)
		}
	}
	journal, err := store.Scan(ctx, rowPrefix(partition))
	if err != nil {
		return Recovered{}, errors.Wrap(err, "scan journal")
	}
	for _, row := range journal {
		if row.Key <= pointer.UpTo {
			continue
		}
		var content journalRow
		if err := json.Unmarshal(row.Value, &content); err != nil {
			return Recovered{}, &CodecError{Key: row.Key, Err: err}
		}
		recovered.Entries = append(recovered.Entries, content.Entries...)
		recovered.Rows++
	}
	return recovered, nil
}

// SnapshotDue reports whether a snapshot of the partition is due, and returns the last row whose
// entries were reported as written. If it is due, the row count starts again from zero.
func (j *Journal) SnapshotDue(partition string) (upTo string, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pj := j.partitions[partition]
	if pj == nil || pj.rowsSinceSnapshot < j.settings.RowsPerSnapshot {
		return "", false
	}
	pj.rowsSinceSnapshot = 0
	return pj.lastRow, true
}

// SaveSnapshot stores the state as an object, updates the snapshot row and deletes the journal rows
// that the snapshot covers. state must include the effect of every entry up to row upTo. It may
// include later entries, because applying an entry twice has no further effect.
func (j *Journal) SaveSnapshot(ctx context.Context, store Store, partition, upTo string, state []byte) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	previous, err := store.Read(ctx, snapshotKey(partition))
	if err != nil {
		return errors.Wrap(err, "read snapshot row")
	}
	name := fmt.Sprintf("snapshot-%s-%s", objectNamePart(partition), objectNamePart(upTo))
	if err := store.PutObject(ctx, name, state); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	covered, err := store.Scan(ctx, rowPrefix(partition))
	if err != nil {
		return errors.Wrap(err, "scan journal")
	}
	previousVersion := previous[snapshotKey(partition)].Version
	if err := j.commitPointer(ctx, partition, previousVersion, snapshotRow{Object: name, UpTo: upTo}, covered); err != nil {
		var stale *StaleSnapshotError
		if errors.As(err, &stale) {
			// No snapshot row refers to the object. If this deletion fails, the object only wastes
			// space.
			_ = store.DeleteObject(ctx, name)
		}
		return err
	}
	return deletePrevious(ctx, store, previous[snapshotKey(partition)], name)
}

// StaleSnapshotError reports that the snapshot was not recorded because the partition has a newer
// snapshot or another owner.
type StaleSnapshotError struct {
	Partition string
}

func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("partition %s has a newer snapshot or another owner", e.Partition)
}

// commitPointer updates the snapshot row, provided that it has not changed since before the object
// was stored. Without this precondition, a snapshot that took long could replace a newer one whose
// covered rows have already been deleted.
func (j *Journal) commitPointer(ctx context.Context, partition string, previousVersion int64, pointer snapshotRow, covered []connector.Row) error {
	epoch, version, found := j.ownership(partition)
	if !found {
		return &DeposedError{Partition: partition}
	}
	value, err := encodeRow(pointer)
	if err != nil {
		return err
	}
	transaction := connector.Transaction{
		Preconditions: []connector.Precondition{
			{Key: OwnerKey(partition), Version: version},
			{Key: snapshotKey(partition), Version: previousVersion},
		},
		Puts: []connector.Put{{Key: snapshotKey(partition), Value: value}},
	}
	for _, row := range covered {
		if row.Key <= pointer.UpTo {
			transaction.Deletes = append(transaction.Deletes, row.Key)
		}
	}
	outcome, err := j.writer.Commit(ctx, transaction)
	if err != nil {
		return errors.Wrapf(err, "commit pointer to snapshot of epoch %d", epoch)
	}
	if !outcome.Committed {
		return &StaleSnapshotError{Partition: partition}
	}
	return nil
}

func (j *Journal) ownership(partition string) (epoch modeler.Epoch, version int64, found bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pj := j.partitions[partition]
	if pj == nil {
		return 0, 0, false
	}
	return pj.epoch, pj.ownerVersion, true
}

// deletePrevious deletes the object of the previous snapshot, unless it is the current one.
func deletePrevious(ctx context.Context, store Store, row connector.Row, name string) error {
	if row.Version == 0 {
		return nil
	}
	var pointer snapshotRow
	if err := json.Unmarshal(row.Value, &pointer); err != nil {
		return &CodecError{Key: row.Key, Err: err}
	}
	if pointer.Object == name {
		return nil
	}
	if err := store.DeleteObject(ctx, pointer.Object); err != nil {
		return errors.Wrap(err, "delete previous snapshot")
	}
	return nil
}

// objectNamePart replaces the slashes of a row key so that it can be part of an object name.
func objectNamePart(key string) string {
	out := []byte(key)
	for i := range out {
		if out[i] == '/' {
			out[i] = '.'
		}
	}
	return string(out)
}
