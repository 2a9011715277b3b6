package partitioncontroller

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
)

// callResult is the result of a call.
type callResult struct {
	answer modeler.Answer
	err    error
}

// call runs a message on the control goroutine and waits for its reply. If ctx ends first, it
// returns the current state of the key.
func (c *Controller) call(ctx context.Context, partition, key string, message func(p *partitionscheduler.Partition, reply partitionscheduler.Reply)) (modeler.Answer, error) {
	replies := make(chan callResult, 1)
	reply := func(answer modeler.Answer, err error) {
		select {
		case replies <- callResult{answer: answer, err: err}:
		default:
		}
	}
	c.post(func() {
		p := c.partitions[partition]
		if p == nil {
			reply(modeler.Answer{}, &modeler.NotOwnerError{Partition: partition})
			return
		}
		message(p, reply)
	})
	select {
	case result := <-replies:
		return result.answer, result.err
	case <-c.ctx.Done():
		return modeler.Answer{}, &modeler.NotOwnerError{Partition: partition}
	case <-ctx.Done():
		return c.currentAnswer(partition, key)
	}
}

// currentAnswerTimeout bounds how long a call whose context has ended waits for the current state
// of its key.
const currentAnswerTimeout = time.Second

// currentAnswer returns the current state of a key for a call whose context has ended.
func (c *Controller) currentAnswer(partition, key string) (modeler.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), currentAnswerTimeout)
	defer cancel()
	var answer modeler.Answer
	var err error = &modeler.UndecidedError{Key: key}
	waitErr := c.runAndWait(ctx, func() {
		p := c.partitions[partition]
		if p == nil {
			err = &modeler.NotOwnerError{Partition: partition}
			return
		}
		if known, accepted := p.CurrentAnswer(key); accepted {
			answer, err = known, nil
		}
	})
	if waitErr != nil {
		return modeler.Answer{}, &modeler.UndecidedError{Key: key}
	}
	return answer, err
}

// Submit accepts a job. If ctx ends first, it returns the current state, or a
// *modeler.UndecidedError if it is not known whether the job was accepted.
func (c *Controller) Submit(ctx context.Context, submission partitionscheduler.Submission) (modeler.Answer, error) {
	digest, err := submission.Job.Digest()
	if err != nil {
		return modeler.Answer{}, err
	}
	return c.call(ctx, submission.Partition, submission.Key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Submit(submission, digest, reply)
	})
}

// Status returns the state of a key. With wait, it returns only when the job is final or ctx ends.
func (c *Controller) Status(ctx context.Context, partition, key string, wait bool) (modeler.Answer, error) {
	return c.call(ctx, partition, key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Status(key, wait, reply)
	})
}

// Cancel cancels a job and returns its final answer, or the current state if ctx ends first.
func (c *Controller) Cancel(ctx context.Context, partition, key string) (modeler.Answer, error) {
	return c.call(ctx, partition, key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Cancel(key, reply)
	})
}

// HandOver stops scheduling in a partition, waits until no durable operation is in flight, and
// returns the state for the successor. The partition does not change after that: the caller must
// transfer the lease and drop the partition.
func (c *Controller) HandOver(ctx context.Context, partition string) ([]byte, error) {
	handover := partitionscheduler.NewHandover()
	c.post(func() {
		p := c.partitions[partition]
		if p == nil || !p.HandOver(handover) {
			handover.Fail()
		}
	})
	select {
	case state, open := <-handover.State():
		if !open {
			return nil, &modeler.NotOwnerError{Partition: partition}
		}
		return state, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
