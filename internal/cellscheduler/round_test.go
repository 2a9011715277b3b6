package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

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

// wantGangStarted fails the test if the first task of the job "gang" was never started.
func (env *testEnv) wantGangStarted(t *testing.T) {
	t.Helper()
	env.withLock(func() {
		if len(env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "gang"}}]) == 0 {
			t.Errorf("the gang has not started; the advisor was called %d times", len(env.adviceCalls))
		}
	})
}

// busyClock is the clock of a machine on which everything takes time: time passes whenever the clock is read.
type busyClock struct{ clockwork.Clock }

func (c busyClock) Now() time.Time {
	sleep(50 * time.Microsecond)
	return c.Clock.Now()
}

// TestLateGangGetsItsRoomInALongBacklog: a late gang that a round does not always reach must not lose its room to work
// of lower rank while tokens are requested for it, nor let the tokens expire.
func TestLateGangGetsItsRoomInALongBacklog(t *testing.T) {
	for _, advisor := range []configprovider.AdvisorSettings{
		{BaseLatency: 5 * time.Millisecond, TokenLifetime: 500 * time.Millisecond},
		{BaseLatency: 800 * time.Millisecond, TokenLifetime: 1500 * time.Millisecond},
	} {
		t.Run(advisor.BaseLatency.String(), func(t *testing.T) { runLateGangInALongBacklog(t, advisor) })
	}
}

func runLateGangInALongBacklog(t *testing.T, advisor configprovider.AdvisorSettings) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.adviceDelay = advisor.BaseLatency
		env.clock = busyClock{clockwork.NewRealClock()}
		env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
			{Name: "waiting", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.8}},
			{Name: "late", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.9, Advisor: &advisor}},
			{Name: "expired", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.1}},
		}})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		whole := step(4, 1000)
		whole.Gang = true
		submit(t, c, job("expired", "expired", whole))
		// Steps that come first and can't be placed take most of a round.
		unplaceable := step(1, 1000)
		unplaceable.Label, unplaceable.Estimate = "none", time.Hour
		for i := range 300 {
			submit(t, c, job(fmt.Sprintf("waiting-%d", i), "waiting", unplaceable))
		}
		for i := range 300 {
			submit(t, c, job(fmt.Sprintf("expired-%d", i), "expired", whole))
		}
		// Its objective is shorter than its run, so that the gang is late but not expired.
		late := whole
		late.Estimate = 2 * time.Hour
		submit(t, c, job("gang", "late", late))
		sleep(20 * time.Second)
		env.wantGangStarted(t)
	})
}

// TestLateGangKeepsItsRoomDuringALongAdvisorCall: all workers are free for a moment every two seconds. Tasks that are late as
// well must not take the room of a late gang while new tokens are requested for it.
func TestLateGangKeepsItsRoomDuringALongAdvisorCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.adviceDelay = 700 * time.Millisecond
		env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
			{Name: "first", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.5}},
			{Name: "late", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.9, Advisor: &configprovider.AdvisorSettings{
				BaseLatency: 700 * time.Millisecond, TokenLifetime: 600 * time.Millisecond,
			}}},
		}})
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 1900 * time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		// The objectives are shorter than the runs, so that all are late but not expired.
		single, gang := step(1, 1000), step(4, 1000)
		single.Estimate, gang.Estimate, gang.Gang = time.Hour, 2*time.Hour, true
		for i := range 10 {
			submit(t, c, job(fmt.Sprintf("first-%d", i), "first", single))
			if i == 0 {
				submit(t, c, job("gang", "late", gang))
			}
			sleep(2 * time.Second)
		}
		env.wantGangStarted(t)
	})
}

// TestGangThatWaitsForAServiceLeavesRoom: a gang that has room only if a service ends must not keep the free room from
// steps of lower rank.
func TestGangThatWaitsForAServiceLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 10)
		env.maxRunsPerWorker = 10
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "service" {
				return time.Hour, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
			{Name: "plain", Service: "cell", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 2, Target: time.Second}},
			{Name: "late", Service: "cell", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 0.9}},
		}})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(time.Second)
		service := step(10, 800)
		service.LongRunning, service.MaxPerWorker = true, 1
		submit(t, c, job("service", "plain", service))
		sleep(time.Second)
		gang := step(20, 2000)
		gang.Gang, gang.Estimate = true, 20*time.Second
		submit(t, c, job("gang", "late", gang))
		sleep(time.Second)
		narrow := step(4, 1500)
		narrow.Estimate = 20 * time.Second
		submit(t, c, job("narrow", "late", narrow))
		sleep(20 * time.Second)
		env.withLock(func() {
			if len(env.starts)-10 < 4 {
				t.Errorf("%d of 4 narrow tasks have started in 20 s, with 0.2 of the cell in use", len(env.starts)-10)
			}
		})
	})
}

// bestEffortTask is the task that throttleBestEffortTask throttles.
var bestEffortTask = steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "best-effort"}}

// throttleBestEffortTask starts a scheduler with a best-effort task beside a serving one, checks that the former is
// throttled while the latter exceeds its target, and then lowers the tail latency far below it. It returns a function
// that stops the scheduler.
func (env *testEnv) throttleBestEffortTask() (stop func()) {
	env.t.Helper()
	env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
		return time.Hour, steptracker.Done
	}
	c, stop := env.startScheduler(1)
	serving := step(1, 2000)
	serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
	bestEffort := step(1, 8000)
	bestEffort.BestEffort = true
	submit(env.t, c, job("serving", "plain", serving))
	submit(env.t, c, job("best-effort", "plain", bestEffort))
	sleep(2 * time.Second)
	servingTask := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "serving"}}
	env.withLock(func() { env.metrics[servingTask] = 150 })
	sleep(2 * time.Second)
	env.withLock(func() {
		if percent, found := env.throttled[bestEffortTask]; !found || percent != 0 {
			env.t.Errorf("best-effort task has a CPU share of %d %% beside a serving task over its target, want 0", percent)
		}
		env.metrics[servingTask] = 30
	})
	return stop
}

// TestBestEffortTaskIsThrottled: the CPU share of a best-effort task is lowered when the tail
// latency of a serving task on the same worker exceeds its target, and raised again once the
// latency is well below it.
func TestBestEffortTaskIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		stop := env.throttleBestEffortTask()
		defer stop()
		sleep(20 * time.Second)
		env.withLock(func() {
			if percent := env.throttled[bestEffortTask]; percent < 50 {
				t.Errorf("best-effort task has a CPU share of %d %% after 20 s below the target, want at least 50", percent)
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

// TestLateGangWithoutAdvisorGetsItsRoom: tasks of lower rank must not take each piece of room that becomes free before a late
// gang has all of its room.
func TestLateGangWithoutAdvisorGetsItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
			{Name: "gangs", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 0.9}},
			{Name: "singles", Service: "cell", Policy: configprovider.Policy{Priority: 1, MaxFailures: 2, Stretch: 0.9}},
		}})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		// The objectives are shorter than the runs, so that all are late but not expired.
		single, gang := step(4, 1000), step(16, 1000)
		single.Estimate, gang.Estimate, gang.Gang = time.Hour, time.Hour, true
		for i := range 60 {
			submit(t, c, job(fmt.Sprintf("single-%d", i), "singles", single))
			if i == 10 {
				submit(t, c, job("gang", "gangs", gang))
			}
			sleep(150 * time.Millisecond)
		}
		env.wantGangStarted(t)
	})
}
