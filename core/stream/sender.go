package stream

import "acaciacleat.example/core/call"

// frameOverhead is the memory that one frame uses besides its data, in bytes: the size of
// a Frame on a 64-bit machine. If it were not counted, an upstream that sends many empty
// frames would grow the buffer without bound.
const frameOverhead = 48

// minRing is the initial capacity of a Sender's ring buffer in frames; a power of two.
const minRing = 16

// Sender buffers the frames of one run until they are acknowledged, so that they can be
// sent again when a link breaks or goes silent. It is not safe for concurrent use.
type Sender struct {
	// ring holds the frames first..last, each at index Seq modulo the length of the ring,
	// which is a power of two.
	ring     []Frame
	first    uint64
	last     uint64
	bytes    int
	maxBytes int
}

// NewSender returns an empty Sender that buffers at most maxBytes. Each frame counts with
// its data and a fixed overhead of 48 bytes.
func NewSender(maxBytes int) *Sender {
	return &Sender{first: 1, maxBytes: maxBytes}
}

// Append stores data as the next frame and takes ownership of it. If the buffer is full,
// Append stores nothing and returns false: the caller must then apply backpressure and
// stop reading from the upstream until an acknowledgement frees space.
func (s *Sender) Append(attempt call.Attempt, tokens uint32, data []byte) (Frame, bool) {
	if !s.HasRoom(len(data)) {
		return Frame{}, false
	}
	if s.count() == len(s.ring) {
		s.grow()
	}
	s.last++
	frame := Frame{Attempt: attempt, Seq: s.last, Tokens: tokens, Data: data}
	*s.slot(s.last) = frame
	s.bytes += cost(len(data))
	return frame, true
}

// Ack drops all frames up to and including seq. A repeated or late acknowledgement has no
// effect, and one beyond the last frame acknowledges the frames that exist.
func (s *Sender) Ack(seq uint64) {
	seq = min(seq, s.last)
	for ; s.first <= seq; s.first++ {
		slot := s.slot(s.first)
		s.bytes -= cost(len(slot.Data))
		*slot = Frame{}
	}
}

// From calls yield for each buffered frame whose number is seq or higher, in order, until
// yield returns false. It is used to resume a run on a new link.
func (s *Sender) From(seq uint64, yield func(Frame) bool) {
	for seq = max(seq, s.first); seq <= s.last; seq++ {
		if !yield(*s.slot(seq)) {
			return
		}
	}
}

// Last returns the number of the last frame appended; 0 if there is none.
func (s *Sender) Last() uint64 { return s.last }

// Acked returns the number of the last acknowledged frame; 0 if there is none. A run can
// be resumed from any later number.
func (s *Sender) Acked() uint64 { return s.first - 1 }

// Bytes returns the memory that is counted for the buffered frames.
func (s *Sender) Bytes() int { return s.bytes }

// HasRoom reports whether a frame with n bytes of data may be appended. An empty Sender
// accepts a frame of any size. Otherwise a frame larger than maxBytes could never be sent,
// and the run would stall until its deadline.
func (s *Sender) HasRoom(n int) bool {
	return s.count() == 0 || s.bytes+cost(n) <= s.maxBytes
}

func cost(data int) int { return data + frameOverhead }

func (s *Sender) count() int { return int(s.last + 1 - s.first) }

func (s *Sender) slot(seq uint64) *Frame {
	return &s.ring[seq&uint64(len(s.ring)-1)]
}

// grow doubles the capacity of the ring.
func (s *Sender) grow() {
	old := *s
	s.ring = make([]Frame, max(minRing, 2*len(s.ring)))
	for seq := old.first; seq <= old.last; seq++ {
		*s.slot(seq) = *old.slot(seq)
	}
}
