package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"acaciacleat.example/core/call"
	_ "acaciacleat.example/core/seeded"
)

// naiveReceiver keeps every frame of every attempt that it ever saw, and hands out what
// is in order.
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

// TestReceiverMatchesNaive offers frames of three attempts, repeated and in any order, to
// a Receiver and to one that forgets nothing. What a Receiver does not hold, for lack of
// room, both must see again, as a resume does.
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

// TestSenderMatchesNaive compares a Sender's ring with a slice.
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

// Symptom: an answer lacks its last words although the call ended well.
// Sequence: the agent sends frames 1 to 3 on one link and the end on another; the end
// arrives before frame 3.
// Cause: the end was taken for the end of the frames. The Receiver must wait for all.
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

// Symptom: two attempts' answers are mixed.
// Sequence: attempt 1's agent goes silent, attempt 2 starts, then the old link delivers.
// Cause: the frames' numbers fit both. Frames and ends of attempt 1 must be dropped.
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

// BenchmarkFrame measures a frame's way through Sender and Receiver with an
// acknowledgement every sixteen frames.
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
