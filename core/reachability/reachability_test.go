package reachability

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// checked returns a Tracker of zone a whose check of zone c from 100 ms to 250 ms got the given answer, while
// zone b has answered.
func checked(t *testing.T, answered bool) *Tracker {
	tracker := New("a")
	require.True(t, tracker.BeginCheck(at(100), "c", at(0)))
	tracker.Answered(at(110), "b")
	require.Equal(t, !answered, tracker.EndCheck(at(250), at(100), "c", answered))
	return tracker
}

// Guards against dials that time out one upstream after the other in a zone that can't be reached.
func TestSilentZoneIsCutOffUntilItAnswers(t *testing.T) {
	tracker := checked(t, false)
	require.True(t, tracker.Cut("c"))
	require.False(t, tracker.Cut("b"))
	require.Equal(t, []Pair{{"a", "c"}}, tracker.Own())
	require.True(t, tracker.Answered(at(300), "c"))
	require.False(t, tracker.Cut("c"))
	require.Empty(t, tracker.Own())
}

// Guards against a zone that is left out because one of its upstreams, or one packet, is lost.
func TestZoneOfWhichOneUpstreamAnswersIsReachable(t *testing.T) {
	require.False(t, checked(t, true).Cut("c"))
	tracker := New("a")
	require.True(t, tracker.BeginCheck(at(100), "c", at(0)))
	tracker.Answered(at(110), "b")
	tracker.Answered(at(200), "c")
	require.False(t, tracker.EndCheck(at(250), at(100), "c", false), "it answered another call during the check")
	require.False(t, tracker.BeginCheck(at(500), "c", at(150)), "it has answered since the dial began")
}

// Guards against an entry that takes its own loss of the network for cuts of all zones.
func TestCutOffEntryBlamesNoZone(t *testing.T) {
	tracker := New("a")
	tracker.Answered(at(0), "b")
	require.True(t, tracker.BeginCheck(at(2000), "c", at(1900)))
	require.False(t, tracker.EndCheck(at(2150), at(2000), "c", false))
	require.False(t, tracker.Cut("c"))
}

// Guards against an entry that has just lost the network, to which other zones had answered until then.
func TestEntryThatHasJustBeenCutOffBlamesNoZone(t *testing.T) {
	tracker := New("a")
	tracker.Answered(at(90), "b")
	require.True(t, tracker.BeginCheck(at(200), "c", at(100)))
	require.False(t, tracker.EndCheck(at(350), at(200), "c", false))
}

// Guards against a process that wakes from a freeze and takes the dials that ended meanwhile for a cut.
func TestCheckDuringAFreezeProvesNothing(t *testing.T) {
	tracker := New("a")
	require.True(t, tracker.BeginCheck(at(100), "c", at(0)))
	tracker.Answered(at(110), "b")
	require.False(t, tracker.EndCheck(at(800), at(100), "c", false))
}

// Guards against many checks of a zone at once, and checks of the entry's own zone.
func TestChecksAreSpaced(t *testing.T) {
	tracker := checked(t, false)
	require.False(t, tracker.BeginCheck(at(300), "c", at(0)))
	require.True(t, tracker.BeginCheck(at(400), "c", at(0)))
	require.False(t, tracker.BeginCheck(at(400), "a", at(0)))
}

// Guards against a report that holds after its entry has stopped to repeat it, and against a report of one
// entry that takes a zone out of use for another one.
func TestReportsLapseAndOnlyCauseChecks(t *testing.T) {
	tracker := New("a")
	require.True(t, tracker.Report(at(0), 7, Pair{"a", "c"}))
	require.False(t, tracker.Cut("c"))
	require.False(t, tracker.Report(at(0), 8, Pair{"b", "c"}), "another zone's")
	require.False(t, tracker.Report(at(0), 9, Pair{"b", "c"}))
	require.Equal(t, []Pair{{"a", "c"}, {"b", "c"}}, tracker.Pairs(at(900)))
	require.Empty(t, tracker.Pairs(at(1000)))
	require.False(t, checked(t, false).Report(at(300), 7, Pair{"a", "c"}), "known here")
}

// Guards against memory that a faulty entry fills.
func TestReportsAndZonesAreBounded(t *testing.T) {
	tracker := New("a")
	for i := range 2 * maxReports {
		tracker.Report(at(0), uint64(i), Pair{"b", "c"})
		tracker.Answered(at(0), string(rune(0x4e00+i)))
	}
	require.Len(t, tracker.reports, maxReports)
	require.Len(t, tracker.zones, maxZones)
}
