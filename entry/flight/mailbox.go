package flight

import (
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/peers/link"
)

// mailbox collects what event loops hand to one request. Its bytes are bounded by the
// agent's stream buffer: the agent sends no more until the request acknowledges.
type mailbox struct {
	mu     sync.Mutex
	box    contents
	signal chan struct{}
}

// contents is a batch of events. Frames' data lies in arena.
type contents struct {
	frames []frameRef
	arena  []byte
	events []event
}

type frameRef struct {
	attempt call.Attempt
	seq     uint64
	tokens  uint32
	start   int
	end     int
}

// event is anything but a chunk.
type event struct {
	// message is nil when the link was lost.
	message link.Message
	conn    *link.Conn
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) putChunk(c *link.Chunk) {
	m.mu.Lock()
	start := len(m.box.arena)
	m.box.arena = append(m.box.arena, c.Data...)
	m.box.frames = append(m.box.frames, frameRef{
		attempt: c.Attempt,
		seq:     c.Seq,
		tokens:  c.Tokens,
		start:   start,
		end:     len(m.box.arena),
	})
	m.mu.Unlock()
	m.notify()
}

func (m *mailbox) putEvent(e event) {
	m.mu.Lock()
	m.box.events = append(m.box.events, e)
	m.mu.Unlock()
	m.notify()
}

func (m *mailbox) notify() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take swaps the collected batch for an empty one and returns it.
func (m *mailbox) take(empty contents) contents {
	empty.frames = empty.frames[:0]
	empty.arena = empty.arena[:0]
	empty.events = empty.events[:0]
	m.mu.Lock()
	defer m.mu.Unlock()
	full := m.box
	m.box = empty
	return full
}

func (c *contents) frame(i int) stream.Frame {
	ref := c.frames[i]
	return stream.Frame{Attempt: ref.attempt, Seq: ref.seq, Tokens: ref.tokens, Data: c.arena[ref.start:ref.end]}
}
