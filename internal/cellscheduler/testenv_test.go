package cellscheduler_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// world is a store, workers and an advisor that run in virtual time inside a synctest bubble. It
// notes whatever breaks a promise.
type world struct {
	t  *testing.T
	mu sync.Mutex
	// rows by key; stuck makes transactions wait.
	rows    map[string]connector.Row
	version int64
	stuck   chan struct{}
	// takes is how long a transaction takes; written are the rows of those under way, and most is how
	// many were at once.
	takes   time.Duration
	written map[string]bool
	flights int
	most    int

	workers map[string]*fakeWorker
	// good tells which workers the advisor allows; nil allows all.
	good  func(step steptracker.StepKey, worker string) bool
	calls []string
	// mostOpen is how many jobs may be open.
	mostOpen int
	// keepStates is how long final states are kept.
	keepStates time.Duration
	// decides is added to how long the advisor takes.
	decides time.Duration
	book    *configprovider.Provider
	starts  map[steptracker.TaskKey][]int
	// paced is the share last ordered, gauge the figure that running tasks show.
	paced map[steptracker.TaskKey]int
	gauge map[steptracker.TaskKey]int
	// ticketed makes workers refuse starts without a ticket.
	ticketed bool
	// run decides how long a run takes and how it ends.
	run func(start *workerdriver.Start, worker string) (time.Duration, steptracker.EndReason)
}

type fakeRun struct {
	number int
	fence  int64
	timer  *time.Timer
}

type fakeWorker struct {
	world   *world
	info    workerdriver.Worker
	fence   int64
	running map[steptracker.TaskKey]*fakeRun
	ended   []workerdriver.EndedTask
	number  int64
	refused map[steptracker.TaskKey]int
	changed chan struct{}
	began   time.Time
	lease   time.Time
	// cut makes every call end without an answer; silentStart loses the answers of starts that are
	// carried out; delay puts off the carrying out.
	cut bool
	// replaced tells that another worker answers at the address.
	replaced    bool
	silentStart bool
	delay       time.Duration
}

// pass lets virtual time go by.
func pass(duration time.Duration) { <-time.After(duration) }

const testLease = 5 * time.Second

func newWorld(t *testing.T, workers int) *world {
	w := &world{
		t: t, rows: make(map[string]connector.Row), workers: make(map[string]*fakeWorker), book: &configprovider.Provider{}, mostOpen: 1000, keepStates: time.Minute, takes: 10 * time.Millisecond, written: make(map[string]bool),
		starts: make(map[steptracker.TaskKey][]int), paced: make(map[steptracker.TaskKey]int), gauge: make(map[steptracker.TaskKey]int),
		run: func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
			return time.Second, steptracker.Done
		},
	}
	w.book.Apply(&configprovider.Configuration{Version: 1, Queues: []configprovider.Queue{
		{Name: "plain", Service: "cell", MaxFailures: 2, Stretch: 2, Target: time.Second},
		{Name: "advised", Service: "cell", MaxFailures: 2, Stretch: 2, Target: time.Second, Advisor: &configprovider.AdvisorSettings{
			BaseLatency: 5 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: 1500 * time.Millisecond,
		}},
		{Name: "patient", Service: "cell", MaxFailures: 2, Stretch: 20, Target: time.Second, Advisor: &configprovider.AdvisorSettings{
			BaseLatency: 5 * time.Millisecond, LatencyPerWorker: time.Millisecond, TokenLifetime: 1500 * time.Millisecond,
		}},
	}})
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = &fakeWorker{
			world: w, running: make(map[steptracker.TaskKey]*fakeRun), refused: make(map[steptracker.TaskKey]int),
			changed: make(chan struct{}), began: time.Now(),
			info: workerdriver.Worker{
				Incarnation: steptracker.Incarnation{Worker: id, StartMillis: 1}, Service: "cell", Rack: fmt.Sprintf("r%d", i/2),
				Capacity: modeler.Resources{Processors: 4000, Memory: 4 << 30},
			},
		}
	}
	return w
}

// Transact applies a transaction.
func (w *world) Transact(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	w.mu.Lock()
	stuck := w.stuck
	w.mu.Unlock()
	if stuck != nil {
		select {
		case <-stuck:
		case <-ctx.Done():
			return connector.Outcome{}, &connector.UnreachableError{Err: ctx.Err()}
		}
	}
	w.begin(transaction)
	pass(w.takes)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(transaction)
	for _, condition := range transaction.Preconditions {
		if row := w.rows[condition.Key]; row.Version != condition.Version {
			return connector.Outcome{Conflicts: []connector.Row{row}}, nil
		}
	}
	w.version++
	for _, put := range transaction.Puts {
		w.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: w.version}
	}
	for _, key := range transaction.Deletes {
		delete(w.rows, key)
	}
	return connector.Outcome{Committed: true, Version: w.version}, nil
}

// begin notes which rows a transaction writes. Two at once that write the same row could take effect in
// either order.
func (w *world) begin(transaction connector.Transaction) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys(transaction) {
		if w.written[key] {
			w.t.Errorf("row %s is in two transactions at once", key)
		}
		w.written[key] = true
	}
	w.flights++
	w.most = max(w.most, w.flights)
}

func (w *world) finish(transaction connector.Transaction) {
	for _, key := range keys(transaction) {
		delete(w.written, key)
	}
	w.flights--
}

func keys(transaction connector.Transaction) []string {
	all := slices.Clone(transaction.Deletes)
	for _, put := range transaction.Puts {
		all = append(all, put.Key)
	}
	return all
}

// Commit makes the world a journal.
func (w *world) Commit(ctx context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	return w.Transact(ctx, transaction)
}

// Snapshot returns the rows of a part.
func (w *world) Snapshot(_ context.Context, table, part string) (connector.Changes, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefix := table + "/" + part + "/"
	changes := connector.Changes{Version: w.version}
	for key, row := range w.rows {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, nil
}

// Instances of the advisor's callers.
func (w *world) Instances() []string { return []string{"a", "b", "c"} }

// Advise answers with tickets for the good workers.
func (w *world) Advise(_ context.Context, instance string, step steptracker.StepKey, workers []string) (workerdriver.Advice, error) {
	pass(w.decides + time.Duration(5+len(workers))*time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, instance)
	advice := workerdriver.Advice{Valid: 1500 * time.Millisecond}
	for _, id := range workers {
		if w.good == nil || w.good(step, id) {
			advice.Tickets = append(advice.Tickets, workerdriver.PlacementToken{Worker: id, Text: "t"})
		}
	}
	return advice, nil
}

func (w *world) find(to *workerdriver.Worker) (*fakeWorker, error) {
	worker := w.workers[to.Worker]
	if worker != nil && worker.replaced {
		return nil, &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.WrongIncarnation}
	}
	if worker == nil || worker.cut {
		return nil, &workerdriver.InDoubtError{Worker: to.Worker, NeverSent: true}
	}
	return worker, nil
}

// Start carries out a start.
func (w *world) Start(_ context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	pass(2 * time.Millisecond)
	w.mu.Lock()
	worker, err := w.find(to)
	if err != nil {
		w.mu.Unlock()
		pass(900 * time.Millisecond)
		return workerdriver.ReplyHeader{}, err
	}
	defer w.mu.Unlock()
	if worker.delay > 0 {
		time.AfterFunc(worker.delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			// Whether the late order is obeyed is the worker's affair.
			_ = worker.start(order)
		})
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker}
	}
	if err := worker.start(order); err != nil {
		return worker.self(), err
	}
	if worker.silentStart {
		return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Worker: to.Worker}
	}
	return worker.self(), nil
}

func (f *fakeWorker) self() workerdriver.ReplyHeader {
	return workerdriver.ReplyHeader{Clock: workerdriver.Clock(time.Since(f.began)), Born: f.info.StartMillis}
}

// start obeys or refuses an order. The caller holds the world's mutex.
func (f *fakeWorker) start(order *workerdriver.Start) error {
	refuse := func(why workerdriver.Reason) error {
		return &workerdriver.RefusedError{Worker: f.info.Worker, Reason: why}
	}
	if f.cut {
		return refuse(workerdriver.Unhealthy)
	}
	if order.FencingToken < f.fence {
		return refuse(workerdriver.StaleFencingToken)
	}
	f.fence = order.FencingToken
	if time.Duration(order.LeaseExpiry) < time.Since(f.began) {
		return refuse(workerdriver.OrderExpired)
	}
	if run := f.running[order.Task]; run != nil && run.number == order.Run {
		return nil
	}
	if f.world.ticketed && order.PlacementToken == "" {
		return refuse(workerdriver.NoPlacementToken)
	}
	if order.Run <= f.refused[order.Task] {
		return refuse(workerdriver.StaleRun)
	}
	f.extend(order.LeaseExpiry)
	f.world.audit(f, order)
	took, how := f.world.run(order, f.info.Worker)
	run := &fakeRun{number: order.Run, fence: order.FencingToken}
	if took > 0 {
		run.timer = time.AfterFunc(took, func() {
			f.world.mu.Lock()
			defer f.world.mu.Unlock()
			if f.running[order.Task] == run {
				f.end(order.Task, how)
			}
		})
	}
	f.running[order.Task] = run
	return nil
}

func (f *fakeWorker) extend(until workerdriver.Clock) {
	at := f.began.Add(time.Duration(until))
	if !at.After(f.lease) {
		return
	}
	f.lease = at
	time.AfterFunc(time.Until(at), func() {
		f.world.mu.Lock()
		defer f.world.mu.Unlock()
		if time.Now().Before(f.lease) {
			return
		}
		for task := range f.running {
			f.end(task, steptracker.LeaseExpired)
		}
	})
}

func (f *fakeWorker) end(task steptracker.TaskKey, how steptracker.EndReason) {
	run := f.running[task]
	delete(f.running, task)
	f.refused[task] = max(f.refused[task], run.number)
	f.number++
	f.ended = append(f.ended, workerdriver.EndedTask{Sequence: f.number, Task: task, Run: run.number, Reason: how})
	close(f.changed)
	f.changed = make(chan struct{})
}

// audit notes a start that breaks a promise.
func (w *world) audit(f *fakeWorker, order *workerdriver.Start) {
	for _, other := range w.workers {
		if run := other.running[order.Task]; run != nil {
			w.t.Errorf("task %s run %d started on %s while run %d is at work on %s", order.Task, order.Run, f.info.Worker, run.number, other.info.Worker)
		}
		for _, ended := range other.ended {
			if ended.Task == order.Task && ended.Reason == steptracker.Done {
				w.t.Errorf("task %s run %d started after run %d was done", order.Task, order.Run, ended.Run)
			}
		}
	}
	if len(f.running) >= 4 {
		w.t.Errorf("worker %s has %d tasks, over its capacity", f.info.Worker, len(f.running)+1)
	}
	w.starts[order.Task] = append(w.starts[order.Task], order.Run)
}

// Stop ends a run, or refuses it for good.
func (w *world) Stop(_ context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	pass(2 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, err := w.find(to)
	if err != nil {
		return workerdriver.ReplyHeader{}, err
	}
	if order.FencingToken < worker.fence {
		return worker.self(), &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.StaleFencingToken}
	}
	worker.fence = order.FencingToken
	worker.refused[order.Task] = max(worker.refused[order.Task], order.Run)
	if run := worker.running[order.Task]; run != nil && run.number <= order.Run {
		worker.end(order.Task, steptracker.Stopped)
	}
	return worker.self(), nil
}

// Throttle notes the order.
func (w *world) Throttle(_ context.Context, _ *workerdriver.Worker, order workerdriver.Throttle) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paced[order.Task] = order.Percent
	return nil
}

// Sync extends the lease and lists.
func (w *world) Sync(ctx context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	pass(2 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, err := w.find(to)
	if err != nil {
		return workerdriver.SyncReply{}, err
	}
	if order.FencingToken < worker.fence {
		return workerdriver.SyncReply{ReplyHeader: worker.self()}, &workerdriver.RefusedError{Worker: to.Worker, Reason: workerdriver.StaleFencingToken}
	}
	worker.fence = order.FencingToken
	if order.LeaseExpiry > 0 {
		worker.extend(order.LeaseExpiry)
	}
	worker.ended = slices.DeleteFunc(worker.ended, func(e workerdriver.EndedTask) bool { return e.Sequence <= order.AckedSequence })
	if len(worker.ended) == 0 && order.MaxWait > 0 {
		changed := worker.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(order.MaxWait):
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	if worker.cut {
		return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Worker: to.Worker}
	}
	listing := workerdriver.SyncReply{ReplyHeader: worker.self(), Ended: slices.Clone(worker.ended)}
	for task, run := range worker.running {
		listing.Running = append(listing.Running, workerdriver.RunningTask{Task: task, Run: run.number, Metric: w.gauge[task]})
	}
	return listing, nil
}

// own starts a scheduler that owns the cell under a fence.
func (w *world) own(fence int64) (*cellscheduler.Scheduler, func()) {
	w.mu.Lock()
	w.version++
	w.rows["owners/cell/owner"] = connector.Row{Key: "owners/cell/owner", Version: w.version}
	version := w.version
	var listed []workerdriver.Worker
	for _, worker := range w.workers {
		listed = append(listed, worker.info)
	}
	w.mu.Unlock()
	c, stop := cellscheduler.Start(cellscheduler.Claim{Cell: "cell", FencingToken: fence, OwnerKey: "owners/cell/owner", OwnerVersion: version, NoPreviousOwner: fence == 1},
		cellscheduler.Settings{Lease: testLease, MaxLease: 2 * testLease, StateRetention: w.keepStates, MaxOpenJobs: w.mostOpen},
		cellscheduler.Dependencies{
			Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), WorkerClient: w, AdvisorClient: w, Committers: []cellscheduler.Committer{w, w, w}, SnapshotReader: w, Configuration: w.book,
			OwnershipConfirmed: func() bool { return true }, OnOwnershipLost: func() {}, Metrics: cellscheduler.NewMetrics(),
		})
	c.UpdateWorkers(listed, nil, true)
	return c, stop
}

// kill ends a worker's life with all that it runs.
func (f *fakeWorker) kill() {
	for _, run := range f.running {
		if run.timer != nil {
			run.timer.Stop()
		}
	}
	f.running = make(map[steptracker.TaskKey]*fakeRun)
	f.ended = nil
	f.cut = true
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
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
		t.Errorf("state of %s is %q, %v; want %q", id, state, err, want)
	}
}
