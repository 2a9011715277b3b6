package mesher_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"dotterelpost.example/dotterelpost/internal/mesher"
	"dotterelpost.example/dotterelpost/internal/messenger"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// echoHandler answers each call with its key. A call with the key "hang" is not answered until its
// context ends.
type echoHandler struct{}

func (echoHandler) ServeCall(ctx context.Context, call *messenger.Call) *messenger.Reply {
	if call.GetKey() == "hang" {
		<-ctx.Done()
	}
	return &messenger.Reply{Answer: []byte(call.GetKey())}
}

// testInstance is an instance with a mesh. heartbeatSenders receives the sender of each heartbeat.
type testInstance struct {
	mesh             *mesher.Mesh
	heartbeatSenders chan string
	stop             func()
}

func startInstance(t *testing.T, name, token string) *testInstance {
	t.Helper()
	return startInstanceWith(t, mesher.Settings{Instance: name, Token: token})
}

// startInstanceWith starts an instance in the region north with other settings as given.
func startInstanceWith(t *testing.T, settings mesher.Settings) *testInstance {
	t.Helper()
	name := settings.Instance
	settings.Region, settings.Listen = "north", netip.MustParseAddrPort("127.0.0.1:0")
	i := &testInstance{heartbeatSenders: make(chan string, 1000)}
	mesh, stop, err := mesher.New(settings, mesher.Dependencies{
		Clock:     clockwork.NewRealClock(),
		Log:       slog.New(slog.DiscardHandler),
		Handler:   echoHandler{},
		Heartbeat: func() *messenger.Heartbeat { return &messenger.Heartbeat{Instance: name, Region: "north", Ticket: 7} },
		OnHeartbeat: func(heartbeat *messenger.Heartbeat) {
			select {
			case i.heartbeatSenders <- heartbeat.GetInstance():
			default:
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	i.mesh, i.stop = mesh, stop
	t.Cleanup(stop)
	return i
}

func (i *testInstance) describe(name string) modeler.Instance {
	return modeler.Instance{Name: name, Region: "north", Mesh: i.mesh.Address()}
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	a, b := startInstance(t, "a", "secret"), startInstance(t, "b", "secret")
	peers := []modeler.Instance{a.describe("a"), b.describe("b")}
	a.mesh.SetPeers(peers)
	b.mesh.SetPeers(peers)
	<-b.heartbeatSenders
	<-a.heartbeatSenders
	if heartbeat := b.mesh.LivePeers()["a"]; heartbeat.GetTicket() != 7 {
		t.Errorf("got heartbeat %v from a, want ticket 7", heartbeat)
	}
	results := make(chan string, 100)
	for i := range 100 {
		go func() {
			key := strings.Repeat("k", i+1)
			reply, err := a.mesh.Call(context.Background(), "b", &messenger.Call{Key: key, PatienceNanos: 1e10})
			if err != nil || string(reply.GetAnswer()) != key {
				results <- "wrong reply for " + key
				return
			}
			results <- ""
		}()
	}
	for range 100 {
		if failure := <-results; failure != "" {
			t.Error(failure)
		}
	}
}

// TestInstancesWithAndWithoutCompressionCallEachOther: instances have links of different speeds.
func TestInstancesWithAndWithoutCompressionCallEachOther(t *testing.T) {
	compressing, plain := startInstance(t, "a", ""), startInstanceWith(t, mesher.Settings{Instance: "b", DisableCompression: true})
	peers := []modeler.Instance{compressing.describe("a"), plain.describe("b")}
	compressing.mesh.SetPeers(peers)
	plain.mesh.SetPeers(peers)
	<-compressing.heartbeatSenders
	<-plain.heartbeatSenders
	long := strings.Repeat("request ", 200)
	sent := make(map[string]int64)
	for name, from := range map[string]*mesher.Mesh{"a": compressing.mesh, "b": plain.mesh} {
		peer := map[string]string{"a": "b", "b": "a"}[name]
		before := from.Counts().SameRegionBytes
		reply, err := from.Call(t.Context(), peer, &messenger.Call{Key: long})
		if err != nil || string(reply.GetAnswer()) != long {
			t.Errorf("call from %s: %d bytes, error %v", name, len(reply.GetAnswer()), err)
		}
		sent[name] = from.Counts().SameRegionBytes - before
	}
	if sent["a"] >= int64(len(long)) || sent["b"] < int64(len(long)) {
		t.Errorf("sent %v bytes", sent)
	}
}

func TestCallOnBrokenLinkReturnsLinkError(t *testing.T) {
	a, b := startInstance(t, "a", "secret"), startInstance(t, "b", "secret")
	a.mesh.SetPeers([]modeler.Instance{b.describe("b")})
	<-b.heartbeatSenders
	results := make(chan error, 1)
	go func() {
		_, err := a.mesh.Call(context.Background(), "b", &messenger.Call{Key: "hang", PatienceNanos: 1e11})
		results <- err
	}()
	// Calls arrive in order, so the reply to a later call shows that the hanging call has arrived.
	if _, err := a.mesh.Call(context.Background(), "b", &messenger.Call{Key: "after", PatienceNanos: 1e10}); err != nil {
		t.Fatal(err)
	}
	b.stop()
	var linkError *mesher.LinkError
	if err := <-results; !errors.As(err, &linkError) {
		t.Errorf("got %v, want a LinkError", err)
	}
	if _, err := a.mesh.Call(context.Background(), "nobody", &messenger.Call{}); !errors.As(err, &linkError) {
		t.Errorf("call to an unknown instance returned %v, want a LinkError", err)
	}
}

// TestInvalidFramesCloseTheConnection checks that a connection is closed, and one bad frame is
// counted, when a peer sends bytes that are not a frame, a frame over the size limit, a wrong token,
// a reply, or a call or heartbeat before its hello.
func TestInvalidFramesCloseTheConnection(t *testing.T) {
	frame := func(f *messenger.Frame) []byte {
		body, err := proto.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	call := frame(&messenger.Frame{Kind: &messenger.Frame_Call{Call: &messenger.Call{Key: "k", PatienceNanos: 1e9}}})
	heartbeat := frame(&messenger.Frame{Kind: &messenger.Frame_Heartbeat{Heartbeat: &messenger.Heartbeat{Instance: "x"}}})
	hello := frame(&messenger.Frame{Kind: &messenger.Frame_Hello{Hello: &messenger.Hello{Instance: "x", Token: "wrong"}}})
	reply := frame(&messenger.Frame{Kind: &messenger.Frame_Reply{Reply: &messenger.Reply{Id: 1}}})
	for name, data := range map[string][]byte{
		"not a frame":                []byte("GET / HTTP/1.1\r\n\r\n"),
		"over the limit":             {0xff, 0xff, 0xff, 0xff},
		"invalid protobuf":           {0, 0, 0, 2, 0xff, 0xff},
		"wrong token":                hello,
		"call before hello":          call,
		"heartbeat before hello":     heartbeat,
		"unexpected reply":           reply,
		"frame after an invalid one": append(append([]byte{}, hello...), call...),
	} {
		t.Run(name, func(t *testing.T) {
			a := startInstance(t, "a", "secret")
			conn, err := net.Dial("tcp", a.mesh.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
			// ReadAll returns when the mesh has closed the connection.
			if left, _ := io.ReadAll(conn); len(left) > 0 {
				t.Errorf("got reply %q, want a closed connection", left)
			}
			if count := a.mesh.Counts().BadFrames; count != 1 {
				t.Errorf("counted %d bad frames, want 1", count)
			}
		})
	}
}

// TestSilentConnectionIsRedialled checks that a connection is redialled when the peer accepts bytes
// but never sends any, because a new connection may reach its process.
func TestSilentConnectionIsRedialled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	mesh, stop, err := mesher.New(mesher.Settings{
		Instance: "a", Region: "north", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		SameRegionHeartbeatInterval: time.Millisecond,
	}, mesher.Dependencies{
		Clock:       clockwork.NewRealClock(),
		Log:         slog.New(slog.DiscardHandler),
		Handler:     echoHandler{},
		Heartbeat:   func() *messenger.Heartbeat { return &messenger.Heartbeat{Instance: "a", Region: "north"} },
		OnHeartbeat: func(*messenger.Heartbeat) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	silent := netip.MustParseAddrPort(listener.Addr().String())
	mesh.SetPeers([]modeler.Instance{{Name: "b", Region: "north", Mesh: silent}})
	for range 2 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
}

// TestUnlistedPeerIsDialled checks that two instances receive each other's heartbeats although only
// one of them was told about the other.
func TestUnlistedPeerIsDialled(t *testing.T) {
	var meshes []*mesher.Mesh
	heartbeatSenders := make(chan string, 1000)
	for _, name := range []string{"a", "b"} {
		mesh, stop, err := mesher.New(mesher.Settings{
			Instance: name, Region: "north", Listen: netip.MustParseAddrPort("127.0.0.1:0"), DialUnlistedPeers: true,
		}, mesher.Dependencies{
			Clock:       clockwork.NewRealClock(),
			Log:         slog.New(slog.DiscardHandler),
			Handler:     echoHandler{},
			Heartbeat:   func() *messenger.Heartbeat { return &messenger.Heartbeat{Instance: name, Region: "north"} },
			OnHeartbeat: func(heartbeat *messenger.Heartbeat) { heartbeatSenders <- heartbeat.GetInstance() },
		})
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		meshes = append(meshes, mesh)
	}
	meshes[0].SetPeers([]modeler.Instance{{Name: "b", Region: "north", Mesh: meshes[1].Address()}})
	for got := map[string]bool{}; !got["a"] || !got["b"]; {
		got[<-heartbeatSenders] = true
	}
}

// TestSilentConnectionIsNoticedByItsCalls checks that a connection that carries heartbeats once an hour
// is redialled soon after a call on it got no reply.
func TestSilentConnectionIsNoticedByItsCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clock := clockwork.NewFakeClock()
	mesh, stop, err := mesher.New(mesher.Settings{
		Instance: "a", Region: "north", Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		HeartbeatInterval: func(string) time.Duration { return time.Hour },
	}, mesher.Dependencies{
		Clock:       clock,
		Log:         slog.New(slog.DiscardHandler),
		Handler:     echoHandler{},
		Heartbeat:   func() *messenger.Heartbeat { return &messenger.Heartbeat{Instance: "a", Region: "north"} },
		OnHeartbeat: func(*messenger.Heartbeat) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	mesh.SetPeers([]modeler.Instance{{Name: "b", Region: "north", Mesh: netip.MustParseAddrPort(listener.Addr().String())}})
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	// The link waits for its next heartbeat once it is connected, and its frames for their batch.
	if err := clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var linkError *mesher.LinkError
	if _, err := mesh.Call(ctx, "b", &messenger.Call{Key: "k"}); !errors.As(err, &linkError) {
		t.Fatalf("got %v, want a LinkError", err)
	}
	accepted := make(chan error, 1)
	go func() {
		second, err := listener.Accept()
		if err == nil {
			second.Close()
		}
		accepted <- err
	}()
	for {
		select {
		case err := <-accepted:
			if err != nil {
				t.Fatal(err)
			}
			return
		default:
			clock.Advance(100 * time.Millisecond)
			runtime.Gosched()
		}
	}
}
