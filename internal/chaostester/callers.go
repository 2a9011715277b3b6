package chaostester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/platform/standin"
)

const (
	// tries is how often a caller hands a job in, tryAgain the pause after an answer that says nothing.
	tries    = 8
	tryAgain = 300 * time.Millisecond
	// lookEvery is the pause between two questions for a job's state.
	lookEvery = 100 * time.Millisecond
)

// jobID is the name of a queue's job.
func jobID(queue, number uint64) string { return fmt.Sprintf("%04x%012x", queue, number) }

// callers hands jobs in at the queue's rate, with exponential pauses, until the context ends.
func (s *stage) callers(ctx context.Context, queue *Queue, number uint64) {
	random := rand.New(rand.NewPCG(s.Plan.Seed, number+2))
	var group sync.WaitGroup
	defer group.Wait()
	for count := uint64(1); ; count++ {
		pause := time.Duration(random.ExpFloat64() / queue.JobsPerSecond * float64(time.Second))
		if !s.pause(ctx, pause) {
			return
		}
		seed := random.Uint64()
		group.Go(func() { s.call(ctx, queue, jobID(number, count), rand.New(rand.NewPCG(seed, count))) })
	}
}

// call hands one job in, until there is an answer that says what became of it.
func (s *stage) call(ctx context.Context, queue *Queue, id string, random *rand.Rand) {
	s.record.submitted(queue, id)
	for range tries {
		at, up := s.anyInstance(random)
		if !up {
			if !s.pause(ctx, tryAgain) {
				return
			}
			continue
		}
		sentAt := s.Clock.Now()
		answer, after := s.caller.Submit(context.WithoutCancel(ctx), at, queue.Name, id, queue.steps(time.Duration(s.Plan.TaskDuration)))
		s.record.answered(id, answer, s.Clock.Since(sentAt))
		if answer == standin.Accepted {
			s.follow(ctx, queue, id, random)
			return
		}
		if !s.pause(ctx, max(after, tryAgain)) {
			return
		}
	}
}

// follow asks for a job's state until that does not change any more: final states are kept for a while
// only.
func (s *stage) follow(ctx context.Context, queue *Queue, id string, random *rand.Rand) {
	for s.pause(ctx, lookEvery) {
		if s.look(ctx, queue.Name, id, random) {
			return
		}
	}
}

// look asks any instance for the state of a job, and reports whether that is final.
func (s *stage) look(ctx context.Context, queue, id string, random *rand.Rand) bool {
	at, up := s.anyInstance(random)
	if !up {
		return false
	}
	state, answer := s.caller.State(ctx, at, queue, id)
	switch answer {
	case standin.Accepted:
		s.record.shown(id, state, s.platform.ExecutionLog())
		return state.Final()
	case standin.NoSuchJob:
		s.record.lost(id)
		return true
	case standin.Undecided, standin.NotAccepted, standin.NoSuchQueue, standin.BadRequest:
	}
	return false
}

// settle waits until all accepted jobs are shown as completed, or the time is over.
func (s *stage) settle(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, settleFor)
	defer cancel()
	for {
		open := s.record.open()
		if len(open) == 0 {
			return nil
		}
		for _, job := range open {
			s.look(ctx, job.queue.Name, job.id, s.random)
		}
		if !s.pause(ctx, lookEvery) {
			// What is open now is named in the report.
			return nil
		}
	}
}
