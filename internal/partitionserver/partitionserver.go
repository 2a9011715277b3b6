package partitionserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/net/netutil"

	"dotterelpost.example/dotterelpost/internal/adminserver"
	"dotterelpost.example/dotterelpost/internal/apiserver"
	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/committer"
	"dotterelpost.example/dotterelpost/internal/configurer"
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
)

// Options of an entry instance.
type Options struct {
	Settings configurer.Instance
	Secrets  configurer.Secrets
	Clock    clockwork.Clock
	Log      *slog.Logger
}

// Addresses are where an instance listens.
type Addresses struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Mesh      netip.AddrPort `json:"mesh"`
}

// Server is a running entry instance.
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
	callerServer   *http.Server
	operatorServer *http.Server
	addresses      Addresses
	peers          instanceDirectory

	leaving              atomic.Bool
	partitionsHandedOver chan struct{}
	ticketAppliedAt      atomic.Int64
	goroutines           sync.WaitGroup
	cleanups             []func()
	closeOnce            sync.Once
	tableReads           atomic.Int64
	tableWrites          atomic.Int64
}

// HTTP limits of the listeners.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Start starts an entry instance. It returns as soon as all listeners are bound.
func Start(options Options) (*Server, error) {
	name, err := uniqueName(options.Settings.Name)
	if err != nil {
		return nil, err
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

// uniqueName makes the name of this run. Rows that an earlier run of the same name left in the
// table must not be taken for ours.
func uniqueName(name string) (string, error) {
	var suffix [4]byte
	if _, err := rand.Read(suffix[:]); err != nil {
		return "", errors.Wrap(err, "make a name for this run")
	}
	return name + "." + hex.EncodeToString(suffix[:]), nil
}

// addCleanup adds a clean-up function. They run in reverse order.
func (s *Server) addCleanup(closer func()) { s.cleanups = append(s.cleanups, closer) }

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
	// Peers can call as soon as the mesh listens, so everything that serves them is there before.
	// What uses the mesh does so only once a ticket is in force, which is later.
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
	control, stopControl := partitioncontroller.New(partitionscheduler.Settings{
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
	s.controller = control
	s.addCleanup(stopControl)
}

func (s *Server) fenceMode() fencer.Mode {
	if s.options.Settings.FenceMode == "wait-out" {
		return fencer.WaitForLeaseExpiry{ClockBound: time.Duration(s.options.Settings.ClockBound)}
	}
	return fencer.CompareEpochs{}
}

func (s *Server) startLeaseHolder() {
	held, stopHolder := leaseholder.New(leaseholder.Settings{
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
	s.leaseHolder = held
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
		return nil, netip.AddrPort{}, errors.Wrap(err, "bound address")
	}
	return netutil.LimitListener(listener, s.options.Settings.MaxConnections), bound, nil
}

func (s *Server) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener ended", "address", listener.Addr().String(), "error", err)
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
		Router:        s.router,
		Authenticator: authenticator.New(s.options.Secrets.Callers),
		Tickets:       s.follower.State,
		Log:           s.log,
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

// Name returns the name of this run of the instance.
func (s *Server) Name() string { return s.name }

// Addresses returns where the instance listens.
func (s *Server) Addresses() Addresses { return s.addresses }

// Describe returns the instance as the platform's list shows it.
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

// Kill ends everything at once; nothing is handed over and no answer is finished.
func (s *Server) Kill() {
	s.closeOnce.Do(func() {
		s.cancel()
		for i := len(s.cleanups) - 1; i >= 0; i-- {
			s.cleanups[i]()
		}
		s.goroutines.Wait()
	})
}

// NotReadyError tells why an instance should get no requests.
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

// JournalCounts are the transactions and entries that the journal wrote.
type JournalCounts struct {
	Commits int64 `json:"commits"`
	Entries int64 `json:"entries"`
	// Retries counts tries of a transaction after its first one.
	Retries int64 `json:"repeated"`
}

// TableCounts are the calls to the table service, failed ones included.
type TableCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// TableCounts returns how often this instance called the table service.
func (s *Server) TableCounts() TableCounts {
	return TableCounts{Reads: s.tableReads.Load(), Writes: s.tableWrites.Load()}
}

// MeshCounts returns what this instance sent to its peers.
func (s *Server) MeshCounts() mesher.Counts { return s.mesh.Counts() }

// PlacementWaits returns how long work waited for its first placement by this instance.
func (s *Server) PlacementWaits() []metricsrecorder.WaitStats { return s.metrics.Waits() }

// TicketNumber returns the number of the ticket in force here.
func (s *Server) TicketNumber() int64 { return s.follower.State().Number }

// ReadyPartitions returns how many partitions this instance owns with all workers accounted for.
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

// ReceivesHeartbeatsFrom tells whether heartbeats of another instance arrive here.
func (s *Server) ReceivesHeartbeatsFrom(instance string) bool {
	return s.mesh.LivePeers()[instance] != nil
}
