package sharekeeper

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Work is an amount of work: the processors that it needs at once, and its duration on one processor.
type Work struct {
	Processors modeler.Processors
	CoreTime   time.Duration
}

// WorkOf returns the work of tasks that each need a number of processors for a time.
func WorkOf(tasks int, processors modeler.Processors, duration time.Duration) Work {
	total := processors * modeler.Processors(tasks)
	return Work{Processors: total, CoreTime: time.Duration(float64(duration) * total.Number())}
}

// Plus returns the sum of two amounts of work.
func (w Work) Plus(other Work) Work {
	return Work{Processors: w.Processors + other.Processors, CoreTime: w.CoreTime + other.CoreTime}
}

// Pool describes the workers as a whole.
type Pool struct {
	Capacity, Free modeler.Processors
}

// Wait returns how long new work is expected to wait for room behind the work ahead of it. It assumes that
// running work lasts as long as waiting work. Without any worker nothing is known, and Wait returns 0.
func (p Pool) Wait(ahead, work Work) time.Duration {
	needed := ahead.Plus(work)
	missing := needed.Processors - p.Free
	if missing <= 0 || p.Capacity <= 0 {
		return 0
	}
	// The whole capacity becomes free once in a mean duration.
	meanDuration := float64(needed.CoreTime) / needed.Processors.Number()
	return time.Duration(meanDuration * float64(missing) / float64(p.Capacity))
}

// Request describes a new job beyond the share of its team.
type Request struct {
	// Work is the work of the job's widest step.
	Work Work
	// Duration is the expected duration of the job once it has room, Objective the time after which
	// its result is late.
	Duration, Objective time.Duration
}

// Decision is the answer to a request.
type Decision struct {
	Refused bool
	// RetryAfter is the time after which a refused caller should come back.
	RetryAfter time.Duration
	// Wait is the expected wait for room.
	Wait time.Duration
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// retryJitter is the largest random addition to that time, as a fraction of it.
	retryJitter = 0.25
	// expiryFactor times the objective is the time after which a result is no longer useful.
	expiryFactor = 3
)

// Admit decides whether a job beyond the share of its team is accepted: with room for it always, and
// otherwise if its result can be expected to be useful behind the work that goes before it. jitter is a
// random number from 0 up to 1, which spreads the callers that are refused at the same time.
func (p Pool) Admit(ahead Work, request Request, jitter float64) Decision {
	decision := Decision{Wait: p.Wait(ahead, request.Work)}
	if decision.Wait == 0 || decision.Wait+request.Duration <= expiryFactor*request.Objective {
		return decision
	}
	decision.Refused = true
	retryAfter := min(max(decision.Wait, minRetryAfter), maxRetryAfter)
	decision.RetryAfter = retryAfter + time.Duration(jitter*retryJitter*float64(retryAfter))
	return decision
}
