package cellscheduler

import (
	"maps"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/configprovider"
)

// maxTokenWait is how long after its assignment was written a run may wait for a new placement token. The
// longest calls of the advisor take half of that.
const maxTokenWait = 3 * time.Second

// renewForStart requests new placement tokens for a run whose assignment has taken longer to write than its
// token was valid, so that the write is not in vain. All runs of the step that wait for their start orders are
// renewed together. It reports false if the run can't wait for a token.
func (c *Scheduler) renewForStart(p *placement) bool {
	s, advisor := p.job.steps[p.key.StepKey], c.advisorOf(p.job)
	if s == nil || advisor == nil || p.assignedAt.IsZero() || c.now.Sub(p.assignedAt) > maxTokenWait {
		return false
	}
	granted, approved := s.approved[p.worker.info.Worker]
	if !approved || granted.startMillis != p.worker.info.StartMillis {
		return false
	}
	p.awaitsToken = true
	if s.renewalsInFlight > 0 || c.now.Before(s.nextRenewalAt) {
		return true
	}
	workers := make(map[string]bool)
	for _, other := range p.job.placements {
		if other.key.StepKey == p.key.StepKey && other.state == runUnsent && !other.assignedAt.IsZero() {
			workers[other.worker.info.Worker] = true
		}
	}
	if requested := c.requestRenewals(s, advisor, slices.Sorted(maps.Keys(workers))); len(requested) > 0 {
		c.Log.Info("tokens renewed before the start", "job", p.key.Job, "step", p.key.Step, "workers", len(requested),
			"written-ms-ago", c.now.Sub(p.assignedAt).Milliseconds())
	}
	return true
}

// requestRenewals requests new placement tokens for approved workers and returns those for which an instance was
// available for the call. Workers whose tokens outlast the calls are left out, and those whose tokens expire first come first,
// so that with few instances all have valid tokens after several calls.
func (c *Scheduler) requestRenewals(s *step, advisor *configprovider.AdvisorSettings, workers []string) []string {
	var requested []string
	answerAt := c.now.Add(2 * advisor.Latency(min(len(workers), candidateselector.MaxCandidates)))
	workers = slices.DeleteFunc(slices.Clone(workers), func(id string) bool { return s.approved[id].expiresAt.After(answerAt) })
	slices.SortStableFunc(workers, func(a, b string) int { return s.approved[a].expiresAt.Compare(s.approved[b].expiresAt) })
	idle, _ := c.advisor.router.Idle(advisor.BaseLatency, c.now)
	size := advicerouter.CallSize(advisor.BaseLatency, advisor.LatencyPerWorker, len(workers), idle, candidateselector.MaxCandidates)
	for part := range slices.Chunk(workers, size) {
		if !c.requestAdvice(s, advisor, part, renewal) {
			break
		}
		requested = append(requested, part...)
	}
	return requested
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
		p.assignedAt = c.now
	}
	for _, p := range placed {
		c.sendStart(p)
	}
}

// resumeStarts sends the start orders that have waited for an answer of the advisor about a step.
func (c *Scheduler) resumeStarts(s *step) {
	for _, p := range s.job.placements {
		if p.key.StepKey == s.key && p.awaitsToken {
			c.resumeStart(p)
		}
	}
}

// resumeStart sends the start order of a run that has waited for a placement token, unless it has to wait
// for another answer.
func (c *Scheduler) resumeStart(p *placement) {
	if s := p.job.steps[p.key.StepKey]; s != nil && s.renewalsInFlight > 0 && p.stopReason == "" {
		return
	}
	p.awaitsToken = false
	c.sendStart(p)
}
