package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a share that grants a burst after a pause, or more than its rate.
func TestShareSpacesRequests(t *testing.T) {
	var s Share
	_, granted := s.Take(at(0), time.Hour)
	require.False(t, granted, "no share")
	s.SetRate(at(0), 2, 0.5)
	wait, granted := s.Take(at(0), 0)
	require.False(t, granted)
	require.Equal(t, 250*time.Millisecond, wait)
	for _, want := range []int{250, 750, 1250} {
		wait, granted = s.Take(at(0), 2*time.Second)
		require.True(t, granted)
		require.Equal(t, time.Duration(want)*time.Millisecond, wait)
	}
	wait, granted = s.Take(at(60_000), 0)
	require.True(t, granted)
	require.Zero(t, wait)
	_, granted = s.Take(at(60_000), 0)
	require.False(t, granted, "a pause doesn't add up")
}

// Guards against requests that were granted at a higher rate and don't count at the lower one.
func TestLowerRateCountsWhatWasGranted(t *testing.T) {
	var s Share
	s.SetRate(at(0), 10, 0)
	for range 5 {
		_, granted := s.Take(at(0), time.Second)
		require.True(t, granted)
	}
	s.SetRate(at(0), 1, 0)
	require.Equal(t, 5*time.Second, s.Wait(at(0)))
	s.SetRate(at(0), 0, 0)
	require.Zero(t, s)
}

// Guards against entries that name different holders, or more than MaxHolders.
func TestHoldersAreTheSameAtAllEntries(t *testing.T) {
	require.Equal(t, Holders("i-1@7", []string{"a", "b", "c", "d", "e"}), Holders("i-1@7", []string{"d", "b", "e", "a", "c"}))
	require.Len(t, Holders("i-1@7", []string{"a", "b", "c", "d", "e"}), MaxHolders)
	require.Len(t, Holders("i-1@7", []string{"a"}), 1)
}

// model plays all interleavings of a few steps on the shares of one limit.
type model struct {
	shares [MaxHolders]Share
	now    time.Time
	rate   Rate
	// grants are the times of all granted requests, and allowed what the limit has allowed until
	// then; extra is the number of requests that restarts may add.
	grants  []time.Time
	allowed []float64
	sum     float64
	extra   int
}

const modelTick = 500 * time.Millisecond

// modelSteps are all steps: time passes, a request is granted by a holder, a holder starts again, the
// limit changes.
var modelSteps = func() (steps []func(m *model)) {
	steps = append(steps, func(m *model) {
		m.now = m.now.Add(modelTick)
		m.sum += float64(m.rate) * modelTick.Seconds()
	})
	for i := range MaxHolders {
		steps = append(steps, func(m *model) {
			if wait, granted := m.shares[i].Take(m.now, 0); granted && wait == 0 {
				m.grants, m.allowed = append(m.grants, m.now), append(m.allowed, m.sum)
			}
		})
	}
	steps = append(steps, func(m *model) {
		m.shares[0] = Share{}
		m.shares[0].SetRate(m.now, m.rate/MaxHolders, 1.0/MaxHolders)
		m.extra++
	})
	for _, rate := range []Rate{1, 4} {
		steps = append(steps, func(m *model) { m.setRate(rate) })
	}
	return steps
}()

func (m *model) setRate(rate Rate) {
	m.rate = rate
	for i := range m.shares {
		m.shares[i].SetRate(m.now, rate/MaxHolders, float64(i+1)/MaxHolders)
	}
}

// withinBound reports whether no window has more grants than the limit has allowed in it and one for
// each holder and each restart.
func (m *model) withinBound() bool {
	last := len(m.grants) - 1
	for first := range m.grants {
		if float64(last-first+1) > m.allowed[last]-m.allowed[first]+MaxHolders+float64(m.extra)+1e-9 {
			return false
		}
	}
	return true
}

func (m model) play(t *testing.T, depth int, path []int, count *int) {
	for i, step := range modelSteps {
		next := m
		next.grants, next.allowed = append([]time.Time(nil), m.grants...), append([]float64(nil), m.allowed...)
		step(&next)
		*count++
		if !next.withinBound() {
			require.FailNow(t, "bound passed", "steps %v: granted at %v, allowed %v", append(path, i), next.grants, next.allowed)
		}
		if depth > 1 {
			next.play(t, depth-1, append(path, i), count)
		}
	}
}

// Guards against any interleaving of requests, restarts and changes in which the shares together
// grant more than the limit allows.
func TestNoInterleavingPassesTheBound(t *testing.T) {
	m := model{now: at(0)}
	m.setRate(2)
	count := 0
	m.play(t, 8, nil, &count)
	t.Logf("%d states", count)
}

// Guards against an added entry, not yet known to all, that makes more than one further share.
func TestAddedEntryDisplacesAtMostOneHolder(t *testing.T) {
	for i := range 200 {
		entries := make([]string, 1+i%30)
		for k := range entries {
			entries[k] = fmt.Sprintf("entry-%d-%d", i, k)
		}
		before, after := Holders("i-1", entries), Holders("i-1", append(entries, "entry-added"))
		added := 0
		for _, holder := range after {
			if !slices.Contains(before, holder) {
				added++
			}
		}
		require.LessOrEqual(t, added, 1)
	}
}
