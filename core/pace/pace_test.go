package pace

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is an entry with its view of one upstream.
type entry struct {
	Tracker
	origin   uint64
	estimate Estimate
}

func (e *entry) subject() Subject { return Subject{Tag: 7, Name: "u", Estimate: &e.estimate} }

// passes observes pauses of an engine of the given pace, 50 ms each at the published one, until the
// given time has passed. It returns the end.
func (e *entry) passes(now time.Time, pace float64, during time.Duration) time.Time {
	pause := time.Duration(pace * float64(50*time.Millisecond))
	for end := now.Add(during); now.Before(end); {
		now = now.Add(pause)
		e.Observe(now, e.subject(), Between(pause, 48*time.Millisecond, 55*time.Millisecond), 1)
	}
	return now
}

// tells applies the reports of an entry to another one.
func (e *entry) tells(now time.Time, other *entry) {
	for _, r := range other.Valid(e.TakeReports(now)) {
		other.Apply(now, e.origin, other.subject(), r)
	}
}

func TestSlowUpstreamIsFoundAndTakenBack(t *testing.T) {
	var e entry
	now := e.passes(start, 1, time.Second)
	require.Equal(t, 1.0, e.estimate.Factor(now), "exactly as published")
	now = e.passes(now, 3.4, 700*time.Millisecond)
	require.InDelta(t, 3.4, e.estimate.Factor(now), 0.5)
	now = e.passes(now, 1, 150*time.Millisecond)
	require.Equal(t, 1.0, e.estimate.Factor(now))
	changes := e.TakeChanges()
	require.Len(t, changes, 2)
	require.True(t, changes[0].Slow)
	require.False(t, changes[1].Slow)
}

// Guards against one delayed packet, or load that isn't known here, making an engine look slow.
func TestSingleOutliersDoNotMoveThePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e entry
		now := start
		for range 40 {
			outlier := rapid.IntRange(0, 7).Draw(t, "outlier")
			delay := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			for i := range windowSize {
				pause := 50 * time.Millisecond
				if i == outlier {
					pause += delay
				}
				now = now.Add(pause)
				e.Observe(now, e.subject(), Between(pause, 48*time.Millisecond, 55*time.Millisecond), 1)
				if f := e.estimate.Factor(now); f != 1 {
					t.Fatalf("pace %f", f)
				}
			}
		}
	})
}

// Guards against an upstream that stays unused because nothing shows that it is no longer slow.
func TestPaceIsForgotten(t *testing.T) {
	var e entry
	now := e.passes(start, 5, 2*time.Second)
	require.Greater(t, e.estimate.Factor(now.Add(freshFor)), 4.0)
	require.Less(t, e.estimate.Factor(now.Add(3*time.Second)), 2.0)
	require.Equal(t, 1.0, e.estimate.Factor(now.Add(forgottenAfter)))
}

// Guards against an engine that prefills all the time keeping an estimate that nothing supports.
func TestWideBoundsDoNotKeepAPace(t *testing.T) {
	var e entry
	now := e.passes(start, 3, 2*time.Second)
	for range 60 {
		now = now.Add(80 * time.Millisecond)
		e.Observe(now, e.subject(), Between(80*time.Millisecond, 10*time.Millisecond, 500*time.Millisecond), 1)
	}
	require.Equal(t, 1.0, e.estimate.Factor(now))
}

// Guards against a lying entry: one moves a pace within a bound, and not against own observations.
func TestSingleReporterIsBounded(t *testing.T) {
	for _, claimed := range []float64{Fastest, Slowest} {
		var e entry
		report := Report{Tag: 7, Pace: claimed, Observations: 1000}
		e.Apply(start, 9, e.subject(), report)
		require.LessOrEqual(t, deviation(e.estimate.Factor(start)), maxUnconfirmed)
		now := e.passes(start, 1, 300*time.Millisecond)
		e.Apply(now, 9, e.subject(), report)
		require.Equal(t, 1.0, e.estimate.Factor(now), "own observations go first")
	}
}

// Guards against a liar beside honest entries: the pace is that on which two agree.
func TestTwoReportersMustAgree(t *testing.T) {
	var e entry
	e.Apply(start, 1, e.subject(), Report{Tag: 7, Pace: Slowest, Observations: 9})
	e.Apply(start, 2, e.subject(), Report{Tag: 7, Pace: 3, Observations: 9})
	require.Equal(t, 3.0, e.estimate.Factor(start))
	e.Apply(start, 2, e.subject(), Report{Tag: 7, Pace: 1, Observations: 9})
	require.Equal(t, 1.0, e.estimate.Factor(start))
}

// Guards against a cut: the reports of entries that are out of touch are forgotten.
func TestReportsAreForgotten(t *testing.T) {
	a, b, c := entry{origin: 1}, entry{origin: 2}, entry{origin: 3}
	now := a.passes(start, 3, time.Second)
	b.passes(start, 3, time.Second)
	a.tells(now, &c)
	b.tells(now, &c)
	require.Greater(t, c.estimate.Factor(now), 2.0)
	require.Equal(t, 1.0, c.estimate.Factor(now.Add(forgottenAfter)))
}

// Guards against reports that no correct entry sends: they are dropped and counted.
func TestInvalidReportsAreDropped(t *testing.T) {
	good := Report{Tag: 7, Pace: 2, Observations: 5, AgeMs: 10}
	var e entry
	require.Len(t, e.Valid([]Report{good}), 1)
	spoil := []func(r *Report){
		func(r *Report) { r.Pace = 0 },
		func(r *Report) { r.Pace = -2 },
		func(r *Report) { r.Pace = 2e6 },
		func(r *Report) { r.Pace = 2e-6 },
		func(r *Report) { r.Pace = math.NaN() },
		func(r *Report) { r.Pace = math.Inf(1) },
		func(r *Report) { r.Observations = 0 },
		func(r *Report) { r.Observations = -1 << 40 },
		func(r *Report) { r.AgeMs = -1 },
		func(r *Report) { r.AgeMs = math.MaxInt64 },
	}
	for i, change := range spoil {
		bad := good
		change(&bad)
		require.Empty(t, e.Valid([]Report{bad}), i)
	}
	require.EqualValues(t, len(spoil), e.Dropped())
}

// For arbitrary reports of one entry and arbitrary times, the pace stays within what one entry may
// move, and the reports and changes kept are bounded.
func TestReportsOfOneEntryAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e entry
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
				return Report{
					Tag: 7, Pace: rapid.Float64().Draw(t, "pace"), Observations: rapid.Int().Draw(t, "observations"),
					AgeMs: rapid.Int64Range(-5000, 5000).Draw(t, "age"),
				}
			}), 0, 2*MaxReports).Draw(t, "reports")
			for _, r := range e.Valid(reports) {
				e.Apply(now, 9, e.subject(), r)
			}
			if f := e.estimate.Factor(now); math.IsNaN(f) || deviation(f) > maxUnconfirmed {
				t.Fatalf("pace %f", f)
			}
		}
	})
}

// For arbitrary times of answers, no observation makes a pace leave its bounds.
func TestObservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e entry
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			d := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			e.Observe(now, e.subject(), Between(d("took"), d("shortest"), d("longest")), rapid.IntRange(1, 2).Draw(t, "times"))
			if f := e.estimate.Factor(now); !(f >= Fastest && f <= Slowest) {
				t.Fatalf("pace %f", f)
			}
		}
		if n := len(e.TakeReports(now)); n > MaxReports {
			t.Fatalf("%d reports", n)
		}
	})
}

// Guards against a flood of messages: an unchanged pace is told again only now and then.
func TestReportsAreFew(t *testing.T) {
	var e entry
	now := start
	sent := 0
	for range 100 {
		now = e.passes(now, 3, 100*time.Millisecond)
		sent += len(e.TakeReports(now))
	}
	require.LessOrEqual(t, sent, int(now.Sub(start)/repeatInterval)+3)
	require.GreaterOrEqual(t, sent, 10, "often enough not to be forgotten")
}

// Guards against a busy entry, whose events come in irregular steps, taking an engine as faster than it
// is.
func TestJitterDoesNotMoveThePace(t *testing.T) {
	var e entry
	now := start
	for i := range 60 {
		pause := 50 * time.Millisecond
		if i%2 == 0 {
			pause += 20 * time.Millisecond
		} else {
			pause -= 20 * time.Millisecond
		}
		now = now.Add(pause)
		e.Observe(now, e.subject(), Between(pause, 48*time.Millisecond, 55*time.Millisecond), 1)
		require.Equal(t, 1.0, e.estimate.Factor(now))
	}
}
