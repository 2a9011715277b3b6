package cellmanager_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// decodeWorker decodes the entry of a worker of the tests: "ready", or anything else for an invalid one.
func decodeWorker(key string, text []byte) (workerdriver.Worker, error) {
	if string(text) != "ready" {
		return workerdriver.Worker{}, &workerdriver.BusyError{}
	}
	return workerdriver.Worker{Incarnation: steptracker.Incarnation{Worker: strings.TrimPrefix(key, "servers//"), StartMillis: 1}, Service: "desk"}, nil
}

func (c *cluster) putWorker(id, text string) {
	c.set(func() {
		c.version++
		c.rows["servers//"+id] = connector.Row{Key: "servers//" + id, Value: []byte(text), Version: c.version}
	})
}

// count returns how many lines of all instances have a message about a worker.
func (b *lockedBuffer) count(message, worker string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.buffer.String()) {
		if strings.Contains(line, `"msg":"`+message+`"`) && strings.Contains(line, fmt.Sprintf(`"worker":%q`, worker)) {
			count++
		}
	}
	return count
}

// TestOddWorkerEntryHidesNoOther: an entry that is not a worker's is logged once by each owner, and the others are
// followed, by the owner that reads it again and again and by its successor.
func TestOddWorkerEntryHidesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.logs = &lockedBuffer{}
		owner, others, stop := startThree(t, c)
		defer stopAll(stop)
		c.putWorker("first", "ready")
		for range 100 {
			c.putWorker("odd", "nonsense")
			sleep(200 * time.Millisecond)
		}
		c.putWorker("second", "ready")
		sleep(time.Second)
		if odd, joined := c.logs.count("invalid worker row", "odd"), c.logs.count("worker joined", "second"); odd != 1 || joined != 1 {
			t.Errorf("the odd entry was logged %d times, the next worker joined %d times", odd, joined)
		}
		// An entry that was a worker's and is overwritten names no worker any more, in a change as in a snapshot.
		c.putWorker("second", "nonsense")
		sleep(time.Second)
		if gone := c.logs.count("worker gone from the list", "second"); gone != 1 {
			t.Errorf("the overwritten worker is gone %d times", gone)
		}
		stop[owner.Incarnation()]()
		for _, manager := range others {
			manager.HandlePeerExited(owner.Incarnation())
		}
		sleep(5 * time.Second)
		c.putWorker("third", "ready")
		sleep(10 * time.Second)
		if odd, joined := c.logs.count("invalid worker row", "odd"), c.logs.count("worker joined", "third"); odd != 2 || joined != 1 {
			t.Errorf("after a take-over the odd entry was logged %d times in all, the next worker joined %d times", odd, joined)
		}
	})
}
