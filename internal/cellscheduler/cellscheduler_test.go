package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestStepsRunInOrderAndTasksRunOnce(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 3)
				c, stop := env.startScheduler(1)
				defer stop()
				second := step(5, 1000)
				second.After = []int{0}
				submit(t, c, job("j", queue, step(4, 1000), second))
				sleep(600 * time.Millisecond)
				wantState(t, c, "j", steptracker.Running)
				env.withLock(func() {
					if len(env.starts) != 4 {
						t.Errorf("%d tasks started before the first step ended", len(env.starts))
					}
				})
				sleep(2 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
				env.withLock(func() {
					for task, runs := range env.starts {
						if len(runs) != 1 {
							t.Errorf("task %s started %d times", task, len(runs))
						}
					}
					if len(env.starts) != 9 {
						t.Errorf("%d tasks started, want 9", len(env.starts))
					}
				})
			})
		})
	}
}

// TestEndInAdditionalListingIsNotALostRun: after an unanswered start the owner requests an
// additional listing while the regular sync is still waiting. If that listing contains the end of
// another run, the run must not be treated as lost and started again.
func TestEndInAdditionalListingIsNotALostRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 3)
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			// The first run ends while the start of the second is in doubt.
			return 150*time.Millisecond + time.Duration(start.Task.Index)*7*time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("first", "plain", step(3, 1000)))
		for i := range 12 {
			sleep(11 * time.Millisecond)
			env.withLock(func() { env.workers["w0"].loseStartReplies = i%2 == 0; env.workers["w1"].loseStartReplies = i%2 == 1 })
			if i < 6 {
				submit(t, c, job("later"+string(rune('a'+i)), "plain", step(1, 1000)))
			}
		}
		sleep(5 * time.Second)
		wantState(t, c, "first", steptracker.Completed)
	})
}

func TestJobFailsAtFailureLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 3)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 100 * time.Millisecond, steptracker.TaskFailed
		}
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(3 * time.Second)
		wantState(t, c, "j", steptracker.Failed)
		env.withLock(func() {
			if runs := env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}]; len(runs) != 2 {
				t.Errorf("started %d times, want 2 (the failure limit)", len(runs))
			}
		})
	})
}

// TestTaskOnUnreachableWorkerWaitsForLeaseExpiry: a successor that cannot reach a worker may
// start the worker's tasks elsewhere only after every lease that an earlier owner can have
// granted has expired.
func TestTaskOnUnreachableWorkerWaitsForLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		first, stopFirst := env.startScheduler(1)
		submit(t, first, job("j", "plain", step(8, 1000)))
		sleep(time.Second)
		stopFirst()
		env.withLock(func() { env.workers["w0"].unreachable = true })
		_, stop := env.startScheduler(2)
		defer stop()
		sleep(30 * time.Second)
		env.withLock(func() { env.workers["w1"].running = make(map[steptracker.TaskKey]*fakeRun) })
		sleep(5 * time.Second)
		// checkStart fails the test if a task is started while another run of it is still
		// running.
	})
}

// TestLateStartOrderIsRefused: a start order reaches its worker 3 s after it was sent, when the
// owner has stopped the unanswered run and started the task again. The late order must not start
// the old run.
func TestLateStartOrderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.withLock(func() { env.workers["w0"].startDelay = 3 * time.Second; env.workers["w1"].startDelay = 3 * time.Second })
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("j", "plain", step(3, 1000)))
		sleep(200 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].startDelay = 0; env.workers["w1"].startDelay = 0 })
		sleep(8 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
		env.withLock(func() {
			late := append(env.workers["w0"].lateReplies, env.workers["w1"].lateReplies...)
			if len(late) != 3 {
				t.Errorf("%d start orders were late, want 3", len(late))
			}
			for _, err := range late {
				var refused *workerdriver.RefusedError
				if !errors.As(err, &refused) || refused.Reason != workerdriver.StaleRun {
					t.Errorf("a late start order got %v, want a refusal as a stale run", err)
				}
			}
		})
	})
}

func TestPendingJobsCountsUnstartedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.approves = func(steptracker.StepKey, string) bool { return false }
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("a", "advised", step(1, 1000)))
		submit(t, c, job("b", "advised", step(1, 1000)))
		// A start order that never reaches its worker does not count as a start.
		env.withLock(func() { env.workers["w0"].unreachable = true })
		submit(t, c, job("c", "plain", step(1, 1000)))
		sleep(time.Second)
		if count, err := c.PendingJobs(t.Context(), "advised"); err != nil || count != 2 {
			t.Errorf("%d pending jobs, error %v; want 2", count, err)
		}
		if count, err := c.PendingJobs(t.Context(), "plain"); err != nil || count != 1 {
			t.Errorf("%d pending jobs, error %v; want 1", count, err)
		}
	})
}

func TestCancelStopsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("j", "plain", step(3, 1000), step(9, 1000)))
		sleep(300 * time.Millisecond)
		if err := c.Cancel(t.Context(), "j"); err != nil {
			t.Fatal(err)
		}
		sleep(300 * time.Millisecond)
		wantState(t, c, "j", steptracker.Cancelled)
		env.withLock(func() {
			for _, worker := range env.workers {
				if len(worker.running) > 0 {
					t.Errorf("%d tasks still run on %s", len(worker.running), worker.info.Worker)
				}
			}
		})
		var unknown *cellscheduler.UnknownJobError
		if err := c.Cancel(t.Context(), "nobody"); !errors.As(err, &unknown) {
			t.Errorf("cancelling an unknown job: %v", err)
		}
	})
}

// TestTasksOfLostWorkerAreRescheduled: the tasks of a worker that never answers again are
// rescheduled when its lease expires. Unanswered syncs must not extend that lease. If another
// worker answers at the address, the tasks are rescheduled without waiting for the lease.
func TestTasksOfLostWorkerAreRescheduled(t *testing.T) {
	for name, test := range map[string]struct {
		replaced bool
		within   time.Duration
	}{
		"dead":     {within: testLease + 5*time.Second},
		"replaced": {replaced: true, within: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				c, stop := env.startScheduler(1)
				defer stop()
				submit(t, c, job("j", "plain", step(8, 1000)))
				sleep(300 * time.Millisecond)
				env.withLock(func() { env.workers["w0"].kill(); env.workers["w0"].replaced = test.replaced })
				sleep(test.within)
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}

// TestLongRunningTaskIsRestarted: a long-running task is restarted however it ends, ahead of all
// pending tasks.
func TestLongRunningTaskIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "lasting" {
				return 500 * time.Millisecond, steptracker.TaskFailed
			}
			return time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		longRunning := step(1, 1000)
		longRunning.LongRunning = true
		submit(t, c, job("lasting", "plain", longRunning))
		submit(t, c, job("batch", "plain", step(200, 1000)))
		sleep(20 * time.Second)
		wantState(t, c, "lasting", steptracker.Running)
		env.withLock(func() {
			if runs := len(env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "lasting"}}]); runs < 10 {
				t.Errorf("the long-running task was started %d times in 20 s, want at least 10", runs)
			}
		})
	})
}

// TestPendingJobsAreCountedThroughAllChanges: the number is kept, and must not drift from the states of the jobs when
// they are cancelled, end, are submitted again or change their owner.
func TestPendingJobsAreCountedThroughAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.approves = func(step steptracker.StepKey, _ string) bool { return step.Job[0] != 'w' }
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job[0] == 'f' {
				return 100 * time.Millisecond, steptracker.TaskFailed
			}
			return 300 * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer func() { stop() }()
		var ids []string
		compare := func() (queued int) {
			t.Helper()
			for _, id := range ids {
				if state, err := c.State(t.Context(), id); err != nil {
					t.Error(err)
				} else if state == steptracker.Queued {
					queued++
				}
			}
			if count, err := c.PendingJobs(t.Context(), "advised"); err != nil || count != queued {
				t.Errorf("%d pending jobs, error %v; %d jobs are queued", count, err, queued)
			}
			return queued
		}
		for i := range 20 {
			for _, kind := range []string{"waiting", "failing", "done"} {
				ids = append(ids, fmt.Sprintf("%s-%d", kind, i))
				submit(t, c, job(ids[len(ids)-1], "advised", step(1, 1000)))
			}
			sleep(50 * time.Millisecond)
			compare()
		}
		for i := range 5 {
			if err := c.Cancel(t.Context(), fmt.Sprintf("waiting-%d", i)); err != nil {
				t.Error(err)
			}
			submit(t, c, job(fmt.Sprintf("waiting-%d", i+5), "advised", step(1, 1000)))
			compare()
		}
		stop()
		c, stop = env.startScheduler(2)
		compare()
		sleep(20 * time.Second)
		if queued := compare(); queued != 15 {
			t.Errorf("%d jobs are queued at the end, want those that no worker may run", queued)
		}
	})
}
