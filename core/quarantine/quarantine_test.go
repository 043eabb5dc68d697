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

func content(name string) fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{Body: []byte(name)})
}

func newLedger() *Ledger { return NewLedger(DefaultSettings) }

// at returns a time after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crashed tells a ledger of a crash under some requests.
func crashed(l *Ledger, now time.Time, upstream uint32, under ...string) {
	for _, name := range under {
		l.Strike(now, Crash{Upstream: upstream, At: now}, content(name))
	}
}

func verdicts(l *Ledger, now time.Time) []fingerprint.Print {
	all, _ := l.Decide(now)
	var prints []fingerprint.Print
	for _, v := range all {
		prints = append(prints, v.Print)
	}
	return prints
}

// What is in hand at each crash is held back; what was there by chance is not.
func TestRequestUnderEachCrashIsHeldBack(t *testing.T) {
	l := newLedger()
	crashed(l, at(0), 1, "fatal", "a", "b")
	crashed(l, at(1), 2, "fatal", "a")
	require.Empty(t, verdicts(l, at(2)))
	crashed(l, at(2), 3, "fatal", "b", "c")
	all, next := l.Decide(at(2))
	require.Empty(t, all, "other suspects of the crash may still be told")
	require.Equal(t, at(2).Add(Settle), next)
	all, next = l.Decide(next)
	require.Equal(t, []Verdict{{Print: content("fatal"), Crashes: 3, Hold: Hold{Until: at(2).Add(Settle + time.Hour), Times: 1}}}, all)
	require.Zero(t, next)
	require.NotZero(t, l.Held(at(3), content("fatal")))
	require.Zero(t, l.Held(at(3), content("a")))
}

// Crashes that a held request explains don't speak against those that were there too.
func TestCrashesOfAHeldRequestBlameNobodyElse(t *testing.T) {
	l := newLedger()
	for i := range uint32(4) {
		crashed(l, at(float64(i)), i, "fatal")
	}
	for i := range uint32(3) {
		crashed(l, at(float64(i)), i, "bystander")
	}
	require.Equal(t, []fingerprint.Print{content("fatal")}, verdicts(l, at(5)))
	crashed(l, at(6), 9, "fatal", "bystander", "second")
	require.Empty(t, verdicts(l, at(7)))
	for i := range uint32(3) {
		crashed(l, at(8+float64(i)), 20+i, "second")
	}
	require.Equal(t, []fingerprint.Print{content("second")}, verdicts(l, at(12)), "a second cause is found beside the first")
}

// An answer proves that a request doesn't crash what runs it, whatever speaks against it.
func TestAnsweredRequestIsNotHeldBack(t *testing.T) {
	l := newLedger()
	for i := range uint32(10) {
		crashed(l, at(float64(i)), i, "popular")
		require.True(t, l.Clear(at(float64(i)+.05), content("popular")))
		require.Empty(t, verdicts(l, at(float64(i)+.5)))
	}
	require.False(t, l.Clear(at(20), content("popular")), "nothing is left against it")
	for i := range uint32(3) {
		require.False(t, l.Recall(at(21), Crash{Upstream: 100 + i, At: at(float64(i))}, content("popular")), "old records are void")
	}
	require.False(t, l.Take(at(21), content("popular"), Hold{Until: at(1000)}))
}

// A rack that fails takes upstreams that all ran one popular request: that is one crash.
func TestCrashesThatCoincideCountOnce(t *testing.T) {
	l := newLedger()
	for i := range uint32(8) {
		crashed(l, at(0.002*float64(i)), i, "popular")
	}
	require.Empty(t, verdicts(l, at(1)))
	crashed(l, at(2), 20, "popular")
	crashed(l, at(3), 21, "popular")
	require.Equal(t, []fingerprint.Print{content("popular")}, verdicts(l, at(4)))
}

// A request that goes from one crash to the next within moments is no coincidence.
func TestRetriesThatCrashOneUpstreamAfterTheOtherCountEach(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		l.Strike(at(1), Crash{Upstream: i, At: at(0.001 * float64(i)), Again: i > 0}, content("fatal"))
	}
	require.Equal(t, []fingerprint.Print{content("fatal")}, verdicts(l, at(2)))
}

// Of several that were there at the same crashes nobody can tell which is the cause: all are held
// back.
func TestAllThatExplainTheSameCrashesAreHeldBack(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		crashed(l, at(float64(i)), i, "one", "other")
	}
	all, _ := l.Decide(at(5))
	require.Len(t, all, 2)
	require.True(t, all[0].Shared)
}

// After its time a request may be tried once; one more crash and it is held back again.
func TestProbationEndsWithTheNextCrash(t *testing.T) {
	l := newLedger()
	for i := range uint32(3) {
		crashed(l, at(float64(i)), i, "fatal")
	}
	require.Len(t, verdicts(l, at(3)), 1)
	later := at(3).Add(time.Hour + time.Second)
	require.Zero(t, l.Held(later, content("fatal")))
	require.Empty(t, verdicts(l, later), "old crashes don't count again")
	crashed(l, later, 9, "fatal")
	all, _ := l.Decide(later.Add(Settle))
	require.Equal(t, Hold{Until: later.Add(Settle + holdGrowth*time.Hour), Times: 2}, all[0].Hold, "and longer")

	l.Clear(later.Add(time.Minute), content("fatal"))
	crashed(l, later.Add(2*time.Minute), 10, "fatal")
	require.Empty(t, verdicts(l, later.Add(3*time.Minute)), "who was released begins anew")
}

func TestHoldsOfOthersAreTakenUpWithinBounds(t *testing.T) {
	l := newLedger()
	require.True(t, l.Hear(at(0), Report{Kind: Held, Print: content("a"), LeftMs: 5000}))
	require.False(t, l.Hear(at(0), Report{Kind: Held, Print: content("a"), LeftMs: 6000}), "no news, but longer")
	require.Equal(t, at(6), l.Held(at(1), content("a")))
	require.False(t, l.Take(at(9), content("b"), Hold{Until: at(8)}), "it is over")
	require.True(t, l.Take(at(0), content("c"), Hold{Until: at(0).Add(10 * MostHold)}))
	require.Equal(t, at(0).Add(MostHold), l.Held(at(1), content("c")))
	require.True(t, l.Hear(at(2), Report{Kind: Answered, Print: content("a")}))
	require.Zero(t, l.Held(at(2), content("a")))

	kept, dropped := Check([]Report{{Kind: 0}, {Kind: 99}, {Kind: Held, LeftMs: -1}, {Kind: Held, LeftMs: 1 << 62}, {Kind: Held, Times: -1}, {Kind: Struck, AgeMs: -1}, {Kind: Answered}})
	require.Len(t, kept, 1)
	require.Equal(t, 6, dropped)
	_, dropped = Check(make([]Report, 2*MostReports))
	require.Equal(t, 2*MostReports, dropped)
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	l := newLedger()
	for i := range uint32(2 * mostCrashes) {
		for j := range 10 {
			l.Strike(at(float64(i)), Crash{Upstream: i, At: at(float64(i))}, content(fmt.Sprint(i, j)))
		}
	}
	require.LessOrEqual(t, len(l.crashes), mostCrashes)
	require.LessOrEqual(t, len(l.suspects), mostSuspects)
	l.Forget(at(2 * mostCrashes).Add(Memory + time.Second))
	require.Empty(t, l.crashes)
	require.Empty(t, l.suspects)
}

// The indexes agree with a naive ledger that keeps a list of strikes, whatever comes in which
// order.
func TestLedgerAgreesWithANaiveOne(t *testing.T) {
	type strike struct{ upstream, request int }
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		naive := make(map[strike]bool)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			s := strike{rapid.IntRange(0, 6).Draw(t, "upstream"), rapid.IntRange(0, 4).Draw(t, "request")}
			print := content(fmt.Sprint(s.request))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Clear(now, print)
				for k := range naive {
					if k.request == s.request {
						delete(naive, k)
					}
				}
			case 1:
				l.Decide(now)
			default:
				require.Equal(t, !naive[s], l.Strike(now, Crash{Upstream: uint32(s.upstream), At: now}, print))
				naive[s] = true
			}
			for request := range 5 {
				n := 0
				for k := range naive {
					if k.request == request {
						n++
					}
				}
				require.Len(t, l.Crashes(content(fmt.Sprint(request))), n)
			}
			require.LessOrEqual(t, len(l.crashes), 7)
		}
	})
}

// fleet is a model of engines that run requests and crash, for playing loads against a Ledger.
type fleet struct {
	random  *rand.Rand
	ledger  *Ledger
	engines [][]string
	next    uint32
	now     time.Time
	// reached counts the runs of the fatal request, blamed the others that were held back.
	reached, blamed int
}

const fatalName = "fatal"

// arrive sends a request to engines until one keeps it.
func (f *fleet) arrive(name string, tries int) {
	for range tries {
		if !f.ledger.Held(f.now, content(name)).IsZero() {
			if name != fatalName {
				f.blamed++
			}
			return
		}
		engine := f.random.IntN(len(f.engines))
		f.engines[engine] = append(f.engines[engine], name)
		if name != fatalName {
			return
		}
		f.reached++
		f.crash(engine)
	}
}

// crash ends an engine and sends what it had elsewhere.
func (f *fleet) crash(engine int) {
	under := f.engines[engine]
	f.engines[engine] = nil
	f.next++
	for _, name := range under {
		f.ledger.Strike(f.now, Crash{Upstream: f.next, At: f.now}, content(name))
	}
	f.now = f.now.Add(150 * time.Millisecond)
	f.ledger.Decide(f.now)
	for _, name := range under {
		if name != fatalName {
			f.engines[f.random.IntN(len(f.engines))] = append(f.engines[f.random.IntN(len(f.engines))], name)
		}
	}
}

// The load of an hour in which one request crashes engines while others come and go, engines also
// crash by themselves, and requests are repeated: the cause reaches engines a few times and
// nearly nobody else is refused.
func TestUnderLoadTheCauseIsFoundAndOthersAreServed(t *testing.T) {
	reached, blamed, arrived := 0, 0, 0
	for seed := range uint64(200) {
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), ledger: newLedger(), engines: make([][]string, 14), now: start}
		for i := range 600 {
			f.now = f.now.Add(30 * time.Millisecond)
			arrived++
			f.arrive(fmt.Sprint("question ", i), 2)
			if i%20 == 10 {
				f.arrive(fatalName, 2)
			}
			if i%150 == 75 {
				f.crash(f.random.IntN(len(f.engines)))
			}
			f.answer()
		}
		reached = max(reached, f.reached)
		blamed += f.blamed
	}
	require.LessOrEqual(t, reached, 6, "three crashes and three retries")
	require.LessOrEqual(t, blamed, arrived/1000)
}

// answer ends some of what runs, and clears what was suspected of it.
func (f *fleet) answer() {
	for i, running := range f.engines {
		if len(running) > 0 && f.random.IntN(4) == 0 {
			f.ledger.Clear(f.now, content(running[0]))
			f.engines[i] = running[1:]
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	l := newLedger()
	for i := range uint32(64) {
		for j := range 64 {
			l.Strike(at(float64(i)), Crash{Upstream: i, At: at(float64(i))}, content(fmt.Sprint(i, j)))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Decide(at(100))
	}
}
