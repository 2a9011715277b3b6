package cellscheduler

import (
	"math/bits"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

const (
	// servingLookInterval is the time between two looks at the tail latency of a serving task, and the time
	// for which its neighbours must not have changed. Workers measure over half a second.
	servingLookInterval = 500 * time.Millisecond
	// expiryInterval is how often the known pairs are checked for old evidence.
	expiryInterval = time.Minute
	// minReportedSlowdown is the slowdown by neighbours from which the end of a run is logged with it.
	minReportedSlowdown = 1.1
)

// interference is what the scheduler knows about tasks that slow each other down.
type interference struct {
	detector     *interferencedetector.Detector
	nextExpiryAt time.Time
}

// workKind returns the kind of the tasks of a step. Tasks of one image behave alike. Without an image, those of
// one queue and about the same size are taken to.
func workKind(j *job, def *steptracker.Step) interferencedetector.Kind {
	if def.Image != "" {
		return interferencedetector.Kind{Image: def.Image}
	}
	return interferencedetector.Kind{Queue: j.progress.Queue, Size: bits.Len64(uint64(def.Needs.Processors))}
}

// beginPresence records that a run was assigned to its worker, beside the other runs there.
func (c *Scheduler) beginPresence(p *placement) {
	p.presenceMark = p.worker.presence.Add(workKind(p.job, p.step), c.now)
	p.worker.neighboursChangedAt = c.now
}

func (c *Scheduler) endPresence(p *placement) {
	p.worker.presence.Remove(workKind(p.job, p.step), c.now)
	p.worker.neighboursChangedAt = c.now
}

// recordInterference learns from the duration of a run, given as a ratio to its estimate. It returns the
// slowdown that known neighbours explain, 1 if none.
func (c *Scheduler) recordInterference(p *placement, ratio float64) float64 {
	s := p.job.steps[p.key.StepKey]
	if s == nil {
		return 1
	}
	kind := workKind(p.job, p.step)
	shares := p.worker.presence.Shares(nil, kind, p.presenceMark, c.now)
	explained := c.interference.detector.Explained(kind, shares)
	if explained >= minReportedSlowdown {
		c.Metrics.RunSlowed()
		c.Log.Info("run slowed by neighbours", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "kind", kind.String(), "slowdown", explained)
	}
	if p.durationIsComparable() {
		c.logPairs(c.interference.detector.RunEnded(&s.comparison, interferencedetector.Run{
			Kind: kind, Ratio: ratio, Neighbours: shares, Worker: p.worker.info.Worker, Speed: &p.worker.health.speed, At: c.now,
		}, s.isLast(p.key.Index)))
	}
	return explained
}

// durationIsComparable reports whether the duration of a run depends on its own worker and can be compared with
// that of other runs of the step: not that of a gang, of a task that runs from a checkpoint or away from its
// data, of one that gets only idle processor time, or of one that an earlier owner started.
func (p *placement) durationIsComparable() bool {
	return !p.orderedAt.IsZero() && !p.step.Gang && !p.step.BestEffort && (p.run == 1 || !p.step.Checkpoints) &&
		(p.step.DataRack == "" || p.step.DataRack == p.worker.info.Rack)
}

// isLast reports whether all tasks of the step but one are done.
func (s *step) isLast(task int) bool {
	for i := range s.tasks {
		if i != task && !s.tasks[i].Done {
			return false
		}
	}
	return true
}

// recordServingLook learns from the tail latency that a worker has listed for a serving task.
func (c *Scheduler) recordServingLook(p *placement) {
	s := p.job.steps[p.key.StepKey]
	if p.step.TailTarget <= 0 || p.metric <= 0 || s == nil || c.now.Sub(p.lookedAt) < servingLookInterval || c.now.Sub(p.worker.neighboursChangedAt) < servingLookInterval {
		return
	}
	p.lookedAt = c.now
	c.logPairs(c.interference.detector.RunEnded(&s.comparison, interferencedetector.Run{
		Kind: workKind(p.job, p.step), Ratio: float64(time.Duration(p.metric)*time.Millisecond) / float64(p.step.TailTarget),
		Neighbours: p.neighbours(), Worker: p.worker.info.Worker, At: c.now,
	}, false))
}

// neighbours returns the kinds of the other runs on the worker. The share of a throttled kind is the share of
// processor time that it may use.
func (p *placement) neighbours() []interferencedetector.Share {
	var shares []interferencedetector.Share
	for _, other := range p.worker.placements {
		if other == p || other.state != runStarted || other.cpuPercent == 0 {
			continue
		}
		kind, share := workKind(other.job, other.step), float64(other.cpuPercent)/100
		index := slices.IndexFunc(shares, func(s interferencedetector.Share) bool { return s.Kind == kind })
		if index < 0 {
			shares = append(shares, interferencedetector.Share{Kind: kind, Share: share})
		} else {
			shares[index].Share = max(shares[index].Share, share)
		}
	}
	return shares
}

// logPairs logs the pairs that have become known and those that are not known any more.
func (c *Scheduler) logPairs(changes []interferencedetector.Change) {
	for i := range changes {
		change := &changes[i]
		message := "interference found"
		if !change.Found {
			message = "interference cleared"
		}
		c.Log.Warn(message, "kind", change.Slowed.String(), "neighbour", change.Neighbour.String(), "slowdown", change.Slowdown, "runs", int(change.Shared), "workers", change.Workers)
		c.Metrics.PairChanged(change.Found)
	}
}

// expireInterference clears the pairs whose evidence is old.
func (c *Scheduler) expireInterference() {
	if c.now.After(c.interference.nextExpiryAt) {
		c.interference.nextExpiryAt = c.now.Add(expiryInterval)
		c.logPairs(c.interference.detector.Expire(c.now))
	}
}

// withdrawInterference takes the known pairs out of the metrics of the process.
func (c *Scheduler) withdrawInterference() {
	for range c.interference.detector.Found() {
		c.Metrics.PairChanged(false)
	}
}

// interferingKinds returns the kinds beside which tasks of the step should not be placed.
func (c *Scheduler) interferingKinds(s *step) []interferencedetector.Partner {
	if c.interference.detector.Found() == 0 {
		return nil
	}
	return c.interference.detector.Partners(workKind(s.job, s.def))
}

// interferenceWith returns by how much a task and the runs on the worker slow each other down.
func (w *worker) interferenceWith(partners []interferencedetector.Partner) float64 {
	cost := 0.0
	for i := range partners {
		if w.presence.Has(partners[i].Kind) {
			cost += partners[i].Cost
		}
	}
	return cost
}

// selfInterference returns by how much two tasks of the step slow each other down on one worker.
func (c *Scheduler) selfInterference(s *step) float64 {
	for _, partner := range c.interferingKinds(s) {
		if partner.Kind == workKind(s.job, s.def) {
			return partner.Cost
		}
	}
	return 0
}

// place chooses the candidates for tasks of the step, and logs by how much known pairs have changed the choice.
func (c *Scheduler) place(s *step, candidates []cellplacer.Candidate, request cellplacer.Request) []int {
	request.Interference = c.selfInterference(s)
	if request.Interference == 0 && !slices.ContainsFunc(candidates, func(candidate cellplacer.Candidate) bool { return candidate.Interference > 0 }) {
		return cellplacer.Place(candidates, request)
	}
	costs := make([]float64, len(candidates))
	indifferent := slices.Clone(candidates)
	for i := range indifferent {
		costs[i], indifferent[i].Interference = indifferent[i].Interference, 0
	}
	chosen := cellplacer.Place(candidates, request)
	self := request.Interference
	request.Interference = 0
	before, after := countDisturbed(cellplacer.Place(indifferent, request), costs, self), countDisturbed(chosen, costs, self)
	c.Metrics.TasksParted(before-after, after)
	c.Log.Info("neighbours avoided", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step,
		"kind", workKind(s.job, s.def).String(), "tasks", len(chosen), "avoided", before-after, "beside", after)
	return chosen
}

// countDisturbed counts the places beside a task with which there is interference. costs are those of the
// candidates, self that of two tasks of the step.
func countDisturbed(places []int, costs []float64, self float64) int {
	count := 0
	for i, place := range places {
		if costs[place] > 0 || self > 0 && slices.Contains(places[:i], place) {
			count++
		}
	}
	return count
}
