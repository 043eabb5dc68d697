package httpserver

import (
	"io"
	"net"
	"net/http"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of ReadBody. None of the request has been passed on when it returns them.
var (
	// ErrTooLarge means that the body is larger than allowed.
	ErrTooLarge = errors.New("httpserver: the body is too large")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.New("httpserver: the body did not arrive in time")
	// ErrNoRoom means that there is no memory for the body.
	ErrNoRoom = errors.New("httpserver: there is no memory for the body")
)

const (
	// firstBuffer is the size of the first buffer for a body, firstUnknown that for one of unknown length. Further ones are
	// larger by the factor bufferGrowth.
	firstBuffer  = 16 << 10
	firstUnknown = 512
	bufferGrowth = 4
	// shortBody is the length up to which the rest of a body that is not needed is read before the answer.
	shortBody = 64 << 10
	// bodyReceiveBuffer is the receive buffer for bodies that are larger than firstBuffer. It holds
	// a window of 64 KiB, which is the largest on connections that began with a small one.
	bodyReceiveBuffer = 128 << 10
)

// body is the body of a request. It tells the account when it waits for the client.
type body struct {
	io.ReadCloser
	conn *conn
	// done is set once the body has been read to its end. whole is set while it is read at once.
	done, whole bool
	// short is set if the rest of the body may be awaited before the answer.
	short bool
}

func newBody(c *conn, r *http.Request) body {
	return body{
		ReadCloser: r.Body, conn: c, done: r.Body == http.NoBody || r.Body == nil,
		short: r.ContentLength <= shortBody && r.Header.Get("Expect") == "",
	}
}

// discard reads the rest of a short body, so that the connection can be used again, and reports whether the body has
// been read to its end.
func (b *body) discard() bool {
	if b.done || !b.short {
		return b.done
	}
	c := b.conn
	c.account.BeginBody(c.server.now(), c.server.now()+c.limits().HeadTimeout)
	b.whole = true
	_, _ = io.CopyN(io.Discard, readerOnly{b}, shortBody+1) // Its error shows in done.
	b.whole = false
	_, ok := c.beginServing()
	return ok && b.done
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.whole {
		return b.read(p)
	}
	b.conn.account.BeginBody(b.conn.server.now(), 0)
	n, err := b.read(p)
	if _, ok := b.conn.beginServing(); !ok && !b.done {
		return n, errShed
	}
	return n, err
}

func (b *body) read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.done = b.done || err == io.EOF
	return n, err
}

// ReadBody reads the whole body of a request, which may have atLeast bytes and must have arrived before the deadline;
// zero means that there is none. More is allowed if Limits.BodyBytes is larger, or was when the first byte of the request was
// read. The memory for it is charged to the client before it is used.
func ReadBody(r *http.Request, atLeast int64, deadline time.Time) ([]byte, error) {
	limit := func() int64 { return atLeast }
	if c := connOf(r); c != nil {
		limit = func() int64 { return max(atLeast, c.limits().BodyBytes) }
	}
	if r.ContentLength > limit() {
		return nil, tooLarge(r)
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	b, ok := r.Body.(*body)
	if !ok {
		return readInto(r, r.Body, limit, func(int, int) bool { return true })
	}
	c := b.conn
	c.account.BeginBody(c.server.now(), c.server.until(deadline))
	b.whole = true
	data, err := readInto(r, b, limit, c.growBody)
	b.whole = false
	b.short = b.short && err == nil // What is given up is answered at once.
	reason, ok := c.beginServing()
	switch {
	case ok:
		return data, err
	case reason == footprint.BodyTimeout:
		return nil, ErrTooSlow
	default:
		return nil, ErrNoRoom
	}
}

func tooLarge(r *http.Request) error {
	if c := connOf(r); c != nil {
		c.server.ledger.Count(footprint.BodyTooLarge)
	}
	return ErrTooLarge
}

// growBody charges the connection with a buffer for a body that takes the place of a smaller one.
func (c *conn) growBody(held, size int) bool {
	grows := size > firstBuffer && !c.grown
	charged := int64(size)
	if grows {
		charged += bodyReceiveBuffer
	}
	if !c.server.ledger.Acquire(c.server.now(), c.account, charged) {
		return false
	}
	if grows {
		c.setReceiveBuffer(bodyReceiveBuffer)
		c.grown = true
		c.kept += bodyReceiveBuffer
	}
	c.server.ledger.Retire(c.account, int64(held))
	return true
}

// setReceiveBuffer sets the size of the kernel's receive buffer. A failure makes a body slower, no more.
func (c *conn) setReceiveBuffer(size int) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // Fails only if the connection has ended.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size)
	})
}

// readInto reads a body into buffers that grow with what has arrived. acquire is asked for the memory of
// each; both are held until the first has been copied.
func readInto(r *http.Request, from io.Reader, limit func() int64, acquire func(held, size int) bool) ([]byte, error) {
	first := firstUnknown
	if r.ContentLength >= 0 {
		first = firstBuffer
		limit = func() int64 { return r.ContentLength }
	}
	var data []byte
	grow := func(most int) bool {
		size := min(max(bufferGrowth*len(data), first), most)
		if !acquire(cap(data), size) {
			return false
		}
		data = append(make([]byte, 0, size), data...)
		return true
	}
	for {
		if most := int(limit()); len(data) == cap(data) && len(data) < most && !grow(most) {
			return nil, ErrNoRoom
		}
		free := data[len(data):cap(data)]
		var beyond [1]byte
		if len(free) == 0 {
			// Only the end may follow, unless the limit has grown meanwhile.
			free = beyond[:]
		}
		n, err := from.Read(free)
		if n > cap(data)-len(data) {
			most := int(limit())
			if len(data) >= most {
				return nil, tooLarge(r)
			}
			if !grow(most) {
				return nil, ErrNoRoom
			}
			data = append(data, beyond[:n]...)
		} else {
			data = data[:len(data)+n]
		}
		switch err {
		case nil:
		case io.EOF:
			return data, nil
		default:
			return nil, err
		}
	}
}
