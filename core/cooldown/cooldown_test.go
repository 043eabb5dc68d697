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
