package stream

import "acaciacleat.example/core/call"

// Outcome is the result of passing a frame to a Receiver.
type Outcome uint8

const (
	// Delivered means that the frame, and any held frames that follow it, were handed out.
	Delivered Outcome = iota
	// Duplicate means that the frame was already handed out or held.
	Duplicate
	// Held means that an earlier frame is missing and that the frame was buffered.
	Held
	// StaleAttempt means that the frame belongs to another attempt than the current one.
	StaleAttempt
	// Overflow means that the frame is too far ahead to be buffered. It was dropped, and
	// the entry must request the stream again from NextSeq.
	Overflow
)

// Receiver puts the frames of a call's current attempt in order and hands out each frame
// once, even if links drop, repeat or reorder frames. It is not safe for concurrent use.
type Receiver struct {
	attempt call.Attempt
	next    uint64
	// pending buffers frames that follow a missing one, each at index Seq modulo the
	// length of pending. It is allocated when the first frame arrives out of order, which
	// does not happen in most streams.
	pending    []Frame
	held       int
	maxPending int
	last       uint64
	endKnown   bool
}

// NewReceiver returns a Receiver for attempt 1 that buffers up to maxPending frames while
// it waits for a missing one.
func NewReceiver(maxPending int) *Receiver {
	return &Receiver{attempt: 1, next: 1, maxPending: maxPending}
}

// Offer accepts a frame from a link and calls deliver for each frame that is now in
// order. deliver must not call the Receiver.
func (r *Receiver) Offer(f Frame, deliver func(Frame)) Outcome {
	switch {
	case f.Attempt != r.attempt:
		return StaleAttempt
	case f.Seq < r.next:
		return Duplicate
	case f.Seq > r.next:
		return r.hold(f)
	}
	r.next++
	deliver(f)
	r.release(deliver)
	return Delivered
}

// NextSeq returns the number of the next frame to hand out. All earlier frames were
// handed out, so NextSeq()-1 may be acknowledged, and a resume starts at NextSeq().
func (r *Receiver) NextSeq() uint64 { return r.next }

// Attempt returns the current attempt, the only one whose frames are accepted.
func (r *Receiver) Attempt() call.Attempt { return r.attempt }

// Gap reports whether a frame is known to be missing because a later one, or the end, has
// arrived. If a gap persists, the link lost frames and the stream should be requested
// again from NextSeq.
func (r *Receiver) Gap() bool {
	return r.held > 0 || r.endKnown && r.next <= r.last
}

// Restart drops all held frames and starts at sequence number 1 of a new attempt. Without
// it, frames of earlier attempts that are still in transit would be mixed into the answer
// of the new attempt. An attempt that is not newer is ignored.
func (r *Receiver) Restart(attempt call.Attempt) {
	if attempt <= r.attempt {
		return
	}
	r.attempt = attempt
	r.next = 1
	r.last = 0
	r.endKnown = false
	r.held = 0
	clear(r.pending)
}

// End records that the attempt's last frame has the number last; 0 means that it has no
// frames. The end message may overtake frames, so the attempt has ended only when all of
// them were handed out. End returns the result of Ended. It ignores other attempts.
func (r *Receiver) End(attempt call.Attempt, last uint64) bool {
	if attempt == r.attempt {
		r.endKnown = true
		r.last = last
	}
	return r.Ended()
}

// Ended reports whether the end is known and every frame up to it was handed out.
func (r *Receiver) Ended() bool { return r.endKnown && r.next > r.last }

// hold buffers a frame that follows a missing one.
func (r *Receiver) hold(f Frame) Outcome {
	if f.Seq-r.next > uint64(r.maxPending) {
		return Overflow
	}
	if r.pending == nil {
		r.pending = make([]Frame, r.maxPending+1)
	}
	slot := r.slot(f.Seq)
	if slot.Seq == f.Seq {
		return Duplicate
	}
	*slot = f
	r.held++
	return Held
}

// release hands out the held frames that are now in order.
func (r *Receiver) release(deliver func(Frame)) {
	for r.held > 0 {
		slot := r.slot(r.next)
		if slot.Seq != r.next {
			return
		}
		f := *slot
		*slot = Frame{}
		r.held--
		r.next++
		deliver(f)
	}
}

func (r *Receiver) slot(seq uint64) *Frame {
	return &r.pending[seq%uint64(len(r.pending))]
}
