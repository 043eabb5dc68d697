// Package follow decides which entries read the platform's feeds directly, and when an entry
// that receives updates from them must read a feed itself. It does no I/O.
//
// All entries need the same two feeds. If each read them, the number of billed reads of the
// store would grow with the number of entries. So a few entries of the fleet, the followers, read
// a feed and forward what they read; the others are listeners. Correctness does not depend on the
// choice of followers: an entry relies on them only as long as they keep confirming that they have
// read up to the present.
package follow

import (
	"slices"
	"time"

	"acaciacleat.example/core/rendezvous"
)

const (
	// followers is the number of followers, in different availability zones if there are as many.
	// One may be partitioned and another frozen or replaced without the listeners having to read.
	followers = 3
	// MaxStandalone is the number of relays up to which each reads the feeds for itself: followers
	// read more often than they would need to for themselves, so that few entries gain nothing.
	MaxStandalone = 4
	// FollowerTimeout is how long a listener relies on a follower that sends nothing. Then
	// the listener reads the feed itself, so that a change is applied within the two seconds
	// promised to operators even if all followers stop at once.
	FollowerTimeout = 1300 * time.Millisecond
	// attachedTimeout is FollowerTimeout for an entry that is no relay. Its relays read first and
	// forward what they have read, so that not the whole fleet reads at once.
	attachedTimeout = FollowerTimeout + 350*time.Millisecond
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
	// Standalone is the role of an entry that reads the feed for itself only, since it is linked to
	// few others.
	Standalone Role = iota
	// Follower is the role of an entry that reads the feed and forwards updates to all entries.
	Follower
	// Listener is the role of a relay that receives updates from the followers. While it has to
	// read the feed itself, it forwards what it reads to its zone.
	Listener
	// Attached is the role of an entry that is no relay and receives updates from those of its zone.
	Attached
	// Starting is the role of an entry that has just started and doesn't know the others yet.
	Starting
)

// Listens reports whether other entries read the feed for this one.
func (r Role) Listens() bool { return r == Listener || r == Attached }

// timeout returns how long an entry relies on a follower that sends nothing.
func (r Role) timeout() time.Duration {
	if r == Attached {
		return attachedTimeout
	}
	return FollowerTimeout
}

// Member is a relay that may follow the feeds.
type Member struct {
	VM   string
	Zone string
}

// followersKey is the key by which followers are chosen.
const followersKey = "followers"

// RoleOf returns the role of a relay; others are the other relays to which it has links and which can
// read the store. Relays with different views may disagree: then there are additional followers, or
// listeners without a follower, which read the feed themselves.
func RoleOf(self Member, others []Member) Role {
	if len(others) < MaxStandalone {
		return Standalone
	}
	if slices.Contains(Followers(self, others), self) {
		return Follower
	}
	return Listener
}

// Followers returns the followers among relays: the first ones in the order of followersKey, each of
// another zone as long as there is one.
func Followers(self Member, others []Member) []Member {
	relays := append(slices.Clone(others), self)
	names := make([]string, len(relays))
	for i, r := range relays {
		names[i] = r.VM
	}
	var chosen, passedOver []Member
	zones := make(map[string]bool)
	for _, i := range rendezvous.Ranked(followersKey, names) {
		if r := relays[i]; zones[r.Zone] {
			passedOver = append(passedOver, r)
		} else {
			zones[r.Zone] = true
			chosen = append(chosen, r)
		}
	}
	return append(chosen, passedOver...)[:min(followers, len(relays))]
}

// Position is a position in a feed: the version up to which all changes are known.
type Position uint64

// Feed tracks how current one entry's copy of a feed is. Its methods must be called with
// increasing times and not concurrently.
type Feed struct {
	position Position
	// previous is the position before Read, HandleUpdate or HandleState last advanced it.
	previous Position
	// lastConfirmed holds, for each follower, when it last confirmed that it had read up to the
	// present.
	lastConfirmed map[string]time.Time
	// lastRead is when the entry itself last read up to the present.
	lastRead time.Time
	// stateConfirmed is when the entry that has sent the last state knew that nothing was missed.
	stateConfirmed time.Time
	// behind says that the last answer didn't reach up to the present, as far as the entry knows.
	behind bool
	// named is the newest version that an answer or another entry has named, lessSince since when answers have named less; zero if the last one did not.
	named     Position
	lessSince time.Time
	// missedUpdate says that an update was missed, so that the entry must read the feed itself.
	missedUpdate bool
	pending      pendingContent
	proof        proof
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

// Position returns the position up to which the entry has what others have sent, or the store has named; zero for the
// beginning. Other entries' updates go on from it.
func (f *Feed) Position() Position {
	if f.pending.version > 0 {
		return f.pending.previous
	}
	return f.position
}

// MissedUpdate reports whether an update was missed, so that the entry must read the feed itself.
func (f *Feed) MissedUpdate() bool { return f.missedUpdate }

// CanListen reports whether the entry can rely on followers now, and until when if it receives
// nothing more. An entry that doesn't have the whole state yet cannot: followers only send changes.
func (f *Feed) CanListen(now time.Time, role Role) (until time.Time, ok bool) {
	overdue := f.pending.version > 0 && !now.Before(f.pending.deadline)
	if !role.Listens() || f.missedUpdate || f.position == 0 || overdue {
		return time.Time{}, false
	}
	until = f.lastConfirmation().Add(role.timeout())
	if f.pending.version > 0 && f.pending.deadline.Before(until) {
		until = f.pending.deadline
	}
	return until, until.After(now)
}

// lastConfirmation returns when the entry last knew from others that nothing was missed.
func (f *Feed) lastConfirmation() time.Time {
	last := f.stateConfirmed
	for _, at := range f.lastConfirmed {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Read records that the entry itself has read the feed up to a position. It reports whether
// to apply the content read; it must not be applied if a newer update of a follower arrived
// during the read.
func (f *Feed) Read(now time.Time, to Position) bool {
	f.missedUpdate = false
	if !f.behind {
		f.lastRead = now
	}
	if to < f.position {
		return false
	}
	f.pending = pendingContent{} // The read began at pending.previous or earlier and returned this content.
	f.advance(to)
	return true
}

func (f *Feed) advance(to Position) {
	f.previous, f.position, f.named = f.position, to, max(f.named, to)
}

// Reset resets the position to the beginning. It is called when the store no longer has the
// changes after the position.
func (f *Feed) Reset() {
	f.position, f.pending = 0, pendingContent{}
	f.proof.reset()
}

// HandleUpdate handles a follower's update, which says that the follower has just read from one
// position to another. It reports whether to apply the content of the update.
//
// An update that begins after the entry's position is not applied: the changes between the
// two, such as the departure of an upstream, would be lost. MissedUpdate then reports that the
// entry must read the feed itself.
func (f *Feed) HandleUpdate(now time.Time, follower string, from, to Position) bool {
	f.lastConfirmed[follower] = now
	return f.HandleUnconfirmed(now, from, to)
}

// HandleUnconfirmed handles the update of a follower whose read may not have reached up to the present, as HandleUpdate does one that
// has.
func (f *Feed) HandleUnconfirmed(now time.Time, from, to Position) bool {
	switch {
	case from > f.position:
		f.missedUpdate = true
		return false
	case to <= f.position:
		return false
	}
	f.advance(to)
	f.proof.recordUpdate(now, to)
	return true
}

// HandleState handles the whole state of a feed as of a position, which another entry has sent. It
// reports whether to apply it; an entry that knows more already doesn't. confirmed is when the sender knew that
// nothing was missed, zero if that is unknown. It is not the time of arrival: entries that send each other the state
// would confirm it forever, and none would read.
func (f *Feed) HandleState(position Position, confirmed time.Time) bool {
	if position < f.position {
		return false
	}
	if confirmed.After(f.stateConfirmed) {
		f.stateConfirmed = confirmed
	}
	if position == f.position && !f.missedUpdate && f.pending.version == 0 {
		return false
	}
	f.missedUpdate, f.pending = false, pendingContent{}
	f.advance(position)
	f.proof.recordState(position)
	return true
}

// ConfirmedAt returns when the entry last knew, by its own read or from others, that nothing was missed; zero if it
// never did.
func (f *Feed) ConfirmedAt() time.Time {
	if at := f.lastConfirmation(); at.After(f.lastRead) {
		return at
	}
	return f.lastRead
}

// Confirmed returns when the entry last knew that nothing was missed. It reports false if that was too long ago, or if
// the entry doesn't have the whole state, so that it can't send the state to others.
func (f *Feed) Confirmed(now time.Time) (at time.Time, ok bool) {
	if f.position == 0 || f.missedUpdate || f.pending.version > 0 {
		return time.Time{}, false
	}
	at = f.ConfirmedAt()
	return at, now.Sub(at) < FollowerTimeout
}

// Revert reverts the last call of Read, HandleUpdate or HandleState that reported true, because the content
// was missing or could not be applied. The entry must read the feed itself, from the position
// before the update: a read from after it would never return the content again.
func (f *Feed) Revert() {
	f.position, f.missedUpdate = f.previous, true
	f.proof.revert(f.previous)
}

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
