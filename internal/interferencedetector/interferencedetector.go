// Package interferencedetector learns which kinds of tasks slow each other down when they run on the same
// worker. It does no I/O and reads no clock.
//
// # Usage
//
//	changes := detector.RunEnded(&step, interferencedetector.Run{
//		Kind: kind, Ratio: ratio, Neighbours: shares, Worker: worker, Speed: &speed, At: now,
//	}, isLast)
//	for _, partner := range detector.Partners(kind) { ... }
//
// The logarithm of a run's duration relative to its estimate is modelled as the sum of the level of its step,
// the speed of its worker and, for each kind of neighbour, the share of the run during which one was present
// times the effect of that kind. All terms are fitted together, so that a slow worker is not taken for a slow
// neighbour and the reverse. The runs of one step are compared with each other, which removes most of the
// error of its estimate.
//
// A pair of kinds is found once the effect is large, certain and seen on several workers, and cleared once
// it is small or the evidence is old. The package is designed for 300 images, a few of which disturb each
// other, for estimates that are wrong by a factor of two, and for a few hundred ends of runs a second.
package interferencedetector

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// maxKinds and maxPairs bound the memory of a detector. The least recently seen are evicted.
	maxKinds = 300
	maxPairs = 4096
	// evictedShare is the divisor of maxKinds or maxPairs that are evicted together.
	evictedShare = 16
	// halfLife is how long it takes for evidence to lose half of its weight.
	halfLife = time.Hour
)

const (
	// minShared is the number of runs beside a kind, and minUnshared that without it, before a pair is
	// found. The evidence of a run that was shared for half of its time counts as half a run.
	minShared   = 8
	minUnshared = 8
	// minSteps is the number of steps that the shared runs belong to.
	minSteps = 8
	// minWorkers is the number of workers on which shared runs must have been slow.
	minWorkers = 3
	// foundSlowdown is the slowdown from which a pair is found, clearedSlowdown that below which it is
	// cleared. Hysteresis keeps a pair from being found and cleared in turn.
	foundSlowdown   = 1.3
	clearedSlowdown = 1.15
	// confidence is the number of standard errors by which the effect must exceed zero.
	confidence = 5
	// minKept is the number of shared runs below which a found pair is cleared.
	minKept = 2
)

const (
	// stepDeviation is the expected standard deviation of the logarithm of the error of a step's estimate,
	// minStepDeviation the least that is assumed after it was measured. runDeviation is that of the
	// durations of the tasks of one step.
	stepDeviation    = 0.7
	minStepDeviation = 0.15
	runDeviation     = 0.25
	// maxDeviation limits the influence of one run.
	maxDeviation = 1.4
	// maxSpeedWeight limits the memory of a worker's speed to about twenty runs.
	maxSpeedWeight = 20 / (runDeviation * runDeviation)
)

// The priors are the weights of the assumption that a term is zero.
const (
	levelPrior  = 1
	stepPrior   = 4
	effectPrior = 12
	speedPrior  = 12
)

var foundEffect, clearedEffect = math.Log(foundSlowdown), math.Log(clearedSlowdown)

// Kind identifies tasks that are expected to behave alike.
type Kind struct {
	// Image is the image that the tasks run. The other fields are set only if it is not known.
	Image string
	Queue string
	// Size is the class of the processors that a task reserves. Each class is twice the one before.
	Size int
}

// Share is the share of a run during which neighbours of a kind were present, 0 to 1.
type Share struct {
	Kind  Kind
	Share float64
}

// Run is a run that has ended, or a look at a run that has no end.
type Run struct {
	Kind Kind
	// Ratio is the duration divided by its estimate or, of a run without an end, the value that is to stay
	// below its target divided by the target.
	Ratio float64
	// Neighbours are the kinds of tasks that were present on the worker, each at most once. RunEnded keeps
	// the slice.
	Neighbours []Share
	Worker     string
	// Speed is the speed of the worker, or nil if the ratio does not depend on it.
	Speed *Speed
	At    time.Time
}

// Speed is how much slower than others a worker runs all kinds of tasks. The zero value is that of a worker
// of which nothing is known.
type Speed struct{ estimate, pending mean }

// Slowdown returns the ratio of run times on the worker to the usual run times.
func (s *Speed) Slowdown() float64 { return math.Exp(s.value()) }

func (s *Speed) value() float64 { return s.estimate.value(speedPrior) }

// Step holds the runs of one step that have ended and have not been compared with each other yet.
type Step struct{ runs []Run }

// Pair is a kind of tasks and a kind of neighbours that slows it down.
type Pair struct {
	Slowed, Neighbour Kind
	// Slowdown is the ratio of run times beside such a neighbour to those without it.
	Slowdown float64
	// Shared is the number of shared runs that are the evidence, and Workers a lower bound for the number
	// of workers on which they were slow.
	Shared  float64
	Workers int
}

// Change reports that a pair was found or cleared.
type Change struct {
	Pair
	Found bool
}

// Partner is a kind beside which tasks of a given kind should not be placed.
type Partner struct {
	Kind Kind
	// Cost is by how much such a neighbour slows a run down, as a fraction of its duration, plus by how
	// much the run slows down the neighbour.
	Cost float64
}

// kind is what is known about a kind.
type kind struct {
	level mean
	// stepVariance is the variance of the levels of steps.
	stepVariance mean
	// variance is that of the deviations of runs of weight 1.
	variance mean
	runs     float64
	seenAt   time.Time
	// partners are the kinds that found pairs combine with this one.
	partners []Partner
}

type pairKey struct{ slowed, neighbour Kind }

type pair struct {
	effect, pending mean
	// variation is the sum over steps of the squared deviations of their evidence.
	variation float64
	// shared is the number of shared runs, steps that of the steps with such runs.
	shared, steps float64
	// slowOn and wasSlowOn are sets of hashed workers on which shared runs were slow, in the current
	// half-life, which ends at rotateAt, and the one before.
	slowOn, wasSlowOn uint64
	rotateAt          time.Time
	seenAt            time.Time
	found             bool
}

// Detector learns which kinds of tasks slow each other down. It is not safe for concurrent use.
type Detector struct {
	kinds map[Kind]*kind
	pairs map[pairKey]*pair
	found int
	// comparison is used while runs are compared.
	comparison comparison
	changes    []Change
}

// New returns a detector that knows nothing.
func New() *Detector {
	return &Detector{kinds: make(map[Kind]*kind), pairs: make(map[pairKey]*pair)}
}

// Found returns the number of pairs that are known to slow each other down. A pair that does so in both
// directions counts twice.
func (d *Detector) Found() int { return d.found }

// Partners returns the kinds that found pairs combine with a kind. The result must not be changed.
func (d *Detector) Partners(of Kind) []Partner {
	if d.found == 0 {
		return nil
	}
	if k := d.kinds[of]; k != nil {
		return k.partners
	}
	return nil
}

// Explained returns the slowdown that found pairs explain of a run with the given neighbours, at least 1.
func (d *Detector) Explained(of Kind, neighbours []Share) float64 {
	if d.found == 0 {
		return 1
	}
	effect := 0.0
	for i := range neighbours {
		if p := d.pairs[pairKey{of, neighbours[i].Kind}]; p != nil && p.found {
			effect += p.value() * neighbours[i].Share
		}
	}
	return math.Exp(max(0, effect))
}

func (k *kind) fade(at time.Time) {
	age := at.Sub(k.seenAt)
	if age < minFadeAge {
		return
	}
	factor := fadeFactor(age)
	k.seenAt = at
	k.runs *= factor
	k.level.scale(factor)
	k.variance.scale(factor)
	k.stepVariance.scale(factor)
}

func (p *pair) fade(at time.Time) {
	age := at.Sub(p.seenAt)
	if age < minFadeAge {
		return
	}
	factor := fadeFactor(age)
	p.seenAt = at
	p.effect.scale(factor)
	p.variation *= factor
	p.shared *= factor
	p.steps *= factor
	if at.After(p.rotateAt) {
		p.wasSlowOn, p.slowOn, p.rotateAt = p.slowOn, 0, at.Add(halfLife)
	}
}

func (p *pair) value() float64 { return p.effect.value(effectPrior) }

func (p *pair) workers() int { return bits.OnesCount64(p.slowOn | p.wasSlowOn) }

// update finds or clears a pair.
func (d *Detector) update(slowed *kind, p *pair, key pairKey) {
	effect := p.value()
	switch {
	case !p.found && p.shared >= minShared && p.steps >= minSteps && slowed.runs-p.shared >= minUnshared &&
		p.workers() >= minWorkers && effect >= foundEffect && effect >= confidence*p.standardError(slowed):
		d.set(p, key, true)
	case p.found && (effect < clearedEffect || p.shared < minKept):
		d.set(p, key, false)
	}
}

// standardError returns the standard error of the effect: the one of independent runs or, if it is larger, the
// one of independent steps.
func (p *pair) standardError(slowed *kind) float64 {
	return math.Sqrt(max(slowed.variance.value(0)/p.effect.weight, p.variation/(p.effect.weight*p.effect.weight)))
}

func (d *Detector) set(p *pair, key pairKey, found bool) {
	p.found = found
	if found {
		d.found++
	} else {
		d.found--
	}
	d.changes = append(d.changes, Change{Pair: p.describe(key), Found: found})
	if found {
		d.kindOf(key.neighbour, p.seenAt)
	}
	d.updatePartners(key.slowed, key.neighbour)
	if key.slowed != key.neighbour {
		d.updatePartners(key.neighbour, key.slowed)
	}
}

func (p *pair) describe(key pairKey) Pair {
	return Pair{Slowed: key.slowed, Neighbour: key.neighbour, Slowdown: math.Exp(p.value()), Shared: p.shared, Workers: p.workers()}
}

// updatePartners updates the entry for other in the partners of a kind.
func (d *Detector) updatePartners(of, other Kind) {
	k := d.kinds[of]
	if k == nil {
		return
	}
	// A copy, because callers may hold the previous slice.
	partners := slices.DeleteFunc(slices.Clone(k.partners), func(p Partner) bool { return p.Kind == other })
	cost := 0.0
	for _, key := range []pairKey{{of, other}, {other, of}} {
		if p := d.pairs[key]; p != nil && p.found {
			cost += math.Expm1(p.value())
		}
	}
	if cost > 0 {
		partners = append(partners, Partner{Kind: other, Cost: cost})
	}
	k.partners = partners
}

// Expire clears the found pairs whose evidence is old at a time, and returns them. RunEnded does so only for
// the pairs that it looks at.
func (d *Detector) Expire(at time.Time) []Change {
	d.changes = d.changes[:0]
	if d.found == 0 {
		return nil
	}
	for key, p := range d.pairs {
		if p.found {
			p.fade(at)
			d.update(d.kinds[key.slowed], p, key)
		}
	}
	slices.SortFunc(d.changes, func(a, b Change) int {
		return cmp.Compare(a.Slowed.String()+a.Neighbour.String(), b.Slowed.String()+b.Neighbour.String())
	})
	return d.changes
}
