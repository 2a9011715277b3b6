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
	// defaultGangReservationDelay is how long a gang waits before resources are reserved for it.
	defaultGangReservationDelay = 30 * time.Second
	// reservationFactor is how long a reservation for a gang lasts, as a multiple of the gang's
	// reservation delay. Without a limit, a gang that can't be placed would keep its pools idle forever.
	reservationFactor = 4
	// defaultStartAttempts is the number of refused starts after which a task ends.
	defaultStartAttempts = 20
	// maxAvoided limits the workers that a task avoids because they refused it.
	maxAvoided = 3
	// maxQuickWait limits how long one call to a worker waits for a quick request to end.
	maxQuickWait = 30 * time.Second
)

// gangReservation reserves resources for a gang that has waited longer than its reservation delay: until
// it expires, no other job is placed unless it is quick, urgent or expected to be short (backfill).
type gangReservation struct {
	job   *jobtracker.Job
	until time.Time
}

// requestShape identifies equal placement requests: if one fails, others of the same shape need not
// be tried in the same round.
type requestShape struct {
	team  string
	class modeler.Class
	needs modeler.Resources
}

// ScheduleRound places as many queued tasks as possible. During a hand-over it sends the state to
// the next owner instead, as soon as no writes or starts are pending.
func (p *Partition) ScheduleRound() {
	if p.handover != nil {
		p.handOverIfIdle()
		return
	}
	now := p.Clock.Now()
	if !p.dirty || !p.loaded || !p.canGrantLease(now) {
		return
	}
	p.dirty = false
	p.expireReservation(now)
	full := make(map[requestShape]bool)
	capacity, _ := p.placer.Totals()
	share := func(team string) float64 { return p.quotaUsage(team, capacity) }
	p.queue.Visit(share, func(job *jobtracker.Job) queuer.VisitResult { return p.placeJob(job, full, now) })
}

// canGrantLease reports whether a task lease granted now would end in the future. If workers are
// fenced by leases alone, no lease ends later than the ownership, which this owner may be unable to
// renew.
func (p *Partition) canGrantLease(now time.Time) bool {
	return p.settings.FenceMode.LeaseEnd(now, p.OwnedUntil(), p.settings.TaskLease).After(now)
}

// quotaUsage returns a team's dominant share of the partition relative to the dominant share of its
// quota. A team without a quota counts as if it had a quota of one hundredth.
func (p *Partition) quotaUsage(team string, capacity modeler.Resources) float64 {
	const shareWithoutQuota = 0.01
	quota := p.Tickets().QuotaOf(team).DominantShare(capacity)
	return p.usedByTeam[team].DominantShare(capacity) / max(quota, shareWithoutQuota)
}

// expireReservation removes the reservation if it has expired or its gang has no queued tasks.
func (p *Partition) expireReservation(now time.Time) {
	if p.reservation.job == nil {
		return
	}
	if p.reservation.job.Count(jobtracker.Queued) == 0 || now.After(p.reservation.until) {
		p.reservation.job = nil
	}
}

// placeJob places the queued tasks of a job and starts them. Full holds the shapes for which this
// round found no place.
func (p *Partition) placeJob(job *jobtracker.Job, full map[requestShape]bool, now time.Time) queuer.VisitResult {
	if job.Cancelled {
		return queuer.Dequeued
	}
	if _, found := job.NextQueued(); !found {
		return queuer.Dequeued
	}
	if job.Spec.Class == modeler.Quick && p.endIfExpired(job, now) {
		return queuer.Dequeued
	}
	shape := requestShape{team: job.Spec.Team, class: job.Spec.Class, needs: job.Spec.Needs}
	if full[shape] && job.Spec.Class != modeler.Gang || p.yieldsToReservation(job) {
		return queuer.Blocked
	}
	if job.Spec.Class == modeler.Gang {
		return p.placeGang(job, now)
	}
	for {
		task, found := job.NextQueued()
		if !found {
			return queuer.Dequeued
		}
		request := p.placementRequest(job, 1)
		request.Avoid = job.Tasks[task].RefusedBy
		if request.Spread != modeler.SpreadNone && request.Class != modeler.Quick {
			request.JobWorkers = workersOf(job)
		}
		placements, shortage := p.place(job, request, job.Tasks[task].CrashHistory.NeedsIsolation())
		if shortage != partitionplacer.NoShortage {
			full[shape] = len(request.Avoid) == 0
			job.Tasks[task].RefusedBy = nil
			p.setWaitReason(job, task)
			return queuer.Blocked
		}
		p.startTask(job, task, placements[0], now)
	}
}

// setWaitReason sets the reason in the answer of a job that no listed worker could hold even when
// empty. The job is not ended: it was accepted before all workers were known, or a worker that
// could hold it left the list of workers, which may be wrong and may change.
func (p *Partition) setWaitReason(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	t.Reason = ""
	if p.reconciled && p.neverFits(job.Spec) {
		t.Reason = "no worker of partition " + p.name + " that is currently listed could hold it"
	}
}

// endIfExpired ends a quick request whose deadline has passed in the queue, and reports whether it
// did.
func (p *Partition) endIfExpired(job *jobtracker.Job, now time.Time) bool {
	deadline := time.Duration(job.Spec.Deadline)
	if deadline == 0 || now.Before(job.AcceptedAt.Add(deadline)) {
		return false
	}
	p.endTask(job, 0, taskEnd{state: job.Tasks[0].StateWithoutRetry(), reason: "the deadline passed before a slot was free"})
	return true
}

// yieldsToReservation reports whether a job must wait because resources are reserved for a gang.
// A job whose expected run time is at most the gang's reservation delay need not, because it ends
// before the gang could be placed.
func (p *Partition) yieldsToReservation(job *jobtracker.Job) bool {
	if p.reservation.job == nil || p.reservation.job == job || job.Spec.Urgent || job.Spec.Class == modeler.Quick {
		return false
	}
	runTime := time.Duration(job.Spec.ExpectedRunTime)
	return runTime == 0 || runTime > p.gangReservationDelay(p.reservation.job)
}

// gangReservationDelay returns how long a gang waits before resources are reserved for it.
func (p *Partition) gangReservationDelay(job *jobtracker.Job) time.Duration {
	policy, _ := p.Tickets().PolicyOf(job.Spec.Team, job.Spec.Class)
	if policy.GangReservationDelay > 0 {
		return time.Duration(policy.GangReservationDelay)
	}
	return defaultGangReservationDelay
}

// placeGang places all open tasks of a gang or none. The gang waits while tasks of an earlier
// attempt are still being stopped.
func (p *Partition) placeGang(job *jobtracker.Job, now time.Time) queuer.VisitResult {
	count := job.Count(jobtracker.Queued)
	if count < job.Open() {
		return queuer.Blocked
	}
	if reason, failed := job.FailedMember(); failed {
		p.endQueuedTasks(job, reason)
		return queuer.Dequeued
	}
	placements, shortage := p.place(job, p.placementRequest(job, count), anyNeedsIsolation(job))
	if shortage != partitionplacer.NoShortage {
		p.reserveForGang(job, now)
		if task, found := job.NextQueued(); found {
			p.setWaitReason(job, task)
		}
		return queuer.Blocked
	}
	for _, placement := range placements {
		task, _ := job.NextQueued()
		p.startTask(job, task, placement, now)
	}
	return queuer.Dequeued
}

// reserveForGang starts a reservation for a gang that has waited longer than its reservation delay,
// unless there is one already or the last one ended less than that delay ago.
func (p *Partition) reserveForGang(job *jobtracker.Job, now time.Time) {
	delay := p.gangReservationDelay(job)
	if p.reservation.job != nil || now.Sub(job.AcceptedAt) < delay || now.Before(p.reservation.until.Add(delay)) {
		return
	}
	p.reservation = gangReservation{job: job, until: now.Add(reservationFactor * delay)}
	p.Log.Info("reserving resources for gang", "key", job.Key, "partition", p.name, "until", p.reservation.until)
}

// workersOf returns the indexes of the workers that have tasks of the job.
func workersOf(job *jobtracker.Job) []int {
	var workers []int
	for i := range job.Tasks {
		if index := job.Tasks[i].WorkerIndex; index != jobtracker.NoWorker {
			workers = append(workers, index)
		}
	}
	return workers
}

// startTask starts a task on the worker where Place has just reserved resources for it. Now is the
// start of the round.
func (p *Partition) startTask(job *jobtracker.Job, task int, placement partitionplacer.Placement, now time.Time) {
	index := placement.Worker
	t := &job.Tasks[task]
	t.Reason = ""
	attempt := modeler.Attempt{Partition: p.name, Epoch: p.epoch, Key: job.Key, Task: task, Number: t.Attempts + 1}
	job.Assign(task, index, p.registrar.Worker(index).Name, p.registrar.Boot(index), attempt)
	p.recordPlacement(index, job, task)
	if t.CrashHistory.NeedsIsolation() {
		p.beginIsolation(index, taskRef{job: job, task: task})
	}
	p.logPlacement(job, attempt, placement, now)
	if t.Attempts == 1 {
		p.Metrics.ObserveWait(job.Spec.Class, now.Sub(job.AcceptedAt))
	}
	if job.Spec.Repeatable {
		p.sendStart(job, task)
		return
	}
	p.writePermit(job, task)
}

func (p *Partition) logPlacement(job *jobtracker.Job, attempt modeler.Attempt, placement partitionplacer.Placement, roundStart time.Time) {
	p.Metrics.CountDecision(job.Spec.Class, "placed")
	p.Log.Info("placed",
		"key", job.Key,
		"task", attempt.Task,
		"class", job.Spec.Class,
		"worker", p.registrar.Worker(placement.Worker).Name,
		"partition", p.name,
		"epoch", p.epoch,
		"attempt", attempt.Number,
		"ticket", p.Tickets().Number,
		"reason", placement.Reason,
		"candidates", placement.Candidates,
		"micros", p.Clock.Since(roundStart).Microseconds(),
	)
}

// writePermit writes the journal entry that permits a task which is not repeatable to be sent to
// this worker, once.
func (p *Partition) writePermit(job *jobtracker.Job, task int) {
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
			p.sendPermitted(job, task)
		case *journaler.PermitTakenError:
			p.endTask(job, task, taskEnd{state: modeler.Unknown, reason: err.Error()})
		default:
			p.loseOwnership()
		}
	})
}

// sendPermitted sends a task whose permit is written, unless its job was cancelled meanwhile.
func (p *Partition) sendPermitted(job *jobtracker.Job, task int) {
	if job.Cancelled {
		p.endTask(job, task, taskEnd{state: modeler.NotRun, reason: "cancelled before it was sent"})
		return
	}
	p.sendStart(job, task)
}

// sendStart starts the attempt on its worker. The call is retried until the outcome is certain.
func (p *Partition) sendStart(job *jobtracker.Job, task int) {
	t := &job.Tasks[task]
	t.Phase, t.SentAt = jobtracker.Starting, p.Clock.Now()
	index := t.WorkerIndex
	link := p.registrar.Link(index)
	attempt := t.Attempt
	request := connector.StartRequest{
		Attempt:    attempt,
		Boot:       t.Boot,
		Class:      job.Spec.Class,
		Needs:      job.Spec.Needs,
		LeaseEnd:   link.GrantLease(),
		Repeatable: job.Spec.Repeatable,
		Payload:    job.Spec.Payload,
	}
	pending := 1
	if job.Spec.Class == modeler.Quick {
		request.Wait = modeler.Duration(min(maxQuickWait, p.settings.TaskLease))
		pending = 0
	}
	p.pendingStarts += pending
	go func() {
		outcome := link.Start(request)
		p.post(func() {
			p.pendingStarts -= pending
			p.handleStartOutcome(job, task, index, attempt, outcome)
		})
	}()
}

func (p *Partition) handleStartOutcome(job *jobtracker.Job, task, index int, attempt modeler.Attempt, outcome fencer.Outcome) {
	verdict := p.takeVerdict(job, task)
	if outcome.Ended != nil {
		p.TaskEnded(index, *outcome.Ended)
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
		p.registrar.RecordReply(index, t.Boot)
		if job.Cancelled {
			p.stopTask(job, task)
		}
	case outcome.NeverRan != "":
		p.handleRefusal(job, task, index, outcome.NeverRan)
	case outcome.WorkerRestarted:
		p.loseTask(job, task, verdict, "worker "+p.registrar.Worker(index).Name+" restarted while the task was being started")
	}
}

// handleRefusal handles an attempt that provably has not run and never will.
func (p *Partition) handleRefusal(job *jobtracker.Job, task, index int, refusal connector.Refusal) {
	t := &job.Tasks[task]
	worker := p.registrar.Worker(index).Name
	p.Log.Warn("start refused", "key", job.Key, "task", task, "worker", worker, "refusal", refusal, "attempt", t.Attempts)
	switch refusal {
	case connector.RefusedLeaving:
		p.registrar.SetLeaving(index, true)
	case connector.RefusedWrongBoot:
		p.registrar.BootRefused(index, t.Boot)
	default:
	}
	t.RefusedBy = append(t.RefusedBy, index)
	if len(t.RefusedBy) > maxAvoided {
		t.RefusedBy = t.RefusedBy[1:]
	}
	policy, _ := p.Tickets().PolicyOf(job.Spec.Team, job.Spec.Class)
	limit := policy.MaxStartAttempts
	if limit == 0 {
		limit = defaultStartAttempts
	}
	reason := "worker " + worker + " refused the start: " + string(refusal)
	if countsAgainstTask(refusal) {
		t.Refusals++
	}
	if t.Refusals >= limit {
		p.endTask(job, task, taskEnd{state: t.StateWithoutRetry(), reason: reason})
		return
	}
	if job.Spec.Class == modeler.Gang {
		p.stopOtherGangTasks(job, task)
	}
	p.interruptTask(job, task, journaler.NeverRan, reason, nil)
}

// countsAgainstTask reports whether a refusal counts towards the limit of start attempts. Refusals
// that do not depend on the task, such as those of an unreachable or leaving worker or because of a
// lease that expired before the start arrived, do not count: otherwise a network outage of three
// seconds would end jobs.
func countsAgainstTask(refusal connector.Refusal) bool {
	switch refusal {
	case fencer.RefusedUnreachable, connector.RefusedLeaving, connector.RefusedLeaseExpired, connector.RefusedWrongBoot, connector.RefusedStaleEpoch:
		return false
	case connector.RefusedCapacity, connector.RefusedStopped:
		return true
	}
	return true
}

// stopOtherGangTasks stops the other tasks of a gang after the start of one task was refused.
func (p *Partition) stopOtherGangTasks(job *jobtracker.Job, refused int) {
	for task := range job.Tasks {
		phase := job.Tasks[task].Phase
		if task != refused && (phase == jobtracker.Starting || phase == jobtracker.Running) {
			p.stopTask(job, task)
		}
	}
}
