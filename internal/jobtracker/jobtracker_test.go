package jobtracker_test

import (
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

var now = time.Unix(100, 0)

func accepted(key string, tasks int, repeatable bool) journaler.Entry {
	return journaler.Entry{Kind: journaler.Accepted, Key: key, At: now, Job: &modeler.Job{Class: modeler.Batch, Tasks: tasks, Repeatable: repeatable}}
}

func permitted(key, worker, boot string) journaler.Entry {
	return journaler.Entry{Kind: journaler.Permitted, Key: key, Worker: worker, Boot: boot, Attempt: &modeler.Attempt{Key: key, Epoch: 1, Number: 1}}
}

func interrupted(key string) journaler.Entry {
	return journaler.Entry{Kind: journaler.Interrupted, Key: key, Evidence: journaler.HasRun}
}

func cancelled(key string) journaler.Entry {
	return journaler.Entry{Kind: journaler.Cancelled, Key: key}
}

// TestResolveUnverified checks what a new owner concludes from the journal once every worker has
// sent its task list and none reports the task.
func TestResolveUnverified(t *testing.T) {
	for _, c := range []struct {
		name     string
		entries  []journaler.Entry
		evidence journaler.Evidence
		want     modeler.State
	}{
		{"never sent: queued", []journaler.Entry{accepted("k", 1, true)}, journaler.NeverRan, modeler.Waiting},
		{"cancelled, never sent", []journaler.Entry{accepted("k", 1, true), cancelled("k")}, journaler.NeverRan, modeler.NotRun},
		{"cancelled after an interrupted attempt", []journaler.Entry{accepted("k", 1, true), interrupted("k"), cancelled("k")}, journaler.NeverRan, modeler.Stopped},
		{"cancelled, a worker restarted", []journaler.Entry{accepted("k", 1, true), cancelled("k")}, journaler.MayHaveRun, modeler.Unknown},
		{"a worker restarted: queued", []journaler.Entry{accepted("k", 1, true)}, journaler.MayHaveRun, modeler.Waiting},
		{"permitted, worker in the same boot", []journaler.Entry{accepted("k", 1, false), permitted("k", "w", "boot-1")}, journaler.NeverRan, modeler.NotRun},
		{"permitted, worker restarted", []journaler.Entry{accepted("k", 1, false), permitted("k", "w", "boot-0")}, journaler.NeverRan, modeler.Unknown},
		{"permitted, worker gone", []journaler.Entry{accepted("k", 1, false), permitted("k", "v", "boot-1")}, journaler.NeverRan, modeler.Unknown},
		{"not permitted yet: queued", []journaler.Entry{accepted("k", 1, false)}, journaler.MayHaveRun, modeler.Waiting},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := jobtracker.New()
			// Replaying the entries twice must have no further effect.
			if err := tracker.Restore(nil, append(c.entries, c.entries...)); err != nil {
				t.Fatal(err)
			}
			queue, final := tracker.ResolveUnverified(c.evidence, func(worker string) string {
				if worker == "w" {
					return "boot-1"
				}
				return ""
			})
			got := modeler.Waiting
			if len(final) == 1 {
				got = final[0].State
			}
			if got != c.want || len(queue)+len(final) != 1 {
				t.Errorf("got %s (%d queued, %d final), want %s", got, len(queue), len(final), c.want)
			}
		})
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	tracker := jobtracker.New()
	result := modeler.NewResult("done", 0, true, "body")
	entries := []journaler.Entry{
		accepted("done", 1, true),
		{Kind: journaler.Ended, Key: "done", At: now, State: modeler.Done, Result: &result},
		accepted("open", 2, true), interrupted("open"), cancelled("open"),
		accepted("once", 1, false), permitted("once", "w", "boot-1"),
		{Kind: journaler.WorkerAdded, Worker: "w", Boot: "boot-1"},
	}
	if err := tracker.Restore(nil, entries); err != nil {
		t.Fatal(err)
	}
	text, err := tracker.Save()
	if err != nil {
		t.Fatal(err)
	}
	restored := jobtracker.New()
	if err := restored.Restore(text, nil); err != nil {
		t.Fatal(err)
	}
	if a := restored.Find("done").Answer(); a.State != modeler.Done || len(a.Results) != 1 || !a.Results[0].ValidFor("done") {
		t.Errorf("job done was restored as %+v", a)
	}
	open := restored.Find("open")
	if !open.Cancelled || open.Tasks[0].Evidence != journaler.HasRun || open.Tasks[1].Evidence != journaler.NeverRan {
		t.Errorf("job open was restored as %+v", open)
	}
	if once := restored.Find("once").Tasks[0]; !once.Permitted || once.Boot != "boot-1" {
		t.Errorf("job once was restored as %+v", once)
	}
	if restored.Workers["w"] != "boot-1" {
		t.Errorf("workers were restored as %v", restored.Workers)
	}
}

func TestAnswerOfSeveralTasks(t *testing.T) {
	for _, c := range []struct {
		ends []modeler.State
		want modeler.State
	}{
		{[]modeler.State{modeler.Done, modeler.Done}, modeler.Done},
		{[]modeler.State{modeler.NotRun, modeler.NotRun}, modeler.NotRun},
		{[]modeler.State{modeler.Done, modeler.NotRun}, modeler.Stopped},
		{[]modeler.State{modeler.Stopped, modeler.NotRun}, modeler.Stopped},
		{[]modeler.State{modeler.Done, modeler.Unknown}, modeler.Unknown},
		{[]modeler.State{modeler.NotRun, modeler.Unknown}, modeler.Unknown},
		{[]modeler.State{modeler.NotRun, ""}, modeler.Waiting},
	} {
		tracker := jobtracker.New()
		job := tracker.Add("k", "", modeler.Job{Tasks: len(c.ends)}, now, jobtracker.Queued)
		for task, state := range c.ends {
			if state != "" {
				job.End(task, state, "", nil, now)
			}
		}
		if got := job.Answer().State; got != c.want {
			t.Errorf("%v: got %s, want %s", c.ends, got, c.want)
		}
	}
}

func TestOnlyQuickRequestsAreAdoptedWithoutJournalEntry(t *testing.T) {
	attempt := modeler.Attempt{Partition: "p", Epoch: 1, Key: "k", Number: 1}
	tracker := jobtracker.New()
	if tracker.AdoptRunning(0, "w", "b", connector.RunningTask{Attempt: attempt, Class: modeler.Batch}) {
		t.Error("a batch task without a journal entry was adopted")
	}
	if !tracker.AdoptRunning(0, "w", "b", connector.RunningTask{Attempt: attempt, Class: modeler.Quick}) {
		t.Error("a quick request was not adopted")
	}
	if tracker.AdoptRunning(1, "v", "b", connector.RunningTask{Attempt: modeler.Attempt{Partition: "p", Epoch: 2, Key: "k", Number: 1}, Class: modeler.Quick}) {
		t.Error("the same request was adopted on two workers")
	}
}

// TestFailedMemberOfAGang: a gang whose member has ended without success must not start with the others.
func TestFailedMemberOfAGang(t *testing.T) {
	job := jobtracker.New().Add("j", "", modeler.Job{Class: modeler.Gang, Tasks: 3}, time.Time{}, jobtracker.Queued)
	job.End(1, modeler.Done, "", nil, time.Time{})
	if reason, failed := job.FailedMember(); failed {
		t.Errorf("a member that is done counts as failed: %q", reason)
	}
	job.End(2, modeler.Stopped, "crashed its workers", nil, time.Time{})
	if reason, failed := job.FailedMember(); !failed || reason != "crashed its workers" {
		t.Errorf("got %q, %t; want the reason of the stopped member", reason, failed)
	}
}
