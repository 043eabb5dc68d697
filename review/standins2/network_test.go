package standins2

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// serve serves a handler on a free loopback port and returns the address.
func (c *run) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.fail("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// proxy passes connections on to a server. Those that are open when silence is called pass nothing on any more, in
// either direction, and stay open; later ones work.
type proxy struct {
	address, target string

	mu      sync.Mutex
	silent  chan struct{}
	onBytes func(sent []byte)
}

// startProxy starts a proxy in front of a server. onBytes is called with what clients send.
func (c *run) startProxy(target string, onBytes func(sent []byte)) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.fail("proxy: %v", err)
	}
	p := &proxy{address: listener.Addr().String(), target: target, silent: make(chan struct{}), onBytes: onBytes}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p
}

// silence makes the connections silent that are open.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, silent, p.onBytes) })
	both.Go(func() { p.copy(client, server, silent, nil) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// copy passes bytes on until an end, or the silence: then it swallows what comes.
func (p *proxy) copy(to, from net.Conn, silent <-chan struct{}, onBytes func([]byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if onBytes != nil {
				onBytes(bytes.Clone(buffer[:n]))
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// pollWatch finds the moments at which a gateway begins to wait at the feed of replicas.
type pollWatch struct {
	mu   sync.Mutex
	last time.Time
	n    int
}

func (w *pollWatch) observe(sent []byte) {
	if bytes.Contains(sent, []byte("GET /rows-feed")) && bytes.Contains(sent, []byte("Table=servers")) {
		w.mu.Lock()
		w.last = time.Now()
		w.n++
		w.mu.Unlock()
	}
}

// next waits for the next poll and returns its time; zero if there is none in ten seconds.
func (w *pollWatch) next() time.Time {
	w.mu.Lock()
	n := w.n
	w.mu.Unlock()
	for range 1000 {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		last, now := w.last, w.n
		w.mu.Unlock()
		if now > n {
			return last
		}
	}
	return time.Time{}
}
