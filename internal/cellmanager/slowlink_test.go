package cellmanager_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
)

// slowLinks are the links of a cluster that take time to transfer large replies. All transfers to an instance
// share its link.
type slowLinks struct {
	// speeds are in bytes per second by instance name; 0 means that transfers take no time.
	speeds map[string]int
	active map[string]int
	// received is the number of bytes that an instance has received.
	received map[string]int
	// transfers are the replies between instances that are on their way.
	transfers sync.WaitGroup
}

// transferTick is the interval at which the transfers on a link progress.
const transferTick = 10 * time.Millisecond

// receive returns when an instance has received a reply of a size.
func (c *cluster) receive(ctx context.Context, instance string, size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.speeds[instance] == 0 {
		return nil
	}
	c.active[instance]++
	defer func() { c.active[instance]-- }()
	for rest := size; rest > 0; {
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(transferTick):
		}
		c.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		part := min(rest, c.speeds[instance]*int(transferTick)/int(time.Second)/c.active[instance])
		rest -= part
		c.received[instance] += part
		c.mu.Unlock()
		connector.ReportReceived(ctx, part)
		c.mu.Lock()
	}
	return nil
}

// receive returns when the instance has received rows from the store.
func (s *store) receive(ctx context.Context, rows []connector.Row) error {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	if err := s.cluster.receive(ctx, s.instance, size); err != nil {
		return &connector.UnreachableError{Call: "store", Err: err}
	}
	return nil
}

const (
	// applyLimit is how long after its acknowledgement a configuration must be in force.
	applyLimit = 4 * time.Second
	// slowLink is a link of 10 Mbit/s in bytes per second.
	slowLink = 10e6 / 8
)

// TestLargeConfigurationOnSlowLink: a configuration whose transfer takes a second is in force in time, and its
// keys can be verified at any moment before and after.
func TestLargeConfigurationOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTeamCluster(t)
		_, others, stop := startThree(t, c)
		defer c.transfers.Wait()
		defer stopAll(stop)
		instance := others[0]
		c.set(func() {
			c.speeds, c.active, c.received = map[string]int{name(instance): slowLink}, make(map[string]int), make(map[string]int)
		})
		padding := strings.Repeat("x", 1_150_000)
		for version := int64(3); version < 13; version++ {
			c.putConfiguration(t, configurationRow{Version: version, Teams: true, Keys: map[string]string{"key-a": "a"}, Padding: padding})
			putAt := time.Now()
			// The changes fall on different moments of a watch.
			for time.Since(putAt) < 2*applyLimit+time.Duration(version)*90*time.Millisecond {
				sleep(transferTick)
				wantVerdict(t, instance, "q", "key-a", "ok a")
				if active := instance.Configuration().Version(); active != version && time.Since(putAt) > applyLimit {
					t.Fatalf("version %d is active %s after the store took version %d", active, time.Since(putAt), version)
				}
			}
		}
	})
}
