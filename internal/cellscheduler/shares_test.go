package cellscheduler_test

import (
	"expvar"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// withTeams adds teams with two jobs a second each to the configuration, one without a share, and a queue with an
// objective of five seconds for jobs of one.
func withTeams(env *testEnv) {
	configuration := *env.configuration.Current()
	configuration.Version++
	configuration.Queues = append(slices.Clone(configuration.Queues), configprovider.Queue{Name: "patient", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 4, Target: time.Second}})
	configuration.Teams = []configprovider.Team{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}, {Name: "none"}}
	env.configuration.Apply(&configuration)
}

// withTeam adds a further team to those of withTeams.
func withTeam(env *testEnv, team configprovider.Team) {
	withTeams(env)
	configuration := *env.configuration.Current()
	configuration.Version++
	configuration.Teams = append(slices.Clone(configuration.Teams), team)
	env.configuration.Apply(&configuration)
}

func teamJob(team, id, queue string, steps ...steptracker.Step) *steptracker.Job {
	j := job(id, queue, steps...)
	j.Team = team
	return j
}

// submitBurst submits jobs of four tasks to a queue and returns the refusals.
func submitBurst(t *testing.T, c *cellscheduler.Scheduler, team, queue string, count int) (refusals []*cellscheduler.RefusedError) {
	t.Helper()
	for i := range count {
		var refused *cellscheduler.RefusedError
		_, err := c.Submit(t.Context(), teamJob(team, fmt.Sprintf("%s-%d", team, i), queue, step(4, 1000)))
		switch {
		case errors.As(err, &refused):
			refusals = append(refusals, refused)
		case err != nil:
			t.Fatalf("submit: %v", err)
		}
	}
	return refusals
}

// TestHotTeamDoesNotDelayOthers: a team sends twelve jobs at once, for which the workers need six seconds.
// Another team, within its share, is served as soon as running tasks end.
func TestHotTeamDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		withTeams(env)
		c, stop := env.startScheduler(1)
		defer stop()
		submitBurst(t, c, "hot", "patient", 12)
		submitBurst(t, c, "calm", "patient", 2)
		sleep(2500 * time.Millisecond)
		wantState(t, c, "calm-0", steptracker.Completed)
		wantState(t, c, "calm-1", steptracker.Completed)
	})
}

// TestHotTeamBesideKilledOwner: the owner is killed in the burst of a team. Its successor knows which jobs
// are beyond the share, and serves the other team first.
func TestHotTeamBesideKilledOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		withTeams(env)
		first, stopFirst := env.startScheduler(1)
		submitBurst(t, first, "hot", "patient", 12)
		stopFirst()
		second, stop := env.startScheduler(2)
		defer stop()
		submitBurst(t, second, "calm", "patient", 2)
		sleep(2500 * time.Millisecond)
		wantState(t, second, "calm-0", steptracker.Completed)
		wantState(t, second, "calm-1", steptracker.Completed)
	})
}

// TestNobodyIsRefusedWithRoomFree: a team without a share, and one that sends ten times its share, use what
// is free.
func TestNobodyIsRefusedWithRoomFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 40)
		withTeams(env)
		c, stop := env.startScheduler(1)
		defer stop()
		if refusals := append(submitBurst(t, c, "hot", "plain", 20), submitBurst(t, c, "none", "plain", 20)...); len(refusals) > 0 {
			t.Errorf("%d jobs are refused, the first: %v", len(refusals), refusals[0])
		}
		sleep(2 * time.Second)
		wantState(t, c, "hot-19", steptracker.Completed)
		wantState(t, c, "none-19", steptracker.Completed)
	})
}

// TestWorkHeldByQuotaIsNotAhead: a team's work that its quota holds can't use the room that is free. It is no
// cause to refuse the jobs of another team beyond its share.
func TestWorkHeldByQuotaIsNotAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		withTeam(env, configprovider.Team{Name: "held", Weight: 100, Quota: modeler.Resources{Processors: 4000}})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submitBurst(t, c, "held", "plain", 60)
		sleep(200 * time.Millisecond)
		if refusals := submitBurst(t, c, "none", "plain", 1); len(refusals) > 0 {
			t.Errorf("refused beside free room: %v", refusals[0])
		}
		sleep(1500 * time.Millisecond)
		wantState(t, c, "none-0", steptracker.Completed)
	})
}

// TestNobodyIsRefusedBeforeWorkersAreKnown: a new owner doesn't know yet what is free on the workers, and must not
// take them to be full.
func TestNobodyIsRefusedBeforeWorkersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		withTeam(env, configprovider.Team{Name: "large", Weight: 1000})
		first, stopFirst := env.startScheduler(1)
		sleep(100 * time.Millisecond)
		submitBurst(t, first, "large", "plain", 60)
		stopFirst()
		env.setFaults(func(worker *fakeWorker) { worker.unreachable = true })
		second, stop := env.startScheduler(2)
		defer stop()
		sleep(200 * time.Millisecond)
		if refusals := submitBurst(t, second, "none", "plain", 1); len(refusals) > 0 {
			t.Errorf("refused by an owner that knows no worker: %v", refusals[0])
		}
	})
}

// TestWaitingStepsOfLostCellAreNotShown: the metrics of a process are shared by all its schedulers.
func TestWaitingStepsOfLostCellAreNotShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		withTeams(env)
		c, stop := env.startScheduler(1)
		submitBurst(t, c, "hot", "patient", 8)
		sleep(500 * time.Millisecond)
		waiting := func() string {
			return env.schedulerMetrics.Map().Get("team-shares").(*expvar.Map).Get("hot").(*expvar.Map).Get("waiting").String()
		}
		if waiting() == "0" {
			t.Fatal("no step waits")
		}
		stop()
		if got := waiting(); got != "0" {
			t.Errorf("%s steps are shown as waiting after the cell was lost", got)
		}
	})
}

// TestBestEffortWorkIsNotRefused: best-effort tasks need no processors, so they don't wait for any. The task needs
// the memory of a whole worker, so it starts beside no other.
func TestBestEffortWorkIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		withTeam(env, configprovider.Team{Name: "large", Weight: 1000})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submitBurst(t, c, "large", "plain", 60)
		sleep(200 * time.Millisecond)
		filler := step(1, 1000)
		filler.BestEffort, filler.Needs.Memory = true, 4<<30
		if _, err := c.Submit(t.Context(), teamJob("none", "filler", "plain", filler)); err != nil {
			t.Errorf("best-effort job: %v", err)
		}
	})
}

// TestRefusalIsForgotten: a caller that comes back again and again with a job that was refused as beyond its
// share is within the share of its team after half a minute, when the team sends nothing else.
func TestRefusalIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		withTeams(env)
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submitBurst(t, c, "hot", "plain", 30)
		submitBurst(t, c, "calm", "plain", 60)
		retried := teamJob("hot", "hot-29", "plain", step(4, 1000))
		for range 4 {
			var refused *cellscheduler.RefusedError
			if _, err := c.Submit(t.Context(), retried); !errors.As(err, &refused) {
				t.Fatalf("got %v, want a refusal", err)
			}
			sleep(8 * time.Second)
			submitBurst(t, c, "calm", "plain", 60)
		}
		if _, err := c.Submit(t.Context(), retried); err != nil {
			t.Errorf("after half a minute: %v", err)
		}
	})
}

// TestOnlyHotTeamIsRefused: a job lasts a second on the only worker, and its result is useful for nine
// seconds. Of the thirty jobs of a team, those that can't be useful are refused with a time to come back.
func TestOnlyHotTeamIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		withTeams(env)
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		refusals := submitBurst(t, c, "hot", "plain", 30)
		if len(refusals) < 18 || len(refusals) > 25 {
			t.Errorf("%d jobs of the hot team are refused, want about 21", len(refusals))
		}
		for _, refused := range refusals {
			if refused.RetryAfter < 5*time.Second || refused.RetryAfter > 12500*time.Millisecond || refused.Unavailable {
				t.Errorf("refused with %+v, want to come back after about 9 s", refused)
			}
		}
		if refusals := submitBurst(t, c, "calm", "plain", 2); len(refusals) > 0 {
			t.Errorf("the other team is refused: %v", refusals[0])
		}
	})
}

// TestReservationBeyondShareYields: the only room is reserved for a job beyond its team's share while the
// advisor is asked about it. It is given up in time for a job within a share to meet its objective of 3 s.
func TestReservationBeyondShareYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		withTeams(env)
		env.adviceDelay = 10 * time.Second
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "before" {
				return 10 * time.Second, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		submit(t, c, teamJob("calm", "before", "plain", step(3, 1000)))
		sleep(100 * time.Millisecond)
		submit(t, c, teamJob("none", "beyond", "high-stretch", step(1, 1000)))
		sleep(100 * time.Millisecond)
		submit(t, c, teamJob("calm", "within", "plain", step(1, 1000)))
		sleep(2900 * time.Millisecond)
		wantState(t, c, "within", steptracker.Completed)
	})
}

// TestOrderWithoutTeams: where the configuration has no teams, steps start in the same order whether or not
// their jobs name a team, and none is refused. One task runs at a time.
func TestOrderWithoutTeams(t *testing.T) {
	startOrder := func(team string) (started []steptracker.StepKey) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t, 1)
			env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{{Name: "patient", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 100}}}})
			env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
				started = append(started, start.Task.StepKey)
				return time.Second, steptracker.Done
			}
			c, stop := env.startScheduler(1)
			defer stop()
			for i := range 20 {
				submit(t, c, teamJob(team, fmt.Sprintf("j-%d", i*7%20), "patient", step(1+i%3, 4000)))
			}
			sleep(time.Minute)
		})
		return started
	}
	with, without := startOrder("hot"), startOrder("")
	if len(without) != 39 || !slices.Equal(with, without) {
		t.Errorf("steps start in the order %v with a team, %v without", with, without)
	}
}
