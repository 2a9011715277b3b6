package partitioncontroller

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
)

// answered is the end of a call.
type answered struct {
	answer modeler.Answer
	err    error
}

// call runs a message on the control goroutine and waits for the one reply that it gives.
func (c *Controller) call(ctx context.Context, partition, key string, message func(p *partitionscheduler.Partition, reply partitionscheduler.Reply)) (modeler.Answer, error) {
	replies := make(chan answered, 1)
	reply := func(answer modeler.Answer, err error) {
		select {
		case replies <- answered{answer: answer, err: err}:
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
	case got := <-replies:
		return got.answer, got.err
	case <-c.ctx.Done():
		return modeler.Answer{}, &modeler.NotOwnerError{Partition: partition}
	case <-ctx.Done():
		return c.present(partition, key)
	}
}

// presentPatience bounds how long a call that ran out of time waits for what is known so far.
const presentPatience = time.Second

// present returns what is known of a key now, for a call whose time is over.
func (c *Controller) present(partition, key string) (modeler.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), presentPatience)
	defer cancel()
	var answer modeler.Answer
	var err error = &modeler.UndecidedError{Key: key}
	failure := c.view(ctx, func() {
		p := c.partitions[partition]
		if p == nil {
			err = &modeler.NotOwnerError{Partition: partition}
			return
		}
		if known, accepted := p.CurrentAnswer(key); accepted {
			answer, err = known, nil
		}
	})
	if failure != nil {
		return modeler.Answer{}, &modeler.UndecidedError{Key: key}
	}
	return answer, err
}

// Submit takes a job. When ctx ends first, the answer tells the state so far, or the error is an
// *modeler.UndecidedError.
func (c *Controller) Submit(ctx context.Context, submission partitionscheduler.Submission) (modeler.Answer, error) {
	digest, err := submission.Job.Digest()
	if err != nil {
		return modeler.Answer{}, err
	}
	return c.call(ctx, submission.Partition, submission.Key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Submit(submission, digest, reply)
	})
}

// Status tells the state of a key; with wait it holds the answer back until the job is final.
func (c *Controller) Status(ctx context.Context, partition, key string, wait bool) (modeler.Answer, error) {
	return c.call(ctx, partition, key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Status(key, wait, reply)
	})
}

// Cancel ends a job and returns its final answer, or the state so far when ctx ends first.
func (c *Controller) Cancel(ctx context.Context, partition, key string) (modeler.Answer, error) {
	return c.call(ctx, partition, key, func(p *partitionscheduler.Partition, reply partitionscheduler.Reply) {
		p.Cancel(key, reply)
	})
}

// HandOver stops placing in a partition, waits until nothing durable is under way, and returns the
// state for the successor. The partition changes nothing more after that: the caller has to move
// the ownership and drop it.
func (c *Controller) HandOver(ctx context.Context, partition string) ([]byte, error) {
	yielding := partitionscheduler.NewHandover()
	c.post(func() {
		p := c.partitions[partition]
		if p == nil || !p.HandOver(yielding) {
			yielding.Fail()
		}
	})
	select {
	case state, open := <-yielding.State():
		if !open {
			return nil, &modeler.NotOwnerError{Partition: partition}
		}
		return state, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
