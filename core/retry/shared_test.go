package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServicesShareOneSharedBudget guards against failed requests of a service with little
// traffic while engines are idle: a tenth of few requests is less than one retry.
func TestServicesShareOneSharedBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	shared := NewSharedBudget()
	budgets := []*Budget{NewBudget(0.1, time.Hour), NewBudget(0.1, time.Hour)}
	allowed := 0
	for _, b := range budgets {
		b.UseShared(shared)
		for range 20 {
			if b.Allow(now) {
				allowed++
			}
		}
	}
	require.Equal(t, int(sharedBurst)+len(budgets), allowed, "the shared burst once, and the first retry of each budget")
	require.False(t, budgets[0].Allow(now.Add(time.Second)))
	require.True(t, budgets[0].Allow(now.Add(3*time.Second)))
}
