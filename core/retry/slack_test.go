package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A bound on all entries together is a ratio and a number beyond it in each window.
func TestSlackAllowsRetriesBeyondTheRatio(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := NewBudget(0.2, 0)
	budget.SetSlack(3)
	for range 10 {
		budget.First(now)
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
