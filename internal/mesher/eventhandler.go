package mesher

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// eventHandler is gnet's event handler of one end: that of dialled or that of accepted connections. Its
// methods run on gnet's event loops and never wait.
type eventHandler struct {
	gnet.BuiltinEventEngine
	mesh    *Mesh
	dialled bool
}

// session is the state of one connection. Link is set on the dialled end, hello on the other one
// once it came.
type session struct {
	link   *link
	closed chan struct{}
	hello  *messenger.Hello
}

// OnBoot learns the bound address.
func (s *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if s.dialled {
		return gnet.None
	}
	s.mesh.engine = engine
	address, err := listenerAddress(engine)
	s.mesh.bound = address
	s.mesh.listenResult <- err
	return gnet.None
}

// OnOpen gives an accepted connection its session; a dialled one has it from DialContext.
func (s *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if _, found := conn.Context().(*session); !found {
		conn.SetContext(&session{closed: make(chan struct{})})
	}
	return nil, gnet.None
}

// OnClose wakes whoever waits for a reply on the connection.
func (s *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if state, found := conn.Context().(*session); found {
		close(state.closed)
	}
	return gnet.None
}

// OnTraffic takes all whole frames that have arrived.
func (s *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
	state, found := conn.Context().(*session)
	if !found {
		return gnet.Close
	}
	for {
		frame, whole, err := nextFrame(conn)
		if err == nil && whole {
			err = s.handleFrame(conn, state, frame)
		}
		if err != nil {
			s.mesh.badFrames.Add(1)
			s.mesh.Log.Warn("mesh connection closed", "peer", conn.RemoteAddr(), "error", err)
			return gnet.Close
		}
		if !whole {
			return gnet.None
		}
	}
}

// nextFrame takes a frame off the connection's buffer, if a whole one is there.
func nextFrame(conn gnet.Conn) (frame *messenger.Frame, whole bool, err error) {
	head, err := conn.Peek(lengthPrefixBytes)
	if err != nil {
		// Too few bytes so far, which is no fault of the peer.
		return nil, false, nil
	}
	length, err := frameLength(head)
	if err != nil {
		return nil, false, err
	}
	data, err := conn.Peek(length)
	if err != nil {
		return nil, false, nil
	}
	frame, err = decodeFrame(data)
	if err != nil {
		return nil, false, err
	}
	_, err = conn.Discard(length)
	return frame, true, err
}

func (s *eventHandler) handleFrame(conn gnet.Conn, state *session, frame *messenger.Frame) error {
	if s.dialled {
		return handleDialledFrame(state.link, frame)
	}
	switch kind := frame.GetKind().(type) {
	case *messenger.Frame_Hello:
		if !s.mesh.isTokenValid(kind.Hello) {
			return &FrameError{Reason: "hello with a wrong token"}
		}
		state.hello = kind.Hello
		return nil
	case *messenger.Frame_Heartbeat:
		if state.hello == nil {
			return &FrameError{Reason: "heartbeat before hello"}
		}
		go s.mesh.handleHeartbeat(state.hello, kind.Heartbeat)
		return s.sendEcho(conn, state.hello.GetRegion())
	case *messenger.Frame_Call:
		if state.hello == nil {
			return &FrameError{Reason: "call before hello"}
		}
		s.serveCall(conn, state.hello.GetRegion(), kind.Call)
		return nil
	default:
		return &FrameError{Reason: "replies are not expected here"}
	}
}

// handleDialledFrame takes what comes back on a connection that this end dialled.
func handleDialledFrame(l *link, frame *messenger.Frame) error {
	l.unansweredHeartbeats.Store(0)
	switch kind := frame.GetKind().(type) {
	case *messenger.Frame_Reply:
		l.deliver(kind.Reply)
		return nil
	case *messenger.Frame_Echo:
		return nil
	default:
		return &FrameError{Reason: "only replies and echoes are expected here"}
	}
}

// sendEcho answers a heartbeat.
func (s *eventHandler) sendEcho(conn gnet.Conn, region string) error {
	data, err := encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Echo{Echo: &messenger.Echo{}}})
	if err != nil {
		return err
	}
	s.mesh.countSent(region, len(data))
	return conn.AsyncWrite(data, nil)
}

// serveCall answers a call on a goroutine of its own and sends the reply back.
func (s *eventHandler) serveCall(conn gnet.Conn, region string, call *messenger.Call) {
	m := s.mesh
	m.handlers.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, time.Duration(call.GetPatienceNanos()))
		defer cancel()
		reply := m.Handler.ServeCall(ctx, call)
		reply.Id = call.GetId()
		data, err := encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Reply{Reply: reply}})
		if err != nil {
			m.Log.Error("reply not encoded", "key", call.GetKey(), "error", err)
			return
		}
		m.countSent(region, len(data))
		if err := conn.AsyncWrite(data, nil); err != nil {
			m.Log.Debug("reply not sent", "key", call.GetKey(), "error", err)
		}
	})
}

// discardLogger keeps gnet from writing to a log of its own: what matters is logged by this package.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
