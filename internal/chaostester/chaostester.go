// Package chaostester plays a day on the platform's protocol in one process: a stand-in of the platform,
// real instances of the program, callers at a steady rate, and troubles at set times. It checks from
// outside what callers were told against what workers did.
//
// # Usage
//
//	plan, err := chaostester.ParsePlan("day.json", text)
//	report, err := chaostester.Run(ctx, chaostester.Options{Plan: plan, Clock: clock, Log: log, Progress: os.Stderr})
//	if !report.Passed() { … }
//
// It sends to loopback addresses only, and ends by itself: callers stop at the end of the plan, and open
// jobs are waited for during a bounded time.
package chaostester

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"dotterelpost.example/dotterelpost/internal/cellserver"
	"dotterelpost.example/dotterelpost/platform"
	"dotterelpost.example/dotterelpost/platform/standin"
)

const (
	// settleFor bounds how long open jobs are waited for after the callers have stopped.
	settleFor = 20 * time.Second
	// longestLease is the most that a worker grants, grace the time between the two signals of a stop.
	longestLease = 10 * time.Second
	grace        = 5 * time.Second
	keepStates   = 2 * time.Minute
)

// Options of a rehearsal.
type Options struct {
	Plan  *Plan
	Clock clockwork.Clock
	Log   *slog.Logger
	// Progress gets a line for each trouble.
	Progress io.Writer
}

// stage is a rehearsal under way.
type stage struct {
	Options
	platform *standin.Platform
	caller   *standin.Caller
	record   *record
	random   *rand.Rand

	mu        sync.Mutex
	instances []*seat
}

// seat is a machine that an instance runs on, or nil while it is down.
type seat struct {
	name     string
	instance *cellserver.Instance
}

// Run plays a plan.
func Run(ctx context.Context, options Options) (*Report, error) {
	plan := options.Plan
	s := &stage{Options: options, record: newRecord(options.Clock), random: rand.New(rand.NewPCG(plan.Seed, 1))}
	s.platform = standin.New(standin.Settings{
		Workers: plan.Workers, Processors: int64(plan.Processors), TaskDuration: time.Duration(plan.TaskDuration), Clock: options.Clock, TaskProcessors: s.record.needs,
	})
	defer s.platform.Close()
	if err := s.platform.PutQueues(1, plan.queues()); err != nil {
		return nil, err
	}
	var closeCaller func()
	s.caller, closeCaller = standin.NewCaller()
	defer closeCaller()
	defer s.endAll()
	for i := range plan.Instances {
		seat := &seat{name: fmt.Sprintf("instance-%d", i+1)}
		s.instances = append(s.instances, seat)
		if err := s.start(seat); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	began := options.Clock.Now()
	var group sync.WaitGroup
	playing, stop := clockwork.WithTimeout(ctx, options.Clock, time.Duration(plan.LoadDuration))
	defer stop()
	for i := range plan.Queues {
		group.Go(func() { s.callers(playing, &plan.Queues[i], uint64(i)) })
	}
	for _, trouble := range plan.Faults {
		group.Go(func() { s.trouble(playing, trouble) })
	}
	group.Wait()
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	return s.record.report(s.platform.ExecutionLog(), options.Clock.Since(began)), ctx.Err()
}

func (s *stage) start(seat *seat) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	instance, err := cellserver.Start(platform.Settings{
		Name: seat.name, AvailabilityZone: "zone", Region: "region", IP: loopback.Addr(), MeshAddress: loopback, MetricsAddress: loopback,
		CallerAddress: loopback, ReadinessAddress: loopback, StoreAddress: s.platform.Store(), AdvisorAddress: s.platform.Advisor(),
		MaxLease: longestLease, GracePeriod: grace, StateRetention: keepStates,
	}, s.Clock, s.Log.With("instance", seat.name))
	if err != nil {
		return errors.Wrap(err, "start "+seat.name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seat.instance = instance
	return nil
}

func (s *stage) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seat := range s.instances {
		if seat.instance != nil {
			seat.instance.Kill()
			seat.instance = nil
		}
	}
}

// anyInstance returns an instance that runs. It reports false if none does.
func (s *stage) anyInstance(random *rand.Rand) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up []netip.AddrPort
	for _, seat := range s.instances {
		if seat.instance != nil {
			up = append(up, seat.instance.CallerAddress())
		}
	}
	if len(up) == 0 {
		return netip.AddrPort{}, false
	}
	return up[random.IntN(len(up))], true
}

// readyPause is the pause between two looks whether an instance serves.
const readyPause = 20 * time.Millisecond

// awaitReady waits until an instance knows the queues and their owner.
func (s *stage) awaitReady(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, settleFor)
	defer cancel()
	for {
		at, _ := s.anyInstance(s.random)
		if _, answer := s.caller.State(ctx, at, s.Plan.Queues[0].Name, jobID(0, 0)); answer == standin.NoSuchJob {
			return nil
		}
		if !s.pause(ctx, readyPause) {
			return &NotReadyError{}
		}
	}
}

// NotReadyError tells that no instance served in time.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "no instance served within " + settleFor.String() }

// pause waits. It reports false when the context ended first.
func (s *stage) pause(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(pause):
		return true
	}
}

// trouble plays a trouble as often as the plan says.
func (s *stage) trouble(ctx context.Context, trouble Fault) {
	wait := time.Duration(trouble.At)
	for range max(1, trouble.Count) {
		if !s.pause(ctx, wait) {
			return
		}
		wait = time.Duration(trouble.Interval)
		fmt.Fprintf(s.Progress, "%s for %s\n", trouble.Kind, time.Duration(trouble.Duration))
		over := s.begin(trouble.Kind)
		// A trouble ends also when the plan does.
		s.pause(ctx, time.Duration(trouble.Duration))
		over()
	}
}

// begin lets a trouble begin and returns what ends it.
func (s *stage) begin(kind FaultKind) (over func()) {
	switch kind {
	case KillOwner, ShutDownOwner:
		return s.endOwner(kind == ShutDownOwner)
	case KillAllInstances:
		return s.killAll()
	case StoreUnavailable:
		return s.storeFault(standin.Unavailable)
	case StoreUnresponsive:
		return s.storeFault(standin.Unresponsive)
	case StoreSlow:
		return s.storeFault(standin.Slow)
	case StoreRepliesLost:
		return s.storeFault(standin.RepliesLost)
	case CompactHistory:
		s.platform.CompactHistory()
	case RestartWorker:
		s.worker().Restart()
	case DropWorkerReplies:
		worker := s.worker()
		worker.DropReplies(true)
		return func() { worker.DropReplies(false) }
	}
	return func() {}
}

func (s *stage) worker() *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := s.platform.Workers()
	return workers[s.random.IntN(len(workers))]
}

func (s *stage) storeFault(fault standin.StoreFault) func() {
	s.platform.SetStoreFault(fault)
	return func() { s.platform.SetStoreFault(standin.NoFault) }
}

// endOwner ends the instance that owns the cell.
func (s *stage) endOwner(planned bool) (over func()) {
	owner, fence, err := s.platform.Owner()
	if err != nil {
		s.Log.Error("owner not known", "error", err)
		return func() {}
	}
	s.mu.Lock()
	var ended *seat
	for _, seat := range s.instances {
		if seat.instance != nil && strings.HasPrefix(owner, seat.name+"@") {
			ended = seat
		}
	}
	if ended == nil {
		s.mu.Unlock()
		return func() {}
	}
	instance := ended.instance
	ended.instance = nil
	s.mu.Unlock()
	s.record.ownerEnded(fence, planned)
	if planned {
		instance.Shutdown()
	} else {
		instance.Kill()
	}
	return func() { s.startAgain(ended) }
}

func (s *stage) startAgain(seat *seat) {
	if err := s.start(seat); err != nil {
		s.record.failed(err)
	}
}

func (s *stage) killAll() (over func()) {
	s.endAll()
	return func() {
		for _, seat := range s.instances {
			s.startAgain(seat)
		}
	}
}
