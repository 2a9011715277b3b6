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

// faultyTransport is an instance's connection to the simulated platform. It calls the platform's
// handler directly and can simulate network partitions, lost replies and a paused process.
type faultyTransport struct {
	handler http.Handler

	mu sync.Mutex
	// resumed is closed while the instance is not paused.
	resumed chan struct{}
	// tableCut and workersCut make connections to the table or to workers fail.
	tableCut   bool
	workersCut bool
	// repliesToLose is how many of the following requests are processed but get no reply.
	repliesToLose int
	// bytes counts the request and response bodies.
	bytes atomic.Int64
}

func newFaultyTransport(handler http.Handler) *faultyTransport {
	resumed := make(chan struct{})
	close(resumed)
	return &faultyTransport{handler: handler, resumed: resumed}
}

// pause blocks all requests and replies, as if the process of the instance were paused.
func (t *faultyTransport) pause() { t.update(func() { t.resumed = make(chan struct{}) }) }

// resume ends a pause.
func (t *faultyTransport) resume() {
	t.update(func() {
		select {
		case <-t.resumed:
		default:
			close(t.resumed)
		}
	})
}

// update changes the faults under the lock.
func (t *faultyTransport) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// waitWhilePaused blocks while the instance is paused.
func (t *faultyTransport) waitWhilePaused(ctx context.Context) error {
	t.mu.Lock()
	resumed := t.resumed
	t.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// faultsFor reports whether a request to path is delivered, and whether its reply is.
func (t *faultyTransport) faultsFor(path string) (delivered, replied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	toWorker := len(path) > 8 && path[:8] == "/workers"
	if toWorker && t.workersCut || !toWorker && t.tableCut {
		return false, false
	}
	if t.repliesToLose > 0 {
		t.repliesToLose--
		return true, false
	}
	return true, true
}

// connectionLostError is the error of a client whose connection breaks before the reply has
// arrived.
type connectionLostError struct{}

func (connectionLostError) Error() string { return "connection lost" }

func (t *faultyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := t.waitWhilePaused(request.Context()); err != nil {
		return nil, err
	}
	delivered, replied := t.faultsFor(request.URL.Path)
	if !delivered {
		return nil, &net.OpError{Op: "dial", Err: connectionLostError{}}
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
		t.bytes.Add(int64(len(body)))
	}
	go func() {
		defer func() { served <- recover() == nil }()
		t.handler.ServeHTTP(recorder, inner)
	}()
	select {
	case completed := <-served:
		if !completed || !replied {
			return nil, connectionLostError{}
		}
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if err := t.waitWhilePaused(request.Context()); err != nil {
		return nil, err
	}
	t.bytes.Add(int64(recorder.Body.Len()))
	return recorder.Result(), nil
}
