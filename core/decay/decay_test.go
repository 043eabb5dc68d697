package decay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSumDecays(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s Sum
	for i := range 400 {
		s.Add(start.Add(time.Duration(i)*100*time.Millisecond), 3, 2*time.Second)
	}
	end := start.Add(40 * time.Second)
	require.InDelta(t, 30, s.PerSecond(end, 2*time.Second), 1)
	require.InDelta(t, 30/math.E, s.PerSecond(end.Add(2*time.Second), 2*time.Second), 1)
	require.InDelta(t, 0, s.PerSecond(end.Add(time.Minute), 2*time.Second), 0.001)
	require.InDelta(t, 0, s.PerSecond(start, 2*time.Second), 0.001, "an earlier time does not change the sum")
}
