package cellmanager_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// lead makes a version of the configuration lead the queue q to a service, beside the service "annex".
func (c *cluster) lead(t *testing.T, version int64, service string) {
	t.Helper()
	c.putConfiguration(t, configurationRow{Version: version, Service: service, Services: []string{"annex"}})
}

// heldBy returns the cells that have stored a job.
func (c *cluster) heldBy(id string) []string {
	var cells []string
	c.set(func() {
		for _, cell := range []string{"annex", "desk"} {
			if row := c.rows["jobs/"+cell+"/"+id]; row.Version != 0 {
				cells = append(cells, cell)
			}
		}
	})
	return cells
}

func wantHeldBy(t *testing.T, c *cluster, id, want string) {
	t.Helper()
	if got := strings.Join(c.heldBy(id), " "); got != want {
		t.Errorf("job %s is held by %q, want by %q", id, got, want)
	}
}

func queueOf(manager *cellmanager.Manager) *configprovider.Queue {
	return manager.Configuration().Current().Queue("q")
}

// TestMovedPathKeepsItsJobs: a new version leads a path to another service. An accepted job was not known there, and
// its repeated submission ran it again.
func TestMovedPathKeepsItsJobs(t *testing.T) {
	for _, test := range []struct {
		name string
		// oneService leaves out the other service until the move. newOwner replaces the owners after it.
		oneService, newOwner bool
	}{{name: "two services"}, {name: "one service before", oneService: true}, {name: "new owners", newOwner: true}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				if !test.oneService {
					c.lead(t, 2, "desk")
				}
				owner, others, stop := startThree(t, c)
				defer stopAll(stop)
				if err := submit(t, owner, "j"); err != nil {
					t.Fatal(err)
				}
				c.lead(t, 3, "annex")
				sleep(3 * time.Second)
				if test.newOwner {
					stop[owner.Incarnation()]()
					sleep(5 * time.Second)
				}
				for _, manager := range others {
					if err := submit(t, manager, "j"); err != nil {
						t.Errorf("repeated submission: %v", err)
					}
					if state, err := manager.State(t.Context(), queueOf(manager), cellscheduler.Caller{}, "j"); err != nil || state != steptracker.Queued {
						t.Errorf("state %q, error %v", state, err)
					}
					if pending, err := manager.Pending(t.Context(), queueOf(manager)); err != nil || pending != 1 {
						t.Errorf("%d pending jobs, error %v; want 1", pending, err)
					}
				}
				wantHeldBy(t, c, "j", "desk")
				if err := submit(t, others[0], "k"); err != nil {
					t.Errorf("new job: %v", err)
				}
				wantHeldBy(t, c, "k", "annex")
				if err := others[0].Cancel(t.Context(), queueOf(others[0]), cellscheduler.Caller{}, "j"); err != nil {
					t.Errorf("cancel: %v", err)
				}
				if state, err := others[1].State(t.Context(), queueOf(others[1]), cellscheduler.Caller{}, "j"); err != nil || state != steptracker.Cancelled {
					t.Errorf("state after the cancellation %q, error %v", state, err)
				}
				// The path moves back, and jobs of both times stay where they are.
				c.lead(t, 4, "desk")
				sleep(3 * time.Second)
				for _, id := range []string{"j", "k", "l"} {
					if err := submit(t, others[1], id); err != nil {
						t.Errorf("submission of %s after the path has moved back: %v", id, err)
					}
				}
				wantHeldBy(t, c, "k", "annex")
				wantHeldBy(t, c, "l", "desk")
				var unknown *cellscheduler.UnknownJobError
				if _, err := others[0].State(t.Context(), queueOf(others[0]), cellscheduler.Caller{}, "unknown"); !errors.As(err, &unknown) {
					t.Errorf("state of a job that was never submitted: %v", err)
				}
			})
		})
	}
}

// TestJobSubmittedUnderTwoVersionsIsAcceptedOnce: an instance still has the older version, and another has the new one,
// when the same job is submitted to both.
func TestJobSubmittedUnderTwoVersionsIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.lead(t, 2, "desk")
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		old := *queueOf(others[0])
		c.lead(t, 3, "annex")
		sleep(3 * time.Second)
		for _, first := range []string{"old", "new"} {
			results := make(chan error, 2)
			submitTo := func(queue *configprovider.Queue) {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				results <- others[0].Submit(ctx, queue, cellscheduler.Caller{}, &steptracker.Job{ID: first, Queue: "q", Steps: []steptracker.Step{{Tasks: 1}}})
			}
			queues := []*configprovider.Queue{&old, queueOf(others[0])}
			if first == "new" {
				queues[0], queues[1] = queues[1], queues[0]
			}
			go submitTo(queues[0])
			sleep(time.Millisecond)
			go submitTo(queues[1])
			accepted := 0
			for range 2 {
				if <-results == nil {
					accepted++
				}
			}
			if held := c.heldBy(first); len(held) > 1 || len(held) == 0 || accepted == 0 {
				t.Errorf("job %s: accepted %d times, held by %v; want one cell", first, accepted, held)
			}
		}
	})
}

// TestMoveThatTheStoreCannotRecord: while the store is down it is not known which cells hold the jobs of a path. A
// submission must not be refused as never accepted.
func TestMoveThatTheStoreCannotRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.lead(t, 2, "desk")
		_, others, stop := startThree(t, c)
		defer stopAll(stop)
		if err := submit(t, others[0], "j"); err != nil {
			t.Fatal(err)
		}
		c.lead(t, 3, "annex")
		sleep(3 * time.Second)
		c.set(func() { c.down = true })
		sleep(time.Second)
		err := submit(t, others[0], "j")
		var inDoubt *cellmanager.InDoubtError
		if !errors.As(err, &inDoubt) {
			t.Errorf("repeated submission: %v, want an error that leaves the outcome open", err)
		}
		c.set(func() { c.down = false })
		sleep(3 * time.Second)
		if err := submit(t, others[0], "j"); err != nil {
			t.Errorf("repeated submission once the store answers: %v", err)
		}
		wantHeldBy(t, c, "j", "desk")
	})
}
