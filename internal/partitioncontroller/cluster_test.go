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

// testInstance is one instance: all parts of a server except its listeners and the mesh.
type testInstance struct {
	name       string
	cluster    *testCluster
	transport  *faultyTransport
	controller *partitioncontroller.Controller
	holder     *leaseholder.Holder
	stop       func()
	once       sync.Once
}

func (i *testInstance) LeaseAcquired(grant leaseholder.Grant) {
	i.controller.Adopt(partitionscheduler.Grant{Partition: grant.Partition, Epoch: grant.Epoch, Version: grant.Version})
}

func (i *testInstance) LeaseLost(grant leaseholder.Grant) {
	i.controller.Drop(grant.Partition, grant.Epoch)
}

func (i *testInstance) PiggybackRows() ([]connector.Put, []connector.Precondition) {
	return i.holder.PiggybackRenewal()
}
func (i *testInstance) PiggybackCommitted(sent time.Time) { i.holder.RenewalCommitted(sent) }
func (i *testInstance) MinInterval() time.Duration        { return i.cluster.minInterval }

// lossyJournal reports entries of one kind as written without writing them.
type lossyJournal struct {
	*journaler.Journal
	dropped journaler.EntryKind
}

func (j lossyJournal) Append(partition string, entry journaler.Entry, linger time.Duration, done func(error)) {
	if entry.Kind == j.dropped {
		go done(nil)
		return
	}
	j.Journal.Append(partition, entry, linger, done)
}

type discardMetrics struct{}

func (discardMetrics) CountDecision(modeler.Class, string)      {}
func (discardMetrics) ObserveWait(modeler.Class, time.Duration) {}

// kill cuts the instance off and stops it without releasing its partitions.
func (i *testInstance) kill() {
	i.once.Do(func() {
		i.transport.update(func() { i.transport.tableCut, i.transport.workersCut = true, true })
		i.transport.resume()
		i.stop()
	})
}

// testCluster is the simulated platform, some instances and their callers, inside one synctest
// bubble.
type testCluster struct {
	clock    clockwork.Clock
	platform *simulator.Platform
	handler  http.Handler
	mode     fencer.Mode
	// droppedKind is a kind of entry that is reported as written but is not, to show that the
	// auditor detects it.
	droppedKind journaler.EntryKind
	state       *ticketer.State
	// partitions are the names of all partitions. The length of a key selects its partition.
	partitions []string
	// rowsPerSnapshot is low, so that snapshots are written and read in most test runs.
	rowsPerSnapshot int
	// expectedInstances is the number of instances that will be started. Without it, the first one
	// would claim all partitions.
	expectedInstances int
	// minInterval is the interval between two transactions that the write budget requires.
	minInterval time.Duration
	ctx         context.Context
	cancel      context.CancelFunc

	mu                sync.Mutex
	instances         map[int]*testInstance
	startedInstances  int
	calls             []*auditor.Call
	gracefulShutdowns []auditor.GracefulShutdown
	faultyWorkers     map[string]bool
	departures        []auditor.Departure
	background        sync.WaitGroup
}

// clusterSize is the size of a cluster.
type clusterSize struct {
	partitions          int
	workersPerPartition int
	capacity            modeler.Resources
	slots               int
}

// smallSize is the size used by the property tests: two partitions of two workers each.
var smallSize = clusterSize{
	partitions:          2,
	workersPerPartition: 2,
	capacity:            modeler.Resources{Processors: 4000, Memory: 8 * datasize.GB, Accelerators: 1},
	slots:               4,
}

func newTestCluster(mode simulator.FenceMode, size clusterSize) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &testCluster{
		clock:         clockwork.NewRealClock(),
		ctx:           ctx,
		cancel:        cancel,
		instances:     make(map[int]*testInstance),
		faultyWorkers: make(map[string]bool),
		mode:          fencer.CompareEpochs{},
		minInterval:   20 * time.Millisecond,

		rowsPerSnapshot: 3,
	}
	if mode == simulator.WaitForLeaseExpiry {
		c.mode = fencer.WaitForLeaseExpiry{ClockBound: testClockBound}
	}
	c.platform = simulator.New(simulator.Settings{
		WritesPerSecond: 400,
		ReadsPerSecond:  2000,
		ListLag:         modeler.Duration(500 * time.Millisecond),
		FenceMode:       mode,
		Workers:         testWorkers(size),
	}, c.clock)
	c.handler = c.platform.Handler()
	c.state = testState(size)
	c.partitions = c.state.PartitionsIn("north")
	return c
}

// testWorkers returns the workers. Worker i belongs to partition i modulo the number of partitions.
func testWorkers(size clusterSize) []modeler.Worker {
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

func testState(size clusterSize) *ticketer.State {
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

// startInstance starts the instance with the given index. A replacement gets a new name.
func (c *testCluster) startInstance(index int) {
	c.mu.Lock()
	c.startedInstances++
	instance := &testInstance{name: fmt.Sprintf("i%d.%d", index, c.startedInstances), cluster: c, transport: newFaultyTransport(c.handler)}
	c.mu.Unlock()
	platform := connector.NewWithTransport(netip.MustParseAddrPort("127.0.0.1:1"), instance.transport)
	log := slog.New(slog.DiscardHandler)
	journal, stopJournal := journaler.New(journaler.Settings{RowsPerSnapshot: c.rowsPerSnapshot}, committer.NewWriter(platform, instance.name+"/journal", c.clock), instance, instance, c.clock, log)
	control, stopControl := partitioncontroller.New(partitionscheduler.Settings{
		Instance: instance.name, Seed: 1, TaskLease: testTaskLease, ClockBound: testClockBound,
		DurableRetention: 24 * time.Hour, QuickRetention: 24 * time.Hour, FenceMode: c.mode,
	}, partitioncontroller.Dependencies{
		Clock: c.clock, Log: log, Platform: platform, Journal: lossyJournal{Journal: journal, dropped: c.droppedKind}, Metrics: discardMetrics{},
		OwnedUntil: func(partition string, epoch modeler.Epoch) time.Time {
			return instance.holder.OwnedUntil(partition, epoch)
		},
		OwnershipLost: func(partition string, epoch modeler.Epoch) { instance.holder.MarkLost(partition, epoch) },
	})
	instance.controller = control
	control.SetTickets(c.state)
	holder, stopHolder := leaseholder.New(leaseholder.Settings{Instance: instance.name, Lease: testLease}, leaseholder.Dependencies{
		Reader: platform, Committer: committer.NewWriter(platform, instance.name+"/holder", c.clock),
		Listener: instance, Clock: c.clock, Log: log,
		LiveInstances: func() int { return max(len(c.liveInstances()), c.expectedInstances) },
	})
	instance.holder = holder
	listCtx, stopListing := context.WithCancel(c.ctx)
	go instance.followList(listCtx, platform)
	holder.SetPartitions(c.partitions)
	instance.stop = func() {
		stopListing()
		stopHolder()
		stopControl()
		stopJournal()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[index] = instance
}

func (i *testInstance) followList(ctx context.Context, platform *connector.Client) {
	for ctx.Err() == nil {
		if list, err := platform.List(ctx, "north"); err == nil {
			i.controller.SetWorkers(list.Workers)
		}
		select {
		case <-ctx.Done():
		case <-i.cluster.clock.After(time.Second):
		}
	}
}

func (c *testCluster) liveInstances() []*testInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*testInstance
	for index := range len(c.instances) {
		if instance := c.instances[index]; instance != nil {
			list = append(list, instance)
		}
	}
	return list
}

func (c *testCluster) instanceAt(index int) *testInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[index]
}

// handOver performs the part of a graceful shutdown that concerns partitions: it hands each one over
// to the other instance.
func (c *testCluster) handOver(from, to *testInstance) {
	shutdown := auditor.GracefulShutdown{Instance: from.name, Began: c.clock.Now()}
	for _, grant := range from.holder.Held() {
		ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
		state, err := from.controller.HandOver(ctx, grant.Partition)
		cancel()
		if err != nil {
			continue
		}
		ctx, cancel = context.WithTimeout(c.ctx, 3*time.Second)
		next, err := from.holder.Transfer(ctx, grant.Partition, to.name)
		cancel()
		if err == nil && to.holder.Accept(next) {
			to.controller.Adopt(partitionscheduler.Grant{Partition: next.Partition, Epoch: next.Epoch, Version: next.Version, State: state, HandedOver: true})
		}
		from.controller.Drop(grant.Partition, grant.Epoch)
	}
	shutdown.Ended = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gracefulShutdowns = append(c.gracefulShutdowns, shutdown)
}

// startCaller starts a caller that submits a job and asks the instances in turn until the answer is
// final. If cancelAfter is not zero, the caller cancels the job that long after it was accepted.
func (c *testCluster) startCaller(key string, job modeler.Job, cancelAfter time.Duration) {
	record := &auditor.Call{Key: key, Job: job, Cancelled: cancelAfter > 0}
	c.mu.Lock()
	c.calls = append(c.calls, record)
	c.mu.Unlock()
	c.background.Go(func() {
		wait := job.Class == modeler.Quick
		c.askUntilAnswered(record, wait, func(ctx context.Context, instance *testInstance, partition string) (modeler.Answer, error) {
			return instance.controller.Submit(ctx, partitionscheduler.Submission{Partition: partition, Key: key, Job: job, Wait: wait})
		})
		if !record.Accepted {
			return
		}
		if cancelAfter > 0 {
			select {
			case <-c.ctx.Done():
			case <-c.clock.After(cancelAfter):
			}
			c.askUntilAnswered(record, true, func(ctx context.Context, instance *testInstance, partition string) (modeler.Answer, error) {
				return instance.controller.Cancel(ctx, partition, key)
			})
		}
		c.askUntilAnswered(record, true, func(ctx context.Context, instance *testInstance, partition string) (modeler.Answer, error) {
			return instance.controller.Status(ctx, partition, key, true)
		})
	})
}

// askUntilAnswered repeats a request to one instance after the other until one answers, or with
// untilFinal until the answer is final.
func (c *testCluster) askUntilAnswered(record *auditor.Call, untilFinal bool, request func(ctx context.Context, instance *testInstance, partition string) (modeler.Answer, error)) {
	partition := c.partitions[len(record.Key)%len(c.partitions)]
	for attempt := 0; c.ctx.Err() == nil; attempt++ {
		if list := c.liveInstances(); len(list) > 0 {
			ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
			answer, err := request(ctx, list[attempt%len(list)], partition)
			cancel()
			if c.recordAnswer(record, answer, err) && (!untilFinal || answer.State.Final()) {
				return
			}
		}
		select {
		case <-c.ctx.Done():
		case <-c.clock.After(100 * time.Millisecond):
		}
	}
}

// recordAnswer records an answer or error, and reports whether it was an answer.
func (c *testCluster) recordAnswer(record *auditor.Call, answer modeler.Answer, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		record.Accepted = true
		record.Answers = append(record.Answers, answer)
		record.LastReason = answer.Reason
		return true
	}
	record.LastReason = err.Error()
	var refused *modeler.RefusedError
	if errors.As(err, &refused) && refused.Kind == modeler.UnknownKey && record.Accepted {
		record.Answers = append(record.Answers, modeler.Answer{Key: record.Key, State: "lost"})
	}
	return false
}

// violations returns the violations that the auditor finds in the recorded events and answers.
func (c *testCluster) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	evidence := auditor.Evidence{
		Events:           c.platform.Events(),
		Shutdowns:        c.gracefulShutdowns,
		Departures:       c.departures,
		DepartureTimeout: 3 * time.Second,
		RestartedWorkers: c.faultyWorkers,
	}
	for _, call := range c.calls {
		evidence.Calls = append(evidence.Calls, *call)
	}
	var all []string
	for _, finding := range auditor.Audit(evidence) {
		all = append(all, finding.Violations...)
	}
	for _, call := range c.calls {
		all = append(all, changedFinalAnswers(call)...)
	}
	return all
}

// changedFinalAnswers returns the final answers that changed later.
func changedFinalAnswers(call *auditor.Call) []string {
	var final modeler.State
	for _, answer := range call.Answers {
		if final != "" && answer.State != final {
			return []string{fmt.Sprintf("%s was answered %s and later %s", call.Key, final, answer.State)}
		}
		if answer.State.Final() {
			final = answer.State
		}
	}
	return nil
}

// shutDown stops all instances and callers, so that the synctest bubble can end.
func (c *testCluster) shutDown() {
	for _, instance := range c.liveInstances() {
		instance.kill()
	}
	c.cancel()
	c.background.Wait()
}
