package cellscheduler_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// TestOwnerDoesNotStartFromRowsOlderThanItsClaim: the first answer of the store to a new owner is older than its claim, as
// its version shows, and lacks an end that was acknowledged.
func TestOwnerDoesNotStartFromRowsOlderThanItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		c, stop := env.startScheduler(1)
		sleep(100 * time.Millisecond)
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(500 * time.Millisecond)
		env.withLock(func() { env.staleRows, env.staleVersion = maps.Clone(env.rows), env.version })
		sleep(2 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
		stop()
		env.withLock(func() { clear(env.snapshots) })
		c, stop = env.startScheduler(2)
		defer stop()
		sleep(10 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}
