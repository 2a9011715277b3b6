package steptracker_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

func drawTask(t *rapid.T) steptracker.Task {
	number := rapid.IntRange(0, 3)
	return steptracker.Task{
		Run: number.Draw(t, "run"), Done: rapid.Bool().Draw(t, "done"), Failures: number.Draw(t, "failures"), FailedRun: number.Draw(t, "failed-run"),
		AssignedTo:   steptracker.Incarnation{Worker: rapid.SampledFrom([]string{"", "w", "i-c9dc1ba0"}).Draw(t, "worker"), StartMillis: rapid.Int64Range(0, 2_000_000_000_000).Draw(t, "start")},
		CrashHistory: crashattributor.History{Crashes: number.Draw(t, "crashes"), Suspected: number.Draw(t, "suspected"), Attributed: number.Draw(t, "attributed")},
		Checkpoint:   rapid.String().Draw(t, "checkpoint"),
	}
}

// TestRecordKeepsProgress: what is read back, from a small or a compressed record, is what was written.
func TestRecordKeepsProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &steptracker.Progress{
			Queue: rapid.String().Draw(t, "queue"), Team: rapid.String().Draw(t, "team"), Path: rapid.String().Draw(t, "path"),
			State:      rapid.SampledFrom([]steptracker.State{"", steptracker.Completed, steptracker.Failed, steptracker.Cancelled}).Draw(t, "state"),
			Reason:     rapid.String().Draw(t, "reason"),
			AcceptedAt: time.Unix(rapid.Int64Range(1, 4_000_000_000).Draw(t, "accepted"), rapid.Int64Range(0, 999_999_999).Draw(t, "accepted-nanos")).UTC(),
			Next:       rapid.IntRange(0, 9).Draw(t, "next"), Started: rapid.Bool().Draw(t, "started"),
		}
		if p.State != "" {
			p.EndedAt = p.AcceptedAt.Add(time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "took")))
		}
		for range rapid.IntRange(0, 3).Draw(t, "occurrences") {
			occurrence := &steptracker.Occurrence{Number: rapid.IntRange(0, 9).Draw(t, "number")}
			for range rapid.IntRange(1, 3).Draw(t, "steps") {
				tasks := make([]steptracker.Task, rapid.IntRange(1, 12).Draw(t, "tasks"))
				for i := range tasks {
					tasks[i] = drawTask(t)
				}
				occurrence.Steps = append(occurrence.Steps, tasks)
			}
			p.Open = append(p.Open, occurrence)
		}
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := steptracker.Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, p) {
			t.Fatalf("%+v was decoded as %+v, error %v", p, decoded, err)
		}
	})
}
