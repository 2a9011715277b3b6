package cellscheduler

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/inflightlimiter"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// WorkerClient gives orders to workers. Errors are *workerdriver.RefusedError or *workerdriver.InDoubtError.
type WorkerClient interface {
	Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error)
	Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error)
	Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error)
	Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error
}

// AdvisorClient ask the placement advisor. It serves one call of each instance at a time, so calls are
// spread over instances.
type AdvisorClient interface {
	// Instances returns the names of the instances that can ask.
	Instances() []string
	Advise(ctx context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error)
}

// Committer commits transactions one after the other. See package committer.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// SnapshotReader reads all rows of a part of a table.
type SnapshotReader interface {
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
}

// Claim is the ownership of a cell.
type Claim struct {
	Cell string
	// FencingToken grows with each owner.
	FencingToken int64
	// OwnerKey and Version name the owner's row; every transaction has it as a precondition.
	OwnerKey     string
	OwnerVersion int64
	// NoPreviousOwner is set if the cell had no owner before, so that no worker can be running anything.
	NoPreviousOwner bool
}

// Settings of a scheduler.
type Settings struct {
	// Lease is how long a worker goes on without hearing of its owner.
	Lease time.Duration
	// MaxLease is the most that any owner can have given.
	MaxLease time.Duration
	// StateRetention is how long final states are kept.
	StateRetention time.Duration
	// MaxOpenJobs is how many jobs may be open at once.
	MaxOpenJobs int
}

// Dependencies of a scheduler.
type Dependencies struct {
	Clock         clockwork.Clock
	Log           *slog.Logger
	WorkerClient  WorkerClient
	AdvisorClient AdvisorClient
	// Committers are as many lanes to the store, each with its own writer.
	Committers     []Committer
	SnapshotReader SnapshotReader
	Configuration  *configprovider.Provider
	// OwnershipConfirmed tells whether this instance may still take itself for the owner: it heard of the
	// store lately, or nobody does.
	OwnershipConfirmed func() bool
	// OnOwnershipLost is called once when somebody else owns the cell.
	OnOwnershipLost func()
	// Metrics are the metrics, shared by all schedulers of a process.
	Metrics *Metrics
}

// NotOwnerError tells that the cell has another owner now. Nothing is known of the call.
type NotOwnerError struct{ Cell string }

func (e *NotOwnerError) Error() string { return "cell " + e.Cell + " has another owner" }

// ShuttingDownError tells that the owner is leaving the cell, or has left it: the call was not taken in.
type ShuttingDownError struct{ Cell string }

func (e *ShuttingDownError) Error() string { return "the owner of cell " + e.Cell + " has left it" }

// UnknownJobError tells that there is no such job.
type UnknownJobError struct{ ID string }

func (e *UnknownJobError) Error() string { return "job " + e.ID + " is not known" }

// RefusedError tells that a job was not accepted and never runs.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Unavailable tells that it is no matter of load.
	Unavailable bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back after %s", e.Reason, e.RetryAfter)
}

// tickInterval is how often timers are looked at, sweepInterval how often all jobs are.
const (
	tickInterval  = 20 * time.Millisecond
	sweepInterval = 100 * time.Millisecond
)

// mailboxSize is how many messages may wait for the control goroutine.
const mailboxSize = 4096

// Scheduler is the owner of a cell.
type Scheduler struct {
	Dependencies
	claim    Claim
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	mailbox  chan func()
	// group are the goroutines that call workers, the store and the advisor.
	group sync.WaitGroup
	// done is closed when the control goroutine has returned.
	done chan struct{}

	// All below belongs to the control goroutine.
	now           time.Time
	claimedAt     time.Time
	recovered     bool
	ownershipLost bool
	shuttingDown  bool
	// deferredCalls are the calls that came before the rows were read.
	deferredCalls []func()
	jobs          map[string]*job
	// openJobs counts the jobs that are not final.
	openJobs int
	// pendingSteps are the steps with tasks to place.
	pendingSteps   map[steptracker.StepKey]*step
	workers        map[string]*worker
	journal        journal
	advice         advice
	durationRatios map[string]*durationRatio
	// queues are the rules of each queue as they were last, by name.
	queues map[string]*configprovider.Queue
	// roundNeeded tells that a round may find something to do; nextRound is when it may at the earliest.
	roundNeeded bool
	nextRoundAt time.Time
	nextSweepAt time.Time
	random      *rand.Rand
	// candidates are the usable workers during a round, eligible those that one step may use.
	candidates, eligible []cellplacer.Candidate
	// allIndexes are the indexes of all sites, list those that may be named to the advisor.
	allIndexes []int
	selector   *candidateselector.Selector
	// reservedForGangs counts the sites reservedForGangs for gangs in this round.
	reservedForGangs int
	// maxFreeProcessors is the most free processors of a site at the beginning of the round.
	maxFreeProcessors modeler.Processors
}

// Start returns the scheduler of a claimed cell, which at first reads the cell's rows, and the
// function that ends it at once. Leave ends it gracefully.
func Start(claim Claim, settings Settings, dependencies Dependencies) (*Scheduler, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Scheduler{
		Dependencies:   dependencies,
		claim:          claim,
		settings:       settings,
		ctx:            ctx,
		cancel:         cancel,
		mailbox:        make(chan func(), mailboxSize),
		done:           make(chan struct{}),
		claimedAt:      dependencies.Clock.Now(),
		jobs:           make(map[string]*job),
		pendingSteps:   make(map[steptracker.StepKey]*step),
		workers:        make(map[string]*worker),
		durationRatios: make(map[string]*durationRatio),
		queues:         make(map[string]*configprovider.Queue),
	}
	c.now = c.claimedAt
	c.random = rand.New(rand.NewPCG(uint64(claim.FencingToken), uint64(c.claimedAt.UnixNano())))
	c.advice.init()
	c.journal.limiter, c.journal.batches = inflightlimiter.New(len(c.Committers)), make([]*batch, len(c.Committers))
	c.group.Go(c.recover)
	go c.loop()
	return c, c.stop
}

func (c *Scheduler) stop() {
	c.cancel()
	<-c.done
	c.group.Wait()
}

// Claim returns the claim under which the scheduler works.
func (c *Scheduler) Claim() Claim { return c.claim }

// post hands a message to the control goroutine. It reports false when that has ended.
func (c *Scheduler) post(message func()) bool {
	if c.ctx.Err() != nil {
		// The mailbox may have room, but nobody reads it any more.
		return false
	}
	select {
	case c.mailbox <- message:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *Scheduler) loop() {
	defer close(c.done)
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case message := <-c.mailbox:
			c.now = c.Clock.Now()
			message()
			c.drainMailbox()
		case <-ticker.Chan():
			c.now = c.Clock.Now()
			c.onTick()
		}
		if c.recovered && !c.ownershipLost {
			c.round()
			c.commit()
		}
	}
}

// maxMessagesPerDrain is how many messages are taken before a round.
const maxMessagesPerDrain = 128

func (c *Scheduler) drainMailbox() {
	for range maxMessagesPerDrain {
		select {
		case message := <-c.mailbox:
			message()
		default:
			return
		}
	}
}

// onTick does what is due.
func (c *Scheduler) onTick() {
	if !c.recovered || c.ownershipLost {
		return
	}
	for _, w := range c.workers {
		c.checkWorker(w)
	}
	c.roundNeeded = true
	c.refuseUnwritten()
	if c.now.After(c.nextSweepAt) {
		c.nextSweepAt = c.now.Add(sweepInterval)
		c.openDueOccurrences()
		c.pruneFinalJobs()
	}
}

// loseOwnership ends the scheduler's work: another instance owns the cell.
func (c *Scheduler) loseOwnership(reason string) {
	if c.ownershipLost {
		return
	}
	c.ownershipLost = true
	c.Log.Warn("cell lost", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "reason", reason)
	c.cancel()
	go c.OnOwnershipLost()
}

// Shutdown finishes what is being written and ends the scheduler. It starts nothing new.
func (c *Scheduler) Shutdown(ctx context.Context) error {
	done := make(chan struct{})
	c.post(func() {
		c.shuttingDown = true
		if !c.recovered {
			close(done)
			return
		}
		c.afterWrites(func() { close(done) })
	})
	select {
	case <-done:
	case <-c.done:
	case <-ctx.Done():
	}
	c.stop()
	return ctx.Err()
}
