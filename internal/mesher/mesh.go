package mesher

import (
	"context"
	"crypto/subtle"
	"fmt"
	"log/slog"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

const (
	// sameRegionHeartbeatInterval and farBeat are the times between heartbeats to peers of the same region and of
	// other regions, whose links are billed.
	sameRegionHeartbeatInterval  = 500 * time.Millisecond
	crossRegionHeartbeatInterval = 3 * time.Second
	// maxMissedHeartbeats is how many heartbeats may be missing before a peer counts as silent.
	maxMissedHeartbeats = 5
)

// LinkError tells that a call has no reply because its connection is not there or broke.
type LinkError struct {
	Instance string
	Err      error
}

func (e *LinkError) Error() string {
	return fmt.Sprintf("link to instance %s: %v", e.Instance, e.Err)
}

func (e *LinkError) Unwrap() error { return e.Err }

// ConnectionClosedError is the reason of a LinkError when the connection was closed.
type ConnectionClosedError struct{}

func (*ConnectionClosedError) Error() string { return "the connection was closed" }

// NotConnectedError is the reason of a LinkError when there is no connection.
type NotConnectedError struct{}

func (*NotConnectedError) Error() string { return "there is no connection" }

// Handler answers calls of peers. It is called on a goroutine of its own for each call.
type Handler interface {
	ServeCall(ctx context.Context, call *messenger.Call) *messenger.Reply
}

// Settings of a mesh.
type Settings struct {
	Instance string
	Region   string
	Listen   netip.AddrPort
	Token    string
	// PeerServiceAddress is where this instance serves the PeerServiceAddress service.
	PeerServiceAddress netip.AddrPort
	// DialUnlistedPeers has peers that are heard before they are listed dialled at the address that they
	// give.
	DialUnlistedPeers bool
	// SameRegionHeartbeatInterval and CrossRegionHeartbeatInterval are the times between heartbeats to peers of the same region and of
	// other regions. Zero takes the defaults.
	SameRegionHeartbeatInterval, CrossRegionHeartbeatInterval time.Duration
}

// Dependencies of a mesh.
type Dependencies struct {
	Clock   clockwork.Clock
	Log     *slog.Logger
	Handler Handler
	// Heartbeat returns the heartbeat to send now.
	Heartbeat func() *messenger.Heartbeat
	// OnHeartbeat is called with each heartbeat of a peer.
	OnHeartbeat func(*messenger.Heartbeat)
	// OnPeerExited is called when nothing listens where a peer did: its process has ended. It may be nil.
	OnPeerExited func(instance string)
}

// Counts of a mesh, for metrics.
type Counts struct {
	SameRegionBytes  int64 `json:"bytes-near"`
	CrossRegionBytes int64 `json:"bytes-far"`
	Frames           int64 `json:"frames"`
	BadFrames        int64 `json:"bad-frames"`
	// Links are the bytes sent to each peer that was dialled, by its name.
	Links []LinkCounts `json:"links"`
}

// LinkCounts is what was sent over one link.
type LinkCounts struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Bytes    int64  `json:"bytes"`
}

// Peer is what is known of another instance by its heartbeats.
type Peer struct {
	Heartbeat  *messenger.Heartbeat
	ReceivedAt time.Time
	// ServiceAddress is where it serves the Peer service.
	ServiceAddress netip.AddrPort
}

// Mesh is this instance's end of all connections.
type Mesh struct {
	settings Settings
	Dependencies
	ctx          context.Context
	cancel       context.CancelFunc
	engine       gnet.Engine
	client       *gnet.Client
	bound        netip.AddrPort
	listenResult chan error

	mu       sync.Mutex
	links    map[string]*link
	peers    map[string]Peer
	handlers sync.WaitGroup

	sameRegionBytes, crossRegionBytes, frames, badFrames atomic.Int64
}

// New returns a mesh that listens, and the function that closes all of it.
func New(settings Settings, dependencies Dependencies) (*Mesh, func(), error) {
	if settings.SameRegionHeartbeatInterval == 0 {
		settings.SameRegionHeartbeatInterval = sameRegionHeartbeatInterval
	}
	if settings.CrossRegionHeartbeatInterval == 0 {
		settings.CrossRegionHeartbeatInterval = crossRegionHeartbeatInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		settings:     settings,
		Dependencies: dependencies,
		ctx:          ctx,
		cancel:       cancel,
		listenResult: make(chan error, 1),
		links:        make(map[string]*link),
		peers:        make(map[string]Peer),
	}
	discardLogs := gnet.WithLogger(discardLogger{})
	runResult := make(chan error, 1)
	go func() {
		err := gnet.Run(&eventHandler{mesh: m}, "tcp://"+settings.Listen.String(), discardLogs, gnet.WithReuseAddr(true))
		runResult <- err
	}()
	select {
	case err := <-m.listenResult:
		if err != nil {
			cancel()
			return nil, nil, err
		}
	case err := <-runResult:
		cancel()
		return nil, nil, errors.Wrap(err, "listen for peers on "+settings.Listen.String())
	}
	client, err := gnet.NewClient(&eventHandler{mesh: m, dialled: true}, discardLogs)
	if err != nil {
		cancel()
		return nil, nil, errors.Wrap(err, "make mesh client")
	}
	if err := client.Start(); err != nil {
		cancel()
		return nil, nil, errors.Wrap(err, "start mesh client")
	}
	m.client = client
	return m, m.close, nil
}

// closeTimeout bounds how long gnet may take to stop.
const closeTimeout = 2 * time.Second

func (m *Mesh) close() {
	m.cancel()
	m.mu.Lock()
	for name, l := range m.links {
		l.stop()
		delete(m.links, name)
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := m.engine.Stop(ctx); err != nil {
		m.Log.Debug("mesh engine stop", "error", err)
	}
	if err := m.client.Stop(); err != nil {
		m.Log.Debug("mesh client stop", "error", err)
	}
}

// Address returns the bound address of the listener.
func (m *Mesh) Address() netip.AddrPort { return m.bound }

// Counts returns the counts so far.
func (m *Mesh) Counts() Counts {
	counts := Counts{
		SameRegionBytes:  m.sameRegionBytes.Load(),
		CrossRegionBytes: m.crossRegionBytes.Load(),
		Frames:           m.frames.Load(),
		BadFrames:        m.badFrames.Load(),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		counts.Links = append(counts.Links, l.counts())
	}
	sort.Slice(counts.Links, func(i, j int) bool { return counts.Links[i].Instance < counts.Links[j].Instance })
	return counts
}

// SetPeers dials new peers and drops the links to those that are gone.
func (m *Mesh) SetPeers(instances []modeler.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Name == m.settings.Instance {
			continue
		}
		listed[instance.Name] = true
		if m.links[instance.Name] == nil {
			m.links[instance.Name] = newLink(m, instance)
		}
	}
	for name, l := range m.links {
		if !listed[name] {
			l.stop()
			delete(m.links, name)
			delete(m.peers, name)
		}
	}
}

// AddPeer dials a peer that may not be listed yet.
func (m *Mesh) AddPeer(instance modeler.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeerLocked(instance)
}

func (m *Mesh) addPeerLocked(instance modeler.Instance) {
	if m.links[instance.Name] == nil && instance.Name != m.settings.Instance && m.ctx.Err() == nil {
		m.links[instance.Name] = newLink(m, instance)
	}
}

// LivePeers returns the peers whose heartbeats still come, by name.
func (m *Mesh) LivePeers() map[string]*messenger.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make(map[string]*messenger.Heartbeat, len(m.peers))
	now := m.Clock.Now()
	for name, peer := range m.peers {
		if now.Sub(peer.ReceivedAt) <= maxMissedHeartbeats*m.heartbeatInterval(peer.Heartbeat.GetRegion()) {
			live[name] = peer.Heartbeat
		}
	}
	return live
}

func (m *Mesh) heartbeatInterval(region string) time.Duration {
	if region == m.settings.Region {
		return m.settings.SameRegionHeartbeatInterval
	}
	return m.settings.CrossRegionHeartbeatInterval
}

// PeerServiceAddress returns where a peer serves the Peer service, as it said itself. The platform's list lags:
// a peer may be heard long before it is listed.
func (m *Mesh) PeerServiceAddress(instance string) (address netip.AddrPort, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, known := m.peers[instance]
	return peer.ServiceAddress, known && peer.ServiceAddress.IsValid()
}

func (m *Mesh) handleHeartbeat(hello *messenger.Hello, beat *messenger.Heartbeat) {
	// A peer that says nothing useful is found by the platform's list.
	address, _ := netip.ParseAddrPort(hello.GetPeer())
	m.mu.Lock()
	_, known := m.peers[beat.GetInstance()]
	m.peers[beat.GetInstance()] = Peer{Heartbeat: beat, ReceivedAt: m.Clock.Now(), ServiceAddress: address}
	m.dialUnlistedLocked(hello, beat)
	m.mu.Unlock()
	if !known {
		m.Log.Info("peer heard", "peer", beat.GetInstance(), "region", beat.GetRegion())
	}
	m.OnHeartbeat(beat)
}

// dialUnlistedLocked dials a peer that was heard and is not listed yet: its row may be long in coming when the
// store is in trouble. The caller holds the mutex.
func (m *Mesh) dialUnlistedLocked(hello *messenger.Hello, beat *messenger.Heartbeat) {
	if !m.settings.DialUnlistedPeers {
		return
	}
	if address, err := netip.ParseAddrPort(hello.GetMesh()); err == nil {
		m.addPeerLocked(modeler.Instance{Name: beat.GetInstance(), Region: beat.GetRegion(), Mesh: address})
	}
}

// Call hands a call to a peer and waits for its reply.
func (m *Mesh) Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error) {
	m.mu.Lock()
	l := m.links[instance]
	m.mu.Unlock()
	if l == nil {
		return nil, &LinkError{Instance: instance, Err: &NotConnectedError{}}
	}
	return l.call(ctx, call)
}

func (m *Mesh) countSent(region string, size int) {
	m.frames.Add(1)
	if region == m.settings.Region {
		m.sameRegionBytes.Add(int64(size))
		return
	}
	m.crossRegionBytes.Add(int64(size))
}

// isTokenValid compares the token of a hello in constant time.
func (m *Mesh) isTokenValid(hello *messenger.Hello) bool {
	return subtle.ConstantTimeCompare([]byte(hello.GetToken()), []byte(m.settings.Token)) == 1
}

// listenerAddress asks the system which port the listener got.
func listenerAddress(engine gnet.Engine) (netip.AddrPort, error) {
	descriptor, err := engine.Dup()
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find mesh listener")
	}
	defer unix.Close(descriptor)
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "name of mesh listener")
	}
	switch name := name.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(name.Addr), uint16(name.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(name.Addr), uint16(name.Port)), nil
	default:
		return netip.AddrPort{}, &LinkError{Err: &NotConnectedError{}}
	}
}
