package cellscheduler_test

import (
	"fmt"
	"testing"
	"time"

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
			wait, quickMean := replayGangBesideQuickTasks(t, test.quick, test.gang)
			t.Logf("the gang waits %s, the quick jobs take %s on average", wait, quickMean)
			if wait > test.wait {
				t.Errorf("the gang has waited %s, want at most %s", wait, test.wait)
			}
		})
	}
}

// replayGangBesideQuickTasks returns how long the gang waits for its start, and the mean time from the
// submission of a quick job to its start.
func replayGangBesideQuickTasks(t *testing.T, quickQueue, gangQueue string) (wait, quickMean time.Duration) {
	const quickTask, quickInterval, jobs = 400 * time.Millisecond, 40 * time.Millisecond, 500
	inQuotaCell(t, 12, quotas{"a": 8000}, func(env *testEnv, a *quotaAuditor) {
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
		began := time.Now()
		for i := range jobs {
			quick := step(1, 1000)
			quick.Estimate = quickTask
			id := fmt.Sprintf("quick-%d", i)
			env.withLock(func() { submitted[id] = time.Now() })
			a.submit(id, quickQueue, "a", quick)
			if i == 50 {
				g := gang(6)
				g.Estimate = quickTask
				env.withLock(func() { submitted["gang"] = time.Now() })
				a.submit("gang", gangQueue, "a", g)
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
// end earlier and long-running ones start meanwhile, and longer ones after it.
func TestShortTasksUseReservedQuota(t *testing.T) {
	inQuotaCell(t, 12, quotas{"a": 8000}, func(env *testEnv, a *quotaAuditor) {
		durations := map[string]time.Duration{"before": 5 * time.Second, "short": 400 * time.Millisecond, "long": 9 * time.Second, "gang": time.Second, "serving": time.Hour}
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			return durations[start.Task.Job], steptracker.Done
		}
		submitFor := func(id, queue string, s steptracker.Step) {
			s.Estimate = durations[id]
			a.submit(id, queue, "a", s)
		}
		submitFor("before", "plain", step(5, 1000))
		submitFor("gang", "plain", gang(4))
		sleep(time.Second)
		submitFor("long", "high-stretch", step(2, 1000))
		submitFor("short", "high-stretch", step(2, 1000))
		sleep(time.Second)
		a.wantState("short", steptracker.Completed)
		sleep(time.Second)
		serving := step(1, 1000)
		serving.LongRunning = true
		submitFor("serving", "high-stretch", serving)
		sleep(time.Second)
		a.wantState("serving", steptracker.Running)
		a.wantState("long", steptracker.Queued)
		sleep(2500 * time.Millisecond)
		a.wantState("gang", steptracker.Completed)
		a.wantState("long", steptracker.Running)
	})
}

// TestStepsOfEqualRankKeepTheirOrder: two gangs of a job become ready at once. Room for the second must not
// be used while the first one waits, whichever the round looks at first.
func TestStepsOfEqualRankKeepTheirOrder(t *testing.T) {
	inQuotaCell(t, 12, quotas{"a": 8000}, func(env *testEnv, a *quotaAuditor) {
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 4 * time.Second, steptracker.Done
		}
		before, first, second := step(5, 1000), gang(4), gang(3)
		before.Estimate, first.Estimate, second.Estimate = 4*time.Second, 4*time.Second, 4*time.Second
		a.submit("before", "plain", "a", before)
		sleep(500 * time.Millisecond)
		a.submit("gangs", "plain", "a", first, second)
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
