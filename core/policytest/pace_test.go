package policytest

import (
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// slowBetween is the pace of an engine that is slow for a time.
func slowBetween(pace float64, from, until time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from || now >= until {
			return 1
		}
		return pace
	}
}

// simulateSlow simulates a deployment in which every fifth engine is slow for ten seconds.
func simulateSlow(d *deployment, seed uint64, load, pace float64, pattern trafficPattern) ([]*prompt, *simulator) {
	prompts := d.drawPrompts(seed, load, pattern)
	s := newSimulator(d, dispatch.Predicted, sharedView)
	n := 0
	for _, e := range s.engines {
		if id := e.id[len(e.id)-1]; id == '2' || id == '7' {
			e.pace = slowBetween(pace, 5*time.Second, 15*time.Second)
			n++
		}
	}
	s.simulate(prompts)
	return prompts, s
}

func TestSlowEnginesExplore(t *testing.T) {
	for _, d := range []*deployment{usualDeployment, middleDeployment} {
		for _, load := range []float64{0.6, 0.9} {
			for _, pace := range []float64{3, 5} {
				var all [][]*prompt
				v := 0.0
				for seed := range uint64(10) {
					p, _ := simulateSlow(d, seed+1, load, pace, even)
					all = append(all, p)
					v += goodputOf(p).valueShare / 10
				}
				t.Logf("%s load %.1f pace %.0f: worth %.3f %+v", d.name, load, pace, v, countOutcomes(all...))
			}
		}
	}
	require.True(t, true)
}
