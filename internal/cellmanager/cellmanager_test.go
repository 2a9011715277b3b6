package cellmanager_test

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/configprovider"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/elector"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// city is a store and a mesh for some managers, in virtual time.
type city struct {
	mu      sync.Mutex
	rows    map[string]connector.Row
	version int64
	// turned are the instances that the store turns away, down turns all away.
	turned map[string]bool
	down   bool
	// silent are the runs whose heartbeats and answers do not arrive.
	silent    map[string]bool
	directors map[string]*cellmanager.Manager
}

func newCity() *city {
	c := &city{
		rows: make(map[string]connector.Row), turned: make(map[string]bool), silent: make(map[string]bool),
		directors: make(map[string]*cellmanager.Manager),
	}
	c.version = 1
	c.rows["op//config"] = connector.Row{Key: "op//config", Value: []byte(`{}`), Version: 1}
	return c
}

// pass lets virtual time go by.
func pass(duration time.Duration) { <-time.After(duration) }

func (c *city) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// store is the city's store as one instance sees it.
type store struct {
	city     *city
	instance string
}

func (s *store) refuse() error {
	s.city.mu.Lock()
	defer s.city.mu.Unlock()
	if s.city.down || s.city.turned[s.instance] {
		return &connector.RefusedError{Status: 503}
	}
	return nil
}

func (s *store) Transact(_ context.Context, transaction connector.Transaction) (connector.Outcome, error) {
	pass(5 * time.Millisecond)
	if err := s.refuse(); err != nil {
		return connector.Outcome{}, err
	}
	c := s.city
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

func (s *store) Read(_ context.Context, keys ...string) (map[string]connector.Row, error) {
	pass(5 * time.Millisecond)
	if err := s.refuse(); err != nil {
		return nil, err
	}
	s.city.mu.Lock()
	defer s.city.mu.Unlock()
	rows := make(map[string]connector.Row)
	for _, key := range keys {
		if row, found := s.city.rows[key]; found {
			rows[key] = row
		}
	}
	return rows, nil
}

func (s *store) Snapshot(_ context.Context, table, part string) (connector.Changes, error) {
	pass(5 * time.Millisecond)
	if err := s.refuse(); err != nil {
		return connector.Changes{}, err
	}
	return s.after(table+"/"+part+"/", 0), nil
}

func (s *store) after(prefix string, version int64) connector.Changes {
	s.city.mu.Lock()
	defer s.city.mu.Unlock()
	changes := connector.Changes{Version: s.city.version}
	for key, row := range s.city.rows {
		if strings.HasPrefix(key, prefix) && row.Version > version {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

func (s *store) Watch(ctx context.Context, table string, after int64, wait time.Duration) (connector.Changes, error) {
	for waited := time.Duration(0); ; waited += 20 * time.Millisecond {
		if err := s.refuse(); err != nil {
			return connector.Changes{}, err
		}
		if changes := s.after(table+"/", after); len(changes.Rows) > 0 || waited >= wait || ctx.Err() != nil {
			return changes, nil
		}
		pass(20 * time.Millisecond)
	}
}

// mesh is the city's mesh as one run sees it.
type mesh struct {
	city *city
	run  string

	mu    sync.Mutex
	beats map[string]*messenger.Heartbeat
	heard map[string]time.Time
}

func (m *mesh) Call(ctx context.Context, run string, call *messenger.Call) (*messenger.Reply, error) {
	m.city.mu.Lock()
	to, silent := m.city.directors[run], m.city.silent[run] || m.city.silent[m.run]
	m.city.mu.Unlock()
	if to == nil {
		return nil, &mesher.LinkError{Instance: run, Err: &mesher.NotConnectedError{}}
	}
	if silent {
		<-ctx.Done()
		return nil, &mesher.LinkError{Instance: run, Err: ctx.Err()}
	}
	pass(2 * time.Millisecond)
	return to.ServeCall(ctx, call), nil
}

func (m *mesh) LivePeers() map[string]*messenger.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make(map[string]*messenger.Heartbeat)
	for run, at := range m.heard {
		if time.Since(at) < time.Second {
			live[run] = m.beats[run]
		}
	}
	return live
}

func (m *mesh) SetPeers([]modeler.Instance) {}
func (m *mesh) AddPeer(modeler.Instance)    {}

// idle are workers and an advisor that nobody has.
type idle struct{}

func (idle) Start(context.Context, *workerdriver.Worker, *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{}
}

func (idle) Stop(context.Context, *workerdriver.Worker, workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	return workerdriver.ReplyHeader{}, &workerdriver.InDoubtError{}
}

func (idle) Sync(context.Context, *workerdriver.Worker, workerdriver.Sync) (workerdriver.SyncReply, error) {
	return workerdriver.SyncReply{}, &workerdriver.InDoubtError{}
}

func (idle) Throttle(context.Context, *workerdriver.Worker, workerdriver.Throttle) error { return nil }

func (idle) Advise(context.Context, steptracker.StepKey, []string) (workerdriver.Advice, error) {
	return workerdriver.Advice{}, &workerdriver.BusyError{}
}

// start starts a manager, whose heartbeats reach the others every 250 ms.
func (c *city) start(name string) (*cellmanager.Manager, func()) {
	d, stop := cellmanager.New(cellmanager.Settings{
		Name: name, Region: "r", Scheduler: cellscheduler.Settings{Lease: time.Second, MaxLease: time.Second, StateRetention: time.Minute, MaxOpenJobs: 1000},
	}, cellmanager.Dependencies{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Store: &store{city: c, instance: name},
		Workers: idle{}, Advisor: idle{}, Counts: cellscheduler.NewMetrics(),
		Decoders: cellmanager.Decoders{
			ConfigurationTable: "op", ConfigurationKey: "op//config", WorkersTable: "servers",
			Configuration: func([]byte) (*configprovider.Configuration, error) {
				return &configprovider.Configuration{Version: 1, Queues: []configprovider.Queue{{Name: "q", Service: "desk", MaxFailures: 1}}, Services: []configprovider.Service{{Name: "desk"}}}, nil
			},
			Worker: func(string, []byte) (workerdriver.Worker, error) {
				return workerdriver.Worker{}, &workerdriver.BusyError{}
			},
		},
	})
	m := &mesh{city: c, run: d.Incarnation(), beats: make(map[string]*messenger.Heartbeat), heard: make(map[string]time.Time)}
	d.SetMesh(m, netip.MustParseAddrPort("127.0.0.1:1"))
	c.set(func() { c.directors[d.Incarnation()] = d })
	ended := make(chan struct{})
	var beating sync.WaitGroup
	beating.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(250 * time.Millisecond):
			}
			m.collect(d)
		}
	})
	d.Start()
	return d, func() {
		close(ended)
		beating.Wait()
		c.set(func() { delete(c.directors, d.Incarnation()) })
		stop()
	}
}

// collect hears the heartbeats of all other runs.
func (m *mesh) collect(to *cellmanager.Manager) {
	m.city.mu.Lock()
	var others []*cellmanager.Manager
	for run, other := range m.city.directors {
		if run != m.run && !m.city.silent[run] && !m.city.silent[m.run] {
			others = append(others, other)
		}
	}
	m.city.mu.Unlock()
	for _, other := range others {
		beat := other.Heartbeat()
		m.mu.Lock()
		m.beats[other.Incarnation()], m.heard[other.Incarnation()] = beat, time.Now()
		m.mu.Unlock()
		to.HandleHeartbeat(beat)
	}
}

func submit(t *testing.T, d *cellmanager.Manager, id string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return d.Submit(ctx, d.Configuration().Current().Queue("q"), &steptracker.Job{ID: id, Queue: "q", Steps: []steptracker.Step{{Tasks: 1}}})
}

// owner returns the owner's row.
func (c *city) owner(t *testing.T) elector.Ownership {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	ownership, err := elector.ParseOwnership("desk", c.rows[elector.OwnerKey("desk")])
	if err != nil {
		t.Fatal(err)
	}
	return ownership
}

// trio starts three managers and returns them with the one that owns the cell first.
func trio(t *testing.T, c *city) (owner *cellmanager.Manager, others []*cellmanager.Manager, stop map[string]func()) {
	t.Helper()
	stop = make(map[string]func())
	var all []*cellmanager.Manager
	for _, name := range []string{"a", "b", "c"} {
		d, end := c.start(name)
		all = append(all, d)
		stop[d.Incarnation()] = sync.OnceFunc(end)
	}
	pass(3 * time.Second)
	holder := c.owner(t).Owner
	for _, d := range all {
		if d.Incarnation() == holder {
			owner = d
		} else {
			others = append(others, d)
		}
	}
	if owner == nil {
		t.Fatalf("nobody owns the cell, its row names %q", holder)
	}
	return owner, others, stop
}

func endAll(stop map[string]func()) {
	for _, end := range stop {
		end()
	}
}

func TestAnyInstanceAnswersForAnyJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity()
		owner, others, stop := trio(t, c)
		defer endAll(stop)
		if err := submit(t, others[0], "j"); err != nil {
			t.Fatal(err)
		}
		for _, d := range append(others, owner) {
			state, err := d.State(t.Context(), d.Configuration().Current().Queue("q"), "j")
			if err != nil || state != steptracker.Queued || !d.Ready() {
				t.Errorf("%s says %q, %v, ready %t", d.Incarnation(), state, err, d.Ready())
			}
		}
		var unknown *cellscheduler.UnknownJobError
		if _, err := others[1].State(t.Context(), others[1].Configuration().Current().Queue("q"), "nobody"); !errors.As(err, &unknown) {
			t.Errorf("an unknown job: %v", err)
		}
	})
}

// TestOwnerIsReplaced loses the owner in several ways and measures, in virtual time, how long the cell
// is without one. The bound is the users' three seconds from the loss to the successor's first start.
func TestOwnerIsReplaced(t *testing.T) {
	for name, lose := range map[string]func(c *city, owner *cellmanager.Manager, others []*cellmanager.Manager, stop func()){
		"falls silent": func(c *city, owner *cellmanager.Manager, _ []*cellmanager.Manager, _ func()) {
			c.set(func() { c.silent[owner.Incarnation()] = true })
		},
		"process ends": func(_ *city, owner *cellmanager.Manager, others []*cellmanager.Manager, stop func()) {
			stop()
			for _, d := range others {
				d.HandlePeerEnded(owner.Incarnation())
			}
		},
		"planned stop": func(_ *city, owner *cellmanager.Manager, _ []*cellmanager.Manager, _ func()) {
			owner.ReleaseCells(context.Background())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCity()
				owner, others, stop := trio(t, c)
				defer endAll(stop)
				if err := submit(t, others[0], "before"); err != nil {
					t.Fatal(err)
				}
				fence := c.owner(t).FencingToken
				lost := time.Now()
				lose(c, owner, others, stop[owner.Incarnation()])
				var err error
				for range 3 {
					if err = submit(t, others[1], "after"); err == nil {
						break
					}
				}
				if took := time.Since(lost); err != nil || took > 3*time.Second {
					t.Errorf("a job was accepted %s after the loss, %v", took, err)
				}
				pass(4 * time.Second)
				if now := c.owner(t); now.FencingToken <= fence || now.Owner == owner.Incarnation() {
					t.Errorf("the cell is held by %s under fence %d, as before", now.Owner, now.FencingToken)
				}
				state, err := others[0].State(t.Context(), others[0].Configuration().Current().Queue("q"), "before")
				if err != nil || state != steptracker.Queued {
					t.Errorf("the successor says %q, %v of a job accepted before", state, err)
				}
			})
		})
	}
}

// TestOwnerThatTheStoreTurnsAwayWorksThroughAPeer: jobs are accepted within the same bound, by the same
// owner, and what it writes is in the store.
func TestOwnerThatTheStoreTurnsAwayWorksThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity()
		owner, others, stop := trio(t, c)
		defer endAll(stop)
		before := c.owner(t)
		instance, _, _ := strings.Cut(owner.Incarnation(), "@")
		c.set(func() { c.turned[instance] = true })
		for _, id := range []string{"j1", "j2", "j3"} {
			began := time.Now()
			if err := submit(t, others[0], id); err != nil || time.Since(began) > 3*time.Second {
				t.Errorf("%s: %v after %s", id, err, time.Since(began))
			}
			c.set(func() {
				if c.rows["jobs/desk/"+id].Version == 0 {
					t.Errorf("%s was accepted and is not in the store", id)
				}
			})
			pass(2 * time.Second)
		}
		if now := c.owner(t); now.FencingToken != before.FencingToken {
			t.Errorf("the cell went to %q", now.Owner)
		}
	})
}

// TestNobodyCanOwnWhileTheStoreIsDown: callers are told soon, and what they are told is true.
func TestNobodyCanOwnWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity()
		owner, others, stop := trio(t, c)
		defer endAll(stop)
		c.set(func() { c.down = true })
		pass(time.Second)
		stop[owner.Incarnation()]()
		for _, d := range others {
			d.HandlePeerEnded(owner.Incarnation())
		}
		pass(2 * time.Second)
		began := time.Now()
		var noOwner *cellmanager.NoOwnerError
		if err := submit(t, others[0], "j"); !errors.As(err, &noOwner) || time.Since(began) > time.Second {
			t.Errorf("refused after %s with %v", time.Since(began), err)
		}
		c.set(func() { c.down = false })
		pass(3 * time.Second)
		var unknown *cellscheduler.UnknownJobError
		if _, err := others[0].State(t.Context(), others[0].Configuration().Current().Queue("q"), "j"); !errors.As(err, &unknown) {
			t.Errorf("the refused job is known: %v", err)
		}
	})
}

// TestOwnerKeepsItsCellWhileTheStoreIsDown: giving a cell away helps only if the store serves somebody
// else. The silences that heartbeats tell of are a little older than the own one, and an owner once
// left its cell to an instance that was no better off.
func TestOwnerKeepsItsCellWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCity()
		owner, _, stop := trio(t, c)
		defer endAll(stop)
		before := c.owner(t)
		c.set(func() { c.down = true })
		pass(5 * time.Second)
		c.set(func() { c.down = false })
		pass(3 * time.Second)
		if now := c.owner(t); now.FencingToken != before.FencingToken || now.Owner != owner.Incarnation() {
			t.Errorf("held by %q under fence %d, before the outage by %q under %d", now.Owner, now.FencingToken, before.Owner, before.FencingToken)
		}
		if err := submit(t, owner, "j"); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}
