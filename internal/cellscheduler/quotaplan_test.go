package cellscheduler_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

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
// starts lose their answers or are carried out late, workers are out of reach for a while or crash, another
// owner takes over and the quota is lowered.
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
	env, a := newQuotaEnv(t, 8, quotas{"a": plan.quota, "b": 0})
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
	a.takeOver()
	defer func() { a.stop() }()
	sleep(100 * time.Millisecond)
	for i, j := range plan.jobs {
		if i == plan.lowerAt {
			a.lower(plan.quota/2, 500*time.Millisecond)
		}
		if i == plan.takeOverAt {
			a.takeOver()
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
		a.submit(id, queue, team, s)
		env.applyQuotaFault(j)
		sleep(j.pause)
		if j.cancel {
			if err := a.scheduler.Cancel(t.Context(), id); err != nil {
				t.Errorf("cancel %s: %v", id, err)
			}
		}
	}
	env.setFaults(func(worker *fakeWorker) {
		worker.startDelay, worker.loseStartReplies, worker.dropsStops = 0, false, false
	})
	sleep(90 * time.Second)
	for i := range plan.jobs {
		if state, err := a.scheduler.State(t.Context(), fmt.Sprintf("j%d", i)); err == nil && !state.Final() {
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

// applyQuotaFault starts or ends a fault of one worker, or does nothing.
func (env *testEnv) applyQuotaFault(j quotaJob) {
	env.mu.Lock()
	defer env.mu.Unlock()
	worker := env.workers[fmt.Sprintf("w%d", j.worker)]
	if worker.crashed || worker.replaced || worker.unreachable {
		return
	}
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
	case 4:
		// Orders to it are refused until another worker has started at its address, and then as well.
		worker.crash()
	}
}
