package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// TestRunIsNotRepeatedAfterFailedAnswerToStart: a worker answers with status 500 to a start order that it carries out.
// Only 429 and 503 say that it has done nothing.
func TestRunIsNotRepeatedAfterFailedAnswerToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		failures := 0
		network := &faultyNetwork{WorkerClient: env, failsStarted: func(string) bool {
			failures++
			return failures == 1
		}}
		env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(network) }
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(10 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
