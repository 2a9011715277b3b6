package cellscheduler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// maxCrashes is the number of workers that a task may crash. After the third crash it may be started
// twice more.
const maxCrashes = 5

// crashing makes every task with index 0 of a job whose ID begins with "deadly" crash its worker 10 ms
// after its start. All other tasks take a second.
func crashing(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
	if start.Task.Index == 0 && start.Task.Job[:1] == "d" {
		return 10 * time.Millisecond, workerCrash
	}
	return time.Second, steptracker.Done
}

func (env *testEnv) wantCrashes(t *testing.T, limit int) {
	t.Helper()
	env.withLock(func() {
		for task, count := range env.crashes {
			if count > limit {
				t.Errorf("task %s has crashed %d workers, want at most %d", task, count, limit)
			}
		}
	})
}

// TestTaskThatCrashesItsWorkersIsGivenUp: the jobs beside it must not fail with it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 8)
				env.outcome = crashing
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				var innocent []string
				for i := range 150 {
					if i%40 == 10 {
						submit(t, c, job(fmt.Sprintf("deadly-%d", i), queue, step(2, 1000)))
					}
					innocent = append(innocent, fmt.Sprintf("i%d", i))
					submit(t, c, job(innocent[i], queue, step(1, 1000)))
					sleep(60 * time.Millisecond)
				}
				sleep(30 * time.Second)
				for _, id := range innocent {
					wantState(t, c, id, steptracker.Completed)
				}
				for _, i := range []int{10, 50, 90, 130} {
					wantState(t, c, fmt.Sprintf("deadly-%d", i), steptracker.Failed)
				}
				env.wantCrashes(t, maxCrashes)
			})
		})
	}
}

// TestGangThatCrashesItsWorkersIsGivenUp: one member of a gang crashes its worker.
func TestGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "deadly" && start.Task.Index > 0 {
				// The other members wait for the one that is missing.
				return 3 * time.Second, steptracker.Alone
			}
			return crashing(start, worker)
		}
		c, stop := env.startScheduler(1)
		defer stop()
		gang := step(6, 1000)
		gang.Gang = true
		submit(t, c, job("deadly", "plain", gang))
		for i := range 40 {
			submit(t, c, job(fmt.Sprintf("i%d", i), "plain", step(1, 1000)))
			sleep(100 * time.Millisecond)
		}
		sleep(40 * time.Second)
		wantState(t, c, "deadly", steptracker.Failed)
		for i := range 40 {
			wantState(t, c, fmt.Sprintf("i%d", i), steptracker.Completed)
		}
		env.wantCrashes(t, maxCrashes)
	})
}

// TestCrashesAreCountedAcrossOwners: every owner is replaced 1.5 s after it has taken over, so that
// some crashes are proved only to the successor of the owner that sent the order.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.outcome = crashing
		var c *cellscheduler.Scheduler
		stop := func() {}
		for token := range int64(3) {
			stop()
			c, stop = env.startScheduler(token + 1)
			if token == 0 {
				submit(t, c, job("deadly", "plain", step(2, 1000)))
			}
			sleep(1500 * time.Millisecond)
		}
		defer func() { stop() }()
		sleep(60 * time.Second)
		wantState(t, c, "deadly", steptracker.Failed)
		env.wantCrashes(t, maxCrashes)
	})
}

// TestCrashBeforeATakeOverIsCounted: a worker crashes, its owner ends, and the worker is back, under its
// ID or another one, before the successor reads that the task was assigned to it.
func TestCrashBeforeATakeOverIsCounted(t *testing.T) {
	for _, keepIDs := range []bool{false, true} {
		t.Run(fmt.Sprintf("same ID %t", keepIDs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 3)
				env.outcome, env.keepIDs = crashing, keepIDs
				first, stopFirst := env.startScheduler(1)
				submit(t, first, job("deadly", "plain", step(1, 1000)))
				sleep(100 * time.Millisecond)
				stopFirst()
				sleep(restartDelay)
				_, stop := env.startScheduler(2)
				defer stop()
				sleep(500 * time.Millisecond)
				env.withLock(func() {
					progress, err := steptracker.Decode(env.rows["progress/cell/deadly"].Value)
					if err != nil {
						t.Fatal(err)
					}
					task := progress.Task(steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "deadly"}})
					if task.CrashHistory.Crashes != 1 {
						t.Errorf("the successor knows of %d crashes, want 1: %+v", task.CrashHistory.Crashes, task)
					}
				})
			})
		})
	}
}

// TestJobsSurviveUnrelatedCrashes: workers crash again and again for reasons of their own.
func TestJobsSurviveUnrelatedCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 6)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 1500 * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		for i := range 12 {
			submit(t, c, job(fmt.Sprintf("j%d", i), "plain", step(2, 1000)))
		}
		for range 8 {
			sleep(700 * time.Millisecond)
			env.withLock(func() {
				for _, worker := range env.workers {
					if len(worker.running) > 0 && !worker.crashed {
						worker.crash()
						return
					}
				}
			})
		}
		sleep(40 * time.Second)
		for i := range 12 {
			wantState(t, c, fmt.Sprintf("j%d", i), steptracker.Completed)
		}
	})
}

// TestStartThatWasNeverSentIsPlacedElsewhere: connections to a worker are refused, which doesn't prove
// that its runs are over, but that an order has not reached it. Nothing new may wait for that proof.
func TestStartThatWasNeverSentIsPlacedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 200 * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(500 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].crashed = true })
		for i := range 20 {
			submit(t, c, job(fmt.Sprintf("j%d", i), "plain", step(1, 1000)))
			sleep(60 * time.Millisecond)
		}
		sleep(500 * time.Millisecond)
		for i := range 20 {
			wantState(t, c, fmt.Sprintf("j%d", i), steptracker.Completed)
		}
	})
}

// TestNoStartExceedsCapacityThatHasShrunk: the capacity of a worker shrinks while assignments to it
// are being written.
func TestNoStartExceedsCapacityThatHasShrunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.commitDelay = 300 * time.Millisecond
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(time.Second)
		var info workerdriver.Worker
		env.withLock(func() { info = env.workers["w0"].info })
		go submitAll(c, job("j", "plain", step(4, 1000)))
		sleep(100 * time.Millisecond)
		info.Capacity.Processors = 2000
		c.UpdateWorkers([]workerdriver.Worker{info}, nil, false)
		sleep(900 * time.Millisecond)
		env.withLock(func() {
			if count := len(env.workers["w0"].running); count != 2 {
				t.Errorf("%d tasks run on a worker whose capacity has shrunk to two", count)
			}
		})
		info.Capacity.Processors = 4000
		c.UpdateWorkers([]workerdriver.Worker{info}, nil, false)
		sleep(5 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}

func submitAll(c *cellscheduler.Scheduler, jobs ...*steptracker.Job) {
	for _, j := range jobs {
		// The test looks at the job's state.
		_, _ = c.Submit(context.Background(), j)
	}
}

// TestRunsOnARestartedWorkerAreLost: a worker restarts with the same ID. Its runs had started.
func TestRunsOnARestartedWorkerAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("j", "plain", step(3, 1000)))
		sleep(300 * time.Millisecond)
		env.withLock(func() {
			worker := env.workers["w0"]
			worker.kill()
			worker.unreachable = false
			worker.info.StartMillis++
			worker.startedAt, worker.lastEnd, worker.leaseEndsAt = time.Now(), 0, time.Time{}
		})
		sleep(5 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
		for name, want := range map[string]string{"ended-lost": "3", "ended-never-ran": "<nil>", "workers-crashed": "1"} {
			if got := fmt.Sprint(env.schedulerMetrics.Map().Get(name)); got != want {
				t.Errorf("metric %s is %s, want %s", name, got, want)
			}
		}
	})
}

// TestIsolatedTasksDoNotFloodTheAdvisor: tasks that wait for isolation while all workers are in use do not
// ask for placement tokens that they cannot use.
func TestIsolatedTasksDoNotFloodTheAdvisor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 24)
		env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job[:1] == "l" {
				return time.Minute, steptracker.Done
			}
			return crashing(start, worker)
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		// All workers keep some room, and none is idle.
		long := step(24, 1000)
		long.MaxPerWorker = 1
		submit(t, c, job("long", "plain", long))
		sleep(100 * time.Millisecond)
		for i := range 12 {
			submit(t, c, job(fmt.Sprintf("deadly-%d", i), "advised", step(1, 1000)))
			sleep(50 * time.Millisecond)
		}
		sleep(20 * time.Second)
		env.withLock(func() {
			if calls := len(env.adviceCalls); calls > 200 {
				t.Errorf("%d advisor calls for 12 tasks", calls)
			}
		})
	})
}

// TestDelayedStartIsNotBlamedForACrash: the worker does not carry out the start orders and crashes for
// another reason, twice. It has answered since it got the orders, without listing the run.
func TestDelayedStartIsNotBlamedForACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.keepIDs = true
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		env.withLock(func() { env.workers["w0"].startDelay = 10 * time.Second })
		submit(t, c, job("j", "plain", step(1, 1000)))
		for range 2 {
			sleep(time.Second)
			env.withLock(func() { env.workers["w0"].crash() })
			sleep(restartDelay + time.Millisecond)
			env.withLock(func() { env.workers["w0"].startDelay = 10 * time.Second })
		}
		sleep(time.Second)
		env.withLock(func() { env.workers["w0"].startDelay = 0 })
		sleep(30 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
