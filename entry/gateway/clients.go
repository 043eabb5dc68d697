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

// Clients holds one HTTP client per upstream incarnation. It is safe for concurrent use.
type Clients struct {
	mu      sync.Mutex
	clients map[string]*client
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// zones, if not nil, watches the dials and the calls for zones that can't be reached.
	zones *ZoneWatch
}

// client is the HTTP client of one upstream incarnation.
type client struct {
	http *service.HTTP
	// users is the number of calls and reservations that use the client, lastUsed when one last began or
	// ended. Both are guarded by Clients.mu.
	users    int
	lastUsed time.Time
	// ctx is cancelled by cancel when the incarnation has ended, and cancels the calls in
	// flight: no answer can come any more, even if a partitioned connection never reports an
	// error.
	ctx    context.Context
	cancel context.CancelFunc
	// lastReceived is when this entry last received anything from the upstream, in nanoseconds
	// since the Unix epoch.
	lastReceived atomic.Int64
}

const (
	// dialTimeout bounds the dialling of a connection: two round trips between zones and a lost
	// packet.
	dialTimeout = time.Second
	// idleTimeout is shorter than the shortest time for which upstreams keep an idle
	// connection, as their Keep-Alive headers state.
	idleTimeout = 1500 * time.Millisecond
	// idleConns is the number of idle connections kept per upstream, which is the number of
	// requests that an engine runs at once.
	idleConns = 16
	// unusedTimeout is the time after which an unused client is discarded.
	unusedTimeout = time.Minute
	// silenceTimeout is how long sent data may stay unacknowledged, and about how long an idle
	// peer may leave keep-alive probes unanswered. Nothing else detects a connection that has
	// gone silent for good.
	silenceTimeout = 1200 * time.Millisecond
	// receiveBuffer is the size of the receive buffer of a connection. Of the answer to a caller that
	// doesn't read, the kernel holds about twice as much.
	receiveBuffer = 64 << 10
)

// NewClients returns an empty Clients.
func NewClients() *Clients {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silenceTimeout / 2,
			Interval: silenceTimeout / 2,
			Count:    2,
		},
		Control: setSocketOptions,
	}
	return &Clients{clients: make(map[string]*client), dial: dialer.DialContext}
}

// WatchZones makes the clients report their dials to a ZoneWatch. It is called before the first call.
func (c *Clients) WatchZones(zones *ZoneWatch) { c.zones = zones }

// dialIn returns the function that dials the upstreams of a zone.
func (c *Clients) dialIn(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if c.zones == nil {
		return c.dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.zones.dial(ctx, zone, func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, network, address) })
	}
}

// setSocketOptions sets TCP_USER_TIMEOUT and the receive buffer of a socket.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
		if failed == nil {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// acquire returns the client of an upstream's incarnation and a function that ends its use, which must be
// called once. If there is no client, it creates one and discards unused ones.
func (c *Clients) acquire(upstream dispatch.Upstream) (used *client, release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	name := upstream.Incarnation()
	cached := c.clients[name]
	if cached == nil {
		c.evictUnused(now)
		cached = &client{http: service.NewHTTPWith("http://"+upstream.Address, service.HTTPOptions{
			Dial:        c.dialIn(upstream.Zone),
			IdleTimeout: idleTimeout,
			IdleConns:   idleConns,
		})}
		cached.ctx, cached.cancel = context.WithCancel(context.Background())
		c.clients[name] = cached
	}
	cached.users++
	cached.lastUsed = now
	return cached, func() { c.release(cached) }
}

func (c *Clients) release(used *client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used.users--
	used.lastUsed = time.Now()
}

// Close closes the connections to an incarnation that has ended and cancels the calls in flight
// there.
func (c *Clients) Close(upstream dispatch.Upstream) {
	c.mu.Lock()
	cached := c.clients[upstream.Incarnation()]
	delete(c.clients, upstream.Incarnation())
	c.mu.Unlock()
	if cached != nil {
		cached.cancel()
		cached.http.CloseIdle()
	}
}

// evictUnused discards the clients that have not been used for unusedTimeout. One in use is kept, however
// long its call takes: Close must find it. It is called with mu held.
func (c *Clients) evictUnused(now time.Time) {
	for id, cached := range c.clients {
		if cached.users == 0 && now.Sub(cached.lastUsed) > unusedTimeout {
			cached.http.CloseIdle()
			delete(c.clients, id)
		}
	}
}
