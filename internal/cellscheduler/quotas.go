package cellscheduler

import (
	"fmt"
	"time"

	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/quotakeeper"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// quotas holds what the teams have in use in this cell. A run is charged to its team from its assignment,
// which is before its start order leaves, until it is proved to be over.
type quotas struct {
	keeper *quotakeeper.Keeper
	// configuration is the version from which the keeper has the quotas. A team that is missing in it keeps
	// its last known quota.
	configuration *configprovider.Configuration
	// runs are the placements that are charged to a team, by team.
	runs map[string]map[*placement]bool
	// strays are the runs that a worker lists without a placement, by worker.
	strays map[string][]strayRun
	// unreadableJobs are the definitions of the jobs whose stored progress could not be decoded.
	unreadableJobs map[string]*steptracker.Job
	// uncountedTeams may have runs that the stored rows do not tell, and nothing of them starts until
	// every such run is over or listed. If allUncounted is set, any team may have some.
	uncountedTeams map[string]bool
	allUncounted   bool
	// heads are the steps for which quotas are reserved in the current round, by team.
	heads map[string]quotaHead
	// nextOvertakeAt is the earliest time at which a step of the team may be reserved for out of turn again.
	nextOvertakeAt map[string]time.Time
	// longest is the step of each team that has been blocked the longest, in the current round.
	longest       map[string]*step
	nextPublishAt time.Time
}

// strayRun is the charge for a run that a worker lists without a placement.
type strayRun struct {
	team  string
	needs modeler.Resources
}

const (
	// quotaRefusalRetryAfter is when a caller may retry a job that its team's quota never allows: only
	// a new version of the configuration changes that.
	quotaRefusalRetryAfter = time.Minute
	// quotaPublishInterval is how often the metrics of the quotas are updated.
	quotaPublishInterval = time.Second
)

func (q *quotas) init() {
	q.keeper = quotakeeper.New()
	q.runs, q.strays = make(map[string]map[*placement]bool), make(map[string][]strayRun)
	q.unreadableJobs, q.uncountedTeams = make(map[string]*steptracker.Job), make(map[string]bool)
	q.heads, q.nextOvertakeAt, q.longest = make(map[string]quotaHead), make(map[string]time.Time), make(map[string]*step)
}

// quotaPart is the part in which this owner counts.
func (c *Scheduler) quotaPart() quotakeeper.Part { return quotakeeper.Part(c.claim.Cell) }

// updateQuotas takes the quotas from the configuration in force.
func (c *Scheduler) updateQuotas() {
	configuration := c.Configuration.Current()
	if configuration == nil || configuration == c.quotas.configuration {
		return
	}
	c.quotas.configuration = configuration
	for i := range configuration.Teams {
		c.quotas.keeper.SetQuota(configuration.Teams[i].Name, configuration.Teams[i].Quota)
	}
}

// restoreQuotas takes the quotas of teams from their stored jobs, for the teams that are missing in the configuration
// in force: the quota by which the latest job of a team was accepted.
func (c *Scheduler) restoreQuotas() {
	latest := make(map[string]*configprovider.Policy)
	for _, j := range c.jobs {
		policy, team := j.acceptedPolicy(), j.team()
		if policy == nil || team == "" || latest[team] != nil && latest[team].Version >= policy.Version {
			continue
		}
		latest[team] = policy
		c.quotas.keeper.SetQuota(team, policy.TeamQuota)
	}
	c.quotas.configuration = nil
	c.updateQuotas()
}

func (j *job) team() string {
	if j.progress.Team == "" && j.definition != nil {
		return j.definition.Team
	}
	return j.progress.Team
}

// chargeQuota charges a run to its team.
func (c *Scheduler) chargeQuota(p *placement) {
	team := p.job.team()
	if team == "" {
		return
	}
	p.team = team
	if c.quotas.runs[team] == nil {
		c.quotas.runs[team] = make(map[*placement]bool)
	}
	c.quotas.runs[team][p] = true
	c.quotas.keeper.Charge(c.quotaPart(), team, p.step.Needs)
}

// releaseQuota ends the charge of a run that is over.
func (c *Scheduler) releaseQuota(p *placement) {
	if !c.quotas.runs[p.team][p] {
		return
	}
	delete(c.quotas.runs[p.team], p)
	c.quotas.keeper.Release(c.quotaPart(), p.team, p.step.Needs)
}

// exceedsQuota reports whether a run that is charged does not fit into the quota in force now, which may be
// lower than the one under which it was assigned.
func (c *Scheduler) exceedsQuota(p *placement) bool {
	if p.team == "" {
		return false
	}
	c.updateQuotas()
	if c.quotas.keeper.RoomAfter(p.team, p.step.Needs, p.step.Needs) >= 1 {
		return false
	}
	c.Log.Info("start dropped, the quota has shrunk", "task", p.key.String(), "run", p.run, "worker", p.worker.info.Worker, "team", p.team)
	return true
}

// quotaRefusal returns the error for a job that can never run under its team's quota, or nil.
func (c *Scheduler) quotaRefusal(definition *steptracker.Job) *RefusedError {
	if definition.Team == "" {
		return nil
	}
	c.updateQuotas()
	quota := c.quotas.keeper.UseOf(definition.Team).Quota
	for i := range definition.Steps {
		s := &definition.Steps[i]
		limit := quotakeeper.LimitOfEmpty(quota, s.Needs, tasksAtOnce(s))
		if limit == quotakeeper.None {
			continue
		}
		what := "one task needs "
		if s.Gang {
			what = fmt.Sprintf("%d tasks must run at the same time and each needs ", s.Tasks)
		}
		c.Metrics.RefusedByQuota()
		return &RefusedError{
			Reason: fmt.Sprintf("the quota of team %s never allows step %d: %s%s, the quota is %s",
				definition.Team, i, what, limit.Amount(s.Needs), limit.Amount(quota)),
			RetryAfter: quotaRefusalRetryAfter,
		}
	}
	return nil
}

// tasksAtOnce returns how many tasks of a step must at least run at the same time.
func tasksAtOnce(s *steptracker.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 1
}

// checkUncounted lets all teams start tasks again once every run that an earlier owner assigned is either
// over or listed by its worker: workers that do not list their runs to this owner are not granted leases.
func (c *Scheduler) checkUncounted() {
	if c.now.After(c.inheritedLeaseEnd()) {
		clear(c.quotas.uncountedTeams)
		c.quotas.allUncounted = false
		c.Log.Info("quotas certain again", "cell", c.claim.Cell)
	}
}

// countStrays charges the runs that a worker lists without a placement, because they use their team's
// resources until they are stopped. A run of a job that is not known is not charged: neither its team nor
// its needs are known.
func (c *Scheduler) countStrays(w *worker, listing workerdriver.SyncReply) {
	var strays []strayRun
	for i := range listing.Running {
		key := listing.Running[i].Task
		if p := w.placements[key]; p != nil {
			continue
		}
		definition := c.quotas.unreadableJobs[key.Job]
		if j := c.jobs[key.Job]; j != nil {
			definition = j.definition
		}
		if definition != nil && definition.Team != "" && key.Step < len(definition.Steps) {
			strays = append(strays, strayRun{team: definition.Team, needs: definition.Steps[key.Step].Needs})
		}
	}
	c.replaceStrays(w, strays)
}

// expireStrays ends the charges for the stray runs of a worker whose lease has certainly expired.
func (c *Scheduler) expireStrays(w *worker) {
	if len(c.quotas.strays[w.info.Worker]) > 0 && c.now.After(w.leaseEndsAt) && c.now.Sub(w.lastReplyAt) > c.unresponsiveAfter() {
		c.replaceStrays(w, nil)
	}
}

func (c *Scheduler) replaceStrays(w *worker, strays []strayRun) {
	before := c.quotas.strays[w.info.Worker]
	if len(before) == 0 && len(strays) == 0 {
		return
	}
	for _, stray := range strays {
		c.quotas.keeper.Charge(c.quotaPart(), stray.team, stray.needs)
	}
	for _, stray := range before {
		c.quotas.keeper.Release(c.quotaPart(), stray.team, stray.needs)
	}
	c.quotas.strays[w.info.Worker] = strays
	if len(strays) == 0 {
		delete(c.quotas.strays, w.info.Worker)
	}
	c.roundNeeded = true
}

// noteUnreadable records that a job may have runs that the stored rows do not tell. j is nil if its
// definition is not known either; then any team may have them.
func (c *Scheduler) noteUnreadable(id string, j *job) {
	if j == nil {
		c.quotas.allUncounted = true
		return
	}
	c.quotas.unreadableJobs[id] = j.definition
	if j.definition.Team != "" {
		c.quotas.uncountedTeams[j.definition.Team] = true
	}
}

// noteMissingDefinition records that a team has runs whose needs are not known if the progress of a job
// without a definition has assigned tasks.
func (c *Scheduler) noteMissingDefinition(id string, progress *steptracker.Progress) {
	progress.ForEachTask(id, func(_ steptracker.TaskKey, task *steptracker.Task) {
		if task.Assigned() && progress.Team != "" {
			c.quotas.uncountedTeams[progress.Team] = true
		}
	})
}

// publishQuotas updates the metrics of the teams of the configuration.
func (c *Scheduler) publishQuotas() {
	configuration := c.Configuration.Current()
	if configuration == nil || !configuration.HasTeams() || c.now.Before(c.quotas.nextPublishAt) {
		return
	}
	c.quotas.nextPublishAt = c.now.Add(quotaPublishInterval)
	uses := make(map[string]quotakeeper.Use, len(configuration.Teams))
	for i := range configuration.Teams {
		name := configuration.Teams[i].Name
		uses[name] = c.quotas.keeper.UseOf(name)
	}
	c.Metrics.setTeams(c.claim.Cell, uses)
}
