package dispatch

import (
	"math"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The reference implementation sums the probabilities of the Poisson distribution by
// factorials.
func TestTakenProbabilitiesFollowPoisson(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := rapid.Float64Range(0.001, 5).Draw(t, "expected")
		probabilities := takenProbabilities(nil, expected, 100)
		require.Equal(t, 1.0, probabilities[0], "a full engine has no slot left")
		fewer := 0.0
		for left := range len(probabilities) + 1 {
			if left < len(probabilities) {
				require.InDelta(t, 1-fewer, probabilities[left], 1e-9)
			} else {
				require.Less(t, 1-fewer, minProbability+1e-9)
			}
			factorial, _ := math.Lgamma(float64(left + 1))
			fewer += math.Exp(float64(left)*math.Log(expected) - factorial - expected)
		}
	})
}

// Guards against an endless loop. If hundreds of thousands of placements are expected, the
// probability of each number of them underflows to zero, so a search that ends only at a
// negligible rest would never end.
func TestTakenProbabilitiesTerminate(t *testing.T) {
	require.Len(t, takenProbabilities(nil, 1e6, 16), 17)
	require.Empty(t, takenProbabilities(nil, 1, -1))
}

// simulateRemotePlacements feeds a fleet with the placements and ends of short prompts at
// another entry, at the given rate for two seconds.
func simulateRemotePlacements(f *Fleet, perSecond int) (now time.Time) {
	for i := range 2 * perSecond {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		number := uint64(i + 1)
		f.ApplyEvents(now, 9, []Event{
			{Kind: Placed, Number: number, First: f.services["model"][0].tag, Prompt: 5000, Output: 1300, AimMs: 300, GapMs: 250, LeftMs: 10_000},
			{Kind: Ended, Number: number},
		})
	}
	return now
}

// Guards against one in ten short prompts being late by the length of a stream on a large,
// nearly idle fleet. A hundred entries get hundreds of prompts a second and choose before they
// learn of each other; they must not all choose the same engine.
func TestSimultaneousChoicesSpreadOverEngines(t *testing.T) {
	const rate = 600
	chosen := map[string]int{}
	for origin := range uint64(100) {
		f := NewFleet(Settings{Rule: Predicted, Origin: origin + 1})
		f.ApplyChanges(start, upstreams(112), true)
		choice, _ := choose(t, f, simulateRemotePlacements(f, rate), short())
		chosen[choice.Upstream.ID]++
	}
	require.Greater(t, len(chosen), 8)
	for id, n := range chosen {
		require.Less(t, n, 25, "%s", id)
	}
}

// Guards against choices that can't be reproduced: the random source is seeded with the origin,
// so two fleets with the same origin and events choose alike.
func TestChoicesAreDeterministic(t *testing.T) {
	run := func() (ids []string) {
		f := newFleet(30, Predicted)
		now := simulateRemotePlacements(f, 300)
		for range 50 {
			choice, _ := choose(t, f, now, short())
			ids = append(ids, choice.Upstream.ID)
		}
		return ids
	}
	require.Equal(t, run(), run())
}

// simulatePrefillDemand records long prompts with the given seconds of prefill per second, for
// three seconds.
func simulatePrefillDemand(t *testing.T, f *Fleet, perSecond float64) (now time.Time) {
	t.Helper()
	const every = 250 * time.Millisecond
	for at := time.Duration(0); at < 3*time.Second; at += every {
		now = start.Add(at)
		f.prefillDemand.Add(now, perSecond*every.Seconds(), demandWindow)
	}
	return now
}

// Guards against refusing long prompts for lack of engines without short streams. Under demand
// for long prompts, a short one must not open another engine for a prefill that ends a few
// hundredths of a second sooner.
func TestShortPromptsAvoidEnginesThatLongPromptsNeed(t *testing.T) {
	for name, demand := range map[string]float64{"long prompts in demand": 7, "no long prompts": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, Predicted)
			now := simulatePrefillDemand(t, f, demand)
			opened := map[string]bool{}
			for range 6 {
				choice, id := choose(t, f, now, short())
				opened[choice.Upstream.ID] = true
				now = now.Add(30 * time.Millisecond)
				f.RecordFirstEvent(now, id)
			}
			if demand > 0 {
				require.Len(t, opened, 1)
			} else {
				require.Greater(t, len(opened), 1)
			}
		})
	}
}

// Guards against refusing short prompts while engines have no streams. Under demand for long
// prompts, with the engines that decode short streams full, the cost of opening another engine
// must not lead to a full one.
func TestShortPromptsUseIdleEngineUnderLongPromptDemand(t *testing.T) {
	f := newFleet(3, Predicted)
	now := simulatePrefillDemand(t, f, 3)
	opened := map[string]bool{}
	for range spec.Slots + 4 {
		choice, id := choose(t, f, now, short())
		opened[choice.Upstream.ID] = true
		now = now.Add(30 * time.Millisecond)
		f.RecordFirstEvent(now, id)
	}
	require.Greater(t, len(opened), 1)
}

// Guards against streams that reach their deadline before their last event. A stream is decoded
// on an engine that prefills in nearly every pass; although no single pause is too long, further
// prompts must have a cost there that keeps them off.
func TestPrefillThatDelaysStreamsPastDeadlineIsCharged(t *testing.T) {
	f := newFleet(2, Predicted)
	slow := f.services["model"][0]
	pl := &placement{id: PlacementID{Number: 1}, promptTokens: 5000, outputTokens: 38 * spec.Stride, target: start, gapTarget: 250 * time.Millisecond,
		streaming: true, firstEventAt: start, expiresAt: start.Add(4500*time.Millisecond + expiryMargin)}
	f.place(start, pl, plan{primary: slow})
	slow.prefillUtilisation = 0.6
	s := &f.search
	s.now, s.spec, s.request = start, spec, short()
	l := pl.loads[0]
	s.predictEnds(slow)
	require.Positive(t, l.overrunProbability(60*time.Millisecond))
	require.Greater(t, s.streamCost(slow, 60*time.Millisecond), 0.05, "38 events at 112 ms each hardly fit into 4.5 s")
	slow.prefillUtilisation = 0
	s.predictEnds(slow)
	require.Zero(t, l.overrunProbability(60*time.Millisecond), "38 events at 45 ms each fit")
	pl.streaming = false
	s.predictEnds(slow)
	require.Zero(t, l.overrunProbability(60*time.Millisecond))
}

func TestPrefillUtilisationIsShareOfTimePrefilling(t *testing.T) {
	f := newFleet(1, Predicted)
	u := f.services["model"][0]
	u.advance(start)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		f.place(now, &placement{id: PlacementID{Number: uint64(i)}}, plan{primary: u, partTime: 40 * time.Millisecond})
	}
	u.advance(start.Add(4 * time.Second))
	require.InDelta(t, 0.4, u.prefillUtilisation, 0.05)
	u.advance(start.Add(5 * time.Second))
	u.advance(start.Add(9 * time.Second))
	require.Less(t, u.prefillUtilisation, 0.1)
}
