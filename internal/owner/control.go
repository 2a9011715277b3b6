package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// mailboxSize is how many messages may wait for the control goroutine before senders wait.
const mailboxSize = 4096

// messagesPerRound is how many messages are taken before jobs are placed. Several releases in a
// row are then used by one round.
const messagesPerRound = 64

// Platform is what the owner needs of the platform.
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

// Settings of the owner.
type Settings struct {
	Instance string
	Seed     uint64
	// TaskLease is how long a worker keeps a task without hearing from the owner.
	TaskLease time.Duration
	// ClockBound is the largest difference between two machines' clocks.
	ClockBound time.Duration
	// KeepDurable and KeepQuick are how long final answers are kept.
	KeepDurable time.Duration
	KeepQuick   time.Duration
	Mode        fencer.Mode
}

// Dependencies of the owner.
type Dependencies struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Platform Platform
	Journal  Journal
	Counters Counters
	// OwnedUntil tells until when this instance's ownership is known to hold.
	OwnedUntil func() time.Time
	// Deposed is called when a worker or the table shows that another instance owns a partition.
	Deposed func(partition string)
}

// Counters receives what the owner counts. The calls come from the control goroutine.
type Counters interface {
	Decided(class modeler.Class, outcome string)
	Waited(class modeler.Class, wait time.Duration)
}

// Control is the control state of an instance.
type Control struct {
	settings Settings
	Dependencies
	mailbox    chan func()
	partitions map[string]*partition
	tickets    *ticketer.State
	workers    []modeler.Worker
	ctx        context.Context
}

// New returns a control goroutine that owns nothing, and the function that stops it.
func New(settings Settings, dependencies Dependencies) (*Control, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		settings:     settings,
		Dependencies: dependencies,
		mailbox:      make(chan func(), mailboxSize),
		partitions:   make(map[string]*partition),
		tickets:      &ticketer.State{},
		ctx:          ctx,
	}
	var running sync.WaitGroup
	running.Go(c.run)
	return c, func() {
		cancel()
		running.Wait()
	}
}

// post hands a message to the control goroutine. It is dropped when the goroutine was stopped.
func (c *Control) post(message func()) {
	select {
	case c.mailbox <- message:
	case <-c.ctx.Done():
	}
}

func (c *Control) run() {
	ticker := c.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.closeAll()
			return
		case message := <-c.mailbox:
			message()
			c.drain()
		case <-ticker.Chan():
			c.tick()
		}
		for _, p := range c.partitions {
			p.round()
		}
	}
}

// drain takes what else is in the mailbox, up to a bound, before the next round.
func (c *Control) drain() {
	for range messagesPerRound {
		select {
		case message := <-c.mailbox:
			message()
		default:
			return
		}
	}
}

func (c *Control) closeAll() {
	for _, p := range c.partitions {
		p.close()
	}
	clear(c.partitions)
}

func (c *Control) tick() {
	now := c.Clock.Now()
	for _, p := range c.partitions {
		p.tick(now)
	}
}

// Grant is an ownership that was just gained. State is what the predecessor handed over, nil
// after a take-over; it makes reading the journal unnecessary.
type Grant struct {
	Partition string
	Epoch     modeler.Epoch
	Version   int64
	State     []byte
	Agreed    bool
}

// Adopt begins to own a partition.
func (c *Control) Adopt(grant Grant) {
	c.post(func() {
		if old := c.partitions[grant.Partition]; old != nil {
			old.close()
		}
		c.Journal.Open(grant.Partition, grant.Epoch, grant.Version)
		p := newPartition(c, grant)
		c.partitions[grant.Partition] = p
		c.Log.Info("partition adopted", "partition", grant.Partition, "epoch", grant.Epoch, "handed-over", grant.Agreed)
		p.load(grant)
	})
}

// Drop ends the ownership of a partition. Whoever waits for an answer gets a *NotOwnerError.
func (c *Control) Drop(partition string) {
	c.post(func() {
		p := c.partitions[partition]
		if p == nil {
			return
		}
		delete(c.partitions, partition)
		p.close()
		c.Log.Info("partition dropped", "partition", partition, "epoch", p.epoch)
	})
}

// DropEpoch is Drop, unless the partition was gained anew under a higher epoch meanwhile.
func (c *Control) DropEpoch(partition string, epoch modeler.Epoch) {
	c.post(func() {
		if p := c.partitions[partition]; p != nil && p.epoch <= epoch {
			delete(c.partitions, partition)
			p.close()
			c.Log.Info("partition dropped", "partition", partition, "epoch", p.epoch)
		}
	})
}

// SetTickets puts a state of tickets in force.
func (c *Control) SetTickets(state *ticketer.State) {
	c.post(func() {
		c.tickets = state
		for _, p := range c.partitions {
			p.applyTickets()
		}
	})
}

// SetWorkers applies the platform's list of workers.
func (c *Control) SetWorkers(workers []modeler.Worker) {
	c.post(func() {
		c.workers = workers
		for _, p := range c.partitions {
			p.applyWorkers()
		}
	})
}

// NotOwnerError tells that this instance does not own the partition, or stopped owning it while
// the call waited. The call may be repeated with the same key at the owner.
type NotOwnerError struct {
	Partition string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("partition %s is not owned here; repeat the request with the same key", e.Partition)
}

// RefusedError tells that nothing was accepted or done by this call.
type RefusedError struct {
	Kind       RefusalKind
	Reason     string
	RetryAfter time.Duration
}

// RefusalKind sorts refusals for callers.
type RefusalKind string

// The kinds of refusal.
const (
	Overloaded    RefusalKind = "overloaded"
	TableDown     RefusalKind = "table-down"
	NoPolicy      RefusalKind = "no-policy"
	KeyReused     RefusalKind = "key-reused"
	UnknownKey    RefusalKind = "unknown-key"
	NotCancelable RefusalKind = "not-cancelable"
)

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Reason) }

// UndecidedError tells that the wait ended while it was not certain that the job was accepted.
type UndecidedError struct {
	Key string
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("%s: not known yet whether it was accepted; repeat the request with the same key", e.Key)
}

// view is a copy of what a partition holds, made on the control goroutine.
func (c *Control) view(ctx context.Context, collect func()) error {
	done := make(chan struct{})
	c.post(func() {
		collect()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// WorkerView shows a worker as its owner sees it.
type WorkerView struct {
	Name      string            `json:"name"`
	Partition string            `json:"partition"`
	Rack      string            `json:"rack"`
	Pool      string            `json:"pool"`
	Condition string            `json:"condition"`
	Tasks     int               `json:"tasks"`
	Capacity  modeler.Resources `json:"capacity"`
	Reserved  modeler.Resources `json:"reserved"`
}

// PartitionView shows a partition as its owner sees it.
type PartitionView struct {
	Name     string            `json:"name"`
	Owner    string            `json:"owner"`
	Epoch    modeler.Epoch     `json:"epoch"`
	Ready    bool              `json:"ready"`
	Workers  int               `json:"workers"`
	Jobs     int               `json:"jobs"`
	Waiting  int               `json:"waiting"`
	Capacity modeler.Resources `json:"capacity"`
	Reserved modeler.Resources `json:"reserved"`
}

// Workers returns the workers of all partitions owned here.
func (c *Control) Workers(ctx context.Context) ([]WorkerView, error) {
	var views []WorkerView
	err := c.view(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.workerViews()...)
		}
	})
	return views, err
}

// Partitions returns the partitions owned here.
func (c *Control) Partitions(ctx context.Context) ([]PartitionView, error) {
	var views []PartitionView
	err := c.view(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.view())
		}
	})
	return views, err
}

var _ Platform = (*connector.Platform)(nil)
