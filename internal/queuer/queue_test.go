package queuer_test

import (
	"fmt"
	"strings"
	"testing"

	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/queuer"
)

func newJob(name, team string, class modeler.Class, urgent bool) *jobtracker.Job {
	return &jobtracker.Job{Key: name, Spec: modeler.Job{Team: team, Class: class, Urgent: urgent}}
}

// expectOrder checks the order in which Visit offers the jobs when those in blocked can't be placed.
func expectOrder(t *testing.T, queue *queuer.Queue, share func(team string) float64, blocked string, want string) {
	t.Helper()
	var offered []string
	queue.Visit(share, func(job *jobtracker.Job) queuer.VisitResult {
		offered = append(offered, job.Key)
		if strings.Contains(blocked, job.Key) {
			return queuer.Blocked
		}
		return queuer.Dequeued
	})
	if got := strings.Join(offered, " "); got != want {
		t.Errorf("offered %q, want %q", got, want)
	}
}

func TestVisitOrder(t *testing.T) {
	queue := queuer.New()
	for _, j := range []*jobtracker.Job{
		newJob("a1", "a", modeler.Batch, false),
		newJob("a2", "a", modeler.Gang, false),
		newJob("b1", "b", modeler.Batch, false),
		newJob("b2", "b", modeler.Batch, false),
		newJob("u1", "a", modeler.Batch, true),
		newJob("q1", "b", modeler.Quick, false),
	} {
		queue.Push(j)
	}
	share := func(team string) float64 {
		if team == "b" {
			return 0.5
		}
		return 0.1
	}
	expectOrder(t, queue, share, "", "q1 u1 a1 a2 b1 b2")
	if queue.Total() != 0 {
		t.Errorf("%d jobs are left", queue.Total())
	}
}

func TestTeamWithLowestShareOfQuotaIsServedFirst(t *testing.T) {
	queue := queuer.New()
	served := make(map[string]float64)
	for i := range 4 {
		queue.Push(newJob(fmt.Sprintf("a%d", i), "a", modeler.Batch, false))
	}
	queue.Push(newJob("b0", "b", modeler.Batch, false))
	queue.Push(newJob("b1", "b", modeler.Batch, false))
	served["a"] = 2
	var offered []string
	queue.Visit(func(team string) float64 { return served[team] }, func(j *jobtracker.Job) queuer.VisitResult {
		served[j.Spec.Team]++
		offered = append(offered, j.Key)
		return queuer.Dequeued
	})
	if got := strings.Join(offered[:2], " "); got != "b0 b1" {
		t.Errorf("first offered %q, want the jobs of the team with the lowest share", got)
	}
}

func TestBlockedJobsKeepOrderAndSmallerJobsPass(t *testing.T) {
	queue := queuer.New()
	for _, name := range []string{"big", "small", "huge", "tiny"} {
		queue.Push(newJob(name, "a", modeler.Batch, false))
	}
	equalShares := func(string) float64 { return 0 }
	expectOrder(t, queue, equalShares, "big huge", "big small huge tiny")
	expectOrder(t, queue, equalShares, "", "big huge")
	if queue.Len("a", modeler.Batch) != 0 {
		t.Errorf("%d jobs are left", queue.Len("a", modeler.Batch))
	}
}

func TestBlockedJobsPerVisitAreBounded(t *testing.T) {
	queue := queuer.New()
	for i := range 1000 {
		queue.Push(newJob(fmt.Sprintf("j%d", i), "a", modeler.Batch, false))
	}
	offered := 0
	queue.Visit(func(string) float64 { return 0 }, func(*jobtracker.Job) queuer.VisitResult {
		offered++
		return queuer.Blocked
	})
	if offered > 16 || queue.Total() != 1000 {
		t.Errorf("%d of 1000 blocked jobs were offered, %d are left", offered, queue.Total())
	}
}
