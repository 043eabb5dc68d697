package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an older statement that arrives late and replaces a newer one.
func TestNewestStatementHolds(t *testing.T) {
	var k Known
	require.True(t, k.Update(at(10), 2))
	require.False(t, k.Update(at(9), 5))
	require.False(t, k.Update(at(9), 0))
	require.False(t, k.Update(at(10), 3), "of two for the same time the lower holds")
	require.True(t, k.Update(at(10), 1))
	require.False(t, k.Update(at(11), 1), "a repetition is no change")
	require.False(t, k.Update(at(10), 0))
	require.True(t, k.Update(at(12), 0))
	require.Equal(t, Known{statedAt: at(12)}, k)
}

// Guards against a limit that is lifted or raised by an answer that breaks off.
func TestOnlyLoweringTakesEffectEarly(t *testing.T) {
	k := Known{Rate: 2}
	require.True(t, k.Lowers(Statement{Rate: 1}))
	require.False(t, k.Lowers(Statement{Rate: 2}))
	require.False(t, k.Lowers(Statement{Rate: 3}))
	require.False(t, k.Lowers(Statement{}))
	require.False(t, k.Lowers(Statement{Malformed: true}))
	var none Known
	require.True(t, none.Lowers(Statement{Rate: 1000}))
	require.False(t, none.Lowers(Statement{}))
}

// Guards against rates that would stop an upstream's use for good or mean nothing.
func TestInvalidRates(t *testing.T) {
	for _, r := range []Rate{0, -1, 1e-9, 1e9, Rate(math.NaN()), Rate(math.Inf(1)), Rate(math.Inf(-1))} {
		require.False(t, r.Valid(), "%v", r)
	}
	require.True(t, Rate(2.3).Valid())
}
