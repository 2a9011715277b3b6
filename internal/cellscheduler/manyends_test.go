package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestEndsBeyondTheListAreNotLostRuns: more runs of a worker have ended than it lists at a time. The others were taken
// for lost and run again.
func TestEndsBeyondTheListAreNotLostRuns(t *testing.T) {
	for _, test := range []struct {
		name string
		gang bool
		// outage is for how long the store answers nothing, from before the ends on. newOwner lets another owner
		// find the ends. startsInDoubt loses the answers to the start orders until the runs have ended.
		outage                  time.Duration
		newOwner, startsInDoubt bool
	}{
		{name: "undisturbed"},
		{name: "store silent", outage: 4 * time.Second},
		{name: "store silent for longer than a lease", outage: 3 * testLease},
		{name: "new owner", outage: 2 * time.Second, newOwner: true},
		{name: "starts in doubt", outage: 4 * time.Second, startsInDoubt: true},
		{name: "gang", outage: 4 * time.Second, gang: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				env.maxListedEnds = 2
				env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
					if start.Task.Job == "lasting" {
						return 4 * testLease, steptracker.Done
					}
					return time.Second, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer func() { stop() }()
				sleep(100 * time.Millisecond)
				env.withLock(func() { env.workers["w0"].loseStartReplies = test.startsInDoubt })
				s := step(3, 1000)
				s.Gang = test.gang
				submit(t, c, job("short", "plain", s))
				submit(t, c, job("lasting", "plain", step(1, 1000)))
				sleep(500 * time.Millisecond)
				c, stop = env.outage(c, stop, test.outage, test.newOwner)
				env.withLock(func() { env.workers["w0"].loseStartReplies = false })
				sleep(time.Second)
				wantState(t, c, "short", steptracker.Completed)
				sleep(4 * testLease)
				wantState(t, c, "lasting", steptracker.Completed)
				env.withLock(func() {
					for task, runs := range env.starts {
						if len(runs) > 1 {
							t.Errorf("task %s was started %d times", task, len(runs))
						}
					}
				})
			})
		})
	}
}

// outage makes the store answer nothing for a time, and then replaces the owner if newOwner is set.
func (env *testEnv) outage(c *cellscheduler.Scheduler, stop func(), duration time.Duration, newOwner bool) (*cellscheduler.Scheduler, func()) {
	blocked := make(chan struct{})
	env.withLock(func() { env.blocked = blocked })
	sleep(duration)
	env.withLock(func() { env.blocked = nil })
	if newOwner {
		stop()
		c, stop = env.startScheduler(2)
	}
	close(blocked)
	return c, stop
}
