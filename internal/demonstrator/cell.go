package demonstrator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/examples"
	"dotterelpost.example/dotterelpost/internal/balancer"
	"dotterelpost.example/dotterelpost/internal/configurer"
	"dotterelpost.example/dotterelpost/internal/metricsrecorder"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionserver"
	"dotterelpost.example/dotterelpost/internal/simulator"
	"dotterelpost.example/dotterelpost/internal/ticketer"
	"dotterelpost.example/dotterelpost/pkg/caller"
)

const (
	// partitionLease and taskLease are shorter than the defaults, so that a take-over completes within
	// the demo.
	partitionLease = 2 * time.Second
	taskLease      = 8 * time.Second
	meshToken      = "demo-mesh-token-of-the-demo"
	operatorToken  = "demo-operator-token-of-the-demo"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// cell holds the simulated platform, the instances and the balancers of the demo.
type cell struct {
	clock     clockwork.Clock
	log       *slog.Logger
	seed      uint64
	platform  *simulator.Platform
	address   netip.AddrPort
	balancers map[string]netip.AddrPort
	callers   map[string]string

	tickets   []ticketer.Ticket
	contracts []ticketer.Contract

	mu               sync.Mutex
	instances        map[string]*partitionserver.Server
	pastUsage        []usage
	startedInstances int
	closers          []func()
}

// usage holds the control-plane counters and the waiting times of an instance.
type usage struct {
	table            partitionserver.TableCounts
	sameRegionBytes  int64
	crossRegionBytes int64
	waits            []metricsrecorder.WaitStats
}

func newCell(seed uint64, log *slog.Logger) (*cell, func(), error) {
	c := &cell{
		clock:     clockwork.NewRealClock(),
		log:       log,
		seed:      seed,
		callers:   make(map[string]string),
		balancers: make(map[string]netip.AddrPort),
		instances: make(map[string]*partitionserver.Server),
	}
	for _, step := range []func() error{c.readTickets, c.startPlatform, c.startBalancers} {
		if err := step(); err != nil {
			c.close()
			return nil, nil, err
		}
	}
	return c, c.close, nil
}

func (c *cell) close() {
	for _, instance := range c.running() {
		instance.Kill()
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

func (c *cell) startPlatform() error {
	text, err := examples.Files.ReadFile("cell/platform.json")
	if err != nil {
		return errors.Wrap(err, "read example platform settings")
	}
	settings, faults := configurer.ParsePlatform("examples/cell/platform.json", text)
	if len(faults) > 0 {
		return faults
	}
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return errors.Wrap(err, "listen for the simulated platform")
	}
	c.address, err = netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Wrap(err, "parse address of the simulated platform")
	}
	c.platform = simulator.New(simulator.Settings{
		WritesPerSecond: settings.WritesPerSecond,
		ReadsPerSecond:  settings.ReadsPerSecond,
		ListLag:         settings.ListLag,
		FenceMode:       simulator.FenceMode(settings.FenceMode),
		Workers:         settings.WorkersAt(c.address),
	}, c.clock)
	server := &http.Server{Handler: c.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return nil
}

// start starts an instance in the given region.
func (c *cell) start(region string) (*partitionserver.Server, error) {
	c.mu.Lock()
	c.startedInstances++
	number := c.startedInstances
	c.mu.Unlock()
	settings := configurer.NewInstance()
	settings.Name = fmt.Sprintf("%s-%d", region, number)
	settings.Region = region
	settings.AvailabilityZone = region + "-a"
	settings.Listen = configurer.Listen{Callers: loopback, Operators: loopback, Mesh: loopback}
	settings.Platform = c.address
	settings.PartitionLease = modeler.Duration(partitionLease)
	settings.TaskLease = modeler.Duration(taskLease)
	settings.Seed = c.seed
	instance, err := partitionserver.Start(partitionserver.Options{
		Settings: settings,
		Secrets: configurer.Secrets{
			Callers:   c.callers,
			Operators: map[string]string{"demo": operatorToken},
			Mesh:      meshToken,
		},
		Clock: c.clock,
		Log:   c.log,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start "+settings.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[instance.Name()] = instance
	return instance, nil
}

// removeInstance removes an instance from the running instances and keeps its counters for the report.
func (c *cell) removeInstance(instance *partitionserver.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, instance.Name())
	c.pastUsage = append(c.pastUsage, usageOf(instance))
}

func usageOf(instance *partitionserver.Server) usage {
	mesh := instance.MeshCounts()
	return usage{
		table:            instance.TableCounts(),
		sameRegionBytes:  mesh.SameRegionBytes,
		crossRegionBytes: mesh.CrossRegionBytes,
		waits:            instance.PlacementWaits(),
	}
}

func (c *cell) running() []*partitionserver.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*partitionserver.Server, 0, len(c.instances))
	for _, instance := range c.instances {
		list = append(list, instance)
	}
	return list
}

func (c *cell) instanceIn(region string) *partitionserver.Server {
	for _, instance := range c.running() {
		if instance.Describe().Region == region {
			return instance
		}
	}
	return nil
}

// startBalancers starts the platform's balancer in each region.
func (c *cell) startBalancers() error {
	for _, region := range regions {
		targets := func() []netip.AddrPort { return c.targets(region) }
		proxy, closeBalancer, err := balancer.New(loopback, targets)
		if err != nil {
			return err
		}
		c.closers = append(c.closers, closeBalancer)
		if c.balancers[region], err = proxy.Address(); err != nil {
			return err
		}
	}
	return nil
}

// targets returns the addresses at which the instances of a region that are not leaving serve
// callers, or those of the other regions if there are none.
func (c *cell) targets(region string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, instance := range c.running() {
		described := instance.Describe()
		switch {
		case described.Leaving:
		case described.Region == region:
			local = append(local, instance.Addresses().Callers)
		default:
			remote = append(remote, instance.Addresses().Callers)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// client returns a client that calls through the balancer of a region.
func (c *cell) client(name, region string) *caller.Client {
	client, closeClient := caller.New(caller.Settings{
		Endpoints: []netip.AddrPort{c.balancers[region]},
		Token:     c.callers[name],
		Clock:     c.clock,
	})
	c.closers = append(c.closers, closeClient)
	return client
}

// readTickets parses the example tickets and gives each caller of their contracts a token.
func (c *cell) readTickets() error {
	for _, file := range []string{"cell/ticket.json", "association/ticket.json", "footlights/ticket.json"} {
		text, err := examples.Files.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read example ticket")
		}
		ticket, faults := ticketer.Parse("examples/"+file, text)
		if len(faults) > 0 {
			return faults
		}
		for _, contract := range ticket.Contracts {
			c.callers[contract.Caller] = "demo-token-of-" + contract.Caller
		}
		c.contracts = append(c.contracts, ticket.Contracts...)
		c.tickets = append(c.tickets, ticket)
	}
	return nil
}

// eventually polls a condition until it holds or the context ends.
func (c *cell) eventually(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a condition")
		case <-c.clock.After(20 * time.Millisecond):
		}
	}
	return nil
}
