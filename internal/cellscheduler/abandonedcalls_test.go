package cellscheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestAbandonedSubmissionIsNotAnsweredTwice: a caller stops waiting for a suspended owner, which then handles the call.
// The race detector reports that both access the result.
func TestAbandonedSubmissionIsNotAnsweredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		instance := &fakeInstance{env: env, workers: env}
		c, stop := instance.start(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("j", "plain", step(1, 1000)))
		newcomer := workerdriver.Worker{Service: "cell"}
		newcomer.Worker = "w-new"
		instance.suspendInNextMessage(2 * time.Second)
		c.UpdateWorkers([]workerdriver.Worker{newcomer}, nil, false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := c.Submit(ctx, job("j", "plain", step(1, 1000))); err == nil {
			t.Error("a suspended owner has answered")
		}
		sleep(10 * time.Second)
	})
}
