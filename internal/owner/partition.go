package owner

import (
	"context"
	"hash/fnv"
	"time"

	"dotterelpost.example/dotterelpost/internal/bookkeeper"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/placer"
	"dotterelpost.example/dotterelpost/internal/queuer"
)

// site is a worker of the partition. Its number is its index in the cell.
type site struct {
	info    modeler.Worker
	link    *fencer.Link
	closer  func()
	boot    string
	fenced  bool
	leaving bool
	// written is set when the journal shows that tasks may be on this boot of the worker.
	written bool
	// missing counts the lists in a row that did not show the worker.
	missing int
	gone    bool
	tasks   map[place]struct{}
	records tally
}

// place names a task of a job that holds a place on a site.
type place struct {
	job  *bookkeeper.Job
	task int
}

// partition is the state of one owned partition. It belongs to the control goroutine.
type partition struct {
	control *Control
	name    string
	epoch   modeler.Epoch
	agreed  bool
	ctx     context.Context
	cancel  context.CancelFunc

	book  *bookkeeper.Book
	cell  *placer.Cell
	queue *queuer.Queue
	sites []*site
	byID  map[string]int
	used  map[string]modeler.Resources

	// loaded is set when the journal was read, settled when all workers were accounted for too.
	loaded  bool
	settled bool
	// forgetful is set when a worker that the last owner used restarted or vanished before its list
	// was seen here.
	forgetful bool
	// absent holds the workers that the last owner used and the list does not show, with the time
	// when all leases that it can have given them are over.
	absent map[string]time.Time
	// yielding is set while the partition is being handed over.
	yielding *yielding
	// writing and starting count the entries and the starts of durable jobs under way.
	writing  int
	starting int

	atLoad   []func()
	atSettle []func()
	dirty    bool
	hold     hold
}

// How long an entry may linger, so that others share its transaction. Nobody waits for the end of
// one task of many; somebody may wait for the last one, and somebody surely waits for a quick one.
const (
	lingerNone  = 0
	lingerShort = 100 * time.Millisecond
	lingerLong  = time.Second
)

// maxHeld bounds the calls that wait for a partition to be read or settled.
const maxHeld = 10000

// whenLoaded runs a message now, or as soon as the journal was read.
func (p *partition) whenLoaded(message func()) {
	if p.loaded {
		message()
		return
	}
	p.atLoad = append(p.atLoad, message)
}

// write appends a journal entry; written runs on the control goroutine once it is durable. If
// another owner prevents that, the partition is given up.
func (p *partition) write(entry journaler.Entry, linger time.Duration, written func()) {
	p.writeChecked(entry, linger, func(err error) {
		if err == nil {
			written()
			return
		}
		p.deposed()
	})
}

func (p *partition) writeChecked(entry journaler.Entry, linger time.Duration, done func(error)) {
	p.writing++
	p.control.Journal.Append(p.name, entry, linger, func(err error) {
		p.post(func() {
			p.writing--
			done(err)
		})
	})
}

func newPartition(c *Control, grant Grant) *partition {
	ctx, cancel := context.WithCancel(c.ctx)
	hash := fnv.New64a()
	hash.Write([]byte(grant.Partition))
	return &partition{
		control: c,
		name:    grant.Partition,
		epoch:   grant.Epoch,
		agreed:  grant.Agreed,
		ctx:     ctx,
		cancel:  cancel,
		book:    bookkeeper.New(),
		cell:    placer.New(c.settings.Seed ^ hash.Sum64()),
		queue:   queuer.New(),
		byID:    make(map[string]int),
		used:    make(map[string]modeler.Resources),
		absent:  make(map[string]time.Time),
	}
}

// post hands a message to the control goroutine that is of use only while this partition is held
// under this epoch.
func (p *partition) post(message func()) {
	p.control.post(func() {
		if p.ctx.Err() == nil {
			message()
		}
	})
}

func (p *partition) close() {
	p.cancel()
	p.control.Journal.Close(p.name)
	for _, s := range p.sites {
		s.closer()
	}
	p.book.Jobs(func(job *bookkeeper.Job) { job.Abandon() })
	// Held calls see that the partition is closed and say so to their callers.
	runAll(&p.atLoad)
	runAll(&p.atSettle)
	if p.yielding != nil {
		p.yielding.fail()
	}
}

func runAll(messages *[]func()) {
	run := *messages
	*messages = nil
	for _, message := range run {
		message()
	}
}

// load reads the journal, or takes what was handed over. Workers are fenced meanwhile.
func (p *partition) load(grant Grant) {
	p.applyWorkers()
	if grant.Agreed {
		p.loadedWith(journaler.Recovered{Snapshot: grant.State})
		return
	}
	go p.loadAlways()
}

// loadDelay is the pause between two tries to read the journal.
const loadDelay = 200 * time.Millisecond

func (p *partition) loadAlways() {
	for {
		recovered, err := journaler.Load(p.ctx, p.control.Platform, p.name)
		if err == nil {
			p.post(func() { p.loadedWith(recovered) })
			return
		}
		p.control.Log.Warn("journal not read yet", "partition", p.name, "epoch", p.epoch, "error", err)
		select {
		case <-p.ctx.Done():
			return
		case <-p.control.Clock.After(loadDelay):
		}
	}
}

func (p *partition) loadedWith(recovered journaler.Recovered) {
	if err := p.book.Restore(recovered.Snapshot, recovered.Entries); err != nil {
		// Going on would lose accepted work. Whoever reads this has to look at the object.
		p.control.Log.Error("journal unreadable; the partition stays closed", "partition", p.name, "error", err)
		return
	}
	p.loaded = true
	p.control.Log.Info("journal read", "partition", p.name, "epoch", p.epoch, "jobs", p.book.Len(), "rows", recovered.Rows)
	p.noteAbsent()
	runAll(&p.atLoad)
	p.settle()
}

// noteAbsent finds the workers of the last owner that the platform's list does not show any more.
func (p *partition) noteAbsent() {
	settings := p.control.settings
	over := p.control.Clock.Now().Add(settings.TaskLease + settings.ClockBound)
	for name := range p.book.Workers {
		if _, found := p.byID[name]; !found {
			p.absent[name] = over
		}
	}
}

// accounted tells whether nothing of an earlier owner can run unseen.
func (p *partition) accounted() bool {
	if !p.loaded || p.control.workers == nil || len(p.absent) > 0 {
		return false
	}
	for _, s := range p.sites {
		if !s.fenced && !s.gone {
			return false
		}
	}
	return true
}

// settle decides about unproven tasks as soon as that is possible.
func (p *partition) settle() {
	if p.settled || !p.accounted() {
		return
	}
	p.settled = true
	evidence := journaler.ProvedNew
	if p.forgetful {
		evidence = journaler.MayHaveRun
	}
	queue, final := p.book.Settle(evidence, p.bootOf)
	for _, job := range queue {
		p.queue.Push(job)
	}
	for _, decision := range final {
		p.end(decision.Job, decision.Task, ending{state: decision.State, reason: decision.Reason})
	}
	runAll(&p.atSettle)
	p.dirty = true
	p.control.Log.Info("partition settled", "partition", p.name, "epoch", p.epoch, "workers", len(p.sites), "queued", len(queue))
}

func (p *partition) bootOf(worker string) string {
	index, found := p.byID[worker]
	if !found || p.sites[index].gone {
		return ""
	}
	return p.sites[index].boot
}

// tick does what is due once a second.
func (p *partition) tick(now time.Time) {
	if !p.loaded || p.yielded() {
		return
	}
	p.checkGone(now)
	p.settle()
	p.dirty = true
	p.book.Forget(now.Add(-p.control.settings.KeepDurable), now.Add(-p.control.settings.KeepQuick))
	if upTo, due := p.control.Journal.SnapshotDue(p.name); due {
		p.snapshot(upTo)
	}
}

// snapshot saves the state. It goes through the mailbox once more: every entry up to the row has
// been reported by then, because the reports were posted before the row counted.
func (p *partition) snapshot(upTo string) {
	go p.post(func() {
		state, err := p.book.Save()
		if err != nil {
			p.control.Log.Error("snapshot not encoded", "partition", p.name, "error", err)
			return
		}
		go func() {
			err := p.control.Journal.SaveSnapshot(p.ctx, p.control.Platform, p.name, upTo, state)
			p.control.Log.Info("snapshot", "partition", p.name, "epoch", p.epoch, "up-to", upTo, "bytes", len(state), "error", err)
		}()
	})
}

func (p *partition) view() PartitionView {
	capacity, reserved := p.cell.Totals()
	return PartitionView{
		Name:     p.name,
		Owner:    p.control.settings.Instance,
		Epoch:    p.epoch,
		Ready:    p.settled,
		Workers:  len(p.sites),
		Jobs:     p.book.Len(),
		Waiting:  p.queue.Total(),
		Capacity: capacity,
		Reserved: reserved,
	}
}
