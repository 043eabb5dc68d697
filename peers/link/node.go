package link

import (
	"context"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// Handler handles the events of a node's links. Its methods run on event loops and must not block.
// A Chunk or an Ack is valid only during the call, because the link reuses it for the next one.
// The handler may keep other messages.
type Handler interface {
	// OnOpen is called when a link's handshake has completed, before any OnMessage for the link.
	OnOpen(c *Conn)
	OnMessage(c *Conn, message Message)
	// OnClose is called once for each link that was open.
	OnClose(c *Conn, reason error)
}

// Timing configures the time limits of a node's links.
type Timing struct {
	// Heartbeat is the time without received data after which a link with requests in flight sends
	// a ping.
	Heartbeat time.Duration
	// Silence is the time without received data after which a link with requests in flight is
	// closed with ErrSilent.
	Silence time.Duration
	// Idle is the time without requests and sent messages after which the dialler closes a link.
	Idle time.Duration
	// Handshake bounds the time to dial and to authenticate both ends.
	Handshake time.Duration
}

// DefaultTiming detects a silent link within 1.5 s plus one tick, so that a failed upstream
// receives no new requests after 2 s.
var DefaultTiming = Timing{
	Heartbeat: 500 * time.Millisecond,
	Silence:   1500 * time.Millisecond,
	Idle:      60 * time.Second,
	Handshake: 1 * time.Second,
}

// tickInterval is the interval at which the timeouts of all links are checked.
const tickInterval = 100 * time.Millisecond

// Config configures a Node.
type Config struct {
	// Listen is the IP address and port on which links are accepted; port 0 picks a free port.
	Listen  string
	Self    Identity
	Keys    *Keys
	Handler Handler
	// Loops is the number of event loops for accepted links, and also the number for dialled links;
	// 0 means 1.
	Loops  int
	Timing Timing
	// Stamp returns this process's clock in nanoseconds; nil means the time since the node's start.
	// The acceptor sends the clock at the end of the handshake, and both ends send it in pongs. An
	// entry returns an agent's stamp in its offers, so that the agent can detect delayed offers.
	Stamp func() int64
}

// Node manages all links of a process.
type Node struct {
	gnet.BuiltinEventEngine

	self    Identity
	keys    *Keys
	handler Handler
	timing  Timing
	stamp   func() int64
	start   time.Time

	engine    gnet.Engine
	client    *gnet.Client
	addr      string
	started   chan error
	runDone   chan struct{}
	stopTicks chan struct{}
	ticks     sync.WaitGroup

	dials   singleflight.Group
	mu      sync.Mutex
	conns   map[*Conn]struct{}
	byVM    map[string]*Conn
	closing bool
}

// Start starts a node. When it returns, links can be accepted and dialled.
func Start(config Config) (*Node, error) {
	n := &Node{
		self:      config.Self,
		keys:      config.Keys,
		handler:   config.Handler,
		timing:    config.Timing,
		stamp:     config.Stamp,
		start:     time.Now(),
		started:   make(chan error, 2),
		runDone:   make(chan struct{}),
		stopTicks: make(chan struct{}),
		conns:     make(map[*Conn]struct{}),
		byVM:      make(map[string]*Conn),
	}
	if n.timing == (Timing{}) {
		n.timing = DefaultTiming
	}
	loops := max(config.Loops, 1)
	reserveProcessors(loops)
	go func() {
		defer close(n.runDone)
		err := gnet.Run(n, "tcp://"+config.Listen, gnet.WithReuseAddr(true), gnet.WithNumEventLoop(loops), gnet.WithLogger(discardLogger{}))
		if err != nil {
			n.started <- err
		}
	}()
	if err := <-n.started; err != nil {
		return nil, errors.Wrapf(err, "link: listen on %s", config.Listen)
	}
	client, err := gnet.NewClient(&clientEvents{node: n}, gnet.WithNumEventLoop(loops), gnet.WithLogger(discardLogger{}))
	if err != nil {
		return nil, errors.Wrap(err, "link: client")
	}
	if err := client.Start(); err != nil {
		return nil, errors.Wrap(err, "link: client")
	}
	n.client = client
	n.ticks.Add(1)
	go n.runTicker()
	return n, nil
}

// reserveProcessors raises GOMAXPROCS so that the event loops leave the Go scheduler a processor.
//
// An event loop waits for its connections in a system call that occupies a processor (P) of the
// scheduler until the runtime's monitor retakes it. On a VM with one core there is only one P, so
// the process would be blocked until a packet arrives: timers fire 0.9 to 5 s late, and requests
// are refused meanwhile.
func reserveProcessors(loops int) {
	// The loops of the listener and of the client, the listener's acceptor, and one for all other
	// goroutines.
	if need := 2*loops + 2; runtime.GOMAXPROCS(0) < need {
		runtime.GOMAXPROCS(need)
	}
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.addr }

// Stamp returns the current value of this process's clock; see Config.Stamp.
func (n *Node) Stamp() int64 {
	if n.stamp != nil {
		return n.stamp()
	}
	return n.sinceStart()
}

// sinceStart returns the nanoseconds since the node's start. It is never zero, because zero in
// Conn.pingedAt means that no ping is outstanding.
func (n *Node) sinceStart() int64 { return int64(time.Since(n.start)) + 1 }

// Close closes all links and stops listening.
func (n *Node) Close() {
	n.mu.Lock()
	if n.closing {
		n.mu.Unlock()
		return
	}
	n.closing = true
	n.mu.Unlock()
	close(n.stopTicks)
	n.ticks.Wait()
	for _, c := range n.snapshot() {
		c.Close(ErrClosed)
	}
	_ = n.client.Stop()
	// With a context that isn't cancelled, Stop would poll for the engine's shutdown only twice a
	// second. Run returns as soon as the engine has stopped, so Close waits for that instead.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.engine.Stop(ctx)
	<-n.runDone
}

// Dial returns an open link to the VM at addr. It returns the existing link if there is one.
// Concurrent calls for the same VM share one attempt to dial.
func (n *Node) Dial(ctx context.Context, vm, addr string) (*Conn, error) {
	if c := n.Existing(vm); c != nil {
		return c, nil
	}
	result := n.dials.DoChan(vm, func() (any, error) { return n.dial(vm, addr) })
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*Conn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Existing returns the open link that this node has dialled to vm, or nil.
func (n *Node) Existing(vm string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byVM[vm]
}

func (n *Node) dial(vm, addr string) (*Conn, error) {
	deadline := time.Now().Add(n.timing.Handshake)
	dialer := net.Dialer{Deadline: deadline}
	socket, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", vm)
	}
	c := newConn(n, addr, true)
	if _, err := n.client.EnrollContext(socket, c); err != nil {
		return nil, errors.Wrapf(err, "link: dial %s", vm)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.opened:
	case <-c.done:
		return nil, errors.Wrapf(c.closeReason(), "link: dial %s", vm)
	case <-timer.C:
		c.Close(ErrSilent)
		return nil, errors.Wrapf(ErrSilent, "link: dial %s", vm)
	}
	if c.peer.VM != vm {
		// An address can be reassigned to another VM, which must not receive requests for the old VM.
		c.Close(ErrClosed)
		return nil, errors.Errorf("link: dialled %s but %s answered", vm, c.peer.VM)
	}
	n.mu.Lock()
	c.vm = vm
	n.byVM[vm] = c
	n.mu.Unlock()
	return c, c.unregisterIfClosed()
}

// unregisterIfClosed removes the link from byVM and returns an error if the link was closed after
// the handshake and before it was added to byVM.
func (c *Conn) unregisterIfClosed() error {
	if c.isOpen() {
		return nil
	}
	c.node.unregister(c)
	return c.closeReason()
}

// Each calls f for each open link.
func (n *Node) Each(f func(*Conn)) {
	for _, c := range n.snapshot() {
		if c.isOpen() {
			f(c)
		}
	}
}

func (n *Node) snapshot() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*Conn, 0, len(n.conns))
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

func (n *Node) unregister(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if n.byVM[c.vm] == c {
		delete(n.byVM, c.vm)
	}
}

func (n *Node) onConnClosed(c *Conn, wasOpen bool) {
	n.unregister(c)
	if wasOpen {
		n.handler.OnClose(c, c.closeReason())
	}
}

func (n *Node) runTicker() {
	defer n.ticks.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopTicks:
			return
		case <-ticker.C:
			now := n.sinceStart()
			for _, c := range n.snapshot() {
				c.checkTimeouts(now)
			}
		}
	}
}

// OnBoot implements gnet.EventHandler. It runs when the listener has started.
func (n *Node) OnBoot(engine gnet.Engine) gnet.Action {
	n.engine = engine
	addr, err := listenAddr(engine)
	n.addr = addr
	n.started <- err
	return gnet.None
}

// listenAddr returns the listener's address, with the port that was picked for port 0.
func listenAddr(engine gnet.Engine) (string, error) {
	fd, err := engine.Dup()
	if err != nil {
		return "", err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// OnOpen implements gnet.EventHandler. The acceptor sends the challenge.
func (n *Node) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := newConn(n, "", false)
	gc.SetContext(c)
	n.limitOpening()
	n.register(c, gc)
	c.nonce = newNonce()
	_ = c.sendHandshake(&challenge{Nonce: c.nonce})
	return nil, gnet.None
}

// maxOpening bounds the accepted links whose handshake has not completed. A handshake takes a few round trips.
const maxOpening = 256

// limitOpening closes the oldest accepted link whose handshake has not completed if there are maxOpening of them, so that
// unauthenticated peers can't use up the process's descriptors.
func (n *Node) limitOpening() {
	n.mu.Lock()
	opening := 0
	var oldest *Conn
	for c := range n.conns {
		if c.dialed || c.isOpen() {
			continue
		}
		opening++
		if oldest == nil || c.createdAt.Before(oldest.createdAt) {
			oldest = c
		}
	}
	n.mu.Unlock()
	if opening >= maxOpening {
		oldest.Close(errors.Wrap(ErrAuth, "too many links without a handshake"))
	}
}

func (n *Node) register(c *Conn, gc gnet.Conn) {
	c.gc = gc
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
}

// OnTraffic implements gnet.EventHandler. It runs when data is received and when Send wakes the
// event loop.
func (n *Node) OnTraffic(gc gnet.Conn) gnet.Action { return onTraffic(gc) }

// OnClose implements gnet.EventHandler.
func (n *Node) OnClose(gc gnet.Conn, err error) gnet.Action { return onClose(gc, err) }

func onTraffic(gc gnet.Conn) gnet.Action {
	c := gc.Context().(*Conn)
	err := c.readFrames()
	c.flush()
	if err != nil {
		c.Close(err)
		return gnet.Close
	}
	return gnet.None
}

func onClose(gc gnet.Conn, err error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	if err == nil {
		err = ErrClosed
	}
	c.Close(err)
	return gnet.None
}

// clientEvents handles the gnet events of dialled links.
type clientEvents struct {
	gnet.BuiltinEventEngine
	node *Node
}

// OnOpen implements gnet.EventHandler.
func (e *clientEvents) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	e.node.register(gc.Context().(*Conn), gc)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *clientEvents) OnTraffic(gc gnet.Conn) gnet.Action { return onTraffic(gc) }

// OnClose implements gnet.EventHandler.
func (e *clientEvents) OnClose(gc gnet.Conn, err error) gnet.Action { return onClose(gc, err) }

// discardLogger discards gnet's log messages. The errors of links reach the handler as the reason
// passed to OnClose.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}

var _ logging.Logger = discardLogger{}
