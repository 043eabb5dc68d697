package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// eventDelay is the time that events and reports take to the other entries.
const eventDelay = 7 * time.Millisecond

// cluster is a deployment of entries that exchange events and reports.
type cluster struct {
	fleets       []*Fleet
	shareReports bool
}

func newCluster(n, engines int) *cluster {
	c := &cluster{shareReports: true}
	for origin := range n {
		f := NewFleet(Settings{Rule: Predicted, Origin: uint64(origin + 1)})
		f.ApplyChanges(start, upstreams(engines), true)
		c.fleets = append(c.fleets, f)
	}
	return c
}

// exchange delivers the pending events and reports of each entry to all others.
func (c *cluster) exchange(now time.Time) {
	for i, from := range c.fleets {
		events, reports := from.TakeEvents(), from.TakeReports(now)
		if !c.shareReports {
			reports = nil
		}
		for j, to := range c.fleets {
			if i != j {
				to.ApplyEvents(now, from.settings.Origin, events)
				to.ApplyReports(now, from.settings.Origin, reports)
			}
		}
	}
}

// sendWithRetries sends one prompt through an entry with a limited number of tries. It returns
// how often a draining engine refused it, and whether a try succeeded.
func (c *cluster) sendWithRetries(now time.Time, entry int, request *Request, draining func(string) bool, tries int) (refusals int, prefilled bool) {
	f := c.fleets[entry]
	for range tries {
		choice, id, verdict := f.Choose(now, request, spec)
		if verdict != Place {
			return refusals, false
		}
		failed := slices.IndexFunc(choice.Helpers, func(h Helper) bool { return draining(h.Upstream.ID) })
		switch {
		case draining(choice.Upstream.ID):
			f.RecordEnd(now.Add(2*time.Millisecond), id, Misdirected)
		case failed >= 0:
			f.RecordEnd(now.Add(2*time.Millisecond), id, Abandoned)
			f.RecordFault(now.Add(2*time.Millisecond), choice.Helpers[failed].Upstream, now)
		default:
			f.RecordFirstEvent(now.Add(20*time.Millisecond), id)
			f.RecordEnd(now.Add(20*time.Millisecond), id, Served)
			return refusals, true
		}
		refusals++
	}
	return refusals, false
}

// run simulates long prompts at all entries while the engines whose ID ends in 0, 4 or 8 drain
// and the registry is unavailable. It returns the number of refusals and that of the prompts
// that were prefilled.
func (c *cluster) run() (refusals, prefilled int) {
	draining := func(id string) bool { return id[len(id)-1]%4 == 0 }
	now := start.Add(time.Second)
	for n := range 60 {
		request := heavy(260_000)
		refused, ok := c.sendWithRetries(now, n%len(c.fleets), request, draining, 2)
		refusals += refused
		if ok {
			prefilled++
		}
		now = now.Add(eventDelay)
		c.exchange(now)
		now = now.Add(60 * time.Millisecond)
	}
	return refusals, prefilled
}

// Guards against every entry discovering draining engines by refusals of its own. The registry
// is unavailable and 18 of 60 engines drain; without shared evidence, a third of the long
// prompts or more is refused for several seconds.
func TestDrainingEnginesAreDiscoveredOnce(t *testing.T) {
	unshared := newCluster(20, 60)
	unshared.shareReports = false
	refusedUnshared, prefilledUnshared := unshared.run()
	refusals, prefilled := newCluster(20, 60).run()
	t.Logf("refused %d and prefilled %d of 60, without shared reports %d and %d", refusals, prefilled, refusedUnshared, prefilledUnshared)
	require.LessOrEqual(t, refusals, 2*15, "each draining engine refuses one prompt, and another one to confirm it")
	require.GreaterOrEqual(t, prefilled, 48)
	require.Less(t, refusals*2, refusedUnshared)
}

// A request pinned to one upstream is served by it, with others only as helpers.
func TestPinnedEngineIsPrimaryOfTheSet(t *testing.T) {
	f := newFleet(8, Predicted)
	request := heavy(260_000)
	request.PinnedTo = "u-0003"
	choice, _ := choose(t, f, start, request)
	require.Equal(t, "u-0003", choice.Upstream.ID)
	require.Len(t, choice.Helpers, 7)
	for _, helper := range choice.Helpers {
		require.NotEqual(t, "u-0003", helper.Upstream.ID)
	}
	request = short()
	request.PinnedTo = "u-0005"
	choice, _ = choose(t, f, start, request)
	require.Equal(t, "u-0005", choice.Upstream.ID)
	request.PinnedTo = "u-0009"
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
}

// Choices of several engines are probed only after engines have gone down, so that probes add no
// round trips at other times.
func TestSetsAreProbedOnlyAfterLosses(t *testing.T) {
	f := newFleet(60, Predicted)
	choice, id := choose(t, f, start, heavy(260_000))
	require.False(t, choice.Probe)
	f.RecordEnd(start, id, Served)
	f.Observe(start, upstreams(60)[59].Upstream, Unreached, start)
	choice, id = choose(t, f, start.Add(time.Second), heavy(260_000))
	require.True(t, choice.Probe)
	f.RecordEnd(start.Add(time.Second), id, Served)
	choice, _ = choose(t, f, start.Add(time.Second), short())
	require.False(t, choice.Probe, "a single engine refuses at once")
	choice, _ = choose(t, f, start.Add(20*time.Second), heavy(260_000))
	require.False(t, choice.Probe)
}
