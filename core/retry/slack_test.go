package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlackAllowsRetriesBeyondTheRatio checks that a window allows the ratio's retries and
// the slack in addition.
func TestSlackAllowsRetriesBeyondTheRatio(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := NewBudget(0.2, 0)
	budget.SetSlack(3)
	for range 10 {
		budget.RecordFirst(now)
	}
	allowed := 0
	for range 100 {
		if budget.Allow(now) {
			allowed++
		}
	}
	require.Equal(t, 5, allowed)
	require.False(t, budget.Allow(now.Add(9*time.Second)), "the window has not passed")
	require.True(t, budget.Allow(now.Add(11*time.Second)))
}

// TestBudgetHoldsInEveryWindow allows retries late in one second and tries the same number
// at the start of the tenth second after it. Both are within ten seconds, so the slot of
// the first ones must still count, or the window would exceed the budget.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := NewBudget(0.2, 0)
	budget.SetSlack(2)
	require.True(t, budget.Allow(start.Add(900*time.Millisecond)))
	require.True(t, budget.Allow(start.Add(950*time.Millisecond)))
	require.False(t, budget.Allow(start.Add(10*time.Second)))
	require.False(t, budget.Allow(start.Add(10*time.Second+800*time.Millisecond)))
	require.True(t, budget.Allow(start.Add(11*time.Second)))
}
