package dispatch

import (
	"math"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The naive version adds up the probabilities of Poisson's distribution by factorials.
func TestChancesTakenAreThoseOfIndependentChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := rapid.Float64Range(0.001, 5).Draw(t, "expected")
		chances := chancesTaken(nil, expected, 100)
		require.Equal(t, 1.0, chances[0], "a full engine is taken")
		fewer := 0.0
		for left := range len(chances) + 1 {
			if left < len(chances) {
				require.InDelta(t, 1-fewer, chances[left], 1e-9)
			} else {
				require.Less(t, 1-fewer, seldom+1e-9)
			}
			factorial, _ := math.Lgamma(float64(left + 1))
			fewer += math.Exp(float64(left)*math.Log(expected) - factorial - expected)
		}
	})
}

// Symptom: an entry stands still. Sequence: it hears of hundreds of thousands of placements at
// once. Cause: the chance of each number of them is too small for a float, and the search for one
// that no longer counts never ends.
func TestChancesTakenEnd(t *testing.T) {
	require.Len(t, chancesTaken(nil, 1e6, 16), 17)
	require.Empty(t, chancesTaken(nil, 1, -1))
}

// hearOthers tells a fleet of short prompts that others place, so many a second for two
// seconds, and of their ends.
func hearOthers(f *Fleet, perSecond int) (now time.Time) {
	for i := range 2 * perSecond {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		number := uint64(i + 1)
		f.Heard(now, 9, []Event{
			{Kind: Placed, Number: number, First: f.services["model"][0].tag, Prompt: 5000, Output: 1300, AimMs: 300, GapMs: 250, LeftMs: 10_000},
			{Kind: Ended, Number: number},
		})
	}
	return now
}

// Symptom: of the short prompts on a large and nearly idle fleet one in ten is late by the length
// of a stream. Sequence: hundreds a second come to a hundred entries, which choose before they
// hear of each other. Cause: the best engine was the same for all of them, and full.
func TestEntriesThatChooseAtOnceSpread(t *testing.T) {
	const rush = 600
	chosen := map[string]int{}
	for origin := range uint64(100) {
		f := NewFleet(Settings{Rule: Predicted, Origin: origin + 1})
		f.Apply(start, upstreams(112), true)
		choice, _ := choose(t, f, hearOthers(f, rush), short())
		chosen[choice.Upstream.ID]++
	}
	require.Greater(t, len(chosen), 8)
	for id, n := range chosen {
		require.Less(t, n, 25, "%s", id)
	}
}

func TestChoicesRepeat(t *testing.T) {
	play := func() (ids []string) {
		f := newFleet(30, Predicted)
		now := hearOthers(f, 300)
		for range 50 {
			choice, _ := choose(t, f, now, short())
			ids = append(ids, choice.Upstream.ID)
		}
		return ids
	}
	require.Equal(t, play(), play())
}

// press places and ends long prompts on a fleet, so many reading seconds a second for three
// seconds.
func press(t *testing.T, f *Fleet, perSecond float64) (now time.Time) {
	t.Helper()
	const every = 250 * time.Millisecond
	for at := time.Duration(0); at < 3*time.Second; at += every {
		now = start.Add(at)
		f.longReading.Add(now, perSecond*every.Seconds(), demandOver)
	}
	return now
}

// Symptom: long prompts are refused for lack of engines on which no short stream pauses.
// Sequence: they press; short prompts come. Cause: a short prompt opened one more engine to be
// read a few hundredths of a second sooner.
func TestShortPromptsOpenNoEngineThatLongOnesNeed(t *testing.T) {
	for name, demand := range map[string]float64{"long prompts press": 7, "none come": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, Predicted)
			now := press(t, f, demand)
			opened := map[string]bool{}
			for range 6 {
				choice, id := choose(t, f, now, short())
				opened[choice.Upstream.ID] = true
				now = now.Add(30 * time.Millisecond)
				f.Begun(now, id)
			}
			if demand > 0 {
				require.Len(t, opened, 1)
			} else {
				require.Greater(t, len(opened), 1)
			}
		})
	}
}

// Symptom: short prompts are sent back while engines write nothing. Sequence: long prompts
// press, and those engines that write short streams are full. Cause: the price of opening one
// more was not worth a place, and a full engine was chosen.
func TestNoShortPromptIsSentBackWhileAnEngineWritesNothing(t *testing.T) {
	f := newFleet(3, Predicted)
	now := press(t, f, 3)
	opened := map[string]bool{}
	for range spec.Slots + 4 {
		choice, id := choose(t, f, now, short())
		opened[choice.Upstream.ID] = true
		now = now.Add(30 * time.Millisecond)
		f.Begun(now, id)
	}
	require.Greater(t, len(opened), 1)
}

// Symptom: a stream ends by its deadline with most of its events out. Sequence: it is written on
// an engine that reads in nearly every pass; further prompts come. Cause: no pause was too long,
// so that nothing kept them off.
func TestEngineWhoseStreamWouldNotEndInTimeIsLeftAlone(t *testing.T) {
	f := newFleet(2, Predicted)
	slow := f.services["model"][0]
	w := &work{id: WorkID{Number: 1}, prompt: 5000, output: 38 * spec.Stride, aim: start, gapAim: 250 * time.Millisecond,
		begun: true, begunAt: start, over: start.Add(4500*time.Millisecond + forgetSlack)}
	f.place(start, w, plan{first: slow})
	slow.busy = 0.6
	s := &f.search
	s.now, s.spec, s.request = start, spec, short()
	l := w.loads[0]
	s.foreseeEnds(slow)
	require.Positive(t, l.overrun(60*time.Millisecond))
	require.Greater(t, s.gaps(slow, 60*time.Millisecond), 0.05, "38 events of 112 ms hardly fit into four and a half seconds")
	slow.busy = 0
	s.foreseeEnds(slow)
	require.Zero(t, l.overrun(60*time.Millisecond), "at 45 ms each they do")
	w.begun = false
	s.foreseeEnds(slow)
	require.Zero(t, l.overrun(60*time.Millisecond))
}

func TestBusyIsTheShareOfTimeSpentReading(t *testing.T) {
	f := newFleet(1, Predicted)
	u := f.services["model"][0]
	u.drain(start)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		f.place(now, &work{id: WorkID{Number: uint64(i)}}, plan{first: u, left: 40 * time.Millisecond})
	}
	u.drain(start.Add(4 * time.Second))
	require.InDelta(t, 0.4, u.busy, 0.05)
	u.drain(start.Add(5 * time.Second))
	u.drain(start.Add(9 * time.Second))
	require.Less(t, u.busy, 0.1)
}
