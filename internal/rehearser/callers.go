package rehearser

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
		pause := time.Duration(random.ExpFloat64() / queue.PerSecond * float64(time.Second))
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
		answer, after := s.caller.Submit(context.WithoutCancel(ctx), at, queue.Name, id, queue.steps(time.Duration(s.Plan.Work)))
		s.record.answered(id, answer, s.Clock.Since(sentAt))
		if answer == standin.Accepted {
			return
		}
		if !s.pause(ctx, max(after, tryAgain)) {
			return
		}
	}
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
			at, up := s.anyInstance(s.random)
			if !up {
				break
			}
			state, answer := s.caller.State(ctx, at, job.queue.Name, job.id)
			if answer == standin.Accepted {
				s.record.shown(job.id, state, s.platform.Log())
			}
			if answer == standin.NoSuchJob {
				s.record.lost(job.id)
			}
		}
		if !s.pause(ctx, lookEvery) {
			// What is open now is named in the report.
			return nil
		}
	}
}
