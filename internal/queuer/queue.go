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
type lane struct {
	jobs []*jobtracker.Job
}

// Queue holds the waiting jobs of a partition.
type Queue struct {
	quick  lane
	urgent lane
	teams  map[string]*lane
	names  []string
	length map[laneName]int
}

// laneName tells the queues apart for which a policy sets a limit.
type laneName struct {
	team  string
	class modeler.Class
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: make(map[string]*lane), length: make(map[laneName]int)}
}

// Push adds a job at the end of its lane.
func (q *Queue) Push(job *jobtracker.Job) {
	l := q.laneOf(job)
	l.jobs = append(l.jobs, job)
	q.length[nameOf(job)]++
}

// Len returns how many jobs of a team's class wait.
func (q *Queue) Len(team string, class modeler.Class) int {
	return q.length[laneName{team: team, class: class}]
}

// Quick returns how many quick requests wait, of all teams.
func (q *Queue) QuickLen() int { return len(q.quick.jobs) }

// Total returns how many jobs wait.
func (q *Queue) Total() int {
	total := 0
	for _, count := range q.length {
		total += count
	}
	return total
}

func nameOf(job *jobtracker.Job) laneName {
	return laneName{team: job.Spec.Team, class: job.Spec.Class}
}

func (q *Queue) laneOf(job *jobtracker.Job) *lane {
	if job.Spec.Class == modeler.Quick {
		return &q.quick
	}
	if job.Spec.Urgent {
		return &q.urgent
	}
	l := q.teams[job.Spec.Team]
	if l == nil {
		l = &lane{}
		q.teams[job.Spec.Team] = l
		q.names = append(q.names, job.Spec.Team)
	}
	return l
}

// Visit offers jobs in order. Share returns a team's dominant share as a part of its quota; it is
// asked anew after each job, because serving one changes it.
func (q *Queue) Visit(share func(team string) float64, visit func(*jobtracker.Job) VisitResult) {
	q.visitLane(&q.quick, visit)
	q.visitLane(&q.urgent, visit)
	cursors := make([]cursor, len(q.names))
	for i, name := range q.names {
		cursors[i] = cursor{team: name, lane: q.teams[name]}
	}
	for {
		next := q.neediest(cursors, share)
		if next == nil {
			break
		}
		q.step(next, visit)
	}
	for i := range cursors {
		cursors[i].compact()
	}
}

// cursor walks a lane: jobs[:kept] are blocked ones met in this visit, jobs[at:] are to come.
type cursor struct {
	team     string
	lane     *lane
	at, kept int
}

func (c *cursor) over() bool { return c.at >= len(c.lane.jobs) || c.kept >= maxBlocked }

func (c *cursor) compact() {
	if c.at == c.kept {
		return
	}
	count := copy(c.lane.jobs[c.kept:], c.lane.jobs[c.at:])
	clear(c.lane.jobs[c.kept+count:])
	c.lane.jobs = c.lane.jobs[:c.kept+count]
}

func (q *Queue) neediest(cursors []cursor, share func(team string) float64) *cursor {
	var best *cursor
	var least float64
	for i := range cursors {
		c := &cursors[i]
		if c.over() {
			continue
		}
		if part := share(c.team); best == nil || part < least {
			best, least = c, part
		}
	}
	return best
}

func (q *Queue) step(c *cursor, visit func(*jobtracker.Job) VisitResult) {
	job := c.lane.jobs[c.at]
	c.at++
	if visit(job) == Dequeued {
		q.length[nameOf(job)]--
		return
	}
	c.lane.jobs[c.kept] = job
	c.kept++
}

func (q *Queue) visitLane(l *lane, visit func(*jobtracker.Job) VisitResult) {
	c := cursor{lane: l}
	for !c.over() {
		q.step(&c, visit)
	}
	c.compact()
}
