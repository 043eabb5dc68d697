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

// Handler takes what happens on a node's links. Its methods run on event loops and must
// not block; a message is valid only during the call.
type Handler interface {
	// OnOpen runs once a link's handshake is done, before any OnMessage of it.
	OnOpen(c *Conn)
	OnMessage(c *Conn, message Message)
	// OnClose runs once for each link that was open.
	OnClose(c *Conn, reason error)
}

// Timing holds a node's time limits.
type Timing struct {
	// Heartbeat is the quiet time on a busy link after which a ping goes out.
	Heartbeat time.Duration
	// Silence is the quiet time on a busy link after which it counts as lost.
	Silence time.Duration
	// Idle is the time without a request after which the dialler closes a link.
	Idle time.Duration
	// Handshake bounds dialling and the proof of the key.
	Handshake time.Duration
}

// DefaultTiming finds a silent link in at most 1.5 s plus one tick, which keeps a dead
// upstream from getting new work for more than 2 s.
var DefaultTiming = Timing{
	Heartbeat: 500 * time.Millisecond,
	Silence:   1500 * time.Millisecond,
	Idle:      60 * time.Second,
	Handshake: 1 * time.Second,
}

const tickEvery = 100 * time.Millisecond

// Config configures a Node.
type Config struct {
	// Listen is the IP address and port to take links on; port 0 chooses one.
	Listen  string
	Self    Identity
	Keys    *Keys
	Handler Handler
	// Loops is the number of event loops for accepted links and for dialled ones each;
	// 0 means 1.
	Loops  int
	Timing Timing
	// Stamp is the clock that pongs carry, in nanoseconds; nil means the node's own.
	Stamp func() int64
}

// Node is a process's end of all its links.
type Node struct {
	gnet.BuiltinEventEngine

	self    Identity
	keys    *Keys
	handler Handler
	timing  Timing
	stamp   func() int64
	start   time.Time

	engine  gnet.Engine
	client  *gnet.Client
	addr    string
	booted  chan error
	ran     chan struct{}
	stopped chan struct{}
	ticks   sync.WaitGroup

	dials singleflight.Group
	mu    sync.Mutex
	conns map[*Conn]struct{}
	byVM  map[string]*Conn
	ended bool
}

// Start listens and returns once links can be taken and dialled.
func Start(config Config) (*Node, error) {
	n := &Node{
		self:    config.Self,
		keys:    config.Keys,
		handler: config.Handler,
		timing:  config.Timing,
		stamp:   config.Stamp,
		start:   time.Now(),
		booted:  make(chan error, 2),
		ran:     make(chan struct{}),
		stopped: make(chan struct{}),
		conns:   make(map[*Conn]struct{}),
		byVM:    make(map[string]*Conn),
	}
	if n.timing == (Timing{}) {
		n.timing = DefaultTiming
	}
	loops := max(config.Loops, 1)
	leaveProcessors(loops)
	go func() {
		defer close(n.ran)
		err := gnet.Run(n, "tcp://"+config.Listen, gnet.WithReuseAddr(true), gnet.WithNumEventLoop(loops), gnet.WithLogger(quiet{}))
		if err != nil {
			n.booted <- err
		}
	}()
	if err := <-n.booted; err != nil {
		return nil, errors.Wrapf(err, "link: listen on %s", config.Listen)
	}
	client, err := gnet.NewClient(&clientEvents{node: n}, gnet.WithNumEventLoop(loops), gnet.WithLogger(quiet{}))
	if err != nil {
		return nil, errors.Wrap(err, "link: client")
	}
	if err := client.Start(); err != nil {
		return nil, errors.Wrap(err, "link: client")
	}
	n.client = client
	n.ticks.Add(1)
	go n.tick()
	return n, nil
}

// leaveProcessors makes sure that the loops' waits leave the Go scheduler a processor.
//
// What goes wrong without it: an event loop waits for its connections in a system call of
// its own, which keeps a processor of the scheduler until the runtime's monitor takes it
// back. A process on a VM with one core has one. At its start, with nothing to do but wait
// for its first answers, it stood still until a packet came: timers rang 0.9 to 5 s late
// and callers were refused for as long.
func leaveProcessors(loops int) {
	// Loops of the listener, of the client and the listener's acceptor, and one for the rest.
	if need := 2*loops + 2; runtime.GOMAXPROCS(0) < need {
		runtime.GOMAXPROCS(need)
	}
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.addr }

// Stamp is the clock that peers echo in offers.
func (n *Node) Stamp() int64 {
	if n.stamp != nil {
		return n.stamp()
	}
	return n.sinceStart()
}

func (n *Node) sinceStart() int64 { return int64(time.Since(n.start)) + 1 }

// Close ends all links and stops listening.
func (n *Node) Close() {
	n.mu.Lock()
	if n.ended {
		n.mu.Unlock()
		return
	}
	n.ended = true
	n.mu.Unlock()
	close(n.stopped)
	n.ticks.Wait()
	for _, c := range n.snapshot() {
		c.Close(ErrClosed)
	}
	_ = n.client.Stop()
	// Stop polls for the end twice a second; the end of Run tells it at once.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.engine.Stop(ctx)
	<-n.ran
}

// Dial returns an open link to the VM at addr, an existing one where there is one.
// Concurrent calls for one VM share a dial.
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

// Existing returns the open link that was dialled to vm, or nil.
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
	case <-c.ended:
		return nil, errors.Wrapf(c.closeReason(), "link: dial %s", vm)
	case <-timer.C:
		c.Close(ErrSilent)
		return nil, errors.Wrapf(ErrSilent, "link: dial %s", vm)
	}
	if c.peer.VM != vm {
		// An address can be given to another VM; work meant for the old one must not reach it.
		c.Close(ErrClosed)
		return nil, errors.Errorf("link: dialled %s but %s answered", vm, c.peer.VM)
	}
	n.mu.Lock()
	c.vm = vm
	n.byVM[vm] = c
	n.mu.Unlock()
	return c, c.openError()
}

// openError covers a close that came between the handshake and the entry in byVM.
func (c *Conn) openError() error {
	if c.isOpen() {
		return nil
	}
	c.node.forget(c)
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

func (n *Node) forget(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if n.byVM[c.vm] == c {
		delete(n.byVM, c.vm)
	}
}

func (n *Node) closed(c *Conn, wasOpen bool) {
	n.forget(c)
	if wasOpen {
		n.handler.OnClose(c, c.closeReason())
	}
}

func (n *Node) tick() {
	defer n.ticks.Done()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case <-ticker.C:
			now := n.sinceStart()
			for _, c := range n.snapshot() {
				c.check(now)
			}
		}
	}
}

// OnBoot implements gnet.EventHandler for accepted links.
func (n *Node) OnBoot(engine gnet.Engine) gnet.Action {
	n.engine = engine
	addr, err := listenAddr(engine)
	n.addr = addr
	n.booted <- err
	return gnet.None
}

// listenAddr finds the port that was chosen for port 0.
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

// OnOpen implements gnet.EventHandler: the acceptor challenges the dialler.
func (n *Node) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := newConn(n, "", false)
	gc.SetContext(c)
	n.adopt(c, gc)
	c.nonce = newNonce()
	_ = c.sendHandshake(&challenge{Nonce: c.nonce})
	return nil, gnet.None
}

func (n *Node) adopt(c *Conn, gc gnet.Conn) {
	c.gc = gc
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
}

// OnTraffic implements gnet.EventHandler: it runs when bytes arrived and when Send woke
// the loop.
func (n *Node) OnTraffic(gc gnet.Conn) gnet.Action { return onTraffic(gc) }

// OnClose implements gnet.EventHandler.
func (n *Node) OnClose(gc gnet.Conn, err error) gnet.Action { return onClose(gc, err) }

func onTraffic(gc gnet.Conn) gnet.Action {
	c := gc.Context().(*Conn)
	err := c.read()
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

// clientEvents handles dialled links.
type clientEvents struct {
	gnet.BuiltinEventEngine
	node *Node
}

// OnOpen implements gnet.EventHandler.
func (e *clientEvents) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	e.node.adopt(gc.Context().(*Conn), gc)
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *clientEvents) OnTraffic(gc gnet.Conn) gnet.Action { return onTraffic(gc) }

// OnClose implements gnet.EventHandler.
func (e *clientEvents) OnClose(gc gnet.Conn, err error) gnet.Action { return onClose(gc, err) }

// quiet drops gnet's own log lines; what matters reaches the handler as reasons.
type quiet struct{}

func (quiet) Debugf(string, ...any) {}
func (quiet) Infof(string, ...any)  {}
func (quiet) Warnf(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(string, ...any) {}

var _ logging.Logger = quiet{}
