package cellscheduler

import (
	"slices"
	"sort"
	"strings"
	"time"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// step is a step of an open occurrence whose turn has come and that has tasks to place.
type step struct {
	key steptracker.StepKey
	job *job
	def *steptracker.Step
	// good and rejected are the workers that the advisor allowed and did not.
	good     map[string]goodWorker
	rejected map[string]int64
	asking   bool
	askAfter time.Time
	askedAt  time.Time
	since    time.Time
	tasks    []steptracker.Task
	// named are the workers that the advisor was last asked about for a gang whose good ones are known.
	named []string
	// kept is the room that the step keeps on workers, in tasks, while its advice is on the way, and for a
	// gang while tickets hold; taken is what was taken out of this round's survey for it.
	kept, taken map[string]int
	// unused counts the questions in a row whose tickets came to nothing.
	unused int
	// failedOn are the workers on which a task of the step failed.
	failedOn map[string]bool
}

func (s *step) isGood(worker string) bool {
	_, good := s.good[worker]
	return good
}

// missing counts the tasks that have no place.
func (s *step) missing() int {
	count := 0
	for i := range s.tasks {
		if !s.tasks[i].Done && !s.tasks[i].Assigned() {
			count++
		}
	}
	return count
}

// placeable tells whether tasks of the step may be placed now. A gang starts as a whole, so all of
// its last run must be over.
func (s *step) placeable() bool {
	missing := s.missing()
	if s.def.Gang {
		return missing == len(s.tasks) && missing > 0
	}
	return missing > 0
}

// refresh brings the list of steps to place up to date with a job.
func (c *Scheduler) refresh(j *job) {
	if j.definition == nil || j.progress.State != "" {
		c.forgetSteps(j)
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
					good: make(map[string]goodWorker), rejected: make(map[string]int64), since: c.now,
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

func (c *Scheduler) forgetSteps(j *job) {
	for key := range j.steps {
		delete(c.pendingSteps, key)
	}
	if j.placementCount() == 0 {
		j.steps = nil
	}
}

const (
	// roundEvery is the least time between two rounds. What changes meanwhile is decided together.
	roundEvery = 10 * time.Millisecond
	// roundShare bounds the processor time of rounds: after one that took long, the next comes no
	// sooner than so many times as long after it. A long line makes rounds long, and an owner that
	// does nothing else neither accepts jobs nor takes in ends.
	roundShare = 8
)

// round places what can be placed, in the order of its rank, and asks for advice about what will be
// placed next.
func (c *Scheduler) round() {
	if !c.roundNeeded || c.shuttingDown || c.now.Before(c.nextRoundAt) {
		return
	}
	if c.storeRefusal() != nil {
		// What is placed now could not be started before the store answers.
		return
	}
	c.roundNeeded = false
	c.nextRoundAt = c.now.Add(roundEvery)
	if len(c.pendingSteps) == 0 {
		return
	}
	c.survey()
	for _, s := range c.ranked() {
		c.giveBackKept(s)
		if s.def.Reservation().Processors <= c.maxFreeProcessors {
			c.tryStep(s)
		}
		c.takeKept(s)
	}
	c.candidates = c.candidates[:0]
	ended := c.Clock.Now()
	if next := ended.Add(roundShare * ended.Sub(c.now)); next.After(c.nextRoundAt) {
		c.nextRoundAt = next
	}
}

// survey lists the workers that may get new work, for one round.
func (c *Scheduler) survey() {
	c.candidates = c.candidates[:0]
	for id, w := range c.workers {
		w.site = -1
		if c.usable(w) {
			c.candidates = append(c.candidates, cellplacer.Candidate{
				Worker: id, Rack: w.info.Rack, Capacity: w.info.Capacity, Free: w.free(), Slowdown: w.pace.slowness(),
			})
		}
	}
	slices.SortFunc(c.candidates, func(a, b cellplacer.Candidate) int { return strings.Compare(a.Worker, b.Worker) })
	c.maxFreeProcessors, c.reservedForGangs = 0, 0
	asked := make([]modeler.Processors, len(c.candidates))
	for i := range c.candidates {
		w := c.workers[c.candidates[i].Worker]
		w.site, asked[i] = i, w.asked
		c.maxFreeProcessors = max(c.maxFreeProcessors, c.candidates[i].Free.Processors)
	}
	c.keepRooms()
	c.selector = candidateselector.New(c.candidates, asked)
	c.advice.router.SetInstances(c.AdvisorClient.Instances())
}

// ranked returns the steps to place, the one that goes first at the front.
func (c *Scheduler) ranked() []*step {
	type entry struct {
		step *step
		rank prioritizer.Rank
	}
	entries := make([]entry, 0, len(c.pendingSteps))
	for _, s := range c.pendingSteps {
		entries = append(entries, entry{s, c.rank(s)})
	}
	sort.Slice(entries, func(i, j int) bool {
		if order := entries[i].rank.Compare(entries[j].rank); order != 0 {
			return order < 0
		}
		return entries[i].step.key.Job < entries[j].step.key.Job
	})
	steps := make([]*step, len(entries))
	for i := range entries {
		steps[i] = entries[i].step
	}
	return steps
}

// rank sorts a step among those that wait.
func (c *Scheduler) rank(s *step) prioritizer.Rank {
	j := s.job
	ask := prioritizer.WaitingStep{AcceptedAt: j.progress.AcceptedAt, Priority: lastPriority, Stretch: 2}
	if queue := c.queueOf(j); queue != nil {
		ask.Priority, ask.Stretch, ask.Target = queue.Priority, queue.Stretch, queue.Target
	}
	if j.definition.Scheduled() {
		ask.AcceptedAt = j.definition.DueAt(s.key.Occurrence)
	}
	ask.CriticalPath = j.definition.CriticalPath(func(number int) time.Duration { return c.duration(j, number) })
	ask.RemainingTime = c.duration(j, s.key.Step)
	ask.LongRunning = s.def.LongRunning
	return prioritizer.RankOf(ask, c.Clock.Now())
}

// lastPriority is that of jobs whose queue was dropped.
const lastPriority = 9

// mayTake tells whether a step may go to a worker of the survey, its room aside.
func (c *Scheduler) mayTake(s *step, site *cellplacer.Candidate, short bool) bool {
	return (short || !site.ReservedForGang) && c.workers[site.Worker].info.HasLabel(s.def.Label)
}

// isShort tells whether a step's tasks may use room that is kept for a gang.
func (c *Scheduler) isShort(s *step) bool { return c.duration(s.job, s.key.Step) <= shortWork }

// everySite lists all sites of the survey.
func (c *Scheduler) everySite() []int {
	for len(c.allIndexes) < len(c.candidates) {
		c.allIndexes = append(c.allIndexes, len(c.allIndexes))
	}
	return c.allIndexes[:len(c.candidates)]
}

// sitesFor returns those of some sites that may take a task of a step and have room for one. The result
// holds until the next call.
func (c *Scheduler) sitesFor(s *step, among []int) []cellplacer.Candidate {
	needs, short := s.def.Reservation(), c.isShort(s)
	c.eligible = c.eligible[:0]
	for _, i := range among {
		site := c.candidates[i]
		if !needs.Fits(site.Free) || !c.mayTake(s, &site, short) {
			continue
		}
		if s.def.MaxPerWorker > 0 {
			if site.StepTasks = c.present(c.workers[site.Worker], s); site.StepTasks >= s.def.MaxPerWorker {
				continue
			}
		}
		if s.failedOn[site.Worker] {
			site.Slowdown += failedHere
		}
		c.eligible = append(c.eligible, site)
	}
	return c.eligible
}

// failedHere makes a worker on which a task of the step failed the last choice.
const failedHere = 4

func (c *Scheduler) present(w *worker, s *step) int {
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

func (c *Scheduler) tryStep(s *step) {
	queue := c.queueOf(s.job)
	if queue == nil || queue.Advisor == nil {
		c.assign(s, c.sitesFor(s, c.everySite()))
		return
	}
	if s.def.Gang && len(s.good) > 0 && c.tryKnown(s, queue) {
		return
	}
	if len(s.good) > 0 && c.assign(s, c.sitesFor(s, c.goodSites(s, true))) {
		return
	}
	if c.mayAsk(s, queue) && c.hasRoom(s) {
		if named, enough := c.nominees(s, queue); enough && c.askAbout(s, queue, named) {
			c.keepNamed(s, queue, named)
		}
	}
}

// mayAsk tells whether the advisor can be asked about a step now.
func (c *Scheduler) mayAsk(s *step, queue *configprovider.Queue) bool {
	return !s.asking && c.now.After(s.askAfter) && c.advice.router.Choose(queue.Advisor.Latency(1), c.now) != ""
}

// goodSites returns the sites that the advisor allowed a step, in the life that they live, and with
// ticketed set only those whose ticket still holds.
func (c *Scheduler) goodSites(s *step, ticketed bool) []int {
	var sites []int
	for id, good := range s.good {
		w := c.workers[id]
		if w == nil || w.site < 0 || w.info.StartMillis != good.born || ticketed && !c.now.Before(good.until) {
			continue
		}
		sites = append(sites, w.site)
	}
	slices.Sort(sites)
	return sites
}

// isRejected tells whether the advisor does not allow a step on a site, in the life that it lives.
func (c *Scheduler) isRejected(s *step, site *cellplacer.Candidate) bool {
	born, rejected := s.rejected[site.Worker]
	return rejected && born == c.workers[site.Worker].info.StartMillis
}

// assign places tasks of a step and has the record written. It reports whether nothing is left to
// place.
func (c *Scheduler) assign(s *step, sites []cellplacer.Candidate) bool {
	if len(sites) == 0 {
		return false
	}
	missing := s.missing()
	places := cellplacer.Place(sites, cellplacer.Request{Step: s.def, Tasks: missing, AllOrNothing: s.def.Gang})
	if len(places) == 0 {
		return false
	}
	s.kept, s.unused = nil, 0
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].Run)
	}
	var placed []*placement
	for i := range s.tasks {
		task := &s.tasks[i]
		if task.Done || task.Assigned() || len(placed) == len(places) {
			continue
		}
		key := steptracker.TaskKey{StepKey: s.key, Index: i}
		w := c.workers[sites[places[len(placed)]].Worker]
		number := task.Run + 1
		if s.def.Gang {
			number = run + 1
		}
		s.job.progress.Assign(key, number, w.info.Incarnation)
		placed = append(placed, c.addPlacement(s.job, key, task, runUnsent))
	}
	c.Log.Info("placed", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step, "tasks", len(placed), "left", missing-len(placed),
		"run", placed[0].run, "worker", placed[0].worker.info.Worker, "sites", len(sites), "waited-ms", c.now.Sub(s.since).Milliseconds())
	j := s.job
	c.markDirty(j, func() {
		for _, p := range placed {
			c.sendStart(p)
		}
	})
	if !s.placeable() {
		delete(c.pendingSteps, s.key)
		return true
	}
	return false
}

// admit decides whether a job is accepted.
func (c *Scheduler) admit(definition *steptracker.Job) *RefusedError {
	if c.openJobs >= c.settings.MaxOpenJobs {
		return &RefusedError{Reason: "too many jobs are open", RetryAfter: time.Second}
	}
	return c.storeRefusal()
}
