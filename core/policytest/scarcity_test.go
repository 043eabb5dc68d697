package policytest

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/enginemodel"
	"github.com/stretchr/testify/require"
)

// scarceDeployment has short prompts that take all slots of its engines at twice their usual rate.
var scarceDeployment = &deployment{
	name: "scarce", engines: 40, entries: 8, spec: scarceSpec, entryDelay: 900 * time.Microsecond,
	classes: []requestClass{
		{"short", 90, 4960, 36, 0.9, 23_800, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
		{"middle", 2.5, 45_000, 21, 0.5, 110_000, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.3, 0.82},
		{"heavy", 0.1, 260_000, 18, 0.55, 900_000, 4 * time.Second, time.Second, 15 * time.Second, 34, 8.6},
	},
}

var scarceSpec = &enginemodel.Spec{
	Slots: 12, MemoryTokens: 344_000, Stride: 38, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, PrefillRate: 154_000,
	PerPair: 0.162, Chunk: 2048, Hop: 100 * time.Microsecond,
	MeanPromptTokens: 7000, MeanAnswerTokens: 1340,
}

// scarceGoodput returns the goodput of the deployment with scarce slots at a load.
func scarceGoodput(load float64) (goodput, map[string]outcomeCounts) {
	prompts := scarceDeployment.simulate(variant{dispatch.Predicted, sharedView}, 1, load, even)
	return goodputOf(prompts), countOutcomes(prompts)
}

// Guards against engine time that goes into late answers when slots run out: goodput then falls to 0.7
// of its peak at one and a half times the load of the peak, and to 0.6 at three times.
func TestGoodputHoldsWhenSlotsRunOut(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{1.8, 2} {
		g, counts := scarceGoodput(load)
		t.Logf("load %.1f goodput %.1f %+v", load, g.valuePerSecond, counts)
		peak = max(peak, g.valuePerSecond)
	}
	for load, share := range map[float64]float64{3: 0.97, 4: 0.97, 6: 0.9} {
		g, counts := scarceGoodput(load)
		t.Logf("load %.1f goodput %.1f %+v", load, g.valuePerSecond, counts)
		require.Greater(t, g.valuePerSecond, share*peak, "load %.1f", load)
	}
}

// simulateOrganisations simulates twice a load, of which one organisation sends half, or only the other
// half, from many small organisations. It returns the share of the short prompts of the small ones that
// are served in time, and the goodput.
func simulateOrganisations(load float64, withLarge bool) (others float64, all goodput) {
	var prompts []*prompt
	for i, p := range scarceDeployment.drawPrompts(1, 2*load, even) {
		switch {
		case i%2 == 0:
			p.organisation = fmt.Sprint("small ", i/2%23)
		case withLarge:
			p.organisation = "large"
		default:
			continue
		}
		prompts = append(prompts, p)
	}
	newSimulator(scarceDeployment, dispatch.Predicted, sharedView).simulate(prompts)
	sent, inTime := 0, 0
	for _, p := range prompts {
		if p.class.name != "short" || p.organisation == "large" {
			continue
		}
		sent++
		if !p.refused && !p.late {
			inTime++
		}
	}
	return float64(inTime) / float64(sent), goodputOf(prompts)
}

// Guards against one organisation that takes the engine time of the others: without shares, half of
// what the small ones get alone is left to them beside it at 1.5 times the load, and 0.3 at twice.
func TestLargeOrganisationLeavesTheOthersTheirShares(t *testing.T) {
	for load, share := range map[float64]float64{1.5: 0.8, 2: 0.7} {
		alone, _ := simulateOrganisations(load, false)
		beside, all := simulateOrganisations(load, true)
		t.Logf("load 2 x %.1f: others %.3f alone, %.3f beside; goodput %.1f", load, alone, beside, all.valuePerSecond)
		require.Greater(t, beside, share*alone, "load 2 x %.1f", load)
	}
}
