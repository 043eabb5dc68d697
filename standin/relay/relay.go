// Package relay stands between a dialler and a listener and breaks connections the way
// a device on the path does: without telling either end.
package relay

import (
	"net"
	"sync"
	"time"
)

// Direction is a way that bytes take through a relay.
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
	// swallows and delay are the disruptions in force.
	swallows [2]bool
	delay    time.Duration
	// link, if not nil, is the link that all connections share.
	link *Link
}

// pair is one forwarded connection. A direction that has lost bytes stays silent for good:
// what follows would reach the other side without what came before.
type pair struct {
	relay     *Relay
	near, far net.Conn
	mu        sync.Mutex
	muted     [2]bool
}

// New forwards connections on a port of its own to target until Close.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	go r.accept()
	return r, nil
}

// Addr is the address that stands for the target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget makes new connections go to another target.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Swallow loses every byte in the directions given, on open and new connections, until
// Restore. Connections stay open, and those that lost bytes stay silent.
func (r *Relay) Swallow(directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.swallows[d] = true
	}
}

// Delay holds every byte back for d, until Restore.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Over makes all bytes pass over a link, which other relays may share.
func (r *Relay) Over(link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
}

// Restore ends Swallow and Delay.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swallows = [2]bool{}
	r.delay = 0
}

// Reset closes the connections open now as a device does that has forgotten them: both
// ends get a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // A connection that has ended needs no reset.
			}
		}
		p.close()
	}
}

// Mute makes the connections open now swallow every byte both ways from now on. They
// stay open, and new connections work. It returns how many there were.
func (r *Relay) Mute() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		p.muted = [2]bool{true, true}
		p.mu.Unlock()
	}
	return len(r.pairs)
}

// Cut closes the connections open now.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
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
	defer p.closeUnlessMuted(direction)
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.passes(direction, n) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passes tells whether n bytes that have come may go on, after the delay in force and their time on
// the link.
func (p *pair) passes(direction Direction, n int) bool {
	swallowed, delay, link := p.relay.disruption(direction)
	if link != nil {
		delay += link.pass(direction, n)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted[direction] = p.muted[direction] || swallowed
	return !p.muted[direction]
}

// disruption returns what is in force in a direction.
func (r *Relay) disruption(direction Direction) (swallowed bool, delay time.Duration, link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.swallows[direction], r.delay, r.link
}

// closeUnlessMuted passes the end of one side on to the other, but not through a muted
// connection: the other side must not learn of it.
func (p *pair) closeUnlessMuted(direction Direction) {
	swallowed, _, _ := p.relay.disruption(direction)
	p.mu.Lock()
	muted := swallowed || p.muted[direction]
	p.mu.Unlock()
	if !muted {
		p.close()
	}
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}
