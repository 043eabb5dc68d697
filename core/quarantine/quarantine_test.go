package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciacleat.example/core/fingerprint"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func printOf(name string) fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{Body: []byte(name)})
}

func newLedger() *Ledger { return NewLedger(DefaultSettings) }

// at returns the time that is the given number of seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// recordCrashes records the crash of an upstream with the given requests in flight.
func recordCrashes(l *Ledger, now time.Time, upstream uint32, names ...string) {
	for _, name := range names {
		l.RecordCrash(now, Crash{Upstream: upstream, At: now}, printOf(name))
	}
}

func decidedPrints(l *Ledger, now time.Time) []fingerprint.Print {
	all, _ := l.Decide(now)
	var prints []fingerprint.Print
	for _, v := range all {
		prints = append(prints, v.Print)
	}
	return prints
}

// A request that is in flight at each crash is held back. One that is in flight at some of them
// by chance is not.
func TestRequestInFlightAtEachCrashIsHeldBack(t *testing.T) {
	l := newLedger()
	recordCrashes(l, at(0), 1, "fatal", "a", "b")
	recordCrashes(l, at(1), 2, "fatal", "a")
	require.Empty(t, decidedPrints(l, at(2)))
	recordCrashes(l, at(2), 3, "fatal", "b", "c")
	all, next := l.Decide(at(2))
	require.Empty(t, all, "other suspects of the crash may still be reported")
	require.Equal(t, at(2).Add(VerdictDelay), next)
	all, next = l.Decide(next)
	require.Equal(t, []Verdict{{Print: printOf("fatal"), Crashes: 3, Hold: Hold{Until: at(2).Add(VerdictDelay + time.Hour), Times: 1}}}, all)
	require.Zero(t, next)
	require.NotZero(t, l.HeldUntil(at(3), printOf("fatal")))
	require.Zero(t, l.HeldUntil(at(3), printOf("a")))
}

// Crashes that a held request explains do not count against the other requests in flight.
func TestCrashesOfHeldRequestDoNotCountAgainstOthers(t *testing.T) {
	l := newLedger()
	for i := range uint32(4) {
		recordCrashes(l, at(float64(i)), i, "fatal")
	}
	for i := range uint32(3) {
		recordCrashes(l, at(float64(i)), i, "bystander")
	}
	require.Equal(t, []fingerprint.Print{printOf("fatal")}, decidedPrints(l, at(5)))
	recordCrashes(l, at(6), 9, "fatal", "bystander", "second")
	require.Empty(t, decidedPrints(l, at(7)))
	for i := range uint32(3) {
		recordCrashes(l, at(8+float64(i)), 20+i, "second")
	}
	require.Equal(t, []fingerprint.Print{printOf("second")}, decidedPrints(l, at(12)), "a second cause is found besides the first")
}

// An answer proves that a request does not crash upstreams, however often it was in flight at a
// crash.
func TestAnsweredRequestIsNotHeldBack(t *testing.T) {
	l := newLedger()
	for i := range uint32(10) {
		recordCrashes(l, at(float64(i)), i, "popular")
		require.True(t, l.Clear(at(float64(i)+.05), printOf("popular")))
		require.Empty(t, decidedPrints(l, at(float64(i)+.5)))
	}
	require.False(t, l.Clear(at(20), printOf("popular")), "its crashes have been removed")
	for i := range uint32(3) {
		require.False(t, l.RestoreCrash(at(21), Crash{Upstream: 100 + i, At: at(float64(i))}, printOf("popular")), "old records are ignored")
	}
	require.False(t, l.ApplyHold(at(21), printOf("popular"), Hold{Until: at(1000)}))
}

// Guards against an entry that ignores a hold, of which the store alone tells it, because the request or segment was
// answered before the hold began.
func TestHoldThatBeganAfterAnAnswerCounts(t *testing.T) {
	settings := Settings{MinCrashes: 3, Hold: time.Hour, SegmentHold: time.Minute}
	for _, segment := range []bool{false, true} {
		l := NewLedger(settings)
		recordCrashes(l, at(0), 1, "late")
		l.RecordCrash(at(0), Crash{Upstream: 1, At: at(0)}, printOf("other"), Segment{Print: printOf("late segment")})
		print := printOf("late")
		if segment {
			print = printOf("late segment")
		}
		require.True(t, l.Clear(at(10), print))
		began := func(seconds float64) Hold {
			h := Hold{Times: 1, Segment: segment}
			h.Until = at(seconds).Add(settings.Length(h))
			return h
		}
		require.False(t, l.ApplyHold(at(20), print, began(5)), "the answer came later")
		require.True(t, l.ApplyHold(at(20), print, began(15)))
	}
}

// Guards against an entry that starts after a hold has ended, and sends what crashed upstreams as if nothing were known.
func TestEndedHoldIsTakenUpAsProbation(t *testing.T) {
	l := newLedger()
	print := printOf("segment")
	require.False(t, l.ApplyHold(at(10), print, Hold{Until: at(8), Times: 1, Segment: true}), "it is not held back now")
	require.Zero(t, l.HeldUntil(at(10), print))
	l.RecordCrash(at(60), Crash{Upstream: 1, At: at(60)}, printOf("request"), Segment{Print: print})
	require.Equal(t, []fingerprint.Print{print}, decidedPrints(l, at(61)), "one crash is enough")
	require.False(t, l.ApplyHold(at(0).Add(Retention+time.Minute), printOf("old"), Hold{Until: at(8), Times: 1, Segment: true}))
	require.NotContains(t, l.Holds(), printOf("old"))
}

// When a rack fails, several upstreams crash that all ran one popular request. This counts as one
// crash.
func TestCoincidentCrashesCountOnce(t *testing.T) {
	l := newLedger()
	for i := range uint32(8) {
		recordCrashes(l, at(0.002*float64(i)), i, "popular")
	}
	require.Empty(t, decidedPrints(l, at(1)))
	recordCrashes(l, at(2), 20, "popular")
	recordCrashes(l, at(3), 21, "popular")
	require.Equal(t, []fingerprint.Print{printOf("popular")}, decidedPrints(l, at(4)))
}

// Crashes of a request that is retried at one upstream after the other count each, however close in
// time they are.
func TestCrashesOfRetriesCountSeparately(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		l.RecordCrash(at(1), Crash{Upstream: i, At: at(0.001 * float64(i)), Repeated: i > 0}, printOf("fatal"))
	}
	require.Equal(t, []fingerprint.Print{printOf("fatal")}, decidedPrints(l, at(2)))
}

// If several requests were in flight at the same crashes, any of them may be the cause, so all are
// held back.
func TestEquallyLikelyCausesAreAllHeldBack(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		recordCrashes(l, at(float64(i)), i, "one", "other")
	}
	all, _ := l.Decide(at(5))
	require.Len(t, all, 2)
	require.True(t, all[0].Shared)
}

// Guards against a verdict that each further crash postpones, so that a request that crashes upstreams one
// right after the other is never held back.
func TestFurtherCrashesDoNotPostponeTheVerdict(t *testing.T) {
	l := newLedger()
	for i := range uint32(20) {
		now := at(0.05 * float64(i))
		recordCrashes(l, now, i, "fatal")
		held := len(decidedPrints(l, now)) > 0
		require.Equal(t, i == 4, held, "the third crash is at 100 ms, the verdict due at 200 ms")
	}
}

// After its hold a request is on probation: one more crash and it is held back again.
func TestProbationEndsWithTheNextCrash(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		recordCrashes(l, at(float64(i)), i, "fatal")
	}
	require.Len(t, decidedPrints(l, at(3)), 1)
	later := at(3).Add(time.Hour + time.Second)
	require.Zero(t, l.HeldUntil(later, printOf("fatal")))
	require.Empty(t, decidedPrints(l, later), "old crashes do not count again")
	recordCrashes(l, later, 9, "fatal")
	all, _ := l.Decide(later.Add(VerdictDelay))
	require.Equal(t, Hold{Until: later.Add(VerdictDelay + holdGrowth*time.Hour), Times: 2}, all[0].Hold, "the second hold is longer")

	l.Clear(later.Add(time.Minute), printOf("fatal"))
	recordCrashes(l, later.Add(2*time.Minute), 10, "fatal")
	require.Empty(t, decidedPrints(l, later.Add(3*time.Minute)), "a cleared request starts without crashes")
}

// Guards against entries that hold back different requests on the same evidence: two requests on probation
// share a crash, and which of them explains it must not depend on the order of a map.
func TestSameEvidenceGivesTheSameVerdict(t *testing.T) {
	for range 10_000 {
		l := newLedger()
		for i := range uint32(3) {
			recordCrashes(l, at(float64(i)), i, "one", "other")
		}
		require.Len(t, decidedPrints(l, at(5)), 2)
		later := at(6).Add(time.Hour)
		recordCrashes(l, later, 9, "one", "other")
		all, _ := l.Decide(later.Add(VerdictDelay))
		require.Len(t, all, 2)
		require.True(t, all[0].Shared)
	}
}

// A report of another entry must not hold a request back for longer than MaxHold, and reports with
// fields out of range must be dropped.
func TestReportedHoldsAreBounded(t *testing.T) {
	l := newLedger()
	require.True(t, l.HandleReport(at(0), Report{Kind: HoldReport, Print: printOf("a"), LeftMs: 5000}))
	require.False(t, l.HandleReport(at(0), Report{Kind: HoldReport, Print: printOf("a"), LeftMs: 6000}), "not new, but longer")
	require.Equal(t, at(6), l.HeldUntil(at(1), printOf("a")))
	require.False(t, l.ApplyHold(at(9), printOf("b"), Hold{Until: at(8)}), "the hold has ended")
	require.True(t, l.ApplyHold(at(0), printOf("c"), Hold{Until: at(0).Add(10 * MaxHold)}))
	require.Equal(t, at(0).Add(MaxHold), l.HeldUntil(at(1), printOf("c")))
	require.True(t, l.HandleReport(at(2), Report{Kind: AnswerReport, Print: printOf("a")}))
	require.Zero(t, l.HeldUntil(at(2), printOf("a")))

	kept, dropped := Check([]Report{{Kind: 0}, {Kind: 99}, {Kind: HoldReport, LeftMs: -1}, {Kind: HoldReport, LeftMs: 1 << 62}, {Kind: HoldReport, Times: -1}, {Kind: CrashReport, AgeMs: -1}, {Kind: AnswerReport}})
	require.Len(t, kept, 1)
	require.Equal(t, 6, dropped)
	_, dropped = Check(make([]Report, 2*MaxReports))
	require.Equal(t, 2*MaxReports, dropped)
}

func TestLedgerSizeIsBounded(t *testing.T) {
	l := newLedger()
	for i := range uint32(2 * maxCrashes) {
		for j := range 10 {
			l.RecordCrash(at(float64(i)), Crash{Upstream: i, At: at(float64(i))}, printOf(fmt.Sprint(i, j)))
		}
	}
	require.LessOrEqual(t, len(l.crashes), maxCrashes)
	require.LessOrEqual(t, len(l.suspects), maxSuspects)
	l.Expire(at(2 * maxCrashes).Add(Retention + time.Second))
	require.Empty(t, l.crashes)
	require.Empty(t, l.suspects)
}

// Guards against entries that drop different crashes for lack of room and so hold back different requests.
func TestSameCrashIsDroppedAtEveryEntry(t *testing.T) {
	var want []fingerprint.Print
	for range 20 {
		l := newLedger()
		for i := range uint32(maxCrashes + 1) {
			recordCrashes(l, at(0), i+1, fmt.Sprint(i))
		}
		var suspects []fingerprint.Print
		for i := range maxCrashes + 1 {
			if print := printOf(fmt.Sprint(i)); l.Suspected(print) {
				suspects = append(suspects, print)
			}
		}
		if want == nil {
			want = suspects
		}
		require.Equal(t, want, suspects)
	}
}

// The ledger's indexes agree with a reference that keeps a set of crashes, for any sequence of
// events.
func TestLedgerAgainstReference(t *testing.T) {
	type crashOf struct{ upstream, request int }
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		reference := make(map[crashOf]bool)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			s := crashOf{rapid.IntRange(0, 6).Draw(t, "upstream"), rapid.IntRange(0, 4).Draw(t, "request")}
			print := printOf(fmt.Sprint(s.request))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Clear(now, print)
				for k := range reference {
					if k.request == s.request {
						delete(reference, k)
					}
				}
			case 1:
				l.Decide(now)
			default:
				require.Equal(t, !reference[s], l.RecordCrash(now, Crash{Upstream: uint32(s.upstream), At: now}, print))
				reference[s] = true
			}
			for request := range 5 {
				n := 0
				for k := range reference {
					if k.request == request {
						n++
					}
				}
				require.Len(t, l.Crashes(printOf(fmt.Sprint(request))), n)
			}
			require.LessOrEqual(t, len(l.crashes), 7)
		}
	})
}

// loadModel simulates engines that run requests and crash, to test a Ledger under load.
type loadModel struct {
	random  *rand.Rand
	ledger  *Ledger
	engines [][]string
	next    uint32
	now     time.Time
	// fatalRuns counts the runs of the fatal request, wronglyHeld the other requests that were
	// held back.
	fatalRuns, wronglyHeld int
}

const fatalName = "fatal"

// arrive sends a request to an engine unless it is held back. The fatal request crashes the engine
// and is sent again, up to the given number of tries.
func (m *loadModel) arrive(name string, tries int) {
	for range tries {
		if !m.ledger.HeldUntil(m.now, printOf(name)).IsZero() {
			if name != fatalName {
				m.wronglyHeld++
			}
			return
		}
		engine := m.random.IntN(len(m.engines))
		m.engines[engine] = append(m.engines[engine], name)
		if name != fatalName {
			return
		}
		m.fatalRuns++
		m.crash(engine)
	}
}

// crash crashes an engine and sends its requests to other engines.
func (m *loadModel) crash(engine int) {
	names := m.engines[engine]
	m.engines[engine] = nil
	m.next++
	for _, name := range names {
		m.ledger.RecordCrash(m.now, Crash{Upstream: m.next, At: m.now}, printOf(name))
	}
	m.now = m.now.Add(150 * time.Millisecond)
	m.ledger.Decide(m.now)
	for _, name := range names {
		if name != fatalName {
			next := m.random.IntN(len(m.engines))
			m.engines[next] = append(m.engines[next], name)
		}
	}
}

// Under a load in which one request crashes engines, other engines crash without such a cause and
// requests are retried, the fatal request must run only a few times and almost no other request
// may be held back.
func TestCauseIsFoundUnderLoad(t *testing.T) {
	fatalRuns, wronglyHeld, arrived := 0, 0, 0
	for seed := range uint64(200) {
		m := &loadModel{random: rand.New(rand.NewPCG(seed, 1)), ledger: newLedger(), engines: make([][]string, 14), now: start}
		for i := range 600 {
			m.now = m.now.Add(30 * time.Millisecond)
			arrived++
			m.arrive(fmt.Sprint("question ", i), 2)
			if i%20 == 10 {
				m.arrive(fatalName, 2)
			}
			if i%150 == 75 {
				m.crash(m.random.IntN(len(m.engines)))
			}
			m.answer()
		}
		fatalRuns = max(fatalRuns, m.fatalRuns)
		wronglyHeld += m.wronglyHeld
	}
	require.LessOrEqual(t, fatalRuns, 6, "three crashes and three retries")
	require.LessOrEqual(t, wronglyHeld, arrived/1000)
}

// answer answers some of the running requests and clears them in the ledger.
func (m *loadModel) answer() {
	for i, running := range m.engines {
		if len(running) > 0 && m.random.IntN(4) == 0 {
			m.ledger.Clear(m.now, printOf(running[0]))
			m.engines[i] = running[1:]
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	l := newLedger()
	for i := range uint32(64) {
		for j := range 64 {
			l.RecordCrash(at(float64(i)), Crash{Upstream: i, At: at(float64(i))}, printOf(fmt.Sprint(i, j)))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Decide(at(100))
	}
}
