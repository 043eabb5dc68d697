package evacuation

import (
	"fmt"
	"strings"
	"testing"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// store is the reference: it lists the changes of all versions, the first being that of version 1.
type store []Change

// at returns whether a zone is evacuated at a version.
func (s store) at(zone string, version uint64) bool {
	for v := version; v > 0; v-- {
		if s[v-1].Zone == zone {
			return s[v-1].Evacuated
		}
	}
	return false
}

func (s store) version() uint64 { return uint64(len(s)) }

// all returns the evacuated zones at a version.
func (s store) all(version uint64) (changes []Change) {
	for v := version; v > 0; v-- {
		if c := s[v-1]; c.Evacuated && s.lastOf(c.Zone, version) == v {
			changes = append(changes, c)
		}
	}
	return changes
}

// lastOf returns the version of a zone's last change up to a version.
func (s store) lastOf(zone string, version uint64) uint64 {
	for v := version; v > 0; v-- {
		if s[v-1].Zone == zone {
			return v
		}
	}
	return 0
}

// knownAt returns the version at which a set knows the state of a zone.
func (s *Set) knownAt(zone string) uint64 { return max(s.position, s.zones[zone].Version) }

var testZones = []string{"a", "b", "c"}

// network is a store, entries and the messages between them, which arrive in any order, repeatedly or
// never.
type network struct {
	store    store
	sets     [3]Set
	feeds    [3]uint64
	messages []Report
	known    [3]map[string]uint64
}

// check requires that no set knows anything that was never true, or goes back.
func (n *network) check(t *rapid.T) {
	for i := range n.sets {
		s := &n.sets[i]
		for _, zone := range testZones {
			at := s.knownAt(zone)
			require.GreaterOrEqual(t, at, n.known[i][zone], "set %d goes back", i)
			n.known[i][zone] = at
			require.Equal(t, n.store.at(zone, at), s.zones[zone].Evacuated, "set %d, zone %s at version %d", i, zone, at)
		}
	}
}

// read makes a set read the store from a position up to a version that may be past.
func (n *network) read(i int, from, to uint64) {
	changes := n.store.all(to)
	if from > 0 {
		changes = n.store[from:to]
	}
	n.send(n.sets[i].Read(changes, from, to))
	n.feeds[i] = max(n.feeds[i], to)
}

func (n *network) send(news []Change) {
	if len(news) > 0 {
		n.messages = append(n.messages, Report{Changes: news})
	}
}

func (n *network) receive(i int, r Report) {
	if r.Position > 0 {
		n.send(n.sets[i].Read(r.Changes, 0, r.Position))
		return
	}
	n.send(n.sets[i].Merge(r.Changes))
}

// Guards against an order, loss or repetition of reads and reports in which an entry sends to an evacuated
// zone, or leaves out a zone that was taken back.
func TestSetsConvergeToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{}
		for i := range n.known {
			n.known[i] = make(map[string]uint64)
		}
		entry := rapid.IntRange(0, len(n.sets)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				zone := rapid.SampledFrom(testZones).Draw(t, "zone")
				evacuated := !n.store.at(zone, n.store.version())
				n.store = append(n.store, Change{Zone: zone, Version: n.store.version() + 1, Evacuated: evacuated})
			},
			"read all": func(t *rapid.T) {
				if n.store.version() > 0 {
					n.read(entry.Draw(t, "entry"), 0, rapid.Uint64Range(1, n.store.version()).Draw(t, "to"))
				}
			},
			"read changes": func(t *rapid.T) {
				i := entry.Draw(t, "entry")
				if from := n.feeds[i]; from > 0 {
					n.read(i, from, rapid.Uint64Range(from, n.store.version()).Draw(t, "to"))
				}
			},
			"miss changes": func(t *rapid.T) {
				i := entry.Draw(t, "entry")
				n.feeds[i] = rapid.Uint64Range(n.feeds[i], n.store.version()).Draw(t, "position")
			},
			"open a link": func(t *rapid.T) {
				changes, position := n.sets[entry.Draw(t, "from")].Snapshot()
				n.messages = append(n.messages, Report{Changes: changes, Position: position})
			},
			"deliver": func(t *rapid.T) {
				if len(n.messages) > 0 {
					n.receive(entry.Draw(t, "entry"), rapid.SampledFrom(n.messages).Draw(t, "message"))
				}
			},
			"restart": func(t *rapid.T) {
				i := entry.Draw(t, "entry")
				n.sets[i], n.feeds[i], n.known[i] = Set{}, 0, make(map[string]uint64)
			},
			"": n.check,
		})
		if n.store.version() == 0 {
			return
		}
		n.read(0, 0, n.store.version())
		changes, position := n.sets[0].Snapshot()
		n.receive(1, Report{Changes: changes, Position: position})
		for _, i := range []int{0, 1} {
			for _, zone := range testZones {
				require.Equal(t, n.store.at(zone, n.store.version()), n.sets[i].zones[zone].Evacuated)
			}
		}
		n.check(t)
	})
}

// Guards against a zone that stays evacuated, or is used, because it was taken back and evacuated again
// within a second, in whatever order an entry hears of it.
func TestZoneTakenBackAndEvacuatedAgain(t *testing.T) {
	changes := []Change{{"a", 10, true}, {"a", 11, false}, {"a", 12, true}}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		var s Set
		for _, i := range order {
			s.Merge([]Change{changes[i]})
			s.Merge([]Change{changes[i]})
		}
		require.Equal(t, []string{"a"}, s.Evacuated(), order)
		require.Equal(t, []Change{{"a", 13, false}}, s.Read(nil, 0, 13))
		require.Empty(t, s.Merge(changes), "older than what the store says")
		require.Empty(t, s.Evacuated())
	}
}

// Guards against an entry that takes a zone back because a read that began before the evacuation ends after
// the report of it.
func TestLateReadTakesNothingBack(t *testing.T) {
	var s Set
	s.Read(nil, 0, 5)
	s.Merge([]Change{{"a", 8, true}})
	require.Empty(t, s.Read(nil, 0, 7))
	require.Empty(t, s.Read(nil, 7, 8), "another table has changed")
	require.Equal(t, []string{"a"}, s.Evacuated())
}

// Guards against changes that an entry doesn't know but believes to know, because others have told it of a
// later position of the feed only.
func TestMissedChangesAreStillTakenUp(t *testing.T) {
	var s Set
	s.Read(nil, 0, 5)
	s.Read(nil, 9, 12)
	require.NotEmpty(t, s.Merge([]Change{{"a", 8, true}}))
}

// Guards against reports that fill an entry's memory, or that take the room of zones which are evacuated.
func TestSetIsBounded(t *testing.T) {
	var s Set
	for i := range uint64(3 * MaxZones) {
		s.Merge([]Change{{fmt.Sprint("ended-", i), i + 1, false}})
	}
	require.Len(t, s.zones, MaxZones)
	require.NotEmpty(t, s.Merge([]Change{{"a", 1, true}}), "it takes the room of an ended one")
	for i := range uint64(MaxZones) {
		s.Merge([]Change{{fmt.Sprint("zone-", i), i + 1, true}})
	}
	require.Len(t, s.zones, MaxZones)
	require.Contains(t, s.Evacuated(), "a")
	require.Positive(t, s.Rejected())
	changes, _ := s.Snapshot()
	require.Len(t, changes, MaxZones)
}

// Guards against names that can't be a zone's.
func TestInvalidZonesAreRejected(t *testing.T) {
	var s Set
	for _, zone := range []string{"", "\xff", "a\uFFFD", strings.Repeat("a", MaxZoneBytes+1)} {
		require.Empty(t, s.Merge([]Change{{zone, 1, true}}), "%q", zone)
	}
	require.EqualValues(t, 4, s.Rejected())
	require.NotEmpty(t, s.Merge([]Change{{strings.Repeat("é", MaxZoneBytes/2), 1, true}}))
}
