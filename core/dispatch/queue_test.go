package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulatedRequest is a request in a simulation. Times count from start.
type simulatedRequest struct {
	at      time.Duration
	request *Request
	queueID PlacementID
	id      PlacementID
	choice  Choice
	// placed and firstEvent are the times of its placement and its first event; zero if not
	// yet.
	placed     time.Duration
	firstEvent time.Duration
	refused    bool
}

// simulation sends requests to a fleet, retries those that wait in the queue, and reports the
// first event of each at its predicted time.
type simulation struct {
	fleet *Fleet
	// decodeTime is the time from the first event of a request to its end.
	decodeTime time.Duration
	requests   []*simulatedRequest
}

func newSimulation(f *Fleet) *simulation { return &simulation{fleet: f} }

func (s *simulation) add(at time.Duration, request *Request) *simulatedRequest {
	r := &simulatedRequest{at: at, request: request}
	s.requests = append(s.requests, r)
	return r
}

// simulationStep is the time step of a simulation.
const simulationStep = 5 * time.Millisecond

// run simulates the given time from start.
func (s *simulation) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < duration; at += simulationStep {
		now := start.Add(at)
		for _, r := range s.requests {
			switch {
			case r.firstEvent > 0:
				if r.id != (PlacementID{}) && at >= r.firstEvent+s.decodeTime {
					s.fleet.RecordEnd(now, r.id, Served)
					r.id = PlacementID{}
				}
			case at < r.at || r.refused:
			case r.placed > 0:
				if at >= r.placed+r.choice.Explanation.FirstEvent {
					r.firstEvent = at
					s.fleet.RecordFirstEvent(now, r.id)
				}
			default:
				s.choose(t, now, at, r)
			}
		}
	}
}

func (s *simulation) choose(t *testing.T, now time.Time, at time.Duration, r *simulatedRequest) {
	t.Helper()
	request := *r.request
	request.FirstEventTarget -= at - r.at
	request.TimeToDeadline -= at - r.at
	request.QueueID = r.queueID
	choice, id, verdict := s.fleet.Choose(now, &request, spec)
	switch verdict {
	case Place:
		r.choice, r.id, r.placed = choice, id, max(at, 1) // Zero means not placed.
	case Queue:
		require.Positive(t, choice.Retry.After)
		r.queueID = id
	case Overloaded:
		r.refused = true
	default:
		t.Fatalf("verdict %d", verdict)
	}
}

// Guards against later prompts delaying those already sent, because engines prefill the newest
// part first.
func TestLaterPartsDoNotDelaySentPrompts(t *testing.T) {
	s := newSimulation(newFleet(8, Predicted))
	for i := range 8 {
		s.add(time.Duration(i)*40*time.Millisecond, heavy(150_000))
	}
	s.run(t, 10*time.Second)
	for _, r := range s.requests {
		require.NotZero(t, r.firstEvent)
		expected := r.placed + r.choice.Explanation.FirstEvent
		require.InDelta(t, expected.Seconds(), r.firstEvent.Seconds(), 2*simulationStep.Seconds(), "first events come as predicted")
	}
	require.Greater(t, s.requests[7].placed, s.requests[7].at+100*time.Millisecond, "the last one waited")
}

// Guards against refusing a prompt only because it will miss its target, although engines are
// idle.
func TestIdleEnginesAcceptPromptsThatWillBeLate(t *testing.T) {
	s := newSimulation(newFleet(14, Predicted))
	late := s.add(0, heavy(700_000))
	s.run(t, 12*time.Second)
	require.False(t, late.refused)
	require.Greater(t, late.firstEvent, 3*time.Second)
}

// Guards against a burst that makes all prompts late: if engines can't prefill all in time, the
// longest is refused, as it takes the time of several others.
func TestLongestPromptsAreRefusedInABurst(t *testing.T) {
	s := newSimulation(newFleet(8, Predicted))
	longest := s.add(150*time.Millisecond, heavy(600_000))
	for i := range 20 {
		s.add(time.Duration(i)*100*time.Millisecond, heavy(140_000))
	}
	s.run(t, 15*time.Second)
	require.True(t, longest.refused)
	inTime := 0
	for _, r := range s.requests {
		if r.firstEvent > 0 && r.firstEvent-r.at < 4*time.Second {
			inTime++
		}
	}
	require.GreaterOrEqual(t, inTime, 16)
}

// Guards against several entries placing their waiting prompts at once, or none of them doing
// so: entries that know of each other's queues must agree on the order.
func TestEntriesAgreeOnQueueOrder(t *testing.T) {
	a, b := newFleet(4, Predicted), newFleet(4, Predicted)
	b.settings.Origin = 2
	choose(t, a, start, heavy(160_000))
	b.ApplyEvents(start, 1, a.TakeEvents())
	now := start.Add(10 * time.Millisecond)
	relaxed, urgent := heavy(160_000), heavy(160_000)
	urgent.FirstEventTarget -= time.Second
	_, relaxedID, verdict := a.Choose(now, relaxed, spec)
	require.Equal(t, Queue, verdict)
	_, urgentID, verdict := b.Choose(now, urgent, spec)
	require.Equal(t, Queue, verdict)
	a.ApplyEvents(now, 2, b.TakeEvents())
	b.ApplyEvents(now, 1, a.TakeEvents())

	elapsed := 1200 * time.Millisecond // The first prompt is prefilled by then.
	now = start.Add(elapsed)
	relaxed.QueueID, urgent.QueueID = relaxedID, urgentID
	relaxed.FirstEventTarget -= elapsed
	urgent.FirstEventTarget -= elapsed
	_, _, verdict = a.Choose(now, relaxed, spec)
	require.Equal(t, Queue, verdict, "the other has the earlier target")
	_, _, verdict = b.Choose(now, urgent, spec)
	require.Equal(t, Place, verdict)
}

// Guards against waiting behind a request that is gone because it was withdrawn, its entry
// died, or its time is over.
func TestAbandonedRequestsLeaveTheQueue(t *testing.T) {
	cases := map[string]func(f, other *Fleet, id PlacementID){
		"given up": func(f, other *Fleet, id PlacementID) {
			other.Withdraw(id)
			f.ApplyEvents(start, 2, other.TakeEvents())
		},
		"entry lost": func(f, _ *Fleet, _ PlacementID) { f.RemoveOrigin(start, 2) },
		// The time is after the request's deadline and expiryMargin.
		"time over": func(f, _ *Fleet, _ PlacementID) { f.RemoveExpired(start.Add(17 * time.Second)) },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			f, other := newFleet(4, Predicted), newFleet(4, Predicted)
			other.settings.Origin = 2
			choose(t, other, start, heavy(160_000))
			_, id, verdict := other.Choose(start, heavy(160_000), spec)
			require.Equal(t, Queue, verdict)
			f.ApplyEvents(start, 2, other.TakeEvents())
			_, own, verdict := f.Choose(start, heavy(170_000), spec)
			require.Equal(t, Queue, verdict)
			changed := f.queueChanged
			end(f, other, id)
			require.NotContains(t, f.waiters, id)
			if name != "time over" {
				require.Contains(t, f.waiters, own)
				require.NotEqual(t, changed, f.queueChanged, "local waiters are woken")
			}
		})
	}
}

// Guards against engines that stay idle while long prompts wait behind the head of the queue,
// because the entry of the head is frozen or partitioned.
func TestUnresponsiveQueueHeadIsBypassed(t *testing.T) {
	f := newFleet(6, Predicted)
	f.ApplyEvents(start, 2, []Event{{Kind: Waiting, Number: 7, PartMs: 2000, AimMs: 1500, LeftMs: 15_000}})
	request := heavy(160_000)
	placed := time.Duration(0)
	for at := time.Duration(0); at < 2*time.Second; at += simulationStep {
		_, id, verdict := f.Choose(start.Add(at), request, spec)
		if verdict == Place {
			placed = at
			break
		}
		require.Equal(t, Queue, verdict)
		request.QueueID = id
	}
	require.Greater(t, placed, headTimeout, "a live entry has time to place its request")
	require.Less(t, placed, 2*headTimeout)
}

// Guards against other entries keeping a request in their queues because it was placed under
// another ID than the one under which it waited.
func TestPlacementKeepsItsQueueID(t *testing.T) {
	f, other := newFleet(4, Predicted), newFleet(4, Predicted)
	_, first := choose(t, f, start, heavy(160_000))
	request := heavy(160_000)
	_, queueID, verdict := f.Choose(start, request, spec)
	require.Equal(t, Queue, verdict)
	other.ApplyEvents(start, 1, f.TakeEvents())
	require.Len(t, other.waiters, 1)
	now := start.Add(time.Second)
	f.RecordFirstEvent(now, first)
	request.QueueID = queueID
	_, id := choose(t, f, now, request)
	require.Equal(t, queueID, id)
	other.ApplyEvents(now, 1, f.TakeEvents())
	require.Empty(t, other.waiters)
	require.Contains(t, other.placements, queueID)
}

// Guards against refusing a high-priority request before a low-priority one: if one of two
// waiting prompts must be deferred, the higher priority value decides before the length.
func TestLowerPriorityIsDeferredFirst(t *testing.T) {
	f := NewFleet(Settings{Origin: 1})
	urgent := &waiter{id: PlacementID{Origin: 1, Number: 1}, priority: 0, prefillTime: 3 * time.Second, target: start.Add(3 * time.Second)}
	other := &waiter{id: PlacementID{Origin: 1, Number: 2}, priority: 1, prefillTime: time.Second, target: start.Add(3 * time.Second)}
	f.waiters[urgent.id], f.waiters[other.id] = urgent, other
	require.False(t, f.queueAheadOf(start, urgent, 0, 1).late)
	require.True(t, f.queueAheadOf(start, other, 0, 1).late)
	other.priority = 0
	require.True(t, f.queueAheadOf(start, urgent, 0, 1).late)
	require.False(t, f.queueAheadOf(start, other, 0, 1).late)
}

// Guards against telling callers to retry later than necessary. A long prompt is considered
// while engines are busy, and a short one is refused after they have become idle; its ClearTime
// must follow from the backlog at the refusal.
func TestClearTimeFollowsCurrentBacklog(t *testing.T) {
	f := newFleet(2, Predicted)
	choose(t, f, start, heavy(160_000))
	f.Choose(start, heavy(160_000), spec)
	later := start.Add(20 * time.Second)
	f.RemoveExpired(later)
	hopeless := short()
	hopeless.TimeToDeadline = time.Millisecond
	choice, _, verdict := f.Choose(later, hopeless, spec)
	require.Equal(t, Overloaded, verdict)
	require.Zero(t, choice.Explanation.ClearTime)
}

// Among requests of equal priority, the number of those in time equals the largest number that
// any subset allows.
func TestQueueOrderMaximisesRequestsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet(Settings{Origin: 1})
		n := rapid.IntRange(1, 7).Draw(t, "waiting")
		engines := rapid.IntRange(1, 4).Draw(t, "engines")
		backlog := time.Duration(rapid.IntRange(0, 2000).Draw(t, "backlog")) * time.Millisecond
		for i := range n {
			id := PlacementID{Origin: 1, Number: uint64(i + 1)}
			f.waiters[id] = &waiter{
				id:          id,
				prefillTime: time.Duration(rapid.IntRange(1, 3000).Draw(t, "read")) * time.Millisecond,
				target:      start.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "aim")) * time.Millisecond),
			}
		}
		inTime := 0
		for _, w := range f.waiters {
			if !f.queueAheadOf(start, w, backlog, engines).late {
				inTime++
			}
		}
		require.Equal(t, maxInTime(f.waiters, backlog, engines), inTime)
	})
}

// maxInTime returns the largest number of waiters that can be in time together. It tries all
// subsets.
func maxInTime(waiters map[PlacementID]*waiter, backlog time.Duration, engines int) int {
	var all []*waiter
	for _, w := range waiters {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return a.target.Compare(b.target) })
	best := 0
	for set := range 1 << len(all) {
		sum, count, fits := backlog, 0, true
		for i, w := range all {
			if set>>i&1 == 1 {
				sum += w.prefillTime
				count++
				fits = fits && !start.Add(sum/time.Duration(engines)).After(w.target)
			}
		}
		if fits {
			best = max(best, count)
		}
	}
	return best
}

// Guards against a surge that makes all short prompts late: when the slots of all engines are
// taken, further prompts are refused instead of waiting in the engines' queues. A committed
// request is placed all the same.
func TestShortPromptsAreRefusedWhenNoSlotFreesInTime(t *testing.T) {
	const interval, decodeTime = 20 * time.Millisecond, 1700 * time.Millisecond
	f := newFleet(2, Predicted)
	s := newSimulation(f)
	s.decodeTime = decodeTime
	for i := range 400 {
		s.add(time.Duration(i)*interval, short())
	}
	s.run(t, 10*time.Second)
	placed, inTime, refused := 0, 0, 0
	for _, r := range s.requests {
		switch {
		case r.refused:
			refused++
		case r.placed > 0:
			placed++
			if r.firstEvent-r.at <= 300*time.Millisecond {
				inTime++
			}
		}
	}
	require.Equal(t, 400, placed+refused, "all have an answer")
	require.Greater(t, placed, 100, "the slots are used")
	require.Greater(t, refused, 100)
	require.Greater(t, 10*inTime, 8*placed, "requests with a slot are in time")
	committed := short()
	committed.Committed = true
	_, _, verdict := f.Choose(start, committed, spec)
	require.Equal(t, Place, verdict, "a committed request is not refused")
}
