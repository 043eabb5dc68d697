package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
)

// phase is the stage that a call has reached.
type phase uint8

const (
	phaseBody    phase = iota // the body is being received
	phaseQueued               // waiting in the queue or for its group's memory
	phaseRunning              // running at the upstream
	phaseEnded                // refused, cancelled before its start, or ended at the upstream
)

// liveCall is one accepted call. Server.mu guards the phase and the fields whose comments name
// it. mu guards the fields declared after it: the answer, its subscribers and the reason for a
// cancellation.
type liveCall struct {
	offer         link.Offer
	demand        call.TokenDemand
	body          []byte
	bodyReceived  int
	phase         phase
	arrived       time.Time
	started       time.Time
	deadline      time.Time
	timer         *time.Timer
	ctx           context.Context
	cancelContext context.CancelCauseFunc
	span          collector.Span
	priority      int
	// prefilling is set from the start to the first token. It is guarded by Server.mu.
	prefilling bool
	// retainUntil is the time until which an ended call is kept for entries that read slowly.
	// It is guarded by Server.mu.
	retainUntil time.Time
	// memberURLs lists the base URLs of the other engines that hold part of the call's memory.
	memberURLs []string

	mu sync.Mutex
	// bufferSpace is signalled when a subscriber may have buffer space again, and when the call
	// is cancelled.
	bufferSpace *sync.Cond
	subscribers []*subscriber
	head        *link.Head
	end         *link.End
	replay      replayBuffer
	// chunk is the message that sendFrame reuses for every frame.
	chunk link.Chunk
	// seq is the sequence number of the last frame.
	seq         uint64
	cancelError *result.Error
}

// subscriber is an entry that receives the call's answer.
type subscriber struct {
	entry  link.Identity
	conn   *link.Conn
	sender *stream.Sender
	// detached is set after the entry's link was lost, until the entry resumes.
	detached bool
	done     bool
}

// replayBuffer holds the whole answer of a non-repeatable call, so that another request with
// the same key gets the answer of the first run.
type replayBuffer struct {
	frames []stream.Frame
	bytes  int
	// overflowed is set when the answer exceeded the limit. It can then not be replayed.
	overflowed bool
}

func newCall(offer *link.Offer, now time.Time) *liveCall {
	l := &liveCall{
		offer:   *offer,
		demand:  call.TokenDemand{PromptTokens: offer.PromptTokens, MaxTokens: offer.MaxTokens},
		arrived: now,
	}
	l.bufferSpace = sync.NewCond(&l.mu)
	l.deadline = now.Add(time.Duration(offer.TimeLeftMs) * time.Millisecond)
	ctx, stop := context.WithCancelCause(context.Background())
	l.ctx = ctx
	l.cancelContext = stop
	return l
}

// cancel cancels the call's context. The first reason given is the one reported.
func (l *liveCall) cancel(reason *result.Error) {
	l.mu.Lock()
	if l.cancelError == nil {
		l.cancelError = reason
	}
	l.mu.Unlock()
	l.cancelContext(reason)
	l.bufferSpace.Broadcast()
}

func (l *liveCall) cancelReason() *result.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cancelError
}

// attach makes an entry a subscriber: it sends the entry the acceptance messages and then the
// answer from its first frame. It returns false, with nothing sent, if the first frames are no
// longer available.
func (l *liveCall) attach(c *link.Conn, streamBytes int, acceptance []link.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier := l.subscriberFor(c)
	if earlier != nil && earlier.sender.Acked() == 0 {
		// The entry repeats its offer on a new link because it has given up the old one.
		sendAll(c, acceptance)
		earlier.done = false
		l.reattach(earlier, c, 1)
		return true
	}
	if l.seq > 0 && (l.offer.Repeatable || l.replay.overflowed) {
		return false
	}
	if earlier != nil {
		// The entry has acknowledged frames for an earlier request with the same key, and this one
		// needs them again.
		l.removeSubscriber(earlier)
	}
	sendAll(c, acceptance)
	sub := &subscriber{entry: c.Peer(), conn: c, sender: stream.NewSender(streamBytes)}
	l.subscribers = append(l.subscribers, sub)
	c.Retain()
	l.sendHead(sub)
	for _, frame := range l.replay.frames {
		sub.sender.Append(frame.Attempt, frame.Tokens, frame.Data)
		l.sendFrame(sub, frame)
	}
	l.sendEnd(sub)
	return true
}

func sendAll(c *link.Conn, messages []link.Message) {
	for _, message := range messages {
		_ = c.Send(message)
	}
}

// resume continues the answer at sequence number next on a new link. It returns false if
// the entry is not a subscriber of the call.
func (l *liveCall) resume(c *link.Conn, next uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriberFor(c)
	if sub == nil {
		return false
	}
	l.reattach(sub, c, next)
	return true
}

// reattach continues a subscriber's answer at sequence number next over a link, and takes the
// frames before next as acknowledged. It is called with mu held.
func (l *liveCall) reattach(sub *subscriber, c *link.Conn, next uint64) {
	if sub.conn != c {
		sub.conn.Release()
		c.Retain()
	}
	sub.conn = c
	sub.detached = false
	l.sendHead(sub)
	if next > 0 {
		sub.sender.Ack(next - 1)
	}
	sub.sender.From(next, func(frame stream.Frame) bool {
		l.sendFrame(sub, frame)
		return true
	})
	l.sendEnd(sub)
	l.bufferSpace.Broadcast()
}

// subscriberFor returns the subscriber of the entry at the other end of a link, or nil. It is
// called with mu held.
func (l *liveCall) subscriberFor(c *link.Conn) *subscriber {
	peer := c.Peer()
	for _, sub := range l.subscribers {
		if sub.entry.VM == peer.VM && sub.entry.Incarnation == peer.Incarnation {
			return sub
		}
	}
	return nil
}

// detach marks the subscribers on a lost link as detached. It returns whether there were any.
func (l *liveCall) detach(c *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for _, sub := range l.subscribers {
		if sub.conn == c && !sub.detached {
			sub.detached = true
			found = true
		}
	}
	return found
}

// removeSubscribers removes the subscribers that are done and, if detached is set, those that
// are detached. It returns how many are left.
func (l *liveCall) removeSubscribers(detached bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.subscribers[:0]
	for _, sub := range l.subscribers {
		if sub.done || detached && sub.detached {
			sub.conn.Release()
			continue
		}
		kept = append(kept, sub)
	}
	l.subscribers = kept
	l.bufferSpace.Broadcast()
	return len(kept)
}

// removeSubscriber removes a subscriber and releases its link. It is called with mu held.
func (l *liveCall) removeSubscriber(sub *subscriber) {
	sub.conn.Release()
	l.subscribers = slices.DeleteFunc(l.subscribers, func(other *subscriber) bool { return other == sub })
}

// setHead stores the head of a plain service's answer and sends it.
func (l *liveCall) setHead(head *link.Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head = head
	for _, sub := range l.subscribers {
		l.sendHead(sub)
	}
}

// emit appends one frame to the answer. It blocks while any subscriber's buffer is full. A slow
// caller thus slows this call, with all its subscribers, but no other call. It returns false if
// the call was cancelled meanwhile.
func (l *liveCall) emit(tokens uint32, data []byte, maxReplayBytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ctx.Err() == nil && !l.hasRoom(len(data)) {
		l.bufferSpace.Wait()
	}
	if l.ctx.Err() != nil {
		return false
	}
	l.seq++
	frame := stream.Frame{Attempt: l.offer.Attempt, Seq: l.seq, Tokens: tokens, Data: data}
	if !l.offer.Repeatable {
		l.replay.add(frame, maxReplayBytes)
	}
	for _, sub := range l.subscribers {
		sub.sender.Append(frame.Attempt, tokens, data)
		l.sendFrame(sub, frame)
	}
	return true
}

// notify sends a message that is not part of the answer to the subscribers that have a link.
func (l *liveCall) notify(message link.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sub := range l.subscribers {
		if !sub.detached {
			_ = sub.conn.Send(message)
		}
	}
}

// hasRoom reports whether every subscriber's buffer has room for n more bytes. It is called
// with mu held.
func (l *liveCall) hasRoom(n int) bool {
	for _, sub := range l.subscribers {
		if !sub.sender.HasRoom(n) {
			return false
		}
	}
	return true
}

// add appends a frame, or discards the whole answer once it exceeds maxBytes.
func (b *replayBuffer) add(frame stream.Frame, maxBytes int) {
	b.bytes += len(frame.Data)
	if b.overflowed || b.bytes > maxBytes {
		b.overflowed = true
		b.frames = nil
		return
	}
	b.frames = append(b.frames, frame)
}

// finish stores the end of the answer and sends it.
func (l *liveCall) finish(end *link.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end.ID = l.offer.ID
	end.Attempt = l.offer.Attempt
	end.Seq = l.seq + 1
	l.end = end
	for _, sub := range l.subscribers {
		l.sendEnd(sub)
	}
}

// ack releases the frames that an entry has acknowledged. It returns true if the entry has
// received the whole answer.
func (l *liveCall) ack(c *link.Conn, seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriberFor(c)
	if sub == nil {
		return false
	}
	sub.sender.Ack(seq)
	l.bufferSpace.Broadcast()
	if l.end == nil || seq < l.end.Seq {
		return false
	}
	sub.done = true
	return true
}

// The send functions are called with mu held. They ignore failed sends: an unacknowledged frame
// stays in the subscriber's buffer and is sent again when the entry resumes.
func (l *liveCall) sendHead(sub *subscriber) {
	if l.head != nil && !sub.detached {
		_ = sub.conn.Send(l.head)
	}
}

func (l *liveCall) sendFrame(sub *subscriber, frame stream.Frame) {
	if sub.detached {
		return
	}
	l.chunk = link.Chunk{ID: l.offer.ID, Attempt: frame.Attempt, Seq: frame.Seq, Tokens: frame.Tokens, Data: frame.Data}
	_ = sub.conn.Send(&l.chunk)
}

func (l *liveCall) sendEnd(sub *subscriber) {
	if l.end != nil && !sub.detached {
		_ = sub.conn.Send(l.end)
	}
}
