package fairshare

import (
	"math"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a level that leaves capacity unused, or gives more than there is.
func TestLevelSharesTheWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]Claim, rapid.IntRange(1, 30).Draw(t, "organisations"))
		demand := 0.0
		for i := range claims {
			claims[i] = Claim{Demand: rapid.Float64Range(0, 100).Draw(t, "demand"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			demand += claims[i].Demand
		}
		capacity := rapid.Float64Range(0, 2000).Draw(t, "capacity")
		level, given := Level(claims, capacity), 0.0
		for _, c := range claims {
			given += min(c.Demand, level*c.Weight)
		}
		require.InDelta(t, min(demand, capacity), given, 1e-6*(1+capacity))
	})
}

func TestLevelOfNoClaims(t *testing.T) {
	require.True(t, math.IsInf(Level(nil, 1), 1))
	require.Zero(t, Level([]Claim{{Demand: 1, Weight: 1}}, 0))
}

// Guards against an organisation with many requests that takes the time of those with few, wherever
// their requests arrive.
func TestLargeDemandIsOverItsShare(t *testing.T) {
	here, there := NewLedger(), NewLedger()
	large, small := TagOf("large"), TagOf("small")
	here.Ask(epoch, large, 10*time.Second)
	there.Ask(epoch, large, 10*time.Second)
	here.Grant(epoch, large, 4*time.Second)
	there.Grant(epoch, large, 4*time.Second)
	there.Ask(epoch, small, 3*time.Second)
	there.Grant(epoch, small, 2*time.Second)
	require.Zero(t, here.Apply(epoch, 2, there.Reports(epoch), nil))
	require.Equal(t, 2, here.Rank(epoch, large), "8 of the 7 s that are left to it")
	require.Equal(t, 1, here.Rank(epoch, small), "2 of the 3 s that it asks for")
	here.Forget(2)
	here.Rank(epoch.Add(levelAge), large)
	require.NotContains(t, here.claims, small)
}

// Guards against holding an organisation back while there is enough for all.
func TestNobodyIsBehindWhileDemandIsMet(t *testing.T) {
	l := NewLedger()
	for i, name := range []string{"a", "b", "c"} {
		l.Ask(epoch, TagOf(name), time.Duration(i+1)*time.Second)
		l.Grant(epoch, TagOf(name), time.Duration(i+1)*time.Second)
	}
	for _, name := range []string{"a", "b", "c", "unknown"} {
		require.Zero(t, l.Rank(epoch, TagOf(name)))
	}
}

// Guards against reports of another entry that can't be true, of organisations that don't exist, or too
// many of them.
func TestInvalidReportsAreDropped(t *testing.T) {
	known := TagOf("known")
	exists := func(tag Tag) bool { return tag == known }
	reports := []Report{
		{Organisation: known, DemandMs: -1}, {Organisation: known, GrantMs: -1}, {Organisation: known, DemandMs: math.MaxInt64},
		{Organisation: TagOf("other"), DemandMs: 5}, {Organisation: known, DemandMs: 5, GrantMs: 3},
	}
	l := NewLedger()
	require.Equal(t, 4, l.Apply(epoch, 2, reports, exists))
	require.Equal(t, map[Tag]Claim{known: {Demand: 0.005, Granted: 0.003}}, l.others[2].claims)
	many := make([]Report, MaxReports+7)
	for i := range many {
		many[i] = Report{Organisation: Tag(i), DemandMs: 1}
	}
	require.Equal(t, 7, l.Apply(epoch, 2, many, nil))
}

// Guards against accounts that grow with all organisations that have ever called.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	l := NewLedger()
	for i := range 1000 {
		l.Ask(epoch, Tag(i), time.Second)
	}
	require.Len(t, l.Reports(epoch), MaxReports)
	later := epoch.Add(time.Minute)
	for i := range 1100 {
		l.Ask(later, Tag(5000+i), time.Second)
	}
	require.Less(t, len(l.own), 1200, "without scarcity nobody asks for ranks")
	l.Rank(later.Add(time.Minute), 1)
	require.Empty(t, l.own)
}

// FuzzApply guards against reports that break the level for all.
func FuzzApply(f *testing.F) {
	f.Add(uint64(1), int64(5), int64(3))
	f.Add(uint64(1), int64(math.MaxInt64), int64(math.MinInt64))
	f.Fuzz(func(t *testing.T, tag uint64, demand, grant int64) {
		l := NewLedger()
		l.Ask(epoch, 1, time.Second)
		l.Apply(epoch, 2, []Report{{Organisation: Tag(tag), DemandMs: demand, GrantMs: grant}}, nil)
		l.Rank(epoch, 1)
		require.False(t, math.IsNaN(l.level) || l.level < 0)
	})
}
