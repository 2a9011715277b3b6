package partitionscheduler

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
	"dotterelpost.example/dotterelpost/internal/queuer"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/internal/workerregistrar"
)

// Platform is what a partition needs of the platform.
type Platform interface {
	fencer.Workers
	journaler.Store
}

// Journal is where entries are written.
type Journal interface {
	Open(partition string, epoch modeler.Epoch, version int64)
	Close(partition string)
	Append(partition string, entry journaler.Entry, linger time.Duration, done func(error))
	Writable() bool
	SnapshotDue(partition string) (upTo string, due bool)
	SaveSnapshot(ctx context.Context, store journaler.Store, partition, upTo string, state []byte) error
}

// Counters receives what is counted. The calls come from the control goroutine.
type Metrics interface {
	CountDecision(class modeler.Class, outcome string)
	ObserveWait(class modeler.Class, wait time.Duration)
}

// Settings that all partitions of an instance share.
type Settings struct {
	Instance string
	Seed     uint64
	// TaskLease is how long a worker keeps a task without hearing from the owner.
	TaskLease time.Duration
	// ClockBound is the largest difference between two machines' clocks.
	ClockBound time.Duration
	// KeepDurable and KeepQuick are how long final answers are kept.
	DurableRetention time.Duration
	QuickRetention   time.Duration
	FenceMode        fencer.Mode
}

// Dependencies of a partition.
type Dependencies struct {
	// Context ends with the control goroutine.
	Context    context.Context
	Clock      clockwork.Clock
	Log        *slog.Logger
	Platform   Platform
	Journal    Journal
	Metrics    Metrics
	OwnedUntil func() time.Time
	// Post runs a message on the control goroutine.
	Post func(message func())
	// Deposed gives the partition up, on the control goroutine.
	OwnershipLost func(p *Partition)
	// Tickets returns the state in force, Workers the listed workers of the region or nil.
	Tickets func() *ticketer.State
	Workers func() []modeler.Worker
}

// Grant is an ownership that was just gained. State is what the predecessor handed over, nil after
// a take-over; it makes reading the journal unnecessary.
type Grant struct {
	Partition  string
	Epoch      modeler.Epoch
	Version    int64
	State      []byte
	HandedOver bool
}

// place names a task of a job that holds a place on a site.
type taskRef struct {
	job  *jobtracker.Job
	task int
}

// Partition is the state of one owned partition.
type Partition struct {
	Dependencies
	settings Settings
	name     string
	epoch    modeler.Epoch
	ctx      context.Context
	cancel   context.CancelFunc

	tracker   *jobtracker.Tracker
	placer    *partitionplacer.Placer
	queue     *queuer.Queue
	registrar *workerregistrar.Registrar
	// tasks holds the places taken on each site, used the sum of each team's.
	placed     []map[taskRef]struct{}
	usedByTeam map[string]modeler.Resources

	// loaded is set when the journal was read, settled when all workers were accounted for too.
	loaded     bool
	reconciled bool
	// yielding is set while the partition is being handed over.
	handover *Handover
	// writing and starting count the entries and the starts of durable jobs under way.
	pendingWrites int
	pendingStarts int

	onLoaded     []func()
	onReconciled []func()
	dirty        bool
	reservation  gangReservation
	quickWait    waitEstimator
}

// How long an entry may linger, so that others share its transaction. Nobody waits for the end of
// one task of many; somebody may wait for the last one, and somebody surely waits for a quick one.
const (
	lingerNone  = 0
	lingerShort = 100 * time.Millisecond
	lingerLong  = time.Second
)

// maxHeld bounds the calls that wait for a partition to be read or settled.
const maxDeferredCalls = 10000

// New returns a partition that holds nothing yet; Load begins its work.
func New(grant Grant, settings Settings, dependencies Dependencies) *Partition {
	ctx, cancel := context.WithCancel(dependencies.Context)
	hash := fnv.New64a()
	hash.Write([]byte(grant.Partition))
	p := &Partition{
		Dependencies: dependencies,
		settings:     settings,
		name:         grant.Partition,
		epoch:        grant.Epoch,
		ctx:          ctx,
		cancel:       cancel,
		tracker:      jobtracker.New(),
		placer:       partitionplacer.New(settings.Seed ^ hash.Sum64()),
		queue:        queuer.New(),
		usedByTeam:   make(map[string]modeler.Resources),
	}
	p.registrar = workerregistrar.New(workerregistrar.Settings{
		Partition:  grant.Partition,
		Epoch:      grant.Epoch,
		Agreed:     grant.HandedOver,
		Mode:       settings.FenceMode,
		TaskLease:  settings.TaskLease,
		ClockBound: settings.ClockBound,
	}, workerregistrar.Dependencies{
		Clock:      dependencies.Clock,
		Log:        dependencies.Log,
		Workers:    dependencies.Platform,
		Handler:    p,
		OwnedUntil: dependencies.OwnedUntil,
		Post:       func(message func()) { p.post(func() { p.whenLoaded(message) }) },
		Write:      p.writeWorkerEntry,
		Deposed:    p.loseOwnership,
	})
	return p
}

// Name returns the partition's name.
func (p *Partition) Name() string { return p.name }

// Epoch returns the epoch of the ownership.
func (p *Partition) Epoch() modeler.Epoch { return p.epoch }

// post hands a message to the control goroutine that is of use only while this partition is held
// under this epoch.
func (p *Partition) post(message func()) {
	p.Post(func() {
		if p.ctx.Err() == nil {
			message()
		}
	})
}

// whenLoaded runs a message now, or as soon as the journal was read.
func (p *Partition) whenLoaded(message func()) {
	if p.loaded {
		message()
		return
	}
	p.onLoaded = append(p.onLoaded, message)
}

// write appends a journal entry; written runs on the control goroutine once it is durable. If
// another owner prevents that, the partition is given up.
func (p *Partition) write(entry journaler.Entry, linger time.Duration, written func()) {
	p.writeChecked(entry, linger, func(err error) {
		if err == nil {
			written()
			return
		}
		p.loseOwnership()
	})
}

func (p *Partition) writeChecked(entry journaler.Entry, linger time.Duration, done func(error)) {
	p.pendingWrites++
	p.Journal.Append(p.name, entry, linger, func(err error) {
		p.post(func() {
			p.pendingWrites--
			done(err)
		})
	})
}

// writeWorker writes an entry about a worker. The book keeps it for the next snapshot.
func (p *Partition) writeWorkerEntry(entry journaler.Entry, written func()) {
	p.write(entry, lingerNone, func() {
		p.tracker.Apply(entry)
		written()
	})
}

// deposed gives the partition up, once.
func (p *Partition) loseOwnership() {
	if p.ctx.Err() == nil {
		p.Dependencies.OwnershipLost(p)
	}
}

// Close ends the partition here. Calls that wait are told that it is not owned any more.
func (p *Partition) Close() {
	if p.ctx.Err() != nil && p.Context.Err() == nil {
		return
	}
	p.cancel()
	p.Journal.Close(p.name)
	p.registrar.Close()
	p.tracker.ForEachJob(func(job *jobtracker.Job) { job.Abandon() })
	// Held calls see that the partition is closed and say so to their callers.
	runAll(&p.onLoaded)
	runAll(&p.onReconciled)
	if p.handover != nil {
		p.handover.Fail()
	}
}

func runAll(messages *[]func()) {
	pending := *messages
	*messages = nil
	for _, message := range pending {
		message()
	}
}

// Load reads the journal, or takes what was handed over. Workers are fenced meanwhile.
func (p *Partition) Load(grant Grant) {
	p.ApplyWorkers()
	if grant.HandedOver {
		p.restore(journaler.Recovered{Snapshot: grant.State})
		return
	}
	go p.loadWithRetries()
}

// loadDelay is the pause between two tries to read the journal.
const loadRetryDelay = 200 * time.Millisecond

func (p *Partition) loadWithRetries() {
	for {
		recovered, err := journaler.Load(p.ctx, p.Platform, p.name)
		if err == nil {
			p.post(func() { p.restore(recovered) })
			return
		}
		p.Log.Warn("journal not read yet", "partition", p.name, "epoch", p.epoch, "error", err)
		select {
		case <-p.ctx.Done():
			return
		case <-p.Clock.After(loadRetryDelay):
		}
	}
}

func (p *Partition) restore(recovered journaler.Recovered) {
	if err := p.tracker.Restore(recovered.Snapshot, recovered.Entries); err != nil {
		// Going on would lose accepted work. Whoever reads this has to look at the object.
		p.Log.Error("journal unreadable; the partition stays closed", "partition", p.name, "error", err)
		return
	}
	p.loaded = true
	p.Log.Info("journal read", "partition", p.name, "epoch", p.epoch, "jobs", p.tracker.Len(), "rows", recovered.Rows)
	p.registrar.NoteAbsent(p.tracker.Workers)
	runAll(&p.onLoaded)
	p.reconcile()
}

// settle decides about unproven tasks as soon as all workers are accounted for.
func (p *Partition) reconcile() {
	if p.reconciled || !p.loaded || !p.registrar.Accounted() {
		return
	}
	p.reconciled = true
	evidence := journaler.NeverRan
	if p.registrar.MayHaveLostTasks() {
		evidence = journaler.MayHaveRun
	}
	queue, final := p.tracker.ResolveUnverified(evidence, p.registrar.BootOf)
	for _, job := range queue {
		p.enqueue(job)
	}
	for _, decision := range final {
		p.endTask(decision.Job, decision.Task, taskEnd{state: decision.State, reason: decision.Reason})
	}
	runAll(&p.onReconciled)
	p.dirty = true
	p.Log.Info("partition settled", "partition", p.name, "epoch", p.epoch, "workers", p.registrar.Len(), "queued", len(queue))
}

// Tick does what is due by time alone.
func (p *Partition) Tick(now time.Time) {
	if !p.loaded || p.handedOver() {
		return
	}
	p.quickWait.tick(p.queue.QuickLen())
	p.registrar.CheckGone(now)
	p.reconcile()
	p.dirty = true
	p.tracker.RemoveExpired(now.Add(-p.settings.DurableRetention), now.Add(-p.settings.QuickRetention))
	if upTo, due := p.Journal.SnapshotDue(p.name); due {
		p.snapshot(upTo)
	}
}

// snapshot saves the state. It goes through the mailbox once more: every entry up to the row has
// been reported by then, because the reports were posted before the row counted.
func (p *Partition) snapshot(upTo string) {
	go p.post(func() {
		state, err := p.tracker.Save()
		if err != nil {
			p.Log.Error("snapshot not encoded", "partition", p.name, "error", err)
			return
		}
		go func() {
			err := p.Journal.SaveSnapshot(p.ctx, p.Platform, p.name, upTo, state)
			p.Log.Info("snapshot", "partition", p.name, "epoch", p.epoch, "up-to", upTo, "bytes", len(state), "error", err)
		}()
	})
}
