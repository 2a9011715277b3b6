// Package balancer is a stand-in for the platform's balancer, for the demo and for tests.
//
// # Usage
//
//	front, closeFront, err := balancer.New(listen, targets)
//	address, err := front.Address()
//
// It hands each TCP connection to the next target and copies bytes both ways. It looks into nothing
// and knows of no health; targets returns those that are ready.
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

// dialTimeout bounds how long the balancer tries one target.
const dialTimeout = time.Second

// Balancer is a stand-in for the platform's balancer: it hands each connection to the next target.
type Balancer struct {
	listener   net.Listener
	targets    func() []netip.AddrPort
	nextTarget atomic.Uint64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New listens and returns the bound balancer with the function that closes it. Targets is
// asked at each connection.
func New(listen netip.AddrPort, targets func() []netip.AddrPort) (*Balancer, func(), error) {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for the balancer")
	}
	b := &Balancer{listener: listener, targets: targets, conns: make(map[net.Conn]struct{})}
	go b.accept()
	return b, b.close, nil
}

// Address returns the bound address.
func (b *Balancer) Address() (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(b.listener.Addr().String())
	if err != nil {
		return address, errors.Wrap(err, "address of the balancer")
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

// carry copies both ways until either side ends.
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
