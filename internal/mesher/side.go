package mesher

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// side is gnet's event handler of one end: that of dialled or that of accepted connections. Its
// methods run on gnet's event loops and never wait.
type side struct {
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
func (s *side) OnBoot(engine gnet.Engine) gnet.Action {
	if s.dialled {
		return gnet.None
	}
	s.mesh.engine = engine
	address, err := boundAddress(engine)
	s.mesh.bound = address
	s.mesh.booted <- err
	return gnet.None
}

// OnOpen gives an accepted connection its session; a dialled one has it from DialContext.
func (s *side) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if _, found := conn.Context().(*session); !found {
		conn.SetContext(&session{closed: make(chan struct{})})
	}
	return nil, gnet.None
}

// OnClose wakes whoever waits for a reply on the connection.
func (s *side) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if state, found := conn.Context().(*session); found {
		close(state.closed)
	}
	return gnet.None
}

// OnTraffic takes all whole frames that have arrived.
func (s *side) OnTraffic(conn gnet.Conn) gnet.Action {
	state, found := conn.Context().(*session)
	if !found {
		return gnet.Close
	}
	for {
		frame, whole, err := nextFrame(conn)
		if err == nil && whole {
			err = s.take(conn, state, frame)
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
	head, err := conn.Peek(lengthBytes)
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

func (s *side) take(conn gnet.Conn, state *session, frame *messenger.Frame) error {
	if s.dialled {
		return takeDialled(state.link, frame)
	}
	switch kind := frame.GetKind().(type) {
	case *messenger.Frame_Hello:
		if !s.mesh.admits(kind.Hello) {
			return &FrameError{Reason: "hello with a wrong token"}
		}
		state.hello = kind.Hello
		return nil
	case *messenger.Frame_Heartbeat:
		if state.hello == nil {
			return &FrameError{Reason: "heartbeat before hello"}
		}
		go s.mesh.heard(state.hello, kind.Heartbeat)
		return s.echo(conn, state.hello.GetRegion())
	case *messenger.Frame_Call:
		if state.hello == nil {
			return &FrameError{Reason: "call before hello"}
		}
		s.serve(conn, state.hello.GetRegion(), kind.Call)
		return nil
	default:
		return &FrameError{Reason: "replies are not expected here"}
	}
}

// takeDialled takes what comes back on a connection that this end dialled.
func takeDialled(l *link, frame *messenger.Frame) error {
	l.unanswered.Store(0)
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

// echo answers a heartbeat.
func (s *side) echo(conn gnet.Conn, region string) error {
	data, err := encodeFrame(&messenger.Frame{Kind: &messenger.Frame_Echo{Echo: &messenger.Echo{}}})
	if err != nil {
		return err
	}
	s.mesh.countSent(region, len(data))
	return conn.AsyncWrite(data, nil)
}

// serve answers a call on a goroutine of its own and sends the reply back.
func (s *side) serve(conn gnet.Conn, region string, call *messenger.Call) {
	m := s.mesh
	m.serve.Go(func() {
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

// silence keeps gnet from writing to a log of its own: what matters is logged by this package.
type silence struct{}

func (silence) Debugf(string, ...any) {}
func (silence) Infof(string, ...any)  {}
func (silence) Warnf(string, ...any)  {}
func (silence) Errorf(string, ...any) {}
func (silence) Fatalf(string, ...any) {}
