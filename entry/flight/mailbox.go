package flight

import (
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/peers/link"
)

// mailbox collects the messages that event loops deliver to one request. Its size is bounded
// by the agent's stream buffer, because the agent sends no more until the request
// acknowledges.
type mailbox struct {
	mu      sync.Mutex
	pending contents
	signal  chan struct{}
}

// contents is a batch of frames and events. arena holds the data of all frames.
type contents struct {
	frames []frameRef
	arena  []byte
	events []event
}

// frameRef is a frame whose data is arena[start:end].
type frameRef struct {
	attempt call.Attempt
	seq     uint64
	tokens  uint32
	start   int
	end     int
}

// event is a message other than a chunk, or the loss of a link.
type event struct {
	// message is nil if the link was lost.
	message link.Message
	conn    *link.Conn
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) putChunk(c *link.Chunk) {
	m.mu.Lock()
	start := len(m.pending.arena)
	m.pending.arena = append(m.pending.arena, c.Data...)
	m.pending.frames = append(m.pending.frames, frameRef{
		attempt: c.Attempt,
		seq:     c.Seq,
		tokens:  c.Tokens,
		start:   start,
		end:     len(m.pending.arena),
	})
	m.mu.Unlock()
	m.notify()
}

func (m *mailbox) putEvent(e event) {
	m.mu.Lock()
	m.pending.events = append(m.pending.events, e)
	m.mu.Unlock()
	m.notify()
}

// notify signals that the mailbox has contents.
func (m *mailbox) notify() {
	select {
	case m.signal <- struct{}{}:
	default: // The request has been notified already.
	}
}

// take swaps the collected batch for an empty one and returns it.
func (m *mailbox) take(empty contents) contents {
	empty.frames = empty.frames[:0]
	empty.arena = empty.arena[:0]
	empty.events = empty.events[:0]
	m.mu.Lock()
	defer m.mu.Unlock()
	full := m.pending
	m.pending = empty
	return full
}

func (c *contents) frame(i int) stream.Frame {
	ref := c.frames[i]
	return stream.Frame{Attempt: ref.attempt, Seq: ref.seq, Tokens: ref.tokens, Data: c.arena[ref.start:ref.end]}
}
