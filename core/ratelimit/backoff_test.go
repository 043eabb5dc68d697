package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against many entries that all ask for each single permit, and against few entries that leave
// permits unused because they ask too seldom.
func TestBackoffGrowsWithTheNumberOfEntries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	longest := func(entries int) time.Duration {
		var b Backoff
		for range 2 * maxDoublings {
			b.Denied(at(0), 100*time.Millisecond, entries, random)
		}
		return b.Wait(at(0))
	}
	require.Equal(t, 100*time.Millisecond, longest(4))
	require.Less(t, longest(21), time.Second)
	require.Greater(t, longest(350), 5*time.Second)
	var b Backoff
	require.Zero(t, b.Wait(at(0)), "a new entry asks at once")
	b.Denied(at(0), time.Second, 350, random)
	require.LessOrEqual(t, b.Wait(at(0)), 2*time.Second, "the first denial isn't doubled")
	b.Granted()
	require.Zero(t, b.Wait(at(0)))
}
