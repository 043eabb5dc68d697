// Package httpserver serves HTTP to clients that may misbehave. It bounds what all clients of an address
// together hold, by core/footprint, and how long it waits for each of them: for a head, a body, the
// reading of an answer, and the rest of a body after a refusal. net/http does the rest.
package httpserver

import (
	"context"
	"crypto/tls"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// Limits bounds what one client may send, and how long it may take.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its last one.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time for which a connection is kept without a request, or without progress in
	// the reading of a body or an answer.
	IdleTimeout time.Duration
	// BodyBytes bounds bodies beside the limit that ReadBody is given; the larger of both holds.
	BodyBytes int64
	// Version is that of the configuration which sets the limits, for log lines; 0 for none.
	Version uint64
}

// DefaultLimits are generous to clients whose limits are not configured.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}

// OrDefaults replaces limits that are not set by the default ones.
func (l Limits) OrDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultLimits.HeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = DefaultLimits.HeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

// orLarger returns the larger one of each limit, with the version of the later ones.
func (l Limits) orLarger(later Limits) Limits {
	return Limits{
		HeadBytes: max(l.HeadBytes, later.HeadBytes), HeadTimeout: max(l.HeadTimeout, later.HeadTimeout),
		IdleTimeout: max(l.IdleTimeout, later.IdleTimeout), BodyBytes: max(l.BodyBytes, later.BodyBytes), Version: later.Version,
	}
}

// lasting is a time limit that holds on for its own length after a smaller one has taken its place, so that what began
// under it isn't ended by the smaller one.
type lasting struct {
	limit time.Duration
	// inForce is when it was last in force, on the server's clock.
	inForce time.Duration
}

// update returns the limit that holds now if another one is in force.
func (l *lasting) update(now, limit time.Duration) time.Duration {
	if limit >= l.limit || now-l.inForce > l.limit+networkSlack {
		l.limit, l.inForce = limit, now
	}
	return l.limit
}

// AuxiliaryLimits bounds what the clients of an address hold that serves health checks, metrics or
// operators.
var AuxiliaryLimits = footprint.Limits{Bytes: 12 << 20, Conns: 192}

// Config configures a Server.
type Config struct {
	// Name names the address in log lines.
	Name    string
	Handler http.Handler
	// TLS is nil for an address without TLS.
	TLS *tls.Config
	// Footprint bounds what all clients together hold; zero means AuxiliaryLimits.
	Footprint footprint.Limits
	// Limits returns the limits in force; nil means DefaultLimits.
	Limits func() Limits
	Log    zerolog.Logger
}

const (
	// tickInterval is the interval at which connections are checked, and the precision of the server's clock.
	tickInterval = 100 * time.Millisecond
	// longestTick bounds what one tick adds to the clock, so that the time in which the process did not run
	// doesn't count against clients.
	longestTick = 5 * tickInterval
	// networkSlack is added to the limits on heads and idle connections: what a client has sent in time may be sent again
	// on the way.
	networkSlack = time.Second
	// maxHeadBytes bounds the heads of requests whatever the limits in force.
	maxHeadBytes = 1 << 20
	// receiveBuffer is the size of the receive buffer of a connection whose request has not been admitted.
	// The kernel grants half as much again.
	receiveBuffer = 16 << 10
)

// Server is an HTTP server for one address.
type Server struct {
	config Config
	http   *http.Server
	ledger *footprint.Ledger
	// discards limits the rate at which bytes are discarded.
	discards *rate.Limiter
	// clock is the time that the process has run since the start, in nanoseconds.
	clock   atomic.Int64
	closing atomic.Bool
	// panics counts the panics of handlers.
	panics atomic.Uint64
	unread unread
	// listener accepts the connections; interrupt ends the contexts of all requests.
	listener  net.Listener
	interrupt context.CancelCauseFunc
	stop      chan struct{}
	once      sync.Once
	// headTimeout and idleTimeout are what connections are ended by. Only runClock uses them.
	headTimeout, idleTimeout lasting
	// logged is what had been ended when that was last logged, at loggedAt.
	logged   footprint.Ended
	loggedAt time.Duration
}

// New returns a server that doesn't listen yet.
func New(config Config) *Server {
	if config.Footprint == (footprint.Limits{}) {
		config.Footprint = AuxiliaryLimits
	}
	if config.Limits == nil {
		config.Limits = func() Limits { return DefaultLimits }
	}
	s := &Server{config: config, ledger: footprint.New(config.Footprint), discards: rate.NewLimiter(discardRate, discardBurst), unread: newUnread(), stop: make(chan struct{})}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.serveHTTP),
		TLSConfig:      config.TLS,
		ErrorLog:       stdlog.New(config.Log, "", 0),
		MaxHeaderBytes: maxHeadBytes,
		ConnContext:    connContext,
		ConnState:      trackState,
		// Its handler would be called past serveHTTP.
		DisableGeneralOptionsHandler: true,
		Protocols:                    new(http.Protocols),
	}
	s.http.Protocols.SetHTTP1(true)
	s.interrupt = interruptible(s.http)
	return s
}

// HTTP returns the underlying server, for its configuration before Listen.
func (s *Server) HTTP() *http.Server { return s.http }

// Name returns the name of the address.
func (s *Server) Name() string { return s.config.Name }

// Usage returns what clients hold now.
func (s *Server) Usage() footprint.Usage { return s.ledger.Usage() }

// Ended returns how many connections were closed and requests refused, by reason.
func (s *Server) Ended() footprint.Ended { return s.ledger.Ended() }

// Panics returns how many requests ended because their handler panicked.
func (s *Server) Panics() uint64 { return s.panics.Load() }

// endPanic counts and logs a panic of a request's handler, other than one that ends the connection on purpose, and ends
// the connection. It is deferred.
func (s *Server) endPanic(r *http.Request) {
	failure := recover()
	switch failure {
	case nil:
		return
	case http.ErrAbortHandler:
	default:
		s.panics.Add(1)
		s.config.Log.Error().Str("server", s.config.Name).Str("method", r.Method).Str("path", r.URL.Path).
			Str("panic", fmt.Sprint(failure)).Bytes("stack", debug.Stack()).Msg("the handler of a request has panicked; its connection is closed")
	}
	panic(http.ErrAbortHandler)
}

// keepAlive closes connections to clients that have been silent for about five seconds, such as partitioned
// ones.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Listen starts to serve an IP address and port, and returns the address with the port that was chosen
// for port 0.
func (s *Server) Listen(address string) (string, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: s.limitReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s on %s", s.config.Name, address)
	}
	go s.runClock()
	s.listener = inner
	go s.serve(&listener{Listener: inner, server: s})
	return inner.Addr().String(), nil
}

// limitReceiveBuffer sets the receive buffer of the connections that a socket accepts.
func (s *Server) limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); err != nil {
			s.config.Log.Warn().Err(err).Str("listener", s.config.Name).Msg("receive buffers could not be limited")
		}
	})
}

func (s *Server) serve(l net.Listener) {
	var err error
	if s.config.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.config.Log.Error().Err(err).Str("listener", s.config.Name).Msg("HTTP server ended")
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	s.once.Do(func() { close(s.stop) })
	return s.http.Close()
}

// limits returns the limits in force.
func (s *Server) limits() Limits { return s.config.Limits().OrDefaults() }

// now returns the time on the server's clock.
func (s *Server) now() time.Duration { return time.Duration(s.clock.Load()) }

// until returns the time on the server's clock at which t comes, if the process runs all the while.
func (s *Server) until(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(s.now()+time.Until(t), 1)
}

// runClock advances the clock and ends the connections that take too long, until Close.
func (s *Server) runClock() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.clock.Add(int64(min(now.Sub(last), longestTick)))
		last = now
		limits := s.limits()
		s.ledger.Expire(s.now(), tickInterval, footprint.Timeouts{
			Head: s.headTimeout.update(s.now(), limits.HeadTimeout) + networkSlack,
			Idle: s.idleTimeout.update(s.now(), limits.IdleTimeout) + networkSlack,
		})
		s.logEnded()
	}
}

// logInterval is the least time between two log lines on what was ended.
const logInterval = time.Second

// logEnded logs which connections were closed and which requests refused since the last line, unless they were just
// idle.
func (s *Server) logEnded() {
	now := s.now()
	if now-s.loggedAt < logInterval {
		return
	}
	s.loggedAt = now
	ended := s.ledger.Ended()
	last := s.logged
	s.logged = ended
	last[footprint.IdleTimeout] = ended[footprint.IdleTimeout]
	if ended == last {
		return
	}
	usage := s.ledger.Usage()
	reasons, phases := zerolog.Dict(), zerolog.Dict()
	for reason, n := range ended {
		if n > last[reason] {
			reasons.Uint64(footprint.Reason(reason).String(), n-last[reason])
		}
	}
	for phase, n := range usage.Phases {
		if n > 0 {
			phases.Int(footprint.Phase(phase).String(), n)
		}
	}
	s.config.Log.Warn().Str("listener", s.config.Name).Dict("reasons", reasons).Dict("connections", phases).
		Int64("held_bytes", usage.Bytes).Int64("bound_bytes", s.config.Footprint.Bytes).
		Msg("connections were closed or requests refused because of their clients")
}

// listener accepts connections that have room.
type listener struct {
	net.Listener
	server *Server
}

// crowdedPause is a pause after connections gave way to a new one. Without it, a crowd that connects again and again could
// take the places of others before their requests are read.
const crowdedPause = 5 * time.Millisecond

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, server: l.server}
		c.account = l.server.ledger.NewConn(c)
		ok, crowded := l.server.ledger.Open(l.server.now(), c.account)
		if crowded > 0 {
			time.Sleep(crowdedPause)
		}
		if ok {
			return c, nil
		}
		_ = inner.Close() // The client sees that its request was not read.
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
		c.(*conn).secure = true
	}
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if no Server serves it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// handler returns the handler of a request. Those for the server as a whole (OPTIONS *) are answered with nothing but 200.
func (s *Server) handler(r *http.Request) http.Handler {
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	}
	return s.config.Handler
}

// serveHTTP serves one request and accounts for it.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	c.pauseAhead()
	c.writer = writer{ResponseWriter: w, conn: c}
	c.body = newBody(c, r)
	c.history.began(r)
	answered := false
	defer func() { c.endRequest(answered) }()
	defer s.endPanic(r)
	if reason, ok := c.beginRequest(r); !ok {
		c.writer.refuse(reason)
	} else {
		if !c.body.done {
			r.Body = &c.body
		}
		s.handler(r).ServeHTTP(&c.writer, r)
		c.writer.beforeHead()
	}
	answered = true
}
