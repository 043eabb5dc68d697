// Package follow decides which entries read the platform's feeds themselves, and when one that
// hears of changes from them has to read on its own. It does no I/O.
//
// All entries need the same two feeds. If each reads them, what the store answers grows with
// the number of entries, and every answer is paid for. So a few entries of each availability
// zone follow a feed and pass on what they read; the others listen. Nothing safe hangs on who
// follows: an entry listens only as long as followers tell it, again and again, that they have
// read up to now.
package follow

import (
	"slices"
	"time"

	"acaciacleat.example/core/rendezvous"
)

const (
	// perZone is the number of entries of an availability zone that follow: two, so that one
	// may be cut off, frozen or replaced without the others having to read.
	perZone = 2
	// OverdueAfter is how long an entry relies on a follower that says nothing. With a read of
	// its own after that, a change is in force well within the two seconds that operators
	// are promised, also where all followers of its zone stand still at once.
	OverdueAfter = 1300 * time.Millisecond
	// ListenedWait is how long a follower's read waits for a change while others listen: each
	// answer, also an empty one, tells them that nothing was missed. It leaves time for the
	// word's way, and for the pause between two reads, within OverdueAfter.
	ListenedWait = time.Second
	// ExpectFor is how long an entry waits for news that followers could not send along to come on
	// another way, before it reads them itself.
	ExpectFor = 600 * time.Millisecond
)

// Role is what an entry does for a feed.
type Role uint8

// The roles.
const (
	// Alone entries read for themselves: their zone has no more entries than would follow.
	Alone Role = iota
	// Follows: the entry reads and tells the others of its zone.
	Follows
	// Listens: the entry hears of changes from those that follow.
	Listens
)

// RoleOf returns the role of an entry in its availability zone, of which members are the other
// entries that it has links to. Two entries with other members in sight may choose
// differently: then some more follow, or some listen in vain and read.
func RoleOf(self, zone string, members []string) Role {
	if len(members) < perZone {
		return Alone
	}
	all := append(slices.Clone(members), self)
	for _, i := range rendezvous.Ranked(zone, all)[:perZone] {
		if all[i] == self {
			return Follows
		}
	}
	return Listens
}

// Place is where a feed's reader stands: everything up to this version is known.
type Place uint64

// Feed is what one entry knows of how current one of its feeds is. Its methods are called
// with increasing times and not concurrently.
type Feed struct {
	place Place
	// before is the place from which the last news led to it.
	before Place
	// words are the times at which followers last told that they had read up to then.
	words map[string]time.Time
	// behind says that news were missed: the next read must be the entry's own.
	behind   bool
	expected expected
}

// expected are news that were heard of and come on another way than the feed.
type expected struct {
	// version is that of the content that must be in force; zero for none.
	version uint64
	// before is the place behind which the news are, and due when they must have come.
	before Place
	due    time.Time
}

// NewFeed returns a Feed that has to be read from its beginning.
func NewFeed() *Feed { return &Feed{words: make(map[string]time.Time)} }

// Place returns where to read on from; zero for the beginning.
func (f *Feed) Place() Place {
	if f.expected.version > 0 {
		return f.expected.before
	}
	return f.place
}

// Behind tells whether news were missed, which the entry has to read itself.
func (f *Feed) Behind() bool { return f.behind }

// Listens tells whether the entry can leave the reading to others now, and up to when if
// it hears nothing more. One that has never read the feed can't: others tell of changes only.
func (f *Feed) Listens(now time.Time, role Role) (until time.Time, ok bool) {
	overdue := f.expected.version > 0 && !now.Before(f.expected.due)
	if role != Listens || f.behind || f.place == 0 || overdue {
		return time.Time{}, false
	}
	for _, at := range f.words {
		if due := at.Add(OverdueAfter); due.After(until) {
			until = due
		}
	}
	if f.expected.version > 0 && f.expected.due.Before(until) {
		until = f.expected.due
	}
	return until, until.After(now)
}

// Read takes the place that a read of the entry's own has led to, from another one. It tells
// whether the news are to be put in force: they are older than what is known where a
// follower's word has overtaken them.
func (f *Feed) Read(to Place) bool {
	f.behind = false
	if to < f.place {
		return false
	}
	f.expected = expected{} // It was read from before them.
	f.move(to)
	return true
}

func (f *Feed) move(to Place) { f.before, f.place = f.place, to }

// Restart forgets the place: the store no longer has what came after it.
func (f *Feed) Restart() { f.place, f.expected = 0, expected{} }

// Heard takes a follower's word that it has read from one place to another just now. It tells
// whether the news that came with it are to be put in force.
//
// What goes wrong if a word that begins after the entry's own place were taken: what changed
// between the two would never be heard of, an upstream that leaves, say. The entry reads
// itself instead.
func (f *Feed) Heard(now time.Time, follower string, from, to Place) bool {
	f.words[follower] = now
	switch {
	case from > f.place:
		f.behind = true
		return false
	case to <= f.place:
		return false
	}
	f.move(to)
	return true
}

// Miss takes back what the last call of Read or Heard has told to put in force: the news came
// without their content, or could not be taken up. The entry has to read them itself.
//
// What goes wrong if the place stayed: the next read would begin behind them, and they would
// never come again.
func (f *Feed) Miss() { f.place, f.behind = f.before, true }

// Expect notes that the news of the last call of Heard are to come on another way: they are known
// once content of at least this version is in force.
//
// What goes wrong if the place alone were kept: a read from behind the news would never bring them.
func (f *Feed) Expect(now time.Time, version uint64) {
	if f.expected.version == 0 {
		f.expected = expected{before: f.before, due: now.Add(ExpectFor)}
	}
	f.expected.version = max(f.expected.version, version)
}

// InForce notes the version of the content that is in force.
func (f *Feed) InForce(version uint64) {
	if version >= f.expected.version {
		f.expected = expected{}
	}
}

// Lost notes that a follower's own read has failed, or that its link has ended.
func (f *Feed) Lost(follower string) { delete(f.words, follower) }
