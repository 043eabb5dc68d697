package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/pkg/errors"
)

const (
	// headBytesFactor is the memory that a byte of a head takes: the text and the copy that is sent on.
	headBytesFactor = 2
	// fieldBytes is the memory that a field of a head takes besides its text, as received and as sent on.
	fieldBytes = 240
	// headSlack is how much more than a head may have been read with it.
	headSlack = 4 << 10
	// writePiece bounds a write, so that the progress of a slow reader shows.
	writePiece = 16 << 10
	// closingTimeout bounds the time in which what a client still sends after its answer is read and discarded,
	// discardRate the number of bytes a second for all clients together, discardBurst that at once.
	closingTimeout = 2 * time.Second
	discardRate    = 16 << 20
	discardBurst   = 8 << 20
	discardPiece   = 8 << 10
	// emptyLine has the bytes of empty lines, of which up to mostSkipped are ignored before a request.
	emptyLine   = "\r\n"
	mostSkipped = 16
)

// errShed is the error of reads on a connection that was shed.
var errShed = errors.New("httpserver: the connection was closed to free memory or after a timeout")

// conn is a connection to a client. It is the net.Conn that net/http uses.
type conn struct {
	net.Conn
	server  *Server
	account *footprint.Conn
	// secure is set if the bytes are those of TLS.
	secure bool
	// body and writer belong to the current request.
	body   body
	writer writer
	// sentAhead is the number of requests in a row that the client had sent before the answer to the one before.
	sentAhead int
	// headBytes is the size of the head that is read, headHeld what is charged for it.
	headBytes int
	headHeld  int64
	// since holds the limits in force when the first byte of the request was read, ahead those when bytes were last read,
	// among which the next one may have begun.
	since, ahead Limits
	// refused is set once nothing more may be written: a request was refused whose head had not been read whole, or what was
	// read isn't answered.
	refused bool
	// bufferSize is the size of the buffer into which net/http reads heads. skipped is how many bytes of empty lines were
	// skipped before the current head.
	bufferSize, skipped int
	// ended is set once the client has closed its sending side.
	ended   bool
	history history

	// grown is set once the receive buffer is one for bodies: if it shrank again, the window would close until the client
	// probes it. kept is what is charged for that as long as the connection lasts.
	grown bool
	kept  int64

	// mu orders the beginning of a request's service and the shedding of the connection.
	mu     sync.Mutex
	shed   bool
	reason footprint.Reason
}

// Refuse implements footprint.Owner. The goroutine that reads the head or the body answers the request.
func (c *conn) Refuse(reason footprint.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shed, c.reason = true, reason
	if c.reading() {
		c.interruptRead()
	}
}

// Abort implements footprint.Owner.
func (c *conn) Abort(reason footprint.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shed, c.reason = true, reason
	switch c.account.Phase() {
	case footprint.Serving:
		return // The connection is closed after its request.
	case footprint.Answering:
		// An answer that ends early must not look complete.
		_ = c.SetLinger(0) // Fails only if the connection has ended.
	}
	_ = c.Conn.Close() // As above.
}

// reading reports whether a head or a body is being read.
func (c *conn) reading() bool {
	phase := c.account.Phase()
	return phase == footprint.Head || phase == footprint.Body
}

// wasShed returns why the connection was shed, if it was.
func (c *conn) wasShed() (footprint.Reason, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason, c.shed
}

// interruptRead makes pending and further reads fail. It is called with mu held.
func (c *conn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) } // Fails only if the connection has ended.

// SetReadDeadline implements net.Conn. It keeps the deadlines that the server itself has set.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account.Phase() == footprint.Closing {
		return nil
	}
	if c.shed && c.reading() {
		c.interruptRead()
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the connection's sending side, which lets the client read the end of an answer
// although it goes on sending.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. After an answer to a request whose body was not read it first discards the rest,
// so that the answer is not lost by a reset.
func (c *conn) Close() error {
	if c.account.Phase() == footprint.Closing && !c.server.closing.Load() {
		_ = c.CloseWrite() // Fails only if the connection has ended.
		c.discardRest()
	}
	err := c.Conn.Close()
	c.server.ledger.Close(c.account)
	return err
}

// beginClosing begins the time in which what the client still sends is discarded.
func (c *conn) beginClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Begin(c.server.now(), footprint.Closing)
	_ = c.Conn.SetReadDeadline(time.Now().Add(closingTimeout)) // Fails only if the connection has ended.
}

// discardRest reads what the client still sends until it closes the connection or the time for this ends.
func (c *conn) discardRest() {
	ctx, cancel := context.WithTimeout(context.Background(), closingTimeout)
	defer cancel()
	var piece [discardPiece]byte
	for c.server.discards.WaitN(ctx, len(piece)) == nil {
		if _, err := c.Conn.Read(piece[:]); err != nil {
			return
		}
	}
}

// readerOnly hides the other methods of a reader.
type readerOnly struct{ io.Reader }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// Net/http watches the connection beside a request, from before its handler is called. The byte belongs to what
		// follows, and the account to the goroutine that serves the request.
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	for n > 0 && c.betweenRequests(len(p)) {
		skipped := min(n-len(bytes.TrimLeft(p[:n], emptyLine)), mostSkipped-c.skipped)
		if skipped == 0 {
			break
		}
		c.skipped += skipped
		if n = copy(p, p[skipped:n]); n > 0 || err != nil {
			break
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		return c.received(p[:n], err)
	}
	c.ended = c.ended || err == io.EOF
	if err != nil && c.account.Phase() == footprint.Head {
		if reason, ok := c.wasShed(); ok {
			return 0, c.refuseHead(reason)
		}
	}
	return n, err
}

// betweenRequests reports whether what is read into size bytes begins a request. Net/http reads heads into what is free in a
// buffer of constant size, so if that is all of it, nothing of the request has been read before.
func (c *conn) betweenRequests(size int) bool {
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	return size == c.bufferSize && c.account.Phase() == footprint.Idle && !c.secure
}

// received accounts for bytes that were read. An error ends the connection.
func (c *conn) received(p []byte, err error) (int, error) {
	now := c.server.now()
	if !c.secure { // What is read over TLS may be read beside the goroutine that serves the request.
		c.ahead = c.server.limits()
	}
	switch c.account.Phase() {
	case footprint.Idle:
		c.account.Begin(now, footprint.Head)
		c.headBytes, c.history.shown = 0, 0
		c.since = c.server.limits()
	case footprint.Head:
	case footprint.Body:
		c.account.Moved(now, len(p))
		return len(p), err
	default:
		return len(p), err
	}
	c.headBytes += len(p)
	c.history.received(p)
	c.account.Moved(now, len(p))
	if c.headBytes > c.limits().HeadBytes+headSlack {
		return 0, c.refuseHead(footprint.HeadTooLarge)
	}
	cost := int64(headBytesFactor*len(p) + fieldBytes*bytes.Count(p, []byte{'\n'}))
	if !c.server.ledger.Acquire(now, c.account, cost) {
		return 0, c.refuseHead(footprint.NoRoom)
	}
	c.headHeld += cost
	return len(p), err
}

// limits returns the limits for the current request: the larger of those in force since it began and those now.
func (c *conn) limits() Limits { return c.since.orLarger(c.server.limits()) }

// refuseHead answers a request whose head has not been read whole, and returns the error that makes net/http close
// the connection. net/http would answer most such errors with 400 as well.
func (c *conn) refuseHead(reason footprint.Reason) error {
	if reason == footprint.HeadTooLarge {
		c.server.ledger.Count(reason)
	}
	c.logRefusedHead(reason, c.limits())
	c.beginClosing()
	if !c.secure { // A plain answer would be no TLS record.
		_, _ = c.Conn.Write(refusalText(reason)) // The client may have disconnected.
	}
	c.refused = true
	return errShed
}

// dropAnswer makes the connection end without the answer that net/http is about to write.
func (c *conn) dropAnswer() {
	c.beginClosing()
	c.refused = true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	if c.refused {
		return len(p), nil
	}
	if status, ok := c.ownStatus(p); ok {
		if c.ended { // The head was not whole, which proves nothing of the request.
			c.dropAnswer()
			return len(p), nil
		}
		c.countUnread(status, p)
		// Bytes that are no request are likely not the client's, and it would not send a request again after a refusal.
		if status == http.StatusBadRequest && c.history.served > 0 {
			c.dropAnswer()
			return len(p), nil
		}
	}
	phase := c.account.Phase()
	c.account.Begin(c.server.now(), footprint.Answering)
	defer func() { c.account.Begin(c.server.now(), phase) }()
	for {
		n, err := c.Conn.Write(p[:min(len(p), writePiece)])
		written += n
		c.account.Moved(c.server.now(), n)
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

const (
	// firstPause is the pause before a request that was sent ahead, longestPause its bound as it doubles with each
	// further one. Without it, clients that don't wait for answers take the processor time of those that do.
	firstPause   = time.Millisecond
	longestPause = 250 * time.Millisecond
)

// pauseAhead pauses before a request that was read together with the one before.
func (c *conn) pauseAhead() {
	if c.headBytes > 0 {
		c.sentAhead = 0
		return
	}
	c.sentAhead++
	c.since = c.ahead
	time.Sleep(min(firstPause<<min(c.sentAhead-1, 16), longestPause))
}

// beginRequest begins the service of a request whose head has been read. ok is false if there is no room for it, or
// if the connection was shed.
func (c *conn) beginRequest(r *http.Request) (reason footprint.Reason, ok bool) {
	if more := int64(fieldBytes*len(r.Header)) - c.headHeld; more > 0 {
		if !c.server.ledger.Acquire(c.server.now(), c.account, more) {
			c.account.Begin(c.server.now(), footprint.Serving)
			return footprint.NoRoom, false
		}
		c.headHeld += more
	}
	return c.beginServing()
}

// beginServing ends the reading of a head or a body. ok is false if the connection was shed meanwhile.
func (c *conn) beginServing() (reason footprint.Reason, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Begin(c.server.now(), footprint.Serving)
	return c.reason, !c.shed
}

// endRequest ends the service of a request and releases what it held. answered says that it was not aborted.
func (c *conn) endRequest(answered bool) {
	c.server.ledger.Retire(c.account, c.account.Held()-footprint.ConnBytes-c.kept)
	c.headHeld, c.headBytes, c.skipped = 0, 0, 0
	if answered && !c.body.done {
		c.beginClosing()
		return
	}
	c.account.Begin(c.server.now(), footprint.Idle)
}
