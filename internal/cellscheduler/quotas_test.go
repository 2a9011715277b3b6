package cellscheduler_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// TestMain fixes the seed of the property test unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// quotaAuditor fails the test when a start brings what a team has running above its quota, which it
// computes from what runs on the workers.
type quotaAuditor struct {
	env  *testEnv
	jobs map[string]*steptracker.Job
	// limits are the processors that each team may have running; 0 means any.
	limits map[string]modeler.Processors
	// most is the largest amount that each team had running at a start.
	most   map[string]modeler.Processors
	report func(format string, values ...any)
}

func newQuotaEnv(t *testing.T, workers int, quotas map[string]modeler.Processors) (*testEnv, *quotaAuditor) {
	env := newTestEnv(t, workers)
	a := &quotaAuditor{env: env, jobs: make(map[string]*steptracker.Job), most: make(map[string]modeler.Processors), report: t.Errorf}
	a.configure(quotas)
	env.onStart = a.check
	return env, a
}

// configure applies a version of the configuration with the quotas.
func (a *quotaAuditor) configure(quotas map[string]modeler.Processors) {
	current := a.env.configuration.Current()
	next := &configprovider.Configuration{Version: current.Version + 1, Queues: current.Queues, Teams: []configprovider.Team{}}
	for name, processors := range quotas {
		next.Teams = append(next.Teams, configprovider.Team{Name: name, Quota: modeler.Resources{Processors: processors}})
	}
	a.limits = quotas
	a.env.configuration.Apply(next)
}

func (a *quotaAuditor) needs(task steptracker.TaskKey) modeler.Processors {
	return a.jobs[task.Job].Steps[task.Step].Needs.Processors
}

// running returns the processors of a team's runs on all workers.
func (a *quotaAuditor) running(team string) modeler.Processors {
	var sum modeler.Processors
	for _, worker := range a.env.workers {
		for task := range worker.running {
			if j := a.jobs[task.Job]; j != nil && j.Team == team {
				sum += a.needs(task)
			}
		}
	}
	return sum
}

func (a *quotaAuditor) check(order *workerdriver.Start) {
	team := a.jobs[order.Task.Job].Team
	sum := a.running(team) + a.needs(order.Task)
	a.most[team] = max(a.most[team], sum)
	if limit := a.limits[team]; limit > 0 && sum > limit {
		a.report("the start of %s run %d brings team %s to %d, its quota is %d", order.Task, order.Run, team, sum, limit)
	}
}

func (a *quotaAuditor) submit(c *cellscheduler.Scheduler, id, queue, team string, steps ...steptracker.Step) {
	a.env.t.Helper()
	j := job(id, queue, steps...)
	j.Team = team
	a.env.withLock(func() { a.jobs[id] = j })
	submit(a.env.t, c, j)
}

// use returns what the scheduler's metrics tell about a team.
func (a *quotaAuditor) use(team string) modeler.Processors {
	return a.env.schedulerMetrics.Teams()["cell"][team].InUse.Processors
}

func gang(tasks int) steptracker.Step {
	s := step(tasks, 1000)
	s.Gang = true
	return s
}

// quotaPlan is a load with faults.
type quotaPlan struct {
	quota modeler.Processors
	// takeOverAt and lowerAt are the numbers of jobs after which another owner takes over and the quota is
	// halved.
	takeOverAt, lowerAt int
	jobs                []quotaJob
}

type quotaJob struct {
	tasks, processors     int
	gang, advised, cancel bool
	took, pause           time.Duration
	end                   steptracker.EndReason
	fault, worker         int
}

func drawQuotaPlan(t *rapid.T) quotaPlan {
	return quotaPlan{
		quota: modeler.Processors(rapid.IntRange(4, 12).Draw(t, "quota")) * 1000, takeOverAt: rapid.IntRange(0, 40).Draw(t, "take-over"), lowerAt: rapid.IntRange(0, 40).Draw(t, "lower"),
		jobs: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quotaJob {
			return quotaJob{
				tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), processors: rapid.IntRange(1, 2).Draw(t, "processors"), gang: rapid.Bool().Draw(t, "gang"), advised: rapid.Bool().Draw(t, "advised"), cancel: rapid.IntRange(0, 5).Draw(t, "cancel") == 0,
				took: time.Duration(rapid.IntRange(10, 1500).Draw(t, "took")) * time.Millisecond, pause: time.Duration(rapid.IntRange(0, 150).Draw(t, "pause")) * time.Millisecond,
				end:   rapid.SampledFrom([]steptracker.EndReason{steptracker.Done, steptracker.Done, steptracker.Stopped, steptracker.TaskFailed}).Draw(t, "end"),
				fault: rapid.IntRange(0, 9).Draw(t, "fault"), worker: rapid.IntRange(0, 7).Draw(t, "worker"),
			}
		}), 20, 40).Draw(t, "jobs"),
	}
}

// TestQuotaIsNeverExceeded: tasks and gangs of two teams end in any way, are cancelled and are refused,
// starts lose their answers or are carried out late, workers are out of reach for a while, another owner
// takes over and the quota is lowered.
func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawQuotaPlan(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runQuotaPlan(t, plan) })
		if len(violations) > 0 {
			rt.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
		}
	})
}

func runQuotaPlan(t *testing.T, plan quotaPlan) (violations []string) {
	quotas := map[string]modeler.Processors{"a": plan.quota, "b": 0}
	env, a := newQuotaEnv(t, 8, quotas)
	a.report = func(format string, values ...any) { violations = append(violations, fmt.Sprintf(format, values...)) }
	env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
		var number int
		_, _ = fmt.Sscanf(start.Task.Job, "j%d", &number)
		j := plan.jobs[number]
		if start.Run > 1 {
			return j.took, steptracker.Done
		}
		return j.took, j.end
	}
	c, stop := env.startScheduler(1)
	defer func() { stop() }()
	sleep(100 * time.Millisecond)
	for i, j := range plan.jobs {
		if i == plan.lowerAt {
			a.lower(plan.quota/2, 500*time.Millisecond)
		}
		if i == plan.takeOverAt {
			stop()
			c, stop = env.startScheduler(2)
		}
		s := step(j.tasks, modeler.Processors(j.processors)*1000)
		s.Gang = j.gang && j.processors == 1 && j.tasks <= 2
		id, queue, team := fmt.Sprintf("j%d", i), "plain", "a"
		if j.advised {
			queue = "advised"
		}
		if i%4 == 3 {
			team = "b"
		}
		a.submit(c, id, queue, team, s)
		env.applyQuotaFault(j)
		sleep(j.pause)
		if j.cancel {
			if err := c.Cancel(t.Context(), id); err != nil {
				t.Errorf("cancel %s: %v", id, err)
			}
		}
	}
	env.withLock(func() {
		for _, worker := range env.workers {
			worker.startDelay, worker.loseStartReplies, worker.dropsStops = 0, false, false
		}
	})
	sleep(90 * time.Second)
	for i := range plan.jobs {
		if state, err := c.State(t.Context(), fmt.Sprintf("j%d", i)); err == nil && !state.Final() {
			a.report("job %d is %s", i, state)
		}
	}
	for _, team := range []string{"a", "b"} {
		if use := a.use(team); use != 0 {
			a.report("team %s has %d in use after all its jobs have ended", team, use)
		}
	}
	return violations
}

// lower lowers the quota of team a. Orders that had left before may arrive within the grace period.
func (a *quotaAuditor) lower(quota modeler.Processors, grace time.Duration) {
	a.env.withLock(func() { a.configure(map[string]modeler.Processors{"a": quota, "b": 0}) })
	a.limits = map[string]modeler.Processors{}
	time.AfterFunc(grace, func() {
		a.env.withLock(func() { a.limits = map[string]modeler.Processors{"a": quota} })
	})
}

// applyQuotaFault starts or ends a fault of one worker, or does nothing.
func (env *testEnv) applyQuotaFault(j quotaJob) {
	env.mu.Lock()
	defer env.mu.Unlock()
	worker := env.workers[fmt.Sprintf("w%d", j.worker)]
	switch j.fault {
	case 0:
		worker.loseStartReplies = !worker.loseStartReplies
	case 1:
		worker.startDelay = 200*time.Millisecond - worker.startDelay
	case 2:
		worker.unreachable = true
		time.AfterFunc(time.Second, func() { env.withLock(func() { worker.unreachable = false }) })
	case 3:
		worker.dropsStops = !worker.dropsStops
	}
}

// TestStepWiderThanItsQuotaRunsInWaves: the step ends, and with the advisor no call is made while there is
// no room.
func TestStepWiderThanItsQuotaRunsInWaves(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 3000})
				c, stop := env.startScheduler(1)
				defer stop()
				a.submit(c, "wide", queue, "a", step(12, 1000))
				sleep(900 * time.Millisecond)
				env.withLock(func() {
					if calls := len(env.adviceCalls); len(env.starts) != 3 || calls > 1 {
						t.Errorf("%d tasks have started after %d advisor calls, want 3 tasks and at most one call", len(env.starts), calls)
					}
				})
				sleep(5 * time.Second)
				wantState(t, c, "wide", steptracker.Completed)
				if dropped := env.schedulerMetrics.Map().Get("ended-" + string(steptracker.NeverStarted)); dropped != nil {
					t.Errorf("%s tasks were assigned above the quota", dropped)
				}
			})
		})
	}
}

// TestGangWiderThanTheRoomWaitsAndStartsWhole: single tasks of its team use a part of the quota.
func TestGangWiderThanTheRoomWaitsAndStartsWhole(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 5000})
				c, stop := env.startScheduler(1)
				defer stop()
				a.submit(c, "before", "plain", "a", step(2, 1000))
				sleep(200 * time.Millisecond)
				a.submit(c, "gang", queue, "a", gang(4))
				sleep(500 * time.Millisecond)
				env.withLock(func() {
					if len(env.starts) != 2 || len(env.adviceCalls) != 0 {
						t.Errorf("%d tasks have started and the advisor was called %d times, want 2 and 0", len(env.starts), len(env.adviceCalls))
					}
				})
				sleep(2 * time.Second)
				wantState(t, c, "gang", steptracker.Completed)
			})
		})
	}
}

// TestJobThatNeverFitsIsRefused: a gang, or one task, that exceeds the quota of its team.
func TestJobThatNeverFitsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 3000})
		c, stop := env.startScheduler(1)
		defer stop()
		for _, test := range []struct {
			step steptracker.Step
			want string
		}{
			{gang(4), "step 1: 4 tasks must run at the same time and each needs 1.0 processors, the quota is 3.0 processors"},
			{step(1, 3500), "step 1: one task needs 3.5 processors, the quota is 3.0 processors"},
		} {
			j := job("never", "plain", step(1, 1000), test.step)
			j.Team = "a"
			a.jobs["never"] = j
			_, err := c.Submit(t.Context(), j)
			var refused *cellscheduler.RefusedError
			if !errors.As(err, &refused) || refused.Unavailable || refused.RetryAfter < time.Minute || !strings.Contains(refused.Reason, test.want) {
				t.Errorf("submission: %v, want a refusal with %q", err, test.want)
			}
		}
		sleep(2 * time.Second)
		env.withLock(func() {
			if len(env.starts) != 0 {
				t.Errorf("%d tasks of refused jobs have started", len(env.starts))
			}
		})
	})
}

// TestAcceptedJobWaitsForItsQuota: the quota falls below the need of an accepted gang, which runs once it
// is raised again.
func TestAcceptedJobWaitsForItsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 4000})
		c, stop := env.startScheduler(1)
		defer stop()
		a.submit(c, "before", "plain", "a", step(2, 1000))
		a.submit(c, "gang", "plain", "a", gang(4))
		sleep(500 * time.Millisecond)
		a.lower(3000, 0)
		sleep(10 * time.Second)
		wantState(t, c, "before", steptracker.Completed)
		wantState(t, c, "gang", steptracker.Queued)
		a.lower(4000, 0)
		sleep(2 * time.Second)
		wantState(t, c, "gang", steptracker.Completed)
	})
}

// TestQuotaLoweredBetweenAssignmentAndOrder: the assignment waits in the store while the quota falls.
func TestQuotaLoweredBetweenAssignmentAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 6000})
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		env.commitDelay = 300 * time.Millisecond
		go a.submit(c, "single", "plain", "a", step(3, 1000))
		go a.submit(c, "gang", "plain", "a", gang(2))
		sleep(100 * time.Millisecond)
		a.lower(2000, 0)
		sleep(6 * time.Second)
		wantState(t, c, "single", steptracker.Completed)
		wantState(t, c, "gang", steptracker.Completed)
	})
}

// TestQuotaLoweredBesideTakeOver: the successor stops nothing and starts nothing above the lower quota,
// which it counts with the runs of a cancelled job that are being stopped on a worker out of reach.
func TestQuotaLoweredBesideTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 6000})
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "after" {
				return time.Second, steptracker.Done
			}
			return 4 * time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		a.submit(c, "running", "plain", "a", step(2, 1000))
		a.submit(c, "cancelled", "plain", "a", step(3, 1000))
		sleep(500 * time.Millisecond)
		env.withLock(func() {
			for _, worker := range env.workers {
				worker.dropsStops = true
			}
		})
		for range 2 {
			// The second call arrives while the first one is being written.
			go func() { _ = c.Cancel(t.Context(), "cancelled") }()
			sleep(5 * time.Millisecond)
		}
		sleep(300 * time.Millisecond)
		stop()
		a.lower(3000, 0)
		env.withLock(func() {
			for _, worker := range env.workers {
				worker.unreachable = len(worker.running) > 0
			}
		})
		c, stop = env.startScheduler(2)
		defer func() { stop() }()
		time.AfterFunc(1500*time.Millisecond, func() {
			env.withLock(func() {
				for _, worker := range env.workers {
					worker.unreachable = false
				}
			})
		})
		a.submit(c, "after", "plain", "a", step(4, 1000))
		sleep(2 * time.Second)
		env.withLock(func() {
			if running := a.running("a"); running != 5000 || len(env.starts) != 5 {
				t.Errorf("%d are running after %d starts, want the 5 runs of before", running, len(env.starts))
			}
		})
		sleep(6 * time.Second)
		wantState(t, c, "running", steptracker.Completed)
		wantState(t, c, "after", steptracker.Completed)
	})
}

// TestStartInDoubtIsCountedOnce: starts without an answer, whose orders are carried out late by workers
// that also leave stop orders unanswered, count until they are proved to be over, and once.
func TestStartInDoubtIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 2, map[string]modeler.Processors{"a": 4000})
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 3 * time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		env.withLock(func() {
			for _, worker := range env.workers {
				worker.startDelay, worker.dropsStops = 1500*time.Millisecond, true
			}
		})
		a.submit(c, "doubt", "plain", "a", step(3, 1000))
		sleep(500 * time.Millisecond)
		env.withLock(func() {
			for _, worker := range env.workers {
				worker.startDelay = 0
			}
		})
		a.submit(c, "beside", "plain", "a", step(3, 1000))
		sleep(2 * time.Second)
		env.withLock(func() {
			if a.most["a"] != 4000 || len(env.starts) != 4 {
				t.Errorf("at most %d were running after %d starts, want 4000 and 4: one task fits beside the three in doubt", a.most["a"], len(env.starts))
			}
		})
		if use := a.use("a"); use != 4000 {
			t.Errorf("%d are in use, want 4000", use)
		}
		sleep(8 * time.Second)
		wantState(t, c, "beside", steptracker.Completed)
	})
}

// TestRunsOfUnreadableRowsHoldTheirTeam: the progress of a job can't be decoded, and one of its workers is
// out of reach, so what it runs is not known at first.
func TestRunsOfUnreadableRowsHoldTheirTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 2, map[string]modeler.Processors{"a": 3000, "b": 3000})
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "unreadable" {
				return 4 * time.Second, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		a.submit(c, "unreadable", "plain", "a", step(2, 1000))
		sleep(500 * time.Millisecond)
		stop()
		env.withLock(func() {
			row := env.rows["progress/cell/unreadable"]
			row.Value = []byte("{")
			env.rows["progress/cell/unreadable"] = row
			for _, worker := range env.workers {
				worker.dropsStops = true
				if len(worker.running) > 0 {
					worker.unreachable = true
					time.AfterFunc(2*time.Second, func() { env.withLock(func() { worker.unreachable = false }) })
				}
			}
		})
		c, stop = env.startScheduler(2)
		defer stop()
		a.submit(c, "a", "plain", "a", step(3, 1000))
		a.submit(c, "b", "plain", "b", step(3, 1000))
		sleep(2500 * time.Millisecond)
		wantState(t, c, "a", steptracker.Queued)
		wantState(t, c, "b", steptracker.Completed)
		sleep(20 * time.Second)
		wantState(t, c, "a", steptracker.Completed)
	})
}

// TestStrayRunsAreCounted: a worker lists runs that are not assigned to it and leaves stop orders
// unanswered.
func TestStrayRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 2, map[string]modeler.Processors{"a": 3000})
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "chain" {
				return 6 * time.Second, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		second := step(2, 1000)
		second.After = []int{0}
		a.submit(c, "chain", "plain", "a", step(1, 1000), second)
		env.withLock(func() {
			for i := range 2 {
				key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "chain", Step: 1}, Index: i}
				env.workers["w0"].running[key] = &fakeRun{startedAt: time.Now(), number: 1}
			}
			env.workers["w0"].dropsStops = true
		})
		sleep(1200 * time.Millisecond)
		a.submit(c, "beside", "plain", "a", step(3, 1000))
		sleep(time.Second)
		wantState(t, c, "beside", steptracker.Queued)
		env.withLock(func() { env.workers["w0"].dropsStops = false })
		sleep(12 * time.Second)
		wantState(t, c, "beside", steptracker.Completed)
		wantState(t, c, "chain", steptracker.Completed)
	})
}

// TestTeamThatVanishedKeepsItsQuota: its jobs still run under the last known quota.
func TestTeamThatVanishedKeepsItsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, 6, map[string]modeler.Processors{"a": 2000})
		c, stop := env.startScheduler(1)
		defer stop()
		a.submit(c, "wide", "plain", "a", step(8, 1000))
		sleep(200 * time.Millisecond)
		a.configure(nil)
		a.limits = map[string]modeler.Processors{"a": 2000}
		sleep(8 * time.Second)
		wantState(t, c, "wide", steptracker.Completed)
	})
}

// TestWithoutTeamsNothingChanges: the same load makes the same starts on the same workers at the same time,
// whether the configuration has no teams or teams without quotas.
func TestWithoutTeamsNothingChanges(t *testing.T) {
	trace := func(team string) (starts []string) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t, 4)
			a := &quotaAuditor{env: env, jobs: make(map[string]*steptracker.Job)}
			if team != "" {
				a.configure(map[string]modeler.Processors{team: 0})
			}
			began, durations := time.Now(), make(map[string]time.Duration)
			env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
				starts = append(starts, fmt.Sprintf("%s %d %s %s", start.Task, start.Run, worker, time.Since(began)))
				return durations[start.Task.Job], steptracker.Done
			}
			c, stop := env.startScheduler(1)
			defer stop()
			sleep(50 * time.Millisecond)
			for i := range 30 {
				// No two events fall into the same moment, in which their order would be open.
				id := fmt.Sprintf("j%d", i)
				durations[id] = 700*time.Millisecond + time.Duration(i*i)*137*time.Microsecond
				a.submit(c, id, "plain", team, step(1, modeler.Processors(1+i%3)*1000))
				sleep(73 * time.Millisecond)
			}
			sleep(10 * time.Second)
		})
		slices.Sort(starts)
		return starts
	}
	without, with := trace(""), trace("a")
	if len(without) == 0 || strings.Join(without, "\n") != strings.Join(with, "\n") {
		t.Errorf("without teams:\n%s\nwith a team without a quota:\n%s", strings.Join(without, "\n"), strings.Join(with, "\n"))
	}
}
