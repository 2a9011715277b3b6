package partitionserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/internal/apiserver"
	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/bodylimiter"
	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/configurer"
	"dotterelpost.example/dotterelpost/internal/connectionlimiter"
	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/fencer"
	"dotterelpost.example/dotterelpost/internal/journaler"
	"dotterelpost.example/dotterelpost/internal/leaseholder"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/metricsrecorder"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitioncontroller"
	"dotterelpost.example/dotterelpost/internal/partitionrouter"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/internal/validator"
)

// Options configures an instance.
type Options struct {
	Settings configurer.Instance
	Secrets  configurer.Secrets
	Clock    clockwork.Clock
	Log      *slog.Logger
}

// Addresses are the addresses that an instance listens on.
type Addresses struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Mesh      netip.AddrPort `json:"mesh"`
}

// Server is a running instance.
type Server struct {
	options        Options
	name           string
	log            *slog.Logger
	clock          clockwork.Clock
	ctx            context.Context
	cancel         context.CancelFunc
	platform       *connector.Client
	journal        *journaler.Journal
	controller     *partitioncontroller.Controller
	leaseHolder    *leaseholder.Holder
	mesh           *mesher.Mesh
	router         *partitionrouter.Router
	follower       *ticketer.Follower
	tickets        *ticketer.Store
	metrics        *metricsrecorder.Recorder
	bodies         *bodylimiter.Limiter
	callerServer   *http.Server
	operatorServer *http.Server
	addresses      Addresses
	peers          instanceDirectory

	leaving              atomic.Bool
	partitionsHandedOver chan struct{}
	ticketAppliedAt      atomic.Int64
	// invalidEntries is the number of invalid entries in the last instance list.
	invalidEntries atomic.Int64
	goroutines     sync.WaitGroup
	cleanups       []func()
	closeOnce      sync.Once
	tableReads     atomic.Int64
	tableWrites    atomic.Int64
}

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

const (
	// heapFraction is the fraction of the memory in the settings that is set as the soft memory limit of the Go runtime.
	heapFraction = 0.7
	// maxBodyBytes is the size of the largest request body, that of a ticket.
	maxBodyBytes = validator.MaxBytes
)

// Start starts an instance. It returns as soon as all listeners are bound.
func Start(options Options) (*Server, error) {
	name, err := uniqueName(options.Settings.Name)
	if err != nil {
		return nil, err
	}
	memory := int64(options.Settings.Memory.Bytes())
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * heapFraction))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options:  options,
		name:     name,
		log:      options.Log.With("instance", name),
		clock:    options.Clock,
		ctx:      ctx,
		cancel:   cancel,
		follower: ticketer.NewFollower(),
		metrics:  metricsrecorder.New(),
		bodies:   bodylimiter.New(bodylimiter.Budget(memory, maxBodyBytes), options.Clock, options.Log),

		partitionsHandedOver: make(chan struct{}),
	}
	if err := s.assemble(); err != nil {
		s.Kill()
		return nil, err
	}
	s.goroutines.Go(s.followInstanceList)
	s.goroutines.Go(s.pollTicketHead)
	s.goroutines.Go(s.balancePartitions)
	s.log.Info("listening", "callers", s.addresses.Callers, "operators", s.addresses.Operators, "mesh", s.addresses.Mesh,
		"region", options.Settings.Region, "availability-zone", options.Settings.AvailabilityZone)
	return s, nil
}

// uniqueName appends a random suffix to the configured name. The name must differ between runs of the
// process, so that rows in the table that an earlier run wrote are not attributed to this one.
func uniqueName(name string) (string, error) {
	var suffix [4]byte
	if _, err := rand.Read(suffix[:]); err != nil {
		return "", errors.Wrap(err, "generate a unique instance name")
	}
	return name + "." + hex.EncodeToString(suffix[:]), nil
}

// addCleanup registers a function to run when the server stops. The functions run in reverse order.
func (s *Server) addCleanup(cleanup func()) { s.cleanups = append(s.cleanups, cleanup) }

func (s *Server) assemble() error {
	platform, closePlatform := connector.New(s.options.Settings.Platform)
	s.platform = platform
	s.addCleanup(closePlatform)
	s.startController()
	s.startLeaseHolder()
	s.router = partitionrouter.New(partitionrouter.Dependencies{
		Instance:    s.name,
		LocalOwner:  s.controller,
		Mesh:        deferredMesh{server: s},
		Clock:       s.clock,
		Log:         s.log,
		Tickets:     s.follower.State,
		IsHeld:      s.isHeld,
		OwnerOf:     s.leaseHolder.OwnerOf,
		CountRouted: s.metrics.CountRoute,
	})
	s.tickets = ticketer.NewStore(s.table(), s.newWriter("tickets"), s.clock)
	s.follower.OnChange(s.applyTicket)
	s.publishMetrics()
	// Peers can send calls as soon as the mesh listens, so the components that serve them are created
	// first. They use the mesh themselves only once a ticket is in force, and by then it exists.
	operators, bound, err := s.listen(s.options.Settings.Listen.Operators)
	if err != nil {
		return err
	}
	s.addCleanup(func() { _ = operators.Close() })
	s.addresses.Operators = bound
	if err := s.listenMesh(); err != nil {
		return err
	}
	s.serveOperators(operators)
	return s.listenCallers()
}

func (s *Server) newWriter(use string) *committer.Writer {
	return committer.NewWriter(s.table(), s.name+"/"+use, s.clock)
}

func (s *Server) listenMesh() error {
	mesh, closeMesh, err := mesher.New(mesher.Settings{
		Instance:           s.name,
		Region:             s.options.Settings.Region,
		Listen:             s.options.Settings.Listen.Mesh,
		Token:              s.options.Secrets.Mesh,
		PeerServiceAddress: s.addresses.Operators,
	}, mesher.Dependencies{
		Clock:       s.clock,
		Log:         s.log,
		Handler:     s.router,
		Heartbeat:   s.heartbeat,
		OnHeartbeat: s.handleHeartbeat,
	})
	if err != nil {
		return err
	}
	s.mesh = mesh
	s.addresses.Mesh = mesh.Address()
	s.addCleanup(closeMesh)
	return nil
}

func (s *Server) startController() {
	journal, stopJournal := journaler.New(journaler.Settings{RowsPerSnapshot: journaler.DefaultRowsPerSnapshot}, s.newWriter("journal"), renewalPiggybacker{server: s}, writePacer{server: s}, s.clock, s.log)
	s.journal = journal
	s.addCleanup(stopJournal)
	settings := s.options.Settings
	controller, stopController := partitioncontroller.New(partitionscheduler.Settings{
		Instance:         s.name,
		Seed:             settings.Seed,
		TaskLease:        time.Duration(settings.TaskLease),
		ClockBound:       time.Duration(settings.ClockBound),
		DurableRetention: time.Duration(settings.DurableRetention),
		QuickRetention:   time.Duration(settings.QuickRetention),
		FenceMode:        s.fenceMode(),
	}, partitioncontroller.Dependencies{
		Clock:    s.clock,
		Log:      s.log,
		Platform: s.platform,
		Journal:  journal,
		Metrics:  s.metrics,
		OwnedUntil: func(partition string, epoch modeler.Epoch) time.Time {
			return s.leaseHolder.OwnedUntil(partition, epoch)
		},
		OwnershipLost: func(partition string, epoch modeler.Epoch) { s.leaseHolder.MarkLost(partition, epoch) },
	})
	s.controller = controller
	s.addCleanup(stopController)
}

func (s *Server) fenceMode() fencer.Mode {
	if s.options.Settings.FenceMode == "wait-out" {
		return fencer.WaitForLeaseExpiry{ClockBound: time.Duration(s.options.Settings.ClockBound)}
	}
	return fencer.CompareEpochs{}
}

func (s *Server) startLeaseHolder() {
	holder, stopHolder := leaseholder.New(leaseholder.Settings{
		Instance: s.name,
		Lease:    time.Duration(s.options.Settings.PartitionLease),
	}, leaseholder.Dependencies{
		Reader:        s.table(),
		Committer:     s.newWriter("holder"),
		Listener:      leaseListener{server: s},
		Clock:         s.clock,
		Log:           s.log,
		LiveInstances: s.countInstancesInRegion,
	})
	s.leaseHolder = holder
	s.addCleanup(stopHolder)
}

func (s *Server) isHeld(partition string) bool {
	for _, grant := range s.leaseHolder.Held() {
		if grant.Partition == partition {
			return true
		}
	}
	return false
}

func (s *Server) listen(address netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "parse bound address")
	}
	return listener, bound, nil
}

func (s *Server) serve(listener net.Listener, handler http.Handler) *http.Server {
	connections := connectionlimiter.New(s.options.Settings.MaxConnections, s.clock, s.log)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnState:         connections.Observe,
	}
	s.goroutines.Go(func() {
		if err := server.Serve(connections.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server stopped", "address", listener.Addr().String(), "error", err)
		}
	})
	s.addCleanup(func() { _ = server.Close() })
	return server
}

func (s *Server) listenCallers() error {
	listener, bound, err := s.listen(s.options.Settings.Listen.Callers)
	if err != nil {
		return err
	}
	s.addresses.Callers = bound
	s.callerServer = s.serve(listener, apiserver.New(apiserver.Dependencies{
		TicketsProven: func() bool { return s.follower.Proven(s.clock.Now()) },
		Router:        s.router,
		Authenticator: authenticator.New(s.options.Secrets.Callers),
		Tickets:       s.follower.State,
		Log:           s.log,
		Bodies:        s.bodies,
		ShuttingDown:  s.partitionsHandedOver,
	}))
	return nil
}

func (s *Server) serveOperators(listener net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/", adminserver.New(adminserver.Dependencies{
		Instance:      s.name,
		Region:        s.options.Settings.Region,
		Store:         s.tickets,
		Controller:    s.controller,
		Authenticator: authenticator.New(s.options.Secrets.Operators),
		Metrics:       s.metrics,
		Bodies:        s.bodies,
		Tickets:       s.follower.State,
		AdvanceTicket: s.follower.Advance,
		InForceSince:  s.inForceSince,
		LivePeers:     s.mesh.LivePeers,
		Ready:         s.checkReady,
		Cost:          s.cost,
	}))
	s.handlePeers(mux)
	s.operatorServer = s.serve(listener, mux)
}

// Name returns the name of the instance, including the suffix of this run.
func (s *Server) Name() string { return s.name }

// Addresses returns the addresses that the instance listens on.
func (s *Server) Addresses() Addresses { return s.addresses }

// Describe returns the entry of this instance in the platform's instance list.
func (s *Server) Describe() modeler.Instance {
	return modeler.Instance{
		Name:             s.name,
		Region:           s.options.Settings.Region,
		AvailabilityZone: s.options.Settings.AvailabilityZone,
		Mesh:             s.addresses.Mesh,
		Peer:             s.addresses.Operators,
		Leaving:          s.leaving.Load(),
	}
}

// Kill stops the instance immediately, without handing over partitions or completing open requests.
func (s *Server) Kill() {
	s.closeOnce.Do(func() {
		s.cancel()
		for i := len(s.cleanups) - 1; i >= 0; i-- {
			s.cleanups[i]()
		}
		s.goroutines.Wait()
	})
}

// NotReadyError reports why an instance should not receive requests.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return e.Reason }

func (s *Server) checkReady() error {
	switch {
	case s.leaving.Load():
		return &NotReadyError{Reason: "shutting down"}
	case s.follower.State().Number == 0:
		return &NotReadyError{Reason: "no ticket in force yet"}
	}
	return nil
}

func (s *Server) publishMetrics() {
	s.metrics.Publish("ticket", func() any { return s.follower.State().Number })
	s.metrics.Publish("held", func() any { return s.leaseHolder.Held() })
	s.metrics.Publish("mesh", func() any { return s.mesh.Counts() })
	s.metrics.Publish("journal", func() any {
		commits, entries := s.journal.Counts()
		return JournalCounts{Commits: commits, Entries: entries, Retries: s.journal.Retries()}
	})
	s.metrics.Publish("request-bodies", func() any { return json.RawMessage(s.bodies.Map().String()) })
	s.metrics.Publish("table", func() any { return s.TableCounts() })
}

func (s *Server) inForceSince() time.Time { return time.Unix(0, s.ticketAppliedAt.Load()) }

func (s *Server) cost() adminserver.Cost {
	return adminserver.Cost{
		TableWrites:      s.tableWrites.Load(),
		TableReads:       s.tableReads.Load(),
		CrossRegionBytes: s.mesh.Counts().CrossRegionBytes,
	}
}

// JournalCounts are the numbers of transactions and entries that the journal has written.
type JournalCounts struct {
	Commits int64 `json:"commits"`
	Entries int64 `json:"entries"`
	// Retries is the number of repeated attempts to write a transaction.
	Retries int64 `json:"repeated"`
}

// TableCounts are the numbers of calls to the table service, including failed ones.
type TableCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// TableCounts returns the numbers of this instance's calls to the table service.
func (s *Server) TableCounts() TableCounts {
	return TableCounts{Reads: s.tableReads.Load(), Writes: s.tableWrites.Load()}
}

// MeshCounts returns the traffic counters of this instance's mesh.
func (s *Server) MeshCounts() mesher.Counts { return s.mesh.Counts() }

// PlacementWaits returns the waiting times of tasks until their first placement by this instance.
func (s *Server) PlacementWaits() []metricsrecorder.WaitStats { return s.metrics.Waits() }

// TicketNumber returns the number of the ticket in force on this instance.
func (s *Server) TicketNumber() int64 { return s.follower.State().Number }

// ReadyPartitions returns the number of partitions that this instance owns and has reconciled with all
// of their workers.
func (s *Server) ReadyPartitions(ctx context.Context) int {
	views, err := s.controller.Partitions(ctx)
	if err != nil {
		return 0
	}
	count := 0
	for _, view := range views {
		if view.Ready {
			count++
		}
	}
	return count
}

// ReceivesHeartbeatsFrom reports whether this instance currently receives heartbeats from another one.
func (s *Server) ReceivesHeartbeatsFrom(instance string) bool {
	return s.mesh.LivePeers()[instance] != nil
}
