package cellscheduler_test

import (
	"fmt"
	"slices"
	"strings"
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

// quotaAuditor fails the test when a start brings what a team has running above its quota, which it
// computes from what runs on the workers.
type quotaAuditor struct {
	env  *testEnv
	jobs map[string]*steptracker.Job
	// limits are the processors that each team may have running; 0 means any.
	limits quotas
	// most is the largest amount that each team had running at a start.
	most   quotas
	report func(format string, values ...any)
	// scheduler is the owner of the cell, fencingToken the number of owners so far.
	scheduler    *cellscheduler.Scheduler
	stop         func()
	fencingToken int64
}

// quotas are the processors of each team's quota.
type quotas map[string]modeler.Processors

// inQuotaCell runs a test in a cell whose teams have quotas.
func inQuotaCell(t *testing.T, workers int, q quotas, test func(env *testEnv, a *quotaAuditor)) {
	synctest.Test(t, func(t *testing.T) {
		env, a := newQuotaEnv(t, workers, q)
		a.takeOver()
		sleep(100 * time.Millisecond)
		test(env, a)
		a.stop()
	})
}

// takeOver replaces the owner of the cell.
func (a *quotaAuditor) takeOver() {
	if a.stop != nil {
		a.stop()
	}
	a.fencingToken++
	a.scheduler, a.stop = a.env.startScheduler(a.fencingToken)
}

func (a *quotaAuditor) wantState(id string, want steptracker.State) {
	a.env.t.Helper()
	wantState(a.env.t, a.scheduler, id, want)
}

// setFaults changes all workers.
func (env *testEnv) setFaults(change func(worker *fakeWorker)) {
	env.withLock(func() {
		for _, worker := range env.workers {
			change(worker)
		}
	})
}

func newQuotaEnv(t *testing.T, workers int, q quotas) (*testEnv, *quotaAuditor) {
	env := newTestEnv(t, workers)
	a := &quotaAuditor{env: env, jobs: make(map[string]*steptracker.Job), most: make(quotas), report: t.Errorf}
	a.configure(q)
	env.onStart = a.check
	return env, a
}

// configure applies a version of the configuration with the quotas.
func (a *quotaAuditor) configure(q quotas) {
	current := a.env.configuration.Current()
	next := &configprovider.Configuration{Version: current.Version + 1, Queues: current.Queues, Teams: []configprovider.Team{}}
	for name, processors := range q {
		next.Teams = append(next.Teams, configprovider.Team{Name: name, Quota: modeler.Resources{Processors: processors}})
	}
	a.limits = q
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

func (a *quotaAuditor) submit(id, queue, team string, steps ...steptracker.Step) {
	a.env.t.Helper()
	j := job(id, queue, steps...)
	j.Team = team
	a.env.withLock(func() { a.jobs[id] = j })
	submit(a.env.t, a.scheduler, j)
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

// lower lowers the quota of team a. Orders that had left before may arrive within the grace period.
func (a *quotaAuditor) lower(quota modeler.Processors, grace time.Duration) {
	a.env.withLock(func() { a.configure(quotas{"a": quota, "b": 0}) })
	a.limits = quotas{}
	time.AfterFunc(grace, func() {
		a.env.withLock(func() { a.limits = quotas{"a": quota} })
	})
}

// TestStepWiderThanItsQuotaRunsInWaves: the step ends, and with the advisor no call is made while there is
// no room.
func TestStepWiderThanItsQuotaRunsInWaves(t *testing.T) {
	for _, queue := range []string{"plain", "advised"} {
		t.Run(queue, func(t *testing.T) {
			inQuotaCell(t, 6, quotas{"a": 3000}, func(env *testEnv, a *quotaAuditor) {
				a.submit("wide", queue, "a", step(12, 1000))
				sleep(900 * time.Millisecond)
				env.withLock(func() {
					if calls := len(env.adviceCalls); len(env.starts) != 3 || calls > 1 {
						t.Errorf("%d tasks have started after %d advisor calls, want 3 tasks and at most one call", len(env.starts), calls)
					}
				})
				sleep(5 * time.Second)
				a.wantState("wide", steptracker.Completed)
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
			inQuotaCell(t, 6, quotas{"a": 5000}, func(env *testEnv, a *quotaAuditor) {
				a.submit("before", "plain", "a", step(2, 1000))
				sleep(200 * time.Millisecond)
				a.submit("gang", queue, "a", gang(4))
				sleep(500 * time.Millisecond)
				env.withLock(func() {
					if len(env.starts) != 2 || len(env.adviceCalls) != 0 {
						t.Errorf("%d tasks have started and the advisor was called %d times, want 2 and 0", len(env.starts), len(env.adviceCalls))
					}
				})
				sleep(2 * time.Second)
				a.wantState("gang", steptracker.Completed)
			})
		})
	}
}

// TestJobThatNeverFitsIsRefused: a gang, or one task, that exceeds the quota of its team.
func TestJobThatNeverFitsIsRefused(t *testing.T) {
	inQuotaCell(t, 6, quotas{"a": 3000}, func(env *testEnv, a *quotaAuditor) {
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
			_, err := a.scheduler.Submit(env.t.Context(), j)
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
	inQuotaCell(t, 6, quotas{"a": 4000}, func(env *testEnv, a *quotaAuditor) {
		a.submit("before", "plain", "a", step(2, 1000))
		a.submit("gang", "plain", "a", gang(4))
		sleep(500 * time.Millisecond)
		a.lower(3000, 0)
		sleep(10 * time.Second)
		a.wantState("before", steptracker.Completed)
		a.wantState("gang", steptracker.Queued)
		a.lower(4000, 0)
		sleep(2 * time.Second)
		a.wantState("gang", steptracker.Completed)
	})
}

// TestQuotaLoweredBetweenAssignmentAndOrder: the assignment waits in the store while the quota falls.
func TestQuotaLoweredBetweenAssignmentAndOrder(t *testing.T) {
	inQuotaCell(t, 6, quotas{"a": 6000}, func(env *testEnv, a *quotaAuditor) {
		env.commitDelay = 300 * time.Millisecond
		go a.submit("single", "plain", "a", step(3, 1000))
		go a.submit("gang", "plain", "a", gang(2))
		sleep(100 * time.Millisecond)
		a.lower(2000, 0)
		sleep(6 * time.Second)
		a.wantState("single", steptracker.Completed)
		a.wantState("gang", steptracker.Completed)
	})
}

// TestQuotaLoweredBesideTakeOver: the successor stops nothing and starts nothing above the lower quota,
// which it counts with the runs of a cancelled job that are being stopped on a worker out of reach.
func TestQuotaLoweredBesideTakeOver(t *testing.T) {
	inQuotaCell(t, 6, quotas{"a": 6000}, func(env *testEnv, a *quotaAuditor) {
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "after" {
				return time.Second, steptracker.Done
			}
			return 4 * time.Second, steptracker.Done
		}
		a.submit("running", "plain", "a", step(2, 1000))
		a.submit("cancelled", "plain", "a", step(3, 1000))
		sleep(500 * time.Millisecond)
		env.setFaults(func(worker *fakeWorker) { worker.dropsStops = true })
		for range 2 {
			// The second call arrives while the first one is being written.
			go func() { _ = a.scheduler.Cancel(env.t.Context(), "cancelled") }()
			sleep(5 * time.Millisecond)
		}
		sleep(300 * time.Millisecond)
		a.lower(3000, 0)
		env.setFaults(func(worker *fakeWorker) { worker.unreachable = len(worker.running) > 0 })
		a.takeOver()
		time.AfterFunc(1500*time.Millisecond, func() { env.setFaults(func(worker *fakeWorker) { worker.unreachable = false }) })
		a.submit("after", "plain", "a", step(4, 1000))
		sleep(2 * time.Second)
		env.withLock(func() {
			if running := a.running("a"); running != 5000 || len(env.starts) != 5 {
				t.Errorf("%d are running after %d starts, want the 5 runs of before", running, len(env.starts))
			}
		})
		sleep(6 * time.Second)
		a.wantState("running", steptracker.Completed)
		a.wantState("after", steptracker.Completed)
	})
}

// TestStartInDoubtIsCountedOnce: starts without an answer, whose orders are carried out late by workers
// that also leave stop orders unanswered, count until they are proved to be over, and once.
func TestStartInDoubtIsCountedOnce(t *testing.T) {
	inQuotaCell(t, 2, quotas{"a": 4000}, func(env *testEnv, a *quotaAuditor) {
		env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return 3 * time.Second, steptracker.Done
		}
		env.setFaults(func(worker *fakeWorker) { worker.startDelay, worker.dropsStops = 1500*time.Millisecond, true })
		a.submit("doubt", "plain", "a", step(3, 1000))
		sleep(500 * time.Millisecond)
		env.setFaults(func(worker *fakeWorker) { worker.startDelay = 0 })
		a.submit("beside", "plain", "a", step(3, 1000))
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
		a.wantState("beside", steptracker.Completed)
	})
}

// TestRunsOfUnreadableRowsHoldTheirTeam: the progress of a job can't be decoded, and one of its workers is
// out of reach, so what it runs is not known at first.
func TestRunsOfUnreadableRowsHoldTheirTeam(t *testing.T) {
	inQuotaCell(t, 2, quotas{"a": 3000, "b": 3000}, func(env *testEnv, a *quotaAuditor) {
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "unreadable" {
				return 4 * time.Second, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		a.submit("unreadable", "plain", "a", step(2, 1000))
		sleep(500 * time.Millisecond)
		env.withLock(func() {
			row := env.rows["progress/cell/unreadable"]
			row.Value = []byte("{")
			env.rows["progress/cell/unreadable"] = row
		})
		env.setFaults(func(worker *fakeWorker) { worker.dropsStops, worker.unreachable = true, len(worker.running) > 0 })
		time.AfterFunc(2*time.Second, func() { env.setFaults(func(worker *fakeWorker) { worker.unreachable = false }) })
		a.takeOver()
		a.submit("a", "plain", "a", step(3, 1000))
		a.submit("b", "plain", "b", step(3, 1000))
		sleep(2500 * time.Millisecond)
		a.wantState("a", steptracker.Queued)
		a.wantState("b", steptracker.Completed)
		sleep(20 * time.Second)
		a.wantState("a", steptracker.Completed)
	})
}

// TestStrayRunsAreCounted: a worker lists runs that are not assigned to it and leaves stop orders
// unanswered.
func TestStrayRunsAreCounted(t *testing.T) {
	inQuotaCell(t, 2, quotas{"a": 3000}, func(env *testEnv, a *quotaAuditor) {
		env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "chain" {
				return 6 * time.Second, steptracker.Done
			}
			return time.Second, steptracker.Done
		}
		second := step(2, 1000)
		second.After = []int{0}
		a.submit("chain", "plain", "a", step(1, 1000), second)
		env.withLock(func() {
			for i := range 2 {
				key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "chain", Step: 1}, Index: i}
				env.workers["w0"].running[key] = &fakeRun{startedAt: time.Now(), number: 1}
			}
			env.workers["w0"].dropsStops = true
		})
		sleep(1200 * time.Millisecond)
		a.submit("beside", "plain", "a", step(3, 1000))
		sleep(time.Second)
		a.wantState("beside", steptracker.Queued)
		env.withLock(func() { env.workers["w0"].dropsStops = false })
		sleep(12 * time.Second)
		a.wantState("beside", steptracker.Completed)
		a.wantState("chain", steptracker.Completed)
	})
}

// TestTeamThatVanishedKeepsItsQuota: its jobs still run under the last known quota.
func TestTeamThatVanishedKeepsItsQuota(t *testing.T) {
	inQuotaCell(t, 6, quotas{"a": 2000}, func(env *testEnv, a *quotaAuditor) {
		a.submit("wide", "plain", "a", step(8, 1000))
		sleep(200 * time.Millisecond)
		env.withLock(func() {
			a.configure(nil)
			a.limits = quotas{"a": 2000}
		})
		sleep(8 * time.Second)
		a.wantState("wide", steptracker.Completed)
	})
}

// TestVanishedTeamKeepsItsQuotaUnderTheNextOwner: the next owner knew no quota of a team that was removed while its jobs
// were open, and started all of their tasks at once.
func TestVanishedTeamKeepsItsQuotaUnderTheNextOwner(t *testing.T) {
	inQuotaCell(t, 6, quotas{"a": 4000}, func(env *testEnv, a *quotaAuditor) {
		a.submit("first", "plain", "a", step(2, 1000))
		a.configure(quotas{"a": 2000})
		a.submit("wide", "plain", "a", step(8, 1000))
		sleep(200 * time.Millisecond)
		env.withLock(func() {
			a.configure(nil)
			a.limits = quotas{"a": 2000}
		})
		a.takeOver()
		sleep(14 * time.Second)
		a.wantState("wide", steptracker.Completed)
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
				a.configure(quotas{team: 0})
			}
			began, durations := time.Now(), make(map[string]time.Duration)
			env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
				starts = append(starts, fmt.Sprintf("%s %d %s %s", start.Task, start.Run, worker, time.Since(began)))
				return durations[start.Task.Job], steptracker.Done
			}
			a.takeOver()
			sleep(50 * time.Millisecond)
			for i := range 30 {
				// No two events fall into the same moment, in which their order would be open.
				id := fmt.Sprintf("j%d", i)
				env.withLock(func() { durations[id] = 700*time.Millisecond + time.Duration(i*i)*137*time.Microsecond })
				a.submit(id, "plain", team, step(1, modeler.Processors(1+i%3)*1000))
				sleep(73 * time.Millisecond)
			}
			sleep(10 * time.Second)
			a.stop()
		})
		slices.Sort(starts)
		return starts
	}
	without, with := trace(""), trace("a")
	if len(without) == 0 || strings.Join(without, "\n") != strings.Join(with, "\n") {
		t.Errorf("without teams:\n%s\nwith a team without a quota:\n%s", strings.Join(without, "\n"), strings.Join(with, "\n"))
	}
}
