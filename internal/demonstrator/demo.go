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

// Options of the demo.
type Options struct {
	Seed     uint64
	Progress io.Writer
	Log      *slog.Logger
}

const (
	// length is how long callers send work; the rest of the time is for what is still open.
	length = 12 * time.Second
	// limit ends the demo, whatever is still open.
	limit = 28 * time.Second
	// leavingWait is the "few seconds" after which a leaving worker gets nothing new.
	leavingWait = 3 * time.Second
	// ticketWait is how soon an accepted ticket has to be in force everywhere.
	ticketWait = 13 * time.Second
	// tableOutage is how long the table is down in the demo.
	tableOutage = 1500 * time.Millisecond
)

// regions of the shared cell.
var regions = []string{"north", "centre", "south"}

// regionAfter returns another region than the given one.
func regionAfter(region string) string {
	for i, name := range regions {
		if name == region {
			return regions[(i+1)%len(regions)]
		}
	}
	return regions[0]
}

// demo is one run.
type demo struct {
	options Options
	cell    *cell
	ledger  *ledger
	watcher *watcher
	began   time.Time

	mu         sync.Mutex
	departures []auditor.Departure
	stops      []auditor.GracefulShutdown
	excused    map[string]bool
	raceWon    int
	failures   []string
}

// Run runs the demo to its end and returns the report.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	cell, closeCell, err := newCell(options.Seed, options.Log)
	if err != nil {
		return Report{}, err
	}
	defer closeCell()
	d := &demo{
		options: options,
		cell:    cell,
		ledger:  &ledger{},
		watcher: &watcher{cell: cell, accepted: make(map[int64]time.Time)},
		began:   cell.clock.Now(),
		excused: make(map[string]bool),
	}
	if err := d.open(ctx); err != nil {
		return Report{}, err
	}
	if err := d.work(ctx); err != nil {
		return Report{}, err
	}
	return d.report(), nil
}

func (d *demo) say(format string, args ...any) {
	elapsed := d.cell.clock.Since(d.began).Round(10 * time.Millisecond)
	// Progress is for people; a closed terminal does not stop the demo.
	_, _ = fmt.Fprintf(d.options.Progress, "%7.2fs  %s\n", elapsed.Seconds(), fmt.Sprintf(format, args...))
}

// open starts one instance a region and puts the example tickets in force. The last one is raced
// for by three operators.
func (d *demo) open(ctx context.Context) error {
	for _, region := range regions {
		instance, err := d.cell.start(region)
		if err != nil {
			return err
		}
		d.say("started entry instance %s", instance.Name())
	}
	for i, ticket := range d.cell.tickets {
		if err := d.putInForce(ctx, ticket, i == len(d.cell.tickets)-1); err != nil {
			return err
		}
	}
	last := int64(len(d.cell.tickets))
	return d.cell.eventually(ctx, func() bool { return d.inForceAndReady(ctx, last) })
}

func (d *demo) putInForce(ctx context.Context, ticket ticketer.Ticket, raced bool) error {
	if raced {
		won, err := d.cell.race(ctx, ticket, 3)
		if err != nil {
			return err
		}
		d.raceWon = won
		d.say("three operators raced with ticket %d; %d won", ticket.After+1, won)
	} else {
		status, body, err := d.cell.submit(ctx, ticket)
		if err != nil {
			return err
		}
		if status != http.StatusCreated {
			return &TicketError{Status: status, Body: string(body)}
		}
		d.say("ticket %d in force: %s", ticket.After+1, ticket.Reason)
	}
	d.watcher.accept(ticket.After + 1)
	return nil
}

// inForceAndReady tells whether all partitions have a settled owner.
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

// work runs all workloads beside the faults, and waits for what is open.
func (d *demo) work(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var background sync.WaitGroup
	background.Go(func() { d.watcher.run(watching) })
	var open sync.WaitGroup
	d.say("callers of both users begin: quotes, holds, orders, charges, surveys, runs, services")
	for i, contract := range d.cell.contracts {
		client := d.cell.client(contract.Caller, contract.HomeRegion)
		away := d.cell.client(contract.Caller, regionAfter(contract.HomeRegion))
		for j, kind := range kindsOf(contract.Team) {
			load := &workload{
				cell:     d.cell,
				ledger:   d.ledger,
				contract: contract,
				client:   client,
				kind:     kind,
				random:   rand.New(rand.NewPCG(d.options.Seed, uint64(i*100+j))),
				length:   length,
			}
			open.Go(func() {
				if err := load.run(ctx); err != nil {
					d.fail("workload %s of %s: %v", load.kind.name, load.contract.Caller, err)
				}
			})
		}
		open.Go(func() { d.tryKeys(ctx, contract, client, away) })
	}
	open.Go(func() { d.faults(ctx) })
	open.Wait()
	d.say("all callers have their answers")
	stopWatching()
	background.Wait()
	return nil
}

func (d *demo) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
}

// after waits until so long after the callers began.
func (d *demo) after(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.cell.clock.After(delay):
	}
}

// faults brings the failures about, one after the other.
func (d *demo) faults(ctx context.Context) {
	d.after(ctx, 1500*time.Millisecond)
	d.killAndReplace(ctx, "centre")
	d.after(ctx, 3*time.Second)
	d.say("three replies of the table are lost after the write took effect")
	d.cell.platform.SetFaults(simulator.Faults{LostReplies: 3})
	d.after(ctx, time.Second)
	d.say("worker association-n1-w01 begins to leave, worker footlights-s1-w01 restarts")
	d.noteWorkerFaults()
	d.cell.platform.SetFaults(simulator.Faults{
		LeavingWorkers: []string{"association-n1-w01"},
		RestartWorkers: []string{"footlights-s1-w01"},
	})
	d.after(ctx, time.Second)
	d.say("the table service is down for %s", tableOutage)
	d.cell.platform.SetFaults(simulator.Faults{TableDown: true})
	d.after(ctx, tableOutage)
	d.cell.platform.SetFaults(simulator.Faults{})
	d.say("the table service is back")
	d.after(ctx, 1500*time.Millisecond)
	d.stopAndReplace(ctx, "south")
}

func (d *demo) noteWorkerFaults() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excused["footlights-s1-w01"] = true
	d.departures = append(d.departures, auditor.Departure{Worker: "association-n1-w01", At: d.cell.clock.Now()})
}

func (d *demo) killAndReplace(ctx context.Context, region string) {
	victim := d.cell.inRegion(region)
	d.say("killing entry instance %s", victim.Name())
	d.cell.retire(victim)
	victim.Kill()
	killed := d.cell.clock.Now()
	replacement, err := d.cell.start(region)
	if err != nil {
		d.fail("replace %s: %v", victim.Name(), err)
		return
	}
	d.cell.platform.SetFaults(simulator.Faults{UnlistInstances: []string{victim.Name()}})
	d.say("the platform replaced it by %s", replacement.Name())
	if err := d.cell.eventually(ctx, func() bool { return replacement.ReadyPartitions(ctx) == 2 }); err != nil {
		d.fail("take-over in %s: %v", region, err)
		return
	}
	d.say("%s took over both partitions %s after the kill", replacement.Name(), d.cell.clock.Since(killed).Round(time.Millisecond))
}

func (d *demo) stopAndReplace(ctx context.Context, region string) {
	leaving := d.cell.inRegion(region)
	replacement, err := d.cell.start(region)
	if err != nil {
		d.fail("replace %s: %v", leaving.Name(), err)
		return
	}
	if err := d.cell.eventually(ctx, func() bool {
		return leaving.ReceivesHeartbeatsFrom(replacement.Name()) && replacement.ReceivesHeartbeatsFrom(leaving.Name())
	}); err != nil {
		d.fail("replacement %s not seen: %v", replacement.Name(), err)
		return
	}
	d.say("planned stop of %s; %s takes its place", leaving.Name(), replacement.Name())
	stop := auditor.GracefulShutdown{Instance: leaving.Name(), Began: d.cell.clock.Now()}
	stop.Err = leaving.Shutdown(ctx)
	stop.Ended = d.cell.clock.Now()
	d.cell.retire(leaving)
	d.cell.platform.SetFaults(simulator.Faults{UnlistInstances: []string{leaving.Name()}})
	d.say("%s ended after %s", leaving.Name(), stop.Ended.Sub(stop.Began).Round(time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stops = append(d.stops, stop)
}
