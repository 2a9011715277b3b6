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

// DefaultRowsPerSnapshot is how many journal rows of a partition make a snapshot worth its writes.
const DefaultRowsPerSnapshot = 256

// snapshotPatience bounds the writing of one snapshot; the next one is tried with more rows.
const snapshotPatience = 30 * time.Second

// Store is what snapshots need: the table's scan and the object store.
type Store interface {
	Read(ctx context.Context, keys ...string) (map[string]connector.Row, error)
	Scan(ctx context.Context, prefix string) ([]connector.Row, error)
	GetObject(ctx context.Context, name string) (json.RawMessage, error)
	PutObject(ctx context.Context, name string, content json.RawMessage) error
	DeleteObject(ctx context.Context, name string) error
}

// Recovered is what the table and the object store hold of a partition.
type Recovered struct {
	Snapshot json.RawMessage
	Entries  []Entry
	Rows     int
}

// Load reads a partition's snapshot and the entries after it. Call it only after the owner row
// names this instance: before that, the old owner may still write.
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

// SnapshotDue tells whether a partition has gathered enough rows, and which row is the last one
// whose entries were reported as written.
func (j *Journal) SnapshotDue(partition string) (upTo string, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.books[partition]
	if b == nil || b.rows < j.settings.RowsPerSnapshot {
		return "", false
	}
	b.rows = 0
	return b.last, true
}

// SaveSnapshot stores the state as an object, points the table to it and removes the journal rows
// that it covers. State must hold the effect of every entry up to that row; more does no harm,
// because each entry may be applied twice.
func (j *Journal) SaveSnapshot(ctx context.Context, store Store, partition, upTo string, state []byte) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotPatience)
	defer cancel()
	old, err := store.Read(ctx, snapshotKey(partition))
	if err != nil {
		return errors.Wrap(err, "read snapshot row")
	}
	name := fmt.Sprintf("snapshot-%s-%s", flatten(partition), flatten(upTo))
	if err := store.PutObject(ctx, name, state); err != nil {
		return errors.Wrap(err, "store snapshot")
	}
	covered, err := store.Scan(ctx, rowPrefix(partition))
	if err != nil {
		return errors.Wrap(err, "scan journal")
	}
	before := old[snapshotKey(partition)].Version
	if err := j.point(ctx, partition, before, snapshotRow{Object: name, UpTo: upTo}, covered); err != nil {
		var stale *StaleSnapshotError
		if errors.As(err, &stale) {
			// Nothing points to the object. Should it stay after all, it costs only its room.
			_ = store.DeleteObject(ctx, name)
		}
		return err
	}
	return removeOld(ctx, store, old[snapshotKey(partition)], name)
}

// StaleSnapshotError tells that the partition has another snapshot or another owner meanwhile, so
// that this one changed nothing.
type StaleSnapshotError struct {
	Partition string
}

func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("partition %s has a later snapshot or another owner", e.Partition)
}

// point moves the pointer, if it still is where it was before the object was stored. A snapshot that
// took long would otherwise point back behind rows that a later one removed.
func (j *Journal) point(ctx context.Context, partition string, before int64, pointer snapshotRow, covered []connector.Row) error {
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
			{Key: snapshotKey(partition), Version: before},
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
		return errors.Wrapf(err, "point to snapshot of epoch %d", epoch)
	}
	if !outcome.Committed {
		return &StaleSnapshotError{Partition: partition}
	}
	return nil
}

func (j *Journal) ownership(partition string) (epoch modeler.Epoch, version int64, found bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.books[partition]
	if b == nil {
		return 0, 0, false
	}
	return b.epoch, b.version, true
}

func removeOld(ctx context.Context, store Store, row connector.Row, name string) error {
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
		return errors.Wrap(err, "remove the snapshot before")
	}
	return nil
}

// flatten makes a row key usable as an object's name.
func flatten(key string) string {
	out := []byte(key)
	for i := range out {
		if out[i] == '/' {
			out[i] = '.'
		}
	}
	return string(out)
}
