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

// entryNames returns the names of n entries.
func entryNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%02d", i)
	}
	return names
}

// members returns relays of the given names, in turn in each of a number of zones.
func members(names []string, zones int) []Member {
	all := make([]Member, len(names))
	for i, name := range names {
		all[i] = Member{VM: name, Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	return all
}

// rolesOf returns the roles of relays that all have links to each other.
func rolesOf(relays []Member) map[Member]Role {
	roles := make(map[Member]Role)
	for i, self := range relays {
		roles[self] = RoleOf(self, append(append([]Member{}, relays[:i]...), relays[i+1:]...))
	}
	return roles
}

// countRoles counts the roles of relays that all have links to each other.
func countRoles(relays []Member) map[Role]int {
	counts := make(map[Role]int)
	for _, role := range rolesOf(relays) {
		counts[role]++
	}
	return counts
}

// Guards against a fleet without followers, and against billed reads of the store that grow with
// the number of entries.
func TestThreeRelaysFollowWhateverTheFleetsSize(t *testing.T) {
	require.Equal(t, map[Role]int{Standalone: 1}, countRoles(members(entryNames(1), 1)))
	require.Equal(t, map[Role]int{Standalone: MaxStandalone}, countRoles(members(entryNames(MaxStandalone), 2)))
	for _, zones := range []int{1, 2, 5} {
		require.Equal(t, map[Role]int{Follower: 3, Listener: 4}, countRoles(members(entryNames(7), zones)))
		require.Equal(t, map[Role]int{Follower: 3, Listener: 97}, countRoles(members(entryNames(100), zones)))
	}
}

// Guards against all followers being lost with one availability zone.
func TestFollowersAreInDifferentZones(t *testing.T) {
	for zones := 1; zones <= 5; zones++ {
		followed := make(map[string]bool)
		for relay, role := range rolesOf(members(entryNames(40), zones)) {
			if role == Follower {
				followed[relay.Zone] = true
			}
		}
		require.Len(t, followed, min(zones, followers))
	}
}

// When an entry leaves, the other entries must not all start or stop reading the feed at once.
func TestRemovedEntryChangesAtMostOneRole(t *testing.T) {
	for _, zones := range []int{1, 2, 5} {
		relays := members(entryNames(20), zones)
		before := rolesOf(relays)
		for removed := range relays {
			remaining := append(append([]Member{}, relays[:removed]...), relays[removed+1:]...)
			after := rolesOf(remaining)
			changed := 0
			for _, self := range remaining {
				if before[self] != after[self] {
					changed++
				}
			}
			require.LessOrEqual(t, changed, 1)
		}
	}
}

// newListeningFeed returns a feed that has been read up to 10 and gets updates from two
// followers.
func newListeningFeed(t *testing.T) *Feed {
	t.Helper()
	f := NewFeed()
	require.True(t, f.Read(start, 10))
	require.False(t, f.HandleUpdate(start, "a", 10, 10))
	require.False(t, f.HandleUpdate(start, "b", 10, 10))
	_, ok := f.CanListen(start, Listener)
	require.True(t, ok)
	return f
}

// Guards against followers that wait for each other's updates, and against a listener that has
// never read the feed and would know only the changes since it started.
func TestFollowersAndUnreadFeedsMustRead(t *testing.T) {
	f := newListeningFeed(t)
	for _, role := range []Role{Standalone, Follower} {
		_, ok := f.CanListen(start, role)
		require.False(t, ok)
	}
	fresh := NewFeed()
	fresh.HandleUpdate(start, "a", 10, 10)
	_, ok := fresh.CanListen(start, Listener)
	require.False(t, ok, "followers only send changes")
	require.Zero(t, fresh.Position())
}

// An entry must not keep an old configuration when all followers of its zone freeze just before
// a change: it relies on a silent follower for FollowerTimeout only.
func TestSilentFollowersAreNotReliedOn(t *testing.T) {
	f := newListeningFeed(t)
	f.HandleUpdate(start.Add(time.Second), "b", 10, 12)
	until, ok := f.CanListen(start.Add(2*time.Second), Listener)
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second+FollowerTimeout), until)
	_, ok = f.CanListen(until, Listener)
	require.False(t, ok)
	require.Equal(t, Position(12), f.Position(), "it reads from the last update")
}

// An entry must not keep an old configuration when followers fail to read the store or the
// links to them end.
func TestDroppedFollowersAreNotReliedOn(t *testing.T) {
	f := newListeningFeed(t)
	f.DropFollower("a")
	_, ok := f.CanListen(start, Listener)
	require.True(t, ok, "the other follower still reads")
	f.DropFollower("b")
	_, ok = f.CanListen(start, Listener)
	require.False(t, ok)
}

// An entry must not go on sending requests to an upstream that left because the update about it
// was lost with a link: the next update begins after the entry's position, so the entry reads
// the feed itself.
func TestMissedUpdatesAreRead(t *testing.T) {
	f := newListeningFeed(t)
	require.False(t, f.HandleUpdate(start, "a", 15, 18))
	_, ok := f.CanListen(start, Listener)
	require.False(t, ok)
	require.Equal(t, Position(10), f.Position(), "it reads from its own position")
	require.True(t, f.Read(start, 18))
	_, ok = f.CanListen(start, Listener)
	require.True(t, ok)
}

// An upstream that has left must not come back into use because a slow read of the entry itself
// returns after a newer update of a follower.
func TestOutdatedReadsAreDropped(t *testing.T) {
	f := newListeningFeed(t)
	require.True(t, f.HandleUpdate(start, "a", 10, 20))
	require.False(t, f.HandleUpdate(start, "b", 10, 20), "the other follower sends the same update")
	require.False(t, f.Read(start, 15))
	require.Equal(t, Position(20), f.Position())
}

// An entry must not keep an old configuration until the next change because it reads from after
// an update whose content was missing or could not be applied.
func TestRevertedUpdatesAreReadAgain(t *testing.T) {
	f := newListeningFeed(t)
	require.True(t, f.HandleUpdate(start, "a", 10, 20))
	f.Revert()
	require.Equal(t, Position(10), f.Position())
	_, ok := f.CanListen(start, Listener)
	require.False(t, ok)
	require.True(t, f.Read(start, 20))
	f.Revert()
	require.Equal(t, Position(10), f.Position())
	require.True(t, f.Read(start, 25))
	_, ok = f.CanListen(start, Listener)
	require.True(t, ok)
}

// After the store has dropped changes that an entry lacks, the entry must not continue with a
// follower's updates: it would never learn of the dropped changes.
func TestResetReadsFromTheBeginning(t *testing.T) {
	f := newListeningFeed(t)
	f.Reset()
	require.Zero(t, f.Position())
	_, ok := f.CanListen(start, Listener)
	require.False(t, ok)
	require.False(t, f.HandleUpdate(start, "a", 20, 25))
	require.True(t, f.Read(start, 22))
	require.Equal(t, Position(22), f.Position())
}

// simulation simulates a store, two followers and a listener in steps of time. The store's list
// of changes is the reference for the changes that the listener should know.
type simulation struct {
	now       time.Time
	store     Position
	changed   map[Position]time.Time
	followers [2]follower
	listener  *Feed
	// known are the changes that the listener has applied.
	known map[Position]bool
	// large are the changes that are too large for an update. omitted are the changes whose
	// update was sent without content because it contained a large change. version is the content
	// version at each position, fetches are the versions that reach the listener by another path,
	// and fetched is the newest of them that has arrived.
	large   map[Position]bool
	omitted map[Position]bool
	version map[Position]uint64
	fetches []fetched
	fetched uint64
}

// fetched is a version that arrives at a given time, with all changes up to a position.
type fetched struct {
	at      time.Time
	version uint64
	upTo    Position
}

// follower reads the store unless it is down, and its updates reach the listener unless it is
// unlinked.
type follower struct {
	position       Position
	down, unlinked bool
	lastRead       time.Time
}

// step advances the time by 100 ms.
func (s *simulation) step() {
	s.now = s.now.Add(100 * time.Millisecond)
	for i := range s.followers {
		f := &s.followers[i]
		if f.down || s.now.Sub(f.lastRead) < FollowerReadWait && f.position == s.store {
			continue
		}
		from := f.position
		f.position, f.lastRead = s.store, s.now
		if !f.unlinked && s.listener.HandleUpdate(s.now, fmt.Sprint(i), from, f.position) {
			s.receive(from, f.position)
		}
	}
	for _, f := range s.fetches {
		if !f.at.After(s.now) && f.version > s.fetched {
			s.fetched = f.version
			s.apply(0, f.upTo)
		}
	}
	s.listener.ContentApplied(s.fetched)
	if _, ok := s.listener.CanListen(s.now, Listener); !ok {
		from := s.listener.Position()
		if s.listener.Read(s.now, s.store) {
			s.apply(from, s.store)
		}
	}
}

// receive applies a follower's update. Of an update with a large change only the version
// arrives.
func (s *simulation) receive(from, to Position) {
	var version uint64
	large := false
	for position := range s.changed {
		if position > from && position <= to {
			version, large = max(version, s.version[position]), large || s.large[position]
		}
	}
	if !large {
		s.apply(from, to)
		return
	}
	s.listener.ExpectContent(s.now, version)
	for position := range s.changed {
		s.omitted[position] = s.omitted[position] || position > from && position <= to
	}
}

func (s *simulation) apply(from, to Position) {
	for position := range s.changed {
		if position > from && position <= to {
			s.known[position] = true
		}
	}
}

// Whatever the followers do, a listener that can read the store misses no change. It knows each
// change within FollowerTimeout plus two steps, or ContentTimeout later if the content was
// announced to arrive by another path.
func TestListenerMissesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, store: 1, changed: map[Position]time.Time{}, known: map[Position]bool{}, listener: NewFeed(), large: map[Position]bool{}, omitted: map[Position]bool{}, version: map[Position]uint64{}}
		s.step()
		var versions uint64
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				s.store++
				versions++
				s.changed[s.store], s.version[s.store] = s.now, versions
			case 7:
				s.store++
				versions++
				s.changed[s.store], s.large[s.store], s.version[s.store] = s.now, true, versions
				if rapid.Bool().Draw(t, "it comes") {
					delay := time.Duration(rapid.IntRange(1, 20).Draw(t, "in tenths")) * 100 * time.Millisecond
					s.fetches = append(s.fetches, fetched{s.now.Add(delay), versions, s.store})
				}
			case 1:
				s.store++ // Another table has changed.
			case 2:
				f := &s.followers[rapid.IntRange(0, 1).Draw(t, "which")]
				f.down = !f.down
			case 3:
				f := &s.followers[rapid.IntRange(0, 1).Draw(t, "which")]
				f.unlinked = !f.unlinked
			case 4:
				s.listener.DropFollower(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "which")))
			}
			s.step()
			for position, at := range s.changed {
				limit := FollowerTimeout + 200*time.Millisecond
				if s.omitted[position] {
					limit += ContentTimeout
				}
				if s.now.Sub(at) > limit {
					require.True(t, s.known[position], "the change at %d is not known after %s", position, s.now.Sub(at))
				}
			}
		}
	})
}

// Guards against an entry that tells others a state of which it doesn't know whether changes were missed.
func TestOnlyAConfirmedStateIsTold(t *testing.T) {
	f := NewFeed()
	confirmed := func(now time.Time) bool {
		_, ok := f.Confirmed(now)
		return ok
	}
	require.False(t, confirmed(start), "nothing is known")
	require.True(t, f.Read(start, 10))
	require.True(t, confirmed(start.Add(FollowerTimeout-1)))
	require.False(t, confirmed(start.Add(FollowerTimeout)))
	f.HandleUpdate(start.Add(FollowerTimeout), "a", 10, 10)
	require.True(t, confirmed(start.Add(FollowerTimeout)))
	f.HandleUpdate(start.Add(FollowerTimeout), "a", 12, 15)
	require.False(t, confirmed(start.Add(FollowerTimeout)), "an update was missed")
	require.False(t, f.HandleState(9, time.Time{}), "it is older")
	require.True(t, f.HandleState(15, time.Time{}))
	require.True(t, confirmed(start.Add(FollowerTimeout)))
	require.False(t, f.HandleState(15, time.Time{}), "it is known")
	require.Equal(t, Position(15), f.Position())
	f.HandleUpdate(start.Add(FollowerTimeout), "a", 15, 20)
	f.ExpectContent(start.Add(FollowerTimeout), 3)
	require.False(t, confirmed(start.Add(FollowerTimeout)), "content is missing")
}

// Guards against a whole fleet that reads the store at once, because its relays read it in the same moment.
func TestRelaysReadBeforeTheEntriesOfTheirZone(t *testing.T) {
	f := newListeningFeed(t)
	relay, _ := f.CanListen(start, Listener)
	attached, ok := f.CanListen(start, Attached)
	require.True(t, ok)
	require.Greater(t, attached, relay.Add(200*time.Millisecond))
	_, ok = f.CanListen(start, Starting)
	require.False(t, ok)
}

// Guards against entries of which none reads, because each takes the state that another one has sent for a
// confirmation that nothing was missed.
func TestEntriesThatSendEachOtherTheStateDoNotConfirmIt(t *testing.T) {
	a, b := NewFeed(), NewFeed()
	require.True(t, a.Read(start, 10))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(FollowerTimeout / 4) {
		for _, pair := range [][2]*Feed{{a, b}, {b, a}} {
			if at, ok := pair[0].Confirmed(now); ok {
				require.Equal(t, start, at)
				pair[1].HandleState(pair[0].Position(), at)
			}
		}
		until, _ := b.CanListen(now, Attached)
		require.Equal(t, start.Add(attachedTimeout), until)
		for _, f := range []*Feed{a, b} {
			_, ok := f.Confirmed(now)
			require.Equal(t, now.Sub(start) < FollowerTimeout, ok)
		}
	}
}

// Guards against an entry that relies on a state of which nobody knew for how long nothing had been missed.
func TestStateOfUnknownAgeIsNoConfirmation(t *testing.T) {
	f := NewFeed()
	require.True(t, f.HandleState(10, time.Time{}))
	_, ok := f.CanListen(start, Attached)
	require.False(t, ok)
	_, ok = f.Confirmed(start)
	require.False(t, ok)
	require.False(t, f.HandleState(9, start), "it is older: changes after it are known")
	_, ok = f.CanListen(start, Attached)
	require.False(t, ok)
}
