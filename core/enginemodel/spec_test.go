package enginemodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var spec = Spec{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, PrefillRate: 154_000, PerPair: 0.162, Chunk: 2048,
}

// The expected times are calculated by hand from the published figures, with a step for each
// chunk.
func TestPrefillTimeFollowsPublishedFigures(t *testing.T) {
	cases := []struct {
		tokens int
		want   time.Duration
	}{
		{0, 0},
		{5_000, 38 * time.Millisecond},
		{45_000, 485 * time.Millisecond},
		{182_000, 3982 * time.Millisecond},
		{405_000, 16176 * time.Millisecond},
	}
	for _, c := range cases {
		require.InDelta(t, c.want.Seconds(), spec.Read(c.tokens).Seconds(), 0.005, "%d tokens", c.tokens)
	}
	require.Zero(t, (&Spec{}).Read(5_000), "unknown figures predict no time")
}

func TestPassAndDecodeTimes(t *testing.T) {
	require.InDelta(t, 0.0445, spec.PassTime(0, 0).Seconds(), 0.0001)
	require.InDelta(t, 0.0578, spec.PassTime(1, 182_000).Seconds(), 0.0005)
	require.Equal(t, 38*spec.PassTime(3, 15_000), spec.Write(38*34, 3, 15_000))
}
