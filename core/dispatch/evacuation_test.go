package dispatch

import (
	"testing"
	"time"

	"acaciacleat.example/core/evidence"
	"github.com/stretchr/testify/require"
)

// newZonedFleet returns a Fleet with n engines each in zone-a and in zone-b. Those of zone-a come first.
func newZonedFleet(n int) *Fleet {
	f := newFleet(0, Predicted)
	changes := upstreams(2 * n)
	for i := range changes {
		changes[i].Zone = "zone-a"
		if i >= n {
			changes[i].Zone = "zone-b"
		}
	}
	f.ApplyChanges(start, changes, true)
	return f
}

// requireZone requires that each choice of a request uses upstreams of a zone only.
func requireZone(t *testing.T, f *Fleet, now time.Time, request *Request, zone string) {
	t.Helper()
	for range 30 {
		choice, id := choose(t, f, now, request)
		require.Equal(t, zone, choice.Upstream.Zone)
		for _, helper := range choice.Helpers {
			require.Equal(t, zone, helper.Upstream.Zone)
		}
		f.RecordEnd(now, id, Abandoned)
	}
}

// Guards against a choice, a set of engines or a lack of other upstreams that sends into an evacuated zone.
func TestNothingOverrulesAnEvacuation(t *testing.T) {
	f := newZonedFleet(6)
	f.SetEvacuated(start, []string{"zone-a", "zone-x"})
	now := start.Add(time.Second)
	moved := func(id, zone string) {
		for _, change := range upstreams(12) {
			if change.ID == id {
				change.Zone, change.Revision = zone, change.Revision+1
				f.ApplyChanges(now, []Change{change}, false)
			}
		}
	}
	overrule := []struct {
		name string
		do   func()
	}{
		{"nothing", func() {}},
		{"an answer", func() { served(f, now, f.upstreams["u-0000"]) }},
		{"a registration that moves into it", func() { moved("u-0011", "zone-a") }},
		{"evidence against all others", func() {
			for _, u := range f.upstreams {
				if u.Zone == "zone-b" {
					f.ApplyReports(now, 2, []evidence.Report{{Tag: uint32(u.tag), Kind: evidence.Absent}})
				}
			}
		}},
	}
	for _, o := range overrule {
		t.Run(o.name, func(t *testing.T) {
			o.do()
			requireZone(t, f, now, short(), "zone-b")
			requireZone(t, f, now, heavy(100_000), "zone-b")
		})
	}
	f.SetEvacuated(now, nil)
	moved("u-0011", "zone-b")
	f.SetEvacuated(now, []string{"zone-b"})
	requireZone(t, f, now, short(), "zone-a")
}

// Guards against a send, a retry or a stalled stream that goes to an upstream which was chosen before its
// zone was evacuated.
func TestEvacuationBindsWhatWasChosenBefore(t *testing.T) {
	f := newZonedFleet(1)
	choice, _ := choose(t, f, start, short())
	_, objects := f.Objection(start, start, choice.Upstream)
	require.False(t, objects)
	other := short()
	other.Exclude = []string{choice.Upstream.ID}
	require.True(t, f.hasFreeSlotFor(start, other))
	f.SetEvacuated(start, []string{choice.Upstream.Zone})
	statement, objects := f.Objection(start, start, choice.Upstream)
	require.True(t, objects)
	require.Equal(t, ZoneEvacuated, statement)
	require.True(t, f.EndIsPlanned(choice.Upstream))
	require.False(t, f.Draining(choice.Upstream))
	f.SetEvacuated(start, []string{"zone-a", "zone-b"})
	require.False(t, f.hasFreeSlotFor(start, other))
	f.ApplyChanges(start, nil, true)
	_, objects = f.Objection(start, start, choice.Upstream)
	require.True(t, objects, "also once it isn't registered any more")
	f.SetEvacuated(start, nil)
	statement, objects = f.Objection(start, start, choice.Upstream)
	require.True(t, objects)
	require.Equal(t, Unlisted, statement)
	f.ApplyChanges(start, []Change{{Upstream: choice.Upstream, Revision: 9}}, false)
	_, objects = f.Objection(start, start, choice.Upstream)
	require.False(t, objects, "it is usable at once")
}

// Guards against requests that have a permit, are bound to an upstream, wait in the queue or are the trial in
// a long pause when its zone is evacuated, and are sent there all the same.
func TestEvacuationBindsRequestsThatWait(t *testing.T) {
	only := func() (*Fleet, Upstream) {
		f := newZonedFleet(1)
		f.ApplyChanges(start, []Change{{Upstream: Upstream{ID: "u-0001"}, Unreadable: true}}, false)
		return f, f.upstreams["u-0000"].Upstream
	}
	cases := map[string]func() (*Fleet, *Request, time.Time){
		"permit": func() (*Fleet, *Request, time.Time) {
			f, upstream := only()
			f.ObserveLimit(start, upstream, named(2, start, true))
			request := short()
			request.Permit = GrantedPermit{Upstream: upstream, Rate: 2}
			return f, request, start
		},
		"limited": func() (*Fleet, *Request, time.Time) {
			f, upstream := only()
			f.ObserveLimit(start, upstream, named(2, start, true))
			return f, short(), start
		},
		"bound": func() (*Fleet, *Request, time.Time) {
			f, upstream := only()
			request := short()
			request.PinnedTo, request.Committed = upstream.Incarnation(), true
			return f, request, start
		},
		"trial": func() (*Fleet, *Request, time.Time) {
			f, upstream := only()
			f.ObservePause(start, upstream, 24*time.Hour)
			return f, short(), start.Add(61 * time.Second)
		},
		"retry": func() (*Fleet, *Request, time.Time) {
			f, upstream := only()
			request := short()
			request.Exclude = []string{upstream.Incarnation()}
			return f, request, start
		},
		"queue": func() (*Fleet, *Request, time.Time) {
			f := newZonedFleet(4)
			choose(t, f, start, heavy(160_000))
			request := heavy(160_000)
			_, id, verdict := f.Choose(start, request, spec)
			require.Equal(t, Queue, verdict)
			request.QueueID = id
			return f, request, start
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, request, now := c()
			f.SetEvacuated(now, []string{"zone-a", "zone-b"})
			choice, _, verdict := f.Choose(now, request, spec)
			require.Equal(t, Evacuated, verdict)
			require.Positive(t, choice.Explanation.ClearTime)
			require.Zero(t, f.Waiting())
		})
	}
}

// Guards against a queued prompt that sleeps on when its zone is evacuated or taken back.
func TestEvacuationWakesTheQueue(t *testing.T) {
	f := newZonedFleet(4)
	choose(t, f, start, heavy(160_000))
	choice, _, verdict := f.Choose(start, heavy(160_000), spec)
	require.Equal(t, Queue, verdict)
	f.SetEvacuated(start, []string{"zone-b"})
	select {
	case <-choice.Retry.Changed:
	default:
		require.Fail(t, "not woken")
	}
}

// Guards against callers that wait for nothing, or that return all at once, while all upstreams of a service
// are in evacuated zones.
func TestCallersReturnOneAfterAnotherInAnEvacuation(t *testing.T) {
	f := newZonedFleet(1)
	f.SetEvacuated(start, []string{"zone-a", "zone-b"})
	last := start
	for i := range 25 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		choice, _, verdict := f.Choose(now, short(), spec)
		require.Equal(t, Evacuated, verdict)
		require.LessOrEqual(t, choice.Explanation.ClearTime, evacuationPause)
		returns := now.Add(choice.Explanation.ClearTime)
		require.True(t, returns.After(last), "call %d", i)
		last = returns
	}
	f.SetEvacuated(last, []string{"zone-a"})
	choice, _ := choose(t, f, last, short())
	require.Equal(t, "zone-b", choice.Upstream.Zone)
	f.ObservePause(last, choice.Upstream, 3*time.Second)
	paused, _, verdict := f.Choose(last, short(), spec)
	require.Equal(t, CoolingDown, verdict)
	require.Equal(t, 3*time.Second, paused.Explanation.ClearTime, "the other zone may stay evacuated for longer")
}

// Guards against a service without upstreams, or whose only other upstream has just refused the request,
// that is taken for one whose zones are evacuated.
func TestOnlyEvacuatedServicesAreRefusedAsSuch(t *testing.T) {
	f := newZonedFleet(1)
	f.SetEvacuated(start, []string{"zone-a"})
	request := short()
	request.Exclude = []string{"u-0001"}
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
	f.ApplyChanges(start, nil, true)
	_, _, verdict = f.Choose(start, short(), spec)
	require.Equal(t, NoUpstream, verdict)
}

// Guards against evacuations that end or move what runs in the zone.
func TestWhatRunsInAnEvacuatedZoneEndsThere(t *testing.T) {
	f := newZonedFleet(1)
	choice, id := choose(t, f, start, short())
	f.SetEvacuated(start, []string{"zone-a", "zone-b"})
	upstreams, requests := f.InZone(choice.Upstream.Zone)
	require.Equal(t, [2]int{1, 1}, [2]int{upstreams, requests})
	f.RecordEnd(start.Add(time.Second), id, Served)
	require.Zero(t, f.Outstanding())
	require.Zero(t, f.Excluded(start.Add(time.Second)))
}
