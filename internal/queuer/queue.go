// Package queuer orders the jobs that wait for a place.
//
// # Usage
//
//	queue := queuer.New()
//	queue.Push(job)
//	queue.Visit(share, func(job *jobtracker.Job) queuer.Verdict { … })
//
// Quick requests go first: they hold a slot for a moment and a person waits for each. Urgent work
// goes next, oldest first. The rest is ordered by team: the team whose dominant share is the
// smallest part of its quota is served next, and within a team the oldest job. A team that is
// behind therefore overtakes, and no team can push another below its quota for longer than the
// work that runs.
package queuer

import (
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// maxBlocked is how many blocked jobs of a lane are passed over in one visit. It bounds the cost of
// a visit to a full cell, and lets small jobs pass a large one that does not fit.
const maxBlocked = 16

// Verdict is what became of a visited job.
type VisitResult int

const (
	// Served: nothing of the job is left to be queued.
	Dequeued VisitResult = iota
	// Blocked: some of it found no place.
	Blocked
)

// lane is a queue in order of arrival. Served jobs leave it when they are met.
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

// laneName tells the queues apart for which a policy sets a limit.
type limitKey struct {
	team  string
	class modeler.Class
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{byTeam: make(map[string]*fifo), lengths: make(map[limitKey]int)}
}

// Push adds a job at the end of its lane.
func (q *Queue) Push(job *jobtracker.Job) {
	l := q.fifoOf(job)
	l.jobs = append(l.jobs, job)
	q.lengths[limitKeyOf(job)]++
}

// Len returns how many jobs of a team's class wait.
func (q *Queue) Len(team string, class modeler.Class) int {
	return q.lengths[limitKey{team: team, class: class}]
}

// Quick returns how many quick requests wait, of all teams.
func (q *Queue) QuickLen() int { return len(q.quick.jobs) }

// Total returns how many jobs wait.
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
	l := q.byTeam[job.Spec.Team]
	if l == nil {
		l = &fifo{}
		q.byTeam[job.Spec.Team] = l
		q.teamNames = append(q.teamNames, job.Spec.Team)
	}
	return l
}

// Visit offers jobs in order. Share returns a team's dominant share as a part of its quota; it is
// asked anew after each job, because serving one changes it.
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

// cursor walks a lane: jobs[:kept] are blocked ones met in this visit, jobs[at:] are to come.
type cursor struct {
	team       string
	queue      *fifo
	next, kept int
}

func (c *cursor) done() bool { return c.next >= len(c.queue.jobs) || c.kept >= maxBlocked }

func (c *cursor) compact() {
	if c.next == c.kept {
		return
	}
	count := copy(c.queue.jobs[c.kept:], c.queue.jobs[c.next:])
	clear(c.queue.jobs[c.kept+count:])
	c.queue.jobs = c.queue.jobs[:c.kept+count]
}

func (q *Queue) lowestShare(cursors []cursor, share func(team string) float64) *cursor {
	var chosen *cursor
	var least float64
	for i := range cursors {
		c := &cursors[i]
		if c.done() {
			continue
		}
		if used := share(c.team); chosen == nil || used < least {
			chosen, least = c, used
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

func (q *Queue) visitFIFO(l *fifo, visit func(*jobtracker.Job) VisitResult) {
	c := cursor{queue: l}
	for !c.done() {
		q.offerNext(&c, visit)
	}
	c.compact()
}
