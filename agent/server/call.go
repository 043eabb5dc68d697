package server

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
)

// phase is how far a call has come.
type phase uint8

const (
	phaseBody phase = iota
	phaseQueued
	phaseRunning
	phaseEnded
)

// liveCall is one accepted call. Its queue position and phase belong to Server.mu; its
// answer belongs to its own mu.
type liveCall struct {
	offer    link.Offer
	work     call.TokenDemand
	body     []byte
	got      int
	phase    phase
	arrived  time.Time
	started  time.Time
	deadline time.Time
	timer    *time.Timer
	ctx      context.Context
	stop     context.CancelCauseFunc
	span     collector.Span
	priority int
	// prefilling is set from the start to the first token; it belongs to Server.mu.
	prefilling bool
	// keepUntil is how long after its end the call waits for entries that read slowly; it
	// belongs to Server.mu.
	keepUntil time.Time
	// group lists the engines that share the call's memory with this one.
	group []string

	mu      sync.Mutex
	room    *sync.Cond
	outlets []*outlet
	head    *link.Head
	end     *link.End
	kept    answerLog
	chunk   link.Chunk
	seq     uint64
	failure *result.Error
}

// outlet carries the answer to one entry.
type outlet struct {
	entry  link.Identity
	conn   *link.Conn
	sender *stream.Sender
	// detached is set while the entry has no link.
	detached bool
	done     bool
}

// answerLog keeps the whole answer of a non-repeatable call, so that a repeat with the
// same key gets the first run's answer.
type answerLog struct {
	frames []stream.Frame
	bytes  int
	// lost is set when the answer outgrew the bound; it can then not be replayed.
	lost bool
}

func newCall(offer *link.Offer, now time.Time) *liveCall {
	l := &liveCall{
		offer:   *offer,
		work:    call.TokenDemand{PromptTokens: offer.PromptTokens, MaxTokens: offer.MaxTokens},
		arrived: now,
	}
	l.room = sync.NewCond(&l.mu)
	l.deadline = now.Add(time.Duration(offer.TimeLeftMs) * time.Millisecond)
	ctx, stop := context.WithCancelCause(context.Background())
	l.ctx = ctx
	l.stop = stop
	return l
}

// cancel ends the call's work with a reason.
func (l *liveCall) cancel(reason *result.Error) {
	l.mu.Lock()
	if l.failure == nil {
		l.failure = reason
	}
	l.mu.Unlock()
	l.stop(reason)
	l.room.Broadcast()
}

func (l *liveCall) reason() *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// attach gives the greeting and then the answer from its beginning to an entry; false,
// with nothing sent, when the beginning was not kept.
func (l *liveCall) attach(c *link.Conn, streamBytes int, greeting []link.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.outletOf(c); o != nil {
		// A repeated offer on a new link: the old link is dead to the entry.
		greet(c, greeting)
		l.reattach(o, c, 1)
		return true
	}
	if l.seq > 0 && (l.offer.Repeatable || l.kept.lost) {
		return false
	}
	greet(c, greeting)
	o := &outlet{entry: c.Peer(), conn: c, sender: stream.NewSender(streamBytes)}
	l.outlets = append(l.outlets, o)
	c.Retain()
	l.sendHead(o)
	for _, frame := range l.kept.frames {
		o.sender.Append(frame.Attempt, frame.Tokens, frame.Data)
		l.sendFrame(o, frame)
	}
	l.sendEnd(o)
	return true
}

func greet(c *link.Conn, greeting []link.Message) {
	for _, message := range greeting {
		_ = c.Send(message)
	}
}

// resume goes on from next on a new link; false when this entry has no part in the call.
func (l *liveCall) resume(c *link.Conn, next uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outletOf(c)
	if o == nil {
		return false
	}
	l.reattach(o, c, next)
	return true
}

func (l *liveCall) reattach(o *outlet, c *link.Conn, next uint64) {
	if o.conn != c {
		o.conn.Release()
		c.Retain()
	}
	o.conn = c
	o.detached = false
	l.sendHead(o)
	if next > 0 {
		o.sender.Ack(next - 1)
	}
	o.sender.From(next, func(frame stream.Frame) bool {
		l.sendFrame(o, frame)
		return true
	})
	l.sendEnd(o)
	l.room.Broadcast()
}

func (l *liveCall) outletOf(c *link.Conn) *outlet {
	peer := c.Peer()
	for _, o := range l.outlets {
		if o.entry.VM == peer.VM && o.entry.Incarnation == peer.Incarnation {
			return o
		}
	}
	return nil
}

// detach marks the outlets on a lost link; true when there was one.
func (l *liveCall) detach(c *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for _, o := range l.outlets {
		if o.conn == c && !o.detached {
			o.detached = true
			found = true
		}
	}
	return found
}

// dropOutlets removes outlets that are done or still detached; it returns how many are left.
func (l *liveCall) dropOutlets(detached bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.outlets[:0]
	for _, o := range l.outlets {
		if o.done || detached && o.detached {
			o.conn.Release()
			continue
		}
		kept = append(kept, o)
	}
	l.outlets = kept
	l.room.Broadcast()
	return len(kept)
}

// setHead stores and sends the head of a plain service's answer.
func (l *liveCall) setHead(head *link.Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head = head
	for _, o := range l.outlets {
		l.sendHead(o)
	}
}

// emit appends one frame to the answer. It blocks while any entry's buffer is full, so
// that a slow caller slows its own upstream call and nothing else; it returns false when
// the call was cancelled meanwhile.
func (l *liveCall) emit(tokens uint32, data []byte, keptBytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ctx.Err() == nil && !l.hasRoom(len(data)) {
		l.room.Wait()
	}
	if l.ctx.Err() != nil {
		return false
	}
	l.seq++
	frame := stream.Frame{Attempt: l.offer.Attempt, Seq: l.seq, Tokens: tokens, Data: data}
	if !l.offer.Repeatable {
		l.kept.add(frame, keptBytes)
	}
	for _, o := range l.outlets {
		o.sender.Append(frame.Attempt, tokens, data)
		l.sendFrame(o, frame)
	}
	return true
}

// tell sends a message beside the answer to the entries that have a link.
func (l *liveCall) tell(message link.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outlets {
		if !o.detached {
			_ = o.conn.Send(message)
		}
	}
}

func (l *liveCall) hasRoom(n int) bool {
	for _, o := range l.outlets {
		if !o.sender.HasRoom(n) {
			return false
		}
	}
	return true
}

func (a *answerLog) add(frame stream.Frame, limit int) {
	a.bytes += len(frame.Data)
	if a.lost || a.bytes > limit {
		a.lost = true
		a.frames = nil
		return
	}
	a.frames = append(a.frames, frame)
}

// finish stores and sends the end of the answer.
func (l *liveCall) finish(end *link.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end.ID = l.offer.ID
	end.Attempt = l.offer.Attempt
	end.Seq = l.seq + 1
	l.end = end
	for _, o := range l.outlets {
		l.sendEnd(o)
	}
}

// ack frees an entry's frames; true when the entry has the whole answer.
func (l *liveCall) ack(c *link.Conn, seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outletOf(c)
	if o == nil {
		return false
	}
	o.sender.Ack(seq)
	l.room.Broadcast()
	if l.end == nil || seq < l.end.Seq {
		return false
	}
	o.done = true
	return true
}

// The send functions are called with mu held. A failed send needs no handling: the
// frame stays in the outlet's buffer until the entry resumes or is given up.
func (l *liveCall) sendHead(o *outlet) {
	if l.head != nil && !o.detached {
		_ = o.conn.Send(l.head)
	}
}

func (l *liveCall) sendFrame(o *outlet, frame stream.Frame) {
	if o.detached {
		return
	}
	l.chunk = link.Chunk{ID: l.offer.ID, Attempt: frame.Attempt, Seq: frame.Seq, Tokens: frame.Tokens, Data: frame.Data}
	_ = o.conn.Send(&l.chunk)
}

func (l *liveCall) sendEnd(o *outlet) {
	if l.end != nil && !o.detached {
		_ = o.conn.Send(l.end)
	}
}
