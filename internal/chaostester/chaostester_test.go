package chaostester_test

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/chaostester"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

func TestExamplePlansAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/rehearsal/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plans, %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := chaostester.ParsePlan(file, text); err != nil {
			t.Error(err)
		}
	}
}

func TestPlanErrorsNameTheField(t *testing.T) {
	const validPlan = `{"length":"1s","instances":1,"workers":1,"processors":4,"work":"10ms","queues":[{"name":"q","per-second":1,"steps":[{"tasks":1,"processors":1}]}],"troubles":[]}`
	for name, test := range map[string]struct{ from, to, want string }{
		"valid":          {"", "", ""},
		"unknown fault":  {`"troubles":[]`, `"troubles":[{"kind":"flood","at":"1s"}]`, "$.troubles[0].kind"},
		"no steps":       {`"steps":[{"tasks":1,"processors":1}]`, `"steps":[]`, "$.queues[0].steps"},
		"unknown field":  {`"length"`, `"colour":1,"length"`, "colour"},
		"bad duration":   {`"1s"`, `"soon"`, "$.length"},
		"too many tasks": {`"tasks":1`, `"tasks":1e9`, "$.queues[0].steps[0].tasks"},
		"truncated":      {`"troubles":[]}`, `"troubles":[`, "$"},
	} {
		_, err := chaostester.ParsePlan("plan.json", []byte(strings.Replace(validPlan, test.from, test.to, 1)))
		if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want a fault at %q", name, err, test.want)
		}
	}
}

// TestGuaranteesHoldUnderFaults runs a short plan that kills the owner, loses replies of the store and
// of a worker, drops the store's history and makes the store unresponsive.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	second := modeler.Duration(time.Second)
	plan := &chaostester.Plan{
		Seed: 1, LoadDuration: 3 * second, Instances: 2, Workers: 4, Processors: 8000, TaskDuration: second / 20,
		Queues: []chaostester.Queue{
			{Name: "quick", JobsPerSecond: 15, Advised: true, Steps: []chaostester.Step{{Tasks: 2, Processors: 1000}}},
			{Name: "gangs", JobsPerSecond: 3, Steps: []chaostester.Step{{Tasks: 1, Processors: 1000}, {Tasks: 3, Processors: 2000, Gang: true}}},
		},
		Faults: []chaostester.Fault{
			{Kind: chaostester.KillOwner, At: second / 2, Duration: second / 2},
			{Kind: chaostester.StoreRepliesLost, At: second, Duration: second / 5},
			{Kind: chaostester.DropWorkerReplies, At: second, Duration: second / 2},
			{Kind: chaostester.CompactHistory, At: 3 * second / 2},
			{Kind: chaostester.StoreUnresponsive, At: 2 * second, Duration: second / 2},
		},
	}
	report, err := chaostester.Run(t.Context(), chaostester.Options{Plan: plan, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	for _, failure := range report.Failures {
		t.Error(failure)
	}
	if report.Completed == 0 {
		t.Error("no job was completed")
	}
}

// TestGuaranteesHoldWhileTasksCrashWorkers runs a short plan in which one job in ten crashes its workers
// while the capacity of others shrinks and grows again.
func TestGuaranteesHoldWhileTasksCrashWorkers(t *testing.T) {
	second := modeler.Duration(time.Second)
	plan := &chaostester.Plan{
		Seed: 1, LoadDuration: 3 * second, Instances: 2, Workers: 8, Processors: 8000, TaskDuration: second / 20,
		Queues: []chaostester.Queue{
			{Name: "quick", JobsPerSecond: 10, Advised: true, CrashingShare: 0.1, Steps: []chaostester.Step{{Tasks: 2, Processors: 1000}}},
			{Name: "gangs", JobsPerSecond: 2, Steps: []chaostester.Step{{Tasks: 1, Processors: 1000}, {Tasks: 3, Processors: 2000, Gang: true}}},
		},
		Faults: []chaostester.Fault{
			{Kind: chaostester.ShrinkWorker, At: second / 2, Duration: second, Count: 2, Interval: second / 2},
			{Kind: chaostester.RestartWorker, At: second},
		},
	}
	report, err := chaostester.Run(t.Context(), chaostester.Options{Plan: plan, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	for _, failure := range report.Failures {
		t.Error(failure)
	}
	if report.Completed == 0 || report.GivenUp == 0 {
		t.Errorf("%d jobs completed and %d given up, want some of both", report.Completed, report.GivenUp)
	}
}
