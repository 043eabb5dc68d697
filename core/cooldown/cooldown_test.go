package cooldown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a later answer that shortens the pause that an earlier one asked for.
func TestEachPauseHoldsUntilItsOwnEnd(t *testing.T) {
	var p Period
	require.False(t, p.Active(at(0)))
	require.True(t, p.Ask(at(0), 3*time.Second))
	require.False(t, p.Ask(at(1), time.Second), "ends sooner")
	require.False(t, p.Ask(at(1), 0))
	require.True(t, p.Active(at(2.9)))
	require.Equal(t, time.Second, p.Wait(at(2)))
	require.True(t, p.Ask(at(2), 2*time.Second))
	require.True(t, p.Active(at(3.9)))
	require.False(t, p.Active(at(4)))
	p.Sent(at(4))
	require.False(t, p.Active(at(4)), "after the end nothing is a trial")
}

// Guards against an upstream that stays out of use for hours because it once named a wrong value.
func TestLongPauseIsTried(t *testing.T) {
	var p Period
	p.Ask(at(0), 24*time.Hour)
	require.True(t, p.Active(at(59.9)))
	require.False(t, p.Active(at(60)))
	p.Sent(at(60))
	require.True(t, p.Active(at(60)), "one trial at a time")
	p.Served(at(59))
	require.True(t, p.Active(at(61)), "a request that was sent before the trial says nothing")
	p.Served(at(60))
	require.False(t, p.Active(at(61)))
	require.Zero(t, p)
}

// Guards against requests within any pause of up to MaxPause, whatever is asked in which order.
func TestNoRequestWithinAnyPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Period
		var ends []time.Time
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond)
			if rapid.Bool().Draw(t, "asks") {
				pause := time.Duration(rapid.IntRange(0, 59_000).Draw(t, "pause")) * time.Millisecond
				p.Ask(now, pause)
				ends = append(ends, now.Add(pause))
			}
			if p.Active(now) {
				continue
			}
			p.Sent(now)
			p.Served(now)
			for _, end := range ends {
				require.False(t, now.Before(end))
			}
		}
	})
}

// Guards against callers that all return at the moment at which the pause ends, or before it.
func TestCallersReturnInOrderAfterThePause(t *testing.T) {
	var p Period
	p.Ask(at(0), 3*time.Second)
	for _, c := range []struct {
		refusedAt, within, returnsAt float64
	}{{0, 1, 3}, {1.5, 1, 3.5}, {2.7, 1, 3.9}, {1.5, 60, 4.5}} {
		wait := p.Return(at(c.refusedAt), time.Duration(c.within*float64(time.Second)))
		require.WithinDuration(t, at(c.returnsAt), at(c.refusedAt).Add(wait), time.Millisecond)
	}
	require.Zero(t, p.Return(at(3), time.Second))
	p.Ask(at(2), 4*time.Second)
	require.WithinDuration(t, at(8), at(4).Add(p.Return(at(4), 3*time.Second)), time.Millisecond, "an extended pause")
}
