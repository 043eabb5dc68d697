package policytest

import (
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// slowFor returns the pace of an engine that is slow for a time.
func slowFor(pace float64, from, until time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < from || now >= until {
			return 1
		}
		return pace
	}
}

// simulateSlow simulates a deployment in which every fifth engine is slow for a time.
func simulateSlow(d *deployment, seed uint64, load float64, slow func(time.Duration) float64) ([]*prompt, *simulator) {
	prompts := d.drawPrompts(seed, load, even)
	s := newSimulator(d, dispatch.Predicted, sharedView)
	for id, e := range s.engines {
		if slices.Contains([]byte("27"), id[len(id)-1]) {
			e.pace = slow
		}
	}
	s.simulate(prompts)
	return prompts, s
}

// slowSeeds is the number of seeds of the simulations with slow engines.
const slowSeeds = 6

// Some engines take three times as long for ten seconds. With their pace unknown, one in fifteen short
// prompts and one in seven of middle length would be late or miss its deadline.
func TestSlowEnginesMakeFewPromptsLate(t *testing.T) {
	for _, c := range []struct {
		deployment *deployment
		class      string
		most       float64
	}{{usualDeployment, "short", 0.045}, {middleDeployment, "middle", 0.115}} {
		var all [][]*prompt
		for seed := range uint64(slowSeeds) {
			prompts, _ := simulateSlow(c.deployment, seed+1, 0.6, slowFor(3, 5*time.Second, 15*time.Second))
			all = append(all, prompts)
		}
		counts := countOutcomes(all...)[c.class]
		t.Logf("%s, %s: %+v, late %.3f", c.deployment.name, c.class, counts, counts.share(counts.late+counts.deadlineExceeded))
		require.Less(t, counts.share(counts.late+counts.deadlineExceeded), c.most)
	}
}

// longDeployment has long prompts only, so that no engine is packed with streams on purpose.
var longDeployment = &deployment{
	name: "long", engines: 14, entries: 4, spec: publishedSpec, entryDelay: 1400 * time.Microsecond,
	classes: []requestClass{usualClasses[2]},
}

// An engine that is three times slower gets about a third of the work. By their own pace, the busiest
// engine works hardly more than the mean.
func TestLoadFollowsPace(t *testing.T) {
	const pace = 3
	meanBusiest, meanPart := 0.0, 0.0
	for seed := range uint64(slowSeeds) {
		_, s := simulateSlow(longDeployment, seed+1, 3, slowFor(pace, 0, time.Hour))
		var most, sum, slow, fast time.Duration
		var slowCount, fastCount time.Duration
		for _, e := range s.engines {
			most, sum = max(most, e.worked), sum+e.worked
			if e.pace != nil {
				slow, slowCount = slow+e.worked/pace, slowCount+1
			} else {
				fast, fastCount = fast+e.worked, fastCount+1
			}
		}
		busiest := most.Seconds() / sum.Seconds() * float64(len(s.engines))
		part := (slow / slowCount).Seconds() / (fast / fastCount).Seconds()
		t.Logf("busiest to mean %.2f, a slow engine's part %.2f", busiest, part)
		meanBusiest += busiest / slowSeeds
		meanPart += part / slowSeeds
	}
	t.Logf("means %.2f, %.2f", meanBusiest, meanPart)
	require.Less(t, meanBusiest, 1.3)
	require.InDelta(t, 1.0/pace, meanPart, 0.15)
}
