package policytest

import (
	"testing"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// playDays plays days of a deployment with the product's own choices, one for each seed from 1.
func playDays(d *deployment, seeds uint64, load float64, pattern pattern) [][]*prompt {
	days := make([][]*prompt, seeds)
	for i := range days {
		days[i] = d.play(variant{dispatch.Predicted, sharedView}, uint64(i)+1, load, pattern)
	}
	return days
}

// Symptom: streams of middle and short prompts end by their deadline with dozens of events
// out, on engines that read a third of their time. Sequence: many prompts of middle length,
// each read in parts by engines that write streams. Cause: every pause was good by itself, and
// nobody looked whether a stream of such pauses comes to its end.
func TestWhatHasBegunComesToItsEnd(t *testing.T) {
	const third = 0.46 // of its usual rate middleDeployment asks for a third of the engines' time
	for kind, tally := range tallyOf(playDays(middleDeployment, 5, third, even)...) {
		t.Logf("%s: %+v", kind, tally)
		require.Zero(t, tally.cut, "%s prompts were ended by their deadline", kind)
	}
}

// Symptom: one short prompt in eight is late on a fleet that reads an eighth of its time.
// Sequence: short prompts press; 103 entries each choose the best engine as they know it.
// Cause: it is the same one for all, and its last slots are taken before they hear of each other.
func TestShortPromptsAreInTimeOnALargeFleet(t *testing.T) {
	short := tallyOf(playDays(largeDeployment, 1, 1, phases)...)["short"]
	t.Logf("%+v, late %.3f", short, short.share(short.late))
	require.Less(t, short.share(short.late), 0.08)
	require.Less(t, short.share(short.cut+short.refused), 0.005)
}

// Symptom: a quarter of the heavy prompts is refused in bursts although engines have time.
// Sequence: short and heavy prompts press at once. Cause: each short prompt went where it was
// read a little sooner, until every engine wrote a short stream, beside which nothing long may
// be read.
func TestShortPromptsLeaveEnginesToLongOnes(t *testing.T) {
	tallies := tallyOf(playDays(usualDeployment, 6, 1, bursts)...)
	heavy, short := tallies["heavy"], tallies["short"]
	t.Logf("heavy %+v, refused %.3f; short %+v, late %.3f", heavy, heavy.share(heavy.refused), short, short.share(short.late))
	require.Less(t, heavy.share(heavy.refused), 0.2)
	require.Less(t, short.share(short.late+short.cut+short.refused), 0.08)
}
