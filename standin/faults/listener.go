package faults

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a net.Listener so that its open connections can be made silent. This simulates a
// device on the path that has lost its connection state: nothing arrives on the open connections,
// neither end gets an error, and new connections work.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]struct{}
}

// NewListener wraps inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: make(map[*silentConn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silentConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// Silence makes all open connections silent for good and returns their number.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		conn.silent.Store(true)
	}
	return len(l.open)
}

type silentConn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read discards what arrives on a silent connection. It returns when the connection is closed, so
// that a test's server can stop.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards data for a silent connection and reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
