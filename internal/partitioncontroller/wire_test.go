package partitioncontroller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
)

// wire is an instance's way to the platform, without a network: it calls the stand-in's handler.
// It can be cut, lose replies after delivery, and freeze like a paused process.
type wire struct {
	handler http.Handler

	mu      sync.Mutex
	thaw    chan struct{}
	noTable bool
	noWork  bool
	lose    int
	// bytes counts the bodies that went both ways between the instance and the platform.
	bytes atomic.Int64
}

func newWire(handler http.Handler) *wire {
	open := make(chan struct{})
	close(open)
	return &wire{handler: handler, thaw: open}
}

func (w *wire) freeze() { w.set(func() { w.thaw = make(chan struct{}) }) }
func (w *wire) unfreeze() {
	w.set(func() {
		select {
		case <-w.thaw:
		default:
			close(w.thaw)
		}
	})
}

func (w *wire) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *wire) awake(ctx context.Context) error {
	w.mu.Lock()
	thaw := w.thaw
	w.mu.Unlock()
	select {
	case <-thaw:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit tells whether a request gets through, and whether its reply will.
func (w *wire) admit(path string) (through, back bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isWork := len(path) > 8 && path[:8] == "/workers"
	if isWork && w.noWork || !isWork && w.noTable {
		return false, false
	}
	if w.lose > 0 {
		w.lose--
		return true, false
	}
	return true, true
}

// lostError is what a client sees when a connection breaks in the middle.
type lostError struct{}

func (lostError) Error() string { return "connection lost" }

func (w *wire) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := w.awake(request.Context()); err != nil {
		return nil, err
	}
	through, back := w.admit(request.URL.Path)
	if !through {
		return nil, &net.OpError{Op: "dial", Err: lostError{}}
	}
	recorder := httptest.NewRecorder()
	served := make(chan bool, 1)
	inner := request.Clone(request.Context())
	inner.Body = http.NoBody
	if request.Body != nil {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, err
		}
		inner.Body = io.NopCloser(bytes.NewReader(body))
		w.bytes.Add(int64(len(body)))
	}
	go func() {
		defer func() { served <- recover() == nil }()
		w.handler.ServeHTTP(recorder, inner)
	}()
	select {
	case whole := <-served:
		if !whole || !back {
			return nil, lostError{}
		}
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if err := w.awake(request.Context()); err != nil {
		return nil, err
	}
	w.bytes.Add(int64(recorder.Body.Len()))
	return recorder.Result(), nil
}
