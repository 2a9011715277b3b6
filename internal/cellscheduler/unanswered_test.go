package cellscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
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
