package partitionserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/authenticator"
	"dotterelpost.example/dotterelpost/internal/leaseholder"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/partitionscheduler"
)

const (
	// quiesceTimeout bounds the wait for a partition's in-flight operations before its hand-over.
	quiesceTimeout = 2 * time.Second
	// handOverTimeout bounds the table write and the peer call of one hand-over.
	handOverTimeout = 3 * time.Second
	// maxPeerBodyBytes bounds a request of the Peer service. The largest one carries the state of a
	// partition.
	maxPeerBodyBytes = 64 << 20
)

// leaseListener passes acquired and lost leases on to the partition controller.
type leaseListener struct {
	server *Server
}

func (l leaseListener) LeaseAcquired(grant leaseholder.Grant) {
	l.server.controller.Adopt(partitionscheduler.Grant{Partition: grant.Partition, Epoch: grant.Epoch, Version: grant.Version})
}

func (l leaseListener) LeaseLost(grant leaseholder.Grant) {
	l.server.controller.Drop(grant.Partition, grant.Epoch)
}

// peerService implements the Peer service.
type peerService struct {
	server *Server
}

func (p peerService) HandOver(_ context.Context, request *messenger.HandOverRequest) (*messenger.HandOverResponse, error) {
	grant := leaseholder.Grant{
		Partition: request.GetPartition(),
		Epoch:     modeler.Epoch(request.GetEpoch()),
		Version:   request.GetVersion(),
	}
	if p.server.leaseHolder.Accept(grant) {
		p.server.controller.Adopt(partitionscheduler.Grant{
			Partition:  grant.Partition,
			Epoch:      grant.Epoch,
			Version:    grant.Version,
			State:      request.GetState(),
			HandedOver: true,
		})
	}
	return &messenger.HandOverResponse{}, nil
}

func (p peerService) Tickets(_ context.Context, request *messenger.TicketsRequest) (*messenger.TicketsResponse, error) {
	state := p.server.follower.State()
	response := &messenger.TicketsResponse{Number: state.Number}
	if state.Number <= request.GetKnown() {
		return response, nil
	}
	text, err := json.Marshal(state)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response.State = text
	return response, nil
}

// handlePeers registers the Peer service, which requires the mesh token.
func (s *Server) handlePeers(mux *http.ServeMux) {
	tokens := authenticator.New(map[string]string{"mesh": s.options.Secrets.Mesh})
	path, handler := messenger.NewPeerHandler(peerService{server: s}, connect.WithReadMaxBytes(maxPeerBodyBytes))
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if _, known := tokens.Authenticate(r); !known {
			http.Error(w, "not a peer", http.StatusUnauthorized)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Shutdown hands over all partitions, completes the open requests and stops the instance. It must not
// be called more than once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.log.Info("graceful shutdown started")
	s.leaving.Store(true)
	s.leaseHolder.StopClaiming()
	if err := s.refreshInstanceList(); err != nil {
		s.log.Warn("cannot tell the platform that this instance is shutting down", "error", err)
	}
	for _, grant := range s.leaseHolder.Held() {
		if err := s.handOver(ctx, grant, s.successor()); err != nil {
			s.log.Error("hand-over failed; a peer will take over after the lease has expired", "partition", grant.Partition, "error", err)
		}
	}
	close(s.partitionsHandedOver)
	err := s.callerServer.Shutdown(ctx)
	s.Kill()
	s.log.Info("graceful shutdown ended", "error", err)
	if err != nil {
		return errors.Wrap(err, "complete open requests")
	}
	return nil
}

// successor returns the live peer in the region that holds the fewest partitions, or "" if there is
// none.
func (s *Server) successor() string {
	best, fewest := "", 0
	for name, heartbeat := range s.mesh.LivePeers() {
		if heartbeat.GetRegion() != s.options.Settings.Region || heartbeat.GetLeaving() {
			continue
		}
		count := len(heartbeat.GetHoldings())
		if best == "" || count < fewest || count == fewest && name < best {
			best, fewest = name, count
		}
	}
	return best
}

// balanceInterval is the time between two checks of how the partitions of the region are distributed.
const balanceInterval = 3 * time.Second

// balancePartitions hands partitions over, one at a time, to the peer with the fewest as long as it
// holds at least two fewer than this instance. Without it, an instance that replaced another one would
// stay idle until the next instance stops or crashes.
func (s *Server) balancePartitions() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.clock.After(balanceInterval):
		}
		held := s.leaseHolder.Held()
		successor := s.successor()
		if s.leaving.Load() || successor == "" || len(held)-s.partitionCountOf(successor) < 2 {
			continue
		}
		grant := held[len(held)-1]
		if err := s.handOver(s.ctx, grant, successor); err != nil {
			s.log.Warn("cannot hand over partition to balance the region", "partition", grant.Partition, "to", successor, "error", err)
		}
	}
}

func (s *Server) partitionCountOf(instance string) int {
	return len(s.mesh.LivePeers()[instance].GetHoldings())
}

// handOver transfers a partition to a successor. If the successor is "", the partition's row is left
// without an owner, so that the next instance in the region that reads it claims it at once.
func (s *Server) handOver(ctx context.Context, grant leaseholder.Grant, successor string) error {
	partition := grant.Partition
	start := s.clock.Now()
	state, err := s.quiesce(ctx, partition)
	if err != nil {
		// The partition was not quiesced in time. The next owner reads the journal, as after a crash.
		s.log.Warn("partition handed over without its state", "partition", partition, "error", err)
		s.controller.Drop(partition, grant.Epoch)
		successor = ""
	}
	// The controller has released the state, so this ownership ends even if the transfer fails. If the
	// row then still names this instance, the lease holder claims the partition under the next epoch.
	defer s.controller.Drop(partition, grant.Epoch)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	next, err := s.leaseHolder.Transfer(ctx, partition, successor)
	if err != nil {
		return err
	}
	if successor == "" {
		s.log.Info("partition released without a successor", "partition", partition, "epoch", next.Epoch)
		return nil
	}
	client, err := s.peerClient(successor)
	if err != nil {
		return err
	}
	_, err = client.HandOver(ctx, &messenger.HandOverRequest{
		Partition: partition,
		Epoch:     int64(next.Epoch),
		Version:   next.Version,
		State:     state,
	})
	s.log.Info("handed over", "partition", partition, "to", successor, "epoch", next.Epoch, "took", s.clock.Since(start), "error", err)
	if err != nil {
		return errors.Wrap(err, "send the state to "+successor)
	}
	return nil
}

func (s *Server) quiesce(ctx context.Context, partition string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	return s.controller.HandOver(ctx, partition)
}
