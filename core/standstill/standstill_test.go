package standstill

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A gap of more than Limit is a standstill, by whichever clock it shows, and is reported once.
func TestGapsAreStandstills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		d := New(now)
		var count uint64
		for _, ms := range rapid.SliceOf(rapid.IntRange(-200, 2000)).Draw(t, "gaps") {
			gap := time.Duration(ms) * time.Millisecond
			before := *d.last.Load()
			now = now.Add(gap)
			stood := now.Sub(before) > Limit
			if stood {
				count++
				require.Equal(t, now.Sub(before), d.Observe(now))
				require.Equal(t, now, d.Ended())
			} else {
				require.Zero(t, d.Observe(now))
			}
			require.Equal(t, count, d.Count())
		}
	})
}

// Guards against a suspended VM, whose monotonic clock stands still, that goes unnoticed.
func TestSuspendedMachineIsAStandstill(t *testing.T) {
	wall := time.Now().Round(0)
	d := New(wall)
	require.Zero(t, d.Observe(wall.Add(-time.Hour)), "the time of day was set back")
	require.Equal(t, 2*time.Second, d.Observe(wall.Add(2*time.Second)))
}

// Guards against a request that is handled after a standstill as if there had been none, because another one noticed it.
func TestEachObserverOfAStandstillSeesItsEnd(t *testing.T) {
	start := time.Now()
	for range 200 {
		d := New(start)
		now := start.Add(time.Minute)
		var observers sync.WaitGroup
		var noticed atomic.Int32
		for range 8 {
			observers.Go(func() {
				if d.Observe(now) > 0 {
					noticed.Add(1)
				}
				require.Equal(t, now, d.Ended())
			})
		}
		observers.Wait()
		require.EqualValues(t, 1, noticed.Load())
	}
}
