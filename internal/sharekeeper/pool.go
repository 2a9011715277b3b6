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
	// ReservedBeyond is what is reserved for work beyond shares, and not free for that reason.
	ReservedBeyond modeler.Processors
}

// Wait returns how long new work is expected to wait for room behind the work ahead of it. It assumes that
// running work lasts as long as waiting work. Work that needs no processors
// does not wait. Without any worker nothing is known, and Wait returns 0.
func (p Pool) Wait(ahead, work Work) time.Duration {
	needed := ahead.Plus(work)
	missing := needed.Processors - p.Free
	if missing <= 0 || p.Capacity <= 0 || work.Processors == 0 {
		return 0
	}
	// The whole capacity becomes free once in a mean duration.
	meanDuration := float64(needed.CoreTime) / needed.Processors.Number()
	return time.Duration(meanDuration * float64(missing) / float64(p.Capacity))
}

const (
	// waitMargin is the part of its slack that work within a share may be expected to wait. The rest is for
	// work that arrives later and for room that does not suit.
	waitMargin = 0.5
	// causeMargin is the part of its slack, and minDelay the time, that work beyond shares must account for
	// in that wait.
	causeMargin = 0.25
	minDelay    = 100 * time.Millisecond
)

// Waiting describes a step that waits for room.
type Waiting struct {
	Work
	Standing Standing
	// Slack is how long the step can wait until its result is late or, if it is late, no longer useful. It is
	// 0 for steps without a deadline, such as long-running ones.
	Slack time.Duration
}

// BeyondMustYield reports whether work beyond shares has to make way for work within shares. steps are all
// waiting steps in the order in which they go if it doesn't. While all work within shares can be expected to
// be in time, or is late for other causes, this order stays, because it serves everybody best.
func (p Pool) BeyondMustYield(steps []Waiting) bool {
	without := Pool{Capacity: p.Capacity, Free: p.Free + p.ReservedBeyond}
	var ahead, withinAhead Work
	for _, step := range steps {
		if step.Standing == Within {
			if delays(p.Wait(ahead, step.Work), without.Wait(withinAhead, step.Work), step.Slack) {
				return true
			}
			withinAhead = withinAhead.Plus(step.Work)
		}
		ahead = ahead.Plus(step.Work)
	}
	return false
}

// delays reports whether work beyond shares makes a step late that waits so long with it, and so long
// without it.
func delays(with, without, slack time.Duration) bool {
	delay := with - without
	return slack > 0 && without <= slack && with > part(slack, waitMargin) && delay > part(slack, causeMargin) && delay > minDelay
}

func part(whole time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(whole) * fraction)
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
// otherwise if its result can be expected to be useful behind the work that goes before it even if work
// beyond shares need not yield: order, not refusal, protects the others. jitter is a
// random number from 0 up to 1, which spreads the callers that are refused at the same time.
func (p Pool) Admit(ahead Work, request Request, jitter float64) Decision {
	decision := Decision{Wait: p.Wait(ahead, request.Work)}
	if decision.Wait == 0 || decision.Wait+request.Duration <= expiryFactor*request.Objective {
		return decision
	}
	decision.Refused = true
	retryAfter := min(max(decision.Wait, minRetryAfter), maxRetryAfter)
	decision.RetryAfter = retryAfter + part(retryAfter, jitter*retryJitter)
	return decision
}
