package conductor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/nominator"
	"dotterelpost.example/dotterelpost/internal/orderer"
	"dotterelpost.example/dotterelpost/internal/ruler"
	"dotterelpost.example/dotterelpost/internal/stepper"
)

const (
	// ticketMargin is how long a ticket must still hold when it is used: the record is written and
	// the start travels meanwhile.
	ticketMargin = 200 * time.Millisecond
	// longCall is from which length a call of the advisor keeps others waiting noticeably.
	longCall = 30 * time.Millisecond
	// quickQueue and longQueue are how much work may wait for the advisor on one instance when
	// another call joins it.
	quickQueue = 60 * time.Millisecond
	longQueue  = 20 * time.Millisecond
	// mostQueued bounds the calls of one instance; the advisor refuses them from 32 on.
	mostQueued = 16
	// overheadWeight is the weight of the latest call in what is known of an instance's way to the
	// advisor.
	overheadWeight = 0.2
	// quickInstances are kept free of long calls at least, where there are more instances, and spareLoad
	// times as many as the quick calls of the last second kept busy.
	quickInstances = 2
	spareLoad      = 1.5
	// firstShare is the share of workers that is taken to be good before any call was answered.
	firstShare = 0.4
	// callAgain is the pause after a call that failed.
	callAgain = 100 * time.Millisecond
)

// advice is what is known of the advisor.
type advice struct {
	lines map[string]*line
	// near are the lines of the instances that can ask now, the nearest to the advisor first.
	near []*line
	// quickWork is the advisor's work for quick calls, fading within a second; it was counted at
	// quickAt.
	quickWork time.Duration
	quickAt   time.Time
	// share is the share of named workers that were good, for each queue.
	share map[string]float64
}

// line is the queue of one instance's calls at the advisor, which serves them in turn.
type line struct {
	instance string
	// clearAt is when the calls so far are served.
	clearAt time.Time
	queued  int
	// overhead is how long a call takes beyond the advisor's own work and the calls before it.
	overhead time.Duration
}

func (a *advice) init() {
	a.lines, a.share = make(map[string]*line), make(map[string]float64)
}

func (a *advice) line(instance string) *line {
	if a.lines[instance] == nil {
		a.lines[instance] = &line{instance: instance}
	}
	return a.lines[instance]
}

// goodWorker is a worker that may run a step, as far as the advisor said so in one life of it.
type goodWorker struct {
	text  string
	born  int64
	until time.Time
}

// ticket returns the ticket of a step for a worker. valid is true without a ticket where the queue
// needs none.
func (c *Conductor) ticket(key stepper.StepKey, w *worker) (text string, valid bool) {
	j := c.jobs[key.Job]
	if j == nil {
		return "", false
	}
	queue := c.queueOf(j)
	s := c.hungry[key]
	if s == nil {
		s = j.steps[key]
	}
	if queue == nil || queue.Advice == nil {
		return "", true
	}
	if s == nil {
		return "", false
	}
	good, found := s.good[w.info.Worker]
	return good.text, found && good.born == w.info.Born && c.now.Before(good.until)
}

func (c *Conductor) dropTicket(key stepper.StepKey, w *worker) {
	if j := c.jobs[key.Job]; j != nil && j.steps[key] != nil {
		delete(j.steps[key].good, w.info.Worker)
	}
}

// sortLines takes in which instances can ask now.
func (a *advice) sortLines(instances []string) {
	a.near = a.near[:0]
	for _, instance := range instances {
		a.near = append(a.near, a.line(instance))
	}
	slices.SortFunc(a.near, func(x, y *line) int {
		return cmp.Or(cmp.Compare(x.overhead, y.overhead), cmp.Compare(x.instance, y.instance))
	})
}

// countQuick counts the work of a quick call.
func (a *advice) countQuick(cost time.Duration, now time.Time) {
	faded := math.Exp(-now.Sub(a.quickAt).Seconds())
	a.quickWork, a.quickAt = time.Duration(faded*float64(a.quickWork))+cost, now
}

// reserved is how many instances take quick calls only.
func (a *advice) reserved(now time.Time) int {
	load := math.Exp(-now.Sub(a.quickAt).Seconds()) * a.quickWork.Seconds()
	wanted := 1 + int(math.Ceil(spareLoad*load))
	return min(max(quickInstances, min(wanted, len(a.near)/2)), len(a.near)-1)
}

// instances chooses an instance for a quick call and one for a long call; an empty name means that
// none should take one now. The instances nearest to the advisor are kept for the quick calls, where
// there are others.
func (a *advice) instances(now time.Time) (quick, long string) {
	var quickAt, longAt time.Duration
	reserved := a.reserved(now)
	for i, l := range a.near {
		waits := max(0, l.clearAt.Sub(now))
		served := waits + l.overhead
		if l.queued >= mostQueued {
			continue
		}
		if waits <= quickQueue && (quick == "" || served < quickAt) {
			quick, quickAt = l.instance, served
		}
		if waits <= longQueue && i >= reserved && (long == "" || served < longAt) {
			long, longAt = l.instance, served
		}
	}
	return quick, long
}

// askAbout asks the advisor about a step and some workers.
func (c *Conductor) askAbout(s *step, queue *ruler.Queue, named []string) bool {
	if len(named) == 0 {
		return false
	}
	cost := queue.Advice.Cost(len(named))
	instance := c.freeQuick
	if cost >= longCall {
		instance = c.freeLong
	}
	if instance == "" {
		return false
	}
	if cost < longCall {
		c.advice.countQuick(cost, c.now)
	}
	s.asking, s.askedAt = true, c.now
	l := c.advice.line(instance)
	l.clearAt = maxTime(l.clearAt, c.now).Add(cost)
	l.queued++
	served := l.clearAt
	c.freeQuick, c.freeLong = c.advice.instances(c.now)
	key, born := s.key, make(map[string]int64, len(named))
	needs := s.def.Reserved().Processors
	asked := make([]*worker, 0, len(named))
	for _, id := range named {
		w := c.workers[id]
		born[id] = w.info.Born
		w.asked += needs
		asked = append(asked, w)
	}
	sentAt := c.now
	queueName := queue.Name
	valid := queue.Advice.Valid
	c.group.Go(func() {
		answer, err := c.Advisors.Advise(c.ctx, instance, key, named)
		c.post(func() {
			l.queued--
			for _, w := range asked {
				w.asked -= needs
			}
			l.learn(c.now.Sub(served), err)
			c.advised(s, queueName, answer, err, born, sentAt, min(valid, max(answer.Valid, valid/2)))
		})
	})
	return true
}

// learn takes in how long after the advisor should have served a call its answer came. A call that
// failed counts as a second: the instance may be cut off.
func (l *line) learn(late time.Duration, err error) {
	if err != nil {
		late = time.Second
	}
	l.overhead += time.Duration(overheadWeight * float64(max(0, late)-l.overhead))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
func (c *Conductor) nominees(s *step, queue *ruler.Queue) (named []string, enough bool) {
	share := c.advice.share[queue.Name]
	if share == 0 {
		share = firstShare
	}
	short := c.isShort(s)
	barred := func(site int) bool {
		return c.isRejected(s, &c.sites[site]) || !c.mayTake(s, &c.sites[site], short)
	}
	ask := nominator.Ask{Step: s.def, Tasks: s.missing(), Share: share, Good: c.goodSites(s, false), Skip: func(site int) bool {
		return barred(site) || s.failedOn[c.sites[site].Worker]
	}}
	sites, places := c.list.Nominate(ask)
	if len(sites) == 0 {
		ask.Skip = barred
		sites, places = c.list.Nominate(ask)
	}
	named = make([]string, len(sites))
	for i, site := range sites {
		named[i] = c.sites[site].Worker
	}
	long := queue.Advice.Cost(len(named)) >= longCall
	return named, !long || places >= float64(min(ask.Tasks, leastSought)) || c.now.Sub(s.askedAt) > patientFor
}

// shareWeight is the weight of the latest answer in the learned share of good workers.
const shareWeight = 0.15

func (c *Conductor) advised(s *step, queue string, answer orderer.Advice, err error, born map[string]int64, sentAt time.Time, valid time.Duration) {
	s.asking = false
	c.dirty = true
	c.Counts.Advised(c.now.Sub(sentAt), err)
	if err != nil {
		s.askAfter = c.now.Add(callAgain)
		var busy *orderer.BusyError
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
