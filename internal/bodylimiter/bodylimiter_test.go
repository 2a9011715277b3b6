package bodylimiter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// pipeListener accepts one end of a pipe for each connection.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.connections <- server
	return client
}

const testLimit = 64 << 10

// serve starts a server whose handler reads a body and answers with its length, or 503 if it was ended.
func serve(t *testing.T, l *Limiter) (listener *pipeListener, served *atomic.Int64) {
	listener = &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	served = new(atomic.Int64)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		data, release, err := l.read(w, r, testLimit, 3*time.Second)
		var ended *EndedError
		if errors.As(err, &ended) {
			w.Header().Set("Connection", "close")
			http.Error(w, string(ended.Reason), http.StatusServiceUnavailable)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		defer release()
		fmt.Fprint(w, len(data))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener, served
}

func newLimiter(budget int64) *Limiter {
	return New(budget, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
}

// answer returns the status and the body of the next response.
func answer(t *testing.T, connection io.Reader) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// TestUnfinishedBodiesEnd: a body without progress ends after stallTimeout or the time that its caller waits. What
// follows it is not read as a request, and what it held is given back.
func TestUnfinishedBodiesEnd(t *testing.T) {
	for name, test := range map[string]struct {
		announcement, sent string
	}{
		"small":   {"Content-Length: 10", "123"},
		"large":   {"Content-Length: 60000", strings.Repeat("x", 50000)},
		"chunked": {"Transfer-Encoding: chunked", "c350\r\n" + strings.Repeat("x", 50000) + "\r\n"},
		"nothing": {"Content-Length: 10", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter(Budget(1<<20, testLimit))
				listener, served := serve(t, l)
				connection := listener.dial()
				defer connection.Close()
				if _, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\n"+test.announcement+"\r\n\r\n"+test.sent); err != nil {
					t.Fatal(err)
				}
				if status, reason := answer(t, connection); status != http.StatusServiceUnavailable || reason != string(TooSlow) {
					t.Errorf("status %d, %q, want 503 because the body is too slow", status, reason)
				}
				_, _ = io.WriteString(connection, "x\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
				synctest.Wait()
				if count := served.Load(); count != 1 {
					t.Errorf("%d requests were served, want 1", count)
				}
				if l.ledger.held != 0 || l.ledger.open.Len() != 0 || l.ledger.ending != 0 {
					t.Errorf("%d bytes held by %d bodies", l.ledger.held, l.ledger.open.Len())
				}
			})
		})
	}
}

// TestBodyGivesWay: the budget has room for one body, and the older one gives way to the newer.
func TestBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(96 << 10)
		listener, _ := serve(t, l)
		older, newer := listener.dial(), listener.dial()
		defer older.Close()
		defer newer.Close()
		header := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testLimit)
		for _, connection := range []net.Conn{older, newer} {
			if _, err := io.WriteString(connection, header+strings.Repeat("x", 20<<10)); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		go func() { _, _ = io.WriteString(newer, strings.Repeat("x", testLimit-20<<10)) }()
		if status, reason := answer(t, older); status != http.StatusServiceUnavailable || reason != string(GaveWay) {
			t.Errorf("the older body: status %d, %q", status, reason)
		}
		if status, length := answer(t, newer); status != http.StatusOK || length != fmt.Sprint(testLimit) {
			t.Errorf("the newer body: status %d, %q", status, length)
		}
		synctest.Wait()
		if l.ledger.held != 0 {
			t.Errorf("%d bytes are held", l.ledger.held)
		}
	})
}

// TestBodiesAreRead reads bodies around the sizes at which the buffer grows, with and without a declared length.
func TestBodiesAreRead(t *testing.T) {
	for _, size := range []int{0, 1, FreeBytes - 1, FreeBytes, FreeBytes + 1, 3 * FreeBytes, testLimit - 1, testLimit, testLimit + 1} {
		for _, declared := range []bool{true, false} {
			l := newLimiter(Budget(1<<20, testLimit))
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
			if !declared {
				request.ContentLength = -1
			}
			data, release, err := l.read(httptest.NewRecorder(), request, testLimit, time.Second)
			var tooLarge *http.MaxBytesError
			switch {
			case size > testLimit:
				if !errors.As(err, &tooLarge) {
					t.Errorf("%d bytes, declared %t: %v, want an error", size, declared, err)
				}
			case err != nil || len(data) != size:
				t.Errorf("%d bytes, declared %t: read %d, %v", size, declared, len(data), err)
			default:
				release()
			}
			if l.ledger.held != 0 || len(l.decoding) != 0 {
				t.Errorf("%d bytes, declared %t: %d bytes are held", size, declared, l.ledger.held)
			}
		}
	}
}

func BenchmarkReadSmallBody(b *testing.B) {
	l := newLimiter(Budget(1<<20, testLimit))
	body := strings.NewReader("")
	request := httptest.NewRequestWithContext(b.Context(), http.MethodPost, "/", nil)
	text := strings.Repeat("x", 400)
	request.Body, request.ContentLength = io.NopCloser(body), int64(len(text))
	recorder := httptest.NewRecorder()
	b.ReportAllocs()
	for b.Loop() {
		body.Reset(text)
		_, release, err := l.read(recorder, request, testLimit, time.Second)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}

// TestPanickingDecoderReturnsWhatTheBodyHolds: net/http recovers from panics of handlers, so that the process lives on.
func TestPanickingDecoderReturnsWhatTheBodyHolds(t *testing.T) {
	l := newLimiter(1 << 20)
	body := strings.Repeat("x", 8*FreeBytes)
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader(body))
		decoded := 0
		func() {
			defer func() { _ = recover() }()
			_ = l.Read(httptest.NewRecorder(), request, testLimit, time.Second, func(data []byte) {
				decoded = len(data)
				panic("decoder")
			})
		}()
		cancel()
		if decoded != len(body) || l.held() != 0 || len(l.decoding) != 0 {
			t.Fatalf("%d of %d bytes decoded, %d held and %d decoding afterwards, want none", decoded, len(body), l.held(), len(l.decoding))
		}
	}
}
