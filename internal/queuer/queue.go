// Package queuer orders the jobs that wait to be placed, with fair sharing between teams.
//
// # Usage
//
//	queue := queuer.New()
//	queue.Push(job)
//	queue.Visit(share, func(job *jobtracker.Job) queuer.VisitResult { … })
//
// Quick requests come first: they occupy a slot only briefly, and a person waits for each of them.
// Urgent jobs come next, in order of arrival. All other jobs are ordered by team: the next job is
// the oldest one of the team with the lowest dominant share relative to its quota (dominant
// resource fairness). A team below its quota is therefore served before the others, and other teams
// can keep it below its quota only until their running tasks end.
package queuer

import (
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// maxBlocked is the number of blocked jobs in a FIFO queue after which a visit stops. It lets small
// jobs pass large ones that do not fit, and limits the cost of a visit when all workers are full.
const maxBlocked = 16

// VisitResult tells Visit what to do with a job.
type VisitResult int

const (
	// Dequeued removes the job from the queue, because it has no more tasks to place.
	Dequeued VisitResult = iota
	// Blocked keeps the job in the queue, because some of its tasks could not be placed.
	Blocked
)

// fifo holds jobs in order of arrival.
type fifo struct {
	jobs []*jobtracker.Job
}

// Queue holds the waiting jobs of a partition.
type Queue struct {
	quick     fifo
	urgent    fifo
	byTeam    map[string]*fifo
	teamNames []string
	lengths   map[limitKey]int
}

// limitKey identifies the jobs that share a queue limit in the policy.
type limitKey struct {
	team  string
	class modeler.Class
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byTeam: make(map[string]*fifo), lengths: make(map[limitKey]int)}
}

// Push appends a job to the queue.
func (q *Queue) Push(job *jobtracker.Job) {
	f := q.fifoOf(job)
	f.jobs = append(f.jobs, job)
	q.lengths[limitKeyOf(job)]++
}

// Len returns the number of waiting jobs of a team and class.
func (q *Queue) Len(team string, class modeler.Class) int {
	return q.lengths[limitKey{team: team, class: class}]
}

// QuickLen returns the number of waiting quick requests of all teams.
func (q *Queue) QuickLen() int { return len(q.quick.jobs) }

// Total returns the number of waiting jobs.
func (q *Queue) Total() int {
	total := 0
	for _, count := range q.lengths {
		total += count
	}
	return total
}

func limitKeyOf(job *jobtracker.Job) limitKey {
	return limitKey{team: job.Spec.Team, class: job.Spec.Class}
}

func (q *Queue) fifoOf(job *jobtracker.Job) *fifo {
	if job.Spec.Class == modeler.Quick {
		return &q.quick
	}
	if job.Spec.Urgent {
		return &q.urgent
	}
	f := q.byTeam[job.Spec.Team]
	if f == nil {
		f = &fifo{}
		q.byTeam[job.Spec.Team] = f
		q.teamNames = append(q.teamNames, job.Spec.Team)
	}
	return f
}

// Visit calls visit for the waiting jobs in order. Share returns a team's dominant share relative
// to its quota; it is called again after each job, because placing a job changes it.
func (q *Queue) Visit(share func(team string) float64, visit func(*jobtracker.Job) VisitResult) {
	q.visitFIFO(&q.quick, visit)
	q.visitFIFO(&q.urgent, visit)
	cursors := make([]cursor, len(q.teamNames))
	for i, name := range q.teamNames {
		cursors[i] = cursor{team: name, queue: q.byTeam[name]}
	}
	for {
		next := q.lowestShare(cursors, share)
		if next == nil {
			break
		}
		q.offerNext(next, visit)
	}
	for i := range cursors {
		cursors[i].compact()
	}
}

// cursor iterates over a FIFO queue: jobs[:kept] were visited and are blocked, jobs[next:] have not
// been visited yet.
type cursor struct {
	team       string
	queue      *fifo
	next, kept int
}

func (c *cursor) done() bool { return c.next >= len(c.queue.jobs) || c.kept >= maxBlocked }

// compact removes the gap that dequeued jobs have left between jobs[:kept] and jobs[next:].
func (c *cursor) compact() {
	if c.next == c.kept {
		return
	}
	count := copy(c.queue.jobs[c.kept:], c.queue.jobs[c.next:])
	clear(c.queue.jobs[c.kept+count:])
	c.queue.jobs = c.queue.jobs[:c.kept+count]
}

// lowestShare returns the cursor of the team with the lowest share that has jobs to visit, or nil.
func (q *Queue) lowestShare(cursors []cursor, share func(team string) float64) *cursor {
	var chosen *cursor
	var lowest float64
	for i := range cursors {
		c := &cursors[i]
		if c.done() {
			continue
		}
		if usage := share(c.team); chosen == nil || usage < lowest {
			chosen, lowest = c, usage
		}
	}
	return chosen
}

func (q *Queue) offerNext(c *cursor, visit func(*jobtracker.Job) VisitResult) {
	job := c.queue.jobs[c.next]
	c.next++
	if visit(job) == Dequeued {
		q.lengths[limitKeyOf(job)]--
		return
	}
	c.queue.jobs[c.kept] = job
	c.kept++
}

func (q *Queue) visitFIFO(f *fifo, visit func(*jobtracker.Job) VisitResult) {
	c := cursor{queue: f}
	for !c.done() {
		q.offerNext(&c, visit)
	}
	c.compact()
}
