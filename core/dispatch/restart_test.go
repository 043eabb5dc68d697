package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// incarnation returns the registration of the nth upstream with the given start time.
func incarnation(n int, startedAt int64) []Change {
	changes := upstreams(n)[n-1:]
	changes[0].StartedAtMs = startedAt
	return changes
}

// Guards against treating a restarted upstream as if it had the load, memory, streams and
// failures of the previous incarnation under the same ID.
func TestNewIncarnationInheritsNoState(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ApplyChanges(start, incarnation(2, 1000), false)
	old := f.upstreams["u-0001"]
	for range 4 {
		pl := &placement{id: PlacementID{Origin: 1, Number: f.lastPlacementNumber + 1}, promptTokens: 200_000}
		f.lastPlacementNumber++
		f.place(start, pl, plan{primary: old, partTime: time.Second})
	}
	f.MarkFull(start, old.Upstream)
	f.RecordFault(start, old.Upstream, start)

	ended := f.ApplyChanges(start, incarnation(2, 2000), false)
	require.Equal(t, []Upstream{old.Upstream}, ended)
	u := f.upstreams["u-0001"]
	require.Equal(t, int64(2000), u.StartedAtMs)
	require.NotEqual(t, old.tag, u.tag, "placements on the previous incarnation don't count")
	require.Zero(t, u.backlog+u.partBacklog)
	require.Zero(t, u.streams+u.memoryTokens+u.contextTokens+len(u.loads))
	require.Zero(t, u.health)
	require.Zero(t, u.fullUntil)

	f.MarkFull(start, old.Upstream)
	f.RecordFault(start, old.Upstream, start)
	require.Zero(t, u.health, "late evidence on the previous incarnation")
	require.Zero(t, u.fullUntil)
	for _, pl := range f.placements {
		f.RecordEnd(start, pl.id, Failed)
	}
	require.Zero(t, u.health, "failures of the previous incarnation")
	checkSums(t, f)
}

// Guards against refusing a request because it excluded the previous incarnation of the only
// upstream.
func TestExcludedIncarnationDoesNotExcludeTheNext(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted, Origin: 1})
	f.ApplyChanges(start, incarnation(1, 1000), true)
	request := short()
	choice, _ := choose(t, f, start, request)
	request.Exclude = []string{choice.Upstream.Incarnation()}
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
	f.ApplyChanges(start, incarnation(1, 2000), false)
	choose(t, f, start, request)
}

// Guards against ending requests that still run: a repeated, outdated or incomplete registration
// is not a restart.
func TestRegistrationChangesThatAreNoRestart(t *testing.T) {
	cases := map[string]Change{
		"repeated":                   {Upstream: Upstream{StartedAtMs: 2000}, Revision: 9},
		"outdated":                   {Upstream: Upstream{StartedAtMs: 1000}, Revision: 3},
		"without start time":         {Upstream: Upstream{}, Revision: 9},
		"draining, same incarnation": {Upstream: Upstream{StartedAtMs: 2000, Draining: true}, Revision: 9},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, Predicted)
			first := incarnation(1, 2000)
			first[0].Revision = 5
			f.ApplyChanges(start, first, true)
			choose(t, f, start, short())
			next := first[0]
			next.StartedAtMs, next.Draining, next.Revision = change.StartedAtMs, change.Draining, change.Revision
			require.Empty(t, f.ApplyChanges(start, []Change{next}, false))
			u := f.upstreams["u-0000"]
			require.Equal(t, int64(2000), u.StartedAtMs)
			require.Equal(t, change.Draining, u.Draining)
			require.Len(t, u.loads, 1)
		})
	}
}

// The system clock may be set back: an earlier start time is a restart all the same.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	f := newFleet(1, Predicted)
	first := incarnation(1, 2000)
	first[0].Revision = 5
	f.ApplyChanges(start, first, true)
	next := incarnation(1, 1500)
	next[0].Revision = 6
	require.Len(t, f.ApplyChanges(start, next, false), 1)
	require.Equal(t, int64(1500), f.upstreams["u-0000"].StartedAtMs)
}

// Guards against removing an upstream that restarted during a registry outage. Its registration
// lapsed, and at the registry's return it is listed with a new start time; the pending removal
// of the previous incarnation must not apply to it.
func TestRestartCancelsPendingRemoval(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ApplyChanges(start, incarnation(2, 1000), false)
	f.loseRegistry()
	now := start.Add(time.Second)
	gone := incarnation(2, 1000)
	gone[0].Removed = true
	f.ApplyChanges(now, gone, false)
	require.Equal(t, 2, f.Upstreams("model"), "the removal is deferred")
	f.ApplyChanges(now.Add(100*time.Millisecond), incarnation(2, 2000), false)
	f.RemoveExpired(now.Add(10 * time.Second))
	require.Equal(t, 2, f.Upstreams("model"))
}

// Entries that learn of a restart at different times don't count placements on one incarnation
// for another.
func TestEventsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	a, b := newFleet(1, Predicted), newFleet(1, Predicted)
	for _, f := range []*Fleet{a, b} {
		f.ApplyChanges(start, incarnation(1, 1000), false)
	}
	choose(t, a, start, short())
	b.ApplyChanges(start, incarnation(1, 2000), false)
	b.ApplyEvents(start, 2, a.TakeEvents())
	require.Empty(t, b.upstreams["u-0000"].loads)
}

// Guards against long prompts refused as malformed during restarts. An upstream restarts at its
// address under another ID while its old registration has not lapsed; a set must not name one
// address twice.
func TestNewerRegistrationOfAnAddressSupersedesTheOlder(t *testing.T) {
	f := newFleet(0, Predicted)
	registrations := upstreams(6)
	for i := range registrations {
		registrations[i].Address = "10.0.0." + registrations[i].ID
		registrations[i].Revision = uint64(10 + i)
	}
	registrations[5].Address = registrations[2].Address
	f.ApplyChanges(start, registrations, true)
	choice, id := choose(t, f, start, heavy(260_000))
	require.Len(t, choice.Helpers, 4)
	used := map[string]bool{choice.Upstream.Address: true}
	for _, helper := range choice.Helpers {
		require.False(t, used[helper.Upstream.Address], helper.Upstream.Address)
		used[helper.Upstream.Address] = true
	}

	f.RecordEnd(start, id, Served)

	// The newer registration may come from a faulty writer: once it is proved wrong, it
	// supersedes nothing.
	f.Observe(start, registrations[5].Upstream, Misdirected, start)
	choice, _ = choose(t, f, start, heavy(260_000))
	require.True(t, choice.Upstream.ID == registrations[2].ID || slices.ContainsFunc(choice.Helpers, func(h Helper) bool {
		return h.Upstream.ID == registrations[2].ID
	}))
}

// Guards against a service without upstreams: a registration of another service with the same
// address, left by a faulty writer, must not supersede the one that serves.
func TestRegistrationOfAnotherServiceDoesNotEmptyAService(t *testing.T) {
	f := newFleet(0, Predicted)
	registrations := upstreams(2)
	registrations[0].Revision, registrations[1].Revision = 1, 2
	registrations[1].Service = "other"
	f.ApplyChanges(start, registrations, true)
	choice, _ := choose(t, f, start, short())
	require.Equal(t, registrations[0].ID, choice.Upstream.ID)
}

// Guards against long prompts failing at one entry after another when the exclusion of several
// dead engines ends: short prompts must retry these engines first, and sets avoid them.
func TestSetsAvoidUpstreamsProvedDown(t *testing.T) {
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
	require.Contains(t, seen, "u-0000", "short prompts retry it")
}

// Of two registrations with one address only the newer replaces the other, and a draining one
// replaces none.
func TestReplacedReportsNewerRegistrationOfTheAddress(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted})
	older, newer := Upstream{ID: "a", Service: "s", Address: "x"}, Upstream{ID: "b", Service: "s", Address: "x"}
	f.ApplyChanges(time.Now(), []Change{{Upstream: older, Revision: 3}, {Upstream: newer, Revision: 5}}, true)
	require.True(t, f.Replaced(older))
	require.False(t, f.Replaced(newer))
	require.False(t, f.Draining(older))
	f.ApplyChanges(time.Now(), []Change{{Upstream: older, Removed: true}}, false)
	require.True(t, f.Replaced(older), "also after its removal")
	require.True(t, f.Draining(older))
	newer.Draining = true
	f.ApplyChanges(time.Now(), []Change{{Upstream: newer, Revision: 6}}, false)
	require.False(t, f.Replaced(older))
}
