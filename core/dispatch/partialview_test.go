package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entriesOf returns the names of n entries.
func entriesOf(n int) []string {
	vms := make([]string, n)
	for i := range vms {
		vms[i] = string(rune('a'+i/26)) + string(rune('a'+i%26))
	}
	return vms
}

// mostAtOneEngine returns the most prompts that one engine gets if each of the entries, linked to the given
// number of others, places prompts of which the others hear nothing.
func mostAtOneEngine(t *testing.T, engines, entries, linked, prompts int) int {
	chosen := make(map[string]int)
	most := 0
	for i := range entries {
		f := NewFleet(Settings{Rule: Predicted, Origin: uint64(i) + 1})
		f.ApplyChanges(start, upstreams(engines), true)
		f.SetEntries(start, entriesOf(entries))
		f.SetLinked(linked)
		for n := range prompts {
			choice, _ := choose(t, f, start.Add(time.Duration(n)*30*time.Millisecond), short())
			chosen[choice.Upstream.ID]++
			most = max(most, chosen[choice.Upstream.ID])
		}
	}
	return most
}

// Guards against engines that are filled beyond their slots while others are idle, because callers
// return before the entries are linked.
func TestEntriesThatDoNotSeeEachOtherSpreadTheirRequests(t *testing.T) {
	require.LessOrEqual(t, mostAtOneEngine(t, 68, 32, 0, 9), spec.Slots)
	require.LessOrEqual(t, mostAtOneEngine(t, 18, 3, 0, 20), spec.Slots)
	require.LessOrEqual(t, mostAtOneEngine(t, 68, 32, 10, 9), spec.Slots, "behind a partition")
}

// Guards against entries that stop packing although they see most of what others place.
func TestEntriesThatSeeMostOthersPackTheirRequests(t *testing.T) {
	require.Greater(t, mostAtOneEngine(t, 68, 32, 20, 9), 2*spec.Slots)
	require.Greater(t, mostAtOneEngine(t, 68, 1, 0, 9), 2, "a single entry")
}

// Guards against sets of several entries that all use the same engines, because no entry sees the others'.
func TestSetsOfEntriesThatDoNotSeeEachOtherDiffer(t *testing.T) {
	used := make(map[string]int)
	for origin := range uint64(8) {
		f := NewFleet(Settings{Rule: Predicted, Origin: 7 * (origin + 1)})
		f.ApplyChanges(start, upstreams(68), true)
		f.SetEntries(start, entriesOf(8))
		choice, _ := choose(t, f, start, heavy(60_000))
		used[choice.Upstream.ID]++
		for _, helper := range choice.Helpers {
			used[helper.Upstream.ID]++
		}
	}
	for id, n := range used {
		require.LessOrEqual(t, n, 4, "%s", id)
	}
}
