package cellscheduler_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestSuccessorAdoptsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 3 * time.Second, steptracker.Done
		}
		first, stopFirst := env.startScheduler(1)
		submit(t, first, job("j", "plain", step(6, 1000)))
		sleep(time.Second)
		stopFirst()
		second, stop := env.startScheduler(2)
		defer stop()
		sleep(3 * time.Second)
		wantState(t, second, "j", steptracker.Completed)
	})
}

// TestFinalJobsDoNotCountAsOpen: final states are kept for minutes, in which as many jobs can end
// as may be open at once. These jobs must not count towards the limit.
func TestFinalJobsDoNotCountAsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.maxOpenJobs = 4
		c, stop := env.startScheduler(1)
		for round := range 3 {
			for i := range 4 {
				submit(t, c, job(fmt.Sprintf("job-%d-%d", round, i), "plain", step(1, 1000)))
			}
			var refused *cellscheduler.RefusedError
			if _, err := c.Submit(t.Context(), job("one-more", "plain", step(1, 1000))); !errors.As(err, &refused) {
				t.Errorf("round %d: a fifth open job got %v, want a refusal", round, err)
			}
			sleep(2 * time.Second)
		}
		stop()
		successor, stop := env.startScheduler(2)
		defer stop()
		submit(t, successor, job("after", "plain", step(1, 1000)))
	})
}

// TestResubmittedJobSurvivesRemoval: a job is submitted again under its ID while the row of the
// earlier job waits to be removed. The removal must not delete the new job.
func TestResubmittedJobSurvivesRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		resubmitBeforeRemoval(t, env, "plain")
		successor, stop := env.startScheduler(2)
		defer stop()
		sleep(3 * time.Second)
		wantState(t, successor, "again", steptracker.Completed)
	})
}

// resubmitBeforeRemoval submits the job "again", and once more to a queue while the row of the first
// waits to be removed. The scheduler has stopped when it returns.
func resubmitBeforeRemoval(t *testing.T, env *testEnv, queue string) {
	t.Helper()
	env.stateRetention = time.Second
	c, stop := env.startScheduler(1)
	defer stop()
	submit(t, c, job("again", "plain", step(1, 1000)))
	// The state is kept for the retention time of 1 s plus a margin of 10 s.
	sleep(12 * time.Second)
	blocked := make(chan struct{})
	env.withLock(func() { env.blocked = blocked })
	var group sync.WaitGroup
	group.Go(func() { submit(t, c, job("before", "plain", step(1, 1000))) })
	sleep(250 * time.Millisecond)
	// The second job has the ID of the first one and is another job.
	env.withLock(func() { clear(env.ackedDone) })
	group.Go(func() { submit(t, c, job("again", queue, step(1, 1000))) })
	sleep(50 * time.Millisecond)
	env.withLock(func() { close(blocked); env.blocked = nil })
	group.Wait()
}

// TestSlowStoreSustainsLoad: each transaction takes 0.4 s and holds about forty jobs, while fifty
// jobs arrive and start each second. With one transaction at a time, half of them could not be
// written in time.
func TestSlowStoreSustainsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 40)
		env.stateRetention = time.Second
		c, stop := env.startScheduler(1)
		defer stop()
		// These jobs are removed while the store is slow.
		for i := range 300 {
			submit(t, c, job(fmt.Sprintf("before-%d", i), "plain", step(1, 1000)))
			sleep(20 * time.Millisecond)
		}
		sleep(7 * time.Second)
		env.withLock(func() { env.commitDelay = 400 * time.Millisecond })
		var group sync.WaitGroup
		var late atomic.Int64
		for i := range 200 {
			group.Go(func() {
				began := time.Now()
				_, err := c.Submit(t.Context(), job(fmt.Sprintf("job-%d", i), "plain", step(2, 1000)))
				// The owner needs the first seconds to detect that the store is slow.
				if i > 100 && (err != nil || time.Since(began) > 900*time.Millisecond) {
					late.Add(1)
				}
			})
			sleep(20 * time.Millisecond)
		}
		group.Wait()
		sleep(10 * time.Second)
		env.withLock(func() {
			if late.Load() > 0 || env.maxCommitsInFlight < 2 {
				t.Errorf("%d of the last 99 jobs were accepted late; at most %d transactions were in flight, want at least 2", late.Load(), env.maxCommitsInFlight)
			}
		})
		wantState(t, c, "job-199", steptracker.Completed)
	})
}

// TestStalledStoreRefusesJobsPromptly: jobs submitted while the store does not answer are refused
// within a second, and refused jobs never run.
func TestStalledStoreRefusesJobsPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("before", "plain", step(1, 1000)))
		sleep(3 * time.Second)
		env.withLock(func() { env.blocked = make(chan struct{}) })
		inFlight := make(chan error, 1)
		go func() {
			_, err := c.Submit(context.Background(), job("inflight", "plain", step(1, 1000)))
			inFlight <- err
		}()
		sleep(50 * time.Millisecond)
		began := time.Now()
		_, err := c.Submit(t.Context(), job("refused", "plain", step(1, 1000)))
		var refused *cellscheduler.RefusedError
		if !errors.As(err, &refused) || !refused.Unavailable || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal with a time after which to retry", err)
		}
		if waited := time.Since(began); waited > time.Second {
			t.Errorf("refused after %s", waited)
		}
		env.withLock(func() { close(env.blocked); env.blocked = nil })
		if err := <-inFlight; err != nil {
			t.Errorf("job whose rows were in flight: %v", err)
		}
		sleep(5 * time.Second)
		wantState(t, c, "inflight", steptracker.Completed)
		env.withLock(func() {
			if len(env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "refused"}}]) > 0 {
				t.Error("the refused job ran")
			}
		})
	})
}

// TestShutdownRejectsSubmissions: submissions during shutdown are directed to the successor. If
// the store does not answer there is no successor, and they are refused at once.
func TestShutdownRejectsSubmissions(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t, 2)
			c, stop := env.startScheduler(1)
			defer stop()
			sleep(time.Second)
			blocked := make(chan struct{})
			env.withLock(func() { env.blocked = blocked })
			go func() { _, _ = c.Submit(t.Context(), job("sent", "plain", step(1, 1000))) }()
			if stalled {
				sleep(time.Second)
			} else {
				sleep(50 * time.Millisecond)
			}
			shutdownDone := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			go func() { shutdownDone <- c.Shutdown(ctx) }()
			sleep(50 * time.Millisecond)
			_, err := c.Submit(t.Context(), job("late", "plain", step(1, 1000)))
			var refused *cellscheduler.RefusedError
			var shuttingDown *cellscheduler.ShuttingDownError
			if errors.As(err, &refused) != stalled || errors.As(err, &shuttingDown) == stalled {
				t.Errorf("store stalled %t: submission during the shutdown: %v", stalled, err)
			}
			close(blocked)
			<-shutdownDone
			if _, err := c.Submit(t.Context(), job("later", "plain", step(1, 1000))); !errors.As(err, &shuttingDown) {
				t.Errorf("submission after the shutdown: %v", err)
			}
		})
	}
}

func TestFormerOwnerCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		first, stopFirst := env.startScheduler(1)
		defer stopFirst()
		submit(t, first, job("a", "plain", step(1, 1000)))
		second, stop := env.startScheduler(2)
		defer stop()
		_, err := first.Submit(t.Context(), job("b", "plain", step(1, 1000)))
		var notOwner *cellscheduler.NotOwnerError
		if !errors.As(err, &notOwner) {
			t.Errorf("submission to the former owner: %v, want a NotOwnerError", err)
		}
		sleep(3 * time.Second)
		wantState(t, second, "a", steptracker.Completed)
	})
}

// TestOrdersOfPausedOwnerAreRefused: an owner is paused between writing an assignment and sending the
// start orders. A successor takes over, and the orders arrive three seconds later, when it has started
// the tasks. The workers refuse them, and each task runs once.
func TestOrdersOfPausedOwnerAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 6 * time.Second, steptracker.Done
		}
		setDelay := func(delay time.Duration) {
			env.withLock(func() {
				for _, w := range env.workers {
					w.startDelay = delay
				}
			})
		}
		setDelay(3 * time.Second)
		paused, stopPaused := env.startScheduler(1)
		submit(t, paused, job("j", "plain", step(3, 1000)))
		sleep(50 * time.Millisecond)
		stopPaused()
		setDelay(0)
		successor, stop := env.startScheduler(2)
		defer stop()
		sleep(5 * time.Second)
		env.withLock(func() {
			late := append(env.workers["w0"].lateReplies, env.workers["w1"].lateReplies...)
			if len(late) != 3 {
				t.Errorf("%d orders of the paused owner arrived, want 3", len(late))
			}
			for _, err := range late {
				var refused *workerdriver.RefusedError
				if !errors.As(err, &refused) || refused.Reason != workerdriver.StaleFencingToken {
					t.Errorf("an order of the paused owner got %v, want a refusal for its fencing token", err)
				}
			}
		})
		sleep(4 * time.Second)
		wantState(t, successor, "j", steptracker.Completed)
	})
}

// TestAcceptedJobWithoutProgressIsRestored: of a job that waits for its first task only the definition is
// stored. A successor knows when it was accepted, and runs it; a job whose progress cannot be read does
// not begin anew.
func TestAcceptedJobWithoutProgressIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.withLock(func() { env.workers["w0"].unreachable = true })
		first, stopFirst := env.startScheduler(1)
		submit(t, first, job("waiting", "plain", step(1, 1000)))
		submit(t, first, job("damaged", "plain", step(1, 1000)))
		sleep(2 * time.Second)
		stopFirst()
		env.withLock(func() {
			if row := env.rows["progress/cell/waiting"]; row.Version != 0 {
				t.Errorf("progress of a job that has none was stored: %s", row.Value)
			}
			env.version++
			env.rows["progress/cell/damaged"] = connector.Row{Key: "progress/cell/damaged", Value: []byte("{"), Version: env.version}
			env.workers["w0"].unreachable = false
		})
		successor, stop := env.startScheduler(2)
		defer stop()
		wantState(t, successor, "waiting", steptracker.Queued)
		sleep(3 * time.Second)
		wantState(t, successor, "waiting", steptracker.Completed)
		env.withLock(func() {
			for key := range env.starts {
				if key.Job == "damaged" {
					t.Error("a job whose progress cannot be read was started")
				}
			}
		})
		// Once accepted anew, it must not be lost at the next change of owner.
		env.approves = func(steptracker.StepKey, string) bool { return false }
		submit(t, successor, job("damaged", "advised", step(1, 1000)))
		stop()
		third, stopThird := env.startScheduler(3)
		defer stopThird()
		wantState(t, third, "damaged", steptracker.Queued)
	})
}

// TestResubmittedJobReplacesProgress: a job is submitted again under its ID while the final state of the
// earlier job waits to be removed. A successor must not take that state for the new job's.
func TestResubmittedJobReplacesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.approves = func(steptracker.StepKey, string) bool { return false }
		resubmitBeforeRemoval(t, env, "advised")
		successor, stop := env.startScheduler(2)
		defer stop()
		wantState(t, successor, "again", steptracker.Queued)
	})
}

// TestFinalJobLeavesNoDefinition: a definition without progress is that of a job that has not begun, so
// it must not outlive the progress. One job is cancelled before anything of it is written, another one is
// found by a successor with its final state and its definition, and a third is a leftover of a version
// that did not store when a job was accepted.
func TestFinalJobLeavesNoDefinition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.stateRetention = time.Second
		env.approves = func(steptracker.StepKey, string) bool { return false }
		first, stopFirst := env.startScheduler(1)
		submit(t, first, job("ended", "advised", step(1, 1000)))
		blocked := make(chan struct{})
		env.withLock(func() { env.blocked = blocked })
		var group sync.WaitGroup
		group.Go(func() { submit(t, first, job("other", "advised", step(1, 1000))) })
		sleep(50 * time.Millisecond)
		group.Go(func() { submit(t, first, job("unwritten", "advised", step(1, 1000))) })
		sleep(50 * time.Millisecond)
		group.Go(func() {
			if err := first.Cancel(t.Context(), "unwritten"); err != nil {
				t.Errorf("cancel: %v", err)
			}
		})
		sleep(50 * time.Millisecond)
		env.withLock(func() { close(blocked); env.blocked = nil })
		group.Wait()
		definition := env.rows["jobs/cell/ended"]
		if err := first.Cancel(t.Context(), "ended"); err != nil {
			t.Errorf("cancel: %v", err)
		}
		stopFirst()
		env.withLock(func() {
			// As if the first owner had ended before it deleted the definition.
			env.rows["jobs/cell/ended"] = definition
			env.version++
			env.rows["jobs/cell/leftover"] = connector.Row{Key: "jobs/cell/leftover", Version: env.version, Value: []byte(`{"id":"leftover","queue":"plain","steps":[{"tasks":1,"needs":{}}]}`)}
		})
		_, stopSecond := env.startScheduler(2)
		sleep(15 * time.Second)
		stopSecond()
		third, stop := env.startScheduler(3)
		defer stop()
		sleep(2 * time.Second)
		for _, id := range []string{"unwritten", "ended", "leftover"} {
			var unknown *cellscheduler.UnknownJobError
			if state, err := third.State(t.Context(), id); !errors.As(err, &unknown) {
				t.Errorf("job %s: state %q, error %v; want an unknown job", id, state, err)
			}
		}
		wantState(t, third, "other", steptracker.Queued)
		env.withLock(func() {
			if len(env.starts) > 0 {
				t.Errorf("tasks of jobs that are over were started: %v", env.starts)
			}
		})
	})
}

// TestRecoveryFromStoreThatRefusesMostReads: a new owner repeated all reads when one was refused, and was without the
// cell's jobs for seconds.
func TestRecoveryFromStoreThatRefusesMostReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		first, stopFirst := env.startScheduler(1)
		submit(t, first, job("stored", "plain", step(1, 1000)))
		stopFirst()
		env.withLock(func() {
			clear(env.snapshots)
			env.refusedSnapshots = map[string]int{"progress": 2, "paths": 8}
		})
		c, stop := env.startScheduler(2)
		defer stop()
		submitted := make(chan error, 1)
		go func() {
			_, err := c.Submit(t.Context(), job("new", "plain", step(1, 1000)))
			submitted <- err
		}()
		sleep(2 * time.Second)
		wantState(t, c, "stored", steptracker.Completed)
		env.withLock(func() {
			if env.snapshots["jobs"] != 1 || env.snapshots["progress"] != 3 {
				t.Errorf("%d reads of the definitions and %d of the progress, want 1 and 3", env.snapshots["jobs"], env.snapshots["progress"])
			}
		})
		if err := <-submitted; err != nil {
			t.Errorf("submission while the entries of paths could not be read: %v", err)
		}
	})
}
