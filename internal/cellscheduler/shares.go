package cellscheduler

import (
	"expvar"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/sharekeeper"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// shareState is what the scheduler knows about the shares of teams. Without teams in the configuration
// it stays empty, and no job is beyond a share.
type shareState struct {
	keeper *sharekeeper.Keeper
	// configuration is the one that weights was made from.
	configuration *configprovider.Configuration
	weights       map[string]float64
	// waiting is the number of waiting steps by team as the metrics show it.
	waiting map[string]int64
	// refused holds when the jobs that were refused as beyond their share were refused last, by ID.
	refused map[string]time.Time
	// yielding is set while work beyond shares has to make way for work within shares.
	yielding bool
	forecast forecast
}

// forecast is a view of the workers and of the waiting work, which is refreshed every
// forecastInterval.
type forecast struct {
	madeAt time.Time
	pool   sharekeeper.Pool
	// ranks are the ranks of the pending steps in order, and ahead[i] the work of the first i of them.
	ranks []prioritizer.Rank
	ahead []sharekeeper.Work
	// accepted is the work of the jobs that were accepted since.
	accepted sharekeeper.Work
}

const (
	// forecastInterval is how long a forecast is used.
	forecastInterval = 100 * time.Millisecond
	// openJobsDivisor keeps this fraction of the open jobs for jobs within the shares.
	openJobsDivisor = 4
	// refusalMemory is how long a refused job stays beyond its share when it is sent again: it must not use
	// up the share of the jobs that are sent meanwhile.
	refusalMemory = 30 * time.Second
)

// teamWeight returns the weight of a team. limited is false for jobs without a team, and for teams that
// this instance does not know: the caller's instance may have a newer configuration.
func (c *Scheduler) teamWeight(team string) (weight float64, limited bool) {
	configuration := c.Configuration.Current()
	if team == "" || configuration == nil || !configuration.HasTeams() {
		return 0, false
	}
	shares := &c.shares
	if shares.configuration != configuration {
		shares.configuration, shares.weights = configuration, make(map[string]float64, len(configuration.Teams))
		for i := range configuration.Teams {
			shares.weights[configuration.Teams[i].Name] = configuration.Teams[i].Weight
		}
		if shares.keeper == nil {
			shares.keeper, shares.refused = sharekeeper.New(), make(map[string]time.Time)
		}
		known := func(name string) bool { _, found := shares.weights[name]; return found }
		shares.keeper.Prune(known)
		c.Metrics.pruneTeams(known)
	}
	weight, limited = shares.weights[team]
	return weight, limited
}

// markShare marks an accepted job as within or beyond the share of its team.
func (c *Scheduler) markShare(j *job) {
	if weight, limited := c.teamWeight(j.progress.Team); !limited {
		return
	} else if _, refused := c.shares.refused[j.id]; refused {
		j.beyondShare = true
	} else {
		j.beyondShare = c.shares.keeper.Mark(j.progress.Team, weight, j.progress.AcceptedAt) == sharekeeper.Beyond
	}
}

// acceptShare marks a new job and counts it.
func (c *Scheduler) acceptShare(j *job) {
	if _, limited := c.teamWeight(j.progress.Team); !limited {
		return
	}
	c.markShare(j)
	if j.beyondShare {
		c.Metrics.countTeam(j.progress.Team, jobsBeyondShare)
		c.refreshForecast()
		j.workAhead = c.workAhead(firstStep(j))
	} else {
		c.Metrics.countTeam(j.progress.Team, jobsWithinShare)
	}
	c.shares.forecast.accepted = c.shares.forecast.accepted.Plus(c.widestStep(j))
}

// returnShare takes back the mark of a job that was refused before it was written.
func (c *Scheduler) returnShare(j *job) {
	if _, limited := c.teamWeight(j.progress.Team); limited && !j.beyondShare {
		c.shares.keeper.Return(j.progress.Team)
	}
}

// restoreShares marks the stored jobs anew in the order of their acceptance.
func (c *Scheduler) restoreShares() {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.progress.AcceptedAt.Compare(b.progress.AcceptedAt) })
	for _, j := range jobs {
		c.markShare(j)
	}
}

// shareRefusal returns why a new job beyond the share of its team cannot be accepted, or nil if it can or
// is within the share.
func (c *Scheduler) shareRefusal(definition *steptracker.Job) *RefusedError {
	weight, limited := c.teamWeight(definition.Team)
	if !limited {
		return nil
	}
	_, refused := c.shares.refused[definition.ID]
	if !refused && c.shares.keeper.Peek(definition.Team, weight, c.Clock.Now()) == sharekeeper.Within {
		return nil
	}
	if c.openJobs >= c.settings.MaxOpenJobs-c.settings.MaxOpenJobs/openJobsDivisor {
		c.countShareRefusal(definition)
		return &RefusedError{Reason: fmt.Sprintf("team %s is beyond its share and too many jobs are open", definition.Team), RetryAfter: c.jittered(time.Second)}
	}
	if definition.Scheduled() || definition.IsLongRunning() {
		return nil
	}
	c.refreshForecast()
	j := &job{id: definition.ID, definition: definition, progress: steptracker.NewProgress(definition, c.Clock.Now()), beyondShare: true}
	s := firstStep(j)
	ahead := c.workAhead(s)
	estimate := func(number int) time.Duration { return c.expectedDuration(j, number) }
	request := sharekeeper.Request{Work: c.widestStep(j), Duration: definition.CriticalPath(estimate) + c.expectedOverhead(s), Objective: c.objective(j)}
	decision := c.shares.forecast.pool.Admit(ahead, request, c.random.Float64())
	if !decision.Refused {
		return nil
	}
	c.countShareRefusal(definition)
	return &RefusedError{
		Reason: fmt.Sprintf("team %s is beyond its share of %g jobs a second, and room is expected in %.1f s behind work for %g processors",
			definition.Team, weight, decision.Wait.Seconds(), ahead.Processors.Number()),
		RetryAfter: decision.RetryAfter,
	}
}

func (c *Scheduler) countShareRefusal(definition *steptracker.Job) {
	c.Metrics.countTeam(definition.Team, jobsRefusedBeyondShare)
	if len(c.shares.refused) < c.settings.MaxOpenJobs {
		if _, known := c.shares.refused[definition.ID]; !known {
			c.shares.refused[definition.ID] = c.now
		}
	}
}

func (c *Scheduler) jittered(duration time.Duration) time.Duration {
	return duration + time.Duration(c.random.Int64N(int64(duration)/2))
}

func firstStep(j *job) *step {
	return &step{key: steptracker.StepKey{Job: j.id}, job: j, def: &j.definition.Steps[0]}
}

// objective returns the objective for the time from the acceptance of a job to its end.
func (c *Scheduler) objective(j *job) time.Duration {
	path := j.definition.CriticalPath(func(number int) time.Duration { return c.expectedDuration(j, number) })
	policy := c.policyOf(j)
	return time.Duration(policy.Stretch*float64(path)) + policy.Target
}

// widestStep returns the work of the step of a job that needs the most processors.
func (c *Scheduler) widestStep(j *job) sharekeeper.Work {
	var widest sharekeeper.Work
	for number := range j.definition.Steps {
		def := &j.definition.Steps[number]
		if work := sharekeeper.WorkOf(def.Tasks, def.Reservation().Processors, c.expectedDuration(j, number)); work.Processors >= widest.Processors {
			widest = work
		}
	}
	return widest
}

// refreshForecast makes a new forecast if the last one is too old.
func (c *Scheduler) refreshForecast() {
	if c.now.Sub(c.shares.forecast.madeAt) < forecastInterval {
		return
	}
	made := forecast{madeAt: c.now, ranks: make([]prioritizer.Rank, 0, len(c.pendingSteps)), ahead: make([]sharekeeper.Work, 1, len(c.pendingSteps)+1)}
	made.pool = c.pool()
	room := make(quotaRooms)
	for _, ranked := range c.rankPendingSteps() {
		made.ranks = append(made.ranks, ranked.rank)
		made.ahead = append(made.ahead, made.ahead[len(made.ahead)-1].Plus(c.waitingWork(ranked.step, room)))
	}
	c.shares.forecast = made
}

// pool returns what all workers have together that have listed their runs to this owner. What the others run is
// not known, so they count neither as room nor as capacity that is in use.
func (c *Scheduler) pool() sharekeeper.Pool {
	var pool sharekeeper.Pool
	for _, w := range c.workers {
		if !w.listed || w.info.Draining || !w.synced {
			continue
		}
		pool.Capacity += w.info.Capacity.Processors
		if c.usable(w) {
			pool.Free += w.free().Processors
		}
	}
	for _, s := range c.pendingSteps {
		if s.job.beyondShare {
			for _, count := range s.reserved {
				pool.ReservedBeyond += s.def.Reservation().Times(count).Processors
			}
		}
	}
	pool.ReservedBeyond = min(pool.ReservedBeyond, pool.Free)
	pool.Free -= pool.ReservedBeyond
	return pool
}

// quotaRooms is what the steps before a step take of their teams' quotas, by team.
type quotaRooms map[string]modeler.Resources

// waitingWork returns the work of the tasks of a step that wait for room on workers, not for their team's quota.
func (c *Scheduler) waitingWork(s *step, taken quotaRooms) sharekeeper.Work {
	tasks, team := s.unassigned(), s.job.team()
	if team != "" && c.quotas.keeper.UseOf(team).Quota != (modeler.Resources{}) {
		room := c.quotas.keeper.Room(team, s.def.Needs, taken[team])
		if c.quotas.allUncounted || c.quotas.uncountedTeams[team] || s.def.Gang && room < tasks {
			room = 0
		}
		tasks = min(tasks, room)
		taken[team] = taken[team].Plus(s.def.Needs.Times(tasks))
	}
	return sharekeeper.WorkOf(tasks, s.def.Reservation().Processors, c.expectedDuration(s.job, s.key.Step))
}

// workAhead returns the waiting work that goes before a step of a new job even if work beyond shares need not
// yield, and all work that was accepted since the forecast was made.
func (c *Scheduler) workAhead(s *step) sharekeeper.Work {
	f, rank := &c.shares.forecast, c.rank(s)
	count := sort.Search(len(f.ranks), func(i int) bool { return f.ranks[i].Compare(rank) > 0 })
	return f.ahead[count].Plus(f.accepted)
}

// updateSharesYield decides whether work beyond shares has to make way for work within shares, and changes
// the ranks accordingly. steps are all pending steps in order. It reports whether ranks have changed.
func (c *Scheduler) updateSharesYield(steps []rankedStep) bool {
	if c.shares.keeper == nil {
		return false
	}
	configuration := c.Configuration.Current()
	yielding := configuration != nil && configuration.HasTeams() && c.mustYield(steps)
	if yielding != c.shares.yielding {
		c.shares.yielding = yielding
		c.Log.Info("work beyond shares yields", "cell", c.claim.Cell, "yields", yielding, "steps", len(steps))
	}
	if !yielding {
		return false
	}
	for i := range steps {
		steps[i].rank.BeyondShare = steps[i].step.job.beyondShare
	}
	return true
}

func (c *Scheduler) mustYield(steps []rankedStep) bool {
	beyond := slices.IndexFunc(steps, func(r rankedStep) bool { return r.step.job.beyondShare })
	if beyond < 0 {
		return false
	}
	waiting := make([]sharekeeper.Waiting, 0, len(steps))
	room := make(quotaRooms)
	for _, ranked := range steps {
		step := sharekeeper.Waiting{Work: c.waitingWork(ranked.step, room), Slack: ranked.rank.Slack}
		if step.Processors == 0 {
			// It waits for its team's quota, or needs no processors.
			continue
		}
		if ranked.step.job.beyondShare {
			step.Standing = sharekeeper.Beyond
		}
		waiting = append(waiting, step)
	}
	return c.pool().BeyondMustYield(waiting)
}

// shareAttr returns what the log line of an accepted job tells about the share of its team. It is empty
// where there are no teams.
func (j *job) shareAttr() slog.Attr {
	switch {
	case j.progress.Team == "":
		return slog.Attr{}
	case !j.beyondShare:
		return slog.Group("", "team", j.progress.Team)
	default:
		return slog.Group("", "team", j.progress.Team, "beyond-share", true, "processors-ahead", j.workAhead.Processors.Number())
	}
}

// shareMetrics is the name of the variable that holds the metrics of each team's share.
const shareMetrics = "team-shares"

// The metrics of a team.
const (
	jobsWithinShare        = "within-share"
	jobsBeyondShare        = "beyond-share"
	jobsRefusedBeyondShare = "refused-beyond-share"
	stepsWaiting           = "waiting"
)

// sweepShares removes old refusals and updates the metrics of the waiting steps of each team.
func (c *Scheduler) sweepShares() {
	if c.shares.keeper == nil {
		return
	}
	for id, at := range c.shares.refused {
		if c.now.Sub(at) > refusalMemory {
			delete(c.shares.refused, id)
		}
	}
	waiting := make(map[string]int64, len(c.shares.waiting))
	for _, s := range c.pendingSteps {
		if _, known := c.shares.weights[s.job.progress.Team]; known {
			waiting[s.job.progress.Team]++
		}
	}
	c.publishWaiting(waiting)
}

// withdrawWaiting takes the waiting steps of a cell that is not owned any more out of the metrics of the process.
func (c *Scheduler) withdrawWaiting() { c.publishWaiting(nil) }

// publishWaiting changes the metrics of the waiting steps to the given numbers by team.
func (c *Scheduler) publishWaiting(waiting map[string]int64) {
	for team, count := range waiting {
		c.Metrics.addToTeam(team, stepsWaiting, count-c.shares.waiting[team])
	}
	for team, count := range c.shares.waiting {
		if _, known := c.shares.weights[team]; known && waiting[team] == 0 {
			c.Metrics.addToTeam(team, stepsWaiting, -count)
		}
	}
	c.shares.waiting = waiting
}

func (m *Metrics) countTeam(name, metric string) { m.addToTeam(name, metric, 1) }

// addToTeam changes a metric of a team, which must be in the configuration: that bounds the metrics.
func (m *Metrics) addToTeam(name, metric string, delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	teams, found := m.root.Get(shareMetrics).(*expvar.Map)
	if !found {
		teams = new(expvar.Map).Init()
		m.root.Set(shareMetrics, teams)
	}
	team, found := teams.Get(name).(*expvar.Map)
	if !found {
		team = new(expvar.Map).Init()
		teams.Set(name, team)
	}
	team.Add(metric, delta)
}

// pruneTeams drops the metrics of teams that are not known any more.
func (m *Metrics) pruneTeams(known func(team string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	teams, found := m.root.Get(shareMetrics).(*expvar.Map)
	if !found {
		return
	}
	var gone []string
	teams.Do(func(entry expvar.KeyValue) {
		if !known(entry.Key) {
			gone = append(gone, entry.Key)
		}
	})
	for _, name := range gone {
		teams.Delete(name)
	}
}
