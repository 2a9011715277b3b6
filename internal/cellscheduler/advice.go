package cellscheduler

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// tokenMargin is subtracted from the validity of a placement token, because the assignment is
	// written and the start order is sent before the worker checks the token.
	tokenMargin = 200 * time.Millisecond
	// initialApprovalRate is the assumed approval rate before the first answer.
	initialApprovalRate = 0.4
	// adviceRetryDelay is the delay after a failed advisor call.
	adviceRetryDelay = 100 * time.Millisecond
)

// advisorState is what the scheduler knows about the placement advisor.
type advisorState struct {
	router *advicerouter.Router
	// approvalRates are the fractions of named workers that the advisor approved, by queue.
	approvalRates map[string]float64
	// latencies are the moving averages of the durations of calls, by queue.
	latencies map[string]time.Duration
}

func (a *advisorState) init() {
	a.router, a.approvalRates, a.latencies = advicerouter.New(), make(map[string]float64), make(map[string]time.Duration)
}

// approval is the advisor's approval of one incarnation of a worker for a step.
type approval struct {
	token       string
	startMillis int64
	expiresAt   time.Time
}

// placementToken returns the placement token of a step for a worker. valid is true with an empty
// token if the job's policy does not require one.
func (c *Scheduler) placementToken(key steptracker.StepKey, w *worker) (token string, valid bool) {
	j := c.jobs[key.Job]
	if j == nil {
		return "", false
	}
	s := c.pendingSteps[key]
	if s == nil {
		s = j.steps[key]
	}
	if c.advisorOf(j) == nil {
		return "", true
	}
	if s == nil {
		return "", false
	}
	granted, found := s.approved[w.info.Worker]
	return granted.token, found && granted.startMillis == w.info.StartMillis && c.now.Before(granted.expiresAt)
}

func (c *Scheduler) dropToken(key steptracker.StepKey, w *worker) {
	if j := c.jobs[key.Job]; j != nil && j.steps[key] != nil {
		delete(j.steps[key].approved, w.info.Worker)
	}
}

// adviceCall is the purpose of a call to the advisor.
type adviceCall int

const (
	// nomination asks about workers that the step could use.
	nomination adviceCall = iota
	// renewal asks for new placement tokens for workers that are approved.
	renewal
)

// requestAdvice calls the advisor for a step and some workers. It reports whether an instance was
// available for the call.
func (c *Scheduler) requestAdvice(s *step, advisor *configprovider.AdvisorSettings, workers []string, purpose adviceCall) bool {
	if len(workers) == 0 {
		return false
	}
	cost := advisor.Latency(len(workers))
	instance := c.advisor.router.Choose(cost, c.now)
	if instance == "" {
		return false
	}
	if purpose == renewal {
		s.renewalsInFlight++
	} else {
		s.adviceInFlight, s.lastAdviceAt = true, c.now
	}
	answered := c.advisor.router.RecordCall(instance, cost, c.now)
	key, startMillis := s.key, make(map[string]int64, len(workers))
	needs := s.def.Reservation().Processors
	requested := make([]*worker, 0, len(workers))
	for _, id := range workers {
		w := c.workers[id]
		startMillis[id] = w.info.StartMillis
		w.adviceRequested += needs
		requested = append(requested, w)
	}
	sentAt := c.now
	queue := s.job.progress.Queue
	valid := advisor.TokenLifetime
	c.group.Go(func() {
		answer, err := c.AdvisorClient.Advise(c.ctx, instance, key, workers)
		c.post(func() {
			answered(c.now, err)
			for _, w := range requested {
				w.adviceRequested -= needs
			}
			// The tokens are taken to be valid for as long as the advisor says, but for at least half
			// of the configured lifetime and at most all of it.
			c.adviceAnswered(s, purpose, queue, answer, err, startMillis, sentAt, min(valid, max(answer.Valid, valid/2)))
			c.resumeStarts(s)
		})
	})
	return true
}

// A long advisor call is made only if it is expected to find room for minExpectedPlaces tasks, or
// for all unassigned tasks if there are fewer, because each call costs the advisor a fixed time.
// Once minPlacesTimeout has passed since the step's last call, a call for fewer tasks is made too.
const (
	minExpectedPlaces = 4
	minPlacesTimeout  = time.Second
)

// selectNominees chooses the workers to name to the advisor. Each named worker makes the call
// longer, and only a fraction is approved. Workers on which a task of the step failed are named
// only if there are no others. worthwhile reports whether the expected result justifies the call.
func (c *Scheduler) selectNominees(s *step, advisor *configprovider.AdvisorSettings) (workers []string, worthwhile bool) {
	approvalRate := c.advisor.approvalRates[s.job.progress.Queue]
	if approvalRate == 0 {
		approvalRate = initialApprovalRate
	}
	isolated := !s.hasOrdinaryTask()
	unusable := func(index int) bool {
		return isolated && !c.mayIsolateOn(c.candidateWorkers[index])
	}
	approved := slices.DeleteFunc(c.approvedCandidates(s, false), unusable)
	// If one call can't name more workers than those, it must name others.
	unknownOnly := asksInAdvance(s, advisor) || s.def.Gang && len(approved) >= candidateselector.MaxCandidates
	excluded := func(index int) bool {
		return c.isRejected(s, index) || !c.isEligible(s, index) || unusable(index) || unknownOnly && s.isApproved(c.candidateWorkers[index])
	}
	request := candidateselector.Request{
		Step: s.def, Tasks: min(s.unassigned(), c.quotaRoom(s)), SuitableShare: approvalRate,
		Excluded: func(index int) bool {
			return excluded(index) || s.failedOn[c.candidates[index].Worker]
		},
	}
	if unknownOnly {
		request.MayBeBusy = true
		if known := c.roomWhenEmpty(s, approved); known < candidateselector.GangOversampling*len(s.tasks) {
			request.Known = known
		}
	} else {
		request.KnownSuitable = approved
	}
	indexes, expectedPlaces := c.selector.Select(request)
	if len(indexes) == 0 {
		request.Excluded = excluded
		indexes, expectedPlaces = c.selector.Select(request)
	}
	workers = make([]string, len(indexes))
	for i, index := range indexes {
		workers[i] = c.candidates[index].Worker
	}
	cheap := !advicerouter.IsLong(advisor.Latency(len(workers)))
	return workers, cheap || expectedPlaces >= float64(min(request.Tasks, minExpectedPlaces)) || c.now.Sub(s.lastAdviceAt) > minPlacesTimeout
}

// approvalRateWeight is the weight of the latest answer in the moving average of approval rates.
const approvalRateWeight = 0.15

func (c *Scheduler) adviceAnswered(s *step, purpose adviceCall, queue string, answer workerdriver.Advice, err error, startMillis map[string]int64, sentAt time.Time, valid time.Duration) {
	c.roundNeeded = true
	if purpose == renewal {
		s.renewalsInFlight--
	} else {
		s.adviceInFlight = false
	}
	c.Metrics.AdviceAnswered(c.now.Sub(sentAt), err)
	if err != nil {
		if purpose == renewal {
			s.nextRenewalAt = later(s.nextRenewalAt, c.now.Add(adviceRetryDelay))
		} else {
			s.nextAdviceAt = c.now.Add(adviceRetryDelay)
		}
		// There may be no advisor, so a job whose policy names none tries again without a token.
		s.job.needsToken = false
		var busy *workerdriver.BusyError
		if !errors.As(err, &busy) {
			c.Log.Warn("advisor call failed", "job", s.key.Job, "step", s.key.Step, "error", err)
		}
		return
	}
	s.answered = true
	c.advisor.latencies[queue] = updateLatency(c.advisor.latencies[queue], c.now.Sub(sentAt))
	c.Log.Info("advised", "job", s.key.Job, "step", s.key.Step, "named", len(startMillis), "good", len(answer.Tickets), "took-ms", c.now.Sub(sentAt).Milliseconds())
	for _, token := range answer.Tickets {
		incarnation, named := startMillis[token.Worker]
		if !named {
			continue
		}
		s.approved[token.Worker] = approval{token: token.Text, startMillis: incarnation, expiresAt: c.now.Add(valid - tokenMargin)}
		delete(startMillis, token.Worker)
	}
	// The workers left in startMillis were named but not approved.
	for id, incarnation := range startMillis {
		s.rejected[id] = incarnation
		delete(s.approved, id)
	}
	if named := len(startMillis) + len(answer.Tickets); named > 0 && purpose == nomination {
		rate := float64(len(answer.Tickets)) / float64(named)
		if previous := c.advisor.approvalRates[queue]; previous > 0 {
			rate = previous + approvalRateWeight*(rate-previous)
		}
		c.advisor.approvalRates[queue] = max(rate, 0.05)
	}
}
