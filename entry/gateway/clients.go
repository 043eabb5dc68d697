package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/peers/service"
	"golang.org/x/sys/unix"
)

// Clients keeps one HTTP client for each upstream incarnation. It is safe for concurrent
// use.
type Clients struct {
	mu    sync.Mutex
	known map[string]*client
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

type client struct {
	http *service.HTTP
	used time.Time
	// life ends with the incarnation, and end ends it: no answer can come any more, also where
	// the connection is behind a cut and never says so.
	life context.Context
	end  context.CancelFunc
	// heard is when the upstream last sent this entry anything, in nanoseconds since the
	// epoch.
	heard atomic.Int64
}

const (
	// dialTimeout bounds a new connection: two round trips between zones and a lost packet.
	dialTimeout = time.Second
	// idleTimeout is under the shortest time that upstreams are known to keep an idle
	// connection, as their Keep-Alive header states.
	idleTimeout = 1500 * time.Millisecond
	// idleConns is the number of idle connections kept to one upstream: as many as an
	// engine runs requests.
	idleConns = 16
	// unusedClient is the time after which a client is given up.
	unusedClient = time.Minute
	// silentAfter is how long written bytes may stay unacknowledged, and about how long an
	// idle peer may leave probes unanswered: connections can go silent for good, and only
	// this shows it.
	silentAfter = 1200 * time.Millisecond
)

// NewClients returns Clients.
func NewClients() *Clients {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silentAfter / 2,
			Interval: silentAfter / 2,
			Count:    2,
		},
		Control: boundUnacknowledged,
	}
	return &Clients{known: make(map[string]*client), dial: dialer.DialContext}
}

// boundUnacknowledged sets TCP_USER_TIMEOUT on a socket.
func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Of returns the client of an upstream.
func (c *Clients) Of(upstream dispatch.Upstream) *service.HTTP { return c.of(upstream).http }

func (c *Clients) of(upstream dispatch.Upstream) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	name := upstream.Incarnation()
	known := c.known[name]
	if known == nil {
		c.sweep(now)
		known = &client{http: service.NewHTTPWith("http://"+upstream.Address, service.HTTPOptions{
			Dial:        c.dial,
			IdleTimeout: idleTimeout,
			IdleConns:   idleConns,
		})}
		known.life, known.end = context.WithCancel(context.Background())
		c.known[name] = known
	}
	known.used = now
	return known
}

// End gives up the connections to an incarnation that has ended, and the calls in hand there.
func (c *Clients) End(upstream dispatch.Upstream) {
	c.mu.Lock()
	known := c.known[upstream.Incarnation()]
	delete(c.known, upstream.Incarnation())
	c.mu.Unlock()
	if known != nil {
		known.end()
		known.http.CloseIdle()
	}
}

// sweep gives up the clients of upstreams that are no longer used.
func (c *Clients) sweep(now time.Time) {
	for id, known := range c.known {
		if now.Sub(known.used) > unusedClient {
			known.http.CloseIdle()
			delete(c.known, id)
		}
	}
}
