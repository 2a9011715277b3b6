package partitioncontroller_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/c2h5oh/datasize"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// maxCrashes is the number of workers that a task may crash. After the third crash it may be started
// twice more.
const maxCrashes = 5

type crashPayload struct {
	RunsFor       modeler.Duration `json:"runs-for"`
	CrashesWorker bool             `json:"crashes-worker"`
}

func crashJob(class modeler.Class, tasks int, payload crashPayload) modeler.Job {
	// The error is ignored because this type can always be encoded.
	text, _ := json.Marshal(payload)
	needs := modeler.Resources{Processors: 500, Memory: datasize.GB}
	if class == modeler.Quick {
		needs = modeler.Resources{}
	}
	return modeler.Job{Class: class, Team: "team", Tasks: tasks, Needs: needs, Repeatable: true, Payload: text}
}

// TestTaskThatCrashesItsWorkersIsGivenUp: the jobs beside it must not end with it. A change of owner
// does not reset the count for durable jobs.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		class      modeler.Class
		tasks      int
		killsOwner bool
		// want is the answer for the job. The start of a quick request is answered only when it ends, so
		// it is not known whether it ran.
		want modeler.State
	}{
		{modeler.Batch, 2, false, modeler.Stopped},
		{modeler.Batch, 1, true, modeler.Stopped},
		{modeler.Gang, 3, false, modeler.Stopped},
		{modeler.Quick, 1, false, modeler.Unknown},
	} {
		t.Run(fmt.Sprintf("%s/owner killed %t", test.class, test.killsOwner), func(t *testing.T) {
			synctest.Test(t, func(*testing.T) {
				c := newTestCluster(simulator.CompareEpochs, clusterSize{partitions: 1, workersPerPartition: 4, capacity: smallSize.capacity, slots: 4})
				for i := range 4 {
					c.faultyWorkers[fmt.Sprintf("w%d", i)] = true
				}
				c.startInstance(0)
				c.startInstance(1)
				<-c.clock.After(6 * time.Second)
				c.startCaller("deadly", crashJob(test.class, test.tasks, crashPayload{RunsFor: modeler.Duration(10 * time.Millisecond), CrashesWorker: true}), 0)
				for i := range 40 {
					c.startCaller(fmt.Sprintf("i%d", i), crashJob(modeler.Batch, 1, crashPayload{RunsFor: modeler.Duration(time.Second)}), 0)
					<-c.clock.After(250 * time.Millisecond)
					if test.killsOwner && i == 16 {
						instance := c.instanceAt(0)
						instance.kill()
						c.restartInstance(0, instance)
					}
				}
				<-c.clock.After(recoveryTime)
				c.checkCrashes(t, test.want)
				if violations := c.violations(); len(violations) > 0 {
					t.Errorf("violations: %v", violations)
				}
				c.shutDown()
				synctest.Wait()
			})
		})
	}
}

// checkCrashes fails the test if a task has crashed too many workers, if its job does not have the wanted
// answer, or if another job has not completed.
func (c *testCluster) checkCrashes(t *testing.T, wantDeadly modeler.State) {
	t.Helper()
	starts := make(map[int]int)
	for _, event := range c.platform.Events() {
		if event.Started && event.Attempt.Key == "deadly" {
			starts[event.Attempt.Task]++
		}
	}
	for task, count := range starts {
		if count > maxCrashes {
			t.Errorf("task %d has crashed %d workers, want at most %d", task, count, maxCrashes)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		want := modeler.Done
		if call.Key == "deadly" {
			want = wantDeadly
		}
		if state := lastState(call); state != want {
			t.Errorf("job %s is %q (%s), want %q", call.Key, state, call.LastReason, want)
		}
	}
}

func lastState(call *auditor.Call) modeler.State {
	if len(call.Answers) == 0 {
		return ""
	}
	return call.Answers[len(call.Answers)-1].State
}

// TestPlannedDeparturesAreNoCrashes: three workers leave as planned while they run the same task. It must
// not be isolated after that, or nothing else would run on its worker.
func TestPlannedDeparturesAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		c := newTestCluster(simulator.CompareEpochs, clusterSize{partitions: 1, workersPerPartition: 4, capacity: smallSize.capacity, slots: 4})
		c.startInstance(0)
		<-c.clock.After(6 * time.Second)
		c.startCaller("long", crashJob(modeler.Batch, 1, crashPayload{RunsFor: modeler.Duration(10 * time.Minute)}), 0)
		for range 3 {
			<-c.clock.After(5 * time.Second)
			worker := c.lastStart().Worker
			c.faultyWorkers[worker] = true
			c.platform.SetFaults(simulator.Faults{LeavingWorkers: []string{worker}})
			<-c.clock.After(10 * time.Second)
			c.platform.SetFaults(simulator.Faults{KillWorkers: []string{worker}})
			<-c.clock.After(40 * time.Second)
		}
		c.startCaller("other", crashJob(modeler.Batch, 1, crashPayload{RunsFor: modeler.Duration(time.Second)}), 0)
		<-c.clock.After(10 * time.Second)
		c.mu.Lock()
		for _, call := range c.calls {
			if state := lastState(call); call.Key == "other" && state != modeler.Done {
				t.Errorf("the other job is %q, want %q", state, modeler.Done)
			}
		}
		c.mu.Unlock()
		c.shutDown()
		synctest.Wait()
	})
}

func (c *testCluster) lastStart() simulator.Event {
	var last simulator.Event
	for _, event := range c.platform.Events() {
		if event.Started {
			last = event
		}
	}
	return last
}
