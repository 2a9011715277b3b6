package cellscheduler

import (
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// step is a step of an open occurrence whose preceding steps have ended. It holds what placement
// needs to know about the step.
type step struct {
	key steptracker.StepKey
	job *job
	def *steptracker.Step
	// approved and rejected are the advisor's answers by worker. An answer applies to one
	// incarnation of the worker.
	approved       map[string]approval
	rejected       map[string]int64
	adviceInFlight bool
	nextAdviceAt   time.Time
	lastAdviceAt   time.Time
	// renewalsInFlight counts the calls in flight that renew placement tokens, beside one that asks about further
	// workers.
	renewalsInFlight int
	nextRenewalAt    time.Time
	// renewInAdvanceAt is the earliest time at which tokens are renewed again before there is room.
	renewInAdvanceAt time.Time
	pendingSince     time.Time
	tasks            []steptracker.Task
	// tokenWorkers are the workers for which the gang last requested new placement tokens.
	tokenWorkers map[string]bool
	// reserved is the number of tasks for which the step reserves room on each worker: while an
	// advisor call is in flight and, for a gang, while placement tokens are valid. A gang reserves all of its room or
	// none.
	// reservedInRound is the part of it that was subtracted from the candidates of the current
	// round.
	reserved, reservedInRound map[string]int
	// earmarks are the candidates on which a gang without enough room earmarks what is free in the current round.
	earmarks []int
	// unusedAdvice counts the consecutive requests of tokens for reserved room that were not used.
	unusedAdvice int
	// answered is set from an answer of the advisor until the step is visited. tier is that of the last
	// ranking.
	answered bool
	tier     prioritizer.Tier
	// renewed is set if the last advisor call renewed the tokens of a gang for which there was room.
	renewed bool
	// waitLoggedAt is when it was last logged why the step waits.
	waitLoggedAt time.Time
	// failedOn are the workers on which a task of the step failed.
	failedOn map[string]bool
	hold     quotaHold
	// comparison holds the runs that are compared to detect interference.
	comparison interferencedetector.Step
}

// isApproved reports whether the advisor approved the current incarnation of a worker for the step.
func (s *step) isApproved(w *worker) bool {
	granted, approved := s.approved[w.info.Worker]
	return approved && granted.startMillis == w.info.StartMillis
}

// unassigned counts the tasks that wait for a worker.
func (s *step) unassigned() int {
	count := 0
	for i := range s.tasks {
		if s.isWaiting(i) {
			count++
		}
	}
	return count
}

// placeable reports whether tasks of the step may be placed now. All tasks of a gang start
// together, so its previous run must be over completely.
func (s *step) placeable() bool {
	unassigned := s.unassigned()
	if s.def.Gang {
		return unassigned == len(s.tasks) && unassigned > 0
	}
	return unassigned > 0
}

// updateSteps updates a job's ready steps and the set of pending steps.
func (c *Scheduler) updateSteps(j *job) {
	if j.definition == nil || j.progress.State != "" {
		c.removeSteps(j)
		return
	}
	j.progress.OpenDue(j.definition, c.Clock.Now())
	for _, occurrence := range j.progress.Open {
		for number := range j.definition.Steps {
			key := steptracker.StepKey{Job: j.id, Occurrence: occurrence.Number, Step: number}
			s := j.steps[key]
			if !occurrence.StepReady(j.definition, number) {
				continue
			}
			if s == nil {
				s = &step{
					key: key, job: j, def: &j.definition.Steps[number], tasks: occurrence.Steps[number],
					approved: make(map[string]approval), rejected: make(map[string]int64), pendingSince: c.now,
				}
				if j.steps == nil {
					j.steps = make(map[steptracker.StepKey]*step)
				}
				j.steps[key] = s
			}
			if s.placeable() {
				c.pendingSteps[key] = s
				c.roundNeeded = true
			} else {
				delete(c.pendingSteps, key)
			}
		}
	}
}

func (c *Scheduler) removeSteps(j *job) {
	for key := range j.steps {
		delete(c.pendingSteps, key)
	}
	if j.placementCount() == 0 {
		j.steps = nil
	}
}

// minRoundInterval is the minimum time between two rounds. Changes made meanwhile are handled together.
const minRoundInterval = 10 * time.Millisecond

// placementRound places pending steps in rank order and requests advice for steps that need it.
func (c *Scheduler) placementRound() {
	if !c.roundNeeded || c.shuttingDown || c.now.Before(c.nextRoundAt) {
		return
	}
	if c.storeSilent() {
		// Tasks placed now could not be started before the store answers.
		return
	}
	c.roundNeeded = false
	c.nextRoundAt = c.now.Add(minRoundInterval)
	if len(c.pendingSteps) == 0 {
		return
	}
	began := c.Clock.Now()
	ranked := c.rankedSteps()
	rankedAt := c.Clock.Now()
	c.collectCandidates(ranked)
	collected := c.Clock.Now()
	c.beginQuotaRound(ranked)
	visitedFrom := c.Clock.Now()
	c.visitor.visit(len(ranked), answeredSteps(ranked), c.Clock.Now, maxRoundDuration, func(index int) {
		s := ranked[index]
		c.load.visited++
		if s.tier > prioritizer.TierOnTime {
			c.applyLateReservations()
		}
		c.returnReservation(s)
		if c.hasQuotaRoom(s) && s.def.Reservation().Processors <= c.maxFreeProcessors {
			c.placeStep(s)
		}
		c.logGangWait(s)
		s.answered = false
		c.reserveQuotaForAdvice(s)
		c.applyReservation(s)
		c.earmarkRoom(s)
	})
	c.logRoom(ranked)
	c.candidates = c.candidates[:0]
	ended := c.Clock.Now()
	c.load.rounds++
	c.load.ranking += rankedAt.Sub(began) + visitedFrom.Sub(collected)
	c.load.collecting += collected.Sub(rankedAt)
	c.load.visiting += ended.Sub(visitedFrom)
	if next := ended.Add(roundPauseFactor * ended.Sub(c.wokenAt)); next.After(c.nextRoundAt) {
		c.nextRoundAt = next
	}
}

// answeredSteps returns the indexes of the steps for which the advisor has answered since they were last visited.
func answeredSteps(ranked []*step) []int {
	var indexes []int
	for index, s := range ranked {
		if s.answered {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// collectCandidates builds the list of workers that may get new tasks in this round. ranked are the pending steps.
func (c *Scheduler) collectCandidates(ranked []*step) {
	c.candidates, c.candidateWorkers = c.candidates[:0], c.candidateWorkers[:0]
	c.maxFreeProcessors, c.capacity, c.earmarked, c.earmarkers, c.inAdvance = 0, modeler.Resources{}, modeler.Resources{}, 0, 0
	requested := make([]modeler.Processors, 0, len(c.workers))
	for _, w := range c.sortedWorkers() {
		w.candidateIndex = -1
		if !c.usable(w) {
			continue
		}
		free := w.free()
		w.candidateIndex = len(c.candidates)
		c.candidates = append(c.candidates, cellplacer.Candidate{
			Worker: w.info.Worker, Rack: w.info.Rack, Capacity: w.info.Capacity, Free: free, Slowdown: w.health.slowdown(),
		})
		c.candidateWorkers, requested = append(c.candidateWorkers, w), append(requested, w.adviceRequested)
		c.maxFreeProcessors = max(c.maxFreeProcessors, free.Processors)
		c.capacity = c.capacity.Plus(w.info.Capacity)
	}
	c.applyReservations(ranked)
	c.selector = candidateselector.New(c.candidates, requested)
	c.advisor.router.SetInstances(c.AdvisorClient.Instances())
}

// rankedSteps returns the pending steps, highest rank first.
func (c *Scheduler) rankedSteps() []*step {
	entries := c.rankPendingSteps()
	if c.updateSharesYield(entries) {
		sortByRank(entries)
	}
	steps := make([]*step, len(entries))
	for i := range entries {
		steps[i] = entries[i].step
	}
	return steps
}

// rankedStep is a pending step and its rank.
type rankedStep struct {
	step *step
	rank prioritizer.Rank
}

// rankPendingSteps returns the pending steps and their ranks, highest rank first, whatever the shares of
// teams are.
func (c *Scheduler) rankPendingSteps() []rankedStep {
	entries := make([]rankedStep, 0, len(c.pendingSteps))
	for _, s := range c.pendingSteps {
		rank := c.rank(s)
		s.tier = rank.Tier
		entries = append(entries, rankedStep{s, rank})
	}
	sortByRank(entries)
	return entries
}

func sortByRank(entries []rankedStep) {
	slices.SortFunc(entries, func(a, b rankedStep) int {
		if order := a.rank.Compare(b.rank); order != 0 {
			return order
		}
		return a.step.key.Compare(b.step.key)
	})
}

// rank returns the rank of a pending step.
func (c *Scheduler) rank(s *step) prioritizer.Rank {
	j := s.job
	policy := c.policyOf(j)
	waiting := prioritizer.WaitingStep{AcceptedAt: j.progress.AcceptedAt, Priority: policy.Priority, Stretch: policy.Stretch, Target: policy.Target}
	if j.definition.Scheduled() {
		waiting.AcceptedAt = j.definition.DueAt(s.key.Occurrence)
	}
	estimate := func(number int) time.Duration { return c.expectedDuration(j, number) }
	waiting.CriticalPath = j.definition.CriticalPath(estimate)
	waiting.RemainingTime = j.definition.RemainingPath(s.key.Step, estimate)
	waiting.Overhead = c.expectedOverhead(s)
	waiting.LongRunning = s.def.LongRunning
	return prioritizer.RankOf(waiting, c.Clock.Now())
}

// expectedOverhead returns how long it takes, besides the run, until the result of a step that is placed
// now is visible: the advisor's answer unless it is known, the writes of assignment and end, and the
// start order.
func (c *Scheduler) expectedOverhead(s *step) time.Duration {
	overhead := 2*c.journal.limiter.AverageDuration() + c.startLatency
	if c.advisorOf(s.job) != nil && !c.hasValidToken(s) {
		overhead += c.advisor.latencies[s.job.progress.Queue]
	}
	return overhead
}

// latencyWeight is the weight of the latest answer in the moving averages of latencies.
const latencyWeight = 0.1

func updateLatency(average, latest time.Duration) time.Duration {
	if average == 0 {
		return latest
	}
	return average + time.Duration(latencyWeight*float64(latest-average))
}

// isEligible reports whether a step may use a candidate, regardless of its free resources.
func (c *Scheduler) isEligible(s *step, index int) bool {
	return c.candidateWorkers[index].info.HasLabel(s.def.Label)
}

// allCandidates returns the indexes of all candidates.
func (c *Scheduler) allCandidates() []int {
	for len(c.allIndexes) < len(c.candidates) {
		c.allIndexes = append(c.allIndexes, len(c.allIndexes))
	}
	return c.allIndexes[:len(c.candidates)]
}

// eligibleCandidates returns those candidates of the given indexes that the step may use and that
// have room for one of its tasks. The result is valid until the next call.
func (c *Scheduler) eligibleCandidates(s *step, indexes []int) []cellplacer.Candidate {
	needs := s.def.Reservation()
	interfering := c.interferingKinds(s)
	c.eligible = c.eligible[:0]
	for _, i := range indexes {
		if !needs.Fits(c.candidates[i].Available()) {
			continue
		}
		candidate, w := c.candidates[i], c.candidateWorkers[i]
		if !c.isEligible(s, i) || w.isolatedRuns > 0 {
			continue
		}
		if s.def.MaxPerWorker > 0 {
			if candidate.StepTasks = c.tasksOnWorker(w, s); candidate.StepTasks >= s.def.MaxPerWorker {
				continue
			}
		}
		if s.failedOn[candidate.Worker] {
			candidate.Slowdown += failurePenalty
		}
		candidate.Interference = w.interferenceWith(interfering)
		c.eligible = append(c.eligible, candidate)
	}
	return c.eligible
}

// failurePenalty is added to the slowdown of a worker on which a task of the step failed, so that
// it is chosen last.
const failurePenalty = 4

func (c *Scheduler) tasksOnWorker(w *worker, s *step) int {
	if s.def.MaxPerWorker == 0 {
		return 0
	}
	count := 0
	for key := range w.placements {
		if key.StepKey == s.key {
			count++
		}
	}
	return count
}

func (c *Scheduler) placeStep(s *step) {
	advisor := c.advisorOf(s.job)
	if advisor == nil {
		s.earmarks = nil
		if !c.assign(s, c.eligibleCandidates(s, c.allCandidates())) && s.def.Gang && c.roomWhenEmpty(s, c.allCandidates()) >= len(s.tasks) {
			s.earmarks = c.rackToEarmark(s, c.allCandidates())
		}
		return
	}
	if len(s.approved) > 0 && c.assign(s, c.eligibleCandidates(s, c.approvedCandidates(s, true))) {
		return
	}
	if s.def.Gang && !c.prepareGang(s, advisor) {
		return
	}
	if s.adviceInFlight || !c.now.After(s.nextAdviceAt) || c.advisor.router.Choose(advisor.Latency(1), c.now) == "" {
		return
	}
	if workers, worthwhile := c.selectNominees(s, advisor); worthwhile && c.requestAdvice(s, advisor, workers, nomination) {
		s.renewed = false
		c.reserveNominees(s, advisor, workers)
	}
}

// approvedCandidates returns the candidates whose current incarnation the advisor approved for a
// step. With unexpired set, only those with a valid placement token are returned.
func (c *Scheduler) approvedCandidates(s *step, unexpired bool) []int {
	var indexes []int
	for id, granted := range s.approved {
		w := c.workers[id]
		if w == nil || w.candidateIndex < 0 || w.info.StartMillis != granted.startMillis || unexpired && !c.now.Before(granted.expiresAt) {
			continue
		}
		indexes = append(indexes, w.candidateIndex)
	}
	slices.Sort(indexes)
	return indexes
}

// isRejected reports whether the advisor rejected the current incarnation of a candidate for a
// step.
func (c *Scheduler) isRejected(s *step, index int) bool {
	if len(s.rejected) == 0 {
		return false
	}
	w := c.candidateWorkers[index]
	startMillis, rejected := s.rejected[w.info.Worker]
	return rejected && startMillis == w.info.StartMillis
}

// assign assigns tasks of a step to candidates and schedules the write of the assignments. It
// reports whether the step has nothing left to place.
func (c *Scheduler) assign(s *step, candidates []cellplacer.Candidate) bool {
	if len(candidates) == 0 {
		return false
	}
	ordinary, suspects := s.unassignedTasks()
	c.assignTasks(s, candidates, ordinary, false)
	if len(suspects) > 0 {
		c.assignTasks(s, c.isolationCandidates(candidates), suspects, true)
	}
	if !s.placeable() {
		delete(c.pendingSteps, s.key)
		return true
	}
	return false
}

// assignTasks assigns as many of the tasks with the given indexes as there is room for, or, of a gang,
// all or none.
func (c *Scheduler) assignTasks(s *step, candidates []cellplacer.Candidate, tasks []int, isolated bool) {
	tasks = c.withinQuota(s, tasks)
	if len(candidates) == 0 || len(tasks) == 0 {
		return
	}
	chosen := c.place(s, candidates, cellplacer.Request{Step: s.def, Tasks: len(tasks), AllOrNothing: s.def.Gang, Isolated: isolated})
	if len(chosen) == 0 {
		return
	}
	s.reserved, s.unusedAdvice, s.nextRenewalAt = nil, 0, time.Time{}
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].Run)
	}
	var placed []*placement
	for i, candidate := range chosen {
		task := &s.tasks[tasks[i]]
		key := steptracker.TaskKey{StepKey: s.key, Index: tasks[i]}
		number := task.Run + 1
		if s.def.Gang {
			number = run + 1
		}
		s.job.progress.Assign(key, number, c.workers[candidates[candidate].Worker].info.Incarnation)
		p := c.addPlacement(s.job, key, task, runUnsent)
		if isolated {
			c.beginIsolation(p)
		}
		placed = append(placed, p)
	}
	c.Log.Info("placed", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step, "tasks", len(placed), "left", len(tasks)-len(placed),
		"run", placed[0].run, "worker", placed[0].worker.info.Worker, "sites", len(candidates), "isolated", isolated, "waited-ms", c.now.Sub(s.pendingSince).Milliseconds())
	c.markDirty(s.job, func() { c.sendStarts(placed) })
}

// admit returns why a new job cannot be accepted, or nil if it can.
func (c *Scheduler) admit(definition *steptracker.Job) *RefusedError {
	if c.openJobs >= c.settings.MaxOpenJobs {
		return &RefusedError{Reason: "too many jobs are open", RetryAfter: time.Second}
	}
	if refusal := c.quotaRefusal(definition); refusal != nil {
		return refusal
	}
	if refusal := c.storeRefusal(); refusal != nil {
		return refusal
	}
	return c.shareRefusal(definition)
}
