package cellscheduler_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// attemptQueue returns a queue with a limit of failures.
func attemptQueue(name string, maxFailures int, advised bool) configprovider.Queue {
	queue := configprovider.Queue{Name: name, Service: "cell"}
	queue.MaxFailures, queue.Stretch, queue.Target = maxFailures, 2, time.Second
	if advised {
		queue.Advisor = &configprovider.AdvisorSettings{BaseLatency: 5 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: 1500 * time.Millisecond}
	}
	return queue
}

func (env *testEnv) putQueues(version int64, queues ...configprovider.Queue) {
	env.configuration.Apply(&configprovider.Configuration{Version: version, Queues: queues})
}

// failingUntil makes the runs of a job's last step fail before the given one.
func failingUntil(run int) func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
	return func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
		if start.Task.Step == 1 && start.Run < run {
			return 300 * time.Millisecond, steptracker.TaskFailed
		}
		return 300 * time.Millisecond, steptracker.Done
	}
}

// twoSteps returns a job whose second step begins after the first, which is due after a time.
func twoSteps(id, queue string, due time.Duration) *steptracker.Job {
	definition := job(id, queue, step(1, 1000), step(1, 1000))
	definition.Steps[1].After = []int{0}
	definition.Schedule = steptracker.Schedule{Occurrences: 1, First: time.Now().Add(due)}
	return definition
}

// wantRuns checks how often the task of the second step has started.
func (env *testEnv) wantRuns(t *testing.T, id string, want int) {
	t.Helper()
	key := steptracker.TaskKey{StepKey: steptracker.StepKey{Job: id, Step: 1}}
	env.withLock(func() {
		if got := len(env.starts[key]); got != want {
			t.Errorf("%s has started %d times, want %d", key, got, want)
		}
	})
}

// TestJobOfRemovedQueueKeepsItsAttempts: the queue of an accepted job was removed before its turn, or the owner changed
// after that. The job was then given 3 attempts, whatever the queue allowed.
func TestJobOfRemovedQueueKeepsItsAttempts(t *testing.T) {
	for _, limit := range []int{1, 2, 3, 4, 6} {
		for _, test := range []struct {
			name     string
			due      time.Duration
			newOwner bool
		}{{name: "before it is due", due: 4 * time.Second}, {name: "and the owner changes", newOwner: true}, {name: "before it is due and the owner changes", due: 4 * time.Second, newOwner: true}} {
			for _, succeeds := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d attempts, %s, last run succeeds %t", limit, test.name, succeeds), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						env := newTestEnv(t, 2)
						want, firstDone := steptracker.Completed, limit
						if !succeeds {
							want, firstDone = steptracker.Failed, limit+1
						}
						env.outcome = failingUntil(firstDone)
						env.putQueues(2, attemptQueue("removed", limit, false), attemptQueue("kept", 9, false))
						c, stop := env.startScheduler(1)
						submit(t, c, twoSteps("j", "removed", test.due))
						sleep(100 * time.Millisecond)
						env.putQueues(3, attemptQueue("kept", 9, false))
						if test.newOwner {
							sleep(100 * time.Millisecond)
							stop()
							c, stop = env.startScheduler(2)
						}
						defer func() { stop() }()
						sleep(30 * time.Second)
						wantState(t, c, "j", want)
						env.wantRuns(t, "j", limit)
					})
				})
			}
		}
	}
}

// TestJobOfRemovedQueueKeepsItsAdvisor: after a change of the owner, the tasks of a removed queue were ordered without
// placement tokens for ever. The queue may be back with another service.
func TestJobOfRemovedQueueKeepsItsAdvisor(t *testing.T) {
	moved := attemptQueue("removed", 2, false)
	moved.Service = "other"
	for name, queues := range map[string][]configprovider.Queue{"removed": {attemptQueue("kept", 2, true)}, "moved": {moved}, "back without an advisor": {attemptQueue("removed", 2, false)}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.requireTokens = true
				env.putQueues(2, attemptQueue("removed", 2, true))
				c, stop := env.startScheduler(1)
				submit(t, c, twoSteps("j", "removed", 0))
				sleep(100 * time.Millisecond)
				env.putQueues(3, queues...)
				sleep(100 * time.Millisecond)
				stop()
				c, stop = env.startScheduler(2)
				defer stop()
				sleep(8 * time.Second)
				wantState(t, c, "j", steptracker.Completed)
				if refused := env.schedulerMetrics.Map().Get("starts-refused-" + string(workerdriver.NoPlacementToken)); refused != nil && refused.String() != "1" {
					t.Errorf("%s starts were refused for want of a token", refused)
				}
			})
		})
	}
}

// TestOwnerWithoutTheQueueKeepsItsPolicy: the instance that routed a submission knows a configuration with the queue, and
// the owner an older or a newer one without it.
func TestOwnerWithoutTheQueueKeepsItsPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = failingUntil(4)
		c, stop := env.startScheduler(1)
		defer stop()
		definition := twoSteps("j", "unknown here", 0)
		queue := attemptQueue("unknown here", 4, false)
		definition.Policy = (&configprovider.Configuration{}).JobPolicy(&queue, "")
		submit(t, c, definition)
		var refused *cellscheduler.RefusedError
		if _, err := c.Submit(t.Context(), twoSteps("k", "unknown here", 0)); !errors.As(err, &refused) || !refused.Unavailable {
			t.Errorf("submission without a policy to a queue that is not known: %v, want a refusal", err)
		}
		sleep(10 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
	})
}

// dropPolicies makes the stored jobs those of a version that stored no policies.
func (env *testEnv) dropPolicies() {
	env.t.Helper()
	env.withLock(func() {
		for key, row := range env.rows {
			if !strings.HasPrefix(key, "jobs/") {
				continue
			}
			var fields map[string]json.RawMessage
			if err := json.Unmarshal(row.Value, &fields); err != nil {
				env.t.Fatal(err)
			}
			delete(fields, "policy")
			text, err := json.Marshal(fields)
			if err != nil {
				env.t.Fatal(err)
			}
			row.Value = text
			env.rows[key] = row
		}
	})
}

// TestJobStoredWithoutPolicyWaitsForItsLimit: a version that stored no policies has accepted the job, and its queue was
// removed. The job neither fails nor runs over its limit while that is not known, and goes on once it is.
func TestJobStoredWithoutPolicyWaitsForItsLimit(t *testing.T) {
	for _, limit := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.requireTokens = true
				env.outcome = failingUntil(limit + 1)
				env.putQueues(2, attemptQueue("removed", limit, true))
				c, stop := env.startScheduler(1)
				submit(t, c, twoSteps("j", "removed", time.Second))
				stop()
				env.dropPolicies()
				env.putQueues(3, attemptQueue("kept", 2, false))
				c, stop = env.startScheduler(2)
				defer func() { stop() }()
				sleep(15 * time.Second)
				wantState(t, c, "j", steptracker.Running)
				env.wantRuns(t, "j", 1)
				env.putQueues(4, attemptQueue("removed", limit, true))
				sleep(time.Second)
				// The limit is stored by now.
				env.putQueues(5, attemptQueue("kept", 2, false))
				stop()
				c, stop = env.startScheduler(3)
				sleep(15 * time.Second)
				wantState(t, c, "j", steptracker.Failed)
				env.wantRuns(t, "j", limit)
			})
		})
	}
}

// TestJobStoredWithoutPolicyAdoptsItFromTheConfiguration: the owner after an upgrade still knows the queue, the next one
// does not.
func TestJobStoredWithoutPolicyAdoptsItFromTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.outcome = failingUntil(4)
		env.putQueues(2, attemptQueue("removed", 4, false))
		c, stop := env.startScheduler(1)
		submit(t, c, twoSteps("j", "removed", 3*time.Second))
		// The end of this job is written together with its adopted policy.
		env.withLock(func() { env.commitDelay = 400 * time.Millisecond })
		submit(t, c, job("ending", "removed", step(1, 1000)))
		sleep(700 * time.Millisecond)
		stop()
		env.dropPolicies()
		_, stop = env.startScheduler(2)
		sleep(1500 * time.Millisecond)
		env.putQueues(3, attemptQueue("kept", 2, false))
		stop()
		c, stop = env.startScheduler(3)
		defer func() { stop() }()
		sleep(15 * time.Second)
		wantState(t, c, "j", steptracker.Completed)
		wantState(t, c, "ending", steptracker.Completed)
		env.wantRuns(t, "j", 4)
	})
}

// queuePlay is a random test in which queues with open jobs are removed and come back while owners change.
type queuePlay struct {
	env     *testEnv
	random  *rand.Rand
	advised bool
	version int64
	// queues are the queues of the configuration by name.
	queues map[string]configprovider.Queue
	// limits are the limits of failures by which jobs were accepted, failures how often their tasks fail before one
	// run succeeds, failed how often they have failed.
	limits   map[string]int
	failures map[steptracker.TaskKey]int
	failed   map[steptracker.TaskKey]int
	want     map[string]steptracker.State
}

func newQueuePlay(t *testing.T, seed uint64) *queuePlay {
	p := &queuePlay{
		env: newTestEnv(t, 6), random: rand.New(rand.NewPCG(seed, 53)), version: 2, queues: make(map[string]configprovider.Queue), limits: make(map[string]int),
		failures: make(map[steptracker.TaskKey]int), failed: make(map[steptracker.TaskKey]int), want: make(map[string]steptracker.State),
	}
	p.advised = seed%2 == 1
	p.env.requireTokens, p.env.stateRetention = p.advised, time.Hour
	p.env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
		if p.failed[start.Task] >= p.limits[start.Task.Job] {
			t.Errorf("%s run %d starts after %d runs have failed, which is its limit", start.Task, start.Run, p.failed[start.Task])
		}
		took := time.Duration(200+100*start.Task.Index) * time.Millisecond
		if p.failed[start.Task] < p.failures[start.Task] {
			p.failed[start.Task]++
			return took, steptracker.TaskFailed
		}
		return took, steptracker.Done
	}
	p.changeQueues()
	return p
}

// changeQueues removes some queues, and others are added, come back or change.
func (p *queuePlay) changeQueues() {
	var queues []configprovider.Queue
	for i := range 4 {
		name := fmt.Sprint("q", i)
		switch p.random.IntN(3) {
		case 0:
			delete(p.queues, name)
		case 1:
			p.queues[name] = attemptQueue(name, 1+p.random.IntN(6), p.advised)
		}
		if queue, found := p.queues[name]; found {
			queues = append(queues, queue)
		}
	}
	p.version++
	p.env.putQueues(p.version, queues...)
}

func (p *queuePlay) submit(t *testing.T, c *cellscheduler.Scheduler, id string) {
	name := fmt.Sprint("q", p.random.IntN(4))
	queue, found := p.queues[name]
	if !found {
		return
	}
	definition := twoSteps(id, name, time.Duration(p.random.IntN(5000))*time.Millisecond)
	definition.Steps[1].Tasks = 1 + p.random.IntN(3)
	p.env.withLock(func() {
		p.limits[id], p.want[id] = queue.MaxFailures, steptracker.Completed
		for index := range definition.Steps[1].Tasks {
			failures := p.random.IntN(queue.MaxFailures + 1)
			if failures == queue.MaxFailures {
				p.want[id] = steptracker.Failed
			}
			p.failures[steptracker.TaskKey{StepKey: steptracker.StepKey{Job: id, Step: 1}, Index: index}] = failures
		}
	})
	submit(t, c, definition)
}

// TestNoRemovalOfQueuesChangesAnOutcome: whatever becomes of the queue and of the owner, a job ends as the configuration
// that accepted it says.
func TestNoRemovalOfQueuesChangesAnOutcome(t *testing.T) {
	for seed := range max(4, *playSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newQueuePlay(t, seed)
				token := int64(1)
				c, stop := p.env.startScheduler(token)
				for i := range 60 {
					sleep(time.Duration(p.random.IntN(600)) * time.Millisecond)
					switch p.random.IntN(6) {
					case 0:
						p.changeQueues()
					case 1:
						stop()
						token++
						c, stop = p.env.startScheduler(token)
					default:
						p.submit(t, c, fmt.Sprintf("j%02d", i))
					}
				}
				defer func() { stop() }()
				sleep(40 * time.Second)
				if len(p.want) == 0 {
					t.Fatal("no job was submitted")
				}
				for id, want := range p.want {
					wantState(t, c, id, want)
				}
			})
		})
	}
}
