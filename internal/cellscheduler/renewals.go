package cellscheduler

import (
	"maps"
	"slices"
)

// maxRenewals is how often new placement tokens are requested for a run whose assignment is written.
const maxRenewals = 3

// renewForStart requests new placement tokens for a run whose assignment has taken longer to write than its
// token was valid, so that the write is not in vain. All runs of the step that wait for their start order are
// renewed together, those of a gang even if their tokens are valid, because they start together. It reports
// false if the run can't wait for a token.
func (c *Scheduler) renewForStart(p *placement) bool {
	s, queue := p.job.steps[p.key.StepKey], c.queueOf(p.job)
	granted, approved := approval{}, false
	if s != nil {
		granted, approved = s.approved[p.worker.info.Worker]
	}
	if queue == nil || queue.Advisor == nil || !approved || granted.startMillis != p.worker.info.StartMillis || p.renewals >= maxRenewals {
		return false
	}
	p.awaitsToken = true
	if s.adviceInFlight {
		return true
	}
	workers := make(map[string]bool)
	for _, other := range p.job.placements {
		if other.key.StepKey == p.key.StepKey && other.run == p.run && other.state == runUnsent && other.assigned {
			other.awaitsToken = true
			other.renewals++
			workers[other.worker.info.Worker] = true
		}
	}
	if !c.requestAdvice(s, queue, slices.Sorted(maps.Keys(workers))) {
		return false
	}
	s.renewing = true
	c.Log.Info("tokens renewed before the start", "job", p.key.Job, "step", p.key.Step, "workers", len(workers), "renewals", p.renewals)
	return true
}

// hasGangTokens reports whether all members of a gang's run that wait for their start orders have valid
// tokens.
func (c *Scheduler) hasGangTokens(p *placement) bool {
	for _, other := range p.job.placements {
		if other.key.StepKey != p.key.StepKey || other.run != p.run || other.state != runUnsent {
			continue
		}
		if _, valid := c.placementToken(other.key.StepKey, other.worker); !valid {
			return false
		}
	}
	return true
}

// sendStarts sends the start orders of runs whose assignments have been written.
func (c *Scheduler) sendStarts(placed []*placement) {
	for _, p := range placed {
		p.assigned = true
	}
	for _, p := range placed {
		if !p.awaitsToken {
			c.sendStart(p)
		}
	}
}

// resumeStarts sends the start orders that have waited for an answer of the advisor about a step.
func (c *Scheduler) resumeStarts(s *step) {
	s.renewing = false
	for _, p := range s.job.placements {
		if p.key.StepKey == s.key && p.awaitsToken {
			p.awaitsToken = false
			c.sendStart(p)
		}
	}
}
