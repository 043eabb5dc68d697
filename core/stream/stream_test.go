package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"acaciacleat.example/core/call"
	_ "acaciacleat.example/core/seeded"
)

// naiveReceiver is a reference implementation of Receiver that keeps every frame of every
// attempt.
type naiveReceiver struct {
	attempt call.Attempt
	seen    map[call.Attempt]map[uint64]Frame
	next    uint64
}

func (n *naiveReceiver) offer(f Frame, deliver func(Frame)) {
	if f.Attempt != n.attempt {
		return
	}
	if n.seen[f.Attempt] == nil {
		n.seen[f.Attempt] = map[uint64]Frame{}
	}
	n.seen[f.Attempt][f.Seq] = f
	for {
		f, ok := n.seen[n.attempt][n.next]
		if !ok {
			return
		}
		n.next++
		deliver(f)
	}
}

// TestReceiverMatchesNaive offers frames of three attempts, repeated and in any order, to a
// Receiver and to a naiveReceiver. Frames that overflow the Receiver are not offered to
// the naiveReceiver; both get them again later, as after a resume.
func TestReceiverMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReceiver(rapid.IntRange(0, 6).Draw(t, "maxPending"))
		n := &naiveReceiver{attempt: 1, next: 1, seen: map[call.Attempt]map[uint64]Frame{}}
		var got, want []Frame
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			f := Frame{
				Attempt: call.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")),
				Seq:     uint64(rapid.IntRange(1, 12).Draw(t, "seq")),
			}
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 && f.Attempt > n.attempt {
				r.Restart(f.Attempt)
				n.attempt, n.next = f.Attempt, 1
			}
			outcome := r.Offer(f, func(f Frame) { got = append(got, f) })
			require.Equal(t, f.Attempt != n.attempt, outcome == StaleAttempt)
			if outcome != Overflow {
				n.offer(f, func(f Frame) { want = append(want, f) })
			}
			require.Equal(t, want, got)
			require.Equal(t, n.next, r.NextSeq())
		}
	})
}

// TestSenderMatchesNaive compares a Sender's ring buffer with a slice.
func TestSenderMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 40 * frameOverhead
		s := NewSender(maxBytes)
		var kept []Frame
		var last, bytes int
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				seq := uint64(rapid.IntRange(0, last+3).Draw(t, "ack"))
				s.Ack(seq)
				for len(kept) > 0 && kept[0].Seq <= seq {
					bytes -= len(kept[0].Data) + frameOverhead
					kept = kept[1:]
				}
			} else {
				data := make([]byte, rapid.IntRange(0, maxBytes+1).Draw(t, "size"))
				f, ok := s.Append(2, 1, data)
				require.Equal(t, len(kept) == 0 || bytes+len(data)+frameOverhead <= maxBytes, ok)
				if ok {
					last++
					bytes += len(data) + frameOverhead
					kept = append(kept, f)
				}
			}
			from := uint64(rapid.IntRange(0, last+1).Draw(t, "from"))
			var got, want []Frame
			s.From(from, func(f Frame) bool { got = append(got, f); return true })
			for _, f := range kept {
				if f.Seq >= from {
					want = append(want, f)
				}
			}
			require.Equal(t, want, got)
			require.Equal(t, bytes, s.Bytes())
			require.EqualValues(t, last, s.Last())
		}
	})
}

// TestEndThatOvertakesFrames has the end message arrive before some frames, as it can on
// another link. The Receiver must wait for all frames, or the answer would be truncated.
func TestEndThatOvertakesFrames(t *testing.T) {
	r := NewReceiver(4)
	ignore := func(Frame) {}
	r.Offer(Frame{Attempt: 1, Seq: 1}, ignore)
	require.False(t, r.End(1, 3))
	require.True(t, r.Gap())
	r.Offer(Frame{Attempt: 1, Seq: 3}, ignore)
	require.False(t, r.Ended())
	r.Offer(Frame{Attempt: 1, Seq: 2}, ignore)
	require.True(t, r.Ended())
	require.False(t, r.Gap())
}

// TestFramesOfAnOldAttempt delivers frames of attempt 1 after attempt 2 has started. Their
// sequence numbers are valid in both, so frames and ends of attempt 1 must be dropped, or
// the answers of the attempts would be mixed.
func TestFramesOfAnOldAttempt(t *testing.T) {
	r := NewReceiver(4)
	var got []Frame
	deliver := func(f Frame) { got = append(got, f) }
	r.Offer(Frame{Attempt: 1, Seq: 2}, deliver)
	r.Restart(2)
	require.Equal(t, StaleAttempt, r.Offer(Frame{Attempt: 1, Seq: 1}, deliver))
	require.False(t, r.End(1, 0))
	r.Restart(1)
	require.Equal(t, Delivered, r.Offer(Frame{Attempt: 2, Seq: 1}, deliver))
	require.Equal(t, []Frame{{Attempt: 2, Seq: 1}}, got)
}

// BenchmarkFrame measures passing a frame through Sender and Receiver, with an
// acknowledgement for every sixteen frames.
func BenchmarkFrame(b *testing.B) {
	s := NewSender(1 << 20)
	r := NewReceiver(64)
	data := make([]byte, 100)
	deliver := func(Frame) {}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f, _ := s.Append(1, 1, data)
		r.Offer(f, deliver)
		if i%16 == 0 {
			s.Ack(r.NextSeq() - 1)
		}
	}
}
