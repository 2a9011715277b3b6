package cellscheduler

import (
	"cmp"
	"slices"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/quotakeeper"
)

// quotaHead is a step that has to wait for its team's quota. The other steps of the team leave the reserved
// resources free, except with tasks that end before roomAt, when the step is expected to have room.
type quotaHead struct {
	step     *step
	reserved modeler.Resources
	roomAt   time.Time
}

// quotaHold is the state of a step that its team's quota holds.
type quotaHold struct {
	// since is when the quota had no room for all of the step's tasks, blockedSince when it had no room
	// for any; the zero time if it has.
	since, blockedSince time.Time
	limit               quotakeeper.Limit
	// roomAt is when the step is expected to have room, estimated at estimatedAt. hasRoom is not set if
	// the runs that have an end do not leave enough room.
	roomAt, estimatedAt time.Time
	hasRoom             bool
	// Until overtakesUntil a part of the quota is reserved for the step against steps of higher rank.
	overtakesUntil time.Time
}

const (
	// quotaPatience is how long a step is blocked by its team's quota in favour of steps of higher rank.
	// Then a part of the quota is reserved for it for up to maxOvertaking, so that a gang does not wait for
	// ever behind the team's quick tasks. Each team does this for one step at a time, and quotaPatience
	// lies between two.
	quotaPatience = 2 * time.Second
	maxOvertaking = 4 * time.Second
	// roomEstimateInterval is how often the time at which a blocked step has room is estimated anew.
	roomEstimateInterval = 200 * time.Millisecond
)

// beginQuotaRound prepares the quotas for a placement round. For each team, a part of the quota is reserved
// for the step that has been blocked the longest, if that is too long.
func (c *Scheduler) beginQuotaRound(ranked []*step) {
	c.updateQuotas()
	clear(c.quotas.heads)
	if len(c.quotas.uncountedTeams) > 0 || c.quotas.allUncounted {
		c.checkUncounted()
	}
	longest := c.quotas.longest
	clear(longest)
	for _, s := range ranked {
		team := s.job.team()
		switch {
		case c.now.Before(s.hold.overtakesUntil):
			c.reserveQuota(s)
		case s.hold.blockedSince.IsZero() || c.now.Sub(s.hold.blockedSince) < quotaPatience || c.now.Before(c.quotas.nextOvertakeAt[team]):
		case longest[team] != nil && !s.hold.blockedSince.Before(longest[team].hold.blockedSince):
		case c.rank(s).Tier <= prioritizer.TierLate:
			longest[team] = s
		}
	}
	for team, s := range longest {
		s.hold.overtakesUntil = c.now.Add(maxOvertaking)
		c.quotas.nextOvertakeAt[team] = s.hold.overtakesUntil.Add(quotaPatience)
		c.reserveQuota(s)
	}
}

// quotaRoom returns how many tasks of a step its team's quota has room for, beside what is reserved for
// another step of the team. Of a gang it is 0 unless the whole gang has room.
func (c *Scheduler) quotaRoom(s *step) int {
	team := s.job.team()
	if team == "" {
		return quotakeeper.Unlimited
	}
	if c.quotas.keeper.UseOf(team).Quota == (modeler.Resources{}) {
		return quotakeeper.Unlimited
	}
	if c.quotas.allUncounted || c.quotas.uncountedTeams[team] {
		return 0
	}
	room := c.quotas.keeper.Room(team, s.def.Needs, c.reservedQuota(s))
	if s.def.Gang && room < len(s.tasks) {
		return 0
	}
	return room
}

// reservedQuota returns the part of the team's quota that a step must leave free for another one. Long-running
// tasks serve users all the time and leave nothing free.
func (c *Scheduler) reservedQuota(s *step) modeler.Resources {
	head, found := c.quotas.heads[s.job.team()]
	if !found || head.step == s || s.def.LongRunning || !c.now.Add(c.expectedDuration(s.job, s.key.Step)).After(head.roomAt) {
		return modeler.Resources{}
	}
	return head.reserved
}

// hasQuotaRoom reports whether the quota of a step's team has room for a task of it, or for the whole gang.
// Without room neither the advisor nor workers are asked for the step.
func (c *Scheduler) hasQuotaRoom(s *step) bool {
	room, team := c.quotaRoom(s), s.job.team()
	switch {
	case room == quotakeeper.Unlimited:
		c.endHold(s)
		s.hold.blockedSince = time.Time{}
		return true
	case room >= s.unassigned():
		c.endHold(s)
	case s.hold.since.IsZero():
		c.beginHold(s)
	}
	if room > 0 {
		s.hold.blockedSince = time.Time{}
		return true
	}
	if s.hold.blockedSince.IsZero() {
		s.hold.blockedSince = c.now
	}
	s.reserved = nil
	if _, found := c.quotas.heads[team]; !found {
		c.reserveQuota(s)
	}
	return false
}

// uncountedRuns is the limit of a step whose team may have runs that are not counted.
const uncountedRuns quotakeeper.Limit = "uncounted runs"

func (c *Scheduler) beginHold(s *step) {
	team, tasks := s.job.team(), s.unassigned()
	use := c.quotas.keeper.UseOf(team)
	s.hold.since = c.now
	s.hold.limit = c.quotas.keeper.LimitOf(team, s.def.Needs, c.reservedQuota(s), tasks)
	if s.hold.limit == quotakeeper.None {
		s.hold.limit = uncountedRuns
	}
	c.Metrics.HeldByQuota()
	c.Log.Info("held by quota", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step, "team", team, "limit", s.hold.limit,
		"tasks", tasks, "gang", s.def.Gang, "each", s.def.Needs, "in-use", use.InUse, "quota", use.Quota)
}

// endHold records that the quota has room for all of a step that was held.
func (c *Scheduler) endHold(s *step) {
	if s.hold.since.IsZero() {
		return
	}
	held := c.now.Sub(s.hold.since)
	s.hold.since = time.Time{}
	c.Metrics.ReleasedByQuota(held)
	c.Log.Info("quota has room", "job", s.key.Job, "occurrence", s.key.Occurrence, "step", s.key.Step, "team", s.job.team(), "limit", s.hold.limit, "held-ms", held.Milliseconds())
}

// reserveQuota reserves a part of the team's quota for a blocked step, unless it would have no room even after
// all runs that have an end: then the quota would lie idle for it.
func (c *Scheduler) reserveQuota(s *step) {
	team := s.job.team()
	if c.now.Sub(s.hold.estimatedAt) >= roomEstimateInterval {
		s.hold.roomAt, s.hold.hasRoom = c.quotaRoomAt(team, s)
		s.hold.estimatedAt = c.now
	}
	if s.hold.hasRoom {
		c.quotas.heads[team] = quotaHead{step: s, reserved: s.def.Needs.Times(tasksAtOnce(s.def)), roomAt: s.hold.roomAt}
	}
}

// reserveQuotaForAdvice follows the visit of a step. It reserves a part of the team's quota for a gang that
// has room and waits for the advisor's answer, so that steps of lower rank do not use it up meanwhile.
func (c *Scheduler) reserveQuotaForAdvice(s *step) {
	team := s.job.team()
	head, found := c.quotas.heads[team]
	pending := c.pendingSteps[s.key] == s
	waits := !s.hold.blockedSince.IsZero() || c.now.Before(s.hold.overtakesUntil)
	if found && head.step == s && (!pending || !waits) {
		delete(c.quotas.heads, team)
		found = false
	}
	if !found && pending && team != "" && s.def.Gang && (s.adviceInFlight || s.renewalsInFlight > 0) {
		c.quotas.heads[team] = quotaHead{step: s, reserved: s.def.Needs.Times(len(s.tasks))}
	}
}

// quotaRoomAt returns when a step is expected to have room in its team's quota if nothing else of the team
// starts. It reports false if the runs that have an end do not leave enough room.
func (c *Scheduler) quotaRoomAt(team string, s *step) (time.Time, bool) {
	if c.quotas.keeper.RoomAfter(team, s.def.Needs, modeler.Resources{}) >= tasksAtOnce(s.def) {
		return c.now, true
	}
	type end struct {
		at    time.Time
		needs modeler.Resources
	}
	ends := make([]end, 0, len(c.quotas.runs[team]))
	for p := range c.quotas.runs[team] {
		switch {
		case p.stopReason != "":
			ends = append(ends, end{c.now, p.step.Needs})
		case !p.step.LongRunning && p.job.definition != nil:
			startedAt := p.startedAt
			if startedAt.IsZero() {
				startedAt = p.placedAt
			}
			ends = append(ends, end{startedAt.Add(c.expectedDuration(p.job, p.key.Step)), p.step.Needs})
		}
	}
	slices.SortFunc(ends, func(a, b end) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.needs.Processors, b.needs.Processors))
	})
	var freed modeler.Resources
	for i := range ends {
		freed = freed.Plus(ends[i].needs)
		if c.quotas.keeper.RoomAfter(team, s.def.Needs, freed) >= tasksAtOnce(s.def) {
			return ends[i].at, true
		}
	}
	return time.Time{}, false
}

// withinQuota returns those of the tasks that the quota has room for; of a gang, all or none.
func (c *Scheduler) withinQuota(s *step, tasks []int) []int {
	return tasks[:min(len(tasks), c.quotaRoom(s))]
}
