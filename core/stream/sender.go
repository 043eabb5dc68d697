package stream

import "acaciacleat.example/core/call"

// frameOverhead is what one frame costs in memory besides its data, in bytes: the
// Frame itself on a 64-bit machine. Without it, empty frames would be free and an
// upstream that sends many of them would grow the buffer without bound.
const frameOverhead = 48

// minRing is the number of frames that a Sender's first ring holds; a power of two.
const minRing = 16

// Sender keeps the frames of one run until they are acknowledged, so that they can be
// sent again when a link breaks or goes silent. It is used by one goroutine at a time.
type Sender struct {
	// ring holds the frames first..last, each at index seq modulo its length, which
	// is a power of two.
	ring     []Frame
	first    uint64
	last     uint64
	bytes    int
	maxBytes int
}

// NewSender returns an empty Sender that keeps at most maxBytes, counting each frame's
// data and a fixed cost of 48 bytes for each frame.
func NewSender(maxBytes int) *Sender {
	return &Sender{first: 1, maxBytes: maxBytes}
}

// Append numbers data as the next frame and keeps it. The Sender owns data from then
// on. It returns false, and keeps nothing, when the buffer is full: the caller must
// then stop reading from the upstream until an acknowledgement makes room.
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

// Ack drops all frames up to and including seq. An acknowledgement that is repeated,
// arrives late or names a frame never sent changes nothing beyond what was sent.
func (s *Sender) Ack(seq uint64) {
	seq = min(seq, s.last)
	for ; s.first <= seq; s.first++ {
		slot := s.slot(s.first)
		s.bytes -= cost(len(slot.Data))
		*slot = Frame{}
	}
}

// From calls yield for each frame kept whose number is seq or higher, in order, until
// yield returns false. It is how a run resumes on a new link.
func (s *Sender) From(seq uint64, yield func(Frame) bool) {
	for seq = max(seq, s.first); seq <= s.last; seq++ {
		if !yield(*s.slot(seq)) {
			return
		}
	}
}

// Last returns the number of the last frame appended; 0 when there is none.
func (s *Sender) Last() uint64 { return s.last }

// Acked returns the number of the last frame that was acknowledged; 0 when there is
// none. A run can be resumed from any later number.
func (s *Sender) Acked() uint64 { return s.first - 1 }

// Bytes returns the memory that the kept frames are charged for.
func (s *Sender) Bytes() int { return s.bytes }

// HasRoom reports whether a frame with n bytes of data may be appended. An empty
// Sender takes a frame of any size: one larger than the whole buffer would otherwise
// never be sent, and the run would stall until its deadline.
func (s *Sender) HasRoom(n int) bool {
	return s.count() == 0 || s.bytes+cost(n) <= s.maxBytes
}

func cost(data int) int { return data + frameOverhead }

func (s *Sender) count() int { return int(s.last + 1 - s.first) }

func (s *Sender) slot(seq uint64) *Frame {
	return &s.ring[seq&uint64(len(s.ring)-1)]
}

// grow doubles the ring.
func (s *Sender) grow() {
	old := *s
	s.ring = make([]Frame, max(minRing, 2*len(s.ring)))
	for seq := old.first; seq <= old.last; seq++ {
		*s.slot(seq) = *old.slot(seq)
	}
}
