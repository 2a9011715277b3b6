package cellscheduler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// callerTimeout is how long the callers of these tests wait for the acceptance of a job.
const callerTimeout = 3 * time.Second

// submissions counts how the submissions of a load ended.
type submissions struct {
	mu                           sync.Mutex
	accepted, refused, undecided int
	reasons                      map[string]int
	refusedIDs                   []string
	slowest                      time.Duration
}

// send submits a job as a caller who waits for callerTimeout. A refused job must be in no transaction and
// come with a time to return; one whose rows were never sent must not be left undecided.
func (s *submissions) send(t *testing.T, env *testEnv, c *cellscheduler.Scheduler, j *steptracker.Job) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	began := time.Now()
	_, err := c.Submit(ctx, j)
	took := time.Since(began)
	var sent bool
	env.withLock(func() { sent = env.sentKeys["jobs/cell/"+j.ID] || env.sentKeys["progress/cell/"+j.ID] })
	var refused *cellscheduler.RefusedError
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.accepted++
		s.slowest = max(s.slowest, took)
	case errors.As(err, &refused):
		s.refused++
		s.refusedIDs = append(s.refusedIDs, j.ID)
		s.reasons[refused.Reason]++
		if sent || refused.RetryAfter <= 0 || !refused.Unavailable {
			t.Errorf("%s: %v; rows sent: %t", j.ID, err, sent)
		}
	default:
		s.undecided++
		if !sent {
			t.Errorf("%s: undecided after %s though its rows were never sent: %v", j.ID, took, err)
		}
	}
}

// slowStoreEnv returns an environment whose store handles transactions one after the other and answers
// other calls at once.
func slowStoreEnv(t *testing.T, workers int) *testEnv {
	env := newTestEnv(t, workers)
	env.serialStore, env.commitDelay = true, 8*time.Millisecond
	env.storeSilence = func() time.Duration { return 0 }
	return env
}

// TestSlowStoreRefusesWhatItCannotWrite: for six seconds the store takes 0.67 s for a transaction, while 240
// quick jobs a second arrive. What can't be written before its caller's deadline is refused before it is sent,
// and never as if the store were silent. When the store is well again, all are accepted at once.
func TestSlowStoreRefusesWhatItCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := slowStoreEnv(t, 200)
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("before", "plain", step(1, 1000)))
		sleep(2 * time.Second)
		env.withLock(func() { env.commitDelay = 670 * time.Millisecond })
		during := submissions{reasons: make(map[string]int)}
		var group sync.WaitGroup
		for i := range 1440 {
			group.Go(func() { during.send(t, env, c, job(fmt.Sprintf("slow-%d", i), "plain", step(1, 1000))) })
			sleep(time.Second / 240)
		}
		env.withLock(func() { env.commitDelay = 8 * time.Millisecond })
		group.Wait()
		if during.reasons["the store is slow"] != during.refused || during.refused == 0 || during.undecided > 0 || during.accepted < 200 {
			t.Errorf("accepted %d, refused %v, undecided %d", during.accepted, during.reasons, during.undecided)
		}
		after := submissions{reasons: make(map[string]int)}
		for i := range 240 {
			group.Go(func() { after.send(t, env, c, job(fmt.Sprintf("after-%d", i), "plain", step(1, 1000))) })
			sleep(time.Second / 240)
		}
		group.Wait()
		if after.accepted != 240 || after.slowest > 300*time.Millisecond {
			t.Errorf("after the return of the store %d of 240 accepted, the slowest after %s", after.accepted, after.slowest)
		}
		sleep(10 * time.Second)
		env.withLock(func() {
			for task := range env.starts {
				if !env.sentKeys["jobs/cell/"+task.Job] {
					t.Errorf("job %s ran and was never written", task.Job)
				}
			}
			for _, id := range during.refusedIDs {
				if env.sentKeys["jobs/cell/"+id] || env.sentKeys["progress/cell/"+id] {
					t.Errorf("job %s was refused, and its rows were in a transaction", id)
				}
			}
		})
		t.Logf("accepted %d, refused %d, undecided %d", during.accepted, during.refused, during.undecided)
	})
}

// TestReturnTimesGrowWithOutage: callers that the silent store turns away are told to stay away for longer the
// longer the outage lasts, and not all for the same time.
func TestReturnTimesGrowWithOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		var silentSince time.Time
		env.storeSilence = func() time.Duration {
			if silentSince.IsZero() {
				return 0
			}
			return time.Since(silentSince)
		}
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("before", "plain", step(1, 1000)))
		sleep(2 * time.Second)
		blocked := make(chan struct{})
		defer close(blocked)
		env.withLock(func() { env.blocked, silentSince = blocked, time.Now() })
		go func() { _, _ = c.Submit(t.Context(), job("sent", "plain", step(1, 1000))) }()
		longest := time.Duration(0)
		for _, age := range []time.Duration{time.Second, 4 * time.Second} {
			sleep(age)
			shortest, different := time.Hour, make(map[time.Duration]bool)
			for i := range 20 {
				var refused *cellscheduler.RefusedError
				if _, err := c.Submit(t.Context(), job(fmt.Sprintf("%s-%d", age, i), "plain", step(1, 1000))); !errors.As(err, &refused) {
					t.Fatalf("outage of %s: %v", age, err)
				}
				shortest = min(shortest, refused.RetryAfter)
				different[refused.RetryAfter] = true
				longest = max(longest, refused.RetryAfter)
			}
			if len(different) < 15 || shortest < min(900*time.Millisecond, age/2) || age > 2*time.Second && shortest < 2*time.Second {
				t.Errorf("outage of %s: return after %s at least, %d different times", age, shortest, len(different))
			}
		}
		if longest > 5*time.Second {
			t.Errorf("callers are told to return after %s", longest)
		}
	})
}

// TestAssignmentOutlivesToken: the store takes longer for a transaction than a placement token is valid. The
// tokens of runs whose assignments are written are renewed, so that each task needs one assignment only.
func TestAssignmentOutlivesToken(t *testing.T) {
	for _, gang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			env := slowStoreEnv(t, 4)
			env.requireTokens = true
			c, stop := env.startScheduler(1)
			defer stop()
			submit(t, c, job("before", "plain", step(1, 1000)))
			sleep(2 * time.Second)
			env.withLock(func() { env.commitDelay = 1600 * time.Millisecond })
			tasks := step(3, 1000)
			tasks.Gang = gang
			submit(t, c, job("j", "advised", tasks))
			sleep(10 * time.Second)
			wantState(t, c, "j", steptracker.Completed)
			env.withLock(func() {
				for task, runs := range env.starts {
					if task.Job == "j" && (len(runs) != 1 || runs[0] != 1) {
						t.Errorf("gang %t: task %s was started as runs %v, want run 1 only", gang, task, runs)
					}
				}
			})
		})
	}
}

// TestGangWaitsForAllTokens: the tokens of a gang run out while its assignment is written, and the advisor no
// longer approves one of its workers. No member may be started without the others.
func TestGangWaitsForAllTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := slowStoreEnv(t, 4)
		env.requireTokens = true
		var withdrawn bool
		env.approves = func(_ steptracker.StepKey, worker string) bool { return !withdrawn || worker != "w0" }
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, job("before", "plain", step(1, 1000)))
		sleep(2 * time.Second)
		env.withLock(func() { env.commitDelay = 1600 * time.Millisecond })
		gang := step(14, 1000)
		gang.Gang = true
		submit(t, c, job("j", "advised", gang))
		sleep(time.Second)
		env.withLock(func() { withdrawn = true })
		sleep(6 * time.Second)
		env.withLock(func() {
			for task, runs := range env.starts {
				if task.Job == "j" {
					t.Errorf("task %s was started as runs %v without the member whose worker is not approved", task, runs)
				}
			}
			withdrawn = false
		})
	})
}
