// Package relay forwards TCP connections and disrupts them as a device on the path does: without
// notice to either end.
package relay

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of data through a relay.
type Direction uint8

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	pairs  map[*pair]struct{}
	// dropping and delay are the active disruptions.
	dropping [2]bool
	delay    time.Duration
	// link, if not nil, limits the bandwidth of all connections together.
	link *Link
}

// pair is one forwarded connection: near is the end at the dialler, far that at the target. A
// direction that has lost data stays silent for good, since later data would otherwise arrive
// without the data before it.
type pair struct {
	relay     *Relay
	near, far net.Conn
	mu        sync.Mutex
	silent    [2]bool
}

// New listens on a free port and forwards connections to target until Close.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*pair]struct{})}
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

// Drop discards all data in the given directions, on open and new connections, until Restore.
// Connections stay open; those that have lost data stay silent.
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

// SetLink sets the link that all data passes, which other relays may share. Nil removes it.
func (r *Relay) SetLink(link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
}

// Restore ends the effects of Drop and Delay.
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
	for p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Fails only if the connection is already closed.
			}
		}
		p.close()
	}
}

// Mute makes all open connections discard data in both directions for good. They stay open, and new
// connections work. It returns their number.
func (r *Relay) Mute() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		p.silent = [2]bool{true, true}
		p.mu.Unlock()
	}
	return len(r.pairs)
}

// CloseConnections closes all open connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.CloseConnections()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(near)
	}
}

func (r *Relay) forward(near net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		near.Close()
		return
	}
	p := &pair{relay: r, near: near, far: far}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(ToTarget, far, near) })
	wait.Go(func() { p.copy(FromTarget, near, far) })
	wait.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

const bufferBytes = 32 << 10

func (p *pair) copy(direction Direction, to, from net.Conn) {
	defer p.closeUnlessSilent(direction)
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.admit(direction, n) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// admit waits for the active delay and the link, and reports whether n bytes may be forwarded.
func (p *pair) admit(direction Direction, n int) bool {
	swallowed, delay, link := p.relay.disruption(direction)
	if link != nil {
		delay += link.transferTime(direction, n)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[direction] = p.silent[direction] || swallowed
	return !p.silent[direction]
}

// disruption returns the active disruptions of a direction.
func (r *Relay) disruption(direction Direction) (swallowed bool, delay time.Duration, link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropping[direction], r.delay, r.link
}

// closeUnlessSilent closes both ends when one is closed, unless the direction is silent: the other
// end must not notice then.
func (p *pair) closeUnlessSilent(direction Direction) {
	swallowed, _, _ := p.relay.disruption(direction)
	p.mu.Lock()
	muted := swallowed || p.silent[direction]
	p.mu.Unlock()
	if !muted {
		p.close()
	}
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}
