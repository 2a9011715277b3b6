package partitionscheduler

// Handover is the hand-over of a partition to another instance. After the state has been delivered,
// the partition makes no further changes.
type Handover struct {
	state chan []byte
	ended bool
}

// NewHandover returns a hand-over that has not started.
func NewHandover() *Handover { return &Handover{state: make(chan []byte, 1)} }

// State returns a channel that delivers the state for the next owner, or is closed if the hand-over
// fails.
func (h *Handover) State() <-chan []byte { return h.state }

// Fail ends the hand-over without a state. It must be called on the control goroutine, like deliver
// and the methods of Partition.
func (h *Handover) Fail() {
	if !h.ended {
		h.ended = true
		close(h.state)
	}
}

// deliver sends the state to the channel and ends the hand-over.
func (h *Handover) deliver(state []byte) {
	h.ended = true
	h.state <- state
}

// HandOver starts the hand-over of the partition. It returns false if the partition can't be handed
// over now.
func (p *Partition) HandOver(handover *Handover) bool {
	if !p.reconciled || p.handover != nil {
		return false
	}
	p.handover = handover
	return true
}

// handoverEnded reports whether the hand-over has delivered the state or failed.
func (p *Partition) handoverEnded() bool { return p.handover != nil && p.handover.ended }

// handOverIfIdle delivers the state if no writes or starts are pending.
func (p *Partition) handOverIfIdle() {
	if p.handover.ended || p.pendingWrites > 0 || p.pendingStarts > 0 {
		return
	}
	state, err := p.tracker.Save()
	if err != nil {
		p.Log.Error("encoding the state for the hand-over failed", "partition", p.name, "error", err)
		p.handover.Fail()
		return
	}
	p.handover.deliver(state)
}
