package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// life returns news of one upstream in the life that began at born.
func life(n int, born int64) []Change {
	changes := upstreams(n)[n-1:]
	changes[0].Born = born
	return changes
}

// Symptom: an upstream that has just started gets nothing, or is asked as if it still read and
// held what it did before. Sequence: it has work, memory, streams and failures on its account;
// it starts again under its id. Cause: what was known of its id was taken for what is known of
// this life.
func TestNewLifeUnderAnIdHasNothingOfTheEarlierOne(t *testing.T) {
	f := newFleet(2, Predicted)
	f.Apply(start, life(2, 1000), false)
	old := f.units["u-0001"]
	for range 4 {
		w := &work{id: WorkID{Origin: 1, Number: f.next + 1}, prompt: 200_000}
		f.next++
		f.place(start, w, plan{first: old, left: time.Second})
	}
	f.Full(start, old.Upstream)
	f.AtFault(start, old.Upstream, start)

	ended := f.Apply(start, life(2, 2000), false)
	require.Equal(t, []Upstream{old.Upstream}, ended)
	u := f.units["u-0001"]
	require.Equal(t, int64(2000), u.Born)
	require.NotEqual(t, old.tag, u.tag, "what others place on the earlier life is none of its work")
	require.Zero(t, u.backlog+u.ahead)
	require.Zero(t, u.streams+u.memory+u.context+len(u.loads))
	require.Zero(t, u.health)
	require.Zero(t, u.full)

	f.Full(start, old.Upstream)
	f.AtFault(start, old.Upstream, start)
	require.Zero(t, u.health, "late words on the earlier life")
	require.Zero(t, u.full)
	for _, w := range f.works {
		f.Ended(start, w.id, Failed)
	}
	require.Zero(t, u.health, "what ran there failed there")
	checkSums(t, f)
}

// Symptom: a request that left an upstream is refused though that has started again since and
// is the only one. Cause: the id was left, not the incarnation.
func TestWhoLeftAnEarlierLifeMayGoToTheNext(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted, Origin: 1})
	f.Apply(start, life(1, 1000), true)
	request := short()
	choice, _ := choose(t, f, start, request)
	request.Exclude = []string{choice.Upstream.Incarnation()}
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
	f.Apply(start, life(1, 2000), false)
	choose(t, f, start, request)
}

// Symptom: live requests are given up. Sequence: the same registration comes again, from an
// answer that was under way for long, or without the time of its start. Cause: any difference
// was taken for a restart.
func TestWhatIsNoRestart(t *testing.T) {
	cases := map[string]Change{
		"the same again":      {Upstream: Upstream{Born: 2000}, Revision: 9},
		"older news":          {Upstream: Upstream{Born: 1000}, Revision: 3},
		"its start not told":  {Upstream: Upstream{}, Revision: 9},
		"draining, same life": {Upstream: Upstream{Born: 2000, Leaving: true}, Revision: 9},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, Predicted)
			first := life(1, 2000)
			first[0].Revision = 5
			f.Apply(start, first, true)
			choose(t, f, start, short())
			next := first[0]
			next.Born, next.Leaving, next.Revision = change.Born, change.Leaving, change.Revision
			require.Empty(t, f.Apply(start, []Change{next}, false))
			u := f.units["u-0000"]
			require.Equal(t, int64(2000), u.Born)
			require.Equal(t, change.Leaving, u.Leaving)
			require.Len(t, u.loads, 1)
		})
	}
}

// The time of day may jump back: a start that seems earlier is a restart all the same.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	f := newFleet(1, Predicted)
	first := life(1, 2000)
	first[0].Revision = 5
	f.Apply(start, first, true)
	next := life(1, 1500)
	next[0].Revision = 6
	require.Len(t, f.Apply(start, next, false), 1)
	require.Equal(t, int64(1500), f.units["u-0000"].Born)
}

// Symptom: an upstream that restarted while the registry was away is taken out again. Sequence:
// its entry lapsed; at the registry's return it is listed with a new start. Cause: the earlier
// life's doubt went on.
func TestRestartEndsTheDoubtAtTheRegistrysReturn(t *testing.T) {
	f := newFleet(2, Predicted)
	f.Apply(start, life(2, 1000), false)
	f.SourceLost(start)
	now := start.Add(time.Second)
	gone := life(2, 1000)
	gone[0].Removed = true
	f.Apply(now, gone, false)
	require.Equal(t, 2, f.Upstreams("model"), "doubted")
	f.Apply(now.Add(100*time.Millisecond), life(2, 2000), false)
	f.Forget(now.Add(10 * time.Second))
	require.Equal(t, 2, f.Upstreams("model"))
}

// Entries that heard of a restart at different times don't put work on each other's lives.
func TestWorkOfAnEarlierLifeIsNotHeardForTheNext(t *testing.T) {
	a, b := newFleet(1, Predicted), newFleet(1, Predicted)
	for _, f := range []*Fleet{a, b} {
		f.Apply(start, life(1, 1000), false)
	}
	choose(t, a, start, short())
	b.Apply(start, life(1, 2000), false)
	b.Heard(start, 2, a.News())
	require.Empty(t, b.units["u-0000"].loads)
}

// Symptom: in a wave of restarts, long prompts are refused as malformed by engines that are well.
// Sequence: an upstream ends and starts again at its address under another id; its earlier entry
// has not lapsed yet; a prompt is to be read by many. Cause: the set had both entries, and so one
// address twice.
func TestNewerEntryOfAnAddressSupersedesTheOlder(t *testing.T) {
	f := newFleet(0, Predicted)
	entries := upstreams(6)
	for i := range entries {
		entries[i].Address = "10.0.0." + entries[i].ID
		entries[i].Revision = uint64(10 + i)
	}
	entries[5].Address = entries[2].Address
	f.Apply(start, entries, true)
	choice, id := choose(t, f, start, heavy(260_000))
	require.Len(t, choice.Helpers, 4)
	used := map[string]bool{choice.Upstream.Address: true}
	for _, helper := range choice.Helpers {
		require.False(t, used[helper.Upstream.Address], helper.Upstream.Address)
		used[helper.Upstream.Address] = true
	}

	f.Ended(start, id, Served)

	// The newer entry may be another writer's: who is found not to be there takes nothing away.
	f.Observe(start, entries[5].Upstream, Misdirected, start)
	choice, _ = choose(t, f, start, heavy(260_000))
	require.True(t, choice.Upstream.ID == entries[2].ID || slices.ContainsFunc(choice.Helpers, func(h Helper) bool {
		return h.Upstream.ID == entries[2].ID
	}))
}

// Symptom: a service has no upstream left although one serves. Sequence: another writer's entry of
// another service names its address. Cause: it was taken for the address's new owner.
func TestEntryOfAnotherServiceDoesNotEmptyOne(t *testing.T) {
	f := newFleet(0, Predicted)
	entries := upstreams(2)
	entries[0].Revision, entries[1].Revision = 1, 2
	entries[1].Service = "other"
	f.Apply(start, entries, true)
	choice, _ := choose(t, f, start, short())
	require.Equal(t, entries[0].ID, choice.Upstream.ID)
}

// Symptom: long prompts fail at one entry after the other. Sequence: several engines have gone; the
// time for which they are left out ends. Cause: sets of many engines were the first to try them.
func TestSetsKeepOffWhatWasProvedToBeGone(t *testing.T) {
	f := newFleet(12, Predicted)
	for i := range 4 {
		f.Observe(start, upstreams(12)[i].Upstream, Misdirected, start)
	}
	now := start.Add(time.Minute)
	choice, _ := choose(t, f, now, heavy(260_000))
	require.Len(t, choice.Helpers, 7)
	for _, helper := range choice.Helpers {
		require.Greater(t, helper.Upstream.ID, "u-0003")
	}
	seen := map[string]bool{}
	for range 100 {
		choice, _ := choose(t, f, now, short())
		seen[choice.Upstream.ID] = true
	}
	require.Contains(t, seen, "u-0000", "a rush of short ones finds out")
}

// Of two entries with one address only the newer replaces the other, and one that is to leave replaces
// none.
func TestNewerEntryOfAnAddressReplacesTheOlder(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted})
	older, newer := Upstream{ID: "a", Service: "s", Address: "x"}, Upstream{ID: "b", Service: "s", Address: "x"}
	f.Apply(time.Now(), []Change{{Upstream: older, Revision: 3}, {Upstream: newer, Revision: 5}}, true)
	require.True(t, f.Replaced(older))
	require.False(t, f.Replaced(newer))
	require.False(t, f.Leaves(older))
	f.Apply(time.Now(), []Change{{Upstream: older, Removed: true}}, false)
	require.True(t, f.Replaced(older), "also once it is no longer listed")
	require.True(t, f.Leaves(older))
	newer.Leaving = true
	f.Apply(time.Now(), []Change{{Upstream: newer, Revision: 6}}, false)
	require.False(t, f.Replaced(older))
}
