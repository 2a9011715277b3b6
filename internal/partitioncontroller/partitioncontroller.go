package partitioncontroller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// mailboxSize is the number of messages that can be queued for the control goroutine before senders
// block.
const mailboxSize = 4096

// messagesPerRound is the maximum number of queued messages that are processed before the next
// scheduling round, so that one round can use the resources freed by several messages.
const messagesPerRound = 64

// tickInterval is the interval at which timeouts and other time-based work are checked.
const tickInterval = time.Second

// Dependencies are the services that a Controller uses.
type Dependencies struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Platform partitionscheduler.Platform
	Journal  partitionscheduler.Journal
	Metrics  partitionscheduler.Metrics
	// OwnedUntil returns the time until which this instance is known to own the partition under the
	// given epoch.
	OwnedUntil func(partition string, epoch modeler.Epoch) time.Time
	// OwnershipLost is called when a worker or the table shows that another instance owns the
	// partition.
	OwnershipLost func(partition string, epoch modeler.Epoch)
}

// Controller holds the state of all partitions that an instance owns. Only its control goroutine
// accesses this state.
type Controller struct {
	settings partitionscheduler.Settings
	Dependencies
	mailbox    chan func()
	partitions map[string]*partitionscheduler.Partition
	tickets    *ticketer.State
	workers    []modeler.Worker
	ctx        context.Context
}

// New starts a controller that owns no partitions and returns it with a function that stops it.
func New(settings partitionscheduler.Settings, dependencies Dependencies) (*Controller, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		settings:     settings,
		Dependencies: dependencies,
		mailbox:      make(chan func(), mailboxSize),
		partitions:   make(map[string]*partitionscheduler.Partition),
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

// post queues a message for the control goroutine. The message is dropped if the controller has
// been stopped.
func (c *Controller) post(message func()) {
	select {
	case c.mailbox <- message:
	case <-c.ctx.Done():
	}
}

func (c *Controller) run() {
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.closeAll()
			return
		case message := <-c.mailbox:
			message()
			c.processPending()
		case <-ticker.Chan():
			c.tick()
		}
		for _, p := range c.partitions {
			p.ScheduleRound()
		}
	}
}

// processPending processes queued messages, up to messagesPerRound, before the next round.
func (c *Controller) processPending() {
	for range messagesPerRound {
		select {
		case message := <-c.mailbox:
			message()
		default:
			return
		}
	}
}

func (c *Controller) closeAll() {
	for _, p := range c.partitions {
		p.Close()
	}
	clear(c.partitions)
}

func (c *Controller) tick() {
	now := c.Clock.Now()
	for _, p := range c.partitions {
		p.Tick(now)
	}
}

// Adopt takes ownership of a partition under the epoch of the grant and loads its state.
func (c *Controller) Adopt(grant partitionscheduler.Grant) {
	c.post(func() {
		if old := c.partitions[grant.Partition]; old != nil {
			old.Close()
		}
		c.Journal.Open(grant.Partition, grant.Epoch, grant.Version)
		p := partitionscheduler.New(grant, c.settings, partitionscheduler.Dependencies{
			Context:       c.ctx,
			Clock:         c.Clock,
			Log:           c.Log,
			Platform:      c.Platform,
			Journal:       c.Journal,
			Metrics:       c.Metrics,
			OwnedUntil:    func() time.Time { return c.OwnedUntil(grant.Partition, grant.Epoch) },
			Post:          c.post,
			OwnershipLost: c.ownershipLost,
			Tickets:       func() *ticketer.State { return c.tickets },
			Workers:       func() []modeler.Worker { return c.workers },
		})
		c.partitions[grant.Partition] = p
		c.Log.Info("partition adopted", "partition", grant.Partition, "epoch", grant.Epoch, "handed-over", grant.HandedOver)
		p.Load(grant)
	})
}

// Drop ends the ownership of a partition unless it has since been acquired under a higher epoch.
// Pending calls fail with a *modeler.NotOwnerError.
func (c *Controller) Drop(partition string, epoch modeler.Epoch) {
	c.post(func() {
		p := c.partitions[partition]
		if p == nil || p.Epoch() > epoch {
			return
		}
		c.remove(p)
		c.Log.Info("partition dropped", "partition", partition, "epoch", epoch)
	})
}

// ownershipLost removes a partition because a worker or the table has shown that another instance
// owns it.
func (c *Controller) ownershipLost(p *partitionscheduler.Partition) {
	c.Log.Warn("deposed", "partition", p.Name(), "epoch", p.Epoch())
	c.remove(p)
	go c.OwnershipLost(p.Name(), p.Epoch())
}

func (c *Controller) remove(p *partitionscheduler.Partition) {
	if c.partitions[p.Name()] == p {
		delete(c.partitions, p.Name())
	}
	p.Close()
}

// SetTickets applies a new ticket state to all partitions.
func (c *Controller) SetTickets(state *ticketer.State) {
	c.post(func() {
		c.tickets = state
		for _, p := range c.partitions {
			p.ApplyTickets()
		}
	})
}

// SetWorkers applies the platform's list of workers to all partitions.
func (c *Controller) SetWorkers(workers []modeler.Worker) {
	c.post(func() {
		c.workers = workers
		for _, p := range c.partitions {
			p.ApplyWorkers()
		}
	})
}

// runAndWait runs a function on the control goroutine and waits until it has returned.
func (c *Controller) runAndWait(ctx context.Context, collect func()) error {
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

// Workers returns the workers of all partitions that this instance owns.
func (c *Controller) Workers(ctx context.Context) ([]partitionscheduler.WorkerView, error) {
	var views []partitionscheduler.WorkerView
	err := c.runAndWait(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.WorkerViews()...)
		}
	})
	return views, err
}

// Partitions returns the partitions that this instance owns.
func (c *Controller) Partitions(ctx context.Context) ([]partitionscheduler.PartitionView, error) {
	var views []partitionscheduler.PartitionView
	err := c.runAndWait(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.View())
		}
	})
	return views, err
}

var _ partitionscheduler.Platform = (*connector.Client)(nil)
