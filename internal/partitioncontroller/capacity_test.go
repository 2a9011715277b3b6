package partitioncontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/simulator"
)

// TestCapacityOfWorkerChanges: the capacity of the only worker shrinks and grows again. Refused starts
// would count against the tasks and end their job.
func TestCapacityOfWorkerChanges(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		c := newTestCluster(simulator.CompareEpochs, clusterSize{partitions: 1, workersPerPartition: 1, capacity: smallSize.capacity, slots: 4})
		c.startInstance(0)
		<-c.clock.After(6 * time.Second)
		shrunk := smallSize.capacity
		shrunk.Processors = 1000
		c.platform.SetCapacity("w0", shrunk)
		<-c.clock.After(3 * time.Second)
		c.startCaller("batch", crashJob(modeler.Batch, 12, crashPayload{RunsFor: modeler.Duration(50 * time.Second)}), 0)
		<-c.clock.After(40 * time.Second)
		c.wantMostRunning(t, 2)
		c.platform.SetCapacity("w0", smallSize.capacity)
		<-c.clock.After(3 * time.Minute)
		c.wantMostRunning(t, 8)
		c.mu.Lock()
		for _, call := range c.calls {
			if state := lastState(call); state != modeler.Done {
				t.Errorf("job %s is %q (%s), want %q", call.Key, state, call.LastReason, modeler.Done)
			}
		}
		c.mu.Unlock()
		c.shutDown()
		synctest.Wait()
	})
}

// wantMostRunning fails the test unless the largest number of tasks that ran at the same time so far is
// the wanted one.
func (c *testCluster) wantMostRunning(t *testing.T, want int) {
	t.Helper()
	running, most := 0, 0
	for _, event := range c.platform.Events() {
		switch {
		case event.Started:
			running++
		case event.Ended != "":
			running--
		}
		most = max(most, running)
	}
	if most != want {
		t.Errorf("at most %d tasks ran at the same time, want %d", most, want)
	}
}
