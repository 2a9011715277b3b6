package partitionscheduler

// Handover is a hand-over under way. Once the state was given away the partition changes nothing
// more.
type Handover struct {
	state chan []byte
	ended bool
}

// NewHandover returns a hand-over that was not begun.
func NewHandover() *Handover { return &Handover{state: make(chan []byte, 1)} }

// State delivers the state for the successor, or is closed if there will be none.
func (h *Handover) State() <-chan []byte { return h.state }

// Fail ends the hand-over without a state. It runs on the control goroutine, like all that follows.
func (h *Handover) Fail() {
	if !h.ended {
		h.ended = true
		close(h.state)
	}
}

func (h *Handover) give(state []byte) {
	h.ended = true
	h.state <- state
}

// HandOver begins to hand the partition over. False tells that it can't be handed over now.
func (p *Partition) HandOver(yielding *Handover) bool {
	if !p.settled || p.yielding != nil {
		return false
	}
	p.yielding = yielding
	return true
}

// yielded tells whether the state was given away.
func (p *Partition) yielded() bool { return p.yielding != nil && p.yielding.ended }

// tryHandOver gives the state away if nothing is under way.
func (p *Partition) tryHandOver() {
	if p.yielding.ended || p.writing > 0 || p.starting > 0 {
		return
	}
	state, err := p.book.Save()
	if err != nil {
		p.Log.Error("state not encoded for hand-over", "partition", p.name, "error", err)
		p.yielding.Fail()
		return
	}
	p.yielding.give(state)
}
