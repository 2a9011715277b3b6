package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestLateAcknowledgementDoesNotReachRelistedWorker: the owner forgets a worker that has left the list and uses the same
// token for the next incarnation under its ID. A late sync then acknowledges ends that no list has named.
func TestLateAcknowledgementDoesNotReachRelistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.keepIDs, env.restartDelay = true, 6500*time.Millisecond
		const late = 11 * time.Second
		var arrivesAt time.Time
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "first" || start.Run > 1 {
				return time.Second, steptracker.Done
			}
			// Both end just before the late sync arrives, while the owner waits for the store.
			return time.Until(arrivesAt) - time.Duration(300-100*start.Task.Index)*time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("first", "plain", step(8, 1000)))
		sleep(2 * time.Second)
		wantState(t, c, "first", steptracker.Completed)
		// w1 has no part in the rest until the end.
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) {
				if kind != "sync" {
					return 0, false
				}
				if arrivesAt.IsZero() {
					arrivesAt = time.Now().Add(late)
				}
				return time.Until(arrivesAt), time.Until(arrivesAt) > late-100*time.Millisecond
			}
		})
		sleep(1500 * time.Millisecond)
		env.withLock(func() {
			env.workers["w0"].crash()
		})
		sleep(3 * time.Second)
		c.UpdateWorkers(nil, []string{"w0"}, false)
		sleep(3700 * time.Millisecond)
		submit(t, c, job("second", "plain", step(8, 1000)))
		sleep(time.Until(arrivesAt) - 350*time.Millisecond)
		env.outage(c, stop, 700*time.Millisecond, false)
		sleep(4 * time.Second)
		wantState(t, c, "second", steptracker.Completed)
	})
}

// TestLateStartIsNotCarriedOutByRelistedWorker: with a worker that has left the list, the owner forgets which of its
// start orders may still be carried out, and the next incarnation under the ID obeys their token.
func TestLateStartIsNotCarriedOutByRelistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		c, key, stop := env.completeBesideLateStart()
		defer stop()
		left := ""
		env.withLock(func() {
			for id, worker := range env.workers {
				if worker.refusedRuns[key] == 1 {
					left = id
					worker.crash()
				}
			}
		})
		if left == "" {
			t.Fatal("no worker has refused the first run")
		}
		sleep(3 * time.Second)
		c.UpdateWorkers(nil, []string{left}, false)
		sleep(10 * time.Second)
	})
}

// completeBesideLateStart starts a scheduler and completes a job of one task, whose first start order gets no answer and is
// carried out 11 s later, beside the run that completed it. It returns the task's key.
func (env *testEnv) completeBesideLateStart() (c *cellscheduler.Scheduler, key steptracker.TaskKey, stop func()) {
	env.t.Helper()
	env.keepIDs, env.restartDelay = true, 7*time.Second
	c, stop = env.startScheduler(1)
	sleep(100 * time.Millisecond)
	submittedAt := time.Now()
	env.withLock(func() {
		env.unanswered = func(kind string) (time.Duration, bool) {
			return 11 * time.Second, kind == "start" && time.Since(submittedAt) < 40*time.Millisecond
		}
	})
	submit(env.t, c, job("j", "plain", step(1, 1000)))
	sleep(2500 * time.Millisecond)
	wantState(env.t, c, "j", steptracker.Completed)
	return c, steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}, stop
}
