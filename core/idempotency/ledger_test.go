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
	localIncarnation call.Incarnation = 7
	otherIncarnation call.Incarnation = 8
)

var (
	epoch  = time.Unix(1_000_000, 0)
	limits = Limits{OfferAge: 10 * time.Second, Retention: 30 * time.Second, MaxIDs: 4, MaxResultBytes: 100}
)

func newLedger() *Ledger {
	l := NewLedger(localIncarnation, limits)
	l.Stamp(epoch)
	return l
}

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func boundOffer(id byte, stampSeconds int) Offer {
	return Offer{ID: call.ID{id}, Attempt: 1, BoundTo: localIncarnation, Stamp: time.Duration(stampSeconds) * time.Second}
}

func cancelOf(o Offer) CancelRequest {
	return CancelRequest{ID: o.ID, BoundTo: o.BoundTo, Stamp: o.Stamp}
}

// naiveLedger never evicts an id, so that its states are exact.
type naiveLedger map[call.ID]state

// TestLedgerMatchesNaive compares a Ledger with a naiveLedger. The Ledger may refuse more
// offers, but it must not run an id again that the naiveLedger has recorded, and each
// execution that it reports must be true.
func TestLedgerMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, naive := newLedger(), naiveLedger{}
		stamps := map[call.ID]int{}
		closed := map[call.ID]bool{}
		seconds := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			seconds += rapid.IntRange(0, 9).Draw(t, "pass")
			id := byte(rapid.IntRange(0, 9).Draw(t, "id"))
			o := boundOffer(id, 0)
			if _, ok := stamps[o.ID]; !ok {
				stamps[o.ID] = max(0, seconds-rapid.IntRange(0, 40).Draw(t, "age"))
			}
			o.Stamp = time.Duration(stamps[o.ID]) * time.Second
			was, known := naive[o.ID]
			execution := result.Execution("")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				v := l.Offer(at(seconds), o)
				execution = v.Execution
				require.False(t, v.Kind == Run && (known || closed[o.ID]), "ran again")
				require.False(t, v.Kind == AttachRunning && was != queued && was != running)
				if v.Kind == Run {
					naive[o.ID] = queued
				}
			case 1:
				began := l.Begin(o.ID)
				require.Equal(t, known && was == queued, began)
				if began {
					naive[o.ID] = running
				}
			case 2:
				l.Finish(at(seconds), o.ID, id, 60)
				if known && was == running {
					naive[o.ID] = finished
				}
			case 3:
				if l.Refuse(at(seconds), o.ID) && was == queued {
					naive[o.ID] = tombstoned
				}
			case 4:
				answer := l.Cancel(at(seconds), cancelOf(o))
				execution = answer.Execution
				if answer.Dequeued {
					naive[o.ID] = tombstoned
				}
				require.Equal(t, answer.Running, known && was == running)
			}
			switch execution {
			case result.NotRun:
				require.True(t, !known || naive[o.ID] <= tombstoned)
				closed[o.ID] = true
			case result.Ran:
				require.GreaterOrEqual(t, naive[o.ID], running)
			}
			require.LessOrEqual(t, l.Len(), limits.MaxIDs)
			require.LessOrEqual(t, l.ResultBytes(), limits.MaxResultBytes)
		}
		l.Offer(at(seconds+1000), boundOffer(200, 0))
		for _, s := range naive {
			if s == queued || s == running {
				return
			}
		}
		require.Zero(t, l.Len(), "ids are never evicted")
	})
}

// TestLedgerFaults tests the Ledger's reactions to faults. The comments name the failure
// that a case guards against.
func TestLedgerFaults(t *testing.T) {
	o := boundOffer(1, 0)
	cases := []struct {
		name      string
		steps     func(l *Ledger) Verdict
		kind      VerdictKind
		code      result.Code
		execution result.Execution
	}{
		// An offer that is repeated after its answer was lost must not run again.
		{"repeated offer attaches", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			return l.Offer(at(2), o)
		}, AttachRunning, result.OK, ""},
		// If the link goes silent just before the end, the stored result must be replayed,
		// or the answer to a finished call would be lost.
		{"finished call replays", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Begin(o.ID)
			l.Finish(at(2), o.ID, "answer", 6)
			return l.Offer(at(3), o)
		}, Replay, result.OK, ""},
		// After admission refused an offer, the entry tries another agent. A duplicate of
		// the offer must be refused as well, or both agents would run the call.
		{"refused offer stays refused", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Refuse(at(1), o.ID)
			return l.Offer(at(2), o)
		}, Refused, result.Tombstoned, result.NotRun},
		// A cancellation that overtakes its offer must tombstone the unknown id, or the
		// call would run after its cancellation was confirmed.
		{"cancelled before it arrived", func(l *Ledger) Verdict {
			l.Cancel(at(1), cancelOf(o))
			return l.Offer(at(2), o)
		}, Refused, result.Tombstoned, result.NotRun},
		// An agent that restarted has no record of the calls that it ran before, so it must
		// refuse offers that are bound to its previous incarnation.
		{"bound to another incarnation", func(l *Ledger) Verdict {
			gone := o
			gone.BoundTo = otherIncarnation
			return l.Offer(at(1), gone)
		}, Refused, result.WrongIncarnation, result.Unknown},
		// An entry offers a call again after a pause of an hour, when the agent has evicted
		// the id. The age of the stamp must prevent a second run.
		{"forgotten id", func(l *Ledger) Verdict {
			l.Offer(at(1), o)
			l.Begin(o.ID)
			l.Finish(at(2), o.ID, nil, 0)
			return l.Offer(at(3600), o)
		}, Refused, result.StaleOffer, result.Unknown},
		{"late offer of an id that never came", func(l *Ledger) Verdict {
			return l.Offer(at(20), o)
		}, Refused, result.StaleOffer, result.NotRun},
		{"stamp of the future", func(l *Ledger) Verdict {
			return l.Offer(at(1), boundOffer(1, 9))
		}, Refused, result.StaleOffer, result.Unknown},
		{"result dropped for lack of room", func(l *Ledger) Verdict {
			for id := byte(1); id < 3; id++ {
				l.Offer(at(1), boundOffer(id, 0))
				l.Begin(call.ID{id})
				l.Finish(at(2), call.ID{id}, "answer", 60)
			}
			return l.Offer(at(3), o)
		}, Refused, result.FirstRunLost, result.Ran},
		// An offer is refused while the table is full, so no tombstone can be stored. When
		// the table has room again, refusedUpTo must refuse a duplicate of the offer, or
		// the call could run here and on another agent.
		{"refused without room for a tombstone", func(l *Ledger) Verdict {
			for id := byte(10); id < 14; id++ {
				l.Offer(at(1), boundOffer(id, 0))
				l.Refuse(at(1), call.ID{id})
			}
			late := boundOffer(1, 25)
			if v := l.Offer(at(30), late); v.Code != result.QueueFull || v.Execution != result.NotRun {
				return v
			}
			return l.Offer(at(32), late)
		}, Refused, result.StaleOffer, result.NotRun},
		{"non-repeatable and unbound", func(l *Ledger) Verdict {
			return l.Offer(at(1), Offer{ID: o.ID, Attempt: 1})
		}, Refused, result.WrongIncarnation, result.Unknown},
		{"later attempt of a repeatable call", func(l *Ledger) Verdict {
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
			require.Equal(t, c.execution, v.Execution)
		})
	}
}

// TestCancelRacesBegin cancels a call while the scheduler removes it from its queue. Begin
// checks the state and starts the call in one step, so that a call that was reported as
// not run cannot begin.
func TestCancelRacesBegin(t *testing.T) {
	l, o := newLedger(), boundOffer(1, 0)
	l.Offer(at(1), o)
	require.Equal(t, CancelAnswer{Execution: result.NotRun, Dequeued: true}, l.Cancel(at(2), cancelOf(o)))
	require.False(t, l.Begin(o.ID))

	o = boundOffer(2, 0)
	l.Offer(at(1), o)
	require.True(t, l.Begin(o.ID))
	require.False(t, l.Refuse(at(2), o.ID))
	require.Equal(t, CancelAnswer{Execution: result.Ran, Running: true}, l.Cancel(at(2), cancelOf(o)))
}

// BenchmarkCheck measures all operations of one call on a Ledger with 5,000 running ids:
// offer, begin, repeated offer and finish.
func BenchmarkCheck(b *testing.B) {
	l := NewLedger(localIncarnation, DefaultLimits)
	now := epoch
	id := func(i int) call.ID { return call.ID{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)} }
	offer := func(i int) {
		l.Offer(now, Offer{ID: id(i), Attempt: 1, BoundTo: localIncarnation, Stamp: l.Stamp(now)})
		l.Begin(id(i))
	}
	for i := range 5_000 {
		offer(i)
	}
	b.ReportAllocs()
	for i := 5_000; b.Loop(); i++ {
		now = now.Add(40 * time.Millisecond)
		offer(i)
		l.Offer(now, Offer{ID: id(i), Attempt: 1, BoundTo: localIncarnation, Stamp: l.Stamp(now)})
		l.Finish(now, id(i), nil, 0)
	}
}

// BenchmarkMemory reports the bytes that a Ledger allocates for 5,000 queued ids.
func BenchmarkMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		l := NewLedger(localIncarnation, DefaultLimits)
		for i := range 5_000 {
			l.Offer(epoch, Offer{ID: call.ID{byte(i), byte(i >> 8)}, Attempt: 1, BoundTo: localIncarnation})
		}
	}
}
