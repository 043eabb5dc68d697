package follow

import (
	"fmt"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// zone returns the names of so many entries.
func zone(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%02d", i)
	}
	return names
}

// rolesOf counts the roles that entries choose which all see each other.
func rolesOf(names []string) map[Role]int {
	roles := make(map[Role]int)
	for i, self := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		roles[RoleOf(self, "zone-a", others)]++
	}
	return roles
}

func TestTwoEntriesOfAZoneFollow(t *testing.T) {
	require.Equal(t, map[Role]int{Alone: 1}, rolesOf(zone(1)))
	require.Equal(t, map[Role]int{Alone: 2}, rolesOf(zone(2)))
	require.Equal(t, map[Role]int{Follows: 2, Listens: 1}, rolesOf(zone(3)))
	require.Equal(t, map[Role]int{Follows: 2, Listens: 98}, rolesOf(zone(100)))
}

func TestOneThatGoesIsReplacedAndTheOthersStay(t *testing.T) {
	names := zone(20)
	follows := func(self string, all []string) bool {
		var others []string
		for _, name := range all {
			if name != self {
				others = append(others, name)
			}
		}
		return RoleOf(self, "zone-a", others) == Follows
	}
	for gone := range names {
		left := append(append([]string{}, names[:gone]...), names[gone+1:]...)
		changed := 0
		for _, self := range left {
			if follows(self, names) != follows(self, left) {
				changed++
			}
		}
		require.LessOrEqual(t, changed, 1)
	}
}

// listening returns a feed that has been read up to 10 and hears of two followers.
func listening(t *testing.T) *Feed {
	t.Helper()
	f := NewFeed()
	require.True(t, f.Read(10))
	require.False(t, f.Heard(start, "a", 10, 10))
	require.False(t, f.Heard(start, "b", 10, 10))
	_, ok := f.Listens(start, Listens)
	require.True(t, ok)
	return f
}

func TestWhoFollowsOrHasReadNothingReads(t *testing.T) {
	f := listening(t)
	for _, role := range []Role{Alone, Follows} {
		_, ok := f.Listens(start, role)
		require.False(t, ok)
	}
	fresh := NewFeed()
	fresh.Heard(start, "a", 10, 10)
	_, ok := fresh.Listens(start, Listens)
	require.False(t, ok, "others tell of changes only")
	require.Zero(t, fresh.Place())
}

// Symptom: an entry goes on by an old configuration. Sequence: all followers of its zone freeze
// just before a change. Cause: it relied on who said nothing.
func TestSilentFollowersAreNotReliedOn(t *testing.T) {
	f := listening(t)
	f.Heard(start.Add(time.Second), "b", 10, 12)
	until, ok := f.Listens(start.Add(2*time.Second), Listens)
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second+OverdueAfter), until)
	_, ok = f.Listens(until, Listens)
	require.False(t, ok)
	require.Equal(t, Place(12), f.Place(), "it reads on from what it has heard")
}

// Symptom: as above. Sequence: followers lose the store, or the links to them end.
func TestFollowersThatLoseTheStoreAreNotReliedOn(t *testing.T) {
	f := listening(t)
	f.Lost("a")
	_, ok := f.Listens(start, Listens)
	require.True(t, ok, "the other one reads")
	f.Lost("b")
	_, ok = f.Listens(start, Listens)
	require.False(t, ok)
}

// Symptom: an upstream that leaves goes on to get requests from one entry. Sequence: the
// follower's word of its leaving is lost with a link; the next word tells of something else.
// Cause: a word that begins behind the entry's own place was taken for all there is.
func TestMissedNewsAreRead(t *testing.T) {
	f := listening(t)
	require.False(t, f.Heard(start, "a", 15, 18))
	_, ok := f.Listens(start, Listens)
	require.False(t, ok)
	require.Equal(t, Place(10), f.Place(), "it reads from where it stands")
	require.True(t, f.Read(18))
	_, ok = f.Listens(start, Listens)
	require.True(t, ok)
}

// Symptom: an upstream that has left is in use again. Sequence: a read of the entry's own was
// under way while a follower's word came, and answers later. Cause: older news were put in force.
func TestNewsThatWereOvertakenAreDropped(t *testing.T) {
	f := listening(t)
	require.True(t, f.Heard(start, "a", 10, 20))
	require.False(t, f.Heard(start, "b", 10, 20), "the other follower tells the same")
	require.False(t, f.Read(15))
	require.Equal(t, Place(20), f.Place())
}

// Symptom: an entry goes on by an old configuration until the next change. Sequence: news come
// without their content, or can't be taken up; the entry reads on. Cause: it read from behind them.
func TestNewsThatWereNotTakenUpAreReadAgain(t *testing.T) {
	f := listening(t)
	require.True(t, f.Heard(start, "a", 10, 20))
	f.Miss()
	require.Equal(t, Place(10), f.Place())
	_, ok := f.Listens(start, Listens)
	require.False(t, ok)
	require.True(t, f.Read(20))
	f.Miss()
	require.Equal(t, Place(10), f.Place())
	require.True(t, f.Read(25))
	_, ok = f.Listens(start, Listens)
	require.True(t, ok)
}

func TestRestartReadsFromTheBeginning(t *testing.T) {
	f := listening(t)
	f.Restart()
	require.Zero(t, f.Place())
	_, ok := f.Listens(start, Listens)
	require.False(t, ok)
	require.False(t, f.Heard(start, "a", 20, 25))
	require.True(t, f.Read(22))
	require.Equal(t, Place(22), f.Place())
}

// world is a store, two followers and a listener, played step by step: the naive version of what
// the listener should know is the store's own list of changes.
type world struct {
	now       time.Time
	store     Place
	changed   map[Place]time.Time
	followers [2]follower
	listener  *Feed
	// known are the changes that the listener has put in force.
	known map[Place]bool
	// large are the changes that followers can't send along, omitted those that were told together
	// with one; version is that of the content up to each place, fetches are the versions that come
	// to the listener on another way, and fetched is the newest that has come.
	large   map[Place]bool
	omitted map[Place]bool
	version map[Place]uint64
	fetches []fetched
	fetched uint64
}

// fetched is a version that comes at a time, with all changes up to a place.
type fetched struct {
	at      time.Time
	version uint64
	upTo    Place
}

// follower reads when it is up, and its words reach the listener unless they are cut.
type follower struct {
	place      Place
	down, mute bool
	asked      time.Time
}

// step lets the time pass by a tenth of a second.
func (w *world) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	for i := range w.followers {
		f := &w.followers[i]
		if f.down || w.now.Sub(f.asked) < ListenedWait && f.place == w.store {
			continue
		}
		from := f.place
		f.place, f.asked = w.store, w.now
		if !f.mute && w.listener.Heard(w.now, fmt.Sprint(i), from, f.place) {
			w.hear(from, f.place)
		}
	}
	for _, f := range w.fetches {
		if !f.at.After(w.now) && f.version > w.fetched {
			w.fetched = f.version
			w.learn(0, f.upTo)
		}
	}
	w.listener.InForce(w.fetched)
	if _, ok := w.listener.Listens(w.now, Listens); !ok {
		from := w.listener.Place()
		if w.listener.Read(w.store) {
			w.learn(from, w.store)
		}
	}
}

// hear takes a follower's news; of those that are too large the version comes along.
func (w *world) hear(from, to Place) {
	var version uint64
	large := false
	for place := range w.changed {
		if place > from && place <= to {
			version, large = max(version, w.version[place]), large || w.large[place]
		}
	}
	if !large {
		w.learn(from, to)
		return
	}
	w.listener.Expect(w.now, version)
	for place := range w.changed {
		w.omitted[place] = w.omitted[place] || place > from && place <= to
	}
}

func (w *world) learn(from, to Place) {
	for place := range w.changed {
		if place > from && place <= to {
			w.known[place] = true
		}
	}
}

// What must hold: whatever followers do, a listener that reaches the store knows each change
// within OverdueAfter, or ExpectFor after it was told of one that is to come on another way, and
// a step of its own, and misses none.
func TestListenerMissesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, store: 1, changed: map[Place]time.Time{}, known: map[Place]bool{}, listener: NewFeed(), large: map[Place]bool{}, omitted: map[Place]bool{}, version: map[Place]uint64{}}
		w.step()
		var versions uint64
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				w.store++
				versions++
				w.changed[w.store], w.version[w.store] = w.now, versions
			case 7:
				w.store++
				versions++
				w.changed[w.store], w.large[w.store], w.version[w.store] = w.now, true, versions
				if rapid.Bool().Draw(t, "it comes") {
					way := time.Duration(rapid.IntRange(1, 20).Draw(t, "in tenths")) * 100 * time.Millisecond
					w.fetches = append(w.fetches, fetched{w.now.Add(way), versions, w.store})
				}
			case 1:
				w.store++ // Another table has changed.
			case 2:
				f := &w.followers[rapid.IntRange(0, 1).Draw(t, "which")]
				f.down = !f.down
			case 3:
				f := &w.followers[rapid.IntRange(0, 1).Draw(t, "which")]
				f.mute = !f.mute
			case 4:
				w.listener.Lost(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "which")))
			}
			w.step()
			for place, at := range w.changed {
				limit := OverdueAfter + 200*time.Millisecond
				if w.omitted[place] {
					limit += ExpectFor
				}
				if w.now.Sub(at) > limit {
					require.True(t, w.known[place], "the change at %d is not known after %s", place, w.now.Sub(at))
				}
			}
		}
	})
}
