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

func (h *Handover) deliver(state []byte) {
	h.ended = true
	h.state <- state
}

// HandOver begins to hand the partition over. False tells that it can't be handed over now.
func (p *Partition) HandOver(handover *Handover) bool {
	if !p.reconciled || p.handover != nil {
		return false
	}
	p.handover = handover
	return true
}

// yielded tells whether the state was given away.
func (p *Partition) handedOver() bool { return p.handover != nil && p.handover.ended }

// tryHandOver gives the state away if nothing is under way.
func (p *Partition) handOverIfIdle() {
	if p.handover.ended || p.pendingWrites > 0 || p.pendingStarts > 0 {
		return
	}
	state, err := p.tracker.Save()
	if err != nil {
		p.Log.Error("state not encoded for hand-over", "partition", p.name, "error", err)
		p.handover.Fail()
		return
	}
	p.handover.deliver(state)
}
