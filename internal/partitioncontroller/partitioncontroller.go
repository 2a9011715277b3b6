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

// mailboxSize is how many messages may wait for the control goroutine before senders wait.
const mailboxSize = 4096

// messagesPerRound is how many messages are taken before jobs are placed. Several releases in a
// row are then used by one round.
const messagesPerRound = 64

// tickInterval is the time between two looks at what is due by time alone.
const tickInterval = time.Second

// Dependencies of the control goroutine.
type Dependencies struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Platform partitionscheduler.Platform
	Journal  partitionscheduler.Journal
	Counters partitionscheduler.Metrics
	// OwnedUntil tells until when an ownership is known to hold.
	OwnedUntil func(partition string, epoch modeler.Epoch) time.Time
	// Deposed is called when a worker or the table shows that another instance owns a partition.
	Deposed func(partition string, epoch modeler.Epoch)
}

// Controller is the control state of an instance.
type Controller struct {
	settings partitionscheduler.Settings
	Dependencies
	mailbox    chan func()
	partitions map[string]*partitionscheduler.Partition
	tickets    *ticketer.State
	workers    []modeler.Worker
	ctx        context.Context
}

// New returns a control goroutine that owns nothing, and the function that stops it.
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

// post hands a message to the control goroutine. It is dropped when the goroutine was stopped.
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
			c.drain()
		case <-ticker.Chan():
			c.tick()
		}
		for _, p := range c.partitions {
			p.ScheduleRound()
		}
	}
}

// drain takes what else is in the mailbox, up to a bound, before the next round.
func (c *Controller) drain() {
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

// Adopt begins to own a partition.
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
			Metrics:       c.Counters,
			OwnedUntil:    func() time.Time { return c.OwnedUntil(grant.Partition, grant.Epoch) },
			Post:          c.post,
			OwnershipLost: c.deposed,
			Tickets:       func() *ticketer.State { return c.tickets },
			Workers:       func() []modeler.Worker { return c.workers },
		})
		c.partitions[grant.Partition] = p
		c.Log.Info("partition adopted", "partition", grant.Partition, "epoch", grant.Epoch, "handed-over", grant.HandedOver)
		p.Load(grant)
	})
}

// Drop ends the ownership of a partition, unless it was gained anew under a higher epoch meanwhile.
// Whoever waits for an answer gets a *modeler.NotOwnerError.
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

// deposed gives a partition up because somebody obeys another owner already.
func (c *Controller) deposed(p *partitionscheduler.Partition) {
	c.Log.Warn("deposed", "partition", p.Name(), "epoch", p.Epoch())
	c.remove(p)
	go c.Deposed(p.Name(), p.Epoch())
}

func (c *Controller) remove(p *partitionscheduler.Partition) {
	if c.partitions[p.Name()] == p {
		delete(c.partitions, p.Name())
	}
	p.Close()
}

// SetTickets puts a state of tickets in force.
func (c *Controller) SetTickets(state *ticketer.State) {
	c.post(func() {
		c.tickets = state
		for _, p := range c.partitions {
			p.ApplyTickets()
		}
	})
}

// SetWorkers applies the platform's list of workers.
func (c *Controller) SetWorkers(workers []modeler.Worker) {
	c.post(func() {
		c.workers = workers
		for _, p := range c.partitions {
			p.ApplyWorkers()
		}
	})
}

// view runs a function on the control goroutine and waits for it.
func (c *Controller) view(ctx context.Context, collect func()) error {
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

// Workers returns the workers of all partitions owned here.
func (c *Controller) Workers(ctx context.Context) ([]partitionscheduler.WorkerView, error) {
	var views []partitionscheduler.WorkerView
	err := c.view(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.WorkerViews()...)
		}
	})
	return views, err
}

// Partitions returns the partitions owned here.
func (c *Controller) Partitions(ctx context.Context) ([]partitionscheduler.PartitionView, error) {
	var views []partitionscheduler.PartitionView
	err := c.view(ctx, func() {
		for _, p := range c.partitions {
			views = append(views, p.View())
		}
	})
	return views, err
}

var _ partitionscheduler.Platform = (*connector.Client)(nil)
