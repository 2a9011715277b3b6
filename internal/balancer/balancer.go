// Package balancer provides a simple TCP load balancer that replaces the platform's load balancer
// in the demo and in tests.
//
// # Usage
//
//	b, closeBalancer, err := balancer.New(listen, targets)
//	address, err := b.Address()
//
// It forwards TCP connections to the targets in round-robin order. It does not inspect the data and
// does no health checks: the function targets must return only targets that are ready.
package balancer

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// dialTimeout limits the time to connect to one target.
const dialTimeout = time.Second

// Balancer is a round-robin TCP load balancer.
type Balancer struct {
	listener   net.Listener
	targets    func() []netip.AddrPort
	nextTarget atomic.Uint64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New starts a Balancer that listens on the address listen, and returns it with the function that
// closes it. It calls targets for each new connection.
func New(listen netip.AddrPort, targets func() []netip.AddrPort) (*Balancer, func(), error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen on the balancer address")
	}
	b := &Balancer{listener: listener, targets: targets, conns: make(map[net.Conn]struct{})}
	go b.accept()
	return b, b.close, nil
}

// Address returns the address on which the Balancer listens.
func (b *Balancer) Address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(b.listener.Addr().String())
	if err != nil {
		return address, errors.Wrap(err, "parse the balancer address")
	}
	return address, nil
}

func (b *Balancer) close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *Balancer) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.proxy(conn)
	}
}

func (b *Balancer) track(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[conn] = struct{}{}
}

func (b *Balancer) closeConn(conn net.Conn) {
	b.mu.Lock()
	delete(b.conns, conn)
	b.mu.Unlock()
	_ = conn.Close()
}

// proxy forwards data in both directions until either side closes its connection.
func (b *Balancer) proxy(client net.Conn) {
	b.track(client)
	defer b.closeConn(client)
	target := b.dial()
	if target == nil {
		return
	}
	b.track(target)
	defer b.closeConn(target)
	var once sync.Once
	ended := make(chan struct{})
	copyStream := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		once.Do(func() { close(ended) })
	}
	go copyStream(target, client)
	go copyStream(client, target)
	<-ended
}

// dial connects to the next target that accepts a connection. It returns nil if none of them does.
func (b *Balancer) dial() net.Conn {
	targets := b.targets()
	for range targets {
		target := targets[int(b.nextTarget.Add(1)%uint64(len(targets)))]
		conn, err := net.DialTimeout("tcp", target.String(), dialTimeout)
		if err == nil {
			return conn
		}
	}
	return nil
}
