package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: requests of a service with little traffic fail although engines idle.
// Sequence: one engine breaks its streams; the service has a request now and then.
// Cause: a tenth of so few requests is less than one retry.
func TestServicesShareAFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	floor := NewFloor()
	budgets := []*Budget{NewBudget(0.1, time.Hour), NewBudget(0.1, time.Hour)}
	allowed := 0
	for _, b := range budgets {
		b.Share(floor)
		for range 20 {
			if b.Allow(now) {
				allowed++
			}
		}
	}
	require.Equal(t, int(floorBurst)+len(budgets), allowed, "the burst once, and each budget's own first one")
	require.False(t, budgets[0].Allow(now.Add(time.Second)))
	require.True(t, budgets[0].Allow(now.Add(3*time.Second)))
}
