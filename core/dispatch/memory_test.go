package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against never serving the longest prompts: for a prompt of 900,000 tokens at engines
// that hold 405,000 each, memory for what the primary can't hold must be reserved at helpers.
func TestPromptBeyondOneEnginesMemoryReservesAtOthers(t *testing.T) {
	f := newFleet(14, Predicted)
	choice, id := choose(t, f, start, heavy(900_000))
	require.True(t, choice.NeedsReservations())
	reserved := 0
	names := map[string]bool{}
	for _, helper := range choice.Helpers {
		reserved += helper.Tokens
		require.Equal(t, helper.Tokens > 0, helper.Reservation != "")
		require.LessOrEqual(t, helper.Tokens, spec.MemoryTokens)
		if helper.Reservation != "" {
			names[helper.Reservation] = true
		}
	}
	require.GreaterOrEqual(t, reserved+spec.MemoryTokens, 900_650)
	require.Len(t, names, 1, "the same name at all engines")

	// Reserved memory is not given to the next request.
	f.RecordFirstEvent(start, id)
	for _, u := range f.services["model"] {
		require.LessOrEqual(t, u.memoryTokens, spec.MemoryTokens, u.ID)
	}
	f.RecordEnd(start, id, Served)
	for _, u := range f.services["model"] {
		require.Zero(t, u.memoryTokens, u.ID)
		require.Zero(t, u.backlog, u.ID)
		require.Zero(t, u.contextTokens, u.ID)
	}
}

func TestPromptsThatFitNeedNoReservations(t *testing.T) {
	f := newFleet(14, Predicted)
	choice, _ := choose(t, f, start, heavy(180_000))
	require.NotEmpty(t, choice.Helpers)
	require.False(t, choice.NeedsReservations())
}

// Guards against repeated refusals of a reservation by the same engine: an engine that refused
// one counts as full for a while, because it holds more than is tracked here.
func TestNoReservationAtEngineThatRefusedMemory(t *testing.T) {
	f := newFleet(4, Predicted)
	f.MarkFull(start, Upstream{ID: "u-0001"})
	choice, id := choose(t, f, start, heavy(700_000))
	for _, helper := range choice.Helpers {
		if helper.Upstream.ID == "u-0001" {
			require.Zero(t, helper.Tokens)
		}
	}
	f.RecordEnd(start, id, Served)
}

// Guards against engines whose memory is reserved but unused: none may be reserved at helpers
// while the prompt would wait for a slot of the primary.
func TestNoReservationWhilePrimaryHasNoSlot(t *testing.T) {
	f := newFleet(4, Predicted)
	for _, u := range f.services["model"] {
		for range spec.Slots {
			f.lastPlacementNumber++
			f.place(start, &placement{id: PlacementID{Origin: 1, Number: f.lastPlacementNumber}, promptTokens: 500, gapTarget: time.Second, streaming: true}, plan{primary: u})
		}
	}
	request := heavy(600_000)
	request.Committed = true
	choice, _, verdict := f.Choose(start, request, spec)
	require.False(t, verdict == Place && choice.NeedsReservations())
}

// Guards against refusing all long prompts while engines are idle. A helper is gone and the
// registry still lists it; the engine that reports the failure must not count as full, and the
// next set must not include the same helper.
func TestFaultyHelperIsExcludedFromLaterSets(t *testing.T) {
	f := newFleet(4, Predicted)
	gone := upstreams(4)[2]
	gone.Address = "10.0.0.3:80"
	f.ApplyChanges(start, []Change{gone}, false)
	choice, id := choose(t, f, start, heavy(180_000))
	require.Len(t, choice.Helpers, 3)
	f.RecordEnd(start, id, Abandoned)
	f.RecordFault(start, gone.Upstream, start)
	choice, _ = choose(t, f, start, heavy(180_000))
	require.Len(t, choice.Helpers, 2)
	require.NotEqual(t, gone.ID, choice.Upstream.ID)
	for _, helper := range choice.Helpers {
		require.NotEqual(t, gone.ID, helper.Upstream.ID)
	}
}

// Guards against late requests in a burst. Of fourteen prompts with two seconds of prefill each,
// two are placed and the others wait in the queue when a prompt of 900,000 tokens arrives; its
// 70 s of prefill would make several of them late.
func TestLongestPromptsAreRefusedFirstUnderLoad(t *testing.T) {
	f := newFleet(14, Predicted)
	for range 14 {
		f.Choose(start, heavy(120_000), spec)
	}
	_, _, verdict := f.Choose(start, heavy(900_000), spec)
	require.Equal(t, Overloaded, verdict)
	_, _, verdict = f.Choose(start, short(), spec)
	require.Equal(t, Place, verdict)
	committed := heavy(900_000)
	committed.Committed = true
	_, _, verdict = f.Choose(start, committed, spec)
	require.Equal(t, Place, verdict, "a committed request is not refused for its cost")
	idle := newFleet(14, Predicted)
	_, _, verdict = idle.Choose(start, heavy(900_000), spec)
	require.Equal(t, Place, verdict, "no refusal while engines are free")
}

// Whatever the order of placements, first events and ends, the sums of each upstream match its
// loads, and nothing is left when all requests have ended.
func TestUpstreamSumsMatchLoads(t *testing.T) {
	f := newFleet(6, Predicted)
	var ids []PlacementID
	now := start
	for i := range 200 {
		now = now.Add(time.Duration(i%7) * 13 * time.Millisecond)
		request := short()
		if i%5 == 0 {
			request = heavy(30_000 * (1 + i%20))
		}
		if _, id, verdict := f.Choose(now, request, spec); verdict == Place {
			ids = append(ids, id)
		}
		if i%3 == 0 && len(ids) > 0 {
			f.RecordFirstEvent(now, ids[len(ids)/2])
		}
		if i%4 == 0 && len(ids) > 4 {
			f.RecordEnd(now, ids[0], Outcome(i%4))
			ids = ids[1:]
		}
		checkSums(t, f)
	}
	for _, id := range ids {
		f.RecordEnd(now, id, Served)
	}
	checkSums(t, f)
	for _, u := range f.upstreams {
		require.Empty(t, u.loads)
	}
}

func checkSums(t *testing.T, f *Fleet) {
	t.Helper()
	for _, u := range f.upstreams {
		var backlog time.Duration
		streams, context, memory := 0, 0, 0
		for _, l := range u.loads {
			backlog += l.remaining
			memory += l.memoryTokens
			if !l.helper {
				streams++
				context += l.placement.promptTokens
			}
		}
		require.Equal(t, []any{backlog, streams, context, memory}, []any{u.backlog, u.streams, u.contextTokens, u.memoryTokens}, u.ID)
	}
}
