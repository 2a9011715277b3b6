package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

func TestGangStartsAndEndsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		c, stop := env.startScheduler(1)
		defer stop()
		filler := step(6, 1000)
		submit(t, c, job("filler", "plain", filler))
		gang := step(4, 1000)
		gang.Gang = true
		submit(t, c, job("gang", "plain", gang))
		sleep(500 * time.Millisecond)
		env.withLock(func() {
			if len(env.starts) != 6 {
				t.Errorf("%d tasks started; the gang has room for two of its four tasks and must wait", len(env.starts))
			}
		})
		sleep(3 * time.Second)
		wantState(t, c, "gang", steptracker.Completed)
	})
}

// TestGangUsesItsPlacementTokens: a stream of small tasks keeps changing the free resources and
// with them the workers where the gang would fit best. The gang must be placed on the workers for
// which it has valid tokens.
func TestGangUsesItsPlacementTokens(t *testing.T) {
	for range 12 {
		runGangBesideSmallTasks(t)
	}
}

func runGangBesideSmallTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 40)
		env.adviceDelay = 600 * time.Millisecond
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "gang" && start.Run == 1 {
				return 2 * time.Second, steptracker.TaskFailed
			}
			return time.Duration(200+start.Task.Index%7*150) * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		gang := step(20, 1000)
		gang.Gang, gang.MaxPerWorker = true, 1
		submit(t, c, job("gang", "high-stretch", gang))
		for i := range 110 {
			submit(t, c, job(fmt.Sprintf("small-%d", i), "plain", step(4+i%5, 1000)))
			sleep(40 * time.Millisecond)
		}
		env.withLock(func() {
			if runs := len(env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "gang"}}]); runs < 2 {
				t.Errorf("the gang was not restarted within two seconds of its failure: %d runs", runs)
			}
		})
	})
}

// TestRoomIsReservedDuringAdvisorCall: later tasks that need no advice must not take the room of
// a short task whose advisor call is in flight.
func TestRoomIsReservedDuringAdvisorCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "quick" {
				return 300 * time.Millisecond, steptracker.Done
			}
			return 5 * time.Second, steptracker.Done
		}
		env.adviceDelay = 300 * time.Millisecond
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("before", "plain", step(3, 1000)))
		sleep(100 * time.Millisecond)
		submit(t, c, job("quick", "advised", step(1, 1000)))
		sleep(100 * time.Millisecond)
		submit(t, c, job("after", "plain", step(1, 1000)))
		sleep(900 * time.Millisecond)
		wantState(t, c, "quick", steptracker.Completed)
	})
}

// TestBestEffortTaskIsThrottled: the CPU share of a best-effort task is lowered when the tail
// latency of a serving task on the same worker exceeds its target, and raised again once the
// latency is well below it.
func TestBestEffortTaskIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		serving := step(1, 2000)
		serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
		bestEffort := step(1, 8000)
		bestEffort.BestEffort = true
		submit(t, c, job("serving", "plain", serving))
		submit(t, c, job("best-effort", "plain", bestEffort))
		sleep(2 * time.Second)
		servingTask := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "serving"}}
		bestEffortTask := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "best-effort"}}
		env.withLock(func() { env.metrics[servingTask] = 150 })
		sleep(2 * time.Second)
		env.withLock(func() {
			if percent, found := env.throttled[bestEffortTask]; !found || percent != 0 {
				t.Errorf("best-effort task has a CPU share of %d %% beside a serving task over its target, want 0", percent)
			}
			env.metrics[servingTask] = 30
		})
		sleep(20 * time.Second)
		env.withLock(func() {
			if env.throttled[bestEffortTask] < 50 {
				t.Errorf("best-effort task has a CPU share of %d %% after 20 s below the target, want at least 50", env.throttled[bestEffortTask])
			}
		})
	})
}

// TestJobsOfRemovedQueueStillRequestAdvice: workers refuse start orders of such jobs without a
// placement token, whether or not the queue is still configured.
func TestJobsOfRemovedQueueStillRequestAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.requireTokens = true
		c, stop := env.startScheduler(1)
		defer stop()
		second := step(2, 1000)
		second.After = []int{0}
		submit(t, c, job("j", "advised", step(2, 1000), second))
		sleep(500 * time.Millisecond)
		env.configuration.Apply(&configprovider.Configuration{Version: 2})
		sleep(4 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
