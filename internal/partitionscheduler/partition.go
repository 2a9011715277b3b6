package partitionscheduler

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/crashattributor"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/jobtracker"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionplacer"
	"dotterelpost.example/dotterelpost/internal/queuer"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/internal/workerregistrar"
)

// Platform is the part of the platform that a partition uses.
type Platform interface {
	fencer.Workers
	journaler.Store
}

// Journal stores the entries and snapshots of partitions.
type Journal interface {
	Open(partition string, epoch modeler.Epoch, version int64)
	Close(partition string)
	Append(partition string, entry journaler.Entry, linger time.Duration, done func(error))
	Writable() bool
	SnapshotDue(partition string) (upTo string, due bool)
	SaveSnapshot(ctx context.Context, store journaler.Store, partition, upTo string, state []byte) error
}

// Metrics receives measurements. It is called on the control goroutine.
type Metrics interface {
	CountDecision(class modeler.Class, outcome string)
	ObserveWait(class modeler.Class, wait time.Duration)
}

// Settings are shared by all partitions of an instance.
type Settings struct {
	Instance string
	Seed     uint64
	// TaskLease is how long a worker keeps a task running without contact with the owner.
	TaskLease time.Duration
	// ClockBound is the largest difference between two machines' clocks.
	ClockBound time.Duration
	// DurableRetention and QuickRetention are how long final answers of durable jobs and of quick
	// requests are kept.
	DurableRetention time.Duration
	QuickRetention   time.Duration
	FenceMode        fencer.Mode
}

// Dependencies are the services that a partition uses.
type Dependencies struct {
	// Context is cancelled when the control goroutine stops.
	Context  context.Context
	Clock    clockwork.Clock
	Log      *slog.Logger
	Platform Platform
	Journal  Journal
	Metrics  Metrics
	// OwnedUntil returns the time until which no other instance can own the partition.
	OwnedUntil func() time.Time
	// Post runs a message on the control goroutine.
	Post func(message func())
	// OwnershipLost is called on the control goroutine when the partition has another owner.
	OwnershipLost func(p *Partition)
	// Tickets returns the current policies, quotas and pools. Workers returns the platform's list of
	// the region's workers, or nil if it has not been received yet.
	Tickets func() *ticketer.State
	Workers func() []modeler.Worker
}

// Grant is a newly gained ownership. Version is the version of the owner row. HandedOver reports
// whether the previous owner handed the partition over; State is then the state that it sent, which
// makes reading the journal unnecessary.
type Grant struct {
	Partition  string
	Epoch      modeler.Epoch
	Version    int64
	State      []byte
	HandedOver bool
}

// taskRef identifies a task of a job.
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
	// placed holds the tasks placed on each worker, usedByTeam the sum of their resources by team.
	placed     []map[taskRef]struct{}
	usedByTeam map[string]modeler.Resources

	// usable tells of each worker whether it may get new tasks, isolated which of its tasks exclude
	// others meanwhile. crashVerdicts holds the verdicts on starts without a reply.
	usable        []bool
	isolated      map[int]map[taskRef]struct{}
	crashVerdicts map[taskRef]crashattributor.Verdict

	// loaded is set when the journal has been read, reconciled when all workers have also been
	// accounted for.
	loaded     bool
	reconciled bool
	// handover is set while the partition is being handed over.
	handover *Handover
	// pendingWrites counts the journal entries being written, pendingStarts the starts of tasks in
	// progress. Those of quick requests are not counted, because such a call may wait until the
	// request ends.
	pendingWrites int
	pendingStarts int

	// onLoaded and onReconciled hold what is deferred until the partition is loaded or reconciled.
	// dirty is set when a round may be able to place tasks.
	onLoaded     []func()
	onReconciled []func()
	dirty        bool
	reservation  gangReservation
	quickWait    waitEstimator
}

// How long a journal entry may be delayed so that it shares a transaction with others. No caller
// waits for the end of one task of many, a caller may be waiting for the last task of a job, and a
// caller always waits for a quick request.
const (
	lingerNone  = 0
	lingerShort = 100 * time.Millisecond
	lingerLong  = time.Second
)

// maxDeferredCalls limits the calls that wait until a partition is loaded, and those that wait
// until it is reconciled.
const maxDeferredCalls = 10000

// New returns an empty partition. Load starts it.
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

		isolated:      make(map[int]map[taskRef]struct{}),
		crashVerdicts: make(map[taskRef]crashattributor.Verdict),
	}
	p.registrar = workerregistrar.New(workerregistrar.Settings{
		Partition:  grant.Partition,
		Epoch:      grant.Epoch,
		HandedOver: grant.HandedOver,
		Mode:       settings.FenceMode,
		TaskLease:  settings.TaskLease,
		ClockBound: settings.ClockBound,
	}, workerregistrar.Dependencies{
		Clock:         dependencies.Clock,
		Log:           dependencies.Log,
		Workers:       dependencies.Platform,
		Handler:       p,
		OwnedUntil:    dependencies.OwnedUntil,
		Post:          func(message func()) { p.post(func() { p.whenLoaded(message) }) },
		WriteEntry:    p.writeWorkerEntry,
		OwnershipLost: p.loseOwnership,
	})
	return p
}

// Name returns the partition's name.
func (p *Partition) Name() string { return p.name }

// Epoch returns the epoch of the ownership.
func (p *Partition) Epoch() modeler.Epoch { return p.epoch }

// post runs a message on the control goroutine, unless the partition has been closed by then.
func (p *Partition) post(message func()) {
	p.Post(func() {
		if p.ctx.Err() == nil {
			message()
		}
	})
}

// whenLoaded runs a message now or, if the journal has not been read yet, once it has.
func (p *Partition) whenLoaded(message func()) {
	if p.loaded {
		message()
		return
	}
	p.onLoaded = append(p.onLoaded, message)
}

// write appends a journal entry; written runs on the control goroutine once the entry is durable.
// If the write fails, another instance owns the partition and it is closed here.
func (p *Partition) write(entry journaler.Entry, linger time.Duration, written func()) {
	p.writeChecked(entry, linger, func(err error) {
		if err == nil {
			written()
			return
		}
		p.loseOwnership()
	})
}

// writeChecked appends a journal entry and calls done with the result on the control goroutine.
func (p *Partition) writeChecked(entry journaler.Entry, linger time.Duration, done func(error)) {
	p.pendingWrites++
	p.Journal.Append(p.name, entry, linger, func(err error) {
		p.post(func() {
			p.pendingWrites--
			done(err)
		})
	})
}

// writeWorkerEntry writes an entry about a worker and applies it to the tracker, so that the next
// snapshot includes it.
func (p *Partition) writeWorkerEntry(entry journaler.Entry, written func()) {
	p.write(entry, lingerNone, func() {
		p.tracker.Apply(entry)
		written()
	})
}

// loseOwnership reports the loss of ownership, unless the partition has already been closed.
func (p *Partition) loseOwnership() {
	if p.ctx.Err() == nil {
		p.Dependencies.OwnershipLost(p)
	}
}

// Close stops the partition on this instance. Waiting calls return a *modeler.NotOwnerError.
func (p *Partition) Close() {
	if p.ctx.Err() != nil && p.Context.Err() == nil {
		return
	}
	p.cancel()
	p.Journal.Close(p.name)
	p.registrar.Close()
	p.tracker.ForEachJob(func(job *jobtracker.Job) { job.Abandon() })
	// Deferred calls notice that the partition is closed and return the error to their callers.
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

// Load restores the state from the hand-over or, in the background, from the journal. Fencing of the
// workers starts at the same time.
func (p *Partition) Load(grant Grant) {
	p.ApplyWorkers()
	if grant.HandedOver {
		p.restore(journaler.Recovered{Snapshot: grant.State})
		return
	}
	go p.loadWithRetries()
}

// loadRetryDelay is the pause between two attempts to read the journal.
const loadRetryDelay = 200 * time.Millisecond

func (p *Partition) loadWithRetries() {
	for {
		recovered, err := journaler.Load(p.ctx, p.Platform, p.name)
		if err == nil {
			p.post(func() { p.restore(recovered) })
			return
		}
		p.Log.Warn("reading the journal failed; retrying", "partition", p.name, "epoch", p.epoch, "error", err)
		select {
		case <-p.ctx.Done():
			return
		case <-p.Clock.After(loadRetryDelay):
		}
	}
}

func (p *Partition) restore(recovered journaler.Recovered) {
	if err := p.tracker.Restore(recovered.Snapshot, recovered.Entries); err != nil {
		// Continuing would lose accepted jobs. An operator has to inspect the stored journal.
		p.Log.Error("journal not decoded; the partition serves no calls", "partition", p.name, "error", err)
		return
	}
	p.loaded = true
	p.Log.Info("journal read", "partition", p.name, "epoch", p.epoch, "jobs", p.tracker.Len(), "rows", recovered.Rows)
	p.registrar.RestoreBoots(p.tracker.Workers)
	runAll(&p.onLoaded)
	p.reconcile()
}

// reconcile decides the state of tasks that an earlier owner may have started, once all workers are
// accounted for.
func (p *Partition) reconcile() {
	if p.reconciled || !p.loaded || !p.registrar.AllAccountedFor() {
		return
	}
	p.reconciled = true
	evidence := journaler.NeverRan
	if p.registrar.MayHaveLostTasks() {
		evidence = journaler.MayHaveRun
	}
	queue, final := p.tracker.ResolveUnverified(evidence, p.registrar.BootByName)
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

// Tick does periodic work: it checks for workers that have gone, forgets old answers and saves
// snapshots.
func (p *Partition) Tick(now time.Time) {
	if !p.loaded || p.handoverEnded() {
		return
	}
	p.quickWait.tick(p.queue.QuickLen())
	p.registrar.RemoveGone(now)
	p.endIsolations(now)
	p.reconcile()
	p.dirty = true
	p.tracker.RemoveExpired(now.Add(-p.settings.DurableRetention), now.Add(-p.settings.QuickRetention))
	if upTo, due := p.Journal.SnapshotDue(p.name); due {
		p.snapshot(upTo)
	}
}

// snapshot saves the state. It encodes the state in a message of its own: the journal posts the
// completion callbacks of a row's entries before SnapshotDue returns the row, so the callbacks of all
// entries up to the row upTo have run by the time that message runs.
func (p *Partition) snapshot(upTo string) {
	go p.post(func() {
		state, err := p.tracker.Save()
		if err != nil {
			p.Log.Error("encoding the snapshot failed", "partition", p.name, "error", err)
			return
		}
		go func() {
			err := p.Journal.SaveSnapshot(p.ctx, p.Platform, p.name, upTo, state)
			p.Log.Info("snapshot", "partition", p.name, "epoch", p.epoch, "up-to", upTo, "bytes", len(state), "error", err)
		}()
	})
}
