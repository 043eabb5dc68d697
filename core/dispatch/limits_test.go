package dispatch

import (
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"github.com/stretchr/testify/require"
)

// named returns an answer that names a rate, to a request sent at sent and received 10 ms later.
func named(rate ratelimit.Rate, sent time.Time, complete bool) LimitAnswer {
	return LimitAnswer{Statement: ratelimit.Statement{Rate: rate}, SentAt: sent, ReceivedAt: sent.Add(10 * time.Millisecond), Complete: complete}
}

// Guards against an answer that breaks off, is malformed or was sent before the limit was named and
// lifts or raises the limit.
func TestLimitHoldsUntilACompleteAnswerLiftsIt(t *testing.T) {
	f := newFleet(2, Predicted)
	upstream := f.upstreams["u-0000"].Upstream
	observe := func(a LimitAnswer) ratelimit.Rate {
		f.ObserveLimit(a.ReceivedAt, upstream, a)
		return f.RateLimit(upstream)
	}
	later := start.Add(time.Second)
	require.Equal(t, ratelimit.Rate(3), observe(named(3, start, false)))
	require.Equal(t, ratelimit.Rate(2), observe(named(2, start, false)))
	require.Equal(t, ratelimit.Rate(2), observe(named(5, later, false)), "not complete yet")
	require.Equal(t, ratelimit.Rate(2), observe(named(0, later, false)), "not complete yet")
	require.Equal(t, ratelimit.Rate(2), observe(named(0, start, true)), "sent before the limit was named")
	malformed := named(0, later, true)
	malformed.Malformed = true
	require.Equal(t, ratelimit.Rate(2), observe(malformed))
	require.Equal(t, ratelimit.Rate(5), observe(named(5, later, true)))
	require.Equal(t, ratelimit.Rate(0), observe(named(0, later.Add(time.Second), true)))
	require.Len(t, f.TakeLimitChanges(), 4)
	require.Empty(t, f.TakeLimitChanges())
}

// Guards against an upstream that starts again and inherits the limit of its earlier incarnation.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ApplyChanges(start, incarnation(2, 1000), false)
	old := f.upstreams["u-0001"].Upstream
	f.ObserveLimit(start, old, named(2, start, true))
	f.ApplyChanges(start, incarnation(2, 2000), false)
	require.Zero(t, f.RateLimit(f.upstreams["u-0001"].Upstream))
	f.ObserveLimit(start, old, named(2, start, true))
	require.Zero(t, f.Limited(), "an answer of the earlier incarnation")
}

// Guards against an upstream whose rate limit is forgotten because its registration lapsed or couldn't
// be read for a time.
func TestLimitOutlivesItsRegistration(t *testing.T) {
	absences := map[string]Change{
		"removed":    {Upstream: Upstream{ID: "u-0001"}, Removed: true},
		"unreadable": {Upstream: Upstream{ID: "u-0001"}, Unreadable: true},
	}
	for name, absence := range absences {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, Predicted)
			f.SetEntries(start, []string{""})
			upstream := f.upstreams["u-0001"].Upstream
			f.ObserveLimit(start, upstream, named(3, start, true))
			f.ApplyChanges(start, []Change{absence}, false)
			require.Zero(t, f.Limited())
			f.ObserveLimit(start.Add(time.Second), upstream, named(2, start.Add(time.Second), true))
			f.RemoveExpired(start.Add(time.Minute))
			f.ApplyChanges(start.Add(time.Minute), []Change{{Upstream: upstream, Revision: 9}}, false)
			require.Equal(t, ratelimit.Rate(2), f.RateLimit(upstream), "the newest one, named while it wasn't registered")
			wait, granted := f.OwnPermit(start.Add(time.Minute), upstream, time.Second)
			require.True(t, granted, "wait %v", wait)
		})
	}
}
