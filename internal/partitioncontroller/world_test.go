package partitioncontroller_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/c2h5oh/datasize"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/leaseholder"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitioncontroller"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
	"dotterelpost.example/dotterelpost/internal/simulator"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

const (
	testLease      = 4 * time.Second
	testTaskLease  = 15 * time.Second
	testClockBound = 500 * time.Millisecond
)

// node is one instance: everything of a server but its listeners and the mesh.
type node struct {
	name    string
	world   *world
	wire    *wire
	control *partitioncontroller.Controller
	holder  *leaseholder.Holder
	stop    func()
	once    sync.Once
}

func (n *node) LeaseAcquired(grant leaseholder.Grant) {
	n.control.Adopt(partitionscheduler.Grant{Partition: grant.Partition, Epoch: grant.Epoch, Version: grant.Version})
}

func (n *node) LeaseLost(grant leaseholder.Grant) { n.control.Drop(grant.Partition, grant.Epoch) }

func (n *node) PiggybackRows() ([]connector.Put, []connector.Precondition) {
	return n.holder.PiggybackRenewal()
}
func (n *node) PiggybackCommitted(sent time.Time) { n.holder.RenewalCommitted(sent) }
func (n *node) MinInterval() time.Duration        { return n.world.gap }

// forgetfulJournal breaks the promise of a journal for one kind of entry.
type forgetfulJournal struct {
	*journaler.Journal
	forget journaler.EntryKind
}

func (j forgetfulJournal) Append(partition string, entry journaler.Entry, linger time.Duration, done func(error)) {
	if entry.Kind == j.forget {
		go done(nil)
		return
	}
	j.Journal.Append(partition, entry, linger, done)
}

type noCounters struct{}

func (noCounters) CountDecision(modeler.Class, string)      {}
func (noCounters) ObserveWait(modeler.Class, time.Duration) {}

func (n *node) kill() {
	n.once.Do(func() {
		n.wire.set(func() { n.wire.noTable, n.wire.noWork = true, true })
		n.wire.unfreeze()
		n.stop()
	})
}

// world is the platform, some instances and their callers, inside one synctest bubble.
type world struct {
	clock    clockwork.Clock
	platform *simulator.Platform
	handler  http.Handler
	mode     fencer.Mode
	// forget is a kind of entry that is told to be written and is not, to show that the audit sees it.
	forget journaler.EntryKind
	state  *ticketer.State
	// partitions are the names of all; the length of a key decides which one it is in.
	partitions []string
	// rowsPerSnapshot is low, so that snapshots are taken and read in most worlds.
	rowsPerSnapshot int
	// expected is how many instances there will be; the first one would claim everything otherwise.
	expected int
	// gap is the pause that the write budget asks for between two transactions.
	gap    time.Duration
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	nodes map[int]*node
	count int
	calls []*auditor.Call
	stops []auditor.PlannedStop
	bad   map[string]bool
	left  []auditor.Departure
	open  sync.WaitGroup
}

// shape is the size of a world.
type shape struct {
	partitions          int
	workersPerPartition int
	capacity            modeler.Resources
	slots               int
}

// smallShape is that of the property tests: two partitions of two workers.
var smallShape = shape{
	partitions:          2,
	workersPerPartition: 2,
	capacity:            modeler.Resources{Processors: 4000, Memory: 8 * datasize.GB, Accelerators: 1},
	slots:               4,
}

func newWorld(mode simulator.FenceMode, size shape) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		clock:  clockwork.NewRealClock(),
		ctx:    ctx,
		cancel: cancel,
		nodes:  make(map[int]*node),
		bad:    make(map[string]bool),
		mode:   fencer.CompareEpochs{},
		gap:    20 * time.Millisecond,

		rowsPerSnapshot: 3,
	}
	if mode == simulator.WaitForLeaseExpiry {
		w.mode = fencer.WaitForLeaseExpiry{ClockBound: testClockBound}
	}
	w.platform = simulator.New(simulator.Settings{
		WritesPerSecond: 400,
		ReadsPerSecond:  2000,
		ListLag:         modeler.Duration(500 * time.Millisecond),
		FenceMode:       mode,
		Workers:         testWorkers(size),
	}, w.clock)
	w.handler = w.platform.Handler()
	w.state = testState(size)
	w.partitions = w.state.PartitionsIn("north")
	return w
}

// testWorkers names worker i so that it is in partition i modulo their number.
func testWorkers(size shape) []modeler.Worker {
	var workers []modeler.Worker
	for i := range size.partitions * size.workersPerPartition {
		workers = append(workers, modeler.Worker{
			Name:             fmt.Sprintf("w%d", i),
			Region:           "north",
			AvailabilityZone: fmt.Sprintf("north-%d", i%2),
			Rack:             fmt.Sprintf("r%d", i%size.partitions),
			Capacity:         size.capacity,
			Slots:            size.slots,
			Address:          netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return workers
}

func testState(size shape) *ticketer.State {
	state := &ticketer.State{Number: 1}
	pool := ticketer.Pool{Name: "all"}
	for i := range size.partitions {
		rack := fmt.Sprintf("r%d", i)
		pool.Racks = append(pool.Racks, rack)
		state.Partitions = append(state.Partitions, ticketer.Partition{Name: fmt.Sprintf("p-%d", i+1), Region: "north", Racks: []string{rack}})
	}
	state.Pools = []ticketer.Pool{pool}
	for _, class := range modeler.Classes() {
		state.Policies = append(state.Policies, ticketer.Policy{Team: "team", Class: class, Pools: []string{"all"}, QueueLimit: 1000})
	}
	return state
}

// start starts the instance of a place; a replacement gets a new name.
func (w *world) start(place int) {
	w.mu.Lock()
	w.count++
	n := &node{name: fmt.Sprintf("i%d.%d", place, w.count), world: w, wire: newWire(w.handler)}
	w.mu.Unlock()
	platform := connector.NewWithTransport(netip.MustParseAddrPort("127.0.0.1:1"), n.wire)
	log := slog.New(slog.DiscardHandler)
	journal, stopJournal := journaler.New(journaler.Settings{RowsPerSnapshot: w.rowsPerSnapshot}, committer.NewWriter(platform, n.name+"/journal", w.clock), n, n, w.clock, log)
	control, stopControl := partitioncontroller.New(partitionscheduler.Settings{
		Instance: n.name, Seed: 1, TaskLease: testTaskLease, ClockBound: testClockBound,
		DurableRetention: 24 * time.Hour, QuickRetention: 24 * time.Hour, FenceMode: w.mode,
	}, partitioncontroller.Dependencies{
		Clock: w.clock, Log: log, Platform: platform, Journal: forgetfulJournal{Journal: journal, forget: w.forget}, Counters: noCounters{},
		OwnedUntil: func(partition string, epoch modeler.Epoch) time.Time { return n.holder.OwnedUntil(partition, epoch) },
		Deposed:    func(partition string, epoch modeler.Epoch) { n.holder.MarkLost(partition, epoch) },
	})
	n.control = control
	control.SetTickets(w.state)
	held, stopHolder := leaseholder.New(leaseholder.Settings{Instance: n.name, Lease: testLease}, leaseholder.Dependencies{
		Reader: platform, Committer: committer.NewWriter(platform, n.name+"/holder", w.clock),
		Listener: n, Clock: w.clock, Log: log,
		LiveInstances: func() int { return max(len(w.alive()), w.expected) },
	})
	n.holder = held
	listing, stopListing := context.WithCancel(w.ctx)
	go n.followList(listing, platform)
	held.SetPartitions(w.partitions)
	n.stop = func() {
		stopListing()
		stopHolder()
		stopControl()
		stopJournal()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[place] = n
}

func (n *node) followList(ctx context.Context, platform *connector.Client) {
	for ctx.Err() == nil {
		if list, err := platform.List(ctx, "north"); err == nil {
			n.control.SetWorkers(list.Workers)
		}
		select {
		case <-ctx.Done():
		case <-n.world.clock.After(time.Second):
		}
	}
}

func (w *world) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for place := range len(w.nodes) {
		if n := w.nodes[place]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

func (w *world) at(place int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[place]
}

// handOver is a planned stop of the holder's part: each partition goes to the other place.
func (w *world) handOver(from, to *node) {
	stop := auditor.PlannedStop{Instance: from.name, Began: w.clock.Now()}
	for _, grant := range from.holder.Held() {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		state, err := from.control.HandOver(ctx, grant.Partition)
		cancel()
		if err != nil {
			continue
		}
		ctx, cancel = context.WithTimeout(w.ctx, 3*time.Second)
		next, err := from.holder.Transfer(ctx, grant.Partition, to.name)
		cancel()
		if err == nil && to.holder.Accept(next) {
			to.control.Adopt(partitionscheduler.Grant{Partition: next.Partition, Epoch: next.Epoch, Version: next.Version, State: state, HandedOver: true})
		}
		from.control.Drop(grant.Partition, grant.Epoch)
	}
	stop.Ended = w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, stop)
}

// call is a caller that asks one instance after the other until the answer is final.
func (w *world) call(key string, job modeler.Job, cancelAfter time.Duration) {
	record := &auditor.Call{Key: key, Job: job, Cancelled: cancelAfter > 0}
	w.mu.Lock()
	w.calls = append(w.calls, record)
	w.mu.Unlock()
	w.open.Go(func() {
		wait := job.Class == modeler.Quick
		w.ask(record, wait, func(ctx context.Context, n *node, partition string) (modeler.Answer, error) {
			return n.control.Submit(ctx, partitionscheduler.Submission{Partition: partition, Key: key, Job: job, Wait: wait})
		})
		if !record.Accepted {
			return
		}
		if cancelAfter > 0 {
			select {
			case <-w.ctx.Done():
			case <-w.clock.After(cancelAfter):
			}
			w.ask(record, true, func(ctx context.Context, n *node, partition string) (modeler.Answer, error) {
				return n.control.Cancel(ctx, partition, key)
			})
		}
		w.ask(record, true, func(ctx context.Context, n *node, partition string) (modeler.Answer, error) {
			return n.control.Status(ctx, partition, key, true)
		})
	})
}

func (w *world) ask(record *auditor.Call, untilFinal bool, question func(ctx context.Context, n *node, partition string) (modeler.Answer, error)) {
	partition := w.partitions[len(record.Key)%len(w.partitions)]
	for turn := 0; w.ctx.Err() == nil; turn++ {
		if list := w.alive(); len(list) > 0 {
			ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
			answer, err := question(ctx, list[turn%len(list)], partition)
			cancel()
			if w.told(record, answer, err) && (!untilFinal || answer.State.Final()) {
				return
			}
		}
		select {
		case <-w.ctx.Done():
		case <-w.clock.After(100 * time.Millisecond):
		}
	}
}

// told notes an answer, or why there is none, and tells whether it is one.
func (w *world) told(record *auditor.Call, answer modeler.Answer, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		record.Accepted = true
		record.Told = append(record.Told, answer)
		record.LastReason = answer.Reason
		return true
	}
	record.LastReason = err.Error()
	var refused *modeler.RefusedError
	if errors.As(err, &refused) && refused.Kind == modeler.UnknownKey && record.Accepted {
		record.Told = append(record.Told, modeler.Answer{Key: record.Key, State: "lost"})
	}
	return false
}

// violations audits what happened.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	evidence := auditor.Evidence{
		Events:      w.platform.Events(),
		Stops:       w.stops,
		Departures:  w.left,
		LeavingWait: 3 * time.Second,
		Excused:     w.bad,
	}
	for _, call := range w.calls {
		evidence.Calls = append(evidence.Calls, *call)
	}
	var all []string
	for _, finding := range auditor.Audit(evidence) {
		all = append(all, finding.Violations...)
	}
	for _, call := range w.calls {
		all = append(all, unsteady(call)...)
	}
	return all
}

// unsteady finds final answers that changed later.
func unsteady(call *auditor.Call) []string {
	var final modeler.State
	for _, answer := range call.Told {
		if final != "" && answer.State != final {
			return []string{fmt.Sprintf("%s was told %s and later %s", call.Key, final, answer.State)}
		}
		if answer.State.Final() {
			final = answer.State
		}
	}
	return nil
}

// end stops everything, so that the bubble can end.
func (w *world) end() {
	for _, n := range w.alive() {
		n.kill()
	}
	w.cancel()
	w.open.Wait()
}
