package cellscheduler_test

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// interferenceEnv has workers on which tasks of image "slowed" take twice as long if one of image "noisy"
// runs there when they start.
type interferenceEnv struct {
	*testEnv
	random *rand.Rand
	jobs   int
	// slowed counts the tasks of image "slowed", beside those that a noisy one was beside.
	slowed, beside int
	// took is the sum of the run times of the tasks of image "slowed".
	took time.Duration
	// interferes is set while noisy tasks slow down others.
	interferes bool
}

func newInterferenceEnv(t *testing.T, workers int) *interferenceEnv {
	env := &interferenceEnv{testEnv: newTestEnv(t, workers), random: rand.New(rand.NewPCG(1, 2)), interferes: true}
	env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
		took := time.Duration(float64(600*time.Millisecond) * (0.85 + 0.3*env.random.Float64()))
		if strings.HasPrefix(start.Task.Job, "slowed") {
			env.slowed++
			for other := range env.workers[worker].running {
				if strings.HasPrefix(other.Job, "noisy") {
					env.beside++
					if env.interferes {
						took *= 2
					}
					break
				}
			}
			env.took += took
		}
		return took, steptracker.Done
	}
	env.configuration.Apply(&configprovider.Configuration{Version: 2, Queues: []configprovider.Queue{
		{Name: "plain", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 2, Target: time.Second}},
	}})
	return env
}

func (env *interferenceEnv) submit(t *testing.T, c *cellscheduler.Scheduler, image string, tasks int) string {
	t.Helper()
	s := step(tasks, 1000)
	s.Image = image
	env.jobs++
	id := fmt.Sprintf("%s-%d", image, env.jobs)
	submit(t, c, job(id, "plain", s))
	return id
}

// load submits jobs of three images for a while, and returns the share of slowed tasks that started beside a
// noisy one.
func (env *interferenceEnv) load(t *testing.T, c *cellscheduler.Scheduler, length time.Duration) float64 {
	t.Helper()
	env.withLock(func() { env.slowed, env.beside, env.took = 0, 0, 0 })
	for until := time.Now().Add(length); time.Now().Before(until); sleep(70 * time.Millisecond) {
		env.submit(t, c, []string{"slowed", "noisy", "quiet"}[env.jobs%3], 1+env.jobs%5)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	return float64(env.beside) / float64(env.slowed)
}

// meanTime returns the mean run time of the slowed tasks of the latest load.
func (env *interferenceEnv) meanTime() time.Duration {
	return (env.took / time.Duration(env.slowed)).Round(time.Millisecond)
}

func (env *interferenceEnv) metric(name string) int64 {
	if value, found := env.schedulerMetrics.Map().Get(name).(*expvar.Int); found {
		return value.Value()
	}
	return 0
}

// TestCausesOfSlowRunsAreKeptApart: a slow worker and a failing one are not taken for a slow neighbour.
func TestCausesOfSlowRunsAreKeptApart(t *testing.T) {
	for name, outcome := range map[string]func(took time.Duration) (time.Duration, steptracker.EndReason){
		"slow worker": func(took time.Duration) (time.Duration, steptracker.EndReason) { return 3 * took, steptracker.Done },
		"failing worker": func(time.Duration) (time.Duration, steptracker.EndReason) {
			return 50 * time.Millisecond, steptracker.TaskFailed
		},
		"sound worker": func(took time.Duration) (time.Duration, steptracker.EndReason) { return took, steptracker.Done },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newInterferenceEnv(t, 12)
				env.interferes = false
				usual := env.outcome
				env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
					took, reason := usual(start, worker)
					if worker == "w1" || worker == "w2" {
						return outcome(took)
					}
					return took, reason
				}
				c, stop := env.startScheduler(1)
				defer stop()
				env.load(t, c, 40*time.Second)
				if env.metric("interference-pairs") != 0 {
					t.Errorf("%d pairs are known, want none", env.metric("interference-pairs"))
				}
			})
		})
	}
}

// TestInterferingTasksAreKeptApart: the pair is found, its tasks are placed on different workers, and without
// other room they are placed beside each other at once.
func TestInterferingTasksAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newInterferenceEnv(t, 12)
		c, stop := env.startScheduler(1)
		defer stop()
		before, meanBefore := env.load(t, c, 4*time.Second), env.meanTime()
		shared := env.beside
		for range 60 {
			if env.metric("interference-pairs") > 0 {
				break
			}
			env.load(t, c, 2*time.Second)
			shared += env.beside
		}
		if env.metric("interference-pairs") != 1 {
			t.Fatalf("%d pairs are known after %d shared runs, want 1", env.metric("interference-pairs"), shared)
		}
		sleep(5 * time.Second)
		after := env.load(t, c, 15*time.Second)
		t.Logf("found after %d shared runs; beside a noisy task: %.3f of the tasks before, %.3f after; mean run time %s before, %s after; avoided %d, unavoided %d",
			shared, before, after, meanBefore, env.meanTime(), env.metric("interference-avoided"), env.metric("interference-unavoided"))
		if after > 0.02 || before < 0.15 {
			t.Errorf("%.3f of the tasks started beside a noisy one after the pair was found, %.3f before", after, before)
		}
		sleep(5 * time.Second)

		// A noisy task on each worker leaves no other room.
		s := step(12, 1000)
		s.Image, s.MaxPerWorker = "noisy", 1
		submit(t, c, job("noisy-everywhere", "plain", s))
		sleep(100 * time.Millisecond)
		id := env.submit(t, c, "slowed", 30)
		sleep(200 * time.Millisecond)
		env.withLock(func() {
			for index := range 30 {
				if key := (steptracker.TaskKey{StepKey: steptracker.StepKey{Job: id}, Index: index}); len(env.starts[key]) == 0 {
					t.Errorf("task %s has not started beside noisy tasks, though there is no other room", key)
				}
			}
		})
	})
}

// TestServingTasksAreKeptFromBestEffortTasks: best-effort tasks that raise the tail latency of serving tasks
// are placed on workers without these, although they are throttled.
func TestServingTasksAreKeptFromBestEffortTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newInterferenceEnv(t, 12)
		beside, started := 0, 0
		env.outcome = func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason) {
			if start.Task.Job == "web" {
				return time.Hour, steptracker.Done
			}
			started++
			for other := range env.workers[worker].running {
				if other.Job == "web" {
					beside++
				}
			}
			return 3 * time.Second, steptracker.Done
		}
		c, stop := env.startScheduler(1)
		defer stop()
		web := step(6, 1000)
		web.Image, web.LongRunning, web.TailTarget, web.MaxPerWorker = "web", true, 100*time.Millisecond, 1
		submit(t, c, job("web", "plain", web))
		load := func(length time.Duration) {
			env.withLock(func() { beside, started = 0, 0 })
			for until := time.Now().Add(length); time.Now().Before(until); sleep(100 * time.Millisecond) {
				env.withLock(env.updateTails)
				if env.jobs++; env.jobs%15 == 0 {
					batch := step(1+env.jobs%2, 1000)
					batch.Image, batch.BestEffort, batch.Needs.Memory = "batch", true, 3<<30
					submit(t, c, job(fmt.Sprint("batch-", env.jobs), "plain", batch))
				}
			}
		}
		load(20 * time.Second)
		besideBefore, startedBefore := beside, started
		for range 60 {
			if env.metric("interference-pairs") > 0 {
				break
			}
			load(5 * time.Second)
		}
		load(2 * time.Second)
		load(30 * time.Second)
		t.Logf("beside a serving task: %d of %d best-effort tasks before, %d of %d after; pairs %d", besideBefore, startedBefore, beside, started, env.metric("interference-pairs"))
		if env.metric("interference-pairs") != 1 || beside > 0 || besideBefore == 0 {
			t.Errorf("%d pairs are known; %d best-effort tasks started beside a serving task, %d before", env.metric("interference-pairs"), beside, besideBefore)
		}
	})
}

// updateTails sets the tail latencies of the tasks of job "web". Best-effort tasks raise them by the share of
// processor time that they may use. The caller holds the mutex.
func (env *interferenceEnv) updateTails() {
	for i := range len(env.workers) {
		worker := env.workers[fmt.Sprint("w", i)]
		share := 0
		for task := range worker.running {
			if percent, throttled := env.throttled[task]; task.Job != "web" && throttled {
				share = max(share, percent)
			} else if task.Job != "web" {
				share = 100
			}
		}
		for task := range worker.running {
			if task.Job == "web" {
				env.metrics[task] = 50 + env.random.IntN(20) + share*9/10
			}
		}
	}
}
