package footprint

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase uint32

// The phases of a connection.
const (
	// Idle: it waits for the client's next request, or its first.
	Idle Phase = iota
	// Head: a request's head is being read.
	Head
	// Body: a request's body is being read.
	Body
	// Serving: the request is being served.
	Serving
	// Answering: bytes of the answer are being written.
	Answering
	// Closing: the answer has been written, and what the client still sends is discarded.
	Closing

	numPhases = int(Closing) + 1
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "serving", "answering", "closing"}[p]
}

// Reason says why a connection was closed or a request refused.
type Reason uint32

// The reasons.
const (
	// NoRoom: there was no memory for the connection or its request.
	NoRoom Reason = iota
	// GaveWay: it made little progress and its memory was needed.
	GaveWay
	// HeadTimeout: the head did not arrive in time.
	HeadTimeout
	// BodyTimeout: the body did not arrive in time.
	BodyTimeout
	// IdleTimeout: it was idle for too long.
	IdleTimeout
	// NotRead: the client read none of its answer for too long.
	NotRead
	// HeadTooLarge: the head was larger than allowed.
	HeadTooLarge
	// BodyTooLarge: the body was larger than allowed.
	BodyTooLarge

	numReasons = int(BodyTooLarge) + 1
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	return [...]string{"no_room", "gave_way", "head_timeout", "body_timeout", "idle_timeout", "not_read", "head_too_large",
		"body_too_large"}[r]
}

// Phases returns all phases.
func Phases() []Phase { return []Phase{Idle, Head, Body, Serving, Answering, Closing} }

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{NoRoom, GaveWay, HeadTimeout, BodyTimeout, IdleTimeout, NotRead, HeadTooLarge, BodyTooLarge}
}

// Conn is a connection's part of the account. Only the connection's own goroutines change its phase.
type Conn struct {
	owner Owner
	// number orders connections by their beginning.
	number uint64
	group  atomic.Pointer[group]
	held   atomic.Int64
	phase  atomic.Uint32
	// since is when the phase began, progressed when bytes were last moved in it, and moved their number.
	since, progressed, moved atomic.Int64
	// deadline is when the body must have arrived, or zero.
	deadline atomic.Int64
	// served reports whether a request of the connection has been served.
	served atomic.Bool
	state  atomic.Uint32
}

// The states of a connection.
const (
	open uint32 = iota
	// refused: Owner.Refuse was called, or is about to be. Nothing more is charged to it.
	refused
	// closed: likewise Owner.Abort, or it was closed by Ledger.Close.
	closed
)

// Held returns how many bytes the connection is charged with.
func (c *Conn) Held() int64 { return c.held.Load() }

// uncharge lowers what the connection holds by n bytes, or by what is left, and returns by how many.
func (c *Conn) uncharge(n int64) int64 {
	for {
		held := c.held.Load()
		taken := min(max(n, 0), held)
		if c.held.CompareAndSwap(held, held-taken) {
			return taken
		}
	}
}

// Phase returns what the connection is doing.
func (c *Conn) Phase() Phase { return Phase(c.phase.Load()) }

// Begin starts a phase.
func (c *Conn) Begin(now time.Duration, phase Phase) {
	c.since.Store(int64(now))
	c.progressed.Store(int64(now))
	c.moved.Store(0)
	if phase == Idle {
		c.deadline.Store(0)
		c.served.Store(true)
	}
	c.phase.Store(uint32(phase))
}

// BeginBody starts to read a body that must arrive before the deadline; zero means that there is none.
func (c *Conn) BeginBody(now, deadline time.Duration) {
	c.deadline.Store(int64(deadline))
	c.Begin(now, Body)
}

// Moved records that n bytes were read or written in the current phase.
func (c *Conn) Moved(now time.Duration, n int) {
	if n > 0 {
		c.moved.Add(int64(n))
		c.progressed.Store(int64(now))
	}
}
