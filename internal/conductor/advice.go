package conductor

import (
	"sort"
	"time"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/orderer"
	"dotterelpost.example/dotterelpost/internal/packer"
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
	// quickInstances are kept free of long calls, where there are more instances.
	quickInstances = 2
	// mostNamed is how many workers one call may name.
	mostNamed = 100
	// firstShare is the share of workers that is taken to be good before any call was answered.
	firstShare = 0.4
	// spareFactor is how many more good workers are sought than the tasks need.
	spareFactor = 1.6
	// callAgain is the pause after a call that failed.
	callAgain = 100 * time.Millisecond
)

// advice is what is known of the advisor.
type advice struct {
	lines map[string]*line
	// share is the share of named workers that were good, for each queue.
	share map[string]float64
}

// line is the queue of one instance's calls at the advisor, which serves them in turn.
type line struct {
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
		a.lines[instance] = &line{}
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

// instances chooses an instance for a quick call and one for a long call; an empty name means that
// none should take one now. The instances nearest to the advisor are kept for the quick calls, where
// there are others.
func (c *Conductor) instances() (quick, long string) {
	names := c.Advisors.Instances()
	sort.Strings(names)
	sort.SliceStable(names, func(i, j int) bool {
		return c.advice.line(names[i]).overhead < c.advice.line(names[j]).overhead
	})
	var quickAt, longAt time.Time
	for i, name := range names {
		l := c.advice.line(name)
		waits := max(0, l.clearAt.Sub(c.now))
		servedAt := c.now.Add(waits + l.overhead)
		if l.queued >= mostQueued {
			continue
		}
		if waits <= quickQueue && (quick == "" || servedAt.Before(quickAt)) {
			quick, quickAt = name, servedAt
		}
		if waits <= longQueue && i >= min(quickInstances, len(names)-1) && (long == "" || servedAt.Before(longAt)) {
			long, longAt = name, servedAt
		}
	}
	return quick, long
}

// seek asks the advisor about a step if an instance is free for it. It reports whether it did.
func (c *Conductor) seek(s *step, queue *ruler.Queue, sites []packer.Site) bool {
	return c.askAbout(s, queue, c.nominees(s, queue, sites))
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
	s.asking = true
	l := c.advice.line(instance)
	l.clearAt = maxTime(l.clearAt, c.now).Add(cost)
	l.queued++
	served := l.clearAt
	c.freeQuick, c.freeLong = c.instances()
	key, born := s.key, make(map[string]int64, len(named))
	for _, id := range named {
		born[id] = c.workers[id].info.Born
	}
	sentAt := c.now
	queueName := queue.Name
	valid := queue.Advice.Valid
	c.group.Go(func() {
		answer, err := c.Advisors.Advise(c.ctx, instance, key, named)
		c.post(func() {
			l.queued--
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

// nominees chooses the workers to name: each costs time, and only a share of them is good. Workers
// known to be good are named alone if they have the room.
func (c *Conductor) nominees(s *step, queue *ruler.Queue, sites []packer.Site) []string {
	needs := s.def.Reserved()
	room := make([]packer.Site, 0, len(sites))
	for _, site := range sites {
		if s.rejected[site.Worker] == c.workers[site.Worker].info.Born && s.rejected[site.Worker] != 0 {
			continue
		}
		if packer.Count(site.Free, needs, s.def.MostPerWorker) > 0 {
			room = append(room, site)
		}
	}
	sort.SliceStable(room, func(i, j int) bool {
		a, b := &room[i], &room[j]
		aGood, bGood := s.isGood(a.Worker), s.isGood(b.Worker)
		if aGood != bGood {
			return aGood
		}
		if s.def.DataRack != "" && (a.Rack == s.def.DataRack) != (b.Rack == s.def.DataRack) {
			return a.Rack == s.def.DataRack
		}
		if a.Slowness+0.4 < b.Slowness || b.Slowness+0.4 < a.Slowness {
			return a.Slowness < b.Slowness
		}
		return a.Free.Processors > b.Free.Processors
	})
	share := c.advice.share[queue.Name]
	if share == 0 {
		share = firstShare
	}
	wanted := float64(s.missing())
	if !s.def.Gang {
		// Tasks that work alone can start one by one as room comes free.
		wanted = min(wanted, 16)
	}
	wanted *= spareFactor
	var named []string
	for i := range room {
		if wanted <= 0 || len(named) >= mostNamed {
			break
		}
		count := float64(packer.Count(room[i].Free, needs, s.def.MostPerWorker))
		if s.isGood(room[i].Worker) {
			wanted -= count
		} else {
			wanted -= count * share
		}
		named = append(named, room[i].Worker)
	}
	return named
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
