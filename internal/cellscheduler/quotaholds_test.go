package cellscheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestGangIsNotStarvedByItsTeam replays a team whose quick tasks would use its whole quota all the time,
// beside a gang that needs three quarters of it. The gang ranks below the quick tasks or above them.
func TestGangIsNotStarvedByItsTeam(t *testing.T) {
	for _, test := range []struct {
		name, quick, gang string
		wait              time.Duration
	}{
		{"gang ranks below", "plain", "high-stretch", 4 * time.Second},
		{"gang ranks above", "high-stretch", "plain", time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			wait, quickMean := replayGangBesideQuickTasks(t, test.quick, test.gang, true)
			t.Logf("the gang waits %s, the quick jobs take %s on average", wait, quickMean)
			if wait > test.wait {
				t.Errorf("the gang has waited %s, want at most %s", wait, test.wait)
			}
		})
	}
}

// replayGangBesideQuickTasks returns how long the gang waits for its start, and the mean time from the
// submission of a quick job to its start.
func replayGangBesideQuickTasks(t *testing.T, quickQueue, gangQueue string, withGang bool) (wait, quickMean time.Duration) {
	const quickTask, quickInterval, jobs = 400 * time.Millisecond, 40 * time.Millisecond, 500
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 12, map[string]modeler.Processors{"a": 8000})
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return quickTask, steptracker.Done
		}
		submitted, started := make(map[string]time.Time), make(map[string]time.Time)
		env.onStart = func(order *workerdriver.Start) {
			a.check(order)
			if started[order.Task.Job].IsZero() {
				started[order.Task.Job] = time.Now()
			}
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		began := time.Now()
		for i := range jobs {
			quick := step(1, 1000)
			quick.Estimate = quickTask
			id := fmt.Sprintf("quick-%d", i)
			env.withLock(func() { submitted[id] = time.Now() })
			a.submit(c, id, quickQueue, "a", quick)
			if i == 50 && withGang {
				g := gang(6)
				g.Estimate = quickTask
				env.withLock(func() { submitted["gang"] = time.Now() })
				a.submit(c, "gang", gangQueue, "a", g)
			}
			sleep(time.Until(began.Add(time.Duration(i+1) * quickInterval)))
		}
		env.withLock(func() {
			now := time.Now()
			count := 0
			for id, at := range submitted {
				startedAt := started[id]
				if startedAt.IsZero() {
					startedAt = now
				}
				if id == "gang" {
					wait = startedAt.Sub(at)
					continue
				}
				quickMean += startedAt.Sub(at)
				count++
			}
			quickMean /= time.Duration(count)
		})
	})
	return wait, quickMean
}

// TestShortTasksUseReservedQuota: a gang waits for the runs of its team that end in five seconds. Tasks that
// end earlier start meanwhile, and longer ones after it.
func TestShortTasksUseReservedQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 12, map[string]modeler.Processors{"a": 8000})
		durations := map[string]time.Duration{"before": 5 * time.Second, "short": 400 * time.Millisecond, "long": 9 * time.Second, "gang": time.Second}
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			return durations[start.Task.Job], steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submitFor := func(id, queue string, s steptracker.Step) {
			s.Estimate = durations[id]
			a.submit(c, id, queue, "a", s)
		}
		submitFor("before", "plain", step(5, 1000))
		submitFor("gang", "plain", gang(4))
		sleep(time.Second)
		submitFor("long", "high-stretch", step(2, 1000))
		submitFor("short", "high-stretch", step(2, 1000))
		sleep(time.Second)
		wantState(t, c, "short", steptracker.Completed)
		sleep(2 * time.Second)
		wantState(t, c, "long", steptracker.Queued)
		sleep(2500 * time.Millisecond)
		wantState(t, c, "gang", steptracker.Completed)
		wantState(t, c, "long", steptracker.Running)
	})
}

// TestStepsOfEqualRankKeepTheirOrder: two gangs of a job become ready at once. Room for the second must not
// be used while the first one waits, whichever the round looks at first.
func TestStepsOfEqualRankKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 12, map[string]modeler.Processors{"a": 8000})
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 4 * time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		before, first, second := step(5, 1000), gang(4), gang(3)
		before.Estimate, first.Estimate, second.Estimate = 4*time.Second, 4*time.Second, 4*time.Second
		a.submit(c, "before", "plain", "a", before)
		sleep(500 * time.Millisecond)
		a.submit(c, "gangs", "plain", "a", first, second)
		sleep(3 * time.Second)
		env.withLock(func() {
			if len(env.starts) != 5 {
				t.Errorf("%d tasks have started, want the 5 of before", len(env.starts))
			}
		})
		sleep(2 * time.Second)
		env.withLock(func() {
			if len(env.starts) != 12 {
				t.Errorf("%d tasks have started, want all 12", len(env.starts))
			}
		})
	})
}
