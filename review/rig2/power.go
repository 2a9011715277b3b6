package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// powerListener is a listener whose machine can lose its power.
type powerListener struct {
	net.Listener

	mu     sync.Mutex
	silent bool
	closed chan struct{}
	// held are the connections that were made afterwards.
	held []net.Conn
}

// fillers is how many connections fill the queue of a listener that accepts none.
const fillers = 4

// Accept returns the next connection, and none while the machine has no power.
func (l *powerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	silent := l.silent
	if silent {
		l.held = append(l.held, connection)
	}
	l.mu.Unlock()
	if !silent {
		return connection, nil
	}
	// The queue fills from here on, so that the opening packets of further connections are dropped.
	<-l.closed
	return nil, net.ErrClosed
}

// Close closes the listener and ends an Accept that is held.
func (l *powerListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}

// fallSilent makes new connections hang, like those to a machine without power.
func (l *powerListener) fallSilent() error {
	l.mu.Lock()
	l.silent = true
	l.mu.Unlock()
	listener, found := l.Listener.(*net.TCPListener)
	if !found {
		return errNotRun
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), 0) }); err != nil {
		return err
	}
	if listenErr != nil {
		return listenErr
	}
	address := listener.Addr().String()
	for range fillers {
		if connection, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			l.mu.Lock()
			l.held = append(l.held, connection)
			l.mu.Unlock()
		}
	}
	return nil
}
