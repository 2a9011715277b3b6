package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestStepsRunInOrderAndEachTaskOnce(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				c, stop := w.own(1)
				defer stop()
				second := step(5, 1000)
				second.After = []int{0}
				submit(t, c, job("j", queue, step(4, 1000), second))
				pass(600 * time.Millisecond)
				wantState(t, c, "j", steptracker.Running)
				w.set(func() {
					if len(w.starts) != 4 {
						t.Errorf("%d tasks started before the first step ended", len(w.starts))
					}
				})
				pass(2 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
				w.set(func() {
					for task, runs := range w.starts {
						if len(runs) != 1 {
							t.Errorf("task %s started %d times", task, len(runs))
						}
					}
					if len(w.starts) != 9 {
						t.Errorf("%d tasks started, want 9", len(w.starts))
					}
				})
			})
		})
	}
}

// TestEndListedByASecondLookIsNoLostRun: a start without an answer makes the owner look at the worker
// beside the hold that waits there. A run whose end that look lists was once taken for lost, and
// started again.
func TestEndListedByASecondLookIsNoLostRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.run = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			// The first run ends while the start of the second is in doubt.
			return 150*time.Millisecond + time.Duration(start.Task.Index)*7*time.Millisecond, steptracker.Done
		}
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("first", "plain", step(3, 1000)))
		for i := range 12 {
			pass(11 * time.Millisecond)
			w.set(func() { w.workers["w0"].silentStart = i%2 == 0; w.workers["w1"].silentStart = i%2 == 1 })
			if i < 6 {
				submit(t, c, job("later"+string(rune('a'+i)), "plain", step(1, 1000)))
			}
		}
		pass(5 * time.Second)
		wantState(t, c, "first", steptracker.Completed)
	})
}

func TestFailuresCountAndEndTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.run = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 100 * time.Millisecond, steptracker.TaskFailed
		}
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("j", "plain", step(1, 1000)))
		pass(3 * time.Second)
		wantState(t, c, "j", steptracker.Failed)
		w.set(func() {
			if runs := w.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}]; len(runs) != 2 {
				t.Errorf("started %d times, want 2, the limit of failures", len(runs))
			}
		})
	})
}

// TestTaskOnAWorkerOutOfReachWaitsForItsLease: a successor that can't reach a worker may start its
// tasks elsewhere only when every lease is over that an earlier owner can have given.
func TestTaskOnAWorkerOutOfReachWaitsForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.run = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		first, stopFirst := w.own(1)
		submit(t, first, job("j", "plain", step(8, 1000)))
		pass(time.Second)
		stopFirst()
		w.set(func() { w.workers["w0"].cut = true })
		_, stop := w.own(2)
		defer stop()
		pass(30 * time.Second)
		w.set(func() { w.workers["w1"].running = make(map[steptracker.TaskKey]*fakeRun) })
		pass(5 * time.Second)
		// The auditor has complained if a task had been started twice at once.
	})
}

func TestOrderCarriedOutLateIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.set(func() { w.workers["w0"].delay = 3 * time.Second; w.workers["w1"].delay = 3 * time.Second })
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("j", "plain", step(3, 1000)))
		pass(200 * time.Millisecond)
		w.set(func() { w.workers["w0"].delay = 0; w.workers["w1"].delay = 0 })
		pass(8 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}

func TestPendingCountsWhatHasNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.good = func(steptracker.StepKey, string) bool { return false }
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("a", "advised", step(1, 1000)))
		submit(t, c, job("b", "advised", step(1, 1000)))
		// A start that never reaches its worker is no beginning either.
		w.set(func() { w.workers["w0"].cut = true })
		submit(t, c, job("c", "plain", step(1, 1000)))
		pass(time.Second)
		if count, err := c.PendingJobs(t.Context(), "advised"); err != nil || count != 2 {
			t.Errorf("pending %d, %v; want 2", count, err)
		}
		if count, err := c.PendingJobs(t.Context(), "plain"); err != nil || count != 1 {
			t.Errorf("pending %d, %v; want 1", count, err)
		}
	})
}

func TestCancelStopsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.run = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := w.own(1)
		defer stop()
		submit(t, c, job("j", "plain", step(3, 1000), step(9, 1000)))
		pass(300 * time.Millisecond)
		if err := c.Cancel(t.Context(), "j"); err != nil {
			t.Fatal(err)
		}
		pass(300 * time.Millisecond)
		wantState(t, c, "j", steptracker.Cancelled)
		w.set(func() {
			for _, worker := range w.workers {
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

// TestTasksOfALostWorkerStartElsewhere: a worker that never answers again holds its tasks for a lease and
// no longer; every order that extended the lease in vain once put that off. Once another worker answers
// at the address, the one before is over, and nothing has to wait for its lease.
func TestTasksOfALostWorkerStartElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		replaced bool
		within   time.Duration
	}{
		"dead":     {within: testLease + 5*time.Second},
		"replaced": {replaced: true, within: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				c, stop := w.own(1)
				defer stop()
				submit(t, c, job("j", "plain", step(8, 1000)))
				pass(300 * time.Millisecond)
				w.set(func() { w.workers["w0"].kill(); w.workers["w0"].replaced = test.replaced })
				pass(test.within)
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}

// TestLastingTaskComesBack: a task that lasts is started again however it ends, before all that waits.
func TestLastingTaskComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.run = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "lasting" {
				return 500 * time.Millisecond, steptracker.TaskFailed
			}
			return time.Second, steptracker.Done
		}
		c, stop := w.own(1)
		defer stop()
		lasting := step(1, 1000)
		lasting.LongRunning = true
		submit(t, c, job("lasting", "plain", lasting))
		submit(t, c, job("batch", "plain", step(200, 1000)))
		pass(20 * time.Second)
		wantState(t, c, "lasting", steptracker.Running)
		w.set(func() {
			if runs := len(w.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "lasting"}}]); runs < 10 {
				t.Errorf("the lasting task began %d runs in twenty seconds", runs)
			}
		})
	})
}
