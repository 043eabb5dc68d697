package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against late long prompts in bursts. Engines prefill the newest part first; if the
// model doesn't, a prompt with a third of a second of prefill takes four seconds, because those
// of later prompts come before it.
func TestNewestPartIsReadFirst(t *testing.T) {
	f := newFleet(2, Predicted)
	engines := f.services["model"]
	older, newer := &placement{id: PlacementID{Number: 1}}, &placement{id: PlacementID{Number: 2}}
	f.place(start, older, plan{primary: engines[0], helpers: engines[1:], partTime: 300 * time.Millisecond})
	f.place(start, newer, plan{primary: engines[1], helpers: engines[:1], partTime: 200 * time.Millisecond})
	single := &placement{id: PlacementID{Number: 3}}
	f.place(start, single, plan{primary: engines[0], partTime: 30 * time.Millisecond})

	engines[0].advance(start.Add(150 * time.Millisecond))
	require.Equal(t, 50*time.Millisecond, newer.loads[1].remaining)
	require.Equal(t, 300*time.Millisecond, older.loads[0].remaining)
	require.Equal(t, 30*time.Millisecond, single.loads[0].remaining)
	engines[0].predictPrefill()
	require.Equal(t, 50*time.Millisecond, newer.loads[1].prefillDone)
	require.Equal(t, 350*time.Millisecond, older.loads[0].prefillDone)
	require.Equal(t, 380*time.Millisecond, single.loads[0].prefillDone, "a whole prompt comes after all parts")
}

// Guards against a burst whose prompts make each other late: the cost of a placement must
// include the losses of the prompts that it delays.
func TestBurstOfLongPromptsIsReadInTime(t *testing.T) {
	s := newSimulation(newFleet(14, Predicted))
	for i := range 12 {
		s.add(time.Duration(i)*150*time.Millisecond, heavy(150_000))
	}
	s.run(t, 10*time.Second)
	for _, r := range s.requests {
		require.NotZero(t, r.firstEvent, "read")
		require.Less(t, r.firstEvent-r.at, 4*time.Second)
	}
}

// Guards against late long prompts while engines are free. If each stream of a long prompt goes
// to the engine with the least memory in use, soon all engines decode some, and every prefill
// stretches the pauses of a stream too far.
func TestLongPromptStreamsArePacked(t *testing.T) {
	f := newFleet(14, Predicted)
	now := start
	primaries := map[string]int{}
	for range 4 {
		request := heavy(80_000)
		choice, id := choose(t, f, now, request)
		require.NotEmpty(t, choice.Helpers)
		primaries[choice.Upstream.ID]++
		now = now.Add(choice.Explanation.FirstEvent)
		f.RecordFirstEvent(now, id)
	}
	require.Len(t, primaries, 1, "one engine decodes all streams while it has room")
}

// Guards against placing requests on an engine's last slot. Several entries would choose the
// same engine for it before they learn of each other; one in six short requests placed on a last
// slot was hundreds of milliseconds late.
func TestShortRequestsLeaveLastSlotForOtherEntries(t *testing.T) {
	f := newFleet(4, Predicted)
	now := start
	streamsByEngine := map[string]int{}
	for range 40 {
		choice, id := choose(t, f, now, short())
		streamsByEngine[choice.Upstream.ID]++
		now = now.Add(40 * time.Millisecond)
		f.RecordFirstEvent(now, id)
	}
	for id, streams := range streamsByEngine {
		require.Less(t, streams, spec.Slots, "%s was filled while others had room", id)
	}
}
