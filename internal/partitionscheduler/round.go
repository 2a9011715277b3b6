package partitionscheduler

import (
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
	"dotterelpost.example/dotterelpost/internal/queuer"
)

const (
	// defaultGangPatience is how long a gang waits before places are kept free for it.
	defaultGangPatience = 30 * time.Second
	// holdLength, in patiences, is when places are no longer kept free for a gang. Without an end,
	// a gang that can't be served would idle its pools for good.
	holdLength = 4
	// defaultStartAttempts is after how many refused starts a task is given up.
	defaultStartAttempts = 20
	// rememberedAvoids is how many workers that refused a task it is kept off.
	rememberedAvoids = 3
	// maxQuickWait bounds how long one call to a worker waits for a quick request to end.
	maxQuickWait = 30 * time.Second
)

// hold keeps places free for a gang that has waited long: other long work is not placed while it
// lasts.
type hold struct {
	job   *jobtracker.Job
	until time.Time
}

// shape is what makes two placing questions of a round equal: if one found no place, the other
// need not be asked.
type shape struct {
	team  string
	class modeler.Class
	needs modeler.Resources
}

// Round places what can be placed.
func (p *Partition) Round() {
	if p.yielding != nil {
		p.tryHandOver()
		return
	}
	now := p.Clock.Now()
	if !p.dirty || !p.loaded || !p.mayGrant(now) {
		return
	}
	p.dirty = false
	p.endHold(now)
	full := make(map[shape]bool)
	capacity, _ := p.cell.Totals()
	share := func(team string) float64 { return p.share(team, capacity) }
	p.queue.Visit(share, func(job *jobtracker.Job) queuer.Verdict { return p.serve(job, full, now) })
}

// mayGrant tells whether a lease granted now would not be over already, as it would be for workers
// that know only leases while this owner can't renew its ownership.
func (p *Partition) mayGrant(now time.Time) bool {
	return p.settings.Mode.LeaseEnd(now, p.OwnedUntil(), p.settings.TaskLease).After(now)
}

// share is a team's dominant share of the partition as a part of its quota's share. A team without
// a quota counts as if its quota were a hundredth.
func (p *Partition) share(team string, capacity modeler.Resources) float64 {
	const shareWithoutQuota = 0.01
	quota := p.Tickets().QuotaOf(team).DominantShare(capacity)
	return p.used[team].DominantShare(capacity) / max(quota, shareWithoutQuota)
}

func (p *Partition) endHold(now time.Time) {
	if p.hold.job == nil {
		return
	}
	if p.hold.job.Count(jobtracker.Queued) == 0 || now.After(p.hold.until) {
		p.hold.job = nil
	}
}

func (p *Partition) serve(job *jobtracker.Job, full map[shape]bool, now time.Time) queuer.Verdict {
	if job.Cancelled {
		return queuer.Served
	}
	if _, found := job.NextQueued(); !found {
		return queuer.Served
	}
	if job.Spec.Class == modeler.Quick && p.expired(job, now) {
		return queuer.Served
	}
	kind := shape{team: job.Spec.Team, class: job.Spec.Class, needs: job.Spec.Needs}
	if full[kind] && job.Spec.Class != modeler.Gang || p.isHeldBack(job) {
		return queuer.Blocked
	}
	if job.Spec.Class == modeler.Gang {
		return p.serveGang(job, now)
	}
	for {
		task, found := job.NextQueued()
		if !found {
			return queuer.Served
		}
		ask := p.ask(job, 1)
		ask.Avoid = job.Tasks[task].RefusedBy
		if ask.Spread != modeler.SpreadNone && ask.Class != modeler.Quick {
			ask.Beside = besideOf(job)
		}
		placements, shortage := p.cell.Place(ask)
		if shortage != partitionplacer.NoShortage {
			full[kind] = len(ask.Avoid) == 0
			job.Tasks[task].RefusedBy = nil
			p.explain(job, task)
			return queuer.Blocked
		}
		p.start(job, task, placements[0], now)
	}
}

// explain says in the answer why an accepted job waits although no worker that is listed could ever
// hold it. It is not ended for that: it was accepted before all workers were known, or a worker
// that could hold it left the list, which may be wrong and may change.
func (p *Partition) explain(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	t.Reason = ""
	if p.settled && p.neverFits(job.Spec) {
		t.Reason = "no worker of partition " + p.name + " that is listed now could hold it"
	}
}

// expired ends a quick request whose deadline passed in the queue.
func (p *Partition) expired(job *jobtracker.Job, now time.Time) bool {
	deadline := time.Duration(job.Spec.Deadline)
	if deadline == 0 || now.Before(job.AcceptedAt.Add(deadline)) {
		return false
	}
	p.end(job, 0, ending{state: job.Tasks[0].StateWithoutRetry(), reason: "its deadline passed before a slot was free"})
	return true
}

// isHeldBack tells whether a job has to wait for a gang. Short work may pass: it is over before
// the gang could be placed.
func (p *Partition) isHeldBack(job *jobtracker.Job) bool {
	if p.hold.job == nil || p.hold.job == job || job.Spec.Urgent || job.Spec.Class == modeler.Quick {
		return false
	}
	length := time.Duration(job.Spec.ExpectedRunTime)
	return length == 0 || length > p.patience(p.hold.job)
}

func (p *Partition) patience(job *jobtracker.Job) time.Duration {
	policy, _ := p.Tickets().PolicyOf(job.Spec.Team, job.Spec.Class)
	if policy.GangPatience > 0 {
		return time.Duration(policy.GangPatience)
	}
	return defaultGangPatience
}

// serveGang places all open tasks of a gang or none. Tasks of an earlier try that are still being
// stopped keep it waiting.
func (p *Partition) serveGang(job *jobtracker.Job, now time.Time) queuer.Verdict {
	count := job.Count(jobtracker.Queued)
	if count < job.Open() {
		return queuer.Blocked
	}
	placements, shortage := p.cell.Place(p.ask(job, count))
	if shortage != partitionplacer.NoShortage {
		p.considerHold(job, now)
		if task, found := job.NextQueued(); found {
			p.explain(job, task)
		}
		return queuer.Blocked
	}
	for _, placement := range placements {
		task, _ := job.NextQueued()
		p.start(job, task, placement, now)
	}
	return queuer.Served
}

func (p *Partition) considerHold(job *jobtracker.Job, now time.Time) {
	patience := p.patience(job)
	if p.hold.job != nil || now.Sub(job.AcceptedAt) < patience || now.Before(p.hold.until.Add(patience)) {
		return
	}
	p.hold = hold{job: job, until: now.Add(holdLength * patience)}
	p.Log.Info("holding places for gang", "key", job.Key, "partition", p.name, "until", p.hold.until)
}

func besideOf(job *jobtracker.Job) []int {
	var beside []int
	for i := range job.Tasks {
		if site := job.Tasks[i].WorkerIndex; site != jobtracker.NoWorker {
			beside = append(beside, site)
		}
	}
	return beside
}

// start sends a task to the place that was just reserved for it. Now is when the round began.
func (p *Partition) start(job *jobtracker.Job, task int, placement partitionplacer.Placement, now time.Time) {
	index := placement.Worker
	t := &job.Tasks[task]
	t.Reason = ""
	attempt := modeler.Attempt{Partition: p.name, Epoch: p.epoch, Key: job.Key, Task: task, Number: t.Attempts + 1}
	job.Assign(task, index, p.roster.Worker(index).Name, p.roster.Boot(index), attempt)
	p.occupy(index, job, task)
	p.logPlacement(job, attempt, placement, now)
	if t.Attempts == 1 {
		p.Counters.Waited(job.Spec.Class, now.Sub(job.AcceptedAt))
	}
	if job.Spec.Repeatable {
		p.send(job, task)
		return
	}
	p.permit(job, task)
}

func (p *Partition) logPlacement(job *jobtracker.Job, attempt modeler.Attempt, placement partitionplacer.Placement, began time.Time) {
	p.Counters.Decided(job.Spec.Class, "placed")
	p.Log.Info("placed",
		"key", job.Key,
		"task", attempt.Task,
		"class", job.Spec.Class,
		"worker", p.roster.Worker(placement.Worker).Name,
		"partition", p.name,
		"epoch", p.epoch,
		"attempt", attempt.Number,
		"ticket", p.Tickets().Number,
		"reason", placement.Reason,
		"candidates", placement.Candidates,
		"micros", p.Clock.Since(began).Microseconds(),
	)
}

// permit writes that the task may be sent to this worker, once.
func (p *Partition) permit(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	t.Phase = jobtracker.Permitting
	attempt := t.Attempt
	entry := journaler.Entry{
		Kind:    journaler.Permitted,
		Key:     job.Key,
		Task:    task,
		At:      p.Clock.Now(),
		Attempt: &attempt,
		Worker:  t.Worker,
		Boot:    t.Boot,
	}
	p.writeChecked(entry, lingerNone, func(err error) {
		switch err := err.(type) {
		case nil:
			t.Permitted = true
			p.permitted(job, task)
		case *journaler.PermitTakenError:
			p.end(job, task, ending{state: modeler.Unknown, reason: err.Error()})
		default:
			p.deposed()
		}
	})
}

func (p *Partition) permitted(job *jobtracker.Job, task int) {
	if job.Cancelled {
		p.end(job, task, ending{state: modeler.NotRun, reason: "cancelled before it was sent"})
		return
	}
	p.send(job, task)
}

// send starts the attempt on its worker. The call goes on until the outcome is certain.
func (p *Partition) send(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	t.Phase = jobtracker.Starting
	index := t.WorkerIndex
	link := p.roster.Link(index)
	attempt := t.Attempt
	ask := connector.StartRequest{
		Attempt:    attempt,
		Boot:       t.Boot,
		Class:      job.Spec.Class,
		Needs:      job.Spec.Needs,
		LeaseEnd:   link.GrantLease(),
		Repeatable: job.Spec.Repeatable,
		Payload:    job.Spec.Payload,
	}
	counts := 1
	if job.Spec.Class == modeler.Quick {
		ask.Wait = modeler.Duration(min(maxQuickWait, p.settings.TaskLease))
		counts = 0
	}
	p.starting += counts
	go func() {
		outcome := link.Start(ask)
		p.post(func() {
			p.starting -= counts
			p.started(job, task, index, attempt, outcome)
		})
	}()
}

func (p *Partition) started(job *jobtracker.Job, task, index int, attempt modeler.Attempt, outcome fencer.Outcome) {
	if outcome.Ended != nil {
		p.Ended(index, *outcome.Ended)
		return
	}
	t := &job.Tasks[task]
	if t.Attempt != attempt || t.Phase != jobtracker.Starting {
		return
	}
	switch {
	case outcome.Running:
		t.Phase = jobtracker.Running
		t.StartedAt = p.Clock.Now()
		if job.Cancelled {
			p.stopTask(job, task)
		}
	case outcome.NeverRan != "":
		p.refused(job, task, index, outcome.NeverRan)
	case outcome.WorkerRestarted:
		p.lose(job, task, "worker "+p.roster.Worker(index).Name+" restarted while it was sent the task")
	}
}

// refused deals with a start that provably did not and will not run.
func (p *Partition) refused(job *jobtracker.Job, task, index int, refusal connector.Refusal) {
	t := &job.Tasks[task]
	worker := p.roster.Worker(index).Name
	p.Log.Warn("start refused", "key", job.Key, "task", task, "worker", worker, "refusal", refusal, "attempt", t.Attempts)
	if refusal == connector.RefusedLeaving {
		p.roster.SetLeaving(index, true)
	}
	t.RefusedBy = append(t.RefusedBy, index)
	if len(t.RefusedBy) > rememberedAvoids {
		t.RefusedBy = t.RefusedBy[1:]
	}
	policy, _ := p.Tickets().PolicyOf(job.Spec.Team, job.Spec.Class)
	limit := policy.MaxStartAttempts
	if limit == 0 {
		limit = defaultStartAttempts
	}
	reason := "worker " + worker + " refused it: " + string(refusal)
	if saysSomethingOfTask(refusal) {
		t.Refusals++
	}
	if t.Refusals >= limit {
		p.end(job, task, ending{state: t.StateWithoutRetry(), reason: reason})
		return
	}
	if job.Spec.Class == modeler.Gang {
		p.regroup(job, task)
	}
	p.interrupt(job, task, journaler.NeverRan, reason, nil)
}

// saysSomethingOfTask tells whether a refusal counts against a task. A cut, a departure or a lease that
// was over on arrival says nothing of it: a cut of three seconds ended jobs that way.
func saysSomethingOfTask(refusal connector.Refusal) bool {
	switch refusal {
	case fencer.RefusedUnreachable, connector.RefusedLeaving, connector.RefusedLease, connector.RefusedBoot, connector.RefusedEpoch:
		return false
	case connector.RefusedCapacity, connector.RefusedStopped:
		return true
	}
	return true
}

// regroup stops the other tasks of a gang of which one found no place after all.
func (p *Partition) regroup(job *jobtracker.Job, refused int) {
	for task := range job.Tasks {
		phase := job.Tasks[task].Phase
		if task != refused && (phase == jobtracker.Starting || phase == jobtracker.Running) {
			p.stopTask(job, task)
		}
	}
}
