package policytest

import (
	"fmt"
	"testing"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// variant is a dispatch rule combined with a visibility.
type variant struct {
	rule       dispatch.Rule
	visibility visibility
}

var variants = []variant{
	{dispatch.LeastOutstanding, ownView},
	{dispatch.LeastOutstanding, instantView},
	{dispatch.Predicted, ownView},
	{dispatch.Predicted, sharedView},
	{dispatch.Predicted, instantView},
}

// simulate draws prompts, simulates them and returns them with their outcomes.
func (d *deployment) simulate(v variant, seed uint64, load float64, pattern trafficPattern) []*prompt {
	prompts := d.drawPrompts(seed, load, pattern)
	newSimulator(d, v.rule, v.visibility).simulate(prompts)
	return prompts
}

func simulateGoodput(v variant, seed uint64, load float64, pattern trafficPattern) goodput {
	return goodputOf(usualDeployment.simulate(v, seed, load, pattern))
}

// seedCount is the number of seeds over which results are averaged.
const seedCount = 5

// meanGoodput is the mean goodput over some seeds; lowest and highest are the range of
// valueShare, and refused is a sum.
type meanGoodput struct {
	valueShare, lowest, highest float64
	valuePerSecond              float64
	shareByClass                map[string]float64
	refused                     int
}

// String returns a row of docs/EVIDENCE.md.
func (m meanGoodput) String() string {
	return fmt.Sprintf("worth %.3f (%.3f to %.3f) goodput %5.1f/s short %.2f middle %.2f heavy %.2f refused %d",
		m.valueShare, m.lowest, m.highest, m.valuePerSecond, m.shareByClass["short"], m.shareByClass["middle"], m.shareByClass["heavy"], m.refused)
}

func meanGoodputOf(v variant, seeds int, load float64, pattern trafficPattern) meanGoodput {
	m := meanGoodput{lowest: 1, shareByClass: make(map[string]float64)}
	for seed := range uint64(seeds) {
		g := simulateGoodput(v, seed+1, load, pattern)
		m.valueShare += g.valueShare / float64(seeds)
		m.valuePerSecond += g.valuePerSecond / float64(seeds)
		m.lowest, m.highest = min(m.lowest, g.valueShare), max(m.highest, g.valueShare)
		m.refused += g.refused
		for name, share := range g.shareByClass {
			m.shareByClass[name] += share / float64(seeds)
		}
	}
	return m
}

// Guards against predicted choices with a shared view that give no more goodput than the
// baseline, or than predicted choices without a shared view. The log of this test is the table
// in docs/EVIDENCE.md.
//
//	go test -v -run TestGoodput ./core/policytest
func TestGoodput(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 2.5, 3} {
		t.Run(fmt.Sprintf("%.1fx", load), func(t *testing.T) {
			t.Parallel()
			valueShares := make(map[variant]float64)
			for _, v := range variants {
				m := meanGoodputOf(v, seedCount, load, bursts)
				valueShares[v] = m.valueShare
				t.Logf("%-18s %-12s %s", v.rule, v.visibility, m)
			}
			shared := valueShares[variant{dispatch.Predicted, sharedView}]
			require.Greater(t, shared, valueShares[variant{dispatch.LeastOutstanding, ownView}], "the baseline")
			require.Greater(t, shared, valueShares[variant{dispatch.Predicted, ownView}], "without a shared view")
		})
	}
}

// At three times the usual load short prompts arrive faster than slots are freed. If none is
// refused, each waits in an engine's queue until it is late and delays those behind it, and
// the goodput falls to half of that at twice the load.
func TestGoodputHoldsBeyondPeakLoad(t *testing.T) {
	v := variant{dispatch.Predicted, sharedView}
	peak := 0.0
	for _, load := range []float64{1.5, 2, 2.5} {
		peak = max(peak, meanGoodputOf(v, 2, load, bursts).valuePerSecond)
	}
	beyond := meanGoodputOf(v, 2, 3, bursts)
	t.Logf("peak %.1f/s, at three times the load %s", peak, beyond)
	require.Greater(t, beyond.valuePerSecond, 0.75*peak)
}

// Guards against results of the simulation that can't be repeated from its seed.
func TestSimulationIsDeterministic(t *testing.T) {
	v := variant{dispatch.Predicted, sharedView}
	require.Equal(t, simulateGoodput(v, 3, 1, bursts), simulateGoodput(v, 3, 1, bursts))
}
