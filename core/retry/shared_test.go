package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServicesShareOneSharedBudget checks that services without traffic, whose ratio allows
// no retry, get retries from the SharedBudget, and that all services together get its burst
// only once. Otherwise, their requests would fail while engines are idle, or their retries
// would add up to more than the ratio allows.
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
