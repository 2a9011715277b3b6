package cellmanager_test

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/elector"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// cluster is a simulated store and mesh shared by several managers, in virtual time.
type cluster struct {
	mu      sync.Mutex
	rows    map[string]connector.Row
	version int64
	// The store refuses the instances in refused, and all instances if down is set.
	refused map[string]bool
	down    bool
	// silent are the incarnations whose heartbeats and replies are lost.
	silent   map[string]bool
	managers map[string]*cellmanager.Manager
	// receivers deliver the current heartbeats of all peers to an incarnation ahead of their time.
	receivers map[string]func()
	// processors are the sizes of the machines by instance name.
	processors map[string]modeler.Processors
	// transactionDelay is the duration of a transaction.
	transactionDelay time.Duration
	keyFaults
	slowLinks
}

func newCluster() *cluster {
	c := &cluster{
		rows: make(map[string]connector.Row), refused: make(map[string]bool), silent: make(map[string]bool),
		managers: make(map[string]*cellmanager.Manager), receivers: make(map[string]func()), transactionDelay: 5 * time.Millisecond,
	}
	c.version = 1
	c.rows["op//config"] = connector.Row{Key: "op//config", Value: []byte(`{}`), Version: 1}
	return c
}

// sleep advances virtual time.
func sleep(duration time.Duration) { <-time.After(duration) }

func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// store is the cluster's store as one instance sees it.
type store struct {
	cluster  *cluster
	instance string
}

func (s *store) refuse() error {
	if s.cluster.hang(s.instance) {
		return &connector.UnreachableError{Call: "store", Err: context.DeadlineExceeded}
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.down || s.cluster.refused[s.instance] {
		return &connector.RefusedError{Status: 503}
	}
	return nil
}

func (s *store) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	s.cluster.mu.Lock()
	delay := s.cluster.transactionDelay
	s.cluster.mu.Unlock()
	sleep(delay)
	if err := s.refuse(); err != nil {
		return connector.Outcome{}, err
	}
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflicts []connector.Row
	for _, condition := range transaction.Preconditions {
		if row := c.rows[condition.Key]; row.Version != condition.Version {
			row.Key = condition.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return connector.Outcome{Conflicts: conflicts}, nil
	}
	c.version++
	for _, put := range transaction.Puts {
		c.rows[put.Key] = connector.Row{Key: put.Key, Value: put.Value, Version: c.version}
	}
	return connector.Outcome{Committed: true, Version: c.version}, nil
}

func (s *store) Read(ctx context.Context, keys ...string) (map[string]connector.Row, error) {
	sleep(5 * time.Millisecond)
	if err := s.refuse(); err != nil {
		return nil, err
	}
	if s.cluster.lostHistory() {
		return nil, &connector.RefusedError{Status: 503}
	}
	rows := s.existing(keys)
	return rows, s.receive(ctx, slices.Collect(maps.Values(rows)))
}

func (s *store) existing(keys []string) map[string]connector.Row {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.cluster.configurationReads += strings.Count(strings.Join(keys, " "), "op//config")
	rows, stored := make(map[string]connector.Row), s.cluster.rows
	if s.cluster.stale != nil {
		stored = s.cluster.stale
	}
	for _, key := range keys {
		if row, found := stored[key]; found {
			rows[key] = row
		}
	}
	return rows
}

func (s *store) Snapshot(ctx context.Context, table, part string) (connector.Changes, error) {
	sleep(5 * time.Millisecond)
	if err := s.refuse(); err != nil {
		return connector.Changes{}, err
	}
	if s.cluster.lostHistory() {
		return connector.Changes{}, &connector.RefusedError{Status: 503}
	}
	changes := s.after(table+"/"+part+"/", 0)
	return changes, s.receive(ctx, changes.Rows)
}

func (s *store) after(prefix string, version int64) connector.Changes {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	changes, stored := connector.Changes{Version: s.cluster.version}, s.cluster.rows
	if s.cluster.stale != nil {
		changes.Version, stored = s.cluster.staleVersion, s.cluster.stale
	}
	for key, row := range stored {
		if strings.HasPrefix(key, prefix) && row.Version > version {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

func (s *store) Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error) {
	if wait == 0 && table == "op" {
		s.cluster.set(func() { s.cluster.configurationReads++ })
	}
	for waited := time.Duration(0); ; waited += 20 * time.Millisecond {
		if err := s.refuse(); err != nil {
			return connector.Changes{}, err
		}
		if s.cluster.lostHistory() || s.cluster.readsAreStale() {
			return connector.Changes{}, &connector.CompactedError{Table: table, After: after}
		}
		if changes := s.after(table+"/", after); len(changes.Rows) > 0 || waited >= wait || ctx.Err() != nil {
			return changes, s.receive(ctx, changes.Rows)
		}
		sleep(20 * time.Millisecond)
	}
}

// mesh is the cluster's mesh as one incarnation sees it.
type mesh struct {
	cluster     *cluster
	incarnation string

	mu         sync.Mutex
	heartbeats map[string]*messenger.Heartbeat
	lastHeard  map[string]time.Time
}

func (m *mesh) Call(ctx context.Context, incarnation string, call *messenger.Call) (*messenger.Reply, error) {
	m.cluster.mu.Lock()
	to, silent := m.cluster.managers[incarnation], m.cluster.silent[incarnation] || m.cluster.silent[m.incarnation]
	m.cluster.mu.Unlock()
	if to == nil {
		return nil, &mesher.LinkError{Instance: incarnation, Err: &mesher.NotConnectedError{}}
	}
	if silent {
		<-ctx.Done()
		return nil, &mesher.LinkError{Instance: incarnation, Err: ctx.Err()}
	}
	sleep(2 * time.Millisecond)
	m.cluster.record(call)
	reply := to.ServeCall(ctx, call)
	// A reply is sent whole, even if the caller has stopped waiting for it.
	received := make(chan struct{})
	m.cluster.transfers.Go(func() {
		defer close(received)
		_ = m.cluster.receive(context.Background(), incarnationInstance(m.incarnation), len(reply.GetAnswer()))
	})
	select {
	case <-received:
		return reply, nil
	case <-ctx.Done():
		return nil, &mesher.LinkError{Instance: incarnation, Err: ctx.Err()}
	}
}

func (m *mesh) LivePeers() map[string]*messenger.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make(map[string]*messenger.Heartbeat)
	for incarnation, at := range m.lastHeard {
		if time.Since(at) < time.Second {
			live[incarnation] = m.heartbeats[incarnation]
		}
	}
	return live
}

// Announce passes this incarnation's heartbeat to all reachable peers.
func (m *mesh) Announce() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	for incarnation, receive := range m.cluster.receivers {
		if incarnation != m.incarnation {
			go receive()
		}
	}
}

func (m *mesh) SetPeers([]modeler.Instance) {}
func (m *mesh) AddPeer(modeler.Instance)    {}

// stubWorkers stands for workers that never answer and an advisor that is always busy.
type stubWorkers struct{}

func (stubWorkers) Start(context.Context, *workerdriver.Worker, *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Err: context.DeadlineExceeded}
}

func (stubWorkers) Stop(context.Context, *workerdriver.Worker, workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{Err: context.DeadlineExceeded}
}

func (stubWorkers) Sync(context.Context, *workerdriver.Worker, workerdriver.Sync) (workerdriver.SyncReply, error) {
	return workerdriver.SyncReply{}, &workerdriver.InDoubtError{Err: context.DeadlineExceeded}
}

func (stubWorkers) Throttle(context.Context, *workerdriver.Worker, workerdriver.Throttle) error {
	return nil
}

func (stubWorkers) Advise(context.Context, steptracker.StepKey, []string) (workerdriver.Advice, error) {
	return workerdriver.Advice{}, &workerdriver.BusyError{}
}

// start starts a manager that receives the heartbeats of the others every 250 ms.
func (c *cluster) start(name string) (*cellmanager.Manager, func()) {
	manager, stop := cellmanager.New(cellmanager.Settings{
		Name: name, Region: "r", Processors: c.processors[name], Scheduler: cellscheduler.Settings{Lease: time.Second, MaxLease: time.Second, StateRetention: time.Minute, MaxOpenJobs: 1000},
		RevocationLimit: c.revocationLimit, ConfigurationLimit: c.configurationLimit,
	}, cellmanager.Dependencies{
		Clock: clockwork.NewRealClock(), Uptime: c.uptimeReader(name), Log: c.logger(), Store: &store{cluster: c, instance: name},
		Workers: stubWorkers{}, Advisor: stubWorkers{}, Metrics: cellscheduler.NewMetrics(),
		Decoders: cellmanager.Decoders{
			ConfigurationTable: "op", ConfigurationKey: "op//config", WorkersTable: "servers",
			Configuration: decodeConfiguration,
			Worker:        decodeWorker,
		},
	})
	m := &mesh{cluster: c, incarnation: manager.Incarnation(), heartbeats: make(map[string]*messenger.Heartbeat), lastHeard: make(map[string]time.Time)}
	manager.SetMesh(m, netip.MustParseAddrPort("127.0.0.1:1"))
	c.set(func() {
		c.managers[manager.Incarnation()] = manager
		c.receivers[manager.Incarnation()] = func() { m.receiveHeartbeats(manager) }
	})
	done := make(chan struct{})
	var receivers sync.WaitGroup
	receivers.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(250 * time.Millisecond):
			}
			m.receiveHeartbeats(manager)
		}
	})
	manager.Start()
	return manager, func() {
		close(done)
		receivers.Wait()
		c.set(func() {
			delete(c.managers, manager.Incarnation())
			delete(c.receivers, manager.Incarnation())
		})
		stop()
	}
}

// receiveHeartbeats passes the heartbeats of all reachable peers to the manager.
func (m *mesh) receiveHeartbeats(to *cellmanager.Manager) {
	m.cluster.mu.Lock()
	var others []*cellmanager.Manager
	for incarnation, other := range m.cluster.managers {
		if incarnation != m.incarnation && !m.cluster.silent[incarnation] && !m.cluster.silent[m.incarnation] {
			others = append(others, other)
		}
	}
	m.cluster.mu.Unlock()
	for _, other := range others {
		heartbeat := other.Heartbeat()
		m.mu.Lock()
		m.heartbeats[other.Incarnation()], m.lastHeard[other.Incarnation()] = heartbeat, time.Now()
		m.mu.Unlock()
		to.HandleHeartbeat(heartbeat)
	}
}

func submit(t *testing.T, manager *cellmanager.Manager, id string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return manager.Submit(ctx, manager.Configuration().Current().Queue("q"), cellscheduler.Caller{}, &steptracker.Job{ID: id, Queue: "q", Steps: []steptracker.Step{{Tasks: 1}}})
}

// owner returns the content of the owner row in the store.
func (c *cluster) owner(t *testing.T) elector.Ownership {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	ownership, err := elector.ParseOwnership("desk", c.rows[elector.OwnerKey("desk")])
	if err != nil {
		t.Fatal(err)
	}
	return ownership
}

// startThree starts three managers, waits until one of them owns the cell, and returns it, the others
// and the stop functions by incarnation.
func startThree(t *testing.T, c *cluster) (owner *cellmanager.Manager, others []*cellmanager.Manager, stop map[string]func()) {
	t.Helper()
	stop = make(map[string]func())
	var all []*cellmanager.Manager
	for _, name := range []string{"a", "b", "c"} {
		manager, end := c.start(name)
		all = append(all, manager)
		stop[manager.Incarnation()] = sync.OnceFunc(end)
	}
	sleep(3 * time.Second)
	ownerName := c.owner(t).Owner
	for _, manager := range all {
		if manager.Incarnation() == ownerName {
			owner = manager
		} else {
			others = append(others, manager)
		}
	}
	if owner == nil {
		t.Fatalf("no running manager owns the cell, its owner row names %q", ownerName)
	}
	return owner, others, stop
}

func stopAll(stop map[string]func()) {
	for _, end := range stop {
		end()
	}
}
