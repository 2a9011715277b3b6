package cellscheduler_test

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/internal/workerrelayer"
)

// fakeInstance is the process of an owner. It can be suspended, also while a message is being handled, and be cut off
// from the store.
type fakeInstance struct {
	env       *testEnv
	workers   orderrepeater.WorkerClient
	mu        sync.Mutex
	resumesAt time.Time
	// messageCost is how long the control goroutine takes for each line that it logs.
	messageCost time.Duration
	storeCutAt  time.Time
	// suspendNext is how long the process is suspended once the control goroutine logs the next line.
	suspendNext time.Duration
	// relayFault returns how the next call of a relay fails; nil sends all orders directly.
	relayFault func() relayFault
}

// relayFault is how the call of a relay fails.
type relayFault int

const (
	_ relayFault = iota
	// relayNotConnected: nothing is sent. relayClosed: the connection breaks after the order has been sent.
	relayNotConnected
	relayClosed
)

// wakeLag is how much later than the goroutines that receive replies the control goroutine goes on after a suspension:
// the runtime preempts a goroutine that seems to have run for all that time.
const wakeLag = time.Millisecond

func (i *fakeInstance) suspend(duration time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.resumesAt = time.Now().Add(duration)
}

// suspendInNextMessage suspends the process while it handles the next message that it logs.
func (i *fakeInstance) suspendInNextMessage(duration time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspendNext = duration
}

// wait waits until the process is not suspended, and reports whether it was.
func (i *fakeInstance) wait() (suspended bool) {
	for {
		i.mu.Lock()
		left := time.Until(i.resumesAt)
		i.mu.Unlock()
		if left <= 0 {
			return suspended
		}
		sleep(left)
		suspended = true
	}
}

// start makes the instance the owner.
func (i *fakeInstance) start(fencingToken int64) (*cellscheduler.Scheduler, func()) {
	env := i.env
	env.clock, env.log = &instanceClock{env.clock, i}, slog.New(&instanceLog{slog.DiscardHandler, i})
	env.newWorkerClient = func() cellscheduler.WorkerClient {
		return workerrelayer.New(workerrelayer.Dependencies{Direct: env.newRepeater(&instanceNetwork{i, i.workers}), Relays: i, CallPeer: i.callPeer})
	}
	env.newCommitter = func() cellscheduler.Committer { return &instanceCommitter{i} }
	env.ownershipConfirmed = func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.storeCutAt.IsZero() || time.Since(i.storeCutAt) < 6*time.Second
	}
	defer func() { env.clock = clockwork.NewRealClock() }()
	return env.startScheduler(fencingToken)
}

// Relay selects the only relay.
func (i *fakeInstance) Relay(*workerdriver.Worker) string {
	if i.relayFault == nil {
		return ""
	}
	return "relay"
}

// RecordFailure does nothing: the next order goes to the relay again.
func (i *fakeInstance) RecordFailure(string) {}

func (i *fakeInstance) callPeer(ctx context.Context, _ string, request []byte) ([]byte, error) {
	i.wait()
	fault := i.relayFault()
	if fault == relayNotConnected {
		return nil, &mesher.LinkError{Err: &mesher.NotConnectedError{}}
	}
	type answer struct {
		text []byte
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		// The relay goes on if the owner does not wait any more.
		text, err := workerrelayer.Serve(context.WithoutCancel(ctx), i.env.newRepeater(i.workers), request)
		answers <- answer{text, err}
	}()
	if fault == relayClosed {
		return nil, &mesher.LinkError{Err: &mesher.ConnectionClosedError{}}
	}
	select {
	case a := <-answers:
		i.wait()
		return a.text, a.err
	case <-ctx.Done():
		i.wait()
		return nil, &mesher.LinkError{Err: ctx.Err()}
	}
}

// instanceClock is the clock of an instance, which nothing reads while the process is suspended.
type instanceClock struct {
	clockwork.Clock
	instance *fakeInstance
}

func (c *instanceClock) Now() time.Time {
	if c.instance.wait() {
		sleep(wakeLag)
	}
	return c.Clock.Now()
}

func (c *instanceClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// instanceLog is where the control goroutine is suspended while it handles a message.
type instanceLog struct {
	slog.Handler
	instance *fakeInstance
}

func (l *instanceLog) Enabled(context.Context, slog.Level) bool { return true }

func (l *instanceLog) Handle(context.Context, slog.Record) error {
	l.instance.mu.Lock()
	next := l.instance.suspendNext
	l.instance.suspendNext = 0
	l.instance.mu.Unlock()
	if next > 0 {
		l.instance.suspend(next)
	}
	if l.instance.messageCost > 0 {
		sleep(l.instance.messageCost)
	}
	if l.instance.wait() {
		sleep(wakeLag)
	}
	return nil
}

// instanceCommitter commits transactions unless the instance is suspended or cut off from the store.
type instanceCommitter struct{ instance *fakeInstance }

func (c *instanceCommitter) Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	c.instance.wait()
	c.instance.mu.Lock()
	cut := !c.instance.storeCutAt.IsZero()
	c.instance.mu.Unlock()
	if cut {
		<-ctx.Done()
		return connector.Outcome{}, &connector.UnreachableError{Err: ctx.Err()}
	}
	outcome, err := c.instance.env.Transact(ctx, transaction)
	c.instance.wait()
	return outcome, err
}

// instanceNetwork sends orders from an instance and receives the replies while the process is not suspended.
type instanceNetwork struct {
	instance *fakeInstance
	workers  orderrepeater.WorkerClient
}

func (n *instanceNetwork) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	n.instance.wait()
	defer n.instance.wait()
	return n.workers.Start(ctx, to, order)
}

func (n *instanceNetwork) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	n.instance.wait()
	defer n.instance.wait()
	return n.workers.Stop(ctx, to, order)
}

func (n *instanceNetwork) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	n.instance.wait()
	defer n.instance.wait()
	return n.workers.Sync(ctx, to, order)
}

func (n *instanceNetwork) Throttle(ctx context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error {
	n.instance.wait()
	return n.workers.Throttle(ctx, to, order)
}
