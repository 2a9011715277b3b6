package mesher

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// dialTimeout bounds one attempt to connect to a peer. The one-way latency of the slowest link is a
// few tens of milliseconds.
const dialTimeout = time.Second

// link maintains the dialled connection to one peer and redials it whenever it breaks.
type link struct {
	mesh   *Mesh
	peer   modeler.Instance
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	conn   gnet.Conn
	closed chan struct{}
	// outgoing sends the frames on conn.
	outgoing *batcher
	nextID   uint64
	// sentBytes counts the bytes sent to the peer.
	sentBytes atomic.Int64
	// heartbeatDue receives a value when a heartbeat should be sent ahead of its time.
	heartbeatDue chan struct{}
	// unansweredHeartbeats counts the heartbeats sent since the last frame received on the connection.
	unansweredHeartbeats atomic.Int32
	// receivedFrames counts the frames received from the peer.
	receivedFrames atomic.Int64
	pending        map[uint64]chan *messenger.Reply
}

func newLink(m *Mesh, peer modeler.Instance) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{mesh: m, peer: peer, ctx: ctx, cancel: cancel, pending: make(map[uint64]chan *messenger.Reply), heartbeatDue: make(chan struct{}, 1)}
	go l.run()
	return l
}

func (l *link) stop() { l.cancel() }

// run dials the peer and sends heartbeats until the connection breaks, and repeats this until the
// link is stopped. Failed dials are retried with exponential backoff.
func (l *link) run() {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = 50 * time.Millisecond
	retryDelays.MaxInterval = 2 * time.Second
	for l.ctx.Err() == nil {
		closed, err := l.dial()
		if err != nil {
			l.mesh.Log.Debug("cannot connect to peer", "instance", l.peer.Name, "error", err)
			if errors.Is(err, unix.ECONNREFUSED) && l.mesh.OnPeerExited != nil {
				l.mesh.OnPeerExited(l.peer.Name)
			}
			l.disconnect()
			l.sleep(retryDelays.NextBackOff())
			continue
		}
		retryDelays.Reset()
		l.sendHeartbeats(closed)
		l.disconnect()
	}
}

func (l *link) sleep(delay time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-l.mesh.Clock.After(delay):
	}
}

func (l *link) dial() (closed chan struct{}, err error) {
	closed = make(chan struct{})
	// gnet's own dial has no timeout: it would wait for minutes when the network is partitioned.
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(l.ctx, "tcp", l.peer.Mesh.String())
	if err != nil {
		return nil, err
	}
	conn, err := l.mesh.client.EnrollContext(netConn, &session{link: l, closed: closed})
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conn, l.closed, l.outgoing = conn, closed, newBatcher(l.mesh, conn, l.peer.Region, &l.sentBytes)
	l.mu.Unlock()
	settings := l.mesh.settings
	hello := &messenger.Hello{Instance: settings.Instance, Region: settings.Region, Token: settings.Token, Peer: settings.PeerServiceAddress.String()}
	if settings.DialUnlistedPeers {
		hello.Mesh = l.mesh.listenAddress.String()
	}
	return closed, l.send(&messenger.Frame{Kind: &messenger.Frame_Hello{Hello: hello}}, batchDelay)
}

func (l *link) sendHeartbeats(closed chan struct{}) {
	l.unansweredHeartbeats.Store(0)
	for {
		if l.unansweredHeartbeats.Add(1) > maxMissedHeartbeats {
			l.mesh.Log.Info("peer does not answer heartbeats; reconnecting", "peer", l.peer.Name, "beats", maxMissedHeartbeats)
			return
		}
		interval := l.mesh.nextHeartbeat(l.peer)
		heartbeat := l.mesh.Heartbeat()
		heartbeat.IntervalMillis = interval.Milliseconds()
		if err := l.send(&messenger.Frame{Kind: &messenger.Frame_Heartbeat{Heartbeat: heartbeat}}, bulkDelay); err != nil {
			return
		}
		select {
		case <-l.ctx.Done():
			return
		case <-closed:
			return
		case <-l.heartbeatDue:
			// An additional heartbeat does not count as unanswered before its answer can be there.
			l.unansweredHeartbeats.Add(-1)
		case <-l.mesh.Clock.After(interval):
		}
	}
}

// announce makes the link send a heartbeat at once.
func (l *link) announce() {
	select {
	case l.heartbeatDue <- struct{}{}:
	default:
	}
}

// disconnect closes the connection and clears the pending calls, which return a LinkError as soon as
// gnet reports the close.
func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		// The connection may be closed already; closing it twice is harmless, so the error is ignored.
		_ = l.conn.Close()
		l.conn, l.outgoing = nil, nil
	}
	clear(l.pending)
}

func (l *link) send(frame *messenger.Frame, delay time.Duration) error {
	l.mu.Lock()
	outgoing := l.outgoing
	l.mu.Unlock()
	if outgoing == nil {
		return &LinkError{Instance: l.peer.Name, Err: &NotConnectedError{}}
	}
	return outgoing.send(frame, delay)
}

// call assigns the next ID of this link to the call, sends it and waits for the reply with that ID.
func (l *link) call(ctx context.Context, call *messenger.Call) (*messenger.Reply, error) {
	replies := make(chan *messenger.Reply, 1)
	l.mu.Lock()
	l.nextID++
	call.Id = l.nextID
	closed := l.closed
	connected := l.conn != nil
	l.pending[call.GetId()] = replies
	l.mu.Unlock()
	defer l.removePending(call.GetId())
	if !connected {
		return nil, &LinkError{Instance: l.peer.Name, Err: &NotConnectedError{}}
	}
	receivedBefore := l.receivedFrames.Load()
	if err := l.send(&messenger.Frame{Kind: &messenger.Frame_Call{Call: call}}, callDelay(call.GetKind())); err != nil {
		return nil, &LinkError{Instance: l.peer.Name, Err: err}
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-closed:
		return nil, &LinkError{Instance: l.peer.Name, Err: &ConnectionClosedError{}}
	case <-ctx.Done():
		go l.checkSilence(closed, receivedBefore)
		return nil, &LinkError{Instance: l.peer.Name, Err: ctx.Err()}
	}
}

// silenceTimeout is how long a peer may take to answer the heartbeat that follows a call without a
// reply.
const silenceTimeout = time.Second

// checkSilence sends a heartbeat after a call without a reply, and closes the connection if nothing is
// received on it: a connection can go silent without an error, and a new one may work. Between two
// instances that rarely send heartbeats it would not be noticed otherwise.
func (l *link) checkSilence(closed chan struct{}, receivedBefore int64) {
	if l.receivedFrames.Load() != receivedBefore {
		return
	}
	l.announce()
	select {
	case <-closed:
		return
	case <-l.ctx.Done():
		return
	case <-l.mesh.Clock.After(silenceTimeout):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.closed == closed && l.receivedFrames.Load() == receivedBefore {
		l.mesh.Log.Info("peer is silent; reconnecting", "peer", l.peer.Name)
		// The connection may be closed already.
		_ = l.conn.Close()
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliver passes a reply to the pending call with its ID. Late and duplicate replies are dropped.
func (l *link) deliver(reply *messenger.Reply) {
	l.mu.Lock()
	replies := l.pending[reply.GetId()]
	delete(l.pending, reply.GetId())
	l.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}

func (l *link) counts() LinkCounts {
	return LinkCounts{Instance: l.peer.Name, Region: l.peer.Region, Bytes: l.sentBytes.Load()}
}
