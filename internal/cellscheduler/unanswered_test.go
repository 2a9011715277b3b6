package cellscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// unansweredShare is the share of orders without an answer in the incident that the tests here guard against.
const unansweredShare = 0.064

// loseOrders leaves a share of all orders unanswered, which are carried out 2 to 12 s later.
func (env *testEnv) loseOrders(seed uint64, share float64) {
	random := rand.New(rand.NewPCG(seed, 0))
	env.withLock(func() {
		env.unanswered = func(string) (time.Duration, bool) {
			return 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second))), random.Float64() < share
		}
	})
}

// TestJobsMeetTheirObjectiveWhileOrdersAreUnanswered: jobs of five tasks, one in three a gang, of which half waited for
// an answer that never came.
func TestJobsMeetTheirObjectiveWhileOrdersAreUnanswered(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 40)
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				env.loseOrders(seed, unansweredShare)
				// The objective of the queue: twice a second of work, and a second.
				const objective = 3 * time.Second
				const jobs = 60
				for i := range jobs {
					s := step(5, 1000)
					s.Gang = i%3 == 0
					submit(t, c, job(fmt.Sprintf("j%d", i), "plain", s))
					go func() {
						sleep(objective)
						wantState(t, c, fmt.Sprintf("j%d", i), steptracker.Completed)
					}()
					sleep(100 * time.Millisecond)
				}
				sleep(20 * time.Second)
			})
		})
	}
}

// TestLateStartIsNotCarriedOutByRestartedWorker: the worker has refused a start order, or carried out another copy of it,
// but its restart has erased that when the delayed order arrives.
func TestLateStartIsNotCarriedOutByRestartedWorker(t *testing.T) {
	for _, test := range []struct {
		name string
		// lostFor is for how long start orders are lost, duration how long the task runs.
		lostFor, duration, crashAt time.Duration
	}{
		{"no copy was answered", time.Second, 8 * time.Second, 2 * time.Second},
		{"the task runs elsewhere", 40 * time.Millisecond, 4 * time.Second, time.Second},
		{"the task is done", 40 * time.Millisecond, time.Second, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.keepIDs = true
				env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
					return test.duration, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				submittedAt := time.Now()
				env.withLock(func() {
					env.unanswered = func(kind string) (time.Duration, bool) {
						return 6 * time.Second, kind == "start" && time.Since(submittedAt) < test.lostFor
					}
				})
				submit(t, c, job("j", "plain", step(1, 1000)))
				sleep(test.crashAt)
				key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}
				crashed, carriedOut := false, false
				env.withLock(func() {
					for _, worker := range env.workers {
						if run := worker.running[key]; run != nil && run.number == 1 || worker.refusedRuns[key] == 1 {
							crashed = true
							worker.crash()
						}
					}
					env.onStart = func(start *workerdriver.Start) { carriedOut = carriedOut || start.Run == 1 }
				})
				sleep(30 * time.Second)
				if !crashed || carriedOut {
					t.Errorf("a worker has crashed: %v; it has carried out the late start: %v", crashed, carriedOut)
				}
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}

// TestLateStartIsNotCarriedOutAfterSecondRestart: the worker restarts twice before the delayed order arrives.
func TestLateStartIsNotCarriedOutAfterSecondRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.keepIDs = true
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submittedAt := time.Now()
		carriedOut := 0
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) {
				return 10 * time.Second, kind == "start" && time.Since(submittedAt) < 40*time.Millisecond
			}
			env.onStart = func(start *workerdriver.Start) {
				if start.Run == 1 {
					carriedOut++
				}
			}
		})
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(1500 * time.Millisecond)
		wantState(t, c, "j", steptracker.Completed)
		for range 2 {
			env.withLock(func() { env.workers["w0"].crash() })
			sleep(restartDelay + 500*time.Millisecond)
		}
		sleep(20 * time.Second)
		if carriedOut != 1 {
			t.Errorf("run 1 was started %d times, want once", carriedOut)
		}
	})
}
