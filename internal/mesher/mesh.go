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
	// Heartbeats to other regions are less frequent because cross-region traffic is billed.
	sameRegionHeartbeatInterval  = 500 * time.Millisecond
	crossRegionHeartbeatInterval = 3 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a peer
	// is no longer live, and of unanswered heartbeats after which its connection is redialled.
	maxMissedHeartbeats = 5
)

// LinkError reports a call that got no reply, because there was no connection, the connection broke
// or the context ended. The call may have taken effect, unless the cause is a NotConnectedError.
type LinkError struct {
	Instance string
	Err      error
}

func (e *LinkError) Error() string {
	return fmt.Sprintf("link to instance %s: %v", e.Instance, e.Err)
}

func (e *LinkError) Unwrap() error { return e.Err }

// ConnectionClosedError is the cause of a LinkError when the connection was closed during the call.
type ConnectionClosedError struct{}

func (*ConnectionClosedError) Error() string { return "connection closed" }

// NotConnectedError is the cause of a LinkError when there is no connection to the peer.
type NotConnectedError struct{}

func (*NotConnectedError) Error() string { return "not connected" }

// Handler serves calls from peers. Each call is served on its own goroutine.
type Handler interface {
	ServeCall(ctx context.Context, call *messenger.Call) *messenger.Reply
}

// Settings configures a Mesh.
type Settings struct {
	Instance string
	Region   string
	Listen   netip.AddrPort
	Token    string
	// PeerServiceAddress is the address at which this instance serves the Peer service.
	PeerServiceAddress netip.AddrPort
	// DialUnlistedPeers makes the mesh dial a peer that sends a heartbeat before it appears in the
	// instance list, at the address in its hello. The hellos of this instance then hold its address too.
	DialUnlistedPeers bool
	// SameRegionHeartbeatInterval and CrossRegionHeartbeatInterval are the times between heartbeats to
	// peers in the same region and in other regions. Zero selects the default.
	SameRegionHeartbeatInterval, CrossRegionHeartbeatInterval time.Duration
	// HeartbeatInterval returns the time until the next heartbeat to a peer. It may be nil; the
	// intervals above apply then.
	HeartbeatInterval func(peer string) time.Duration
	// DisableCompression sends batches as they are. Compression costs 20 to 40 us of processor time a batch,
	// which is worth it on slow links. Compressed batches are read in any case.
	DisableCompression bool
}

// Dependencies are the components that a Mesh uses.
type Dependencies struct {
	Clock   clockwork.Clock
	Log     *slog.Logger
	Handler Handler
	// Heartbeat returns the current heartbeat of this instance.
	Heartbeat func() *messenger.Heartbeat
	// OnHeartbeat is called with each heartbeat received from a peer.
	OnHeartbeat func(*messenger.Heartbeat)
	// OnPeerExited is called when a peer's address refuses a connection, which means that its process
	// has exited. It may be nil.
	OnPeerExited func(instance string)
}

// Counts are the traffic counters of a mesh, for metrics.
type Counts struct {
	SameRegionBytes  int64 `json:"bytes-near"`
	CrossRegionBytes int64 `json:"bytes-far"`
	Frames           int64 `json:"frames"`
	BadFrames        int64 `json:"bad-frames"`
	// Links holds the bytes sent over each dialled link, sorted by instance name.
	Links []LinkCounts `json:"links"`
}

// LinkCounts are the bytes sent over the link to one instance.
type LinkCounts struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Bytes    int64  `json:"bytes"`
}

// Peer holds the latest heartbeat received from another instance.
type Peer struct {
	Heartbeat  *messenger.Heartbeat
	ReceivedAt time.Time
	// ServiceAddress is the address at which the peer serves the Peer service.
	ServiceAddress netip.AddrPort
}

// Mesh maintains the connections between this instance and its peers.
type Mesh struct {
	settings Settings
	Dependencies
	ctx           context.Context
	cancel        context.CancelFunc
	engine        gnet.Engine
	client        *gnet.Client
	listenAddress netip.AddrPort
	listenResult  chan error

	mu       sync.Mutex
	links    map[string]*link
	peers    map[string]Peer
	handlers sync.WaitGroup
	flusher  flusher

	sameRegionBytes, crossRegionBytes, frames, badFrames atomic.Int64
}

// New starts a mesh that listens for peers, and returns it with the function that stops it.
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
		return nil, nil, errors.Wrap(err, "create mesh client")
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
		m.Log.Debug("cannot stop mesh engine", "error", err)
	}
	if err := m.client.Stop(); err != nil {
		m.Log.Debug("cannot stop mesh client", "error", err)
	}
}

// Address returns the address that the listener is bound to.
func (m *Mesh) Address() netip.AddrPort { return m.listenAddress }

// Counts returns the current traffic counters.
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

// SetPeers dials the listed instances that have no link yet and stops the links to instances that
// are no longer listed.
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

// AddPeer dials a peer that may not be in the instance list yet.
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

// Announce sends a heartbeat to all peers at once, so that they learn of a change before the next
// interval is over.
func (m *Mesh) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.announce()
	}
}

// LivePeers returns the latest heartbeat of each peer that has not missed too many, by instance name.
func (m *Mesh) LivePeers() map[string]*messenger.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make(map[string]*messenger.Heartbeat, len(m.peers))
	now := m.Clock.Now()
	for name, peer := range m.peers {
		if now.Sub(peer.ReceivedAt) <= m.livenessTimeout(peer.Heartbeat) {
			live[name] = peer.Heartbeat
		}
	}
	return live
}

// livenessTimeout returns how long after a heartbeat its sender counts as live. Of long intervals,
// fewer may be missed.
func (m *Mesh) livenessTimeout(heartbeat *messenger.Heartbeat) time.Duration {
	usual := maxMissedHeartbeats * m.heartbeatInterval(heartbeat.GetRegion())
	if announced := time.Duration(heartbeat.GetIntervalMillis()) * time.Millisecond; announced > 0 {
		return max(usual, announced*5/2)
	}
	return usual
}

// nextHeartbeat returns the time until the next heartbeat to a peer.
func (m *Mesh) nextHeartbeat(peer modeler.Instance) time.Duration {
	if m.settings.HeartbeatInterval != nil {
		return m.settings.HeartbeatInterval(peer.Name)
	}
	return m.heartbeatInterval(peer.Region)
}

func (m *Mesh) heartbeatInterval(region string) time.Duration {
	if region == m.settings.Region {
		return m.settings.SameRegionHeartbeatInterval
	}
	return m.settings.CrossRegionHeartbeatInterval
}

// PeerServiceAddress returns the address at which a peer serves the Peer service, as the peer itself
// reported it. The platform's instance list may show a peer long after its first heartbeat.
func (m *Mesh) PeerServiceAddress(instance string) (address netip.AddrPort, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peer, known := m.peers[instance]
	return peer.ServiceAddress, known && peer.ServiceAddress.IsValid()
}

func (m *Mesh) handleHeartbeat(hello *messenger.Hello, heartbeat *messenger.Heartbeat) {
	// An invalid address is ignored: the peer's address is then taken from the platform's list.
	address, _ := netip.ParseAddrPort(hello.GetPeer())
	m.mu.Lock()
	_, known := m.peers[heartbeat.GetInstance()]
	m.peers[heartbeat.GetInstance()] = Peer{Heartbeat: heartbeat, ReceivedAt: m.Clock.Now(), ServiceAddress: address}
	m.dialUnlistedLocked(hello, heartbeat)
	m.mu.Unlock()
	if !known {
		m.Log.Info("peer heard", "peer", heartbeat.GetInstance(), "region", heartbeat.GetRegion())
	}
	m.OnHeartbeat(heartbeat)
}

// dialUnlistedLocked dials a peer that sent a heartbeat and is not listed yet. Its row in the store
// may be delayed while the store is degraded. The calling function holds m.mu.
func (m *Mesh) dialUnlistedLocked(hello *messenger.Hello, heartbeat *messenger.Heartbeat) {
	if !m.settings.DialUnlistedPeers {
		return
	}
	if address, err := netip.ParseAddrPort(hello.GetMesh()); err == nil {
		m.addPeerLocked(modeler.Instance{Name: heartbeat.GetInstance(), Region: heartbeat.GetRegion(), Mesh: address})
	}
}

// Call sends a call to a peer and waits for the reply.
func (m *Mesh) Call(ctx context.Context, instance string, call *messenger.Call) (*messenger.Reply, error) {
	m.mu.Lock()
	l := m.links[instance]
	m.mu.Unlock()
	if l == nil {
		return nil, &LinkError{Instance: instance, Err: &NotConnectedError{}}
	}
	return l.call(ctx, call)
}

// countSent counts one write of frames to a peer.
func (m *Mesh) countSent(region string, size int) {
	m.frames.Add(1)
	if region == m.settings.Region {
		m.sameRegionBytes.Add(int64(size))
		return
	}
	m.crossRegionBytes.Add(int64(size))
}

// isTokenValid reports whether a hello carries the mesh token. It compares in constant time.
func (m *Mesh) isTokenValid(hello *messenger.Hello) bool {
	return subtle.ConstantTimeCompare([]byte(hello.GetToken()), []byte(m.settings.Token)) == 1
}

// listenerAddress returns the address that the engine's listener is bound to.
func listenerAddress(engine gnet.Engine) (netip.AddrPort, error) {
	descriptor, err := engine.Dup()
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "duplicate mesh listener descriptor")
	}
	defer unix.Close(descriptor)
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "get address of mesh listener")
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
