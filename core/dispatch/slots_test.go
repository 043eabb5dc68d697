package dispatch

import (
	"math"
	"testing"
	"time"

	"acaciacleat.example/core/fairshare"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fillSlots takes the slots of all engines but the given number.
func fillSlots(t *testing.T, f *Fleet, engines, left int) (placed []PlacementID) {
	t.Helper()
	for i := range engines*spec.Slots - left {
		at := start.Add(time.Duration(i-engines*spec.Slots) * 200 * time.Millisecond)
		request := short()
		request.TimeToDeadline = time.Hour
		_, id := choose(t, f, at, request)
		f.RecordFirstEvent(at.Add(100*time.Millisecond), id)
		placed = append(placed, id)
	}
	return placed
}

// Guards against short prompts that wait for one engine's stream to end while another engine's ends
// first.
func TestWaitingPromptTakesTheFirstFreedSlot(t *testing.T) {
	f := newFleet(3, Predicted)
	placed := fillSlots(t, f, 3, 0)
	f.slotQueue("model").freed.Add(start, 100, freedWindow)
	request := short()
	choice, id, verdict := f.Choose(start, request, spec)
	require.Equal(t, Queue, verdict)
	require.Positive(t, choice.Retry.After)
	freed := f.placements[placed[20]].loads[0].upstream
	f.RecordEnd(start.Add(5*time.Millisecond), placed[20], Served)
	request.QueueID = id
	request.FirstEventTarget -= 12 * time.Millisecond
	choice, _, verdict = f.Choose(start.Add(12*time.Millisecond), request, spec)
	require.Equal(t, Place, verdict)
	require.Equal(t, freed.ID, choice.Upstream.ID)
	require.Zero(t, f.WaitingForSlots())
}

// Guards against entries that give one free slot to two requests, or none of two free slots to either.
func TestEntriesAgreeOnTurns(t *testing.T) {
	a, b := newFleet(2, Predicted), newFleet(2, Predicted)
	b.settings.Origin = 2
	placed := fillSlots(t, a, 2, 0)
	b.ApplyEvents(start.Add(-time.Millisecond), 1, a.TakeEvents())
	for _, f := range []*Fleet{a, b} {
		f.slotQueue("model").freed.Add(start, 100, freedWindow)
	}
	first, second := short(), short()
	_, first.QueueID, _ = a.Choose(start, first, spec)
	b.ApplyEvents(start.Add(3*time.Millisecond), 1, a.TakeEvents())
	_, second.QueueID, _ = b.Choose(start.Add(4*time.Millisecond), second, spec)
	a.ApplyEvents(start.Add(7*time.Millisecond), 2, b.TakeEvents())
	now := start.Add(15 * time.Millisecond)
	a.RecordEnd(now, placed[3], Served)
	b.ApplyEvents(now.Add(3*time.Millisecond), 1, a.TakeEvents())
	now = now.Add(5 * time.Millisecond)
	_, _, verdict := b.Choose(now, second, spec)
	require.Equal(t, Queue, verdict, "the other came first")
	_, _, verdict = a.Choose(now, first, spec)
	require.Equal(t, Place, verdict)
}

// Guards against a turn that is never taken, because its entry is frozen, and keeps slots empty.
func TestTurnOfASilentEntryPasses(t *testing.T) {
	f := newFleet(1, Predicted)
	f.ApplyEvents(start, 2, []Event{{Kind: WaitingForSlot, Number: 7, First: TagOf("model"), Prompt: 1, AimMs: 300, LeftMs: 10_000}})
	s := &f.search
	s.fleet, s.now, s.request, s.spec = f, start.Add(299*time.Millisecond), short(), spec
	own := &waiter{service: TagOf("model"), ticket: 5}
	require.Equal(t, 1, s.slotsAhead(own))
	s.now = start.Add(300 * time.Millisecond)
	require.Zero(t, s.slotsAhead(own))
	f.RemoveExpired(start.Add(time.Minute))
	require.Zero(t, f.WaitingForSlots())
}

// Guards against a ticket of another entry that puts all later requests of this one behind for good.
func TestImplausibleTurnsAreDropped(t *testing.T) {
	f := newFleet(1, Predicted)
	service := TagOf("model")
	f.ApplyEvents(start, 2, []Event{
		{Kind: WaitingForSlot, Number: 1, First: service, Prompt: math.MaxInt, AimMs: 300},
		{Kind: WaitingForSlot, Number: 2, First: service, Prompt: 0, AimMs: 300},
		{Kind: WaitingForSlot, Number: 3, Prompt: 1, AimMs: 300},
		{Kind: WaitingForSlot, Number: 4, First: service, Prompt: 1, AimMs: math.MaxInt64},
		{Kind: WaitingForSlot, Number: 5, First: service, Prompt: 2, AimMs: 300, Output: -4},
	})
	require.Equal(t, 1, f.WaitingForSlots())
	require.Equal(t, uint64(4), f.DroppedShares())
	require.Equal(t, 2, f.lastTicket)
	require.Zero(t, f.waiters[PlacementID{Origin: 2, Number: 5}].shareRank)
}

// Guards against refused callers that return together.
func TestRefusedCallersReturnOneAfterAnother(t *testing.T) {
	f := newFleet(2, Predicted)
	fillSlots(t, f, 2, 0)
	f.slotQueue("model").freed.Add(start, 5, freedWindow)
	var last time.Duration
	for range 8 {
		request := short()
		choice, _, verdict := f.Choose(start, request, spec)
		require.Equal(t, Overloaded, verdict, "5 slots a second: no turn in time")
		require.Equal(t, BehindOthers, choice.Explanation.Scarcity.Reason)
		require.Greater(t, choice.Explanation.FirstEvent, request.FirstEventTarget)
		if back := choice.Explanation.ClearTime; back < request.TimeToDeadline/maxRetryShare {
			require.GreaterOrEqual(t, back, last)
			last = back
		}
	}
	require.Greater(t, last, time.Second)
	require.Equal(t, uint64(8), f.ScarcityRefused(BehindOthers))
}

// Guards against effects below capacity: without scarcity no request waits, and other entries are told
// nothing.
func TestNothingChangesWhileSlotsAreFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 6).Draw(t, "engines")
		f := newFleet(engines, Predicted)
		now := start
		var running []PlacementID
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(80, 200).Draw(t, "passed")) * time.Millisecond)
			if len(running) >= engines*spec.Slots/2 || len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				f.RecordEnd(now, running[0], Served)
				running = running[1:]
			}
			request := short()
			request.PromptTokens = rapid.IntRange(100, 9000).Draw(t, "tokens")
			request.Organisation = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation")
			f.search.fleet = f
			choice, id, verdict := f.Choose(now, request, spec)
			require.Equal(t, Place, verdict)
			require.LessOrEqual(t, choice.Explanation.FirstEvent, request.FirstEventTarget)
			f.RecordFirstEvent(now.Add(choice.Explanation.FirstEvent), id)
			running = append(running, id)
		}
		require.False(t, f.Scarce(now))
		require.Empty(t, f.TakeShareReports(now))
		for _, e := range f.TakeEvents() {
			require.NotEqual(t, WaitingForSlot, e.Kind)
		}
	})
}

// Guards against reports on shares that are told without scarcity, or at every event.
func TestSharesAreReportedInScarcityOnly(t *testing.T) {
	f := newFleet(1, Predicted)
	request := short()
	request.Organisation = "a"
	choose(t, f, start, request)
	require.Empty(t, f.TakeShareReports(start))
	f.slotQueue("model").scarceUntil = start.Add(time.Minute)
	reports := f.TakeShareReports(start)
	require.Len(t, reports, 1)
	require.Equal(t, fairshare.TagOf("a"), reports[0].Organisation)
	require.Empty(t, f.TakeShareReports(start.Add(shareReportInterval/2)))
	other := newFleet(1, Predicted)
	require.Equal(t, 1, other.ApplyShareReports(start, 1, reports, nil), "no request of the service has come yet")
	choose(t, other, start, short())
	require.Zero(t, other.ApplyShareReports(start, 1, reports, nil))
	require.Equal(t, 1, other.ApplyShareReports(start, 1, reports, func(fairshare.Tag) bool { return false }))
}

// Guards against predictions that stay wrong under load, and against one wild observation.
func TestPredictionsAreCorrectedByRecentErrors(t *testing.T) {
	var e predictionError
	require.Zero(t, e.correction(start))
	e.add(start, time.Hour)
	require.Zero(t, e.correction(start), "one is too few")
	e = predictionError{}
	for range 20 {
		e.add(start, 40*time.Millisecond)
	}
	require.InDelta(t, 0.040, e.correction(start).Seconds(), 0.005)
	require.Zero(t, e.correction(start.Add(10*time.Second)), "forgotten")
	for range 20 {
		e.add(start, -time.Second)
	}
	require.GreaterOrEqual(t, e.correction(start), time.Duration(0))
}

// Guards against refusing a request while a slot in which it is in time is free.
func TestNoRequestIsRefusedWhileASlotInTimeIsFree(t *testing.T) {
	f := newFleet(2, Predicted)
	placed := fillSlots(t, f, 2, 0)
	for _, id := range placed {
		if pl := f.placements[id]; pl.loads[0].upstream.ID == "u-0001" {
			f.RecordEnd(start.Add(-time.Second), id, Served)
		}
	}
	f.slotQueue("model").scarceUntil = start.Add(time.Minute)
	f.remoteSingles.Add(start, 600, placementWindow) // So free slots aren't plentiful.
	request := short()
	request.FirstEventTarget = 60 * time.Millisecond
	for range 20 {
		f.slotQueue("model").errors[errorBuckets-1].add(start, time.Second)
	}
	choice, id, verdict := f.Choose(start, request, spec)
	require.Equal(t, Queue, verdict, "other entries have to hear of it")
	require.Equal(t, propagationDelay, choice.Retry.After)
	request.QueueID = id
	request.FirstEventTarget -= propagationDelay
	choice, _, verdict = f.Choose(start.Add(propagationDelay), request, spec)
	require.Equal(t, Place, verdict)
	require.Equal(t, "u-0001", choice.Upstream.ID)
}

// Guards against an engine that fails requests at once, and so has free slots, and gets all that wait.
func TestFailingEngineGetsTurnsLast(t *testing.T) {
	f := newFleet(3, Predicted)
	s := &f.search
	s.now, s.request, s.spec = start, short(), spec
	s.candidates = f.services["model"]
	id := s.candidates[0]
	f.recordOutcome(start, id, Failed, start.Add(-time.Millisecond))
	require.Equal(t, 3*spec.Slots, s.findFreeSlots())
	require.NotEqual(t, id, s.freeSlot(0))
	require.Equal(t, id, s.freeSlot(3*spec.Slots-1))
}

// Guards against free slots of an engine that stalls: what waits there is late, whatever is predicted.
func TestStallingEngineGetsNoTurns(t *testing.T) {
	f := newFleet(2, Predicted)
	s := &f.search
	request := short()
	choice, id := choose(t, f, start, request)
	s.now, s.request, s.spec, s.candidates = start.Add(request.FirstEventTarget+time.Millisecond), request, spec, f.services["model"]
	for _, u := range s.candidates {
		u.advance(s.now)
	}
	require.Equal(t, spec.Slots, s.findFreeSlots())
	require.NotEqual(t, choice.Upstream.ID, s.freeSlot(0).ID)
	f.RecordFirstEvent(s.now, id)
	require.Equal(t, 2*spec.Slots-1, s.findFreeSlots())
}

// Guards against a short prompt that is placed behind parts of a long prompt, and is late, while slots in
// time are free.
func TestLatePlanIsNotTakenWhileSlotsInTimeAreFree(t *testing.T) {
	f := newFleet(3, Predicted)
	s := &f.search
	s.now, s.request, s.spec, s.candidates = start, short(), spec, f.services["model"]
	late := s.candidates[2]
	late.partBacklog, late.backlog = time.Second, time.Second
	q := f.slotQueue("model")
	q.scarceUntil = start.Add(time.Minute)
	best := plan{primary: late, partTime: 38 * time.Millisecond}
	s.prefillTime = best.partTime
	require.Positive(t, s.takeTurn(q, &best).retryAfter, "it takes its turn")
	s.request.FirstEventTarget = 0
	decision := s.takeTurn(q, &best)
	require.False(t, decision.refused || decision.retryAfter > 0, "one that is late anyway takes what is left")
}
