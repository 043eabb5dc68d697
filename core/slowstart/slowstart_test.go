package slowstart

import (
	"math"
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/routes"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

var figures = routes.Cold{Duration: 3 * time.Second, PerSecond: 28}

// Guards against a shorter or earlier statement that ends the cold time before a longer one does.
func TestLatestEndCounts(t *testing.T) {
	var k Known
	require.False(t, k.Cold(at(0), figures))
	k.Extend(at(0), 2*time.Second)
	k.Extend(at(100), 0)
	k.Extend(at(200), -time.Second)
	require.Equal(t, at(2000), k.End(figures))
	k.MayHaveStarted(at(500))
	k.MayHaveStarted(at(300))
	require.Equal(t, at(3500), k.End(figures))
	require.True(t, k.Cold(at(3499), figures))
	require.False(t, k.Cold(at(3500), figures))
	k.Extend(at(3000), time.Second)
	require.Equal(t, at(4000), k.End(figures))
}

// Guards against an upstream whose limit vanishes at once, or never.
func TestRateRisesInSteps(t *testing.T) {
	var k Known
	require.Zero(t, k.Rate(at(0), figures))
	k.Extend(at(0), time.Second)
	for ms, want := range map[int]ratelimit.Rate{0: 28, 999: 28, 1000: 56, 1499: 56, 1500: 112, 2000: 224, 2499: 224, 2500: 0, 100_000: 0} {
		require.Equal(t, want, k.Rate(at(ms), figures), "%d ms", ms)
	}
}

// Guards against figures that stop an upstream's use, and against limits without figures.
func TestRateOfAbsurdFigures(t *testing.T) {
	var k Known
	k.Extend(at(0), time.Hour)
	require.Equal(t, at(0).Add(MaxRest), k.End(figures))
	k.MayHaveStarted(at(0))
	require.Equal(t, at(0).Add(MaxRest), k.End(routes.Cold{Duration: 1 << 62}))
	for perSecond, want := range map[float64]ratelimit.Rate{0: 0, -1: 0, math.Inf(-1): 0, 1e-9: ratelimit.MinRate, 1e12: ratelimit.MaxRate} {
		require.Equal(t, want, k.Rate(at(1), routes.Cold{Duration: -time.Second, PerSecond: perSecond}), "%v", perSecond)
	}
	require.False(t, k.Cold(at(1), routes.Cold{Duration: time.Second}))
}

// FuzzReport checks that a valid report can't limit an upstream for longer than MaxRest and the ramp.
func FuzzReport(f *testing.F) {
	f.Add(int64(0))
	f.Add(int64(-1))
	f.Add(int64(math.MaxInt64))
	f.Fuzz(func(t *testing.T, restMs int64) {
		report := Report{RestMs: restMs}
		if !report.Valid() {
			return
		}
		var k Known
		k.Extend(epoch, report.Rest())
		require.Zero(t, k.Rate(epoch.Add(MaxRest+ramp), figures))
		require.Equal(t, report, NewReport(0, report.Rest()))
	})
}
