package interferencedetector

import (
	"slices"
	"time"
)

func (d *Detector) kindOf(key Kind, at time.Time) *kind {
	k := d.kinds[key]
	if k == nil {
		if len(d.kinds) >= maxKinds {
			d.evictKinds()
		}
		k = &kind{seenAt: at}
		d.kinds[key] = k
	}
	return k
}

func (d *Detector) pairOf(key pairKey, at time.Time) *pair {
	p := d.pairs[key]
	if p == nil {
		if len(d.pairs) >= maxPairs {
			d.evictPairs()
		}
		p = &pair{seenAt: at, rotateAt: at.Add(halfLife)}
		d.pairs[key] = p
	}
	p.fade(at)
	return p
}

// evictKinds removes the kinds that were not seen for the longest time, with their pairs.
func (d *Detector) evictKinds() {
	times := make([]time.Time, 0, len(d.kinds))
	for _, k := range d.kinds {
		times = append(times, k.seenAt)
	}
	until := evictionTime(times)
	evicted := make(map[Kind]bool)
	for key, k := range d.kinds {
		if !k.seenAt.After(until) && len(evicted) < maxKinds/evictedShare {
			evicted[key] = true
		}
	}
	d.removePairs(func(p pairKey) bool { return evicted[p.slowed] || evicted[p.neighbour] })
	for key := range evicted {
		delete(d.kinds, key)
	}
}

// evictPairs removes the pairs that were not seen for the longest time.
func (d *Detector) evictPairs() {
	times := make([]time.Time, 0, len(d.pairs))
	for _, p := range d.pairs {
		times = append(times, p.seenAt)
	}
	until, evicted := evictionTime(times), 0
	d.removePairs(func(key pairKey) bool {
		if d.pairs[key].seenAt.After(until) || evicted >= maxPairs/evictedShare {
			return false
		}
		evicted++
		return true
	})
}

// evictionTime returns the time up to which entries last seen at the given times are evicted.
func evictionTime(times []time.Time) time.Time {
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)/evictedShare]
}

func (d *Detector) removePairs(matches func(pairKey) bool) {
	for key, p := range d.pairs {
		if !matches(key) {
			continue
		}
		if p.found {
			d.set(p, key, false)
		}
		delete(d.pairs, key)
	}
}

// Size returns the numbers of kinds and of pairs of which anything is known.
func (d *Detector) Size() (kinds, pairs int) { return len(d.kinds), len(d.pairs) }
