package cellmanager

import (
	"context"
	"time"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
	"dotterelpost.example/dotterelpost/internal/workerrelayer"
)

// relayFailureBackoff is how long a relay is not used after it did not reply.
const relayFailureBackoff = 2 * time.Second

// relaySelector selects the relays for the workers of one cell that this instance owns.
type relaySelector struct {
	manager *Manager
	// The fields below are guarded by the mutex of the manager. workers holds the availability zones of
	// the listed workers.
	workers map[string]string
	table   workerrelayer.Table
	// direct is set while the instance sends all orders itself.
	direct   bool
	failedAt map[string]time.Time
}

func newRelaySelector(manager *Manager) *relaySelector {
	return &relaySelector{manager: manager, workers: make(map[string]string), direct: true, failedAt: make(map[string]time.Time)}
}

// Relay returns the relay for a worker, or "" if this instance should send the order itself.
func (s *relaySelector) Relay(worker *workerdriver.Worker) string {
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	if s.direct {
		return ""
	}
	return s.table.Relay(worker.AvailabilityZone, worker.Worker)
}

// RecordFailure stops the use of a relay for some time.
func (s *relaySelector) RecordFailure(relay string) {
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	_, known := s.failedAt[relay]
	s.failedAt[relay] = s.manager.Clock.Now()
	if !known {
		// Hundreds of calls may fail with one relay; the first of them is enough to replace it.
		s.manager.Log.Warn("relay does not reply", "relay", relay)
		s.update()
	}
}

// updateWorkers records the workers that were listed or removed.
func (s *relaySelector) updateWorkers(listed []workerdriver.Worker, removed []string, complete bool) {
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	if complete {
		clear(s.workers)
	}
	for i := range listed {
		s.workers[listed[i].Worker] = listed[i].AvailabilityZone
	}
	for _, worker := range removed {
		delete(s.workers, worker)
	}
	s.update()
}

// update selects the relays anew. The caller holds the manager's mutex.
func (s *relaySelector) update() {
	m := s.manager
	direct := !workerrelayer.Needed(len(s.workers), m.settings.Processors)
	if direct != s.direct {
		s.direct = direct
		m.Log.Info("orders to workers", "direct", direct, "workers", len(s.workers), "processors", int64(m.settings.Processors))
	}
	if direct {
		return
	}
	for relay, at := range s.failedAt {
		if m.Clock.Since(at) > relayFailureBackoff {
			delete(s.failedAt, relay)
		}
	}
	var instances []workerrelayer.Instance
	for incarnation, heartbeat := range m.mesh.LivePeers() {
		zone, known := m.peerZones[incarnation]
		if _, failed := s.failedAt[incarnation]; known && !failed && !heartbeat.GetLeaving() && !heartbeat.GetSlow() && !m.ended(incarnation) {
			instances = append(instances, workerrelayer.Instance{Name: incarnation, AvailabilityZone: zone, Processors: modeler.Processors(heartbeat.GetProcessors())})
		}
	}
	workers := make(map[string]int)
	for _, zone := range s.workers {
		workers[zone]++
	}
	s.table = workerrelayer.NewTable(instances, workers)
}

// callWorkerThroughPeer sends an encoded order to a relay.
func (m *Manager) callWorkerThroughPeer(ctx context.Context, relay string, order []byte) ([]byte, error) {
	call := &messenger.Call{Kind: messenger.CallKind_CALL_KIND_ORDER, Job: order}
	if deadline, found := ctx.Deadline(); found {
		call.PatienceNanos = int64(deadline.Sub(m.Clock.Now()))
	}
	reply, err := m.mesh.Call(ctx, relay, call)
	if err != nil {
		return nil, err
	}
	if reply.GetError() != messenger.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return nil, &badCallError{Reason: reply.GetReason()}
	}
	return reply.GetAnswer(), nil
}
