package fetch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFetch() *Fetch { return New(rand.New(rand.NewPCG(1, 1))) }

// value returns an encoding of so many parts.
func value(version uint64, parts int) []byte {
	data := make([]byte, parts*PartBytes-1)
	for i := range data {
		data[i] = byte(uint64(i) * version)
	}
	return data
}

// shelfOf returns a shelf with one version.
func shelfOf(version uint64, parts int) *Shelf {
	s := NewShelf()
	s.Put(start, version, value(version, parts))
	return s
}

// next requires that a holder is asked now.
func next(t *testing.T, f *Fetch, now time.Time, inForce uint64) (Ask, string) {
	t.Helper()
	ask, name, again := f.Next(now, inForce)
	require.NotEmpty(t, name)
	require.True(t, again.After(now))
	return ask, name
}

func TestOwnFeedHasTimeToBringWhatIsAnnounced(t *testing.T) {
	f := newFetch()
	f.Announced(start, 3, "a", true, 4)
	_, name, again := f.Next(start, 3)
	require.Empty(t, name)
	require.Equal(t, start.Add(HoldOff), again)
	_, name, again = f.Next(again, 4)
	require.Empty(t, name, "the own feed brought it")
	require.Zero(t, again)
}

func TestNobodyIsAskedForWhatIsInForce(t *testing.T) {
	f := newFetch()
	f.Announced(start, 3, "a", true, 3)
	_, name, again := f.Next(start.Add(time.Hour), 3)
	require.Empty(t, name)
	require.Zero(t, again)
}

// Guards against an announcement that is lost while an older one waits.
func TestNewerAnnouncementIsNotLostWhileAnOlderOneWaits(t *testing.T) {
	f := newFetch()
	f.Announced(start, 0, "a", true, 1)
	f.Announced(start, 0, "b", true, 9)
	_, name := next(t, f, start.Add(HoldOff), 1)
	require.Equal(t, "b", name)
}

// Guards against asking one holder only, which may be lost before it answers.
func TestAllWhoAnnouncedAreAskedInTurn(t *testing.T) {
	f := newFetch()
	now := start
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.Announced(now, 8, name, true, 9)
	}
	var asked []string
	for now = now.Add(HoldOff); len(asked) < len(names); now = now.Add(partTimeout) {
		_, name := next(t, f, now, 8)
		asked = append(asked, name)
	}
	slices.Sort(asked)
	require.Equal(t, names, asked)
	next(t, f, now, 8) // And the first again.
}

func TestHoldersWhoseLinkEndsAreNotAskedAnyMore(t *testing.T) {
	f := newFetch()
	f.Announced(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	next(t, f, now, 8)
	f.Gone("a")
	_, name, again := f.Next(now, 8)
	require.Empty(t, name)
	require.Zero(t, again)
	f.Announced(now, 8, "a", true, 9)
	next(t, f, now, 8)
}

func TestNearHoldersGoFirst(t *testing.T) {
	f := newFetch()
	for i := range 20 {
		f.Announced(start, 8, fmt.Sprint("far", i), false, 9)
	}
	f.Announced(start, 8, "near", true, 9)
	_, name := next(t, f, start.Add(HoldOff), 8)
	require.Equal(t, "near", name)
}

// Guards against a slow link being loaded with a second copy of what is on its way.
func TestOneIsAskedAtATime(t *testing.T) {
	f, s := newFetch(), shelfOf(9, 3)
	f.Announced(start, 8, "a", true, 9)
	f.Announced(start, 8, "b", true, 9)
	now := start.Add(HoldOff)
	ask, name := next(t, f, now, 8)
	for part := range 3 {
		_, other, again := f.Next(now.Add(partTimeout-1), 8)
		require.Empty(t, other, "the answer to %s is awaited", name)
		require.Equal(t, now.Add(partTimeout), again)
		now = now.Add(partTimeout - 1)
		whole, version := f.Received(now, 8, name, s.Get(now, "x", ask))
		if part == 2 {
			require.Equal(t, value(9, 3), whole)
			require.Equal(t, uint64(9), version)
			break
		}
		require.Nil(t, whole)
		var same string
		ask, same = next(t, f, now, 8)
		require.Equal(t, name, same, "parts come from one holder as long as it answers")
	}
	_, other, again := f.Next(now, 8)
	require.Empty(t, other, "it is handed over")
	require.Zero(t, again)
}

func TestParts(t *testing.T) {
	t.Run("go on at another holder", func(t *testing.T) {
		f, s := newFetch(), shelfOf(9, 2)
		f.Announced(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		ask, name := next(t, f, now, 8)
		f.Received(now, 8, name, s.Get(now, "x", ask))
		f.Announced(now, 8, "b", true, 9)
		f.Gone("a")
		ask, name = next(t, f, now, 8)
		require.Equal(t, "b", name)
		require.Equal(t, Ask{Version: 9, Part: 1}, ask)
		whole, _ := f.Received(now, 8, name, shelfOf(9, 2).Get(now, "x", ask))
		require.Equal(t, value(9, 2), whole)
	})
	t.Run("of another encoding begin anew", func(t *testing.T) {
		f, s := newFetch(), shelfOf(9, 2)
		f.Announced(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		ask, name := next(t, f, now, 8)
		f.Received(now, 8, name, s.Get(now, "x", ask))
		_, name = next(t, f, now, 8)
		whole, _ := f.Received(now, 8, name, &Part{Version: 9, Sum: 1, Part: 1, Parts: 2, Data: []byte("x")})
		require.Nil(t, whole)
		ask, _ = next(t, f, now, 8)
		require.Zero(t, ask.Part)
	})
	t.Run("that were spoilt are fetched again", func(t *testing.T) {
		f, s := newFetch(), shelfOf(9, 1)
		f.Announced(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		ask, name := next(t, f, now, 8)
		spoilt := *s.Get(now, "x", ask)
		spoilt.Data = bytes.Repeat([]byte{1}, len(spoilt.Data))
		whole, _ := f.Received(now, 8, name, &spoilt)
		require.Nil(t, whole)
		ask, name = next(t, f, now.Add(partTimeout), 8)
		whole, _ = f.Received(now, 8, name, s.Get(now, "x", ask))
		require.Equal(t, value(9, 1), whole)
	})
	t.Run("that make no sense are not taken, and not asked for at once", func(t *testing.T) {
		for _, part := range []Part{
			{Version: 9, Part: 2, Parts: 2}, {Version: 9, Part: -1, Parts: 2}, {Version: 9, Parts: -1},
			{Version: 9, Parts: mostParts + 1}, {Version: 9, Parts: 1, Data: make([]byte, PartBytes+1)}, {Version: 8, Parts: 1},
		} {
			f := newFetch()
			f.Announced(start, 8, "a", true, 9)
			now := start.Add(HoldOff)
			_, name := next(t, f, now, 8)
			whole, _ := f.Received(now, 8, name, &part)
			require.Nil(t, whole)
			_, name, again := f.Next(now, 8)
			require.Empty(t, name, "%+v", part)
			require.Equal(t, now.Add(partTimeout), again)
		}
	})
}

func TestWhatWasDroppedIsFetchedAgain(t *testing.T) {
	f, s := newFetch(), shelfOf(9, 1)
	f.Announced(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	ask, name := next(t, f, now, 8)
	_, version := f.Received(now, 8, name, s.Get(now, "x", ask))
	_, _, again := f.Next(now, 8)
	require.Zero(t, again)
	f.Dropped(now, version)
	_, _, again = f.Next(now, 8)
	require.Equal(t, now.Add(partTimeout), again)
	next(t, f, again, 8)
}

// Guards against a holder's link being filled by all who ask it.
func TestHolderServesAFewAtATime(t *testing.T) {
	s := shelfOf(9, 2)
	for i := range mostAskers {
		require.Equal(t, 2, s.Get(start, fmt.Sprint(i), Ask{}).Parts)
	}
	require.Zero(t, s.Get(start, "late", Ask{}).Parts)
	require.Equal(t, 2, s.Get(start, "0", Ask{Version: 9, Part: 1}).Parts, "who has begun goes on")
	require.Equal(t, 2, s.Get(start.Add(askerFor), "late", Ask{}).Parts)

	f := newFetch()
	f.Announced(start, 8, "busy", true, 9)
	f.Announced(start, 8, "other", false, 9)
	now := start.Add(HoldOff)
	_, name := next(t, f, now, 8)
	require.Equal(t, "busy", name)
	f.Received(now, 8, name, &Part{})
	_, name = next(t, f, now, 8)
	require.Equal(t, "other", name)
}

// Guards against nobody getting any version while changes come faster than one is fetched.
func TestVersionThatIsBeingFetchedIsKeptWhileNewerOnesCome(t *testing.T) {
	const parts = 6
	f, s := newFetch(), shelfOf(9, parts)
	f.Announced(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	for part := range parts {
		ask, name := next(t, f, now, 8)
		require.Equal(t, part, ask.Part)
		whole, version := f.Received(now, 8, name, s.Get(now, "x", ask))
		if part == parts-1 {
			require.Equal(t, uint64(9), version)
			require.Equal(t, value(9, parts), whole)
		}
		newer := uint64(10 + part)
		s.Put(now, newer, value(newer, parts))
		f.Announced(now, 8, "a", true, newer)
		now = now.Add(partTimeout / 2)
	}
	ask, _ := next(t, f, now, 8)
	require.Zero(t, ask.Part, "then the newest")
	require.Equal(t, uint64(15), s.Newest())
	require.LessOrEqual(t, len(s.kept), mostKept)
}

// Guards against an entry that stays behind, or is sent much more than it lacks, over links that
// lose and delay messages, end and come back, while versions go on changing.
func TestFetchEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 10 * time.Millisecond
		type answer struct {
			at   time.Time
			from string
			part *Part
		}
		names := []string{"a", "b", "c"}
		shelves := map[string]*Shelf{}
		for _, name := range names {
			shelves[name] = NewShelf()
		}
		f := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		lossPercent := rapid.IntRange(0, 30).Draw(t, "loss, in 100")
		latest := rapid.IntRange(1, 80).Draw(t, "longest way, in ticks")
		changes := rapid.IntRange(1, 6).Draw(t, "changes")
		parts := rapid.IntRange(1, 5).Draw(t, "parts")
		var version, inForce uint64
		var under []answer
		// asks are those made; lost, late, ended and useful tell what became of them.
		var asks, lost, late, ended, useful int
		var asked time.Time // When the ask that has no answer yet was made.
		now := start
		change := func() {
			version++
			for _, name := range names {
				shelves[name].Put(now, version, value(version, parts))
				f.Announced(now, inForce, name, name == "a", version)
			}
		}
		step := func(troubled bool) {
			now = now.Add(tick)
			ask, name, _ := f.Next(now, inForce)
			if name != "" {
				require.True(t, asked.IsZero() || now.Sub(asked) >= partTimeout, "two asks at a time")
				asks, asked = asks+1, now
				way := 1
				if troubled {
					way = rapid.IntRange(1, latest).Draw(t, "way")
				}
				if time.Duration(way)*tick >= partTimeout {
					late++
				}
				if troubled && rapid.IntRange(0, 99).Draw(t, "lost") < lossPercent {
					lost++
				} else {
					under = append(under, answer{now.Add(time.Duration(way) * tick), name, shelves[name].Get(now, "x", ask)})
				}
			}
			for i := 0; i < len(under); i++ {
				if under[i].at.After(now) {
					continue
				}
				whole, got := f.Received(now, inForce, under[i].from, under[i].part)
				asked = time.Time{}
				under = slices.Delete(under, i, i+1)
				i--
				if whole != nil {
					require.Equal(t, value(got, parts), whole)
					require.Greater(t, got, inForce)
					inForce = got
					useful += parts
				}
			}
		}
		for range changes {
			change()
			for range rapid.IntRange(0, 60).Draw(t, "ticks") {
				step(true)
			}
			if gone := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "link that ends"); gone != "" {
				f.Gone(gone)
				under = slices.DeleteFunc(under, func(a answer) bool { return a.from == gone })
				ended, asked = ended+1, time.Time{}
				f.Announced(now, inForce, gone, gone == "a", version)
			}
		}
		for range int(5 * time.Second / tick) {
			step(false)
		}
		require.Equal(t, version, inForce)
		abandoned := (changes - 1) * parts // Of versions that holders have dropped meanwhile.
		require.LessOrEqual(t, asks, useful+abandoned+lost+2*late+ended)
	})
}
