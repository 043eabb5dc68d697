package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An engine that breaks each stream frees its memory at once, so that by load alone it gets
// the next request too, and most requests of a service fail although one engine of many is
// broken. Consecutive failures eject the engine for a time.
func TestFailingEngineIsEjectedForATime(t *testing.T) {
	now := time.Unix(1000, 0)
	replicas := []Replica{{Agent: "a"}, {Agent: "b"}, {Agent: "c"}}
	e := NewEjecting(&Naive{})
	chosen := func(at time.Time) map[int]int {
		counts := make(map[int]int)
		for range 30 {
			counts[e.Choose(&Request{}, replicas, at).Index]++
		}
		return counts
	}
	e.Finished("a", true, now)
	e.Finished("a", false, now)
	e.Finished("a", true, now)
	require.Len(t, chosen(now), 3, "failures that are not consecutive eject no replica")
	e.Finished("a", true, now)
	require.NotContains(t, chosen(now), 0)
	require.Len(t, chosen(now.Add(minEjection+1)), 3, "an ejection ends")
	for _, agent := range []string{"a", "b"} {
		e.Finished(agent, true, now)
		e.Finished(agent, true, now)
	}
	require.Len(t, chosen(now), 3, "ejections are ignored if most replicas fail")
	require.Equal(t, 2, e.Choose(&Request{Exclude: []string{"a", "b"}}, replicas, now).Index)
}
