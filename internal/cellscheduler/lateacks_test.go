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

// TestLateAcknowledgementDoesNotReachRestartedWorker: a sync that was not answered is carried out after its worker has
// restarted. It acknowledged ends of the new incarnation that no list had named, and their tasks ran again.
func TestLateAcknowledgementDoesNotReachRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		env.keepIDs = true
		const late = 8 * time.Second
		var arrivesAt time.Time
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "first" {
				return time.Second, steptracker.Done
			}
			// Both end just before the late sync arrives, while the owner waits for the store.
			return time.Until(arrivesAt) - time.Duration(300-100*start.Task.Index)*time.Millisecond, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("first", "plain", step(4, 1000)))
		sleep(2 * time.Second)
		wantState(t, c, "first", steptracker.Completed)
		env.withLock(func() {
			env.unanswered = func(kind string) (time.Duration, bool) {
				if kind != "sync" || !arrivesAt.IsZero() {
					return 0, false
				}
				arrivesAt = time.Now().Add(late)
				return late, true
			}
		})
		sleep(2 * time.Second)
		env.withLock(func() { env.workers["w0"].crash() })
		sleep(restartDelay + 500*time.Millisecond)
		submit(t, c, job("second", "plain", step(2, 1000)))
		sleep(time.Until(arrivesAt) - 350*time.Millisecond)
		env.outage(c, stop, 700*time.Millisecond, false)
		sleep(3 * time.Second)
		wantState(t, c, "second", steptracker.Completed)
	})
}

// TestNoTaskRunsTwiceBesideRestartsAndLateOrders: workers restart under their IDs while a share of all orders is not
// answered and carried out 2 to 12 s later, by the incarnation that is there then.
func TestNoTaskRunsTwiceBesideRestartsAndLateOrders(t *testing.T) {
	playRestarts(t, func(*testEnv) {})
}

// TestNoTaskRunsTwiceBesideRestartsAndLateSyncsAndStops: as before, but starts that are not answered are lost for good.
func TestNoTaskRunsTwiceBesideRestartsAndLateSyncsAndStops(t *testing.T) {
	playRestarts(t, func(env *testEnv) {
		lose := env.unanswered
		env.unanswered = func(kind string) (time.Duration, bool) {
			after, lost := lose(kind)
			if kind == "start" {
				after = time.Hour
			}
			return after, lost
		}
	})
}

// playRestarts plays restarts beside unanswered orders, which change may alter.
func playRestarts(t *testing.T, change func(env *testEnv)) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 3))
				env := newTestEnv(t, 4)
				env.keepIDs, env.restartDelay = true, time.Duration(200+random.IntN(2500))*time.Millisecond
				env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
					return time.Duration(300+150*(len(start.Task.Job)+start.Task.Index)) * time.Millisecond, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				env.loseOrders(seed, unansweredShare)
				env.withLock(func() { change(env) })
				for i := range 300 {
					s := step(1+random.IntN(4), 1000)
					s.Gang = random.IntN(3) == 0
					// Whether the job is accepted does not matter.
					go func() { _, _ = c.Submit(t.Context(), job(fmt.Sprintf("j%d", i), "plain", s)) }()
					sleep(time.Duration(random.IntN(200)) * time.Millisecond)
					if random.IntN(30) == 0 {
						env.withLock(func() {
							if worker := env.workers[fmt.Sprintf("w%d", random.IntN(4))]; !worker.crashed {
								worker.crash()
							}
						})
					}
				}
				sleep(40 * time.Second)
			})
		})
	}
}
