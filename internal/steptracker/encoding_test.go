package steptracker_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// wideProgress is the record of a job of forty tasks, all of them assigned, as it is written each time
// that one of them ends.
func wideProgress() *steptracker.Progress {
	job := &steptracker.Job{ID: "5c0e7a21d94b36f8", Queue: "r-e239uue", Steps: []steptracker.Step{{Tasks: 40}}}
	p := steptracker.NewProgress(job, time.UnixMilli(1777174001042))
	p.OpenDue(job, time.UnixMilli(1777174001042))
	for i := range 40 {
		key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: job.ID}, Index: i}
		p.Assign(key, 1, steptracker.Incarnation{Worker: fmt.Sprintf("i-%010x", i*0x9e3779b97f), StartMillis: 1777174001000 + int64(i)})
	}
	return p
}

func TestWideRecordIsStoredSmall(t *testing.T) {
	data, err := wideProgress().Encode()
	if err != nil {
		t.Fatal(err)
	}
	// As JSON it has 2,900 bytes, which a link of 2 Mbit/s carries 86 times a second.
	if len(data) > 900 {
		t.Errorf("the record has %d bytes, want at most 900", len(data))
	}
	decoded, err := steptracker.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	task := decoded.Task(steptracker.TaskKey{Index: 39})
	if task == nil || task.Run != 1 || task.AssignedTo.StartMillis != 1777174001039 {
		t.Errorf("the last task was decoded as %+v", task)
	}
}

func TestDecodeRejectsBadRecords(t *testing.T) {
	data, err := wideProgress().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, record := range map[string][]byte{"empty": nil, "truncated": data[:len(data)/2], "mark only": data[:1], "not an object": []byte("[]")} {
		if p, err := steptracker.Decode(record); err == nil {
			t.Errorf("%s: decoded as %+v", name, p)
		}
	}
	var unknown *steptracker.UnknownEncodingError
	if _, _, err := steptracker.DecodeJob([]byte("\x02")); !errors.As(err, &unknown) {
		t.Errorf("unknown mark: got %v", err)
	}
	if _, err := steptracker.Decode([]byte(`{"queue":"q","accepted-at":"2026-04-26T03:27:09Z"}`)); err != nil {
		t.Errorf("a record that is not compressed: %v", err)
	}
}

func TestStoredJobKeepsTheTimeOfAcceptance(t *testing.T) {
	acceptedAt := time.UnixMilli(1777174001042)
	job := &steptracker.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []steptracker.Step{{Tasks: 3}}}
	data, err := job.Encode(acceptedAt)
	if err != nil {
		t.Fatal(err)
	}
	decoded, at, err := steptracker.DecodeJob(data)
	if err != nil || !reflect.DeepEqual(decoded, job) || !at.Equal(acceptedAt) {
		t.Errorf("%+v of %s was decoded as %+v of %s, error %v", job, acceptedAt, decoded, at, err)
	}
	if _, at, err := steptracker.DecodeJob([]byte(`{"id":"a","queue":"q","steps":[{"tasks":1,"needs":{}}]}`)); err != nil || !at.IsZero() {
		t.Errorf("a record without the time: %s, %v", at, err)
	}
	if _, _, err := steptracker.DecodeJob([]byte(`{"id":"a","queue":"q","steps":[]}`)); err == nil {
		t.Error("a job without steps was accepted")
	}
}
