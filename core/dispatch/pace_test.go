package dispatch

import (
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/enginemodel"
	"acaciacleat.example/core/pace"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// reportPace has two other entries report the pace of an upstream.
func reportPace(f *Fleet, now time.Time, id string, value float64) {
	for origin := uint64(8); origin < 10; origin++ {
		f.ApplyPaces(now, origin, []pace.Report{{Tag: uint32(TagOf(id)), Pace: value, Observations: 20}})
	}
}

// Guards against decisions that change although all engines keep the published pace: for drawn loads
// they are the same, byte for byte, with the pauses of streams observed and without.
func TestPublishedPaceChangesNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observing, other := newFleet(12, Predicted), newFleet(12, Predicted)
		type stream struct {
			id   PlacementID
			last time.Time
		}
		var streams []stream
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			request := short()
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				request = heavy(rapid.IntRange(20_000, 400_000).Draw(t, "tokens"))
			}
			choice, id, verdict := observing.Choose(now, request, spec)
			otherChoice, otherID, otherVerdict := other.Choose(now, request, spec)
			choice.Retry.Changed, otherChoice.Retry.Changed = nil, nil
			require.Equal(t, otherVerdict, verdict)
			require.Equal(t, otherChoice, choice)
			if verdict == Place {
				at := now.Add(choice.Explanation.FirstEvent)
				observing.RecordFirstEvent(at, id)
				other.RecordFirstEvent(at, otherID)
				streams = append(streams, stream{id, at})
			}
			for i := range streams {
				s := &streams[i]
				if u := observing.placements[s.id].loads[0].upstream; now.After(s.last) {
					pause := spec.PassTime(u.streams, u.contextTokens)
					s.last = s.last.Add(pause)
					observing.RecordPause(s.last, s.id, pause)
				}
			}
		}
		require.Zero(t, observing.Slow())
	})
}

// Guards against inheriting the pace of an incarnation that has ended.
func TestRestartBeginsAtPublishedPace(t *testing.T) {
	f := newFleet(2, Predicted)
	f.ApplyChanges(start, incarnation(2, 1000), false)
	u := f.upstreams["u-0001"]
	reportPace(f, start, u.incarnation, 4)
	require.Equal(t, 4.0, u.paceFactor())
	f.ApplyChanges(start, incarnation(2, 2000), false)
	require.Equal(t, 1.0, f.upstreams["u-0001"].paceFactor())
	reportPace(f, start, u.incarnation, 4)
	require.Equal(t, 1.0, f.upstreams["u-0001"].paceFactor(), "a report on the one that ended")
}

// A set waits for its slowest engine.
func TestSlowEnginesAreLeftOutOfSets(t *testing.T) {
	f := newFleet(12, Predicted)
	reportPace(f, start, "u-0011", 3)
	reportPace(f, start, "u-0007", 3)
	choice, _ := choose(t, f, start, heavy(200_000))
	require.GreaterOrEqual(t, len(choice.Helpers), 5)
	for _, u := range append(choice.Helpers, Helper{Upstream: choice.Upstream}) {
		require.NotContains(t, []string{"u-0007", "u-0011"}, u.Upstream.ID)
	}
}

// countChoices sends requests at an interval to n upstreams, of which u-0001 is reported as three times
// slower. It returns how many each one gets. Each takes the given time, and three times that at u-0001.
func countChoices(t *testing.T, f *Fleet, request *Request, spec *enginemodel.Spec, interval, took time.Duration) map[string]int {
	type running struct {
		id  PlacementID
		end time.Time
	}
	var all []running
	count := map[string]int{}
	for i := range 2000 {
		now := start.Add(time.Duration(i) * interval)
		reportPace(f, now, "u-0001", 3)
		all = slices.DeleteFunc(all, func(r running) bool {
			if now.Before(r.end) {
				return false
			}
			f.RecordEnd(now, r.id, Served)
			return true
		})
		choice, id, verdict := f.Choose(now, request, spec)
		require.Equal(t, Place, verdict)
		end := now.Add(took)
		if choice.Upstream.ID == "u-0001" {
			end = end.Add(2 * took)
		}
		count[choice.Upstream.ID]++
		all = append(all, running{id, end})
	}
	return count
}

// A slow engine still serves short prompts that are in time there, and gets at most its part.
func TestSlowEngineServesWhatIsInTime(t *testing.T) {
	count := countChoices(t, newFleet(2, Predicted), short(), spec, 60*time.Millisecond, 900*time.Millisecond)
	require.Positive(t, count["u-0001"], "%v", count)
	require.LessOrEqual(t, float64(count["u-0001"]), 0.4*float64(count["u-0000"]), "%v", count)
}

// Of the requests to a plain service, an upstream three times slower gets about a third of what each
// other one gets.
func TestSlowPlainUpstreamGetsItsPart(t *testing.T) {
	request := &Request{Service: "model", TimeToDeadline: time.Minute}
	count := countChoices(t, newFleet(4, LeastOutstanding), request, nil, time.Millisecond, 30*time.Millisecond)
	for name, n := range count {
		if name != "u-0001" {
			require.InDelta(t, 1.0/3, float64(count["u-0001"])/float64(n), 0.1, "%v", count)
		}
	}
}
