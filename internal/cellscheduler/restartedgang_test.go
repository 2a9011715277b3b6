package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestGangStartsAgainOnRestartedWorkers: a gang runs on all workers, which restart under their IDs. It must start again.
func TestGangStartsAgainOnRestartedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 8)
		env.configureWideQueue()
		env.keepIDs, env.restartDelay = true, 500*time.Millisecond
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(time.Second)
		gang := step(8, 4000)
		gang.Gang, gang.Estimate = true, time.Hour
		submit(t, c, job("gang", "wide", gang))
		sleep(4 * time.Second)
		env.wantGangStarted(t)
		env.withLock(func() {
			for _, w := range env.workers {
				w.crash()
			}
		})
		sleep(60 * time.Second)
		env.withLock(func() {
			if runs := len(env.starts[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "gang"}}]); runs < 2 {
				t.Errorf("the gang has not started again in 60 s; the advisor was called %d times", len(env.adviceCalls))
			}
		})
	})
}

// TestGangThatWaitsStartsOnRestartedWorkers: the advisor has approved all workers of a gang that lacks room for one task. They
// restart under their IDs, which ends all other runs. The gang must start on the new incarnations.
func TestGangThatWaitsStartsOnRestartedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 8)
		env.configureWideQueue()
		env.keepIDs, env.restartDelay = true, 500*time.Millisecond
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Hour, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(time.Second)
		filler := step(1, 2000)
		filler.Estimate = time.Hour
		submit(t, c, job("filler", "plain", filler))
		sleep(time.Second)
		gang := step(8, 4000)
		gang.Gang, gang.Estimate = true, time.Hour
		submit(t, c, job("gang", "wide", gang))
		sleep(4 * time.Second)
		env.withLock(func() {
			if len(env.starts) != 1 || len(env.adviceCalls) == 0 {
				t.Fatalf("%d tasks have started after %d calls to the advisor, want only the filler and some calls", len(env.starts), len(env.adviceCalls))
			}
			for _, w := range env.workers {
				w.crash()
			}
		})
		if err := c.Cancel(t.Context(), "filler"); err != nil {
			t.Fatal(err)
		}
		sleep(60 * time.Second)
		env.wantGangStarted(t)
	})
}

// configureWideQueue adds the queue "wide", whose advisor takes half a second and more for an answer.
func (env *testEnv) configureWideQueue() {
	advisor := configprovider.AdvisorSettings{BaseLatency: 380 * time.Millisecond, LatencyPerWorker: 5500 * time.Microsecond, TokenLifetime: 1500 * time.Millisecond}
	env.adviceDelay, env.advicePerWorker = advisor.BaseLatency, advisor.LatencyPerWorker
	env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
		{Name: "plain", Service: "cell", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 2, Target: time.Second}},
		{Name: "wide", Service: "cell", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 1.1, Advisor: &advisor}},
	}})
}
