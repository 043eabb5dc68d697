package stream

import "acaciacleat.example/core/call"

// Outcome says what a Receiver did with a frame.
type Outcome uint8

// The outcomes.
const (
	// Delivered means that the frame, and any held ones that follow it, were handed out.
	Delivered Outcome = iota
	// Duplicate means that the frame was handed out or held before.
	Duplicate
	// Held means that an earlier frame is missing; the frame waits for it.
	Held
	// StaleAttempt means that the frame belongs to another attempt than the current one.
	StaleAttempt
	// Overflow means that the frame is too far ahead to hold. It was dropped, and the
	// receiver must ask for the stream again from NextSeq.
	Overflow
)

// Receiver puts the frames of a call's current attempt in order and hands out each of
// them once, whatever links drop, repeat or reorder. It is used by one goroutine at a time.
type Receiver struct {
	attempt call.Attempt
	next    uint64
	// pending holds frames ahead of a missing one, each at index seq modulo its
	// length. It is nil until a frame arrives out of order, which most streams never see.
	pending    []Frame
	held       int
	maxPending int
	last       uint64
	endKnown   bool
}

// NewReceiver returns a Receiver of attempt 1 that holds up to maxPending frames while
// it waits for a missing one.
func NewReceiver(maxPending int) *Receiver {
	return &Receiver{attempt: 1, next: 1, maxPending: maxPending}
}

// Offer takes a frame from a link and calls deliver for each frame that is now in
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

// NextSeq returns the number of the next frame to hand out. All earlier ones were
// handed out: NextSeq()-1 may be acknowledged, and a resume starts at NextSeq().
func (r *Receiver) NextSeq() uint64 { return r.next }

// Attempt returns the attempt whose frames are taken.
func (r *Receiver) Attempt() call.Attempt { return r.attempt }

// Gap reports whether a frame is known to be missing: a later one, or the end, has
// arrived. A gap that lasts means that the link lost frames and that the receiver
// should ask again from NextSeq.
func (r *Receiver) Gap() bool {
	return r.held > 0 || r.endKnown && r.next <= r.last
}

// Restart drops what is held and starts at sequence 1 of a new attempt. Frames of
// earlier attempts, still under way on some link, would otherwise be mixed into the
// new attempt's answer. An attempt that is not newer is ignored.
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

// End records that the attempt's last frame is number last (0: no frame at all). The
// message that says so may overtake frames, so the end counts only once all of them
// were handed out. It returns Ended. An end of another attempt is ignored.
func (r *Receiver) End(attempt call.Attempt, last uint64) bool {
	if attempt == r.attempt {
		r.endKnown = true
		r.last = last
	}
	return r.Ended()
}

// Ended reports whether the end is known and every frame up to it was handed out.
func (r *Receiver) Ended() bool { return r.endKnown && r.next > r.last }

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
