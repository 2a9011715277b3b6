package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestRunIsNotRepeatedAfterSuspensionOfOwner: the owner is suspended for less than a lease while it handles a message.
// It handles the replies that have arrived meanwhile as if they had come before, and takes the lease for over too early.
func TestRunIsNotRepeatedAfterSuspensionOfOwner(t *testing.T) {
	for _, test := range []struct {
		name                              string
		suspension, duration, commitDelay time.Duration
	}{
		{"shorter than the wait of a sync", time.Second, 6200 * time.Millisecond, 10 * time.Millisecond},
		{"the first run goes on", 2 * time.Second, 6200 * time.Millisecond, 10 * time.Millisecond},
		{"the first run is done and acknowledged", 2 * time.Second, 5800 * time.Millisecond, 150 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 201)
				env.lease, env.maxLease, env.judgesAcks = 3*time.Second, 6*time.Second, true
				env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
					return test.duration, steptracker.Done
				}
				instance := &fakeInstance{env: env, workers: env}
				c, stop := instance.start(1)
				defer stop()
				sleep(100 * time.Millisecond)
				submit(t, c, job("j", "plain", step(80, 1000)))
				sleep(2200 * time.Millisecond)
				// The next line of the log is that of a worker which joins.
				newcomer := env.workers["w0"].info
				newcomer.Worker, newcomer.StartMillis = "w-new", 2
				env.withLock(func() {
					env.commitDelay = test.commitDelay
					env.addWorker(newcomer)
				})
				instance.suspendInNextMessage(test.suspension)
				c.UpdateWorkers([]workerdriver.Worker{newcomer}, nil, false)
				sleep(20 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
			})
		})
	}
}
