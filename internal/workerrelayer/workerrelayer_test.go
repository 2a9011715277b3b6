package workerrelayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/internal/workerrelayer"
)

// recordingWorkers records the orders that it gets and answers all of them alike.
type recordingWorkers struct {
	orders  []any
	to      []workerdriver.Worker
	listing workerdriver.SyncReply
	err     error
}

func (r *recordingWorkers) record(to *workerdriver.Worker, order any) {
	r.to, r.orders = append(r.to, *to), append(r.orders, order)
}

func (r *recordingWorkers) Start(_ context.Context, to *workerdriver.Worker, order *workerdriver.Start) (workerdriver.ReplyHeader, error) {
	r.record(to, *order)
	return r.listing.ReplyHeader, r.err
}

func (r *recordingWorkers) Stop(_ context.Context, to *workerdriver.Worker, order workerdriver.Stop) (workerdriver.ReplyHeader, error) {
	r.record(to, order)
	return r.listing.ReplyHeader, r.err
}

func (r *recordingWorkers) Sync(_ context.Context, to *workerdriver.Worker, order workerdriver.Sync) (workerdriver.SyncReply, error) {
	r.record(to, order)
	return r.listing, r.err
}

func (r *recordingWorkers) Throttle(_ context.Context, to *workerdriver.Worker, order workerdriver.Throttle) error {
	r.record(to, order)
	return r.err
}

// oneRelay selects one relay for all workers and records its failures.
type oneRelay struct {
	relay    string
	failures int
}

func (o *oneRelay) Relay(*workerdriver.Worker) string { return o.relay }
func (o *oneRelay) RecordFailure(string)              { o.failures++ }

var (
	worker = workerdriver.Worker{
		Incarnation: steptracker.Incarnation{Worker: "w", StartMillis: 5}, Address: netip.MustParseAddrPort("10.0.0.1:80"), AvailabilityZone: "a",
	}
	task  = steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2}, Index: 3}
	start = workerdriver.Start{Task: task, Run: 2, Payload: "text", Checkpoint: "0b", PlacementToken: "t", LeaseExpiry: 7, FencingToken: 9}
)

// newClient returns a client whose relay sends the orders to remote, and whose direct orders go to
// direct. callErr is the result of every call of the relay if it is set.
func newClient(direct, remote *recordingWorkers, relays *oneRelay, callErr error) *workerrelayer.Client {
	return workerrelayer.New(workerrelayer.Dependencies{Direct: direct, Relays: relays, CallPeer: func(ctx context.Context, _ string, request []byte) ([]byte, error) {
		if callErr != nil {
			return nil, callErr
		}
		return workerrelayer.Serve(ctx, remote, request)
	}})
}

func TestOrdersAndRepliesPassUnchanged(t *testing.T) {
	direct, remote := &recordingWorkers{}, &recordingWorkers{listing: workerdriver.SyncReply{
		ReplyHeader: workerdriver.ReplyHeader{Clock: 11, StartMillis: 5, Copies: 2},
		Running:     []workerdriver.RunningTask{{Task: task, Run: 2, Checkpoint: "0c", ProgressPercent: 40, Metric: 3}},
		Ended:       []workerdriver.EndedTask{{Sequence: 4, Task: task, Run: 1, Reason: steptracker.Done, Checkpoint: "0a"}},
		AllEnds:     true,
	}}
	client := newClient(direct, remote, &oneRelay{relay: "r"}, nil)
	stop := workerdriver.Stop{Task: task, Run: 2, FencingToken: 9}
	sync := workerdriver.Sync{LeaseExpiry: 7, FencingToken: 9, AckedSequence: 3, MaxWait: 5}
	throttle := workerdriver.Throttle{Task: task, Run: 2, Percent: 30, FencingToken: 9}
	header, err := client.Start(t.Context(), &worker, &start)
	relayed := remote.listing.ReplyHeader
	relayed.Relay = "r"
	if err != nil || header != relayed {
		t.Errorf("start: %+v, %v", header, err)
	}
	if header, err := client.Stop(t.Context(), &worker, stop); err != nil || header != remote.listing.ReplyHeader {
		t.Errorf("stop: %+v, %v", header, err)
	}
	if listing, err := client.Sync(t.Context(), &worker, sync); err != nil || !reflect.DeepEqual(listing, remote.listing) {
		t.Errorf("sync: %+v, %v", listing, err)
	}
	if err := client.Throttle(t.Context(), &worker, throttle); err != nil {
		t.Errorf("throttle: %v", err)
	}
	if want := []any{start, stop, sync, throttle}; !reflect.DeepEqual(remote.orders, want) || len(direct.orders) > 0 {
		t.Errorf("the worker got %+v, want %+v; %d direct orders", remote.orders, want, len(direct.orders))
	}
	for _, to := range remote.to {
		if to.Worker != worker.Worker || to.Address != worker.Address {
			t.Errorf("an order went to %+v", to)
		}
	}
}

// TestFailuresKeepTheirMeaning checks that a refusal stays a refusal, that an order is in doubt if the
// relay or the worker does not reply, and that an order that the relay certainly did not get is sent
// directly.
func TestFailuresKeepTheirMeaning(t *testing.T) {
	refusal := &workerdriver.RefusedError{Worker: "w", Reason: workerdriver.StaleFencingToken, Status: 409}
	for name, test := range map[string]struct {
		workerErr, callErr       error
		refused                  workerdriver.Reason
		inDoubt, neverSent       bool
		directOrders, relayFails int
		reply                    string
	}{
		"refused by the worker":      {workerErr: refusal, refused: workerdriver.StaleFencingToken},
		"worker does not reply":      {workerErr: &workerdriver.InDoubtError{Worker: "w", Err: context.DeadlineExceeded}, inDoubt: true},
		"worker cannot be reached":   {workerErr: &workerdriver.InDoubtError{Worker: "w", NeverSent: true, Err: context.DeadlineExceeded}, inDoubt: true, neverSent: true},
		"relay does not reply":       {callErr: &mesher.LinkError{Instance: "r", Err: context.DeadlineExceeded}, inDoubt: true, relayFails: 1},
		"relay's connection breaks":  {callErr: &mesher.LinkError{Instance: "r", Err: &mesher.ConnectionClosedError{}}, inDoubt: true, relayFails: 1},
		"relay is not connected":     {callErr: &mesher.LinkError{Instance: "r", Err: &mesher.NotConnectedError{}}, directOrders: 1, relayFails: 1},
		"relay answers with garbage": {reply: "{", inDoubt: true},
	} {
		t.Run(name, func(t *testing.T) {
			direct, relays := &recordingWorkers{}, &oneRelay{relay: "r"}
			client := newClient(direct, &recordingWorkers{err: test.workerErr}, relays, test.callErr)
			if test.reply != "" {
				client.CallPeer = func(context.Context, string, []byte) ([]byte, error) { return []byte(test.reply), nil }
			}
			header, err := client.Start(t.Context(), &worker, &start)
			if direct := header.Relay == ""; direct != (test.directOrders > 0) {
				t.Errorf("the order went through %q, want directly %t", header.Relay, test.directOrders > 0)
			}
			var refused *workerdriver.RefusedError
			var inDoubt *workerdriver.InDoubtError
			if isRefused := errors.As(err, &refused); isRefused != (test.refused != "") || isRefused && (refused.Reason != test.refused || refused.Status != refusal.Status) {
				t.Errorf("got %v, want a refusal for %q", err, test.refused)
			}
			if isInDoubt := errors.As(err, &inDoubt); isInDoubt != test.inDoubt || isInDoubt && inDoubt.NeverSent != test.neverSent {
				t.Errorf("got %v, want in doubt %t, never sent %t", err, test.inDoubt, test.neverSent)
			}
			if len(direct.orders) != test.directOrders || relays.failures != test.relayFails {
				t.Errorf("%d direct orders and %d failures of the relay, want %d and %d", len(direct.orders), relays.failures, test.directOrders, test.relayFails)
			}
		})
	}
}

// TestStoppedOwnerBlamesNoRelay: when an owner stops, all of its calls end at once. That must not count
// as a failure of the relays, which would be selected anew for each of a thousand calls.
func TestStoppedOwnerBlamesNoRelay(t *testing.T) {
	relays := &oneRelay{relay: "r"}
	ctx, cancel := context.WithCancel(t.Context())
	client := workerrelayer.New(workerrelayer.Dependencies{Direct: &recordingWorkers{}, Relays: relays, CallPeer: func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		cancel()
		<-ctx.Done()
		return nil, &mesher.LinkError{Instance: "r", Err: ctx.Err()}
	}})
	var inDoubt *workerdriver.InDoubtError
	if _, err := client.Start(ctx, &worker, &start); !errors.As(err, &inDoubt) || relays.failures != 0 {
		t.Errorf("got %v and %d failures of the relay, want in doubt and none", err, relays.failures)
	}
}

func TestServeRejectsBadRequests(t *testing.T) {
	workers := &recordingWorkers{}
	for _, request := range []string{"", "{", `{"worker":"w"}`, `{"start":7}`} {
		if reply, err := workerrelayer.Serve(t.Context(), workers, []byte(request)); err == nil || len(workers.orders) > 0 {
			t.Errorf("%q: reply %s, error %v, %d orders", request, reply, err, len(workers.orders))
		}
	}
}

// TestRelaysAreUsedWhereAnOwnerIsTooSmall replays the loads of the deployments: their workers and the
// processors of the machine that owns them.
func TestRelaysAreUsedWhereAnOwnerIsTooSmall(t *testing.T) {
	for name, test := range map[string]struct {
		workers    int
		processors modeler.Processors
		want       bool
	}{
		"48 workers, 0.4 core":   {48, 400, false},
		"350 workers, 0.8 core":  {350, 800, true},
		"1100 workers, 0.8 core": {1100, 800, true},
		"120 workers, 0.12 core": {120, 120, true},
		"size not known":         {1, 0, true},
		"no workers":             {0, 400, false},
	} {
		if got := workerrelayer.Needed(test.workers, test.processors); got != test.want {
			t.Errorf("%s: relays needed %t", name, got)
		}
	}
}

func TestRelayTable(t *testing.T) {
	var instances []workerrelayer.Instance
	for i := range 6 {
		instances = append(instances, workerrelayer.Instance{Name: fmt.Sprintf("a%d", i), AvailabilityZone: "a", Processors: modeler.Processors(100 + i/4*300)})
	}
	instances = append(instances, workerrelayer.Instance{Name: "b0", AvailabilityZone: "b"})
	workers := map[string]int{"a": 250, "b": 200, "c": 10}
	table := workerrelayer.NewTable(instances, workers)
	if len(table["a"]) != 3 || len(table["b"]) != 1 || table.Relay("c", "w") != "" {
		t.Errorf("%d relays for 250 workers, want 3; %d of one instance; %q in a zone without instances", len(table["a"]), len(table["b"]), table.Relay("c", "w"))
	}
	if table["a"][0] != "a4" && table["a"][0] != "a5" {
		t.Errorf("the first relay is %s, want one of the two larger machines", table["a"][0])
	}
	load := make(map[string]int)
	relays := make(map[string]string)
	for i := range 100 {
		name := fmt.Sprintf("w%d", i)
		relays[name] = table.Relay("a", name)
		load[relays[name]]++
	}
	for relay, count := range load {
		if count < 20 || count > 50 {
			t.Errorf("relay %s has %d of 100 workers", relay, count)
		}
	}
	// Without one of the relays, the workers of the others keep theirs.
	removed := table["a"][0]
	rest := instances[:0:0]
	for _, instance := range instances {
		if instance.Name != removed {
			rest = append(rest, instance)
		}
	}
	smaller := workerrelayer.NewTable(rest, workers)
	moved := 0
	for name, relay := range relays {
		now := smaller.Relay("a", name)
		if now == removed {
			t.Errorf("worker %s has the removed relay", name)
		}
		if relay != removed && now != relay {
			moved++
		}
	}
	// The added relay takes its share of the workers.
	if moved > 40 {
		t.Errorf("%d workers of the remaining relays moved, want at most 40", moved)
	}
}
