package policytest

import (
	"testing"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// simulateSeeds simulates a deployment with predicted choices and a shared view, once for each
// seed from 1.
func simulateSeeds(d *deployment, seeds uint64, load float64, pattern trafficPattern) [][]*prompt {
	simulations := make([][]*prompt, seeds)
	for i := range simulations {
		simulations[i] = d.simulate(variant{dispatch.Predicted, sharedView}, uint64(i)+1, load, pattern)
	}
	return simulations
}

// Many prompts of middle length are prefilled in parts by engines that decode streams, and
// prefill takes a third of the engines' time. Each part pauses the engine's streams. One pause
// is acceptable, but if the choice of engines ignores the sum of the pauses, streams exceed
// their deadline with dozens of events left.
func TestStartedStreamsMeetTheirDeadline(t *testing.T) {
	const load = 0.46 // at this load middleDeployment needs a third of the engines' time
	for class, counts := range countOutcomes(simulateSeeds(middleDeployment, 5, load, even)...) {
		t.Logf("%s: %+v", class, counts)
		require.Zero(t, counts.deadlineExceeded, "%s prompts exceeded their deadline", class)
	}
}

// In a phase of many short prompts, 103 entries would all choose the same engine, the best one
// that they know of. Its last slots would be taken before the entries learn of each other's
// placements, and one short prompt in eight would be late although prefill takes only an
// eighth of the engines' time.
func TestShortPromptsMeetTargetsOnLargeFleet(t *testing.T) {
	short := countOutcomes(simulateSeeds(largeDeployment, 1, 1, phases)...)["short"]
	t.Logf("%+v, late %.3f", short, short.share(short.late))
	require.Less(t, short.share(short.late), 0.08)
	require.Less(t, short.share(short.deadlineExceeded+short.refused), 0.005)
}

// An engine that decodes a short stream may not prefill a heavy prompt. If each short prompt
// of a burst went to the engine that ends its prefill a little sooner, every engine would
// decode a short stream, and a quarter of the heavy prompts would be refused although engines
// have time.
func TestShortPromptsKeepEnginesFreeForLongPrompts(t *testing.T) {
	counts := countOutcomes(simulateSeeds(usualDeployment, 6, 1, bursts)...)
	heavy, short := counts["heavy"], counts["short"]
	t.Logf("heavy %+v, refused %.3f; short %+v, late %.3f", heavy, heavy.share(heavy.refused), short, short.share(short.late))
	require.Less(t, heavy.share(heavy.refused), 0.2)
	require.Less(t, short.share(short.late+short.deadlineExceeded+short.refused), 0.08)
}
