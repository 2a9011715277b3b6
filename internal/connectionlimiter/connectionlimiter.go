// Package connectionlimiter limits the connections of an HTTP server. At the limit it accepts a new connection and closes
// another: the one that has waited longest for a request or for the rest of a header, or else the one whose request
// takes longest.
//
// # Usage
//
//	limiter := connectionlimiter.New(connectionlimiter.Max(descriptors), clock, log)
//	server := &http.Server{ConnState: limiter.Observe}
//	server.Serve(limiter.Listener(listener))
package connectionlimiter

import (
	"container/list"
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// callersNumerator / callersDenominator is the part of the other descriptors that the connections of callers may
	// take. The rest is for the store, workers and peers.
	callersNumerator, callersDenominator = 3, 4
	// logInterval and logBurst limit the logged connections.
	logInterval = 100 * time.Millisecond
	logBurst    = 10
)

// Max returns the number of connections of callers that a process with a limit on descriptors accepts; 0 means no limit.
func Max(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, (descriptors-fileDescriptors)*callersNumerator/callersDenominator)
}

const (
	// memoryDivisor is the inverse of the share of the memory limit for what connections have received and the
	// process has not read.
	memoryDivisor = 8
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffer of a connection.
	minReceiveBuffer, maxReceiveBuffer = 8 << 10, 64 << 10
)

// ReceiveBuffer returns the size in bytes of the receive buffers of a number of connections in a process with a memory
// limit; 0 means that of the system.
func ReceiveBuffer(memoryLimit int64, connections int) int {
	if memoryLimit <= 0 || connections <= 0 {
		return 0
	}
	return int(max(minReceiveBuffer, min(maxReceiveBuffer, memoryLimit/memoryDivisor/int64(connections))))
}

// Listen listens on a TCP address. The connections have receive buffers of a size in bytes; 0 means that of the system.
func Listen(ctx context.Context, address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		// Accepted connections inherit the option.
		config.Control = func(_, _ string, socket syscall.RawConn) error {
			return socket.Control(func(descriptor uintptr) {
				// Without the option the buffers have the size of the system.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	return config.Listen(ctx, "tcp", address)
}

// Limiter limits the connections of one server. Its methods may be called concurrently.
type Limiter struct {
	max   int
	clock clockwork.Clock
	log   *slog.Logger

	mu    sync.Mutex
	table table

	closed   expvar.Int
	logged   *rate.Limiter
	unlogged atomic.Int64
}

// New returns a limiter of a number of connections; 0 means no limit.
func New(maxConnections int, clock clockwork.Clock, log *slog.Logger) *Limiter {
	return &Limiter{max: maxConnections, clock: clock, log: log, table: newTable(), logged: rate.NewLimiter(rate.Every(logInterval), logBurst)}
}

// Map returns the metrics: open connections, their limit and the number of those that were closed for others.
func (l *Limiter) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("open", expvar.Func(func() any {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.table.entries)
	}))
	m.Set("limit", expvar.Func(func() any { return l.max }))
	m.Set("closed-for-others", &l.closed)
	return m
}

// Observe follows the state of a connection. It is the ConnState function of the server.
func (l *Limiter) Observe(connection net.Conn, state http.ConnState) {
	if l.max == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.set(connection, state, l.clock.Now())
}

// Listener returns a listener that accepts the connections of another one and keeps the limit.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	if l.max == 0 {
		return listener
	}
	return &limitedListener{Listener: listener, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

func (l *limitedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.limiter.admit(connection)
	}
	return connection, err
}

// admit adds a connection and closes another at the limit. Closing returns when its descriptor is free.
func (l *Limiter) admit(connection net.Conn) {
	l.mu.Lock()
	now := l.clock.Now()
	var victim *entry
	if len(l.table.entries) >= l.max {
		victim = l.table.nextToClose()
		l.table.remove(victim.connection)
	}
	l.table.set(connection, http.StateNew, now)
	l.mu.Unlock()
	if victim == nil {
		return
	}
	// An error means that it is closed already.
	_ = victim.connection.Close()
	l.closed.Add(1)
	if l.logged.AllowN(now, 1) {
		l.log.Info("connection closed for another", "state", victim.state.String(), "in-state-ms", now.Sub(victim.since).Milliseconds(),
			"limit", l.max, "unlogged", l.unlogged.Swap(0))
	} else {
		l.unlogged.Add(1)
	}
}

// table holds the open connections. It does no I/O and reads no clock.
type table struct {
	entries map[net.Conn]*entry
	// waiting lists the connections without a complete header, and serving those with a request, by the
	// time of their last change of state.
	waiting, serving *list.List
}

type entry struct {
	connection net.Conn
	state      http.ConnState
	since      time.Time
	listed     *list.List
	element    *list.Element
}

func newTable() table {
	return table{entries: make(map[net.Conn]*entry), waiting: list.New(), serving: list.New()}
}

// set records the state of a connection. States other than StateNew of connections that were removed are ignored.
func (t *table) set(connection net.Conn, state http.ConnState, now time.Time) {
	e := t.entries[connection]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		t.remove(connection)
		return
	case e != nil && state == http.StateNew, e == nil && state != http.StateNew:
		return
	case e == nil:
		e = &entry{connection: connection}
		t.entries[connection] = e
	default:
		e.listed.Remove(e.element)
	}
	e.state, e.since, e.listed = state, now, t.waiting
	if state == http.StateActive {
		e.listed = t.serving
	}
	e.element = e.listed.PushBack(e)
}

func (t *table) remove(connection net.Conn) {
	if e := t.entries[connection]; e != nil {
		e.listed.Remove(e.element)
		delete(t.entries, connection)
	}
}

// nextToClose returns the connection that is closed first. There must be one.
func (t *table) nextToClose() *entry {
	if longest := t.waiting.Front(); longest != nil {
		return longest.Value.(*entry)
	}
	return t.serving.Front().Value.(*entry)
}
