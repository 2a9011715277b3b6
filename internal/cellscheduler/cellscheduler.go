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
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/internal/writeforecaster"
)

// WorkerClient sends orders to workers. Its errors are *workerdriver.RefusedError or
// *workerdriver.InDoubtError.
type WorkerClient interface {
	Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error)
	Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error)
	Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error)
	Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error
}

// AdvisorClient calls the placement advisor. The advisor serves one call of each instance at a
// time, so calls are spread over the instances.
type AdvisorClient interface {
	// Instances returns the names of the instances through which the advisor can be called.
	Instances() []string
	Advise(ctx context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error)
}

// Committer commits transactions one after the other. It is implemented by package committer.
type Committer interface {
	Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error)
}

// SnapshotReader reads all rows of one part of a table.
type SnapshotReader interface {
	Snapshot(ctx context.Context, table, part string) (connector.Changes, error)
}

// Claim describes the ownership of a cell by this instance.
type Claim struct {
	Cell string
	// FencingToken increases with each change of owner. The owner may use the tokens from it to LastToken.
	FencingToken, LastToken int64
	// OwnerKey and OwnerVersion identify the owner's row, which is a precondition of every
	// transaction.
	OwnerKey     string
	OwnerVersion int64
	// NoPreviousOwner is set if the cell never had an owner, so that no worker can be running a
	// task of the cell.
	NoPreviousOwner bool
}

// Settings configure a scheduler.
type Settings struct {
	// Lease is how long a worker continues its runs without hearing from the owner.
	Lease time.Duration
	// MaxLease is the longest lease that any owner, past or present, can have granted. A new owner
	// waits for it before it assumes that the runs of an unreachable worker are over.
	MaxLease time.Duration
	// StateRetention is how long the final states of jobs are kept.
	StateRetention time.Duration
	// MaxOpenJobs limits the number of jobs that are not final.
	MaxOpenJobs int
}

// Dependencies are the clients and callbacks that a scheduler uses.
type Dependencies struct {
	Clock         clockwork.Clock
	Log           *slog.Logger
	WorkerClient  WorkerClient
	AdvisorClient AdvisorClient
	// Committers commit transactions to the store concurrently, each under its own writer name.
	Committers     []Committer
	SnapshotReader SnapshotReader
	PathTable      PathTable
	Configuration  *configprovider.Provider
	// OwnershipConfirmed reports whether this instance may still consider itself the owner:
	// either it has heard from the store recently, or no instance has.
	OwnershipConfirmed func() bool
	// StoreRestored returns a channel that is closed when the store answers again after an outage.
	// It may be nil.
	StoreRestored func() <-chan struct{}
	// StoreSilence returns how long the store has answered no call of this instance, of any kind. It may be
	// nil.
	StoreSilence func() time.Duration
	// OnOwnershipLost is called once when another instance has become the owner of the cell.
	OnOwnershipLost func()
	// Metrics are shared by all schedulers of a process.
	Metrics *Metrics
	// Access checks the callers of submissions that have waited.
	Access Access
}

// NotOwnerError reports that another instance owns the cell now. Whether the call took effect is
// unknown.
type NotOwnerError struct{ Cell string }

func (e *NotOwnerError) Error() string { return "cell " + e.Cell + " has another owner" }

// ShuttingDownError reports that the scheduler is shutting down or has shut down. The call had no
// effect.
type ShuttingDownError struct{ Cell string }

func (e *ShuttingDownError) Error() string {
	return "the owner of cell " + e.Cell + " is shutting down"
}

// UnknownJobError reports that no job has the ID.
type UnknownJobError struct{ ID string }

func (e *UnknownJobError) Error() string { return "job " + e.ID + " is not known" }

// RefusedError reports that a job was not accepted and will never run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Unavailable is set if the reason is a store outage and not load.
	Unavailable bool
	// Forecast is after which time the job would have been written, 0 if that is not the reason.
	Forecast time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; retry after %s", e.Reason, e.RetryAfter)
}

// tickInterval is how often timers are checked, sweepInterval how often all jobs are.
const (
	tickInterval  = 20 * time.Millisecond
	sweepInterval = 100 * time.Millisecond
)

// mailboxSize is the capacity of the control goroutine's message queue.
const mailboxSize = 4096

// Scheduler schedules the jobs of one cell on behalf of its owner.
type Scheduler struct {
	Dependencies
	claim    Claim
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	mailbox  chan func()
	// group tracks the goroutines that call workers, the store and the advisor.
	group sync.WaitGroup
	// done is closed when the control goroutine has returned.
	done chan struct{}

	// The fields below are accessed by the control goroutine only.
	now time.Time
	// wokenAt is when the control goroutine last began to handle messages or timers.
	wokenAt       time.Time
	claimedAt     time.Time
	recovered     bool
	ownershipLost bool
	shuttingDown  bool
	// deferredCalls are the calls that arrived before the stored rows were read.
	deferredCalls []func()
	jobs          map[string]*job
	// unreadable are the IDs whose stored progress could not be decoded.
	unreadable map[string]bool
	// openJobs counts the jobs that are not final.
	openJobs int
	// queuedJobs counts the stored jobs that callers are told to be queued, by queue.
	queuedJobs map[string]int
	// pendingSteps are the steps with tasks to place.
	pendingSteps map[steptracker.StepKey]*step
	workers      map[string]*worker
	// fencingToken is the highest token in use.
	fencingToken int64
	// workerOrder holds all workers sorted by ID, or is nil if workers have come or gone since it was
	// sorted. checkFrom is the index of the worker that is checked next.
	workerOrder []*worker
	checkFrom   int
	// isolatedWorkers counts the workers that have isolated runs.
	isolatedWorkers int
	journal         journal
	advisor         advisorState
	// startLatency is the moving average of the time from a start order to its confirmation.
	startLatency time.Duration
	// durationRatios holds the duration ratio of each queue by name.
	durationRatios map[string]*durationRatio
	interference   interference
	// policiesFrom is the configuration from which policies were last adopted.
	policiesFrom *configprovider.Configuration
	quotas       quotas
	paths        paths
	// roundNeeded is set if a placement round may have something to do; nextRoundAt is its
	// earliest time.
	roundNeeded bool
	nextRoundAt time.Time
	nextSweepAt time.Time
	visitor     visitor
	load        load
	// roomLoggedAt is when the use of the cell's room was last logged.
	roomLoggedAt time.Time
	shares       shareState
	random       *rand.Rand
	// candidates are the usable workers of the current round and candidateWorkers their records by the same
	// index, eligible those that one step may use.
	candidates, eligible []cellplacer.Candidate
	candidateWorkers     []*worker
	// lateReservations are the late steps, in order of rank, whose reservations are soft: steps on
	// time may still use that room.
	lateReservations []*step
	// allIndexes are the indexes of all candidates. selector chooses the candidates to name to
	// the advisor.
	allIndexes []int
	selector   *candidateselector.Selector
	// capacity is that of all candidates, earmarked the part of it that so many earmarkers keep in the current round, inAdvance
	// what the gangs need whose tokens are renewed before they have room.
	capacity, earmarked modeler.Resources
	earmarkers          int
	inAdvance           modeler.Processors
	// maxFreeProcessors is the largest free processor capacity of a candidate when the round
	// began.
	maxFreeProcessors modeler.Processors
}

// Start returns the scheduler of a claimed cell, which begins by reading the cell's rows, and a
// function that stops it immediately. Shutdown stops it gracefully.
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
		fencingToken:   claim.FencingToken,
		jobs:           make(map[string]*job),
		queuedJobs:     make(map[string]int),
		unreadable:     make(map[string]bool),
		pendingSteps:   make(map[steptracker.StepKey]*step),
		workers:        make(map[string]*worker),
		durationRatios: make(map[string]*durationRatio),
	}
	c.now = c.claimedAt
	c.random = rand.New(rand.NewPCG(uint64(claim.FencingToken), uint64(c.claimedAt.UnixNano())))
	c.advisor.init()
	c.quotas.init()
	c.paths.init(claim.Cell)
	c.interference.detector = interferencedetector.New()
	c.journal.limiter, c.journal.batches = inflightlimiter.New(len(c.Committers)), make([]*batch, len(c.Committers))
	c.journal.forecaster = writeforecaster.New(len(c.Committers), maxTransactionRows)
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

// post sends a message to the control goroutine. It reports false if that goroutine has ended.
func (c *Scheduler) post(message func()) bool {
	if c.ctx.Err() != nil {
		// The mailbox may have space left, but nothing receives from it any more.
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
	defer c.Metrics.withdrawTeams(c.claim.Cell)
	defer c.withdrawInterference()
	defer c.withdrawWaiting()
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	restored := c.storeRestored()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-restored:
			c.now = c.Clock.Now()
			c.wokenAt = c.now
			restored = c.storeRestored()
			c.journal.limiter.Restored(c.now)
			c.journal.forecaster.Restored(c.now)
			c.roundNeeded = true
		case message := <-c.mailbox:
			c.now = c.Clock.Now()
			c.wokenAt = c.now
			message()
			c.drainMailbox()
			c.load.handling += c.Clock.Since(c.wokenAt)
		case <-ticker.Chan():
			c.now = c.Clock.Now()
			c.wokenAt = c.now
			c.onTick()
		}
		if c.recovered && !c.ownershipLost {
			c.placementRound()
			began := c.Clock.Now()
			c.commit()
			c.load.committing += c.Clock.Since(began)
		}
	}
}

func (c *Scheduler) storeRestored() <-chan struct{} {
	if c.StoreRestored == nil {
		return nil
	}
	return c.StoreRestored()
}

// maxMessagesPerDrain limits how many messages are handled before the next placement round.
const maxMessagesPerDrain = 128

func (c *Scheduler) drainMailbox() {
	c.load.messages++
	c.load.longestMailbox = max(c.load.longestMailbox, len(c.mailbox))
	for range maxMessagesPerDrain {
		select {
		case message := <-c.mailbox:
			// The process may have been suspended since the message before. Paired with an earlier time, the reading
			// of a worker's clock would prolong its lease.
			c.now = c.Clock.Now()
			message()
			c.load.messages++
		default:
			return
		}
	}
}

// onTick handles expired timeouts and requests a placement round.
func (c *Scheduler) onTick() {
	if !c.recovered || c.ownershipLost {
		return
	}
	c.checkWorkers()
	c.roundNeeded = true
	c.refuseUnwritten()
	if c.now.After(c.nextSweepAt) {
		c.nextSweepAt = c.now.Add(sweepInterval)
		c.adoptPolicies()
		c.openDueOccurrences()
		c.publishQuotas()
		c.pruneFinalJobs()
		c.expireInterference()
		c.sweepShares()
		c.logLoad()
	}
}

// loseOwnership stops the scheduler because another instance owns the cell.
func (c *Scheduler) loseOwnership(reason string) {
	if c.ownershipLost {
		return
	}
	c.ownershipLost = true
	c.Log.Warn("cell lost", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "reason", reason, "unwritten-ends", c.unwrittenEnds())
	c.cancel()
	go c.OnOwnershipLost()
}

// Shutdown waits until pending writes are committed and then stops the scheduler. No new work is
// started meanwhile.
func (c *Scheduler) Shutdown(ctx context.Context) error {
	done := make(chan struct{})
	c.post(func() {
		c.shuttingDown = true
		c.Log.Info("cell shutting down", "cell", c.claim.Cell, "fence", c.claim.FencingToken, "unwritten-ends", c.unwrittenEnds(), "unwritten-jobs", len(c.journal.dirty))
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
