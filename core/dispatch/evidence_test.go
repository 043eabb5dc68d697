package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newsTakes is how long what one entry tells is on its way to the others.
const newsTakes = 7 * time.Millisecond

// entries are a deployment's entries that tell each other of their work and of upstreams.
type entries struct {
	fleets []*Fleet
	shares bool
}

func newEntries(n, engines int) *entries {
	e := &entries{shares: true}
	for origin := range n {
		f := NewFleet(Settings{Rule: Predicted, Origin: uint64(origin + 1)})
		f.Apply(start, upstreams(engines), true)
		e.fleets = append(e.fleets, f)
	}
	return e
}

// exchange lets all hear what each has to tell.
func (e *entries) exchange(now time.Time) {
	for i, from := range e.fleets {
		news, reports := from.News(), from.Reports(now)
		if !e.shares {
			reports = nil
		}
		for j, to := range e.fleets {
			if i != j {
				to.Heard(now, from.settings.Origin, news)
				to.HeardReports(now, from.settings.Origin, reports)
			}
		}
	}
}

// refused plays one prompt at one entry that tries again as often as it may, and returns how
// often it was refused for an engine that leaves, and whether it was read in the end.
func (e *entries) refused(now time.Time, entry int, request *Request, leaves func(string) bool, tries int) (refusals int, read bool) {
	f := e.fleets[entry]
	for range tries {
		choice, id, verdict := f.Choose(now, request, spec)
		if verdict != Place {
			return refusals, false
		}
		at := slices.IndexFunc(choice.Helpers, func(h Helper) bool { return leaves(h.Upstream.ID) })
		switch {
		case leaves(choice.Upstream.ID):
			f.Ended(now.Add(2*time.Millisecond), id, Misdirected)
		case at >= 0:
			f.Ended(now.Add(2*time.Millisecond), id, Abandoned)
			f.AtFault(now.Add(2*time.Millisecond), choice.Helpers[at].Upstream, now)
		default:
			f.Begun(now.Add(20*time.Millisecond), id)
			f.Ended(now.Add(20*time.Millisecond), id, Served)
			return refusals, true
		}
		refusals++
	}
	return refusals, false
}

// A quarter of the engines leaves while the registry is away, and long prompts come to all entries.
func (e *entries) play() (refusals, read int) {
	leaves := func(id string) bool { return id[len(id)-1]%4 == 0 }
	now := start.Add(time.Second)
	for n := range 60 {
		request := heavy(260_000)
		refused, ok := e.refused(now, n%len(e.fleets), request, leaves, 2)
		refusals += refused
		if ok {
			read++
		}
		now = now.Add(newsTakes)
		e.exchange(now)
		now = now.Add(60 * time.Millisecond)
	}
	return refusals, read
}

// Symptom: a third of the long prompts is refused for several seconds. Sequence: the registry is
// away and a quarter of the engines leaves; each entry's sets hold one of them. Cause: what one
// entry had learned by a refusal, the others learned again by their own.
func TestEnginesThatLeaveAreLearnedOnce(t *testing.T) {
	alone := newEntries(20, 60)
	alone.shares = false
	refusedAlone, readAlone := alone.play()
	refusals, read := newEntries(20, 60).play()
	t.Logf("refusals %d and read %d of 60, each entry alone %d and %d", refusals, read, refusedAlone, readAlone)
	require.LessOrEqual(t, refusals, 2*15, "each engine that leaves is met once, and once more to confirm it")
	require.GreaterOrEqual(t, read, 48)
	require.Less(t, refusals*2, refusedAlone)
}

// A prompt that may go to no further upstream is read by others beside the one that it went to.
func TestKeptEngineIsTheFirstOfTheSet(t *testing.T) {
	f := newFleet(8, Predicted)
	request := heavy(260_000)
	request.Keep = "u-0003"
	choice, _ := choose(t, f, start, request)
	require.Equal(t, "u-0003", choice.Upstream.ID)
	require.Len(t, choice.Helpers, 7)
	for _, helper := range choice.Helpers {
		require.NotEqual(t, "u-0003", helper.Upstream.ID)
	}
	request = short()
	request.Keep = "u-0005"
	choice, _ = choose(t, f, start, request)
	require.Equal(t, "u-0005", choice.Upstream.ID)
	request.Keep = "u-0009"
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
}

// A set is asked about only while engines go: a calm day has no more round trips than before.
func TestSetsAreAskedOnlyWhileEnginesGo(t *testing.T) {
	f := newFleet(60, Predicted)
	choice, id := choose(t, f, start, heavy(260_000))
	require.False(t, choice.Ask)
	f.Ended(start, id, Served)
	f.Observe(start, upstreams(60)[59].Upstream, Unreached, start)
	choice, id = choose(t, f, start.Add(time.Second), heavy(260_000))
	require.True(t, choice.Ask)
	f.Ended(start.Add(time.Second), id, Served)
	choice, _ = choose(t, f, start.Add(time.Second), short())
	require.False(t, choice.Ask, "one engine tells at once")
	choice, _ = choose(t, f, start.Add(20*time.Second), heavy(260_000))
	require.False(t, choice.Ask)
}
