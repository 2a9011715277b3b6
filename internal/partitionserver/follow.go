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
	// instanceListInterval is the time between two reads of the platform's instance list.
	instanceListInterval = time.Second
	// pollerInterval is how often the poller of a region reads the ticket in force from the table, and
	// backupPollInterval is how often every other instance reads it, in case the poller can't reach
	// the table although its heartbeats still arrive.
	pollerInterval     = 1500 * time.Millisecond
	backupPollInterval = 9 * time.Second
	// followTimeout bounds one update of the instance list or of the ticket in force.
	followTimeout = 3 * time.Second
)

// instanceDirectory holds the platform's latest instance list, by instance name.
type instanceDirectory struct {
	mu        sync.Mutex
	instances map[string]modeler.Instance
}

func (d *instanceDirectory) set(instances []modeler.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = make(map[string]modeler.Instance, len(instances))
	for _, instance := range instances {
		d.instances[instance.Name] = instance
	}
}

func (d *instanceDirectory) find(name string) (modeler.Instance, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance, found := d.instances[name]
	return instance, found
}

// followInstanceList periodically registers this instance with the platform and applies the platform's
// lists of instances and workers.
func (s *Server) followInstanceList() {
	for {
		if err := s.refreshInstanceList(); err != nil && s.ctx.Err() == nil {
			s.log.Warn("cannot refresh instance list", "error", err)
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
	if invalid := int64(list.Invalid); s.invalidEntries.Swap(invalid) != invalid {
		s.log.Warn("invalid entries in the instance list", "entries", invalid)
	}
	return nil
}

// countInstancesInRegion counts the instances in the region that may hold partitions: this instance
// and the live peers that are not shutting down.
func (s *Server) countInstancesInRegion() int {
	count := 1
	for _, heartbeat := range s.mesh.LivePeers() {
		if heartbeat.GetRegion() == s.options.Settings.Region && !heartbeat.GetLeaving() {
			count++
		}
	}
	return count
}

func (s *Server) heartbeat() *messenger.Heartbeat {
	heartbeat := &messenger.Heartbeat{
		Instance: s.name,
		Region:   s.options.Settings.Region,
		Ticket:   s.follower.State().Number,
		Leaving:  s.leaving.Load(),

		InForceSinceMillis: s.inForceSince().UnixMilli(),
	}
	for _, grant := range s.leaseHolder.Held() {
		heartbeat.Holdings = append(heartbeat.Holdings, &messenger.Holding{Partition: grant.Partition, Epoch: int64(grant.Epoch)})
	}
	return heartbeat
}

// handleHeartbeat fetches the ticket in force if a heartbeat shows that it is newer than the local one:
// from the sender if that is in the same region, and from the table otherwise or if this fails.
func (s *Server) handleHeartbeat(heartbeat *messenger.Heartbeat) {
	if heartbeat.GetTicket() <= s.follower.State().Number {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, followTimeout)
	defer cancel()
	if heartbeat.GetRegion() == s.options.Settings.Region && s.fetchFromPeer(ctx, heartbeat.GetInstance()) == nil {
		return
	}
	if err := s.fetchFromTable(ctx); err != nil {
		s.log.Warn("cannot read newer ticket", "number", heartbeat.GetTicket(), "error", err)
	}
}

func (s *Server) fetchFromPeer(ctx context.Context, name string) error {
	client, err := s.peerClient(name)
	if err != nil {
		return err
	}
	response, err := client.Tickets(ctx, &messenger.TicketsRequest{Known: s.follower.State().Number})
	if err != nil {
		return errors.Wrap(err, "fetch tickets from peer")
	}
	if len(response.GetState()) == 0 {
		return nil
	}
	state := &ticketer.State{}
	if err := json.Unmarshal(response.GetState(), state); err != nil {
		return errors.Wrap(err, "decode tickets from peer")
	}
	s.follower.Advance(state)
	return nil
}

func (s *Server) fetchFromTable(ctx context.Context) error {
	sentAt := s.clock.Now()
	state, err := s.tickets.Head(ctx)
	if err != nil {
		return err
	}
	s.follower.Advance(state)
	s.follower.Confirm(sentAt)
	return nil
}

// pollTicketHead periodically reads the ticket in force from the table. It reads more often if this
// instance is the poller of its region or has no ticket yet.
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
				s.log.Warn("cannot read ticket in force", "error", err)
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

// isPoller reports whether this instance has the lowest name of the live instances in its region.
func (s *Server) isPoller() bool {
	for name, heartbeat := range s.mesh.LivePeers() {
		if heartbeat.GetRegion() == s.options.Settings.Region && name < s.name {
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

// UnknownPeerError reports that the address of an instance is not known: it has sent no heartbeat and
// is not in the platform's list.
type UnknownPeerError struct {
	Instance string
}

func (e *UnknownPeerError) Error() string {
	return "instance " + e.Instance + " has sent no heartbeat and is not in the platform's list"
}

// peerClient returns a client for the Peer service of another instance.
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
