package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: in a burst of long prompts, some that should have been read in a third of a
// second take four, until the burst is over; later ones are read before them. Sequence: a
// prompt is read in parts; before it is done, others are placed on the same engines. Cause:
// engines read the newest part first, and the model had them read the oldest first.
func TestNewestPartIsReadFirst(t *testing.T) {
	f := newFleet(2, Predicted)
	engines := f.services["model"]
	older, newer := &work{id: WorkID{Number: 1}}, &work{id: WorkID{Number: 2}}
	f.place(start, older, plan{first: engines[0], helpers: engines[1:], left: 300 * time.Millisecond})
	f.place(start, newer, plan{first: engines[1], helpers: engines[:1], left: 200 * time.Millisecond})
	single := &work{id: WorkID{Number: 3}}
	f.place(start, single, plan{first: engines[0], left: 30 * time.Millisecond})

	engines[0].drain(start.Add(150 * time.Millisecond))
	require.Equal(t, 50*time.Millisecond, newer.loads[1].left)
	require.Equal(t, 300*time.Millisecond, older.loads[0].left)
	require.Equal(t, 30*time.Millisecond, single.loads[0].left)
	engines[0].foresee()
	require.Equal(t, 50*time.Millisecond, newer.loads[1].done)
	require.Equal(t, 350*time.Millisecond, older.loads[0].done)
	require.Equal(t, 380*time.Millisecond, single.loads[0].done, "what is no part comes last")
}

// Symptom and sequence as above. Cause: a new prompt's cost did not count whom it delays.
func TestBurstOfLongPromptsIsReadInTime(t *testing.T) {
	p := newPlay(newFleet(14, Predicted))
	for i := range 12 {
		p.ask(time.Duration(i)*150*time.Millisecond, heavy(150_000))
	}
	p.run(t, 10*time.Second)
	for _, a := range p.asked {
		require.NotZero(t, a.first, "read")
		require.Less(t, a.first-a.at, 4*time.Second)
	}
}

// Symptom: long prompts are late although engines are free. Sequence: streams of long
// prompts run at an engine each; a further prompt needs several engines. Cause: the set's
// engine with the least memory in use wrote each stream, so that soon all engines wrote
// some and every reading made a stream pause for too long.
func TestStreamsOfLongPromptsArePacked(t *testing.T) {
	f := newFleet(14, Predicted)
	now := start
	leads := map[string]int{}
	for range 4 {
		request := heavy(80_000)
		choice, id := choose(t, f, now, request)
		require.NotEmpty(t, choice.Helpers)
		leads[choice.Upstream.ID]++
		now = now.Add(choice.Why.First)
		f.Begun(now, id)
	}
	require.Len(t, leads, 1, "while it has room, one engine writes them all")
}

// Symptom: one in six short requests is late by some hundred milliseconds, on engines that
// had a slot left as they were chosen. Sequence: several entries place a request before they
// hear of each other. Cause: packing to the last slot led all of them to the same one.
func TestShortRequestsLeaveALastSlotForOtherEntries(t *testing.T) {
	f := newFleet(4, Predicted)
	now := start
	most := map[string]int{}
	for range 40 {
		choice, id := choose(t, f, now, short())
		most[choice.Upstream.ID]++
		now = now.Add(40 * time.Millisecond)
		f.Begun(now, id)
	}
	for id, streams := range most {
		require.Less(t, streams, spec.Slots, "%s was filled while others had room", id)
	}
}
