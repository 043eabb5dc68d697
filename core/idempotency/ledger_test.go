package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

const (
	here  call.Incarnation = 7
	there call.Incarnation = 8
)

var (
	epoch  = time.Unix(1_000_000, 0)
	limits = Limits{OfferAge: 10 * time.Second, Remember: 30 * time.Second, MaxIDs: 4, MaxResultBytes: 100}
)

func newLedger() *Ledger {
	l := NewLedger(here, limits)
	l.Stamp(epoch)
	return l
}

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func bound(id byte, stampSeconds int) Offer {
	return Offer{ID: call.ID{id}, Attempt: 1, BoundTo: here, Stamp: time.Duration(stampSeconds) * time.Second}
}

func cancelOf(o Offer) CancelRequest {
	return CancelRequest{ID: o.ID, BoundTo: o.BoundTo, Stamp: o.Stamp}
}

// naiveLedger never forgets: it knows for certain what ran and what was closed.
type naiveLedger map[call.ID]state

// TestLedgerMatchesNaive compares a Ledger that forgets with one that does not. The
// Ledger may refuse more, but it must run nothing that the other knows, and whatever it
// says of execution must be so.
func TestLedgerMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, naive := newLedger(), naiveLedger{}
		stamps := map[call.ID]int{}
		closed := map[call.ID]bool{}
		seconds := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			seconds += rapid.IntRange(0, 9).Draw(t, "pass")
			id := byte(rapid.IntRange(0, 9).Draw(t, "id"))
			o := bound(id, 0)
			if _, ok := stamps[o.ID]; !ok {
				stamps[o.ID] = max(0, seconds-rapid.IntRange(0, 40).Draw(t, "age"))
			}
			o.Stamp = time.Duration(stamps[o.ID]) * time.Second
			was, known := naive[o.ID]
			says := result.Execution("")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				v := l.Offer(at(seconds), o)
				says = v.Execution
				require.False(t, v.Kind == Run && (known || closed[o.ID]), "ran again")
				require.False(t, v.Kind == AttachRunning && was != queued && was != running)
				if v.Kind == Run {
					naive[o.ID] = queued
				}
			case 1:
				began := l.Began(o.ID)
				require.Equal(t, known && was == queued, began)
				if began {
					naive[o.ID] = running
				}
			case 2:
				l.Finished(at(seconds), o.ID, id, 60)
				if known && was == running {
					naive[o.ID] = finished
				}
			case 3:
				if l.Refuse(at(seconds), o.ID) && was == queued {
					naive[o.ID] = tombstoned
				}
			case 4:
				answer := l.Cancel(at(seconds), cancelOf(o))
				says = answer.Execution
				if answer.Unqueued {
					naive[o.ID] = tombstoned
				}
				require.Equal(t, answer.Running, known && was == running)
			}
			switch says {
			case result.NotRun:
				require.True(t, !known || naive[o.ID] <= tombstoned)
				closed[o.ID] = true
			case result.Ran:
				require.GreaterOrEqual(t, naive[o.ID], running)
			}
			require.LessOrEqual(t, l.Len(), limits.MaxIDs)
			require.LessOrEqual(t, l.ResultBytes(), limits.MaxResultBytes)
		}
		l.Offer(at(seconds+1000), bound(200, 0))
		for _, s := range naive {
			if s == queued || s == running {
				return
			}
		}
		require.Zero(t, l.Len(), "ids kept for good")
	})
}

// Each case: a symptom, the sequence that leads to it, and the cause that the Ledger closes.
func TestLedgerFaults(t *testing.T) {
	o := bound(1, 0)
	cases := []struct {
		name  string
		steps func(l *Ledger) Verdict
		kind  VerdictKind
		code  result.Code
		says  result.Execution
	}{
		// Symptom: a route is posted twice. Sequence: the offer's answer is lost, the
		// entry offers again. Cause: the second copy looks new.
		{"repeated offer attaches", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			return l.Offer(at(2), o)
		}, AttachRunning, result.OK, ""},
		// Symptom: the answer to a finished call is lost. Sequence: the link goes silent
		// just before the end. Cause: the agent kept no result.
		{"finished call replays", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Began(o.ID)
			l.Finished(at(2), o.ID, "answer", 6)
			return l.Offer(at(3), o)
		}, Replay, result.OK, ""},
		// Symptom: a call runs here and elsewhere. Sequence: admission refuses, the entry
		// goes elsewhere, a second copy of the offer arrives. Cause: the refusal left no
		// trace.
		{"refused offer stays refused", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Refuse(at(1), o.ID)
			return l.Offer(at(2), o)
		}, Refused, result.Tombstoned, result.NotRun},
		// Symptom: a call runs after its cancellation was confirmed. Sequence: the
		// cancellation overtakes the offer. Cause: an unknown id was called not run, and
		// not tombstoned.
		{"cancelled before it arrived", func(l *Ledger) Verdict {
			l.Cancel(at(1), cancelOf(o))
			return l.Offer(at(2), o)
		}, Refused, result.Tombstoned, result.NotRun},
		// Symptom: a call runs again after an agent's restart. Sequence: the agent ran
		// it and died; the entry offers it again. Cause: the new process knows nothing.
		{"bound to another incarnation", func(l *Ledger) Verdict {
			gone := o
			gone.BoundTo = there
			return l.Offer(at(1), gone)
		}, Refused, result.WrongIncarnation, result.Unknown},
		// Symptom: a call runs twice in one incarnation. Sequence: it ran, the entry was
		// paused for an hour, and then offers it again. Cause: the agent had forgotten.
		{"forgotten id", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Began(o.ID)
			l.Finished(at(2), o.ID, nil, 0)
			return l.Offer(at(3600), o)
		}, Refused, result.StaleOffer, result.Unknown},
		{"late offer of an id that never came", func(l *Ledger) Verdict {
			return l.Offer(at(20), o)
		}, Refused, result.StaleOffer, result.NotRun},
		{"stamp of the future", func(l *Ledger) Verdict {
			return l.Offer(at(1), bound(1, 9))
		}, Refused, result.StaleOffer, result.Unknown},
		{"result dropped for lack of room", func(l *Ledger) Verdict {
			for id := byte(1); id < 3; id++ {
				l.Offer(at(1), bound(id, 0))
				l.Began(call.ID{id})
				l.Finished(at(2), call.ID{id}, "answer", 60)
			}
			return l.Offer(at(3), o)
		}, Refused, result.FirstRunLost, result.Ran},
		// Symptom: a call runs here and elsewhere under overload. Sequence: the table of
		// ids is full, the offer is refused, room comes free, a second copy arrives.
		// Cause: there was no room for a tombstone; the floor of stamps stands for it.
		{"refused without room for a tombstone", func(l *Ledger) Verdict {
			for id := byte(10); id < 14; id++ {
				l.Offer(at(1), bound(id, 0))
				l.Refuse(at(1), call.ID{id})
			}
			late := bound(1, 25)
			if v := l.Offer(at(30), late); v.Code != result.QueueFull || v.Execution != result.NotRun {
				return v
			}
			return l.Offer(at(32), late)
		}, Refused, result.StaleOffer, result.NotRun},
		{"non-repeatable and unbound", func(l *Ledger) Verdict {
			return l.Offer(at(1), Offer{ID: o.ID, Attempt: 1})
		}, Refused, result.WrongIncarnation, result.Unknown},
		{"later attempt of repeatable work", func(l *Ledger) Verdict {
			first := Offer{ID: o.ID, Attempt: 1, Repeatable: true}
			l.Offer(at(1), first)
			l.Refuse(at(1), o.ID)
			first.Attempt = 2
			return l.Offer(at(2), first)
		}, Run, result.OK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := c.steps(newLedger())
			require.Equal(t, c.kind, v.Kind)
			require.Equal(t, c.code, v.Code)
			require.Equal(t, c.says, v.Execution)
		})
	}
}

// Symptom: a call that was answered as not run begins all the same.
// Sequence: the scheduler takes the call off its queue while a cancellation arrives.
// Cause: the check and the start are two steps; Began joins them.
func TestCancelAgainstBegin(t *testing.T) {
	l, o := newLedger(), bound(1, 0)
	l.Offer(at(1), o)
	require.Equal(t, CancelAnswer{Execution: result.NotRun, Unqueued: true}, l.Cancel(at(2), cancelOf(o)))
	require.False(t, l.Began(o.ID))

	o = bound(2, 0)
	l.Offer(at(1), o)
	require.True(t, l.Began(o.ID))
	require.False(t, l.Refuse(at(2), o.ID))
	require.Equal(t, CancelAnswer{Execution: result.Ran, Running: true}, l.Cancel(at(2), cancelOf(o)))
}

// BenchmarkCheck measures a call's whole passage through a Ledger of 5,000 live ids:
// offer, repeated offer, begin and finish.
func BenchmarkCheck(b *testing.B) {
	l := NewLedger(here, DefaultLimits)
	now := epoch
	id := func(i int) call.ID { return call.ID{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)} }
	offer := func(i int) {
		l.Offer(now, Offer{ID: id(i), Attempt: 1, BoundTo: here, Stamp: l.Stamp(now)})
		l.Began(id(i))
	}
	for i := range 5_000 {
		offer(i)
	}
	b.ReportAllocs()
	for i := 5_000; b.Loop(); i++ {
		now = now.Add(40 * time.Millisecond)
		offer(i)
		l.Offer(now, Offer{ID: id(i), Attempt: 1, BoundTo: here, Stamp: l.Stamp(now)})
		l.Finished(now, id(i), nil, 0)
	}
}

// BenchmarkMemory reports the bytes that a Ledger allocates for 5,000 live requests.
func BenchmarkMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		l := NewLedger(here, DefaultLimits)
		for i := range 5_000 {
			l.Offer(epoch, Offer{ID: call.ID{byte(i), byte(i >> 8)}, Attempt: 1, BoundTo: here})
		}
	}
}
