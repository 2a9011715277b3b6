package interferencedetector

import "time"

// maxPresentKinds is the number of kinds of which a worker records the presence. The kinds that are no longer
// present are removed when it is reached, the one that left first before the others.
const maxPresentKinds = 32

// Presence records for how long tasks of each kind have been present on one worker. The zero value is that of
// a worker without tasks.
type Presence struct{ kinds []presentKind }

type presentKind struct {
	kind  Kind
	count int
	// single and double are how long at least one and at least two tasks were present until changedAt.
	single, double     time.Duration
	addedAt, changedAt time.Time
}

// Mark is a reading of a Presence for one task.
type Mark struct {
	at time.Time
	// singles are the durations of the kinds in milliseconds, in the order of the Presence, so that the
	// marks of many tasks stay small. double is that of the task's own kind.
	singles []uint32
	double  time.Duration
}

// advance updates the durations of the kind.
func (k *presentKind) advance(now time.Time) {
	elapsed := now.Sub(k.changedAt)
	if k.count >= 1 {
		k.single += elapsed
	}
	if k.count >= 2 {
		k.double += elapsed
	}
	k.changedAt = now
}

// Add records that a task has started and returns a reading for its end.
func (p *Presence) Add(kind Kind, now time.Time) Mark {
	found := p.find(kind)
	if found == nil {
		found = p.insert(kind, now)
	}
	if found != nil {
		found.advance(now)
		found.count++
	}
	return p.mark(kind, now)
}

// Remove records that a task has ended.
func (p *Presence) Remove(kind Kind, now time.Time) {
	if found := p.find(kind); found != nil && found.count > 0 {
		found.advance(now)
		found.count--
	}
}

// Has reports whether a task of the kind is present.
func (p *Presence) Has(kind Kind) bool {
	found := p.find(kind)
	return found != nil && found.count > 0
}

func (p *Presence) find(kind Kind) *presentKind {
	for i := range p.kinds {
		if p.kinds[i].kind == kind {
			return &p.kinds[i]
		}
	}
	return nil
}

// insert adds a kind and returns nil if too many kinds are present.
func (p *Presence) insert(kind Kind, now time.Time) *presentKind {
	entry := presentKind{kind: kind, addedAt: now, changedAt: now}
	if len(p.kinds) < maxPresentKinds {
		p.kinds = append(p.kinds, entry)
		return &p.kinds[len(p.kinds)-1]
	}
	oldest := -1
	for i := range p.kinds {
		if p.kinds[i].count == 0 && (oldest < 0 || p.kinds[i].changedAt.Before(p.kinds[oldest].changedAt)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	p.kinds[oldest] = entry
	return &p.kinds[oldest]
}

func (p *Presence) mark(of Kind, now time.Time) Mark {
	mark := Mark{at: now, singles: make([]uint32, len(p.kinds))}
	for i := range p.kinds {
		p.kinds[i].advance(now)
		mark.singles[i] = uint32(p.kinds[i].single.Milliseconds())
		if p.kinds[i].kind == of {
			mark.double = p.kinds[i].double
		}
	}
	return mark
}

// Shares appends to shares, for each kind, the share of the time since the mark during which tasks of the
// kind were present besides the task of the given kind that took the mark.
func (p *Presence) Shares(shares []Share, of Kind, mark Mark, now time.Time) []Share {
	total := now.Sub(mark.at)
	if total <= 0 {
		return shares
	}
	for i := range p.kinds {
		k := &p.kinds[i]
		k.advance(now)
		present := k.since(mark, i)
		if k.kind == of {
			present = k.double - mark.double
		}
		if share := present.Seconds() / total.Seconds(); share >= minShare {
			shares = append(shares, Share{Kind: k.kind, Share: min(1, share)})
		}
	}
	return shares
}

// minShare is the share below which a neighbour is ignored.
const minShare = 0.02

// since returns how long tasks of the kind at an index have been present since a mark.
func (k *presentKind) since(mark Mark, index int) time.Duration {
	if index >= len(mark.singles) || k.addedAt.After(mark.at) {
		return k.single
	}
	// The difference is right even if the milliseconds have overflowed.
	return time.Duration(uint32(k.single.Milliseconds())-mark.singles[index]) * time.Millisecond
}
