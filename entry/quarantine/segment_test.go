package quarantine

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// crashSegments reports to an entry that an upstream has crashed before it answered a prompt with segments.
func (e *entry) crashSegments(i int, name string, segments ...string) {
	e.RecordCrash(upstream(i), []Suspect{{Print: printOf(name), Request: "id-" + name, Service: "model", Segments: segments}})
	waitOneSecond()
}

// holdsSegments reports whether an entry holds prompts with the segments back.
func (e *entry) holdsSegments(segments ...string) bool {
	_, held := e.Held(requestOf("unlike any other", segments...))
	return held
}

// crashUntilHeld lets prompts that share a segment crash upstreams until the entry holds the segment back.
func crashUntilHeld(t *testing.T, e *entry, segment string) {
	for i := 0; !e.holdsSegments(segment); i++ {
		require.Less(t, i, 5)
		e.crashSegments(i, fmt.Sprint("request-", i), fmt.Sprint("sound-", i), segment)
	}
}

// Guards against a segment whose hold is lost with the links, with the store or with all entries.
func TestSegmentIsHeldBackAtAllEntries(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other, apart := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2"), startEntry(t, s, "entry-3")
		crashUntilHeld(t, one, "fatal")
		require.Contains(t, one.log.String(), `"segment":"fatal"`)
		rows, faults, err := List(t.Context(), s, "quarantine")
		require.NoError(t, err)
		require.Empty(t, faults)
		require.Len(t, rows, 1, "requests with a single crash are not written")
		require.Equal(t, "fatal", rows[0].Segment)
		require.Len(t, rows[0].Crashes, 4)
		sendReports(one, other)
		require.True(t, other.holdsSegments("fatal"))
		require.False(t, other.holdsSegments("sound-0"))
		require.True(t, startEntry(t, s, "entry-4").holdsSegments("fatal"), "an entry that starts reads it in the store")
		require.False(t, apart.holdsSegments("fatal"))
		time.Sleep(defaultRereadInterval)
		require.True(t, apart.holdsSegments("fatal"))

		linked := startEntry(t, newStore(), "entry-5")
		linked.Receive("entry-1", one.Current())
		require.True(t, linked.holdsSegments("fatal"), "an entry that links later learns the holds")
	})
}

// Guards against entries that each see too few crashes of a segment and don't add them up.
func TestEntriesAddUpTheCrashesOfASegment(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2")
		for i := range 2 {
			one.crashSegments(10+i, "request-1", "fatal")
		}
		require.False(t, one.holdsSegments("fatal"))
		for i := range 2 {
			other.crashSegments(20+i, "request-2", "fatal")
		}
		require.True(t, other.holdsSegments("fatal"), "read in the store")
		linked, alsoLinked := startEntry(t, newStore(), "entry-3"), startEntry(t, newStore(), "entry-4")
		for i := range 4 {
			linked.crashSegments(30+i, fmt.Sprint("request-", i), "fatal-too")
			sendReports(linked, alsoLinked)
			waitOneSecond()
		}
		require.True(t, alsoLinked.holdsSegments("fatal-too"), "told over the link")
	})
}

// Guards against a sound segment that stays held back once a prompt with it has been answered.
func TestAnswerClearsASegmentEverywhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one, other := startEntry(t, s, "entry-1"), startEntry(t, s, "entry-2")
		crashUntilHeld(t, one, "popular")
		sendReports(one, other)
		rows := len(s.names())
		other.RecordAnswer(requestOf("sound", "popular"))
		sendReports(other, one)
		waitOneSecond()
		require.False(t, one.holdsSegments("popular"))
		require.False(t, other.holdsSegments("popular"))
		require.Len(t, s.names(), rows-1)
		one.crashSegments(50, "request-50", "popular")
		require.False(t, one.holdsSegments("popular"), "crashes are counted from zero")
	})
}

// Guards against a segment that an operator can't release.
func TestOperatorReleasesASegment(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newStore()
		one := startEntry(t, s, "entry-1")
		crashUntilHeld(t, one, "fatal")
		released, err := json.Marshal(Record{ReleasedMs: time.Now().UnixMilli(), WrittenMs: time.Now().UnixMilli()})
		require.NoError(t, err)
		print := fingerprint.OfSegment("model", "fatal")
		require.NoError(t, s.Put(t.Context(), table.Key{Row: rowName(print, "operator")}, released))
		time.Sleep(defaultRereadInterval + time.Second)
		require.False(t, one.holdsSegments("fatal"))
	})
}

// Guards against entries that, when a hold ends, all send what crashed upstreams at the same moment.
func TestOneTrialAtATimeAfterAHold(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const count = 20
		var entries []*entry
		for i := range count {
			e := startEntry(t, newStore(), fmt.Sprint("entry-", i))
			e.SetEntries(count)
			entries = append(entries, e)
		}
		exchange := func() {
			for _, from := range entries {
				reports := from.Reports()
				for _, to := range entries {
					if to != from {
						to.Receive("peer", reports)
					}
				}
			}
		}
		for i := range 4 {
			entries[0].RecordCrash(upstream(i), []Suspect{{Print: printOf(fmt.Sprint(i)), Service: "model", Segments: []string{"fatal"}}})
			exchange()
			time.Sleep(time.Second / 2)
		}
		require.True(t, entries[count-1].holdsSegments("fatal"))
		trials := 0
		for end := time.Now().Add(segmentHold + 10*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for i, e := range entries {
				r := requestOf(fmt.Sprint("request ", time.Now(), i), "fatal")
				if _, held := e.Held(r); held {
					continue
				}
				trials++
				_, held := e.Held(r)
				require.False(t, held, "a trial that was admitted goes on")
				time.AfterFunc(time.Second, func() {
					e.RecordCrash(upstream(1000+trials), []Suspect{{Print: r.Print(), Service: "model", Segments: []string{"fatal"}}})
				})
				exchange()
			}
			exchange()
		}
		require.Equal(t, 1, trials, "the others wait for the outcome, which is known a second later")
	})
}

// Guards against a sound segment that stays held back because the prompt that was tried was refused before it ran.
func TestTrialThatDidNotRunMakesRoomForTheNext(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		one := startEntry(t, newStore(), "entry-1")
		crashUntilHeld(t, one, "sound")
		time.Sleep(segmentHold)
		tried, next := requestOf("tried", "sound"), requestOf("next", "sound")
		isHeld := func(r Request) bool {
			_, held := one.Held(r)
			return held
		}
		require.False(t, isHeld(tried))
		one.RecordFailure(next, result.NotRun)
		one.RecordFailure(tried, result.Unknown)
		require.True(t, isHeld(next), "the outcome of the trial isn't known yet")
		one.RecordFailure(tried, result.NotRun)
		require.False(t, isHeld(next))
		require.True(t, isHeld(tried), "one at a time")
	})
}

// Guards against a sound segment that stays held back because the prompt that was tried has a fatal one as well.
func TestTrialHasNoOtherSuspect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		one := startEntry(t, newStore(), "entry-1")
		crashUntilHeld(t, one, "sound")
		one.crashSegments(90, "request-90", "fatal")
		time.Sleep(segmentHold)
		require.True(t, one.holdsSegments("sound", "fatal"))
		require.False(t, one.holdsSegments("sound"))
	})
}

// Guards against requests without an ID that pass as one trial.
func TestRequestsWithoutIDAreTrialsOfTheirOwn(t *testing.T) {
	g, now := &gate{}, time.Now()
	require.Zero(t, g.wait(now, ""))
	begun, err := g.admit(now, "")
	require.NoError(t, err)
	require.True(t, begun)
	require.Equal(t, trialInterval, g.wait(now, ""))
	_, err = g.admit(now, "")
	require.Error(t, err)
}

// Guards against several requests that arrive at the same moment and all pass as the trial.
func TestOneOfManyRequestsAtOnceIsTheTrial(t *testing.T) {
	g, now := &gate{}, time.Now()
	var admitted atomic.Int32
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			id := fmt.Sprint(i)
			if _, err := g.admit(now, id); g.wait(now, id) == 0 && err == nil {
				admitted.Add(1)
			}
		})
	}
	all.Wait()
	require.EqualValues(t, 1, admitted.Load())
}

// Guards against a process that counts answers of long ago as recent.
func TestAnswerCountsDecay(t *testing.T) {
	var counts answerCounts
	segment := fingerprint.OfSegment("model", "a")
	for range 5 {
		counts.add(segment)
	}
	now := time.Now()
	counts.halvedAt = now
	counts.decay(now.Add(answerHalfLife / 2))
	require.Equal(t, uint32(5), counts.count(segment))
	for i := range 3 {
		counts.decay(now.Add(time.Duration(i+1) * answerHalfLife))
	}
	require.Zero(t, counts.count(segment))
}

func BenchmarkHeldWhileASegmentIsHeldBack(b *testing.B) {
	k := New(Config{Settings: corequarantine.DefaultSettings, Log: zerolog.Nop()})
	k.Receive("entry-2", []corequarantine.Report{{Kind: corequarantine.SegmentHoldReport, Print: fingerprint.OfSegment("model", "fatal"), LeftMs: 1e6, Times: 1}})
	r := requestOf("sound", "a", "b")
	b.ReportAllocs()
	for b.Loop() {
		k.Held(r)
	}
}
