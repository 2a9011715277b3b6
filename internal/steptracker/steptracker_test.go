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

func plain(tasks int) steptracker.Step {
	return steptracker.Step{Tasks: tasks, Needs: modeler.Resources{Processors: 500}}
}

func key(step, index int) steptracker.TaskKey {
	return steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j", Step: step}, Index: index}
}

func TestCheckNamesThePlaceOfTheFault(t *testing.T) {
	after := func(step steptracker.Step, earlier ...int) steptracker.Step {
		step.After = earlier
		return step
	}
	for name, test := range map[string]struct {
		job  steptracker.Job
		path string
	}{
		"no steps":          {steptracker.Job{}, "$.steps"},
		"too many steps":    {steptracker.Job{Steps: make([]steptracker.Step, 65)}, "$.steps"},
		"no tasks":          {steptracker.Job{Steps: []steptracker.Step{plain(0)}}, "$.steps[0].tasks"},
		"too many tasks":    {steptracker.Job{Steps: []steptracker.Step{plain(1500), plain(1500)}}, "$.steps"},
		"after itself":      {steptracker.Job{Steps: []steptracker.Step{after(plain(1), 0)}}, "$.steps[0].after"},
		"after a later one": {steptracker.Job{Steps: []steptracker.Step{after(plain(1), 1), plain(1)}}, "$.steps[0].after"},
		"after a negative":  {steptracker.Job{Steps: []steptracker.Step{after(plain(1), -1)}}, "$.steps[0].after"},
		"negative size":     {steptracker.Job{Steps: []steptracker.Step{{Tasks: 1, Needs: modeler.Resources{Processors: -1}}}}, "$.steps[0]"},
		"long payload":      {steptracker.Job{Payload: strings.Repeat("x", 4001), Steps: []steptracker.Step{plain(1)}}, "$.payload"},
		"negative times":    {steptracker.Job{Steps: []steptracker.Step{plain(1)}, Schedule: steptracker.Schedule{Occurrences: -1}}, "$.schedule.occurrences"},
	} {
		t.Run(name, func(t *testing.T) {
			var bad *steptracker.InvalidJobError
			if err := test.job.Validate(); !errors.As(err, &bad) || bad.Path != test.path {
				t.Errorf("got %v, want a fault at %s", err, test.path)
			}
		})
	}
}

func TestProgressOfSteps(t *testing.T) {
	second := plain(1)
	second.After = []int{0}
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{plain(2), second}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	occurrence, _ := p.FindOccurrence(0)
	if occurrence.StepReady(job, 1) {
		t.Error("the second step is ready before the first has ended")
	}
	for index := range 2 {
		p.Assign(key(0, index), 1, steptracker.Incarnation{Worker: "w"})
		if !p.RecordEnd(job, key(0, index), 1, steptracker.Done) {
			t.Errorf("the end of task %d is not taken", index)
		}
		if p.RecordEnd(job, key(0, index), 1, steptracker.Done) {
			t.Errorf("the end of task %d is taken twice", index)
		}
	}
	p.UpdateState(job, 2, start)
	if !occurrence.StepReady(job, 1) || p.State != "" {
		t.Errorf("second step ready %t, state %q", occurrence.StepReady(job, 1), p.State)
	}
	p.Assign(key(1, 0), 1, steptracker.Incarnation{Worker: "w"})
	p.RecordEnd(job, key(1, 0), 1, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != steptracker.Completed {
		t.Errorf("state %q, want completed", p.State)
	}
}

func TestEndings(t *testing.T) {
	for how, failures := range map[steptracker.EndReason]int{
		steptracker.TaskFailed: 1, steptracker.Stopped: 0, steptracker.LeaseExpired: 0, steptracker.Broken: 0,
		steptracker.Alone: 0, steptracker.NeverStarted: 0, steptracker.WorkerLost: 0,
	} {
		t.Run(string(how), func(t *testing.T) {
			job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{plain(1)}}
			p := steptracker.NewProgress(job, start)
			p.OpenDue(job, start)
			p.Assign(key(0, 0), 3, steptracker.Incarnation{Worker: "w"})
			if p.RecordEnd(job, key(0, 0), 2, how) {
				t.Error("the end of an earlier run is taken for that of the latest")
			}
			p.RecordEnd(job, key(0, 0), 3, how)
			if task := p.Task(key(0, 0)); task.Failures != failures || task.Assigned() || task.Done {
				t.Errorf("task is %+v", *task)
			}
		})
	}
}

func TestGangFailsOncePerRunAndEndsAsOne(t *testing.T) {
	gang := plain(3)
	gang.Gang = true
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{gang}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	assign := func(run int) {
		for index := range 3 {
			p.Assign(key(0, index), run, steptracker.Incarnation{Worker: "w"})
		}
	}
	assign(1)
	p.RecordEnd(job, key(0, 1), 1, steptracker.TaskFailed)
	p.RecordEnd(job, key(0, 2), 1, steptracker.TaskFailed)
	p.RecordEnd(job, key(0, 0), 1, steptracker.Broken)
	p.UpdateState(job, 2, start)
	if p.State != "" {
		t.Errorf("two members failed in one run, and the job is %q with a limit of two", p.State)
	}
	assign(2)
	p.RecordEnd(job, key(0, 2), 2, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != steptracker.Completed {
		t.Errorf("state %q after one member was done", p.State)
	}
}

func TestOccurrencesOpenWhenTheyAreDue(t *testing.T) {
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{plain(1)}, Schedule: steptracker.Schedule{Occurrences: 3, First: start, Interval: time.Second}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start.Add(-time.Millisecond))
	if len(p.Open) != 0 {
		t.Error("an occurrence opened before its time")
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
		t.Errorf("state %q", p.State)
	}
}

func TestLastingTasksHaveNoLimitOfFailures(t *testing.T) {
	lasting := plain(1)
	lasting.LongRunning = true
	job := &steptracker.Job{ID: "j", Steps: []steptracker.Step{lasting}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	for run := 1; run < 10; run++ {
		p.Assign(key(0, 0), run, steptracker.Incarnation{Worker: "w"})
		p.RecordEnd(job, key(0, 0), run, steptracker.TaskFailed)
		p.UpdateState(job, 2, start)
	}
	p.Assign(key(0, 0), 10, steptracker.Incarnation{Worker: "w"})
	p.RecordEnd(job, key(0, 0), 10, steptracker.Done)
	p.UpdateState(job, 2, start)
	if p.State != "" || p.Task(key(0, 0)).Done {
		t.Errorf("state %q, task %+v", p.State, *p.Task(key(0, 0)))
	}
}

func TestRecordsSurviveTheStore(t *testing.T) {
	job := &steptracker.Job{ID: "j", Queue: "q", Steps: []steptracker.Step{plain(2)}}
	p := steptracker.NewProgress(job, start)
	p.OpenDue(job, start)
	p.Assign(key(0, 1), 4, steptracker.Incarnation{Worker: "w", StartMillis: 7})
	text, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := steptracker.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if task := read.Task(key(0, 1)); task.Run != 4 || task.AssignedTo != (steptracker.Incarnation{Worker: "w", StartMillis: 7}) || read.Queue != "q" {
		t.Errorf("read back %+v", *task)
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
		again, err := steptracker.ParseTaskKey(key.String())
		if err != nil || again != key {
			t.Errorf("%q reads as %+v and then as %+v, %v", text, key, again, err)
		}
	})
}
