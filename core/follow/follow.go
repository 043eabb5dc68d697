// Package follow decides which entries read the platform's feeds directly, and when an entry
// that receives updates from them must read a feed itself. It does no I/O.
//
// All entries need the same two feeds. If each read them, the number of billed reads of the
// store would grow with the number of entries. So a few entries of each availability zone,
// the followers, read a feed and forward what they read; the others are listeners. Correctness
// does not depend on the choice of followers: an entry relies on them only as long as they
// keep confirming that they have read up to the present.
package follow

import (
	"slices"
	"time"

	"acaciacleat.example/core/rendezvous"
)

const (
	// followersPerZone is the number of followers in an availability zone. With two, one may be
	// partitioned, frozen or replaced without the listeners having to read.
	followersPerZone = 2
	// FollowerTimeout is how long a listener relies on a follower that sends nothing. Then
	// the listener reads the feed itself, so that a change is applied within the two seconds
	// promised to operators even if all followers of its zone stop at once.
	FollowerTimeout = 1300 * time.Millisecond
	// FollowerReadWait is how long a follower's read waits for a change while there are listeners:
	// each answer, even an empty one, is forwarded as a confirmation that nothing was missed.
	// It leaves time within FollowerTimeout for sending the update and for the pause between two
	// reads.
	FollowerReadWait = time.Second
	// ContentTimeout is how long a listener waits for content that was too large for an update and
	// arrives by another path, before it reads the feed itself.
	ContentTimeout = 600 * time.Millisecond
)

// Role is the role of an entry for a feed.
type Role uint8

const (
	// Standalone is the role of an entry that reads the feed for itself only, since its zone has
	// no more entries than followersPerZone.
	Standalone Role = iota
	// Follower is the role of an entry that reads the feed and forwards updates to its zone.
	Follower
	// Listener is the role of an entry that receives updates from the followers of its zone.
	Listener
)

// RoleOf returns the role of an entry in its availability zone; members are the other entries
// of the zone to which it has links. Entries with different members may disagree: then there
// are additional followers, or listeners without a follower, which read the feed themselves.
func RoleOf(self, zone string, members []string) Role {
	if len(members) < followersPerZone {
		return Standalone
	}
	all := append(slices.Clone(members), self)
	for _, i := range rendezvous.Ranked(zone, all)[:followersPerZone] {
		if all[i] == self {
			return Follower
		}
	}
	return Listener
}

// Position is a position in a feed: the version up to which all changes are known.
type Position uint64

// Feed tracks how current one entry's copy of a feed is. Its methods must be called with
// increasing times and not concurrently.
type Feed struct {
	position Position
	// previous is the position before Read or HandleUpdate last advanced it.
	previous Position
	// lastConfirmed holds, for each follower, when it last confirmed that it had read up to the
	// present.
	lastConfirmed map[string]time.Time
	// missedUpdate says that an update was missed, so that the entry must read the feed itself.
	missedUpdate bool
	pending      pendingContent
}

// pendingContent is content that was announced and arrives by another path than the feed.
type pendingContent struct {
	// version is the content version that must be applied; zero for none.
	version uint64
	// previous is the position before the announced update, and deadline the time by which the
	// content must have arrived.
	previous Position
	deadline time.Time
}

// NewFeed returns a Feed that must be read from the beginning.
func NewFeed() *Feed { return &Feed{lastConfirmed: make(map[string]time.Time)} }

// Position returns the position from which to read; zero for the beginning.
func (f *Feed) Position() Position {
	if f.pending.version > 0 {
		return f.pending.previous
	}
	return f.position
}

// MissedUpdate reports whether an update was missed, so that the entry must read the feed itself.
func (f *Feed) MissedUpdate() bool { return f.missedUpdate }

// CanListen reports whether the entry can rely on followers now, and until when if it receives
// nothing more. An entry that has never read the feed cannot: followers only send changes.
func (f *Feed) CanListen(now time.Time, role Role) (until time.Time, ok bool) {
	overdue := f.pending.version > 0 && !now.Before(f.pending.deadline)
	if role != Listener || f.missedUpdate || f.position == 0 || overdue {
		return time.Time{}, false
	}
	for _, at := range f.lastConfirmed {
		if due := at.Add(FollowerTimeout); due.After(until) {
			until = due
		}
	}
	if f.pending.version > 0 && f.pending.deadline.Before(until) {
		until = f.pending.deadline
	}
	return until, until.After(now)
}

// Read records that the entry itself has read the feed up to a position. It reports whether
// to apply the content read; it must not be applied if a newer update of a follower arrived
// during the read.
func (f *Feed) Read(to Position) bool {
	f.missedUpdate = false
	if to < f.position {
		return false
	}
	f.pending = pendingContent{} // The read began at pending.previous or earlier and returned this content.
	f.advance(to)
	return true
}

func (f *Feed) advance(to Position) { f.previous, f.position = f.position, to }

// Reset resets the position to the beginning. It is called when the store no longer has the
// changes after the position.
func (f *Feed) Reset() { f.position, f.pending = 0, pendingContent{} }

// HandleUpdate handles a follower's update, which says that the follower has just read from one
// position to another. It reports whether to apply the content of the update.
//
// An update that begins after the entry's position is not applied: the changes between the
// two, such as the departure of an upstream, would be lost. MissedUpdate then reports that the
// entry must read the feed itself.
func (f *Feed) HandleUpdate(now time.Time, follower string, from, to Position) bool {
	f.lastConfirmed[follower] = now
	switch {
	case from > f.position:
		f.missedUpdate = true
		return false
	case to <= f.position:
		return false
	}
	f.advance(to)
	return true
}

// Revert reverts the last call of Read or HandleUpdate that reported true, because the content
// was missing or could not be applied. The entry must read the feed itself, from the position
// before the update: a read from after it would never return the content again.
func (f *Feed) Revert() { f.position, f.missedUpdate = f.previous, true }

// ExpectContent records that the content of the last update passed to HandleUpdate arrives by
// another path. It counts as applied once ContentApplied gets at least this version. Until then
// Position returns the position before the first such update, because a read from after it would
// never return the content.
func (f *Feed) ExpectContent(now time.Time, version uint64) {
	if f.pending.version == 0 {
		f.pending = pendingContent{previous: f.previous, deadline: now.Add(ContentTimeout)}
	}
	f.pending.version = max(f.pending.version, version)
}

// ContentApplied records the version of the content that is applied.
func (f *Feed) ContentApplied(version uint64) {
	if version >= f.pending.version {
		f.pending = pendingContent{}
	}
}

// DropFollower records that a follower's read of the feed has failed or that the link to it has
// ended.
func (f *Feed) DropFollower(follower string) { delete(f.lastConfirmed, follower) }
