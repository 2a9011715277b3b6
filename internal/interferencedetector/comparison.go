package interferencedetector

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxCompared is the number of runs of a step that are compared at once.
const maxCompared = 32

// runWeight is the weight of each other run of the step in the expectation of a run.
const runWeight = 1 / (runDeviation * runDeviation)

// comparison compares the runs of a step with each other.
type comparison struct {
	// pairs are the pairs of the step's kind with the neighbours of any of the runs, keys their keys.
	pairs []*pair
	keys  []pairKey
	// shares holds the share of each pair in each run, and totals their sums by pair.
	shares, totals []float64
	levels         []float64
	total          float64
}

// RunEnded learns from a run of a step and returns the pairs that have become known and those that are not known any
// more. last is set if no other task of the step is to end. The result is valid until the next call.
func (d *Detector) RunEnded(step *Step, run Run, last bool) []Change {
	d.changes = d.changes[:0]
	if run.Ratio > 0 {
		step.runs = append(step.runs, run)
	}
	if len(step.runs) > 0 && (last || len(step.runs) >= maxCompared) {
		d.compare(step.runs)
		step.runs = nil
	}
	return d.changes
}

// compare learns from runs of one step.
func (d *Detector) compare(runs []Run) {
	c := &d.comparison
	latest := &runs[len(runs)-1]
	k := d.kindOf(latest.Kind, latest.At)
	k.fade(latest.At)
	d.load(runs)
	kindLevel, kindWeight := k.level.value(levelPrior), k.levelWeight()
	otherWeight := kindWeight + runWeight*float64(len(runs)-1)
	weight := 1 / (runDeviation*runDeviation + 1/otherWeight)
	for i := range runs {
		// The other runs of the step tell what to expect of this one.
		expected := (kindWeight*kindLevel + runWeight*(c.total-c.levels[i])) / otherWeight
		deviation := min(max(c.levels[i]-expected, -maxDeviation), maxDeviation)
		for j, p := range c.pairs {
			share := c.shares[i*len(c.pairs)+j]
			usual := (kindWeight*p.usualShare(k) + runWeight*(c.totals[j]-share)) / otherWeight
			p.record(&runs[i], share, share-usual, weight, deviation)
		}
		if speed := runs[i].Speed; speed != nil {
			speed.record(1-runWeight*float64(othersOnWorker(runs, i))/otherWeight, weight, deviation)
		}
		k.variance.add(weight*deviation*deviation, 1)
	}
	stepDeviation := c.total/float64(len(runs)) - kindLevel
	k.stepVariance.add(stepDeviation*stepDeviation, 1)
	for i := range runs {
		k.runs++
		k.level.add(c.levels[i], 1/float64(len(runs)))
		for j, p := range c.pairs {
			p.shared += c.shares[i*len(c.pairs)+j]
		}
	}
	for j, p := range c.pairs {
		p.apply()
		if d.pairs[c.keys[j]] == p {
			d.update(k, p, c.keys[j])
		}
	}
	for i := range runs {
		if runs[i].Speed != nil {
			runs[i].Speed.apply()
		}
	}
}

// load collects the shares and the levels of the runs. The level of a run is the part of its duration that
// its worker and its neighbours do not explain.
func (d *Detector) load(runs []Run) {
	c := &d.comparison
	c.pairs, c.keys = c.pairs[:0], c.keys[:0]
	for i := range runs {
		for _, neighbour := range runs[i].Neighbours {
			if c.index(neighbour.Kind) < 0 {
				key := pairKey{runs[i].Kind, neighbour.Kind}
				c.pairs, c.keys = append(c.pairs, d.pairOf(key, runs[i].At)), append(c.keys, key)
				if other := d.kinds[neighbour.Kind]; other != nil {
					other.fade(runs[i].At)
				}
			}
		}
	}
	c.shares, c.totals, c.levels, c.total = resize(c.shares, len(runs)*len(c.pairs)), resize(c.totals, len(c.pairs)), resize(c.levels, len(runs)), 0
	for i := range runs {
		c.levels[i] = math.Log(runs[i].Ratio)
		if runs[i].Speed != nil {
			c.levels[i] -= runs[i].Speed.value()
		}
		for _, neighbour := range runs[i].Neighbours {
			j := c.index(neighbour.Kind)
			c.shares[i*len(c.pairs)+j] = neighbour.Share
			c.totals[j] += neighbour.Share
			c.levels[i] -= c.pairs[j].value() * neighbour.Share
		}
		c.total += c.levels[i]
	}
}

func (c *comparison) index(neighbour Kind) int {
	for i := range c.keys {
		if c.keys[i].neighbour == neighbour {
			return i
		}
	}
	return -1
}

// resize returns a slice of the given length with all values zero, which may reuse the old one.
func resize(values []float64, length int) []float64 {
	if cap(values) < length {
		return make([]float64, length)
	}
	values = values[:length]
	clear(values)
	return values
}

// levelWeight returns the weight of the level of the kind in the expectation of a run.
func (k *kind) levelWeight() float64 {
	variance := (k.stepVariance.sum + stepPrior*stepDeviation*stepDeviation) / (k.stepVariance.weight + stepPrior)
	return 1 / max(variance, minStepDeviation*minStepDeviation)
}

func othersOnWorker(runs []Run, index int) int {
	count := 0
	for i := range runs {
		if i != index && runs[i].Speed == runs[index].Speed {
			count++
		}
	}
	return count
}

// usualShare returns the mean share of the kind's runs during which the neighbour was present.
func (p *pair) usualShare(k *kind) float64 {
	if k.runs < 1 {
		return 0
	}
	return min(1, p.shared/k.runs)
}

// record adds a run to the evidence. contrast is by how much more of its time than expected the run shared
// with the neighbour, deviation by how much longer it took.
func (p *pair) record(run *Run, share, contrast, weight, deviation float64) {
	partial := deviation + contrast*p.value()
	p.pending.sum += weight * contrast * partial
	p.pending.weight += weight * contrast * contrast
	if share >= minSlowShare && contrast > 0 && partial > contrast*foundEffect {
		p.slowOn |= 1 << (xxhash.Sum64String(run.Worker) % 64)
	}
}

// minSlowShare is the share of a run from which it counts as slow on its worker.
const minSlowShare = 0.5

// apply makes the recorded evidence effective. Until then all runs of a step are judged alike.
func (p *pair) apply() {
	unexplained := p.pending.sum - p.value()*p.pending.weight
	p.variation += unexplained * unexplained
	p.steps++
	p.effect.sum += p.pending.sum
	p.effect.weight += p.pending.weight
	p.pending = mean{}
}

func (s *Speed) record(contrast, weight, deviation float64) {
	s.pending.sum += weight * contrast * (deviation + contrast*s.value())
	s.pending.weight += weight * contrast * contrast
}

func (s *Speed) apply() {
	s.estimate.limit(maxSpeedWeight)
	s.estimate.sum += s.pending.sum
	s.estimate.weight += s.pending.weight
	s.pending = mean{}
}
