// Package relay forwards TCP connections and disrupts them as a device on the path does: without
// notice to either end.
package relay

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Direction is a direction of data through a relay.
type Direction uint8

const (
	ToTarget Direction = iota
	FromTarget
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener

	mu          sync.Mutex
	target      string
	connections map[*connection]struct{}
	// dropping (by direction) and delay are the active disruptions.
	dropping [2]bool
	delay    time.Duration
	// link, if not nil, limits the bandwidth of all connections together.
	link *Link
}

// connection is one forwarded connection, with its ends at the client and at the target. A direction
// that has lost data is silenced for good, since later data would otherwise arrive without the data
// before it.
type connection struct {
	relay          *Relay
	client, target net.Conn
	mu             sync.Mutex
	silenced       [2]bool
	// abandoned is set if the client's close was lost, so that the target's end stays open.
	abandoned bool
}

// New listens on a free port and forwards connections to target until Close.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, connections: make(map[*connection]struct{})}
	go r.accept()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget sets the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Drop discards all data in the given directions, on open and new connections, until Restore. The
// connections stay open. Those that lost data in that time stay silent also after Restore.
func (r *Relay) Drop(directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.dropping[d] = true
	}
}

// Delay delays all data by d until Restore.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetLink sets the link that limits the bandwidth of all connections together. Several relays may
// share a link. Nil removes it.
func (r *Relay) SetLink(link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
}

// Restore ends Drop and Delay. Connections that have lost data stay silent, and the link set by
// SetLink remains.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping = [2]bool{}
	r.delay = 0
}

// Reset resets all open connections at both ends, as a device does that has lost its connection
// state.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		for _, end := range []net.Conn{c.client, c.target} {
			closeByReset(end)
		}
		c.close()
	}
}

// Silence silences both directions of all open connections for good and returns the number of these
// connections. They stay open, and new connections work.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.mu.Lock()
		c.silenced = [2]bool{true, true}
		c.mu.Unlock()
	}
	return len(r.connections)
}

// Abandoned returns the number of connections that the target still holds open because the client's
// close was lost.
func (r *Relay) Abandoned() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.connections {
		c.mu.Lock()
		if c.abandoned {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.CloseConnections()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *Relay) forward(client net.Conn) {
	r.mu.Lock()
	address := r.target
	r.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		client.Close()
		return
	}
	c := &connection{relay: r, client: client, target: target}
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { c.copy(ToTarget, target, client) })
	wait.Go(func() { c.copy(FromTarget, client, target) })
	wait.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

const bufferBytes = 32 << 10

func (c *connection) copy(direction Direction, to, from net.Conn) {
	defer c.closeUnlessSilenced(direction)
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && c.admit(direction, n) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			closeByReset(to)
		}
		if err != nil {
			return
		}
	}
}

// closeByReset makes the close of a connection reset it.
func closeByReset(end net.Conn) {
	if tcp, ok := end.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection is already closed.
	}
}

// admit waits for the active delay and the link, and reports whether n bytes may be forwarded. Data
// that is dropped silences the direction.
func (c *connection) admit(direction Direction, n int) bool {
	dropping, delay, link := c.relay.disruption(direction)
	if link != nil {
		delay += link.transferTime(direction, n)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced[direction] = c.silenced[direction] || dropping
	return !c.silenced[direction]
}

// disruption returns the active disruptions of a direction.
func (r *Relay) disruption(direction Direction) (dropping bool, delay time.Duration, link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropping[direction], r.delay, r.link
}

// closeUnlessSilenced closes both ends after one has been closed. If the direction of the close drops
// data or is silenced, the connection stays open, as if the close had been lost too.
func (c *connection) closeUnlessSilenced(direction Direction) {
	dropping, _, _ := c.relay.disruption(direction)
	c.mu.Lock()
	silenced := dropping || c.silenced[direction]
	c.abandoned = c.abandoned || silenced && direction == ToTarget
	c.mu.Unlock()
	if !silenced {
		c.close()
	}
}

func (c *connection) close() {
	c.client.Close()
	c.target.Close()
}
