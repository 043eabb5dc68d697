package framing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// ErrBroken means that a connection broke although a read of it says that it has come to an orderly end.
var ErrBroken = errors.New("framing: the connection broke")

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections like dial, on which answers are checked: before anything of a malformed
// line is read, the read fails with ErrMalformed. GotConn must be called for each request.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(opened), nil
	}
}

// GotConn tells the connection of a request with a method that an answer to it begins with the next byte.
func GotConn(info httptrace.GotConnInfo, method string) {
	if c, ok := info.Conn.(*conn); ok {
		c.begin(method)
	}
}

// Explain returns the error of reading an answer over a connection: that the answer is malformed, if it is, which net/http
// may not pass on.
func Explain(used net.Conn, err error) error {
	c, ok := used.(*conn)
	if !ok || errors.Is(err, ErrMalformed) {
		return err
	}
	if failure := c.failure(); failure != nil {
		return fmt.Errorf("%w: %w", failure, err)
	}
	return err
}

// conn is a client's connection on which answers are checked.
type conn struct {
	net.Conn
	// writing holds a value during a write.
	writing chan struct{}

	mu     sync.Mutex
	answer validator
	// begun is set once a byte of the answer was read.
	begun bool
	// failed is why no more is read.
	failed error
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newConn(opened net.Conn) *conn {
	return &conn{Conn: opened, writing: make(chan struct{}, 1), answer: newValidator("")}
}

func (c *conn) begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer, c.begun = newValidator(method), false
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.check(p[:n], err)
	}
	if err == io.EOF && c.endsWithConnection() {
		err = c.orderlyEnd()
	}
	return n, err
}

func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// check checks the bytes of a read and returns its result. The first byte of an answer is always read: net/http may
// send the request again if it gets an error in its place.
func (c *conn) check(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, malformed := c.answer.next(p)
	if malformed == nil {
		c.begun = true
		return len(p), err
	}
	c.failed = malformed
	switch {
	case sound > 0:
		return sound, nil
	case !c.begun:
		return 1, nil
	default:
		return 0, malformed
	}
}

func (c *conn) endsWithConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.place == untilClose
}

// lastWrite is how long a write may take to return after the connection broke.
const lastWrite = 200 * time.Millisecond

// orderlyEnd returns io.EOF if the peer has closed the connection, and ErrBroken if a write has failed in another way:
// the kernel tells of a reset only once, and if it tells a write, reads come to an end as if the peer had closed.
// A write to a connection that the peer had closed before it was reset fails with EPIPE.
func (c *conn) orderlyEnd() error {
	timer := time.NewTimer(lastWrite)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C: // It waits for the peer to read on, so the connection isn't broken.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, c.writeErr)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		if c.writeErr == nil {
			c.writeErr = err
		}
		c.mu.Unlock()
	}
	return n, err
}
