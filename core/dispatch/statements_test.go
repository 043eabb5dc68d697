package dispatch

import (
	"testing"
	"time"

	"acaciacleat.example/core/evidence"
	"github.com/stretchr/testify/require"
)

// served places a short request at an upstream and records that it was served.
func served(f *Fleet, at time.Time, u *upstreamState) {
	pl := f.commit(at, short(), plan{primary: u})
	f.RecordEnd(at, pl.id, Served)
}

// Guards against a registration, an answer or a lack of other upstreams that overrules an upstream which
// says that it is draining.
func TestNothingOverrulesAnUpstreamThatSaysItIsDraining(t *testing.T) {
	f := newFleet(2, Predicted)
	first, second := f.upstreams["u-0000"], f.upstreams["u-0001"]
	f.ObserveDraining(start, first.Upstream)
	overrule := map[string]func(now time.Time){
		"an answer":          func(now time.Time) { served(f, now, first) },
		"a new registration": func(time.Time) { f.ApplyChanges(start, []Change{{Upstream: first.Upstream, Revision: 7}}, false) },
		"a whole table":      func(time.Time) { f.ApplyChanges(start, upstreams(2), true) },
		"an answer of another entry": func(now time.Time) {
			f.ApplyReports(now, 2, []evidence.Report{{Tag: uint32(first.tag), Kind: evidence.Answered}})
		},
		"a long time": func(now time.Time) { f.RemoveExpired(now.Add(10 * time.Minute)) },
	}
	for name, overrule := range overrule {
		t.Run(name, func(t *testing.T) {
			overrule(start.Add(2 * time.Second))
			for range 20 {
				choice, id := choose(t, f, start.Add(3*time.Second), short())
				require.Equal(t, "u-0001", choice.Upstream.ID)
				f.RecordEnd(start.Add(3*time.Second), id, Abandoned)
			}
		})
	}
	f.ApplyReports(start.Add(3*time.Second), 2, []evidence.Report{{Tag: uint32(second.tag), Kind: evidence.Absent}})
	choice, _ := choose(t, f, start.Add(3*time.Second), short())
	require.Equal(t, "u-0001", choice.Upstream.ID, "evidence gives way where no other upstream is left")
	f.ObserveDraining(start.Add(3*time.Second), second.Upstream)
	_, _, verdict := f.Choose(start.Add(3*time.Second), short(), spec)
	require.Equal(t, NoUpstream, verdict)
	require.False(t, f.hasFreeSlotFor(start.Add(3*time.Second), short()))
	require.True(t, f.Draining(first.Upstream), "its end is no crash")
}

// Guards against an upstream that starts again and inherits that its earlier incarnation was draining.
func TestNewIncarnationIsNotDraining(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ApplyChanges(start, incarnation(1, 1000), false)
	old := f.upstreams["u-0000"].Upstream
	f.ObserveDraining(start, old)
	f.ApplyChanges(start, incarnation(1, 2000), false)
	f.ObserveDraining(start, old)
	require.Zero(t, f.Stated(start, StatesDraining))
	_, objects := f.Objection(start, start, f.upstreams["u-0000"].Upstream)
	require.False(t, objects)
	_, objects = f.Objection(start, start, old)
	require.True(t, objects)
}

// Guards against one entry that takes an upstream from all others for long by what it reports, and against
// others that send to it before they have tried it themselves.
func TestOtherEntriesWeighThatAnUpstreamIsDraining(t *testing.T) {
	c := newCluster(3, 4)
	leaving := c.fleets[0].upstreams["u-0002"].Upstream
	c.fleets[0].ObserveDraining(start, leaving)
	c.exchange(start.Add(eventDelay))
	require.Equal(t, 1, c.fleets[1].Excluded(start.Add(500*time.Millisecond)))
	require.Zero(t, c.fleets[1].Stated(start, StatesDraining), "another entry's word doesn't bind")
	later := start.Add(3 * time.Second)
	require.Zero(t, c.fleets[1].Excluded(later), "a single report holds for a short time")
	c.fleets[1].ObserveDraining(later, leaving)
	c.exchange(later)
	c.fleets[0].ObserveDraining(later, leaving)
	require.Empty(t, c.fleets[0].TakeReports(later), "it is reported once")
	require.Equal(t, 1, c.fleets[2].Excluded(later.Add(500*time.Millisecond)))
	require.Less(t, c.fleets[2].evidence.RecentlyDown(later), 0.5, "a planned end is no sign of others")
}

// Guards against a request to an upstream in the pause that it has asked for, whatever else speaks for it.
func TestNothingOverrulesAPause(t *testing.T) {
	f := newFleet(2, Predicted)
	first := f.upstreams["u-0000"]
	f.ObservePause(start, first.Upstream, 3*time.Second)
	during := start.Add(2900 * time.Millisecond)
	overrule := map[string]func(){
		"an answer":          func() { served(f, start.Add(time.Millisecond), first) },
		"a new registration": func() { f.ApplyChanges(start, []Change{{Upstream: first.Upstream, Revision: 7}}, false) },
		"a lapse": func() {
			f.ApplyChanges(start, []Change{{Upstream: first.Upstream, Removed: true}}, false)
			f.ApplyChanges(start, []Change{{Upstream: first.Upstream, Revision: 8}}, false)
		},
		"a shorter pause": func() { f.ObservePause(start.Add(time.Second), first.Upstream, time.Second) },
		"a lack of others": func() {
			f.ApplyReports(during, 2, []evidence.Report{{Tag: uint32(TagOf("u-0001")), Kind: evidence.Absent}})
		},
	}
	for name, overrule := range overrule {
		t.Run(name, func(t *testing.T) {
			overrule()
			choice, id := choose(t, f, during, short())
			require.Equal(t, "u-0001", choice.Upstream.ID)
			f.RecordEnd(during, id, Abandoned)
			statement, objects := f.Objection(during, start, first.Upstream)
			require.True(t, objects)
			require.Equal(t, StatesCooldown, statement)
		})
	}
	require.Zero(t, f.Stated(start.Add(3*time.Second), StatesCooldown))
}

// Guards against callers that wait for nothing, or that return all at once, when all upstreams of a service
// have asked for a pause.
func TestCallersReturnOneAfterAnotherAfterAPause(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ObservePause(start, f.upstreams["u-0000"].Upstream, 2*time.Second)
	f.ObservePause(start, f.upstreams["u-0001"].Upstream, 3*time.Second)
	var returns []time.Duration
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		request := short()
		request.Exclude = []string{"u-0000"} // It has just refused this request.
		choice, _, verdict := f.Choose(now, request, spec)
		require.Equal(t, CoolingDown, verdict)
		returns = append(returns, now.Add(choice.Explanation.ClearTime).Sub(start))
	}
	require.Equal(t, 2*time.Second, returns[0], "when the first pause ends")
	require.IsIncreasing(t, returns)
	require.Less(t, returns[19], 2*time.Second+short().TimeToDeadline/3)
	choice, _ := choose(t, f, start.Add(2*time.Second), short())
	require.Equal(t, "u-0000", choice.Upstream.ID)
}

// Guards against a service that stays out of use because its only upstream once asked for a very long pause.
func TestVeryLongPauseIsTried(t *testing.T) {
	f := newFleet(1, Predicted)
	only := f.upstreams["u-0000"]
	f.ObservePause(start, only.Upstream, 24*time.Hour)
	later := start.Add(61 * time.Second)
	_, trial := choose(t, f, later, short())
	_, _, verdict := f.Choose(later.Add(time.Second), short(), spec)
	require.Equal(t, CoolingDown, verdict, "a single trial")
	_, objects := f.Objection(later, later, only.Upstream)
	require.False(t, objects, "the trial itself is sent")
	f.ObservePause(later.Add(time.Second), only.Upstream, 48*time.Hour)
	_, objects = f.Objection(later.Add(time.Second), later, only.Upstream)
	require.True(t, objects, "unless the upstream has asked again")
	f.RecordEnd(later.Add(2*time.Second), trial, Served)
	choose(t, f, later.Add(2*time.Second), short())
}

// Guards against requests that have a permit or wait in the queue when their upstreams withdraw, and are sent
// there all the same.
func TestWithdrawalBindsRequestsThatWait(t *testing.T) {
	withdrawals := map[string]struct {
		withdraw func(f *Fleet, upstream Upstream)
		verdict  Verdict
	}{
		"draining": {func(f *Fleet, u Upstream) { f.ObserveDraining(start, u) }, NoUpstream},
		"pause":    {func(f *Fleet, u Upstream) { f.ObservePause(start, u, time.Second) }, CoolingDown},
	}
	for name, w := range withdrawals {
		t.Run("permit and "+name, func(t *testing.T) {
			f := newFleet(1, Predicted)
			only := f.upstreams["u-0000"].Upstream
			f.ObserveLimit(start, only, named(2, start, true))
			request := short()
			request.Permit = GrantedPermit{Upstream: only, Rate: 2}
			w.withdraw(f, only)
			_, _, verdict := f.Choose(start, request, spec)
			require.Equal(t, w.verdict, verdict)
		})
		t.Run("queue and "+name, func(t *testing.T) {
			f := newFleet(4, Predicted)
			choose(t, f, start, heavy(160_000))
			request := heavy(160_000)
			_, id, verdict := f.Choose(start, request, spec)
			require.Equal(t, Queue, verdict)
			request.QueueID = id
			for _, u := range f.upstreams {
				w.withdraw(f, u.Upstream)
			}
			_, _, verdict = f.Choose(start, request, spec)
			require.Equal(t, w.verdict, verdict)
			require.Zero(t, f.Waiting())
		})
	}
}

// Guards against a request that is sent to an upstream of which the registry has said since the choice that it leaves.
func TestUpstreamThatLeavesTheRegistryAfterTheChoiceGetsNothing(t *testing.T) {
	leave := map[string]func(f *Fleet, u Upstream){
		"removed": func(f *Fleet, u Upstream) { f.ApplyChanges(start, []Change{{Upstream: u, Removed: true}}, false) },
		"draining": func(f *Fleet, u Upstream) {
			u.Draining = true
			f.ApplyChanges(start, []Change{{Upstream: u, Revision: 9}}, false)
		},
		"unreadable": func(f *Fleet, u Upstream) { f.ApplyChanges(start, []Change{{Upstream: u, Unreadable: true}}, false) },
		"restarted": func(f *Fleet, u Upstream) {
			u.StartedAtMs = 5
			f.ApplyChanges(start, []Change{{Upstream: u, Revision: 9}}, false)
		},
	}
	for name, leave := range leave {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, Predicted)
			f.ApplyChanges(start, incarnation(1, 1), false)
			choice, _ := choose(t, f, start, short())
			_, objects := f.Objection(start, start, choice.Upstream)
			require.False(t, objects)
			leave(f, choice.Upstream)
			statement, objects := f.Objection(start, start, choice.Upstream)
			require.True(t, objects)
			require.Equal(t, Unlisted, statement)
		})
	}
}
