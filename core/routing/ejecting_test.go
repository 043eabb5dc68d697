package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: most requests of a service fail although one engine of many is broken.
// Sequence: the engine breaks each stream; its memory is free at once, so that it looks
// the least loaded and gets the next request too.
// Cause: load alone decides.
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
	require.Len(t, chosen(now), 3, "failures that are not in a row eject nothing")
	e.Finished("a", true, now)
	require.NotContains(t, chosen(now), 0)
	require.Len(t, chosen(now.Add(ejectBase+1)), 3, "an ejection ends")
	for _, agent := range []string{"a", "b"} {
		e.Finished(agent, true, now)
		e.Finished(agent, true, now)
	}
	require.Len(t, chosen(now), 3, "when most fail, nobody is ejected")
	require.Equal(t, 2, e.Choose(&Request{Exclude: []string{"a", "b"}}, replicas, now).Index)
}
