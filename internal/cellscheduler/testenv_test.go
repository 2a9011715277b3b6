package cellscheduler_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/candidateselector"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// testEnv simulates the store, the workers and the advisor in the virtual time of a synctest
// bubble. It fails the test when the scheduler violates an invariant.
type testEnv struct {
	t  *testing.T
	mu sync.Mutex
	// rows are the stored rows by key. blocked makes transactions wait until it is closed.
	rows    map[string]connector.Row
	version int64
	blocked chan struct{}
	// rowsBlocked makes snapshots wait until it is closed, if it is set. access is passed to schedulers.
	rowsBlocked chan struct{}
	access      cellscheduler.Access
	// commitDelay is the duration of a transaction. rowsInFlight are the rows of the transactions
	// in flight, and maxCommitsInFlight is the largest number of transactions in flight at once.
	// With serialStore set, transactions are handled one after the other until busyUntil.
	serialStore        bool
	busyUntil          time.Time
	commitDelay        time.Duration
	rowsInFlight       map[string]bool
	commitsInFlight    int
	maxCommitsInFlight int

	workers map[string]*fakeWorker
	// approves reports whether the advisor approves a worker for a step; nil approves all.
	approves    func(step steptracker.StepKey, worker string) bool
	adviceCalls []string
	// maxOpenJobs is the scheduler's limit of open jobs.
	maxOpenJobs int
	// stateRetention is how long final states are kept.
	stateRetention time.Duration
	// adviceDelay is added to the duration of advisor calls, advicePerWorker for each worker that a call names.
	// advisorInstances are the instances through which the advisor can be called.
	adviceDelay, advicePerWorker time.Duration
	advisorInstances             []string
	// maxRunsPerWorker is how many tasks fit on a worker.
	maxRunsPerWorker int
	configuration    *configprovider.Provider
	starts           map[steptracker.TaskKey][]int
	// throttled is the CPU share last ordered for each task, metrics the value
	// that its worker lists for it.
	throttled map[steptracker.TaskKey]int
	metrics   map[steptracker.TaskKey]int
	// requireTokens makes workers refuse start orders without a placement token.
	requireTokens bool
	// schedulers are those that have been started. The last one learns of new workers.
	schedulers []*cellscheduler.Scheduler
	// schedulerMetrics are the metrics of all schedulers.
	schedulerMetrics *cellscheduler.Metrics
	// keepIDs makes a worker start again under its ID after a crash. Otherwise another one starts at its
	// address.
	keepIDs bool
	// crashes counts the crashes of workers by the task that caused them.
	crashes map[steptracker.TaskKey]int
	// storeSilence is how long the store has answered no call, nil if that is not known. sentKeys are the keys
	// of all rows that were in a transaction.
	storeSilence func() time.Duration
	sentKeys     map[string]bool
	// outcome returns how long a run takes and how it ends. A run that ends with workerCrash crashes its
	// worker.
	outcome func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason)
	// unanswered reports whether the next order to a worker gets no answer and is carried out after a time; nil
	// answers all.
	unanswered func(kind string) (after time.Duration, lost bool)
	// losesList reports whether the next list that names an end gets lost on its way to the owner; nil loses none.
	losesList func() bool
	// ownershipLosses counts the schedulers that have taken their cell for lost.
	ownershipLosses int
	// syncDelay is how long syncs take to reach a worker. waitingSyncs counts the syncs in flight that let a worker
	// wait, maxWaitingSyncs is the largest number of them at once.
	syncDelay                     time.Duration
	waitingSyncs, maxWaitingSyncs int
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds int
	// snapshots counts the reads of each table, of which the first refusedSnapshots are refused.
	snapshots, refusedSnapshots map[string]int
	// staleRows are the rows that the first snapshot of each table returns, as of staleVersion, if they are set.
	staleRows    map[string]connector.Row
	staleVersion int64
	// ackedDone holds the runs of tasks that have ended as done and were acknowledged.
	ackedDone map[steptracker.TaskKey]int
	// restartDelay is how long after a crash a worker starts at the address.
	restartDelay time.Duration
	// listDelay is how long after the start of a worker schedulers learn of it from the list.
	listDelay time.Duration
	// clock is the clock of schedulers.
	clock clockwork.Clock
	// syncReplyDelay is how long the answer to a sync takes after the list was made.
	syncReplyDelay time.Duration
	// startClockAhead is by how much the clock in answers to start orders, which name no incarnation then, is that
	// of an earlier one.
	startClockAhead time.Duration
	// lease and maxLease are those of schedulers, and maxLease also the longest that workers grant. clockDrift is
	// the fraction by which their clocks are slow.
	lease, maxLease time.Duration
	clockDrift      float64
	// log is the log of schedulers.
	log *slog.Logger
	// newWorkerClient returns the client of a scheduler. newCommitter returns one of its committers and
	// ownershipConfirmed is passed to it.
	newWorkerClient    func() cellscheduler.WorkerClient
	newCommitter       func() cellscheduler.Committer
	ownershipConfirmed func() bool
	// judgesAcks limits the check of starts after an end as done to ends that are acknowledged then or later, and
	// for which the lease did not expire before that. restarted holds the starts after ends that are not
	// acknowledged yet.
	judgesAcks bool
	restarted  map[doneRun]string
	// onStart is called before a run starts; it may be nil.
	onStart func(start *workerdriver.Start)
}

// sleep lets virtual time pass.
func sleep(duration time.Duration) { <-time.After(duration) }

// ownerKey is the key of the owner's row.
const ownerKey = "owners/cell/owner"

const testLease = 5 * time.Second

// testTokens is the number of fencing tokens of an owner.
const testTokens = 1000

// maxTransactionEntries is the number of entries that the store accepts in one transaction.
const maxTransactionEntries = 100

func newTestEnv(t *testing.T, workers int) *testEnv {
	env := &testEnv{
		t: t, log: slog.New(slog.DiscardHandler), clock: clockwork.NewRealClock(), maxListedEnds: 500, snapshots: make(map[string]int), refusedSnapshots: make(map[string]int), ackedDone: make(map[steptracker.TaskKey]int), restartDelay: restartDelay, rows: make(map[string]connector.Row), workers: make(map[string]*fakeWorker), configuration: &configprovider.Provider{}, maxOpenJobs: 1000, stateRetention: time.Minute, commitDelay: 10 * time.Millisecond, rowsInFlight: make(map[string]bool),
		starts: make(map[steptracker.TaskKey][]int), throttled: make(map[steptracker.TaskKey]int), metrics: make(map[steptracker.TaskKey]int), crashes: make(map[steptracker.TaskKey]int), sentKeys: make(map[string]bool), schedulerMetrics: cellscheduler.NewMetrics(),
		outcome: func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Second, steptracker.Done
		},
	}
	env.advicePerWorker, env.advisorInstances, env.maxRunsPerWorker = time.Millisecond, []string{"a", "b", "c"}, 4
	env.lease, env.maxLease, env.log, env.restarted = testLease, 2*testLease, slog.New(slog.DiscardHandler), make(map[doneRun]string)
	env.newCommitter = func() cellscheduler.Committer { return env }
	env.ownershipConfirmed = func() bool { return true }
	env.newWorkerClient = func() cellscheduler.WorkerClient { return env.newRepeater(env) }
	env.configuration.Apply(&configprovider.Configuration{Version: 1, Queues: []configprovider.Queue{
		{Name: "plain", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 2, Target: time.Second}},
		{Name: "advised", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 2, Target: time.Second, Advisor: &configprovider.AdvisorSettings{
			BaseLatency: 5 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: 1500 * time.Millisecond,
		}}},
		{Name: "high-stretch", Service: "cell", Policy: configprovider.Policy{MaxFailures: 2, Stretch: 20, Target: time.Second, Advisor: &configprovider.AdvisorSettings{
			BaseLatency: 5 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: 1500 * time.Millisecond,
		}}},
	}})
	for i := range workers {
		env.addWorker(workerdriver.Worker{
			Incarnation: steptracker.Incarnation{Worker: fmt.Sprintf("w%d", i), StartMillis: 1}, Service: "cell", Rack: fmt.Sprintf("r%d", i/2),
			Address:  netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			Capacity: modeler.Resources{Processors: 4000, Memory: 4 << 30},
		})
	}
	return env
}

func (env *testEnv) addWorker(info workerdriver.Worker) {
	env.workers[info.Worker] = &fakeWorker{
		env: env, info: info, running: make(map[steptracker.TaskKey]*fakeRun), refusedRuns: make(map[steptracker.TaskKey]int),
		changed: make(chan struct{}), startedAt: time.Now(),
	}
}

// Instances returns the instances through which the advisor can be called.
func (env *testEnv) Instances() []string { return env.advisorInstances }

// Advise answers with placement tokens for the approved workers.
func (env *testEnv) Advise(_ context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error) {
	if len(workers) > candidateselector.MaxCandidates {
		env.t.Errorf("a call to the advisor names %d workers", len(workers))
		return workerdriver.Advice{}, &workerdriver.BusyError{}
	}
	sleep(env.adviceDelay + 5*time.Millisecond + time.Duration(len(workers))*env.advicePerWorker)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.adviceCalls = append(env.adviceCalls, instance)
	advice := workerdriver.Advice{Valid: 1500 * time.Millisecond}
	for _, id := range workers {
		if env.approves == nil || env.approves(step, id) {
			advice.Tickets = append(advice.Tickets, workerdriver.PlacementToken{Worker: id, Text: "t"})
		}
	}
	return advice, nil
}

func (env *testEnv) lookup(to *workerdriver.Worker) (*fakeWorker, error) {
	worker := env.workers[to.Worker]
	if worker != nil && worker.replaced {
		return nil, &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.WrongIncarnation}
	}
	if worker == nil || worker.unreachable || worker.crashed {
		return nil, &workerdriver.InDoubtError{Worker: to.Worker, NeverSent: true, Err: context.DeadlineExceeded}
	}
	return worker, nil
}

// orderTimeout is how long the caller of a worker waits for an answer.
const orderTimeout = 900 * time.Millisecond

// lose reports whether an order to a worker gets no answer. It is carried out later by the worker that then has the
// ID, and the caller waits until its time is over.
func (env *testEnv) lose(ctx context.Context, to *workerdriver.Worker, kind string, maxWait time.Duration, carryOut func(worker *fakeWorker)) bool {
	if env.unanswered == nil {
		return false
	}
	env.mu.Lock()
	after, lost := env.unanswered(kind)
	env.mu.Unlock()
	if !lost {
		return false
	}
	time.AfterFunc(after, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		if worker, err := env.lookup(to); err == nil {
			carryOut(worker)
		}
	})
	select {
	case <-ctx.Done():
	case <-time.After(maxWait + orderTimeout):
	}
	return true
}

// Start delivers a start order to a worker.
func (env *testEnv) Start(ctx context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	sleep(2 * time.Millisecond)
	if env.lose(ctx, to, "start", 0, func(worker *fakeWorker) { _ = worker.start(order) }) {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	env.mu.Lock()
	worker, err := env.lookup(to)
	if err != nil {
		refused := env.workers[to.Worker] != nil && env.workers[to.Worker].crashed
		env.mu.Unlock()
		if !refused {
			select {
			case <-ctx.Done():
			case <-time.After(orderTimeout):
			}
		}
		return workerdriver.ReplyHeader{}, err
	}
	defer env.mu.Unlock()
	worker.orderedAt = time.Now()
	if worker.startDelay > 0 {
		time.AfterFunc(worker.startDelay, func() {
			env.mu.Lock()
			defer env.mu.Unlock()
			// The caller has been answered, so only the test learns of the reply.
			worker.lateReplies = append(worker.lateReplies, worker.start(order))
		})
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	if err := worker.start(order); err != nil {
		return worker.replyHeader(), err
	}
	if worker.loseStartReplies {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	header := worker.replyHeader()
	if env.startClockAhead > 0 {
		header.Clock, header.StartMillis = header.Clock+workerdriver.Clock(env.startClockAhead), 0
	}
	return header, nil
}

// checkStart fails the test if a start violates an invariant.
func (env *testEnv) checkStart(f *fakeWorker, order *workerdriver.Start) {
	for _, other := range env.workers {
		if run := other.running[order.Task]; run != nil {
			env.t.Errorf("task %s run %d started on %s while run %d is running on %s", order.Task, order.Run, f.info.Worker, run.number, other.info.Worker)
		}
		for _, ended := range other.ended {
			if ended.Task != order.Task || ended.Reason != steptracker.Done {
				continue
			}
			if env.judgesAcks {
				env.restarted[doneRun{other, ended.Sequence}] = fmt.Sprintf("run %d on %s", order.Run, f.info.Worker)
			} else {
				env.t.Errorf("task %s run %d started after run %d was done", order.Task, order.Run, ended.Run)
			}
		}
	}
	if run, acked := env.ackedDone[order.Task]; acked {
		env.t.Errorf("task %s run %d started after run %d was done and acknowledged", order.Task, order.Run, run)
	}
	if len(f.running) >= env.maxRunsPerWorker {
		env.t.Errorf("worker %s has %d tasks, which exceeds its capacity", f.info.Worker, len(f.running)+1)
	}
	if env.onStart != nil {
		env.onStart(order)
	}
	env.starts[order.Task] = append(env.starts[order.Task], order.Run)
}

// doneRun is the end of a run as done, with the worker that lists it.
type doneRun struct {
	worker   *fakeWorker
	sequence int64
}

// endAcked records that an end as done was acknowledged. Unless the worker's lease has expired since it, no run of the
// task may have started after it or may start any more.
func (env *testEnv) endAcked(f *fakeWorker, ended workerdriver.EndedTask) {
	if env.judgesAcks && ended.Sequence <= f.lapsedEnds {
		return
	}
	env.ackedDone[ended.Task] = ended.Run
	if start, restarted := env.restarted[doneRun{f, ended.Sequence}]; restarted {
		env.t.Errorf("task %s: %s started after run %d was done on %s, which is acknowledged now", ended.Task, start, ended.Run, f.info.Worker)
	}
}

// newRepeater returns a client that repeats orders, as each instance has one.
func (env *testEnv) newRepeater(workers orderrepeater.WorkerClient) *orderrepeater.Client {
	return orderrepeater.New(orderrepeater.Dependencies{Workers: workers, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Metrics: env.schedulerMetrics})
}

// Stop ends a run or prevents its start.
func (env *testEnv) Stop(ctx context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	sleep(2 * time.Millisecond)
	if env.lose(ctx, to, "stop", 0, func(worker *fakeWorker) { worker.stop(order) }) {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	worker, err := env.lookup(to)
	if err != nil {
		return workerdriver.ReplyHeader{}, err
	}
	if order.FencingToken < worker.highestFencingToken {
		return worker.replyHeader(), &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.StaleFencingToken}
	}
	if worker.dropsStops {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	worker.stop(order)
	return worker.replyHeader(), nil
}

// Throttle records the order.
func (env *testEnv) Throttle(_ context.Context, _ *workerdriver.Worker, order workerdriver.Throttle) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.throttled[order.Task] = order.Percent
	return nil
}

// Sync extends the lease and returns the worker's listing.
func (env *testEnv) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	delay := 2 * time.Millisecond
	env.withLock(func() { delay += env.syncDelay })
	sleep(delay)
	if env.lose(ctx, to, "sync", order.MaxWait, func(worker *fakeWorker) { worker.renew(order) }) {
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	worker, err := env.lookup(to)
	if err != nil {
		return workerdriver.SyncReply{}, err
	}
	if order.FencingToken < worker.highestFencingToken {
		return workerdriver.SyncReply{ReplyHeader: worker.replyHeader()}, &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.StaleFencingToken}
	}
	worker.renew(order)
	if len(worker.ended) == 0 && order.MaxWait > 0 {
		changed := worker.changed
		env.waitingSyncs++
		worker.waitingSyncs++
		env.maxWaitingSyncs = max(env.maxWaitingSyncs, env.waitingSyncs)
		env.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(order.MaxWait):
		case <-ctx.Done():
		}
		env.mu.Lock()
		env.waitingSyncs--
		worker.waitingSyncs--
	}
	if worker.unreachable || worker.crashed {
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker, Err: context.DeadlineExceeded}
	}
	listed := min(len(worker.ended), env.maxListedEnds)
	header := worker.replyHeader()
	header.StartMillis = worker.info.StartMillis
	listing := workerdriver.SyncReply{ReplyHeader: header, Ended: slices.Clone(worker.ended[:listed]), AllEnds: listed < env.maxListedEnds}
	for task, run := range worker.running {
		listing.Running = append(listing.Running, workerdriver.RunningTask{Task: task, Run: run.number, Metric: env.metrics[task]})
	}
	if len(listing.Ended) > 0 && env.losesList != nil && env.losesList() {
		env.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(orderTimeout):
		}
		env.mu.Lock()
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker}
	}
	if env.syncReplyDelay > 0 {
		env.mu.Unlock()
		sleep(env.syncReplyDelay)
		env.mu.Lock()
	}
	return listing, nil
}

// startScheduler starts a scheduler that owns the cell under a fencing token.
func (env *testEnv) startScheduler(fencingToken int64) (*cellscheduler.Scheduler, func()) {
	env.mu.Lock()
	env.version++
	env.rows[ownerKey] = connector.Row{Key: ownerKey, Version: env.version}
	version := env.version
	var listed []workerdriver.Worker
	for _, worker := range env.workers {
		listed = append(listed, worker.info)
	}
	env.mu.Unlock()
	workers := env.newWorkerClient()
	c, stop := cellscheduler.Start(cellscheduler.Claim{Cell: "cell", FencingToken: fencingToken * testTokens, LastToken: (fencingToken+1)*testTokens - 1, OwnerKey: ownerKey, OwnerVersion: version, NoPreviousOwner: fencingToken == 1},
		cellscheduler.Settings{Lease: env.lease, MaxLease: env.maxLease, StateRetention: env.stateRetention, MaxOpenJobs: env.maxOpenJobs},
		cellscheduler.Dependencies{
			Clock: env.clock, Log: env.log, WorkerClient: workers, AdvisorClient: env, Committers: []cellscheduler.Committer{env.newCommitter(), env.newCommitter(), env.newCommitter()}, SnapshotReader: env, PathTable: env, Configuration: env.configuration,
			OwnershipConfirmed: env.ownershipConfirmed, OnOwnershipLost: func() { env.withLock(func() { env.ownershipLosses++ }) }, Metrics: env.schedulerMetrics, Access: env.access, StoreSilence: env.storeSilence,
		})
	c.UpdateWorkers(listed, nil, true)
	env.withLock(func() { env.schedulers = append(env.schedulers, c) })
	return c, stop
}

func (env *testEnv) withLock(change func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change()
}

func step(tasks int, processors modeler.Processors) steptracker.Step {
	return steptracker.Step{Tasks: tasks, Needs: modeler.Resources{Processors: processors, Memory: 1 << 20}, Estimate: time.Second}
}

func job(id, queue string, steps ...steptracker.Step) *steptracker.Job {
	return &steptracker.Job{ID: id, Queue: queue, Steps: steps}
}

func submit(t *testing.T, c *cellscheduler.Scheduler, j *steptracker.Job) {
	t.Helper()
	if _, err := c.Submit(t.Context(), j); err != nil {
		t.Fatalf("submit %s: %v", j.ID, err)
	}
}

func wantState(t *testing.T, c *cellscheduler.Scheduler, id string, want steptracker.State) {
	t.Helper()
	state, err := c.State(t.Context(), id)
	if err != nil || state != want {
		t.Errorf("state of %s is %q, error %v; want %q", id, state, err, want)
	}
}
