package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAmplificationUnderFullOutage lets every upstream refuse for a minute while each
// request tries up to four times. The budget must bound the retries to a tenth of the
// requests, or upstreams that recover would be overloaded immediately.
func TestAmplificationUnderFullOutage(t *testing.T) {
	const (
		perSecond = 12 // requests/s of one entry at the design size
		seconds   = 60
		tries     = 4
	)
	for _, warm := range []bool{false, true} {
		b := NewBudget(DefaultRatio, DefaultMinInterval)
		now := time.Unix(1000, 0)
		for range perSecond * seconds {
			now = now.Add(time.Second / perSecond)
			if warm {
				b.RecordFirst(now)
			}
		}
		sent := 0
		for range perSecond * seconds {
			now = now.Add(time.Second / perSecond)
			b.RecordFirst(now)
			sent++
			for range tries - 1 {
				if b.Allow(now) {
					sent++
				}
			}
		}
		amplification := float64(sent) / (perSecond * seconds)
		t.Logf("full outage of %d s, traffic before it %v: amplification %.4f", seconds, warm, amplification)
		require.LessOrEqual(t, amplification, 1.1)
		require.Greater(t, amplification, 1.05)
	}
}

// TestBurstAfterAgentLoss loses one agent with twelve requests of this entry. The budget
// must allow the retries of a whole window at once, or streams would break although other
// agents have capacity.
func TestBurstAfterAgentLoss(t *testing.T) {
	b := NewBudget(DefaultRatio, DefaultMinInterval)
	now := time.Unix(1000, 0)
	for range 120 {
		b.RecordFirst(now)
	}
	allowed := 0
	for range 20 {
		if b.Allow(now) {
			allowed++
		}
	}
	require.Equal(t, 12, allowed)
}

// TestBudgetMinimumAndZero checks that a service without traffic gets one retry per
// minInterval, and that a ratio of zero forbids all retries.
func TestBudgetMinimumAndZero(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(DefaultRatio, 10*time.Second)
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now.Add(9*time.Second)))
	require.True(t, b.Allow(now.Add(10*time.Second)))
	require.False(t, NewBudget(0, time.Second).Allow(now))
}

func TestBackoffBounds(t *testing.T) {
	b := NewBackoff(rand.New(rand.NewPCG(1, 2)))
	for n := range 100 {
		require.LessOrEqual(t, b.Delay(n), b.bound(n))
		require.LessOrEqual(t, b.bound(n), DefaultMax)
	}
	require.Equal(t, 4*DefaultBase, b.bound(3))
}
