package cellscheduler_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLateStartIsNotCarriedOutByWorkerThatWasReplaced: another worker answers at the address of one that has left the list.
// Its entry is removed at once, with the start orders that may still be carried out, and the worker comes back under its ID.
func TestLateStartIsNotCarriedOutByWorkerThatWasReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		c, key, stop := env.completeBesideLateStart()
		defer stop()
		left := ""
		env.withLock(func() {
			env.syncDelay = 300 * time.Millisecond
			for id, worker := range env.workers {
				if worker.refusedRuns[key] == 1 {
					left = id
					worker.crash()
					worker.replaced = true
				}
			}
		})
		if left == "" {
			t.Fatal("no worker has refused the first run")
		}
		sleep(200 * time.Millisecond)
		c.UpdateWorkers(nil, []string{left}, false)
		sleep(13 * time.Second)
	})
}
