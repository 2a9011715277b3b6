package cellscheduler

import (
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/advicerouter"
	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

const (
	// ticketMargin is how long a ticket must still hold when it is used: the record is written and
	// the start travels meanwhile.
	ticketMargin = 200 * time.Millisecond
	// firstShare is the share of workers that is taken to be good before any call was answered.
	firstShare = 0.4
	// callAgain is the pause after a call that failed.
	callAgain = 100 * time.Millisecond
)

// advice is what is known of the advisor.
type advice struct {
	router *advicerouter.Router
	// share is the share of named workers that were good, for each queue.
	share map[string]float64
}

func (a *advice) init() {
	a.router, a.share = advicerouter.New(), make(map[string]float64)
}

// goodWorker is a worker that may run a step, as far as the advisor said so in one life of it.
type goodWorker struct {
	text  string
	born  int64
	until time.Time
}

// ticket returns the ticket of a step for a worker. valid is true without a ticket where the queue
// needs none.
func (c *Scheduler) ticket(key steptracker.StepKey, w *worker) (text string, valid bool) {
	j := c.jobs[key.Job]
	if j == nil {
		return "", false
	}
	queue := c.queueOf(j)
	s := c.pendingSteps[key]
	if s == nil {
		s = j.steps[key]
	}
	if queue == nil || queue.Advisor == nil {
		return "", true
	}
	if s == nil {
		return "", false
	}
	good, found := s.good[w.info.Worker]
	return good.text, found && good.born == w.info.StartMillis && c.now.Before(good.until)
}

func (c *Scheduler) dropTicket(key steptracker.StepKey, w *worker) {
	if j := c.jobs[key.Job]; j != nil && j.steps[key] != nil {
		delete(j.steps[key].good, w.info.Worker)
	}
}

// askAbout asks the advisor about a step and some workers. It reports whether an instance was free for
// the call.
func (c *Scheduler) askAbout(s *step, queue *configprovider.Queue, named []string) bool {
	if len(named) == 0 {
		return false
	}
	cost := queue.Advisor.Latency(len(named))
	instance := c.advice.router.Choose(cost, c.now)
	if instance == "" {
		return false
	}
	s.asking, s.askedAt = true, c.now
	answered := c.advice.router.RecordCall(instance, cost, c.now)
	key, born := s.key, make(map[string]int64, len(named))
	needs := s.def.Reservation().Processors
	asked := make([]*worker, 0, len(named))
	for _, id := range named {
		w := c.workers[id]
		born[id] = w.info.StartMillis
		w.asked += needs
		asked = append(asked, w)
	}
	sentAt := c.now
	queueName := queue.Name
	valid := queue.Advisor.TokenLifetime
	c.group.Go(func() {
		answer, err := c.AdvisorClient.Advise(c.ctx, instance, key, named)
		c.post(func() {
			answered(c.now, err)
			for _, w := range asked {
				w.asked -= needs
			}
			c.advised(s, queueName, answer, err, born, sentAt, min(valid, max(answer.Valid, valid/2)))
		})
	})
	return true
}

// leastSought is for how many tasks, if so many are missing, a call must be expected to find room: each
// call costs the advisor a fixed time. After patientFor the step asks for fewer too.
const (
	leastSought = 4
	patientFor  = time.Second
)

// nominees chooses the workers to name: each costs time, and only a share of them is good. Workers on
// which a task of the step has failed are named only if there are no others. enough tells whether the
// question is worth its time.
func (c *Scheduler) nominees(s *step, queue *configprovider.Queue) (named []string, enough bool) {
	share := c.advice.share[queue.Name]
	if share == 0 {
		share = firstShare
	}
	short := c.isShort(s)
	barred := func(site int) bool {
		return c.isRejected(s, &c.candidates[site]) || !c.mayTake(s, &c.candidates[site], short)
	}
	ask := candidateselector.Request{Step: s.def, Tasks: s.missing(), SuitableShare: share, KnownSuitable: c.goodSites(s, false), Excluded: func(site int) bool {
		return barred(site) || s.failedOn[c.candidates[site].Worker]
	}}
	sites, places := c.selector.Select(ask)
	if len(sites) == 0 {
		ask.Excluded = barred
		sites, places = c.selector.Select(ask)
	}
	named = make([]string, len(sites))
	for i, site := range sites {
		named[i] = c.candidates[site].Worker
	}
	cheap := !advicerouter.IsLong(queue.Advisor.Latency(len(named)))
	return named, cheap || places >= float64(min(ask.Tasks, leastSought)) || c.now.Sub(s.askedAt) > patientFor
}

// shareWeight is the weight of the latest answer in the learned share of good workers.
const shareWeight = 0.15

func (c *Scheduler) advised(s *step, queue string, answer workerdriver.Advice, err error, born map[string]int64, sentAt time.Time, valid time.Duration) {
	s.asking = false
	c.roundNeeded = true
	c.Metrics.AdviceAnswered(c.now.Sub(sentAt), err)
	if err != nil {
		s.askAfter = c.now.Add(callAgain)
		var busy *workerdriver.BusyError
		if !errors.As(err, &busy) {
			c.Log.Warn("no advice", "job", s.key.Job, "step", s.key.Step, "error", err)
		}
		return
	}
	c.Log.Info("advised", "job", s.key.Job, "step", s.key.Step, "named", len(born), "good", len(answer.Tickets), "took-ms", c.now.Sub(sentAt).Milliseconds())
	for _, ticket := range answer.Tickets {
		life, named := born[ticket.Worker]
		if !named {
			continue
		}
		s.good[ticket.Worker] = goodWorker{text: ticket.Text, born: life, until: c.now.Add(valid - ticketMargin)}
		delete(born, ticket.Worker)
	}
	for id, life := range born {
		s.rejected[id] = life
		delete(s.good, id)
	}
	if named := len(born) + len(answer.Tickets); named > 0 {
		share := float64(len(answer.Tickets)) / float64(named)
		if known := c.advice.share[queue]; known > 0 {
			share = known + shareWeight*(share-known)
		}
		c.advice.share[queue] = max(share, 0.05)
	}
}
