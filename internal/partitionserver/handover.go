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
	// quiesceTimeout is how long a partition may take to come to rest before it is handed over.
	quiesceTimeout = 2 * time.Second
	// handOverTimeout bounds the calls of one hand-over.
	handOverTimeout = 3 * time.Second
	// maxPeerBodyBytes bounds what a peer may send; the state of a partition is the largest.
	maxPeerBodyBytes = 64 << 20
)

// leaseListener passes gains and losses on to the control goroutine.
type leaseListener struct {
	server *Server
}

func (o leaseListener) LeaseAcquired(grant leaseholder.Grant) {
	o.server.controller.Adopt(partitionscheduler.Grant{Partition: grant.Partition, Epoch: grant.Epoch, Version: grant.Version})
}

func (o leaseListener) LeaseLost(grant leaseholder.Grant) {
	o.server.controller.Drop(grant.Partition, grant.Epoch)
}

// peerService answers peers over connect.
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

// handlePeers serves the peer service to holders of the mesh token only.
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

// Shutdown hands all partitions over, finishes the open answers and ends the instance. It may be
// called once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.log.Info("graceful shutdown begins")
	s.leaving.Store(true)
	s.leaseHolder.StopClaiming()
	if err := s.refreshInstanceList(); err != nil {
		s.log.Warn("platform not told of leaving", "error", err)
	}
	for _, grant := range s.leaseHolder.Held() {
		if err := s.handOver(ctx, grant, s.successor()); err != nil {
			s.log.Error("hand-over failed; a peer will take over after the lease", "partition", grant.Partition, "error", err)
		}
	}
	close(s.partitionsHandedOver)
	err := s.callerServer.Shutdown(ctx)
	s.Kill()
	s.log.Info("graceful shutdown ended", "error", err)
	if err != nil {
		return errors.Wrap(err, "finish open answers")
	}
	return nil
}

// successor returns the live peer of the region that holds the fewest partitions, or "".
func (s *Server) successor() string {
	best, least := "", 0
	for name, beat := range s.mesh.LivePeers() {
		if beat.GetRegion() != s.options.Settings.Region || beat.GetLeaving() {
			continue
		}
		count := len(beat.GetHoldings())
		if best == "" || count < least || count == least && name < best {
			best, least = name, count
		}
	}
	return best
}

// balanceInterval is the time between two looks at how the partitions of the region are shared.
const balanceInterval = 3 * time.Second

// balancePartitions gives a partition to a peer that holds at least two fewer, one at a time. An instance
// that replaced another one would stay idle otherwise until the next stop or kill.
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
			s.log.Warn("partition not given to a peer", "partition", grant.Partition, "to", successor, "error", err)
		}
	}
}

func (s *Server) partitionCountOf(instance string) int {
	return len(s.mesh.LivePeers()[instance].GetHoldings())
}

// handOver moves one partition to a successor. Without one the row is left without an owner, so
// that the next instance of the region claims it at once.
func (s *Server) handOver(ctx context.Context, grant leaseholder.Grant, successor string) error {
	partition := grant.Partition
	began := s.clock.Now()
	state, err := s.quiesce(ctx, partition)
	if err != nil {
		// It did not come to rest. A successor then reads the journal like after a crash.
		s.log.Warn("partition handed over without its state", "partition", partition, "error", err)
		s.controller.Drop(partition, grant.Epoch)
		successor = ""
	}
	// Whatever becomes of the transfer, this ownership is over: the state was given away. If the row
	// still names this instance, the lease holder claims it anew under the next epoch.
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
	s.log.Info("handed over", "partition", partition, "to", successor, "epoch", next.Epoch, "took", s.clock.Since(began), "error", err)
	if err != nil {
		return errors.Wrap(err, "give the state to "+successor)
	}
	return nil
}

func (s *Server) quiesce(ctx context.Context, partition string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	return s.controller.HandOver(ctx, partition)
}
