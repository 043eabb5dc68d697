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

// Errors of a link.
var (
	// ErrClosed means that the link is closed.
	ErrClosed = errors.New("link: closed")
	// ErrSilent means that nothing was received from the peer in time, or that the handshake of a
	// dial did not complete in time.
	ErrSilent = errors.New("link: peer is silent")
	// ErrIdle means that the link was closed because it was unused for Timing.Idle.
	ErrIdle = errors.New("link: idle")
	// ErrBacklog means that the send buffer is full because the peer reads too slowly.
	ErrBacklog = errors.New("link: send buffer is full")
)

// maxBacklogBytes bounds the send buffer of one link. Each stream is bounded by its
// acknowledgements; this bound applies to a peer that reads nothing at all.
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
	// addr is the address that was dialled; it is empty for an accepted link.
	addr string
	// vm is the ID of the dialled VM, set once the link is in Node.byVM. Node.mu guards it.
	vm string

	mu  sync.Mutex
	out *frameWriter
	// spareBuf is the last written buffer, kept for reuse.
	spareBuf []byte
	// wakePending is set from the wake of the event loop until the loop flushes out.
	wakePending bool
	state       connState
	reason      error
	done        chan struct{}

	// Only the event loop uses in, nonce and peerNonce. It also writes peer, which others may read
	// once opened is closed. createdAt does not change.
	in        *frameReader
	nonce     []byte
	peerNonce []byte
	peer      Identity
	createdAt time.Time

	opened chan struct{}
	// retained is the number of requests in flight on the link.
	retained atomic.Int64
	// Times are those of Node.sinceStart. pingedAt is zero if no ping is outstanding.
	lastReceived atomic.Int64
	lastUsed     atomic.Int64
	pingedAt     atomic.Int64
	// stamp is the peer's latest clock stamp, in the peer's time, and stampReceivedAt the time at
	// which a stamp was last received.
	stamp           atomic.Int64
	stampReceivedAt atomic.Int64
	pongs           pongWaiters
}

func newConn(node *Node, addr string, dialed bool) *Conn {
	c := &Conn{
		node:      node,
		addr:      addr,
		dialed:    dialed,
		out:       newFrameWriter(),
		in:        newFrameReader(),
		opened:    make(chan struct{}),
		done:      make(chan struct{}),
		createdAt: time.Now(),
	}
	now := node.sinceStart()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	return c
}

// Peer returns the identity of the other end. It is valid once the link is open.
func (c *Conn) Peer() Identity { return c.peer }

// Dialed reports whether this end dialled the link.
func (c *Conn) Dialed() bool { return c.dialed }

// Stamp returns the peer's latest clock stamp received on this link, in nanoseconds of the peer's
// clock (Config.Stamp).
func (c *Conn) Stamp() int64 { return c.stamp.Load() }

// SetStamp records a clock stamp that a message carried, and the time of receipt for Refresh. An
// earlier stamp than the known one does not replace it.
func (c *Conn) SetStamp(stamp int64) {
	c.stampReceivedAt.Store(c.node.sinceStart())
	for {
		old := c.stamp.Load()
		if stamp <= old || c.stamp.CompareAndSwap(old, stamp) {
			return
		}
	}
}

// LastReceived returns when data was last received from the peer.
func (c *Conn) LastReceived() time.Time {
	return c.node.start.Add(time.Duration(c.lastReceived.Load()))
}

// SinceLastReceived returns the time since data was last received from the peer.
func (c *Conn) SinceLastReceived() time.Duration {
	return time.Duration(c.node.sinceStart() - c.lastReceived.Load())
}

// Refresh ensures that the last stamp was received at most maxAge ago. If it is older, Refresh sends
// a ping and waits for the answer. An agent refuses offers with an old stamp, and on an idle link the
// last stamp may be a minute old.
func (c *Conn) Refresh(ctx context.Context, maxAge time.Duration) error {
	if time.Duration(c.node.sinceStart()-c.stampReceivedAt.Load()) <= maxAge {
		return nil
	}
	answered := c.pongs.wait()
	if err := c.Send(&ping{}); err != nil {
		return err
	}
	select {
	case <-answered:
		return nil
	case <-c.done:
		return c.closeReason()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pongWaiters notifies the goroutines that wait for the next pong.
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

func (w *pongWaiters) notifyAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		close(w.next)
		w.next = nil
	}
}

// Retain marks a request as in flight on the link. Heartbeats are sent until Release has been
// called as often as Retain.
func (c *Conn) Retain() {
	if c.retained.Add(1) == 1 {
		// A peer without requests sends nothing, so Timing.Silence is counted from the time at
		// which the link gets a request again.
		c.lastReceived.Store(c.node.sinceStart())
		c.pingedAt.Store(0)
	}
}

// Release undoes one Retain.
func (c *Conn) Release() {
	c.retained.Add(-1)
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
		// Close calls the handler, which takes locks that the caller of Send may hold. Calling it
		// on this goroutine could deadlock.
		go c.Close(ErrBacklog)
		return ErrBacklog
	}
	err := c.out.append(message)
	wake := err == nil && !c.wakePending
	if wake {
		c.wakePending = true
	}
	if countsAsUse(message) {
		c.lastUsed.Store(c.node.sinceStart())
	}
	c.mu.Unlock()
	if wake {
		// When the event loop wakes, it sends all queued messages in one write.
		_ = c.gc.Wake(nil)
	}
	return err
}

// countsAsUse reports whether sending a message restarts the link's idle time. All messages except
// heartbeats do. Load digests, limits and documents don't retain the link: if only Release
// restarted the idle time, a link that carries them would be closed and dialled again once per
// Timing.Idle.
func countsAsUse(message Message) bool {
	switch message.(type) {
	case *ping, *pong:
		return false
	default:
		return true
	}
}

// flush writes the queued messages to the connection. It runs on the event loop.
func (c *Conn) flush() {
	c.mu.Lock()
	c.wakePending = false
	queued := c.out.buf
	c.out.buf = c.spareBuf[:0]
	c.spareBuf = nil
	c.mu.Unlock()
	if len(queued) > 0 {
		_, _ = c.gc.Write(queued)
	}
	c.mu.Lock()
	if cap(queued) <= maxSpareBytes {
		c.spareBuf = queued[:0]
	}
	c.mu.Unlock()
}

// maxSpareBytes bounds the buffer that a link keeps for reuse after a write.
const maxSpareBytes = 1 << 20

// Close closes the link. If the link was open, the handler's OnClose receives the reason.
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
	close(c.done)
	c.mu.Unlock()
	if c.gc != nil {
		_ = c.gc.Close()
	}
	c.node.onConnClosed(c, wasOpen)
}

func (c *Conn) closeReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == nil {
		return ErrClosed
	}
	return c.reason
}

// readFrames handles all complete frames that have been received. It runs on the event loop.
func (c *Conn) readFrames() error {
	for {
		header, err := c.gc.Peek(headerBytes)
		if err != nil || len(header) < headerBytes {
			return nil
		}
		size := int(binary.BigEndian.Uint32(header))
		frameType := Type(header[4])
		if err := c.checkFrame(frameType, size); err != nil {
			return err
		}
		if c.gc.InboundBuffered() < headerBytes+size {
			return nil
		}
		frame, err := c.gc.Peek(headerBytes + size)
		if err != nil {
			return errors.Wrap(err, "link: read frame")
		}
		if err := c.handle(frameType, frame[headerBytes:]); err != nil {
			return err
		}
		if _, err := c.gc.Discard(headerBytes + size); err != nil {
			return errors.Wrap(err, "link: discard frame")
		}
	}
}

// maxHandshakeBytes bounds a frame's payload on a link that is not open: the peer may be anybody.
const maxHandshakeBytes = 4 << 10

// checkFrame checks a frame's type and size before its payload is received. Until the link is open, only the handshake
// messages are allowed, whose types are those up to typeWelcome.
func (c *Conn) checkFrame(frameType Type, size int) error {
	switch {
	case size > MaxFrameBytes:
		return errors.Wrapf(ErrFrame, "payload of %d bytes", size)
	case c.isOpen():
		return nil
	case frameType > typeWelcome || size > maxHandshakeBytes:
		return errors.Wrapf(ErrAuth, "message of type %d and %d bytes on a link that is not open", frameType, size)
	default:
		return nil
	}
}

// handle handles one frame.
func (c *Conn) handle(frameType Type, payload []byte) error {
	c.lastReceived.Store(c.node.sinceStart())
	message, err := c.in.decode(frameType, payload)
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
		c.pingedAt.Store(0)
		c.SetStamp(m.Stamp)
		c.pongs.notifyAll()
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

// checkTimeouts closes the link if its handshake takes too long, if the peer is silent or, at the
// dialler, if the link is idle. It also sends heartbeats. The node's ticker calls it.
func (c *Conn) checkTimeouts(now int64) {
	if !c.isOpen() {
		if time.Since(c.createdAt) > c.node.timing.Handshake {
			c.Close(errors.Wrap(ErrAuth, "no handshake in time"))
		}
		return
	}
	if c.retained.Load() <= 0 {
		if c.dialed {
			c.checkUnretained(now)
		}
		return
	}
	quiet := now - c.lastReceived.Load()
	if quiet > int64(c.node.timing.Silence) {
		c.Close(ErrSilent)
		return
	}
	if quiet > int64(c.node.timing.Heartbeat) && c.pingedAt.CompareAndSwap(0, now) {
		_ = c.Send(&ping{})
	}
}

// checkUnretained closes a dialled link without requests if it is unused for Timing.Idle. If nothing
// is received for Timing.Idle, it sends a ping, and closes the link if the pong does not arrive within
// Timing.Silence. The peer does not answer load digests: without the ping, digests would be sent to an
// unreachable peer until TCP gives up, and the link would not be dialled again.
func (c *Conn) checkUnretained(now int64) {
	if now-c.lastUsed.Load() > int64(c.node.timing.Idle) {
		c.Close(ErrIdle)
		return
	}
	if now-c.lastReceived.Load() <= int64(c.node.timing.Idle) {
		return
	}
	if c.pingedAt.CompareAndSwap(0, now) {
		_ = c.Send(&ping{})
		return
	}
	if now-c.pingedAt.Load() > int64(c.node.timing.Silence) {
		c.Close(ErrSilent)
	}
}
