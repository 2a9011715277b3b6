// Package cellserver puts an instance together that serves on the users' platform, and takes it apart
// when the platform asks the process to end.
//
// # Usage
//
//	instance, err := cellserver.Start(settings, clock, log)
//	…
//	instance.Leave()
package cellserver

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellmanager"
	"dotterelpost.example/dotterelpost/internal/cellscheduler"
	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/platform"
)

const (
	// heartbeatInterval is the time between heartbeats to every peer.
	heartbeatInterval = 250 * time.Millisecond
	// defaultLease is how long a worker goes on without hearing of its owner. It outlasts the usual cut of
	// a worker; work on a worker that died is begun again after it.
	defaultLease = 6 * time.Second
	// gcPercent is the growth of the heap, in per cent, at which garbage is collected. Memory costs
	// more here than the processor time of collecting.
	gcPercent = 50
	// heapFraction is the share of the memory limit that the runtime keeps to.
	heapFraction = 0.7
	// readinessDelay is how long after the first refused readiness the platform may still send new
	// connections: two misses, a second apart.
	readinessDelay = 2500 * time.Millisecond
	// handoverTimeout bounds the hand-over of the cells: if the store is down, a successor claims them.
	handoverTimeout = 2 * time.Second
	// shutdownMargin is left of the grace at the end.
	shutdownMargin = time.Second
	// maxOpenJobs bounds the jobs of a cell that are not final; each takes a few kilobytes.
	maxOpenJobs = 20000
	// closeTimeout bounds the closing of connections, whose peers may be unreachable.
	closeTimeout = 300 * time.Millisecond
	// headerTimeout bounds how long a caller may take for the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout closes connections of callers that are silent.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
)

// Instance is an entry instance on the users' platform.
type Instance struct {
	settings      platform.Settings
	clock         clockwork.Clock
	log           *slog.Logger
	manager       *cellmanager.Manager
	callerHandler *platform.CallerHandler
	callerServer  *http.Server
	// callerAddress is the bound address.
	callerAddress netip.AddrPort
	cleanUps      []func()
}

// ListenError tells that an address can't be listened on.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s: %v; another process may still use it", e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

// Start starts an instance.
func Start(settings platform.Settings, clock clockwork.Clock, log *slog.Logger) (*Instance, error) {
	limitMemory(settings.MemoryLimit)
	i := &Instance{settings: settings, clock: clock, log: log}
	store, closeStore := platform.NewStoreClient(settings.StoreAddress)
	workers, closeWorkers := platform.NewWorkerClient()
	advisor, closeAdvisor := platform.NewAdvisorClient(settings.AdvisorAddress)
	metrics := cellscheduler.NewMetrics()
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
	}, cellmanager.Dependencies{
		Clock: clock, Log: log, Store: store, Workers: workers, Advisor: advisor, Metrics: metrics,
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
		Instance: i.manager.Incarnation(), Region: settings.Region, Listen: settings.MeshAddress, SameRegionHeartbeatInterval: heartbeatInterval, CrossRegionHeartbeatInterval: heartbeatInterval, DialUnlistedPeers: true,
	}, mesher.Dependencies{Clock: clock, Log: log, Handler: i.manager, Heartbeat: i.manager.Heartbeat, OnHeartbeat: i.manager.HandleHeartbeat, OnPeerExited: i.manager.HandlePeerExited})
	if err != nil {
		i.cleanUp()
		return nil, err
	}
	i.cleanUps = append(i.cleanUps, closeMesh)
	i.manager.SetMesh(mesh, mesh.Address())
	i.callerHandler = platform.NewCallerHandler(i.manager, log)
	if err := i.listen(metrics); err != nil {
		i.cleanUp()
		return nil, err
	}
	i.manager.Start()
	log.Info("instance started", "instance", settings.Name, "run", i.manager.Incarnation(), "zone", settings.AvailabilityZone, "memory-limit", settings.MemoryLimit)
	return i, nil
}

// CallerAddress is where callers' requests arrive.
func (i *Instance) CallerAddress() netip.AddrPort { return i.callerAddress }

// Kill ends the instance at once, as the end of its process would.
func (i *Instance) Kill() { i.cleanUp() }

func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapFraction))
	}
}

func (i *Instance) cleanUp() {
	for n := len(i.cleanUps) - 1; n >= 0; n-- {
		i.cleanUps[n]()
	}
}

func (i *Instance) listen(counts *cellscheduler.Metrics) error {
	vars := new(expvar.Map).Init()
	vars.Set("conductor", counts.Map())
	vars.Set("open-requests", expvar.Func(func() any { return i.callerHandler.OpenRequests() }))
	vars.Set("memory", expvar.Func(func() any {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.Sys
	}))
	metricsHandler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// The reader has gone if this fails.
		_, _ = fmt.Fprintln(w, vars.String())
	})
	var err error
	if i.callerServer, i.callerAddress, err = i.serve(i.settings.CallerAddress, i.callerHandler); err != nil {
		return err
	}
	if _, _, err = i.serve(i.settings.ReadinessAddress, i.callerHandler.Readiness()); err != nil {
		return err
	}
	_, _, err = i.serve(i.settings.MetricsAddress, metricsHandler)
	return err
}

func (i *Instance) serve(address netip.AddrPort, handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug),
	}
	i.cleanUps = append(i.cleanUps, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error("server ended", "address", address, "error", err)
		}
	}()
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	return server, bound, nil
}

// Shutdown hands over what the instance owns, goes on answering until the platform sends nothing new
// and all open requests are answered, and ends within the platform's grace.
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
		i.log.Warn("requests cut off", "open", i.callerHandler.OpenRequests(), "error", err)
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
