package steptracker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

var start = time.Unix(1_000_000, 0)

func newStep(tasks int) steptracker.Step {
	return steptracker.Step{Tasks: tasks, Needs: modeler.Resources{Processors: 500}}
}

func taskKey(step, index int) steptracker.TaskKey {
	return steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j", Step: step}, Index: index}
}

func TestValidateReportsPathOfInvalidField(t *testing.T) {
	after := func(step steptracker.Step, dependencies ...int) steptracker.Step {
		step.After = dependencies
		return step
	}
	for name, test := range map[string]struct {
		job  steptracker.Job
		path string
	}{
		"no steps":               {steptracker.Job{}, "$.steps"},
		"too many steps":         {steptracker.Job{Steps: make([]steptracker.Step, 65)}, "$.steps"},
		"no tasks":               {steptracker.Job{Steps: []steptracker.Step{newStep(0)}}, "$.steps[0].tasks"},
		"too many tasks":         {steptracker.Job{Steps: []steptracker.Step{newStep(1500), newStep(1500)}}, "$.steps"},
		"after itself":           {steptracker.Job{Steps: []steptracker.Step{after(newStep(1), 0)}}, "$.steps[0].after"},
		"after a later one":      {steptracker.Job{Steps: []steptracker.Step{after(newStep(1), 1), newStep(1)}}, "$.steps[0].after"},
		"after a negative index": {steptracker.Job{Steps: []steptracker.Step{after(newStep(1), -1)}}, "$.steps[0].after"},
		"negative processors":    {steptracker.Job{Steps: []steptracker.Step{{Tasks: 1, Needs: modeler.Resources{Processors: -1}}}}, "$.steps[0]"},
		"long payload":           {steptracker.Job{Payload: strings.Repeat("x", 4001), Steps: []steptracker.Step{newStep(1)}}, "$.payload"},
		"negative occurrences":   {steptracker.Job{Steps: []steptracker.Step{newStep(1)}, Schedule: steptracker.Schedule{Occurrences: -1}}, "$.schedule.occurrences"},
	} {
		t.Run(name, func(t *testing.T) {
			var invalid *steptracker.InvalidJobError
			if err := test.job.Validate(); !errors.As(err, &invalid) || invalid.Path != test.path {
				t.Errorf("got %v, want an error at %s", err, test.path)
			}
		})
	}
}

func TestProgressOfSteps(t *testing.T) {
	second := newStep(1)
	second.After = []int{0}
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{newStep(2), second}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	occurrence, _ := p.FindOccurrence(0)
	if occurrence.StepReady(job, 1) {
		t.Error("the second step is ready before the first is done")
	}
	for index := range 2 {
		p.Assign(taskKey(0, index), 1, steptracker.Incarnation{Worker: "w"})
		if !p.RecordEnd(job, taskKey(0, index), 1, steptracker.Done) {
			t.Errorf("the end of task %d is not accepted", index)
		}
		if p.RecordEnd(job, taskKey(0, index), 1, steptracker.Done) {
			t.Errorf("the end of task %d is accepted twice", index)
		}
	}
	p.UpdateState(job, 2, start)
	if !occurrence.StepReady(job, 1) || p.State != "" {
		t.Errorf("second step ready %t, state %q", occurrence.StepReady(job, 1), p.State)
	}
	p.Assign(taskKey(1, 0), 1, steptracker.Incarnation{Worker: "w"})
	p.RecordEnd(job, taskKey(1, 0), 1, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != steptracker.Completed {
		t.Errorf("state %q, want completed", p.State)
	}
}

func TestOnlyTaskFailedCountsAsFailure(t *testing.T) {
	for reason, failures := range map[steptracker.EndReason]int{
		steptracker.TaskFailed: 1, steptracker.Stopped: 0, steptracker.LeaseExpired: 0, steptracker.Broken: 0,
		steptracker.Alone: 0, steptracker.NeverStarted: 0, steptracker.WorkerLost: 0,
	} {
		t.Run(string(reason), func(t *testing.T) {
			job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{newStep(1)}}
			p := steptracker.NewProgress(job, start)
			p.OpenDue(job, start)
			p.Assign(taskKey(0, 0), 3, steptracker.Incarnation{Worker: "w"})
			if p.RecordEnd(job, taskKey(0, 0), 2, reason) {
				t.Error("the end of an earlier run is accepted as the end of the latest run")
			}
			p.RecordEnd(job, taskKey(0, 0), 3, reason)
			if task := p.Task(taskKey(0, 0)); task.Failures != failures || task.Assigned() || task.Done {
				t.Errorf("task is %+v", *task)
			}
		})
	}
}

func TestGangCountsOneFailurePerRunAndEndsTogether(t *testing.T) {
	gang := newStep(3)
	gang.Gang = true
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{gang}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	assign := func(run int) {
		for index := range 3 {
			p.Assign(taskKey(0, index), run, steptracker.Incarnation{Worker: "w"})
		}
	}
	assign(1)
	p.RecordEnd(job, taskKey(0, 1), 1, steptracker.TaskFailed)
	p.RecordEnd(job, taskKey(0, 2), 1, steptracker.TaskFailed)
	p.RecordEnd(job, taskKey(0, 0), 1, steptracker.Broken)
	p.UpdateState(job, 2, start)
	if p.State != "" {
		t.Errorf("two tasks of the gang failed in one run and the job is %q; that is one failure and the limit is two", p.State)
	}
	assign(2)
	p.RecordEnd(job, taskKey(0, 2), 2, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != steptracker.Completed {
		t.Errorf("state %q after one task of the gang was done, want completed", p.State)
	}
}

func TestOccurrencesOpenWhenDue(t *testing.T) {
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{newStep(1)}, Schedule: steptracker.Schedule{Occurrences: 3, First: start, Interval: time.Second}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start.Add(-time.Millisecond))
	if len(p.Open) != 0 {
		t.Error("an occurrence opened before it was due")
	}
	p.OpenDue(job, start.Add(1500*time.Millisecond))
	if len(p.Open) != 2 {
		t.Errorf("%d occurrences are open, want 2", len(p.Open))
	}
	for occurrence := range 3 {
		p.OpenDue(job, start.Add(time.Minute))
		task := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j", Occurrence: occurrence}}
		p.Assign(task, 1, steptracker.Incarnation{Worker: "w"})
		p.RecordEnd(job, task, 1, steptracker.Done)
		p.UpdateState(job, 1, start)
	}
	if p.State != steptracker.Completed {
		t.Errorf("state %q, want completed", p.State)
	}
}

func TestLongRunningTasksHaveNoFailureLimit(t *testing.T) {
	longRunning := newStep(1)
	longRunning.LongRunning = true
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{longRunning}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	for run := 1; run < 10; run++ {
		p.Assign(taskKey(0, 0), run, steptracker.Incarnation{Worker: "w"})
		p.RecordEnd(job, taskKey(0, 0), run, steptracker.TaskFailed)
		p.UpdateState(job, 2, start)
	}
	p.Assign(taskKey(0, 0), 10, steptracker.Incarnation{Worker: "w"})
	p.RecordEnd(job, taskKey(0, 0), 10, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != "" || p.Task(taskKey(0, 0)).Done {
		t.Errorf("state %q, task %+v; want no final state and the task not done", p.State, *p.Task(taskKey(0, 0)))
	}
}

func TestProgressEncodeDecodeRoundTrip(t *testing.T) {
	job := &steptracker.Job{ID: "j", Queue: "q", Steps: []steptracker.Step{newStep(2)}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	p.Assign(taskKey(0, 1), 4, steptracker.Incarnation{Worker: "w", StartMillis: 7})
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := steptracker.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if task := decoded.Task(taskKey(0, 1)); task.Run != 4 || task.AssignedTo != (steptracker.Incarnation{Worker: "w", StartMillis: 7}) || decoded.Queue != "q" {
		t.Errorf("decoded task %+v differs from the encoded one", *task)
	}
}

func FuzzParseTaskKey(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("a.-1.0.0")
	f.Add("....")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := steptracker.ParseTaskKey(text)
		if err != nil {
			return
		}
		reparsed, err := steptracker.ParseTaskKey(key.String())
		if err != nil || reparsed != key {
			t.Errorf("%q parses as %+v, its String() parses as %+v, error %v", text, key, reparsed, err)
		}
	})
}

func TestRemainingPath(t *testing.T) {
	// Step 0 comes before 1 and 2, and 2 before 3. Step i takes i+1 seconds.
	job := &steptracker.Job{Steps: []steptracker.Step{{}, {After: []int{0}}, {After: []int{0}}, {After: []int{2}}}}
	estimate := func(step int) time.Duration { return time.Duration(step+1) * time.Second }
	for step, want := range []time.Duration{8 * time.Second, 2 * time.Second, 7 * time.Second, 4 * time.Second} {
		if got := job.RemainingPath(step, estimate); got != want {
			t.Errorf("from step %d the longest chain takes %s, want %s", step, got, want)
		}
	}
	if whole := job.CriticalPath(estimate); whole != job.RemainingPath(0, estimate) {
		t.Errorf("the longest chain takes %s from the first step, %s in the whole job", job.RemainingPath(0, estimate), whole)
	}
}
