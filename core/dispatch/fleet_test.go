package dispatch

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/enginemodel"
	"github.com/stretchr/testify/require"
)

// start is the time at which tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// spec has the published figures of a typical engine.
var spec = &enginemodel.Spec{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, PrefillRate: 154_000,
	PerPair: 0.162, Chunk: 2048, Hop: 100 * time.Microsecond,
}

func upstreams(n int) []Change {
	changes := make([]Change, n)
	for i := range changes {
		changes[i].Upstream = Upstream{ID: fmt.Sprintf("u-%04d", i), Service: "model", Address: "x", Slots: 16}
	}
	return changes
}

func newFleet(n int, rule Rule) *Fleet {
	f := NewFleet(Settings{Rule: rule, Origin: 1})
	f.ApplyChanges(start, upstreams(n), true)
	return f
}

// loseRegistry begins an outage of the registry.
func (f *Fleet) loseRegistry() {
	for range minFailures {
		f.RegistryUnavailable()
	}
}

func short() *Request {
	return &Request{Service: "model", PromptTokens: 5000, OutputTokens: 1300, FirstEventTarget: 300 * time.Millisecond,
		GapTarget: 250 * time.Millisecond, TimeToDeadline: 10 * time.Second}
}

func heavy(tokens int) *Request {
	return &Request{Service: "model", PromptTokens: tokens, OutputTokens: 650, FirstEventTarget: 4 * time.Second,
		GapTarget: time.Second, TimeToDeadline: 15 * time.Second}
}

// hasFreeSlotFor reports whether a call beside another one of the request would be placed.
func (f *Fleet) hasFreeSlotFor(now time.Time, request *Request) bool {
	beside, figures := *request, spec
	beside.Beside, beside.FreeSlot, beside.Committed = true, true, true
	if beside.PromptTokens == 0 {
		figures = nil
	}
	_, id, verdict := f.Choose(now, &beside, figures)
	f.RecordEnd(now, id, Abandoned)
	return verdict == Place
}

func choose(t *testing.T, f *Fleet, now time.Time, request *Request) (Choice, PlacementID) {
	t.Helper()
	choice, id, verdict := f.Choose(now, request, spec)
	require.Equal(t, Place, verdict)
	return choice, id
}

// Guards against a plain upstream refusing for lack of slots while others are idle. Many
// entries choose at the same time; they must not all take the first of several equal upstreams.
func TestEntriesSpreadOverEqualUpstreams(t *testing.T) {
	seen := map[string]int{}
	for origin := range uint64(60) {
		f := NewFleet(Settings{Rule: Predicted, Origin: origin + 1})
		f.ApplyChanges(start, upstreams(3), true)
		choice, _, verdict := f.Choose(start, &Request{Service: "model", TimeToDeadline: time.Second}, nil)
		require.Equal(t, Place, verdict)
		seen[choice.Upstream.ID]++
	}
	require.Equal(t, map[string]int{"u-0000": 20, "u-0001": 20, "u-0002": 20}, seen)
}

func TestAlternativeIsNeitherExcludedNorDraining(t *testing.T) {
	f := newFleet(2, Predicted)
	request := short()
	request.Exclude = []string{"u-0000"}
	require.True(t, f.hasFreeSlotFor(start, request))
	draining := upstreams(2)[1]
	draining.Draining = true
	f.ApplyChanges(start, []Change{draining}, false)
	require.False(t, f.hasFreeSlotFor(start, request))
}

// Guards against a call beside another one that goes to an upstream whose slots are taken, that failed before, or that
// waits for a permit.
func TestCallBesideAnotherGoesToAFreeSlotOnly(t *testing.T) {
	for _, rule := range []Rule{Predicted, LeastOutstanding} {
		f := newFleet(2, rule)
		beside := short()
		beside.Exclude = []string{"u-0000"}
		only := short()
		only.Exclude = beside.Exclude
		only.Committed = true
		var last PlacementID
		for range 16 {
			require.True(t, f.hasFreeSlotFor(start, beside))
			_, last = choose(t, f, start, only)
		}
		require.False(t, f.hasFreeSlotFor(start, beside))
		require.Empty(t, f.waiters)
		f.RecordEnd(start, last, Unreached)
		require.False(t, f.hasFreeSlotFor(start, beside), "it is known to be down")
	}
}

func TestLeastOutstandingSpreads(t *testing.T) {
	f := newFleet(3, LeastOutstanding)
	seen := map[string]int{}
	for range 6 {
		choice, _ := choose(t, f, start, short())
		seen[choice.Upstream.ID]++
	}
	require.Equal(t, map[string]int{"u-0000": 2, "u-0001": 2, "u-0002": 2}, seen)
}

func TestDrainingAndExcludedUpstreamsGetNoRequests(t *testing.T) {
	f := newFleet(3, Predicted)
	draining := upstreams(3)[:1]
	draining[0].Draining = true
	f.ApplyChanges(start, draining, false)
	request := short()
	request.Exclude = []string{"u-0001"}
	for range 20 {
		choice, id := choose(t, f, start, request)
		require.Equal(t, "u-0002", choice.Upstream.ID)
		f.RecordEnd(start, id, Served)
	}
	request.Exclude = []string{"u-0001", "u-0002"}
	_, _, verdict := f.Choose(start, request, spec)
	require.Equal(t, NoUpstream, verdict)
}

// Guards against pauses of half a second in short streams: a long prompt must not be prefilled
// on an engine that decodes a short stream while others are idle.
func TestLongPromptsAvoidEnginesWithShortStreams(t *testing.T) {
	f := newFleet(8, Predicted)
	decoding, id := choose(t, f, start, short())
	f.RecordFirstEvent(start.Add(50*time.Millisecond), id)
	now := start.Add(60 * time.Millisecond)
	choice, _ := choose(t, f, now, heavy(180_000))
	require.NotEmpty(t, choice.Helpers, "a single engine would miss the target")
	require.NotEqual(t, decoding.Upstream.ID, choice.Upstream.ID)
	for _, helper := range choice.Helpers {
		require.NotEqual(t, decoding.Upstream.ID, helper.Upstream.ID)
	}
	next, _ := choose(t, f, now, short())
	for _, busy := range append(choice.Helpers, Helper{Upstream: choice.Upstream}) {
		require.NotEqual(t, busy.Upstream.ID, next.Upstream.ID, "it would wait behind a part of the long prompt")
	}
}

// Guards against late first events of short streams: a burst of short prompts must spread over
// enough engines.
func TestBurstOfShortPromptsStaysInTime(t *testing.T) {
	f := newFleet(8, Predicted)
	perEngine := map[string]int{}
	for range 32 {
		choice, _ := choose(t, f, start, short())
		perEngine[choice.Upstream.ID]++
	}
	for id, n := range perEngine {
		prefillTime := time.Duration(n) * spec.Read(short().PromptTokens)
		require.Less(t, prefillTime, short().FirstEventTarget, "%s has %d", id, n)
	}
}

// Guards against all entries choosing the same engine at once: a placement reported by another
// entry must count like a local one.
func TestRemotePlacementsCountLikeLocalOnes(t *testing.T) {
	a, b := newFleet(2, Predicted), NewFleet(Settings{Rule: Predicted, Origin: 2})
	b.ApplyChanges(start, upstreams(2), true)
	choice, id := choose(t, a, start, heavy(40_000))
	b.ApplyEvents(start, 1, a.TakeEvents())
	require.Equal(t, 1, b.Outstanding())
	other, _ := choose(t, b, start, short())
	if len(choice.Helpers) == 0 {
		require.NotEqual(t, choice.Upstream.ID, other.Upstream.ID)
	}
	a.RecordFirstEvent(start, id)
	a.RecordEnd(start, id, Served)
	b.ApplyEvents(start, 1, a.TakeEvents())
	require.Equal(t, 1, b.Outstanding(), "only its own placement is left")
}

// Guards against a new entry that takes busy engines for idle: a snapshot must bring it the
// placements made before it connected, and count each only once.
func TestSnapshotInitialisesNewEntry(t *testing.T) {
	a, b := newFleet(4, Predicted), NewFleet(Settings{Rule: Predicted, Origin: 2})
	b.ApplyChanges(start, upstreams(4), true)
	_, id := choose(t, a, start, heavy(180_000))
	a.RecordFirstEvent(start, id)
	choose(t, a, start, short())
	b.ApplyEvents(start, 1, a.Snapshot(start))
	require.Equal(t, 2, b.Outstanding())
	b.ApplyEvents(start, 1, a.Snapshot(start))
	require.Equal(t, 2, b.Outstanding(), "known placements are not counted twice")
	b.RemoveOrigin(start, 1)
	require.Zero(t, b.Outstanding())
}

// Guards against an upstream that looks busy for ever after an entry placed requests there and
// died without reporting their end.
func TestPlacementsExpireAfterTheirDeadline(t *testing.T) {
	f := newFleet(2, Predicted)
	choose(t, f, start, short())
	f.RemoveExpired(start.Add(10 * time.Second))
	require.Equal(t, 1, f.Outstanding())
	f.RemoveExpired(start.Add(10*time.Second + 2*expiryMargin))
	require.Zero(t, f.Outstanding())
}

// Guards against refusing all requests after a registry outage. Registrations lapse during the
// outage, the registry then lists nothing, and live upstreams register again two seconds later;
// the empty list must not take effect at once.
func TestLapsedRegistrationsStayInUseAfterRegistryOutage(t *testing.T) {
	f := newFleet(2, Predicted)
	f.loseRegistry()
	back := start.Add(5 * time.Second)
	f.ApplyChanges(back, nil, true)
	require.Equal(t, 2, f.Upstreams("model"))
	f.ApplyChanges(back.Add(time.Second), upstreams(2)[:1], false)
	f.RemoveExpired(back.Add(recoveryGrace + time.Millisecond))
	require.Equal(t, 1, f.Upstreams("model"), "one is registered again, the other is removed")
}

// Guards against sending a request to an upstream two seconds after it began to shut down. A
// poll of the registry fails, and the next answer removes an upstream that is shutting down. The
// removal must take effect within two seconds although it follows an outage.
func TestRemovalAfterRegistryOutageTakesEffectInTime(t *testing.T) {
	const bound = 2 * time.Second
	f := newFleet(2, Predicted)
	f.loseRegistry()
	gone := upstreams(2)[:1]
	gone[0].Removed = true
	f.ApplyChanges(start.Add(time.Second), gone, false)
	for i := range 4 {
		choice, _ := choose(t, f, start.Add(time.Second+bound-time.Duration(100-i)*time.Millisecond), short())
		require.Equal(t, "u-0001", choice.Upstream.ID)
	}
}

func TestRemovalTakesEffectAtOnceWhileRegistryAnswers(t *testing.T) {
	f := newFleet(2, Predicted)
	gone := upstreams(2)[:1]
	gone[0].Removed = true
	f.ApplyChanges(start.Add(time.Second), gone, false)
	require.Equal(t, 1, f.Upstreams("model"))
}

// Guards against sending requests to an address where no upstream is. Another writer overwrites
// the registration of an upstream in use, or adds an unreadable one.
func TestUnreadableRegistrationRemovesUpstream(t *testing.T) {
	for name, complete := range map[string]bool{"a change": false, "the complete list": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, Predicted)
			changes := upstreams(2)
			changes[1] = Change{Upstream: Upstream{ID: "u-0001"}, Unreadable: true}
			changes = append(changes, Change{Upstream: Upstream{ID: "foreign"}, Unreadable: true})
			f.loseRegistry()
			f.ApplyChanges(start, changes, complete)
			require.Equal(t, 1, f.Upstreams("model"), "removed even after an outage; the other stays")
			choice, _ := choose(t, f, start, short())
			require.Equal(t, "u-0000", choice.Upstream.ID)
			f.ApplyChanges(start, upstreams(2), false)
			require.Equal(t, 2, f.Upstreams("model"), "its own registration is back")
		})
	}
}

// Guards against losing a share of all requests to one upstream that fails its requests while
// its health check passes.
func TestFailingUpstreamIsExcludedAndReadmitted(t *testing.T) {
	f := newFleet(3, LeastOutstanding)
	choice, id := choose(t, f, start, short())
	failing := choice.Upstream.ID
	f.RecordEnd(start, id, Failed)
	for range 30 {
		choice, id = choose(t, f, start, short())
		require.NotEqual(t, failing, choice.Upstream.ID)
		f.RecordEnd(start, id, Served)
	}
	later := start.Add(7 * time.Second)
	seen := map[string]bool{}
	for range 12 {
		choice, _ = choose(t, f, later, short())
		seen[choice.Upstream.ID] = true
	}
	require.True(t, seen[failing], "it gets requests again")
}

// Guards against a service without upstreams after each of them has failed once: if evidence
// excludes all of them, it must be ignored.
func TestExclusionsNeverEmptyAService(t *testing.T) {
	f := newFleet(2, Predicted)
	for range 10 {
		_, id := choose(t, f, start, short())
		f.RecordEnd(start, id, Failed)
	}
}

// BenchmarkChoose compares the predicted rule with the baseline, least-outstanding.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 1200} {
		for _, rule := range []Rule{LeastOutstanding, Predicted} {
			for name, request := range map[string]*Request{"short": short(), "heavy": heavy(180_000)} {
				b.Run(fmt.Sprintf("%s/%d/%s", rule, n, name), func(b *testing.B) {
					f := newFleet(n, rule)
					for range 3 * n {
						f.Choose(start, short(), spec)
					}
					b.ReportAllocs()
					for b.Loop() {
						_, id, _ := f.Choose(start, request, spec)
						f.RecordEnd(start, id, Served)
						f.TakeEvents()
					}
				})
			}
		}
	}
}

// Guards against taking one failed read, over a connection that has gone silent, for an outage: the removal
// that the next read tells of would be held back, however old it is.
func TestRemovalAfterOneFailedReadTakesEffectAtOnce(t *testing.T) {
	f := newFleet(2, Predicted)
	f.RegistryUnavailable()
	gone := upstreams(2)[:1]
	gone[0].Removed = true
	f.ApplyChanges(start.Add(60*time.Millisecond), gone, false)
	require.Equal(t, 1, f.Upstreams("model"))
}

// Guards against services that are emptied in a second outage that begins before live upstreams have registered
// again after the first.
func TestLapsedRegistrationsStayInUseInASecondOutage(t *testing.T) {
	f := newFleet(2, Predicted)
	f.loseRegistry()
	f.ApplyChanges(start, nil, true)
	f.loseRegistry()
	f.RemoveExpired(start.Add(time.Minute))
	choose(t, f, start.Add(time.Minute), short())
	back := start.Add(time.Hour)
	f.RegistryAnswered(back)
	choose(t, f, back.Add(recoveryGrace-time.Millisecond), short())
	f.RemoveExpired(back.Add(recoveryGrace))
	require.Zero(t, f.Upstreams("model"))
}
