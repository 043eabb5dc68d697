package gateway

import (
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The retries of all entries in any ten seconds stay within the allowance, for any number of
// entries and any sequence of requests. Guards against a budget that, before its first retry,
// takes the minimum interval between retries as passed: each entry would then exceed the allowance
// by one retry per service.
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
				entry.RecordFirst("model", now)
				firsts = append(firsts, now)
			} else if entry.ForService("model").Allow(now) {
				retries = append(retries, now)
			}
		}
		const window = 10 * time.Second
		for _, end := range retries {
			since := end.Add(-window)
			// Requests made in this window or in the one before it count.
			limit := allowance.Slack + allowance.Ratio*float64(within(firsts, since.Add(-window), end))
			require.LessOrEqual(t, float64(within(retries, since, end)), limit+1e-9)
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
		for b.ForService("model").Allow(now) {
			n++
		}
		return n
	}
	require.Equal(t, 70, count(NewBudgets(Allowance{Ratio: 0.1, Slack: 100}, 1)))
	alone := NewBudgets(Allowance{Ratio: 0.1, Slack: 100}, 1)
	alone.RecordFirst("model", now)
	alone.SetEntries(10)
	require.Equal(t, 7, count(alone))
	require.Zero(t, count(NewBudgets(Allowance{Ratio: 0.1, Slack: 1}, 4)), "a fraction of a retry is not a retry")
}

// Guards against breaking off the stream of a silent upstream although the budget has no retry
// left to continue it elsewhere: the retry of a hedge is charged first, and the next Allow is then free.
func TestARetryThatWasTakenIsNotRefusedLater(t *testing.T) {
	budgets := NewBudgets(Allowance{Ratio: 0.1, Slack: 10}, 1)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first, second := budgets.ForService("model"), budgets.ForService("model")
	require.True(t, first.Allow(now))
	for n := 1; second.Allow(now); n++ {
		require.Less(t, n, 10, "the budget is finite")
	}
	require.False(t, first.Allow(now))
	first.prepay()
	require.False(t, second.Allow(now), "it is the first one's alone")
	require.True(t, first.Allow(now))
	require.False(t, first.Allow(now), "it was used")
}
