package link

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// Failures of a link.
var (
	// ErrClosed means that the link is closed.
	ErrClosed = errors.New("link: closed")
	// ErrSilent means that the peer answered no heartbeat in time.
	ErrSilent = errors.New("link: peer is silent")
	// ErrIdle means that the link was closed because nothing needed it.
	ErrIdle = errors.New("link: idle")
	// ErrBacklog means that the peer reads too slowly to hold more for it.
	ErrBacklog = errors.New("link: too much is waiting to be sent")
)

// maxBacklogBytes bounds what waits to be sent on one link. Streams are bounded one by
// one by their acknowledgements; this bound catches a peer that reads nothing at all.
const maxBacklogBytes = 256 << 20

type connState uint8

const (
	stateOpening connState = iota
	stateOpen
	stateClosed
)

// Conn is one link to a peer process. Its methods are safe for concurrent use.
type Conn struct {
	node   *Node
	gc     gnet.Conn
	dialed bool
	// addr is the address that was dialled; empty on accepted links.
	addr string
	// vm is who was dialled, once the link is known by it; it belongs to Node.mu.
	vm string

	mu     sync.Mutex
	out    *frameWriter
	spare  []byte
	woken  bool
	state  connState
	reason error
	ended  chan struct{}

	// The fields below belong to the event loop.
	in         *frameReader
	nonce      []byte
	theirNonce []byte
	peer       Identity
	openedAt   time.Time

	opened   chan struct{}
	busy     atomic.Int64
	lastIn   atomic.Int64
	lastUsed atomic.Int64
	pinged   atomic.Int64
	stamp    atomic.Int64
	stampAt  atomic.Int64
	pongs    pongWaiters
}

func newConn(node *Node, addr string, dialed bool) *Conn {
	c := &Conn{
		node:     node,
		addr:     addr,
		dialed:   dialed,
		out:      newFrameWriter(),
		in:       newFrameReader(),
		opened:   make(chan struct{}),
		ended:    make(chan struct{}),
		openedAt: time.Now(),
	}
	now := node.sinceStart()
	c.lastIn.Store(now)
	c.lastUsed.Store(now)
	return c
}

// Peer returns who is at the other end. It is valid once the link is open.
func (c *Conn) Peer() Identity { return c.peer }

// Dialed reports whether this end dialled the link.
func (c *Conn) Dialed() bool { return c.dialed }

// Stamp returns the peer's last clock stamp seen on this link, in nanoseconds since the
// peer's start.
func (c *Conn) Stamp() int64 { return c.stamp.Load() }

// SetStamp records a stamp that a message carried, unless a later one is known.
func (c *Conn) SetStamp(stamp int64) {
	c.stampAt.Store(c.node.sinceStart())
	for {
		old := c.stamp.Load()
		if stamp <= old || c.stamp.CompareAndSwap(old, stamp) {
			return
		}
	}
}

// Heard returns when the last byte came from the peer.
func (c *Conn) Heard() time.Time { return c.node.start.Add(time.Duration(c.lastIn.Load())) }

// Quiet returns how long ago the last byte came from the peer.
func (c *Conn) Quiet() time.Duration {
	return time.Duration(c.node.sinceStart() - c.lastIn.Load())
}

// Refresh makes sure that Stamp is at most maxAge old, by a ping where it is not. An
// agent refuses offers with an old stamp, and on an idle link the last one may be a
// minute old.
func (c *Conn) Refresh(ctx context.Context, maxAge time.Duration) error {
	if time.Duration(c.node.sinceStart()-c.stampAt.Load()) <= maxAge {
		return nil
	}
	answered := c.pongs.wait()
	if err := c.Send(&ping{}); err != nil {
		return err
	}
	select {
	case <-answered:
		return nil
	case <-c.ended:
		return c.closeReason()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pongWaiters holds those who wait for the next pong.
type pongWaiters struct {
	mu   sync.Mutex
	next chan struct{}
}

func (w *pongWaiters) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil {
		w.next = make(chan struct{})
	}
	return w.next
}

func (w *pongWaiters) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		close(w.next)
		w.next = nil
	}
}

// Retain says that a request is in flight on the link: heartbeats run until as many
// calls of Release.
func (c *Conn) Retain() {
	if c.busy.Add(1) == 1 {
		// The peer owed nothing while the link was idle; its silence counts from now.
		c.lastIn.Store(c.node.sinceStart())
		c.pinged.Store(0)
	}
}

// Release undoes one Retain.
func (c *Conn) Release() {
	c.busy.Add(-1)
	c.lastUsed.Store(c.node.sinceStart())
}

// Send queues a message. It does not block and keeps no reference to the message.
func (c *Conn) Send(message Message) error {
	c.mu.Lock()
	if c.state != stateOpen {
		c.mu.Unlock()
		return ErrClosed
	}
	return c.sendLocked(message)
}

// sendLocked is called with mu held and releases it.
func (c *Conn) sendLocked(message Message) error {
	if len(c.out.buf) > maxBacklogBytes {
		c.mu.Unlock()
		// Not from here: Close calls the handler, which takes its owner's locks, and whoever
		// sends may hold them. The process would stand still for good.
		go c.Close(ErrBacklog)
		return ErrBacklog
	}
	err := c.out.append(message)
	wake := err == nil && !c.woken
	if wake {
		c.woken = true
	}
	if isUse(message) {
		c.lastUsed.Store(c.node.sinceStart())
	}
	c.mu.Unlock()
	if wake {
		// The event loop sends everything that is queued by then in one write.
		_ = c.gc.Wake(nil)
	}
	return err
}

// isUse tells whether a message shows that its link is needed. Digests, limits and
// documents do as well as requests, though they retain nothing: counted from Release
// alone, their links would be closed and dialled anew once an Idle.
func isUse(message Message) bool {
	switch message.(type) {
	case *ping, *pong:
		return false
	default:
		return true
	}
}

// flush runs on the event loop.
func (c *Conn) flush() {
	c.mu.Lock()
	c.woken = false
	full := c.out.buf
	c.out.buf = c.spare[:0]
	c.spare = nil
	c.mu.Unlock()
	if len(full) > 0 {
		_, _ = c.gc.Write(full)
	}
	c.mu.Lock()
	if cap(full) <= maxSpareBytes {
		c.spare = full[:0]
	}
	c.mu.Unlock()
}

// maxSpareBytes bounds the buffer that a link keeps for its next write.
const maxSpareBytes = 1 << 20

// Close ends the link; the handler's OnClose gets the reason.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		return
	}
	if c.reason == nil {
		c.reason = reason
	}
	wasOpen := c.state == stateOpen
	c.state = stateClosed
	close(c.ended)
	c.mu.Unlock()
	if c.gc != nil {
		_ = c.gc.Close()
	}
	c.node.closed(c, wasOpen)
}

func (c *Conn) closeReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == nil {
		return ErrClosed
	}
	return c.reason
}

// read handles all whole frames that have arrived. It runs on the event loop.
func (c *Conn) read() error {
	for {
		header, err := c.gc.Peek(headerBytes)
		if err != nil || len(header) < headerBytes {
			return nil
		}
		size := int(binary.BigEndian.Uint32(header))
		kind := Type(header[4])
		if size > MaxFrameBytes {
			return errors.Wrapf(ErrFrame, "%d bytes announced", size)
		}
		if c.gc.InboundBuffered() < headerBytes+size {
			return nil
		}
		frame, err := c.gc.Peek(headerBytes + size)
		if err != nil {
			return errors.Wrap(err, "link: peek")
		}
		if err := c.handle(kind, frame[headerBytes:]); err != nil {
			return err
		}
		if _, err := c.gc.Discard(headerBytes + size); err != nil {
			return errors.Wrap(err, "link: discard")
		}
	}
}

func (c *Conn) handle(kind Type, payload []byte) error {
	c.lastIn.Store(c.node.sinceStart())
	if !c.isOpen() && kind > typeWelcome {
		return errors.Wrap(ErrAuth, "message before the handshake")
	}
	message, err := c.in.decode(kind, payload)
	if err != nil {
		return err
	}
	switch m := message.(type) {
	case *challenge:
		return c.onChallenge(m)
	case *hello:
		return c.onHello(m)
	case *welcome:
		return c.onWelcome(m)
	case *ping:
		_ = c.Send(&pong{Stamp: c.node.Stamp()})
	case *pong:
		c.pinged.Store(0)
		c.SetStamp(m.Stamp)
		c.pongs.release()
	default:
		c.node.handler.OnMessage(c, message)
	}
	return nil
}

func (c *Conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == stateOpen
}

// check runs on the node's ticker and finds a silent or idle link.
func (c *Conn) check(now int64) {
	if !c.isOpen() {
		if time.Since(c.openedAt) > c.node.timing.Handshake {
			c.Close(errors.Wrap(ErrAuth, "no handshake in time"))
		}
		return
	}
	if c.busy.Load() <= 0 {
		if c.dialed {
			c.checkUnretained(now)
		}
		return
	}
	quiet := now - c.lastIn.Load()
	if quiet > int64(c.node.timing.Silence) {
		c.Close(ErrSilent)
		return
	}
	if quiet > int64(c.node.timing.Heartbeat) && c.pinged.CompareAndSwap(0, now) {
		_ = c.Send(&ping{})
	}
}

// checkUnretained finds a link that is idle, or silent although messages go out on it. No
// heartbeats run there, and digests are not answered: without the ping once an Idle they
// would go to a peer that is gone for as long as TCP tries, and nobody would dial anew.
func (c *Conn) checkUnretained(now int64) {
	if now-c.lastUsed.Load() > int64(c.node.timing.Idle) {
		c.Close(ErrIdle)
		return
	}
	if now-c.lastIn.Load() <= int64(c.node.timing.Idle) {
		return
	}
	if c.pinged.CompareAndSwap(0, now) {
		_ = c.Send(&ping{})
		return
	}
	if now-c.pinged.Load() > int64(c.node.timing.Silence) {
		c.Close(ErrSilent)
	}
}
