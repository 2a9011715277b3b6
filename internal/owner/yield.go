package owner

import (
	"context"
)

// yielding is a hand-over under way. State is set once it was given away; from then on the
// partition changes nothing more.
type yielding struct {
	reply chan []byte
	given bool
}

func (y *yielding) fail() {
	if !y.given {
		close(y.reply)
	}
}

// yielded tells whether the state was given away.
func (p *partition) yielded() bool { return p.yielding != nil && p.yielding.given }

// Yield stops placing in a partition, waits until nothing durable is under way, and returns the
// state for the successor. The partition changes nothing more after that: the caller has to move
// the ownership and drop it.
func (c *Control) Yield(ctx context.Context, partition string) ([]byte, error) {
	y := &yielding{reply: make(chan []byte, 1)}
	c.post(func() {
		p := c.partitions[partition]
		if p == nil || !p.settled || p.yielding != nil {
			close(y.reply)
			return
		}
		p.yielding = y
	})
	select {
	case state, open := <-y.reply:
		if !open {
			return nil, &NotOwnerError{Partition: partition}
		}
		return state, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// tryYield gives the state away if nothing is under way.
func (p *partition) tryYield() {
	if p.yielding.given || p.writing > 0 || p.starting > 0 {
		return
	}
	state, err := p.book.Save()
	if err != nil {
		p.control.Log.Error("state not encoded for hand-over", "partition", p.name, "error", err)
		p.yielding.fail()
		p.yielding = nil
		return
	}
	p.yielding.given = true
	p.yielding.reply <- state
}
