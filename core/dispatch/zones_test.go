package dispatch

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/reachability"
	"github.com/stretchr/testify/require"
)

// fleetOfZones returns the fleet of an entry in zone a, with the given number of engines in each of the zones
// a, b and c.
func fleetOfZones(engines int) *Fleet {
	f := NewFleet(Settings{Rule: Predicted, Zone: "a", Origin: 1})
	changes := upstreams(3 * engines)
	for i := range changes {
		changes[i].Zone = string(rune('a' + i%3))
		changes[i].Address = fmt.Sprint("10.0.0.", i, ":80")
	}
	f.ApplyChanges(start, changes, true)
	return f
}

// cutZone makes the entry see that a zone can't be reached.
func (f *Fleet) cutZone(t *testing.T, now time.Time, zone string) {
	f.ZoneAnswered(now, "b")
	require.NotEmpty(t, f.BeginZoneCheck(now, zone, now.Add(-time.Second)))
	require.True(t, f.EndZoneCheck(now, now, zone, false))
}

func zonesOf(choice Choice) map[string]bool {
	zones := map[string]bool{choice.Upstream.Zone: true}
	for _, helper := range choice.Helpers {
		zones[helper.Upstream.Zone] = true
	}
	return zones
}

// Guards against requests to upstreams behind a cut while others can be reached.
func TestUpstreamsBehindACutAreLeftOut(t *testing.T) {
	f := fleetOfZones(6)
	f.cutZone(t, start, "c")
	for range 30 {
		choice, _ := choose(t, f, start, short())
		require.NotEqual(t, "c", choice.Upstream.Zone)
	}
	choice, _ := choose(t, f, start, heavy(60_000))
	require.NotContains(t, zonesOf(choice), "c")
	require.Equal(t, []ZoneChange{{Zone: "c", Cut: true, At: start}}, f.TakeZoneChanges())
	f.ZoneAnswered(start, "c")
	require.Equal(t, 0, f.CutZones())
}

// Guards against a service without upstreams because all of them are behind a cut that may be over.
func TestCutNeverEmptiesAService(t *testing.T) {
	f := fleetOfZones(1)
	f.ApplyChanges(start, []Change{{Upstream: Upstream{ID: "only", Service: "other", Address: "10.0.1.1:80", Zone: "c", Slots: 4}}}, false)
	f.cutZone(t, start, "c")
	choice, _, verdict := f.Choose(start, &Request{Service: "other", TimeToDeadline: time.Second}, nil)
	require.Equal(t, Place, verdict)
	require.Equal(t, "only", choice.Upstream.ID)
}

// Guards against prompts whose parts are read in two zones that can't reach each other, although this entry
// reaches both.
func TestSetsDoNotSpanACut(t *testing.T) {
	pair := []ZoneReport{{From: TagOf("b"), To: TagOf("c")}}
	spans := func(f *Fleet) bool {
		choice, _ := choose(t, f, start, heavy(100_000))
		zones := zonesOf(choice)
		return zones["b"] && zones["c"]
	}
	require.True(t, spans(fleetOfZones(6)))
	f := fleetOfZones(6)
	require.Empty(t, f.ApplyZoneReports(start, 9, pair), "another zone's cut is not checked here")
	require.False(t, spans(f))
	choice, _ := choose(t, f, start.Add(2*time.Second), heavy(100_000))
	require.Len(t, zonesOf(choice), 3, "the report has lapsed")
}

// Guards against a zone without upstreams that stays cut off for those that register later.
func TestZoneWithoutUpstreamsIsNotCutOff(t *testing.T) {
	f := fleetOfZones(1)
	f.cutZone(t, start, "c")
	var gone []Change
	for _, change := range upstreams(3) {
		change.Removed = true
		gone = append(gone, change)
	}
	f.ApplyChanges(start, gone, false)
	require.Empty(t, f.BeginZoneCheck(start.Add(time.Second), "c", start))
	require.False(t, f.ZoneCut("c"))
}

// Guards against reports that name zones without upstreams, or more of them than a correct entry sends.
func TestZoneReportsAreChecked(t *testing.T) {
	f := fleetOfZones(1)
	require.Empty(t, f.ApplyZoneReports(start, 9, []ZoneReport{
		{From: TagOf("a"), To: TagOf("nowhere")}, {From: TagOf("a"), To: TagOf("a")}, {},
	}))
	require.Equal(t, uint64(3), f.ZoneReportsDropped())
	require.LessOrEqual(t, len(f.ApplyZoneReports(start, 9, make([]ZoneReport, 1<<16))), maxZoneChanges)
}

// Guards against calls behind a cut that are broken off, although all upstreams that they could move to are
// behind it too.
func TestUpstreamsBehindACutAreNoAlternative(t *testing.T) {
	f := fleetOfZones(1)
	other := func(id, zone string) Change {
		return Change{Upstream: Upstream{ID: id, Service: "other", Address: id + ":80", Zone: zone, Slots: 4}}
	}
	f.ApplyChanges(start, []Change{other("c1", "c"), other("c2", "c")}, false)
	request := &Request{Service: "other", Exclude: []string{"c1"}}
	require.True(t, f.hasFreeSlotFor(start, request))
	f.cutZone(t, start, "c")
	require.False(t, f.hasFreeSlotFor(start, request))
	f.ApplyChanges(start, []Change{other("b1", "b")}, false)
	require.True(t, f.hasFreeSlotFor(start, request))
}

// Guards against requests that are sent behind a cut because the upstreams that can be reached are cold and
// take no more for a moment.
func TestRequestsWaitForAPermitRatherThanGoBehindACut(t *testing.T) {
	f := fleetOfZones(2)
	f.SetEntries(start, []string{"this", "that"})
	f.SetCold(start, coldFigures)
	for _, u := range f.upstreams {
		if u.Zone != "c" {
			f.ObserveCold(start, u.Upstream, time.Minute)
			u.share, u.permitsAsked = ratelimit.Share{}, 1
		}
	}
	f.cutZone(t, start, "c")
	choice, _, verdict := f.Choose(start, plain(), nil)
	require.NotEqual(t, Place, verdict, "it went to %s", choice.Upstream.Zone)
}

// Guards against messages that grow with the square of the entries: all report a cut that is new, few repeat it.
func TestCutsAreReportedOnceAndRepeatedByFew(t *testing.T) {
	f := fleetOfZones(1)
	require.Empty(t, f.ZoneReports(start, true))
	f.cutZone(t, start, "c")
	pair := []ZoneReport{{From: TagOf("a"), To: TagOf("c")}}
	require.Equal(t, pair, f.ZoneReports(start, false))
	later := start.Add(reachability.CheckInterval)
	require.Empty(t, f.ZoneReports(later, false))
	require.Equal(t, pair, f.ZoneReports(later, true))
	require.Empty(t, f.ZoneReports(later, true))
}
