package gateway

import (
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Symptom: retries beyond the allowance, one for each service of each entry. Sequence: a
// first retry where the budget has none. Cause: the time since the last retry, of which
// there was none, counted as longer than any least interval.
//
// Whatever entries there are and whatever requests come to them, the retries of all of them
// in any ten seconds stay under the allowance of the whole.
func TestBudgetsOfAllEntriesStayUnderTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := Allowance{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack: float64(rapid.IntRange(0, 150).Draw(t, "slack")),
		}
		entries := make([]*Budgets, rapid.IntRange(1, 8).Draw(t, "entries"))
		for i := range entries {
			entries[i] = NewBudgets(allowance, len(entries))
		}
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var firsts, retries []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			entry := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "first") {
				entry.First("model", now)
				firsts = append(firsts, now)
			} else if entry.Of("model").Allow(now) {
				retries = append(retries, now)
			}
		}
		const window = 10 * time.Second
		for _, end := range retries {
			since := end.Add(-window)
			// Requests count that were made in this window or the one before it.
			most := allowance.Slack + allowance.Ratio*float64(within(firsts, since.Add(-window), end))
			require.LessOrEqual(t, float64(within(retries, since, end)), most+1e-9)
		}
	})
}

func within(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

func TestSlackIsSplitOverEntries(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	count := func(b *Budgets) int {
		n := 0
		for b.Of("model").Allow(now) {
			n++
		}
		return n
	}
	require.Equal(t, 70, count(NewBudgets(Allowance{Ratio: 0.1, Slack: 100}, 1)))
	alone := NewBudgets(Allowance{Ratio: 0.1, Slack: 100}, 1)
	alone.First("model", now)
	alone.SetEntries(10)
	require.Equal(t, 7, count(alone))
	require.Zero(t, count(NewBudgets(Allowance{Ratio: 0.1, Slack: 1}, 4)), "a part of a retry is none")
}

// Symptom: a stream breaks off because its upstream was silent for a while. Sequence: the
// upstream is left; the budget then has no retry. Cause: the budget was asked only after.
func TestARetryThatWasTakenIsNotRefusedLater(t *testing.T) {
	budgets := NewBudgets(Allowance{Ratio: 0.1, Slack: 10}, 1)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first, second := budgets.Of("model"), budgets.Of("model")
	require.True(t, first.Take(now))
	require.True(t, first.Take(now), "it is taken once")
	for n := 0; second.Allow(now); n++ {
		require.Less(t, n, 10, "the budget has an end")
	}
	require.False(t, second.Take(now))
	require.True(t, first.Allow(now))
	require.False(t, first.Allow(now), "it was used")
}
