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
	// beatEvery is the time between heartbeats to every peer.
	beatEvery = 250 * time.Millisecond
	// lease is how long a worker goes on without hearing of its owner. It outlasts the usual cut of
	// a worker; work on a worker that died is begun again after it.
	lease = 6 * time.Second
	// collectAt is the growth of the heap, in per cent, at which garbage is collected. Memory costs
	// more here than the processor time of collecting.
	collectAt = 50
	// heapShare is the share of the memory limit that the runtime keeps to.
	heapShare = 0.7
	// outOfRotation is how long after the first refused readiness the platform may still send new
	// connections: two misses, a second apart.
	outOfRotation = 2500 * time.Millisecond
	// handOver bounds the hand-over of the cells: if the store is down, a successor claims them.
	handOver = 2 * time.Second
	// leaveMargin is left of the grace at the end.
	leaveMargin = time.Second
	// mostOpen bounds the jobs of a cell that are not final; each takes a few kilobytes.
	mostOpen = 20000
	// closeTimeout bounds the closing of connections, whose peers may be unreachable.
	closeTimeout = 300 * time.Millisecond
	// headerTimeout bounds how long a caller may take for the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout closes connections of callers that are silent.
	idleTimeout = 30 * time.Second
	// headerBytes bounds the header of a request.
	headerBytes = 16 << 10
)

// Instance is an entry instance on the users' platform.
type Instance struct {
	settings platform.Settings
	clock    clockwork.Clock
	log      *slog.Logger
	manager  *cellmanager.Manager
	front    *platform.CallerHandler
	callers  *http.Server
	// callersAt is the bound address.
	callersAt netip.AddrPort
	cleanUps  []func()
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
	counts := cellscheduler.NewMetrics()
	var stop func()
	i.manager, stop = cellmanager.New(cellmanager.Settings{
		Name:             settings.Name,
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Mesh:             settings.MeshAddress,
		Processors:       settings.Processors,
		Scheduler: cellscheduler.Settings{
			Lease:          min(lease, settings.MaxLease*9/10),
			MaxLease:       settings.MaxLease,
			StateRetention: settings.StateRetention,
			MaxOpenJobs:    mostOpen,
		},
	}, cellmanager.Dependencies{
		Clock: clock, Log: log, Store: store, Workers: workers, Advisor: advisor, Metrics: counts,
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
		Instance: i.manager.Incarnation(), Region: settings.Region, Listen: settings.MeshAddress, SameRegionHeartbeatInterval: beatEvery, CrossRegionHeartbeatInterval: beatEvery, DialUnlistedPeers: true,
	}, mesher.Dependencies{Clock: clock, Log: log, Handler: i.manager, Heartbeat: i.manager.Heartbeat, OnHeartbeat: i.manager.HandleHeartbeat, OnPeerExited: i.manager.HandlePeerExited})
	if err != nil {
		i.cleanUp()
		return nil, err
	}
	i.cleanUps = append(i.cleanUps, closeMesh)
	i.manager.SetMesh(mesh, mesh.Address())
	i.front = platform.NewCallerHandler(i.manager, log)
	if err := i.listen(counts); err != nil {
		i.cleanUp()
		return nil, err
	}
	i.manager.Start()
	log.Info("instance started", "instance", settings.Name, "run", i.manager.Incarnation(), "zone", settings.AvailabilityZone, "memory-limit", settings.MemoryLimit)
	return i, nil
}

// CallerAddress is where callers' requests arrive.
func (i *Instance) CallerAddress() netip.AddrPort { return i.callersAt }

// Kill ends the instance at once, as the end of its process would.
func (i *Instance) Kill() { i.cleanUp() }

func limitMemory(limit int64) {
	debug.SetGCPercent(collectAt)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapShare))
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
	vars.Set("open-requests", expvar.Func(func() any { return i.front.OpenRequests() }))
	vars.Set("memory", expvar.Func(func() any {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.Sys
	}))
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// The reader has gone if this fails.
		_, _ = fmt.Fprintln(w, vars.String())
	})
	var err error
	if i.callers, i.callersAt, err = i.serve(i.settings.CallerAddress, i.front); err != nil {
		return err
	}
	if _, _, err = i.serve(i.settings.ReadinessAddress, i.front.Readiness()); err != nil {
		return err
	}
	_, _, err = i.serve(i.settings.MetricsAddress, metrics)
	return err
}

func (i *Instance) serve(address netip.AddrPort, handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	web := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(i.log.Handler(), slog.LevelDebug),
	}
	i.cleanUps = append(i.cleanUps, func() { _ = web.Close() })
	go func() {
		if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error("server ended", "address", address, "error", err)
		}
	}()
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, address, &ListenError{Address: address, Err: err}
	}
	return web, bound, nil
}

// Shutdown hands over what the instance owns, goes on answering until the platform sends nothing new
// and all open requests are answered, and ends within the platform's grace.
func (i *Instance) Shutdown() {
	began := i.clock.Now()
	grace := max(i.settings.GracePeriod-leaveMargin, time.Second)
	ctx, cancel := clockwork.WithTimeout(context.Background(), i.clock, grace)
	defer cancel()
	i.front.DisableKeepAlives()
	handing, cancelHanding := clockwork.WithTimeout(ctx, i.clock, min(handOver, grace))
	defer cancelHanding()
	i.manager.ReleaseCells(handing)
	select {
	case <-i.clock.After(min(outOfRotation, grace)):
	case <-ctx.Done():
	}
	if err := i.callers.Shutdown(ctx); err != nil {
		i.log.Warn("requests cut off", "open", i.front.OpenRequests(), "error", err)
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
	i.log.Info("instance stopped", "run", i.manager.Incarnation(), "took-ms", i.clock.Since(began).Milliseconds())
}
