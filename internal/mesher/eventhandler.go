package mesher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"dotterelpost.example/dotterelpost/internal/messenger"
)

// eventHandler handles the gnet events of either the dialled or the accepted connections. Its methods
// run on gnet's event loops and must not block.
type eventHandler struct {
	gnet.BuiltinEventEngine
	mesh    *Mesh
	dialled bool
}

// session is the state of one connection. The field link is set for a dialled connection; hello is
// set for an accepted connection after the peer has sent a valid hello.
type session struct {
	link   *link
	closed chan struct{}
	hello  *messenger.Hello
	// replies sends the replies and echoes on an accepted connection after its hello.
	replies      *batcher
	repliedBytes atomic.Int64
}

// OnBoot records the address of the listener and reports to New that it is bound.
func (h *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if h.dialled {
		return gnet.None
	}
	h.mesh.engine = engine
	address, err := listenerAddress(engine)
	h.mesh.listenAddress = address
	h.mesh.listenResult <- err
	return gnet.None
}

// OnOpen creates the session of an accepted connection. A dialled connection already has the session
// that was passed to EnrollContext.
func (h *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if _, found := conn.Context().(*session); !found {
		conn.SetContext(&session{closed: make(chan struct{})})
	}
	return nil, gnet.None
}

// OnClose wakes the calls that wait for a reply on the connection.
func (h *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if sess, found := conn.Context().(*session); found {
		close(sess.closed)
	}
	return gnet.None
}

// OnTraffic handles all complete frames in the receive buffer.
func (h *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
	sess, found := conn.Context().(*session)
	if !found {
		return gnet.Close
	}
	for {
		frame, complete, err := nextFrame(conn)
		if err == nil && complete {
			err = h.handleFrame(conn, sess, frame)
		}
		if err != nil {
			h.mesh.badFrames.Add(1)
			h.mesh.Log.Warn("mesh connection closed", "peer", conn.RemoteAddr(), "error", err)
			return gnet.Close
		}
		if !complete {
			return gnet.None
		}
	}
}

// nextFrame removes the next frame from the connection's receive buffer and decodes it. It reports
// false if the buffer holds no complete frame yet.
func nextFrame(conn gnet.Conn) (frame *messenger.Frame, complete bool, err error) {
	prefix, err := conn.Peek(lengthPrefixBytes)
	if err != nil {
		// The prefix is still incomplete, which is not an error.
		return nil, false, nil
	}
	length, err := frameLength(prefix)
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

func (h *eventHandler) handleFrame(conn gnet.Conn, sess *session, frame *messenger.Frame) error {
	if batch := frame.GetBatch(); batch != nil {
		frames, err := decodeBatch(batch)
		if err != nil {
			return err
		}
		for _, frame := range frames {
			if err := h.handleFrame(conn, sess, frame); err != nil {
				return err
			}
		}
		return nil
	}
	if h.dialled {
		return handleDialledFrame(sess.link, frame)
	}
	switch kind := frame.GetKind().(type) {
	case *messenger.Frame_Hello:
		if !h.mesh.isTokenValid(kind.Hello) {
			return &FrameError{Reason: "hello with an invalid token"}
		}
		sess.hello, sess.replies = kind.Hello, newBatcher(h.mesh, conn, kind.Hello.GetRegion(), &sess.repliedBytes)
		return nil
	case *messenger.Frame_Heartbeat:
		if sess.hello == nil {
			return &FrameError{Reason: "heartbeat before hello"}
		}
		go h.mesh.handleHeartbeat(sess.hello, kind.Heartbeat)
		return sess.replies.send(&messenger.Frame{Kind: &messenger.Frame_Echo{Echo: &messenger.Echo{}}}, bulkReplyDelay)
	case *messenger.Frame_Call:
		if sess.hello == nil {
			return &FrameError{Reason: "call before hello"}
		}
		h.serveCall(sess.replies, kind.Call)
		return nil
	default:
		return &FrameError{Reason: "replies and echoes are not allowed on an accepted connection"}
	}
}

// handleDialledFrame handles a frame that was received on a connection dialled by this instance.
func handleDialledFrame(l *link, frame *messenger.Frame) error {
	l.unansweredHeartbeats.Store(0)
	l.receivedFrames.Add(1)
	switch kind := frame.GetKind().(type) {
	case *messenger.Frame_Reply:
		l.deliver(kind.Reply)
		return nil
	case *messenger.Frame_Echo:
		return nil
	default:
		return &FrameError{Reason: "only replies and echoes are allowed on a dialled connection"}
	}
}

// serveCall serves a call on its own goroutine and sends the reply.
func (h *eventHandler) serveCall(replies *batcher, call *messenger.Call) {
	m := h.mesh
	m.handlers.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, time.Duration(call.GetPatienceNanos()))
		defer cancel()
		reply := m.Handler.ServeCall(ctx, call)
		reply.Id = call.GetId()
		if err := replies.send(&messenger.Frame{Kind: &messenger.Frame_Reply{Reply: reply}}, replyDelay(call.GetKind())); err != nil {
			m.Log.Error("cannot encode reply", "key", call.GetKey(), "error", err)
		}
	})
}

// discardLogger discards gnet's log messages. This package logs the relevant events itself.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
