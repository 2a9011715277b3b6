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
	// maxSubmitAttempts is how often a caller tries to submit a job; retryDelay is the least time
	// between two attempts.
	maxSubmitAttempts = 8
	retryDelay        = 300 * time.Millisecond
	// statePollInterval is the time between two queries for the state of a job.
	statePollInterval = 100 * time.Millisecond
)

// jobID returns the ID of a job: the number of its queue and its number in the queue.
func jobID(queue, number uint64) string { return fmt.Sprintf("%04x%012x", queue, number) }

// generateLoad submits jobs to a queue until the context ends. The times between jobs are exponentially
// distributed around the rate of the queue.
func (s *scenario) generateLoad(ctx context.Context, queue *Queue, number uint64) {
	random := rand.New(rand.NewPCG(s.Plan.Seed, number+2))
	var group sync.WaitGroup
	defer group.Wait()
	for count := uint64(1); ; count++ {
		pause := time.Duration(random.ExpFloat64() / queue.JobsPerSecond * float64(time.Second))
		if !s.sleep(ctx, pause) {
			return
		}
		seed := random.Uint64()
		group.Go(func() { s.submitJob(ctx, queue, jobID(number, count), rand.New(rand.NewPCG(seed, count))) })
	}
}

// submitJob submits a job and retries until it is accepted or the attempts are used up, then follows an
// accepted job to its final state.
func (s *scenario) submitJob(ctx context.Context, queue *Queue, id string, random *rand.Rand) {
	s.recorder.recordSubmission(queue, id, random.Float64() < queue.CrashingShare)
	for range maxSubmitAttempts {
		address, up := s.randomInstance(random)
		if !up {
			if !s.sleep(ctx, retryDelay) {
				return
			}
			continue
		}
		sentAt := s.Clock.Now()
		answer, after := s.caller.Submit(context.WithoutCancel(ctx), address, queue.Name, id, queue.steps(time.Duration(s.Plan.TaskDuration)))
		s.recorder.recordAnswer(id, answer, s.Clock.Since(sentAt))
		if answer == standin.Accepted {
			s.pollUntilFinal(ctx, queue, id, random)
			return
		}
		if !s.sleep(ctx, max(after, retryDelay)) {
			return
		}
	}
}

// pollUntilFinal queries the state of a job until it is final or the context ends. It polls while the
// load runs because instances retain final states for a limited time only.
func (s *scenario) pollUntilFinal(ctx context.Context, queue *Queue, id string, random *rand.Rand) {
	for s.sleep(ctx, statePollInterval) {
		if s.pollState(ctx, queue.Name, id, random) {
			return
		}
	}
}

// pollState asks a random instance for the state of a job, records the answer and reports whether the
// state is final.
func (s *scenario) pollState(ctx context.Context, queue, id string, random *rand.Rand) bool {
	address, up := s.randomInstance(random)
	if !up {
		return false
	}
	state, answer := s.caller.State(ctx, address, queue, id)
	switch answer {
	case standin.Accepted:
		s.recorder.recordState(id, state, s.platform.ExecutionLog())
		return state.Final()
	case standin.NoSuchJob:
		s.recorder.recordLostJob(id)
		return true
	case standin.Undecided, standin.NotAccepted, standin.NoSuchQueue, standin.BadRequest:
	}
	return false
}

// awaitOpenJobs waits until all accepted jobs have a final state, or until the timeout.
func (s *scenario) awaitOpenJobs(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, settleTimeout)
	defer cancel()
	for {
		open := s.recorder.openJobs()
		if len(open) == 0 {
			return nil
		}
		for _, job := range open {
			s.pollState(ctx, job.queue.Name, job.id, s.random)
		}
		if !s.sleep(ctx, statePollInterval) {
			// The report lists the jobs that are still open.
			return nil
		}
	}
}
