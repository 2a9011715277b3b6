// Package cellserver starts an instance on the external platform that package platform connects to,
// and shuts the instance down gracefully when that platform asks the process to terminate.
//
// # Usage
//
//	instance, err := cellserver.Start(settings, clock, log)
//	…
//	instance.Shutdown()
package cellserver

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/bodylimiter"
	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/connectionlimiter"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/orderrepeater"
	"dotterelpost.example/dotterelpost/internal/uptimereader"
	"dotterelpost.example/dotterelpost/platform"
)

const (
	// heartbeatInterval is the shortest interval between heartbeats to each peer.
	heartbeatInterval = 250 * time.Millisecond
	// defaultLease is how long a worker continues its runs without hearing from the owner. It is longer
	// than the usual connection loss of a worker. The runs of a failed worker are restarted only after
	// it has expired.
	defaultLease = 6 * time.Second
	// gcPercent is the heap growth in percent that triggers a garbage collection. It is below Go's
	// default because memory costs more here than the processor time of collections.
	gcPercent = 50
	// ownerGCPercent replaces gcPercent while the instance owns a cell. Its heap is small and it
	// allocates ten times as much as other instances: a collection for each half of the heap would take a
	// quarter of its processor time.
	ownerGCPercent = 200
	// heapFraction is the fraction of the instance's memory limit that is set as the soft memory limit
	// of the Go runtime.
	heapFraction = 0.7
	// readinessDelay is how long the platform may still send new connections after the first failed
	// readiness check: it stops after two failed checks, one second apart.
	readinessDelay = 2500 * time.Millisecond
	// handoverTimeout limits the hand-over of the cells. If the store is down, the hand-over fails and
	// a successor claims the cells instead.
	handoverTimeout = 2 * time.Second
	// shutdownMargin is the part of the grace period that is left for closing after requests have ended.
	shutdownMargin = time.Second
	// maxOpenJobs limits the unfinished jobs of a cell, each of which takes a few kilobytes of memory.
	maxOpenJobs = 20000
	// closeTimeout limits the closing of connections, because their peers may be unreachable.
	closeTimeout = 300 * time.Millisecond
	// fastLinkSpeed, in bits per second, is the speed of a link from which messages to peers are not compressed.
	// An owner of 1,100 workers sends 3 MB a second at most.
	fastLinkSpeed = 100e6
	// headerTimeout limits the time in which a caller must send the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes limits the size of the header of a request.
	maxHeaderBytes = 16 << 10
)

// Instance is a running instance on the external platform.
type Instance struct {
	settings      platform.Settings
	clock         clockwork.Clock
	log           *slog.Logger
	manager       *cellmanager.Manager
	bodies        *bodylimiter.Limiter
	connections   *connectionlimiter.Limiter
	callerHandler *platform.CallerHandler
	callerServer  *http.Server
	// callerAddress is the address that callerServer is bound to.
	callerAddress netip.AddrPort
	// cleanUps are run in reverse order.
	cleanUps []func()
}

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s: %v; another process may be using the address", e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

// Start starts an instance.
func Start(settings platform.Settings, clock clockwork.Clock, log *slog.Logger) (*Instance, error) {
	limitMemory(settings.MemoryLimit)
	i := &Instance{
		settings: settings, clock: clock, log: log,
		bodies:      bodylimiter.New(bodylimiter.Budget(settings.MemoryLimit, platform.DefaultMaxBodyBytes), clock, log),
		connections: connectionlimiter.New(connectionlimiter.Max(settings.MaxDescriptors), clock, log),
	}
	store, closeStore := platform.NewStoreClient(settings.StoreAddress)
	workers, closeWorkers := platform.NewWorkerClient()
	advisor, closeAdvisor := platform.NewAdvisorClient(settings.AdvisorAddress)
	metrics := cellscheduler.NewMetrics()
	repeater := orderrepeater.New(orderrepeater.Dependencies{Workers: workers, Clock: clock, Log: log, Metrics: metrics})
	var stop func()
	i.manager, stop = cellmanager.New(cellmanager.Settings{
		Name:             settings.Name,
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Mesh:             settings.MeshAddress,
		Processors:       settings.Processors,
		Scheduler: cellscheduler.Settings{
			Lease:          min(defaultLease, settings.MaxLease*9/10),
			MaxLease:       settings.MaxLease,
			StateRetention: settings.StateRetention,
			MaxOpenJobs:    maxOpenJobs,
		},
		RevocationLimit: settings.RevocationLimit, ConfigurationLimit: settings.ConfigurationLimit,
	}, cellmanager.Dependencies{
		Clock: clock, Uptime: uptimereader.New(clock), Log: log, Store: store, Workers: repeater, Advisor: advisor, Metrics: metrics, OnOwnershipChanged: setGCPercent,
		Decoders: cellmanager.Decoders{
			ConfigurationTable: platform.ConfigurationTable,
			ConfigurationKey:   platform.ConfigurationKey,
			Configuration:      platform.DecodeConfiguration,
			WorkersTable:       platform.WorkersTable,
			Worker:             platform.DecodeWorker,
		},
	})
	i.cleanUps = []func(){closeStore, closeWorkers, closeAdvisor, stop}
	mesh, closeMesh, err := mesher.New(mesher.Settings{
		Instance: i.manager.Incarnation(), Region: settings.Region, Listen: settings.MeshAddress, SameRegionHeartbeatInterval: heartbeatInterval, CrossRegionHeartbeatInterval: heartbeatInterval,
		HeartbeatInterval: i.manager.HeartbeatInterval, DialUnlistedPeers: true, DisableCompression: settings.LinkSpeed >= fastLinkSpeed,
	}, mesher.Dependencies{Clock: clock, Log: log, Handler: i.manager, Heartbeat: i.manager.Heartbeat, OnHeartbeat: i.manager.HandleHeartbeat, OnPeerExited: i.manager.HandlePeerExited})
	if err != nil {
		i.cleanUp()
		return nil, err
	}
	i.cleanUps = append(i.cleanUps, closeMesh)
	i.manager.SetMesh(mesh, mesh.Address())
	i.callerHandler = platform.NewCallerHandler(i.manager, i.bodies, log)
	if err := i.listen(metrics); err != nil {
		i.cleanUp()
		return nil, err
	}
	i.manager.Start()
	log.Info("instance started", "instance", settings.Name, "run", i.manager.Incarnation(), "zone", settings.AvailabilityZone, "memory-limit", settings.MemoryLimit)
	return i, nil
}

// CallerAddress returns the address at which callers' requests are accepted.
func (i *Instance) CallerAddress() netip.AddrPort { return i.callerAddress }

// Kill stops the instance at once and without a hand-over, like the termination of its process.
func (i *Instance) Kill() { i.cleanUp() }

// limitMemory configures the garbage collector for the memory limit in bytes; 0 means no limit.
func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction))
	}
}

// setGCPercent configures the garbage collector for an instance that owns cells, or for one that does
// not.
func setGCPercent(owns bool) {
	if owns {
		debug.SetGCPercent(ownerGCPercent)
		return
	}
	debug.SetGCPercent(gcPercent)
}

func (i *Instance) cleanUp() {
	for n := len(i.cleanUps) - 1; n >= 0; n-- {
		i.cleanUps[n]()
	}
}

// listen starts the HTTP servers for callers, readiness checks and metrics.
func (i *Instance) listen(metrics *cellscheduler.Metrics) error {
	vars := new(expvar.Map).Init()
	vars.Set("conductor", metrics.Map())
	vars.Set("request-bodies", i.bodies.Map())
	vars.Set("connections", i.connections.Map())
	vars.Set("open-requests", expvar.Func(func() any { return i.callerHandler.OpenRequests() }))
	vars.Set("memory", expvar.Func(func() any {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.Sys
	}))
	metricsHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// An error means that the client has disconnected.
		_, _ = fmt.Fprintln(w, vars.String())
	})
	receiveBuffer := connectionlimiter.ReceiveBuffer(i.settings.MemoryLimit, connectionlimiter.Max(i.settings.MaxDescriptors))
	unlimited := connectionlimiter.New(0, i.clock, i.log)
	var err error
	if i.callerServer, i.callerAddress, err = i.serve(i.settings.CallerAddress, i.callerHandler, i.connections, receiveBuffer); err != nil {
		return err
	}
	if _, _, err = i.serve(i.settings.ReadinessAddress, i.callerHandler.Readiness(), unlimited, 0); err != nil {
		return err
	}
	_, _, err = i.serve(i.settings.MetricsAddress, metricsHandler, unlimited, 0)
	return err
}

// serve starts an HTTP server and returns it with the address that it is bound to.
func (i *Instance) serve(address netip.AddrPort, handler http.Handler, connections *connectionlimiter.Limiter, receiveBuffer int) (*http.Server, netip.AddrPort, error) {
	listener, err := connectionlimiter.Listen(context.Background(), address.String(), receiveBuffer)
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug), ConnState: connections.Observe,
	}
	i.cleanUps = append(i.cleanUps, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(connections.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error("HTTP server failed", "address", address, "error", err)
		}
	}()
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	return server, bound, nil
}

// Shutdown hands over the cells that the instance owns, serves requests until the platform sends no new
// ones and all open ones have been answered, and then stops the instance. It returns within the
// platform's grace period.
func (i *Instance) Shutdown() {
	start := i.clock.Now()
	grace := max(i.settings.GracePeriod-shutdownMargin, time.Second)
	ctx, cancel := clockwork.WithTimeout(context.Background(), i.clock, grace)
	defer cancel()
	i.callerHandler.DisableKeepAlives()
	handoverCtx, cancelHandover := clockwork.WithTimeout(ctx, i.clock, min(handoverTimeout, grace))
	defer cancelHandover()
	i.manager.ReleaseCells(handoverCtx)
	select {
	case <-i.clock.After(min(readinessDelay, grace)):
	case <-ctx.Done():
	}
	if err := i.callerServer.Shutdown(ctx); err != nil {
		i.log.Warn("open requests aborted at shutdown", "open", i.callerHandler.OpenRequests(), "error", err)
	}
	closed := make(chan struct{})
	go func() {
		i.cleanUp()
		close(closed)
	}()
	select {
	case <-closed:
	case <-i.clock.After(closeTimeout):
	}
	i.log.Info("instance stopped", "run", i.manager.Incarnation(), "took-ms", i.clock.Since(start).Milliseconds())
}
