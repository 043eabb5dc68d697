package breaker

import (
	"slices"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var settings = Settings{Failures: 3, OpenFor: time.Second, MaxOpenFor: 4 * time.Second, Successes: 2, ProbeTimeout: 5 * time.Second}

type trackedCall struct {
	permit Permit
	period int
	done   bool
}

// naive is a reference implementation of Breaker that evaluates the whole list of events. A
// period is the time between two changes of state.
type naive struct {
	period    int
	state     State
	since     time.Time
	reopened  int
	calls     []*trackedCall
	outcomes  []Outcome
	probeFrom time.Time
}

func (n *naive) enter(state State, now time.Time) {
	n.state, n.since, n.outcomes = state, now, nil
	n.period++
}

func (n *naive) openFor() time.Duration {
	d := settings.OpenFor
	for range n.reopened {
		d = min(2*d, settings.MaxOpenFor)
	}
	return d
}

func (n *naive) runningCall() *trackedCall {
	for _, c := range n.calls {
		if c.period == n.period && !c.done {
			return c
		}
	}
	return nil
}

func (n *naive) advance(now time.Time) {
	if n.state == Open && now.Sub(n.since) >= n.openFor() {
		n.enter(HalfOpen, now)
	}
	if n.state == HalfOpen && n.runningCall() != nil && now.Sub(n.probeFrom) >= settings.ProbeTimeout {
		n.reopened++
		n.enter(Open, now)
	}
}

func (n *naive) allowed() bool {
	return n.state == Closed || n.state == HalfOpen && n.runningCall() == nil
}

func (n *naive) finish(c *trackedCall, now time.Time, outcome Outcome) {
	c.done = true
	if c.period != n.period || outcome == Neutral {
		return
	}
	n.outcomes = append(n.outcomes, outcome)
	run := 0
	for i := len(n.outcomes) - 1; i >= 0 && n.outcomes[i] == outcome; i-- {
		run++
	}
	switch {
	case n.state == Closed && outcome == Failure && run == settings.Failures:
		n.enter(Open, now)
	case n.state == HalfOpen && outcome == Failure:
		n.reopened++
		n.enter(Open, now)
	case n.state == HalfOpen && run == settings.Successes:
		n.reopened = 0
		n.enter(Closed, now)
	}
}

// TestAgainstNaive compares a Breaker with the reference implementation under random calls,
// outcomes and waits.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		b, n := New(settings), &naive{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				waits := []time.Duration{time.Millisecond, settings.OpenFor, settings.ProbeTimeout}
				now = now.Add(rapid.SampledFrom(waits).Draw(t, "wait"))
			},
			"call": func(t *rapid.T) {
				n.advance(now)
				permit, ok := b.Allow(now)
				require.Equal(t, n.allowed(), ok)
				if ok {
					n.probeFrom = now
					n.calls = append(n.calls, &trackedCall{permit: permit, period: n.period})
				}
			},
			"done": func(t *rapid.T) {
				n.advance(now)
				running := slices.DeleteFunc(slices.Clone(n.calls), func(c *trackedCall) bool { return c.done })
				if len(running) == 0 {
					t.Skip()
				}
				call := rapid.SampledFrom(running).Draw(t, "call")
				outcome := rapid.SampledFrom([]Outcome{Success, Failure, Neutral}).Draw(t, "outcome")
				b.Done(call.permit, now, outcome)
				n.finish(call, now, outcome)
			},
			"": func(t *rapid.T) {
				n.advance(now)
				require.Equal(t, n.state, b.State(now))
				require.Equal(t, n.allowed(), b.RetryAfter(now) == 0)
			},
		})
	})
}

// TestOutageLetsFewCallsThrough lets a service fail every call for an hour while callers
// try every millisecond. Without a bound, the retries would flood the service.
func TestOutageLetsFewCallsThrough(t *testing.T) {
	b := New(settings)
	start := time.Unix(0, 0)
	calls := 0
	for now := start; now.Sub(start) < time.Hour; now = now.Add(time.Millisecond) {
		if permit, ok := b.Allow(now); ok {
			calls++
			b.Done(permit, now, Failure)
		}
	}
	longest := int(time.Hour / settings.MaxOpenFor)
	require.LessOrEqual(t, calls, settings.Failures+longest+2)
}
