package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dotterelpost.example/dotterelpost/internal/auditor"
	"dotterelpost.example/dotterelpost/internal/simulator"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

// Options configure the demo.
type Options struct {
	Seed     uint64
	Progress io.Writer
	Log      *slog.Logger
}

const (
	// loadDuration is how long callers send requests; the rest of the run waits for open requests.
	loadDuration = 12 * time.Second
	// demoTimeout ends the demo even if requests are still open.
	demoTimeout = 28 * time.Second
	// departureTimeout is the time after which a leaving worker must not start new tasks: the "few
	// seconds" of the guarantee.
	departureTimeout = 3 * time.Second
	// ticketTimeout is the time within which an accepted ticket must be in force on every instance.
	ticketTimeout = 13 * time.Second
	// tableOutage is how long the table service is down in the demo.
	tableOutage = 1500 * time.Millisecond
)

// regions are the regions of the cell.
var regions = []string{"north", "centre", "south"}

// nextRegion returns a region that differs from the given one.
func nextRegion(region string) string {
	for i, name := range regions {
		if name == region {
			return regions[(i+1)%len(regions)]
		}
	}
	return regions[0]
}

// demo is one run of the demo.
type demo struct {
	options   Options
	cell      *cell
	calls     *callLog
	observer  *ticketObserver
	startedAt time.Time

	mu                  sync.Mutex
	departures          []auditor.Departure
	shutdowns           []auditor.GracefulShutdown
	restartedWorkers    map[string]bool
	acceptedSubmissions int
	failures            []string
}

// Run runs the demo to its end and returns the report.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	cell, closeCell, err := newCell(options.Seed, options.Log)
	if err != nil {
		return Report{}, err
	}
	defer closeCell()
	d := &demo{
		options:          options,
		cell:             cell,
		calls:            &callLog{},
		observer:         &ticketObserver{cell: cell, acceptedAt: make(map[int64]time.Time)},
		startedAt:        cell.clock.Now(),
		restartedWorkers: make(map[string]bool),
	}
	if err := d.startCell(ctx); err != nil {
		return Report{}, err
	}
	if err := d.runWorkloads(ctx); err != nil {
		return Report{}, err
	}
	return d.report(), nil
}

func (d *demo) logProgress(format string, args ...any) {
	elapsed := d.cell.clock.Since(d.startedAt).Round(10 * time.Millisecond)
	// Progress is informational only: a write error, such as from a closed terminal, is ignored.
	_, _ = fmt.Fprintf(d.options.Progress, "%7.2fs  %s\n", elapsed.Seconds(), fmt.Sprintf(format, args...))
}

// startCell starts one instance in each region and puts the example tickets in force. Three operators
// submit the last ticket concurrently.
func (d *demo) startCell(ctx context.Context) error {
	for _, region := range regions {
		instance, err := d.cell.start(region)
		if err != nil {
			return err
		}
		d.logProgress("started instance %s", instance.Name())
	}
	for i, ticket := range d.cell.tickets {
		if err := d.applyTicket(ctx, ticket, i == len(d.cell.tickets)-1); err != nil {
			return err
		}
	}
	last := int64(len(d.cell.tickets))
	return d.cell.eventually(ctx, func() bool { return d.inForceAndReady(ctx, last) })
}

func (d *demo) applyTicket(ctx context.Context, ticket ticketer.Ticket, concurrent bool) error {
	if concurrent {
		accepted, err := d.cell.submitConcurrently(ctx, ticket, 3)
		if err != nil {
			return err
		}
		d.acceptedSubmissions = accepted
		d.logProgress("three operators submitted ticket %d concurrently; %d accepted", ticket.After+1, accepted)
	} else {
		status, body, err := d.cell.submit(ctx, ticket)
		if err != nil {
			return err
		}
		if status != http.StatusCreated {
			return &TicketError{Status: status, Body: string(body)}
		}
		d.logProgress("ticket %d in force: %s", ticket.After+1, ticket.Reason)
	}
	d.observer.recordAccepted(ticket.After + 1)
	return nil
}

// inForceAndReady reports whether all instances have the ticket in force and all partitions are ready.
func (d *demo) inForceAndReady(ctx context.Context, number int64) bool {
	ready := 0
	for _, instance := range d.cell.running() {
		if instance.TicketNumber() < number {
			return false
		}
		ready += instance.ReadyPartitions(ctx)
	}
	return ready == len(d.cell.tickets[0].Partitions)
}

// runWorkloads runs all workloads while faults are injected, and waits for all answers.
func (d *demo) runWorkloads(ctx context.Context) error {
	observerCtx, stopObserver := context.WithCancel(ctx)
	defer stopObserver()
	var background sync.WaitGroup
	background.Go(func() { d.observer.run(observerCtx) })
	var workloads sync.WaitGroup
	d.logProgress("callers of both teams start sending: quotes, holds, orders, charges, surveys, runs, services")
	for i, contract := range d.cell.contracts {
		client := d.cell.client(contract.Caller, contract.HomeRegion)
		remote := d.cell.client(contract.Caller, nextRegion(contract.HomeRegion))
		for j, spec := range workloadsOf(contract.Team) {
			load := &workload{
				cell:     d.cell,
				calls:    d.calls,
				contract: contract,
				client:   client,
				spec:     spec,
				random:   rand.New(rand.NewPCG(d.options.Seed, uint64(i*100+j))),
				duration: loadDuration,
			}
			workloads.Go(func() {
				if err := load.run(ctx); err != nil {
					d.recordFailure("workload %s of %s: %v", load.spec.name, load.contract.Caller, err)
				}
			})
		}
		workloads.Go(func() { d.checkKeyHandling(ctx, contract, client, remote) })
	}
	workloads.Go(func() { d.injectFaults(ctx) })
	workloads.Wait()
	d.logProgress("all callers have received their answers")
	stopObserver()
	background.Wait()
	return nil
}

func (d *demo) recordFailure(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
}

// sleep waits for the given time or until the context ends.
func (d *demo) sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.cell.clock.After(delay):
	}
}

// injectFaults injects the faults one after the other.
func (d *demo) injectFaults(ctx context.Context) {
	d.sleep(ctx, 1500*time.Millisecond)
	d.killAndReplaceInstance(ctx, "centre")
	d.sleep(ctx, 3*time.Second)
	d.logProgress("the next three replies of the table service are lost after their writes took effect")
	d.cell.platform.SetFaults(simulator.Faults{LostReplies: 3})
	d.sleep(ctx, time.Second)
	d.logProgress("worker association-n1-w01 begins to leave, worker footlights-s1-w01 restarts")
	d.recordWorkerFaults()
	d.cell.platform.SetFaults(simulator.Faults{
		LeavingWorkers: []string{"association-n1-w01"},
		RestartWorkers: []string{"footlights-s1-w01"},
	})
	d.sleep(ctx, time.Second)
	d.logProgress("the table service is down for %s", tableOutage)
	d.cell.platform.SetFaults(simulator.Faults{TableDown: true})
	d.sleep(ctx, tableOutage)
	d.cell.platform.SetFaults(simulator.Faults{})
	d.logProgress("the table service is back")
	d.sleep(ctx, 1500*time.Millisecond)
	d.shutDownAndReplaceInstance(ctx, "south")
}

func (d *demo) recordWorkerFaults() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartedWorkers["footlights-s1-w01"] = true
	d.departures = append(d.departures, auditor.Departure{Worker: "association-n1-w01", At: d.cell.clock.Now()})
}

func (d *demo) killAndReplaceInstance(ctx context.Context, region string) {
	killed := d.cell.instanceIn(region)
	d.logProgress("killing instance %s", killed.Name())
	d.cell.removeInstance(killed)
	killed.Kill()
	killedAt := d.cell.clock.Now()
	replacement, err := d.cell.start(region)
	if err != nil {
		d.recordFailure("replace %s: %v", killed.Name(), err)
		return
	}
	d.cell.platform.SetFaults(simulator.Faults{UnlistInstances: []string{killed.Name()}})
	d.logProgress("the platform replaced it with %s", replacement.Name())
	if err := d.cell.eventually(ctx, func() bool { return replacement.ReadyPartitions(ctx) == 2 }); err != nil {
		d.recordFailure("wait for take-over in region %s: %v", region, err)
		return
	}
	d.logProgress("%s took over both partitions %s after the kill", replacement.Name(), d.cell.clock.Since(killedAt).Round(time.Millisecond))
}

func (d *demo) shutDownAndReplaceInstance(ctx context.Context, region string) {
	leaving := d.cell.instanceIn(region)
	replacement, err := d.cell.start(region)
	if err != nil {
		d.recordFailure("replace %s: %v", leaving.Name(), err)
		return
	}
	if err := d.cell.eventually(ctx, func() bool {
		return leaving.ReceivesHeartbeatsFrom(replacement.Name()) && replacement.ReceivesHeartbeatsFrom(leaving.Name())
	}); err != nil {
		d.recordFailure("wait for heartbeats of replacement %s: %v", replacement.Name(), err)
		return
	}
	d.logProgress("graceful shutdown of %s; %s replaces it", leaving.Name(), replacement.Name())
	shutdown := auditor.GracefulShutdown{Instance: leaving.Name(), Began: d.cell.clock.Now()}
	shutdown.Err = leaving.Shutdown(ctx)
	shutdown.Ended = d.cell.clock.Now()
	d.cell.removeInstance(leaving)
	d.cell.platform.SetFaults(simulator.Faults{UnlistInstances: []string{leaving.Name()}})
	d.logProgress("%s shut down after %s", leaving.Name(), shutdown.Ended.Sub(shutdown.Began).Round(time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdowns = append(d.shutdowns, shutdown)
}
