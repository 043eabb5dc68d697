// Package relay stands between a dialler and a listener and breaks connections the way
// a device on the path does: without telling either end.
package relay

import (
	"net"
	"sync"
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	mu        sync.Mutex
	muted     bool
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

// Mute makes the connections open now swallow every byte both ways from now on. They
// stay open, and new connections work. It returns how many there were.
func (r *Relay) Mute() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.mu.Lock()
		p.muted = true
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
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	p := &pair{near: near, far: far}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(far, near) })
	wait.Go(func() { p.copy(near, far) })
	wait.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

const bufferBytes = 32 << 10

func (p *pair) copy(to, from net.Conn) {
	defer p.closeUnlessMuted()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.isMuted() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *pair) isMuted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted
}

// closeUnlessMuted passes the end of one side on to the other, but not through a muted
// connection: the other side must not learn of it.
func (p *pair) closeUnlessMuted() {
	if !p.isMuted() {
		p.close()
	}
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}
