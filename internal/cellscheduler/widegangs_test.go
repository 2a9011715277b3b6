package cellscheduler_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// wideGangs is a large cell with a backlog of wide gangs and no arrivals.
type wideGangs struct {
	*testEnv
	jobs map[string]*steptracker.Job
	open map[string]bool
	// idleSince is since when a job has had nothing running beside room for it on workers that the advisor approves.
	idleSince map[string]time.Time
}

const (
	wideCellWorkers = 1100
	// wideCellCapacity is the capacity of each worker.
	wideCellCapacity = modeler.Processors(64000)
	// maxIdle is how long a job may have nothing running while there is room for it and less than half of the cell is in
	// use. The rule LOST wants room twice over, but doesn't say whether workers on which the job may not run count.
	maxIdle = 3 * time.Second
)

// startWideGangs starts a cell and submits gangs of 30 to 200 tasks. The advisor takes up to a second for an answer and
// approves each step on a quarter of the workers. One run of a hundred fails.
func startWideGangs(t *testing.T, random *rand.Rand, gangs int) (*wideGangs, *cellscheduler.Scheduler, func()) {
	env := newTestEnv(t, 0)
	g := &wideGangs{testEnv: env, jobs: make(map[string]*steptracker.Job), open: make(map[string]bool), idleSince: make(map[string]time.Time)}
	for i := range wideCellWorkers {
		env.addWorker(workerdriver.Worker{
			Incarnation: steptracker.Incarnation{Worker: fmt.Sprintf("w%04d", i), StartMillis: 1}, Service: "cell", Rack: fmt.Sprintf("r%d", i/8),
			Capacity: modeler.Resources{Processors: wideCellCapacity, Memory: 128 << 30},
		})
	}
	advisor := configprovider.AdvisorSettings{BaseLatency: 380 * time.Millisecond, LatencyPerWorker: 5500 * time.Microsecond, TokenLifetime: 1500 * time.Millisecond}
	env.clock, env.maxRunsPerWorker = busyClock{clockwork.NewRealClock()}, int(wideCellCapacity/minWideTask)
	env.adviceDelay, env.advicePerWorker, env.advisorInstances = advisor.BaseLatency, advisor.LatencyPerWorker, nil
	for i := range 147 {
		env.advisorInstances = append(env.advisorInstances, fmt.Sprint(i))
	}
	env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
		{Name: "wide", Service: "cell", Policy: configprovider.Policy{MaxFailures: 3, Stretch: 2.2, Target: 1200 * time.Millisecond, Advisor: &advisor}},
	}})
	env.approves = func(step steptracker.StepKey, worker string) bool {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(step.Job + worker))
		return hash.Sum32()%4 == 0
	}
	env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
		if random.IntN(100) == 0 {
			return time.Second, steptracker.TaskFailed
		}
		return g.jobs[start.Task.Job].Steps[0].Estimate, steptracker.Done
	}
	c, stop := env.startScheduler(1)
	sleep(3 * time.Second)
	for i := range gangs {
		gang := step(30+random.IntN(80), minWideTask+modeler.Processors(random.IntN(12000)))
		if random.IntN(10) == 0 {
			gang.Tasks = 110 + random.IntN(90)
		}
		gang.Gang, gang.Estimate = true, time.Duration(2500+random.IntN(3000))*time.Millisecond
		id := fmt.Sprintf("gang-%03d", i)
		g.jobs[id], g.open[id] = job(id, "wide", gang), true
		submit(t, c, g.jobs[id])
	}
	return g, c, stop
}

// minWideTask is the smallest reservation of a task of a wide gang.
const minWideTask = modeler.Processors(11000)

// observe updates which jobs are open and how long they have been idle. It returns how much of the cell's capacity is in
// use.
func (g *wideGangs) observe(c *cellscheduler.Scheduler) float64 {
	g.t.Helper()
	for id := range g.open {
		if state, err := c.State(g.t.Context(), id); err != nil || state.Final() {
			delete(g.open, id)
			delete(g.idleSince, id)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	free := make(map[string]modeler.Processors)
	used, running := modeler.Processors(0), make(map[string]bool)
	for _, w := range g.workers {
		taken := modeler.Processors(0)
		for task := range w.running {
			taken += g.jobs[task.Job].Steps[0].Needs.Processors
			running[task.Job] = true
		}
		used += taken
		free[w.info.Worker] = wideCellCapacity - taken
	}
	total := wideCellCapacity * wideCellWorkers
	for id := range g.open {
		room := 0
		for worker, left := range free {
			if !g.approves(steptracker.StepKey{Job: id}, worker) {
				// The job may not run there.
				continue
			}
			room += cellplacer.MaxTasks(modeler.Resources{Processors: left, Memory: 128 << 30}, g.jobs[id].Steps[0].Needs, 0)
		}
		if running[id] || used >= total/2 || room < g.jobs[id].Steps[0].Tasks {
			delete(g.idleSince, id)
		} else if g.idleSince[id].IsZero() {
			g.idleSince[id] = time.Now()
		}
	}
	return float64(used) / float64(total)
}

// TestLateGangsWaitBesideAHalfFreeCell: wide gangs that are late must not wait for each other while most of the cell is
// free.
func TestLateGangsWaitBesideAHalfFreeCell(t *testing.T) {
	for seed := range max(3, *playSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, c, stop := startWideGangs(t, rand.New(rand.NewPCG(seed, 5)), 180)
				defer stop()
				began, idle, sum, samples := time.Now(), make(map[string]time.Duration), 0.0, 0
				for len(g.open) > 0 && time.Since(began) < time.Minute {
					sum += g.observe(c)
					samples++
					for id, since := range g.idleSince {
						idle[id] = max(idle[id], time.Since(since))
					}
					sleep(100 * time.Millisecond)
				}
				for id, longest := range idle {
					if longest >= maxIdle {
						t.Errorf("%s, of %d tasks, has waited %s beside room for it, with less than half of the cell in use", id, g.jobs[id].Steps[0].Tasks, longest)
					}
				}
				if len(g.open) > 0 {
					t.Errorf("%d gangs are open after %s", len(g.open), time.Since(began))
				}
				g.withLock(func() {
					t.Logf("%d gangs were done in %s with %.2f of the cell in use, %d calls for advice", len(g.jobs)-len(g.open), time.Since(began), sum/float64(samples), len(g.adviceCalls))
				})
			})
		})
	}
}

// TestGangOnMoreWorkersThanACallNames: a gang that needs more workers than the advisor accepts in one call must start.
func TestGangOnMoreWorkersThanACallNames(t *testing.T) {
	for queue, test := range map[string]struct {
		// delay is the fixed time of a call, commitDelay that of a transaction: if it is long, tokens expire before the start.
		delay, commitDelay time.Duration
	}{
		"short": {0, 10 * time.Millisecond}, "long": {400 * time.Millisecond, 10 * time.Millisecond}, "slow store": {0, 1600 * time.Millisecond},
	} {
		delay := test.delay
		t.Run(queue, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 120)
				env.adviceDelay, env.commitDelay = delay, test.commitDelay
				env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
					{Name: queue, Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 2, Target: time.Second, Advisor: &configprovider.AdvisorSettings{
						BaseLatency: delay + 5*time.Millisecond, LatencyPerWorker: 100 * time.Microsecond, TokenLifetime: 1500 * time.Millisecond,
					}}},
				}})
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(time.Second)
				gang := step(105, 1000)
				gang.Gang, gang.MaxPerWorker = true, 1
				submit(t, c, job("gang", queue, gang))
				sleep(20 * time.Second)
				env.wantGangStarted(t)
				wantState(t, c, "gang", steptracker.Completed)
			})
		})
	}
}

// TestGangOnManyWorkersWithFewInstances: tokens for more workers than the idle instances can name at once must be renewed by
// several calls, one after the other.
func TestGangOnManyWorkersWithFewInstances(t *testing.T) {
	for _, instances := range []int{3, 4, 8} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 120)
				env.configureWideQueue()
				env.advisorInstances = nil
				for i := range instances {
					env.advisorInstances = append(env.advisorInstances, fmt.Sprint(i))
				}
				env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
					return 10 * time.Second, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(3 * time.Second)
				filler := step(119, 2000)
				filler.MaxPerWorker, filler.Estimate = 1, 10*time.Second
				submit(t, c, job("filler", "plain", filler))
				sleep(time.Second)
				gang := step(120, 4000)
				gang.Gang, gang.MaxPerWorker = true, 1
				submit(t, c, job("gang", "wide", gang))
				sleep(time.Minute)
				env.wantGangStarted(t)
			})
		})
	}
}
