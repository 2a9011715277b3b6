package partitionserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/ticketer"
)

const (
	// instanceListInterval is how often the platform's instance list is read.
	instanceListInterval = time.Second
	// pollerInterval is how often the poller of a region reads the number of the ticket in force,
	// and slowHeadInterval how often the others do, in case the poller is cut off unseen.
	pollerInterval     = 1500 * time.Millisecond
	backupPollInterval = 9 * time.Second
	// followTimeout bounds one call of a follower.
	followTimeout = 3 * time.Second
)

// instanceDirectory keeps the addresses of the other instances from the platform's list.
type instanceDirectory struct {
	mu        sync.Mutex
	instances map[string]modeler.Instance
}

func (b *instanceDirectory) set(instances []modeler.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = make(map[string]modeler.Instance, len(instances))
	for _, instance := range instances {
		b.instances[instance.Name] = instance
	}
}

func (b *instanceDirectory) find(name string) (modeler.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	instance, found := b.instances[name]
	return instance, found
}

// followInstanceList registers this instance with the platform and applies its list, again and again.
func (s *Server) followInstanceList() {
	for {
		if err := s.refreshInstanceList(); err != nil && s.ctx.Err() == nil {
			s.log.Warn("instance list not read", "error", err)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.clock.After(instanceListInterval):
		}
	}
}

func (s *Server) refreshInstanceList() error {
	ctx, cancel := context.WithTimeout(s.ctx, followTimeout)
	defer cancel()
	if err := s.platform.Register(ctx, s.Describe()); err != nil {
		return err
	}
	list, err := s.platform.List(ctx, s.options.Settings.Region)
	if err != nil {
		return err
	}
	s.peers.set(list.Instances)
	s.mesh.SetPeers(list.Instances)
	s.controller.SetWorkers(list.Workers)
	return nil
}

// countInstancesInRegion counts the live instances of the region that may hold partitions.
func (s *Server) countInstancesInRegion() int {
	count := 1
	for _, beat := range s.mesh.LivePeers() {
		if beat.GetRegion() == s.options.Settings.Region && !beat.GetLeaving() {
			count++
		}
	}
	return count
}

func (s *Server) heartbeat() *messenger.Heartbeat {
	beat := &messenger.Heartbeat{
		Instance: s.name,
		Region:   s.options.Settings.Region,
		Ticket:   s.follower.State().Number,
		Leaving:  s.leaving.Load(),

		InForceSinceMillis: s.inForceSince().UnixMilli(),
	}
	for _, grant := range s.leaseHolder.Held() {
		beat.Holdings = append(beat.Holdings, &messenger.Holding{Partition: grant.Partition, Epoch: int64(grant.Epoch)})
	}
	return beat
}

// handleHeartbeat learns from a heartbeat that a newer ticket is in force.
func (s *Server) handleHeartbeat(beat *messenger.Heartbeat) {
	if beat.GetTicket() <= s.follower.State().Number {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, followTimeout)
	defer cancel()
	if beat.GetRegion() == s.options.Settings.Region && s.fetchFromPeer(ctx, beat.GetInstance()) == nil {
		return
	}
	if err := s.fetchFromTable(ctx); err != nil {
		s.log.Warn("newer ticket not read", "number", beat.GetTicket(), "error", err)
	}
}

func (s *Server) fetchFromPeer(ctx context.Context, name string) error {
	client, err := s.peerClient(name)
	if err != nil {
		return err
	}
	response, err := client.Tickets(ctx, &messenger.TicketsRequest{Known: s.follower.State().Number})
	if err != nil {
		return errors.Wrap(err, "ask peer for tickets")
	}
	if len(response.GetState()) == 0 {
		return nil
	}
	state := &ticketer.State{}
	if err := json.Unmarshal(response.GetState(), state); err != nil {
		return errors.Wrap(err, "decode tickets of peer")
	}
	s.follower.Advance(state)
	return nil
}

func (s *Server) fetchFromTable(ctx context.Context) error {
	state, err := s.tickets.Head(ctx)
	if err != nil {
		return err
	}
	s.follower.Advance(state)
	return nil
}

// pollTicketHead polls the number in force: often if this instance is the poller of its region.
func (s *Server) pollTicketHead() {
	var polledAt time.Time
	for {
		interval := backupPollInterval
		if s.isPoller() || s.follower.State().Number == 0 {
			interval = pollerInterval
		}
		if s.clock.Since(polledAt) >= interval {
			polledAt = s.clock.Now()
			ctx, cancel := context.WithTimeout(s.ctx, followTimeout)
			if err := s.fetchFromTable(ctx); err != nil && s.ctx.Err() == nil {
				s.log.Warn("ticket in force not read", "error", err)
			}
			cancel()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.clock.After(pollerInterval / 3):
		}
	}
}

// isPoller tells whether this instance has the lowest name of the live ones of its region.
func (s *Server) isPoller() bool {
	for name, beat := range s.mesh.LivePeers() {
		if beat.GetRegion() == s.options.Settings.Region && name < s.name {
			return false
		}
	}
	return true
}

func (s *Server) applyTicket(state *ticketer.State) {
	s.ticketAppliedAt.Store(s.clock.Now().UnixNano())
	s.log.Info("ticket in force", "number", state.Number, "author", state.Author, "reason", state.Reason)
	s.controller.SetTickets(state)
	s.leaseHolder.SetPartitions(state.PartitionsIn(s.options.Settings.Region))
}

// UnknownPeerError tells that an instance was not heard and is not in the platform's list.
type UnknownPeerError struct {
	Instance string
}

func (e *UnknownPeerError) Error() string {
	return "instance " + e.Instance + " was not heard and is not in the platform's list"
}

// peerClient returns a connect client for a peer.
func (s *Server) peerClient(name string) (messenger.PeerClient, error) {
	address, known := s.mesh.PeerServiceAddress(name)
	if !known {
		listed, found := s.peers.find(name)
		if !found {
			return nil, &UnknownPeerError{Instance: name}
		}
		address = listed.Peer
	}
	token := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+s.options.Secrets.Mesh)
			return next(ctx, request)
		}
	}))
	return messenger.NewPeerClient(http.DefaultClient, "http://"+address.String(), token), nil
}
