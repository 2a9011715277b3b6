// Package chaostester runs a fault-injection test under load in one process: a stand-in for the
// external platform, real instances of the scheduler, callers that submit jobs at a constant average
// rate, and faults at the times that a plan sets. It compares the answers that callers received with
// what the workers executed.
//
// # Usage
//
//	plan, err := chaostester.ParsePlan("day.json", text)
//	options := chaostester.Options{Plan: plan, Clock: clock, Log: log, Progress: os.Stderr}
//	report, err := chaostester.Run(ctx, options)
//	if !report.Passed() { … }
//
// It sends to loopback addresses only. Its run time is bounded: callers stop after the load duration of
// the plan, and the wait for open jobs has a timeout.
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
	// settleTimeout bounds the wait for instances to serve, and for open jobs after the callers have
	// stopped.
	settleTimeout = 20 * time.Second
	// maxLease is the longest lease that a worker grants; gracePeriod is the time between the two
	// signals that stop a task.
	maxLease    = 10 * time.Second
	gracePeriod = 5 * time.Second
	// stateRetention is how long instances retain the final state of a job.
	stateRetention = 2 * time.Minute
)

// Options configure a test run.
type Options struct {
	Plan  *Plan
	Clock clockwork.Clock
	Log   *slog.Logger
	// Progress receives a line for each fault that is injected.
	Progress io.Writer
}

// scenario is a test run in progress.
type scenario struct {
	Options
	platform *standin.Platform
	caller   *standin.Caller
	recorder *recorder
	random   *rand.Rand

	mu    sync.Mutex
	hosts []*host
}

// host is a machine that runs an instance. The instance is nil while it is down.
type host struct {
	name     string
	instance *cellserver.Instance
}

// Run executes a plan and returns the report on it.
func Run(ctx context.Context, options Options) (*Report, error) {
	plan := options.Plan
	s := &scenario{Options: options, recorder: newRecorder(options.Clock), random: rand.New(rand.NewPCG(plan.Seed, 1))}
	s.platform = standin.New(standin.Settings{
		Workers: plan.Workers, Processors: int64(plan.Processors), TaskDuration: time.Duration(plan.TaskDuration), Clock: options.Clock, TaskProcessors: s.recorder.taskProcessors, CrashesWorker: s.recorder.crashesWorker,
	})
	defer s.platform.Close()
	if err := s.platform.PutQueues(1, plan.queues()); err != nil {
		return nil, err
	}
	var closeCaller func()
	s.caller, closeCaller = standin.NewCaller()
	defer closeCaller()
	defer s.killInstances()
	for i := range plan.Instances {
		host := &host{name: fmt.Sprintf("instance-%d", i+1)}
		s.hosts = append(s.hosts, host)
		if err := s.start(host); err != nil {
			return nil, err
		}
	}
	if err := s.awaitServing(ctx); err != nil {
		return nil, err
	}
	began := options.Clock.Now()
	var group sync.WaitGroup
	loadCtx, cancel := clockwork.WithTimeout(ctx, options.Clock, time.Duration(plan.LoadDuration))
	defer cancel()
	for i := range plan.Queues {
		group.Go(func() { s.generateLoad(loadCtx, &plan.Queues[i], uint64(i)) })
	}
	for _, fault := range plan.Faults {
		group.Go(func() { s.injectFault(loadCtx, fault) })
	}
	group.Wait()
	if err := s.awaitOpenJobs(ctx); err != nil {
		return nil, err
	}
	return s.recorder.report(s.platform.ExecutionLog(), options.Clock.Since(began)), ctx.Err()
}

func (s *scenario) start(host *host) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	instance, err := cellserver.Start(platform.Settings{
		Name: host.name, AvailabilityZone: "zone", Region: "region", IP: loopback.Addr(), MeshAddress: loopback, MetricsAddress: loopback,
		CallerAddress: loopback, ReadinessAddress: loopback, StoreAddress: s.platform.Store(), AdvisorAddress: s.platform.Advisor(),
		MaxLease: maxLease, GracePeriod: gracePeriod, StateRetention: stateRetention,
	}, s.Clock, s.Log.With("instance", host.name))
	if err != nil {
		return errors.Wrap(err, "start "+host.name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	host.instance = instance
	return nil
}

func (s *scenario) killInstances() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range s.hosts {
		if host.instance != nil {
			host.instance.Kill()
			host.instance = nil
		}
	}
}

// randomInstance returns the callers' address of a random running instance. It reports false if none
// is running.
func (s *scenario) randomInstance(random *rand.Rand) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up []netip.AddrPort
	for _, host := range s.hosts {
		if host.instance != nil {
			up = append(up, host.instance.CallerAddress())
		}
	}
	if len(up) == 0 {
		return netip.AddrPort{}, false
	}
	return up[random.IntN(len(up))], true
}

// servingPollInterval is the time between two checks whether an instance serves.
const servingPollInterval = 20 * time.Millisecond

// awaitServing waits until an instance knows the queues and the owner of the cell.
func (s *scenario) awaitServing(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, settleTimeout)
	defer cancel()
	for {
		address, _ := s.randomInstance(s.random)
		if _, answer := s.caller.State(ctx, address, s.Plan.Queues[0].Name, jobID(0, 0)); answer == standin.NoSuchJob {
			return nil
		}
		if !s.sleep(ctx, servingPollInterval) {
			return &NotReadyError{}
		}
	}
}

// NotReadyError reports that no instance served within the timeout.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "no instance served within " + settleTimeout.String() }

// sleep waits for the given time. It reports false if the context ended first.
func (s *scenario) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(pause):
		return true
	}
}

// injectFault injects a fault as often as the plan says.
func (s *scenario) injectFault(ctx context.Context, fault Fault) {
	wait := time.Duration(fault.At)
	for range max(1, fault.Count) {
		if !s.sleep(ctx, wait) {
			return
		}
		wait = time.Duration(fault.Interval)
		fmt.Fprintf(s.Progress, "%s for %s\n", fault.Kind, time.Duration(fault.Duration))
		stopFault := s.startFault(fault.Kind)
		// The fault also ends when the load duration of the plan is over.
		s.sleep(ctx, time.Duration(fault.Duration))
		stopFault()
	}
}

// startFault starts a fault and returns the function that ends it.
func (s *scenario) startFault(kind FaultKind) (stop func()) {
	switch kind {
	case KillOwner, ShutDownOwner:
		return s.endOwnerInstance(kind == ShutDownOwner)
	case KillAllInstances:
		return s.killAllInstances()
	case StoreUnavailable:
		return s.setStoreFault(standin.Unavailable)
	case StoreUnresponsive:
		return s.setStoreFault(standin.Unresponsive)
	case StoreSlow:
		return s.setStoreFault(standin.Slow)
	case StoreRepliesLost:
		return s.setStoreFault(standin.RepliesLost)
	case CompactHistory:
		s.platform.CompactHistory()
	case RestartWorker:
		s.randomWorker().Restart()
	case DropWorkerReplies:
		worker := s.randomWorker()
		worker.DropReplies(true)
		return func() { worker.DropReplies(false) }
	case ShrinkWorker:
		worker := s.randomWorker()
		worker.SetProcessors(int64(s.Plan.Processors) / 2)
		return func() { worker.SetProcessors(int64(s.Plan.Processors)) }
	}
	return func() {}
}

func (s *scenario) randomWorker() *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	workers := s.platform.Workers()
	return workers[s.random.IntN(len(workers))]
}

func (s *scenario) setStoreFault(fault standin.StoreFault) func() {
	s.platform.SetStoreFault(fault)
	return func() { s.platform.SetStoreFault(standin.NoFault) }
}

// endOwnerInstance shuts down or kills the instance that owns the cell, and returns the function that
// restarts it.
func (s *scenario) endOwnerInstance(graceful bool) (restart func()) {
	owner, fencingToken, err := s.platform.Owner()
	if err != nil {
		s.Log.Error("cannot read the owner of the cell", "error", err)
		return func() {}
	}
	s.mu.Lock()
	var ownerHost *host
	for _, host := range s.hosts {
		if host.instance != nil && strings.HasPrefix(owner, host.name+"@") {
			ownerHost = host
		}
	}
	if ownerHost == nil {
		s.mu.Unlock()
		return func() {}
	}
	instance := ownerHost.instance
	ownerHost.instance = nil
	s.mu.Unlock()
	s.recorder.recordOwnerTermination(fencingToken, graceful)
	if graceful {
		instance.Shutdown()
	} else {
		instance.Kill()
	}
	return func() { s.restart(ownerHost) }
}

func (s *scenario) restart(host *host) {
	if err := s.start(host); err != nil {
		s.recorder.recordFailure(err)
	}
}

func (s *scenario) killAllInstances() (restart func()) {
	s.killInstances()
	return func() {
		for _, host := range s.hosts {
			s.restart(host)
		}
	}
}
