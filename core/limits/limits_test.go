package limits

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const step = 50 * time.Millisecond

var key = Key{Service: "parts", Organisation: "omuti"}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// fleet joins entries by messages; nothing is delivered to or from an entry that is cut.
type fleet struct {
	now     time.Time
	limits  *document.Limits
	names   []string
	entries map[string]*Entry
	cut     map[string]bool
	lose    func() bool
	begun   []time.Time // when each admitted request began
	running map[string]int
	tokens  float64
}

func newFleet(size int, limits document.Limits) *fleet {
	f := &fleet{now: at(0), limits: &limits, entries: map[string]*Entry{}, cut: map[string]bool{}, running: map[string]int{}, lose: func() bool { return false }}
	for i := range size {
		f.names = append(f.names, fmt.Sprint("entry-", i))
	}
	for _, name := range f.names {
		f.entries[name] = NewEntry(name, 0)
		f.entries[name].SetEntries(f.names)
	}
	return f
}

func (f *fleet) owner() string { return f.entries[f.names[0]].Owner(key) }

// request takes one request at an entry to its verdict.
func (f *fleet) request(name string, tokens int) Verdict {
	e := f.entries[name]
	verdict := e.Decide(f.now, key, f.limits, tokens)
	for range 2 {
		if verdict.Outcome != AskOwner {
			break
		}
		want := e.Want(f.now, key, tokens)
		lost := f.cut[name] != f.cut[verdict.Owner] || f.lose()
		var grant Grant
		if !lost {
			grant = f.entries[verdict.Owner].Answer(f.now, name, &want, f.limits)
			lost = f.lose()
		}
		if lost {
			e.OwnerSilent(f.now, verdict.Owner)
		} else {
			e.Granted(f.now, &grant)
		}
		verdict = e.Decide(f.now, key, f.limits, tokens)
	}
	if verdict.Outcome == Admitted {
		f.begun = append(f.begun, f.now)
		f.running[name]++
		f.tokens += float64(tokens)
	}
	return verdict
}

func (f *fleet) release(name string) {
	if f.running[name] > 0 {
		f.running[name]--
		f.entries[name].Release(key, f.limits)
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(step)
	for _, name := range f.names {
		for _, renewal := range f.entries[name].Tick(f.now) {
			if f.cut[name] == f.cut[renewal.Owner] {
				f.entries[renewal.Owner].Answer(f.now, name, &renewal.Want, f.limits)
			}
		}
	}
}

func (f *fleet) concurrency() (sum int) {
	for _, n := range f.running {
		sum += n
	}
	return sum
}

// With loss and k entries cut from the owner, the requests of every window and the
// concurrency stay within the bounds that the package states.
func TestBoundsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := document.Limits{RequestsPerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Concurrency: rapid.IntRange(0, 12).Draw(t, "concurrency")}
		f := newFleet(5, limits)
		k := rapid.IntRange(0, 2).Draw(t, "cut")
		for _, name := range f.names {
			if len(f.cut) < k && name != f.owner() {
				f.cut[name] = true
			}
		}
		percent := rapid.SampledFrom([]int{0, 20}).Draw(t, "loss")
		f.lose = func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < percent }
		if percent > 0 {
			k = len(f.names) // any entry may be on its share
		}
		for range 60 {
			for _, name := range f.names {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					f.request(name, 1)
				}
				if rapid.Bool().Draw(t, "ends") {
					f.release(name)
				}
			}
			f.step()
			if limits.Concurrency > 0 {
				require.LessOrEqual(t, f.concurrency(), limits.Concurrency+k*max(1, limits.Concurrency/5))
			}
		}
		rate, burst := limits.RequestsPerSecond, requestBurst(&limits)
		for i := range f.begun {
			seconds := f.begun[len(f.begun)-1].Sub(f.begun[i]).Seconds()
			bound := rate*(seconds+grantLife.Seconds()) + burst + float64(k)*(rate*seconds/5+max(1, burst/5))
			require.LessOrEqual(t, float64(len(f.begun)-i), bound+1)
		}
	})
}

// A saturating organisation gets most of its limit, whichever entries it comes through.
func TestLimitCanBeUsed(t *testing.T) {
	f := newFleet(5, document.Limits{RequestsPerSecond: 20, TokensPerSecond: 40_000})
	for range 400 {
		for _, name := range f.names {
			f.request(name, 2000)
			f.release(name)
		}
		f.step()
	}
	require.GreaterOrEqual(t, len(f.begun), 20*20*8/10)
	require.LessOrEqual(t, f.tokens, 40_000.0*22+2000)
}

func TestVerdicts(t *testing.T) {
	t.Run("no limits, no message", func(t *testing.T) {
		require.Equal(t, Admitted, newFleet(3, document.Limits{}).request("entry-0", 1_000_000).Outcome)
	})
	t.Run("a request above the burst leaves a debt", func(t *testing.T) {
		f := newFleet(1, document.Limits{TokensPerSecond: 100_000})
		require.Equal(t, Admitted, f.request("entry-0", 1_000_000).Outcome)
		refused := f.request("entry-0", 1)
		require.Equal(t, Refused, refused.Outcome)
		require.InDelta(t, 8, refused.RetryAfter.Seconds(), 0.01)
	})
	t.Run("an ended request makes room at another entry", func(t *testing.T) {
		f := newFleet(3, document.Limits{Concurrency: 1})
		for range 5 {
			for _, name := range f.names {
				require.Equal(t, Admitted, f.request(name, 1).Outcome)
				require.Equal(t, Refused, f.request(name, 1).Outcome)
				f.release(name)
				f.step()
				f.now = f.now.Add(slotRetry)
			}
		}
	})
	// Symptom: an organisation was refused for good. Events: an entry died with its
	// requests. Cause: nobody gave their slots back.
	t.Run("a dead entry's slots come free", func(t *testing.T) {
		f := newFleet(3, document.Limits{Concurrency: 1})
		var dead, other string
		for _, name := range f.names {
			if name != f.owner() {
				dead, other = other, name
			}
		}
		require.Equal(t, Admitted, f.request(dead, 1).Outcome)
		require.Equal(t, Refused, f.request(other, 1).Outcome)
		f.now = f.now.Add(HoldBound + step)
		require.Equal(t, Admitted, f.request(other, 1).Outcome)
	})
	// Symptom: two requests ran under a limit of one. Events: a grant was late, and a
	// renewal told the owner meanwhile that nothing is held. Cause: the entry used it.
	t.Run("a late grant gives no slot", func(t *testing.T) {
		f := newFleet(3, document.Limits{Concurrency: 1})
		owner, asks := f.entries[f.owner()], f.entries[f.names[0]]
		if owner == asks {
			asks = f.entries[f.names[1]]
		}
		asks.Decide(f.now, key, f.limits, 1)
		want := asks.Want(f.now, key, 1)
		late := owner.Answer(f.now, asks.self, &want, f.limits)
		renewal := asks.Want(f.now, key, 0)
		renewal.Renewal = true
		owner.Answer(f.now, asks.self, &renewal, f.limits)
		asks.Granted(f.now, &late)
		require.Equal(t, AskOwner, asks.Decide(f.now, key, f.limits, 1).Outcome)
	})
	t.Run("a new owner learns what is held", func(t *testing.T) {
		f := newFleet(3, document.Limits{Concurrency: 3})
		old := f.owner()
		var rest []string
		for _, name := range f.names {
			if name != old {
				rest = append(rest, name)
				require.Equal(t, Admitted, f.request(name, 1).Outcome)
			}
		}
		for _, name := range rest {
			f.entries[name].SetEntries(rest)
		}
		f.names = rest
		f.now = f.now.Add(renewInterval)
		f.step()
		require.Equal(t, Admitted, f.request(rest[0], 1).Outcome)
		require.Equal(t, Refused, f.request(rest[1], 1).Outcome)
	})
}

func TestDecideDoesNotAllocate(t *testing.T) {
	f := newFleet(2, document.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrency: 1000})
	for _, name := range f.names {
		e := f.entries[name]
		f.request(name, 1)
		require.Zero(t, testing.AllocsPerRun(100, func() {
			if e.Decide(f.now, key, f.limits, 1).Outcome == Admitted {
				e.Release(key, f.limits)
			}
		}))
	}
}

func BenchmarkDecide(b *testing.B) {
	f := newFleet(1, document.Limits{RequestsPerSecond: 1e12, TokensPerSecond: 1e12, Concurrency: 1000})
	b.ReportAllocs()
	for b.Loop() {
		f.entries["entry-0"].Decide(f.now, key, f.limits, 1)
		f.entries["entry-0"].Release(key, f.limits)
	}
}
