package steptracker

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/deflater"
)

const (
	// minCompressedBytes is the size from which a record is compressed. Smaller records become only
	// slightly smaller.
	minCompressedBytes = 1024
	// maxRecordBytes limits the size of a decompressed record. The largest job takes a tenth of it.
	maxRecordBytes = 8 << 20
	// jsonStart is the first byte of every record that is not compressed.
	jsonStart = '{'
	// compressedMark is the first byte of every compressed record.
	compressedMark = 1
)

// Encode returns the progress as it is stored: as JSON, compressed if it is large. A job of many tasks
// is written at each change of one of them.
func (p *Progress) Encode() ([]byte, error) { return encodeRecord(p, "progress") }

// Decode parses the output of Progress.Encode.
func Decode(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := decodeRecord(data, p, "progress"); err != nil {
		return nil, err
	}
	return p, nil
}

// storedJob is the record of a job from its acceptance to its end.
type storedJob struct {
	Job
	AcceptedAt time.Time `json:"accepted-at,omitzero"`
}

// Encode returns the definition of the job as it is stored, with the time of its acceptance. Until its
// first task is assigned, nothing else is stored about the job.
func (j *Job) Encode(acceptedAt time.Time) ([]byte, error) {
	return encodeRecord(&storedJob{Job: *j, AcceptedAt: acceptedAt}, "job")
}

// DecodeJob parses the output of Job.Encode and validates the job. The time is the zero time in records
// of versions that did not store it.
func DecodeJob(data []byte) (job *Job, acceptedAt time.Time, err error) {
	stored := &storedJob{}
	if err := decodeRecord(data, stored, "job"); err != nil {
		return nil, time.Time{}, err
	}
	return &stored.Job, stored.AcceptedAt, stored.Job.Validate()
}

func encodeRecord(record any, name string) ([]byte, error) {
	text, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode "+name)
	}
	if len(text) < minCompressedBytes {
		return text, nil
	}
	compressed, err := deflater.Compress(text)
	if err != nil {
		return nil, errors.Wrap(err, "encode "+name)
	}
	return append([]byte{compressedMark}, compressed...), nil
}

// UnknownEncodingError reports a record that begins with neither an object nor the mark of a
// compressed record.
type UnknownEncodingError struct{ Record string }

func (e *UnknownEncodingError) Error() string { return "unknown encoding of " + e.Record }

func decodeRecord(data []byte, record any, name string) error {
	switch {
	case len(data) > 0 && data[0] == compressedMark:
		text, err := deflater.Decompress(data[1:], maxRecordBytes)
		if err != nil {
			return errors.Wrap(err, "decode "+name)
		}
		data = text
	case len(data) == 0 || data[0] != jsonStart:
		return &UnknownEncodingError{Record: name}
	}
	if err := json.Unmarshal(data, record); err != nil {
		return errors.Wrap(err, "decode "+name)
	}
	return nil
}
