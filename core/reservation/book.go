// Package reservation tracks reservations of engine memory. A Book holds the reservations
// at one agent's engine, and a Group reserves memory at several engines, all or nothing.
// Both are state machines without I/O: events and the time are inputs, decisions are the
// output. Neither is safe for concurrent use.
package reservation

import (
	"sort"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// State is the state of a reservation.
type State uint8

// The states of a reservation.
const (
	// Reserved memory is kept for its owner until ConfirmWithin has passed.
	Reserved State = iota
	// Confirmed memory is in use until it is released, its deadline passes or its owner is
	// silent for too long.
	Confirmed
)

// Reservation is memory that one request holds at one engine.
type Reservation struct {
	ID call.ID
	// Attempt numbers the attempts of the request, or of its group, to reserve memory here.
	Attempt call.Attempt
	// Owner is the incarnation of the process that reserved the memory: an entry, or the
	// agent that leads a group.
	Owner    call.Incarnation
	Tokens   int64
	Deadline time.Time
	State    State
	// Since is when the reservation entered its current state.
	Since time.Time
}

// Options bounds how long memory may be held without activity of its owner.
type Options struct {
	// ConfirmWithin is how long a reservation may stay unconfirmed.
	ConfirmWithin time.Duration
	// OwnerTimeout is how long an owner may be silent before all its memory is released.
	OwnerTimeout time.Duration
	// ReportMargin is how much older an engine's report may be than its stated age.
	ReportMargin time.Duration
}

// DefaultOptions returns the usual bounds.
func DefaultOptions() Options {
	return Options{
		ConfirmWithin: 5 * time.Second,  // reserving at a group of four one by one takes under 20 ms
		OwnerTimeout:  10 * time.Second, // several missed heartbeats
		ReportMargin:  2 * time.Second,  // reports lag about a second
	}
}

// maxTombstones bounds the number of tombstones, which are kept to recognise late reports
// and late requests.
const maxTombstones = 65_536

// Book holds the reservations of one engine's memory.
type Book struct {
	options      Options
	capacity     int64
	reservations map[call.ID]*Reservation
	owners       map[call.Incarnation]*owner
	// tombstones records releases, since requests and reports from before a release may still
	// arrive for a while.
	tombstones     map[call.ID]tombstone
	used           int64
	orphanedTokens int64
}

type tombstone struct {
	releasedAt time.Time
	attempt    call.Attempt
}

type owner struct {
	lastSeen     time.Time
	reservations int
}

// NewBook returns an empty book for an engine with the given memory in tokens.
func NewBook(capacity int64, options Options) *Book {
	return &Book{
		options:      options,
		capacity:     capacity,
		reservations: make(map[call.ID]*Reservation),
		owners:       make(map[call.Incarnation]*owner),
		tombstones:   make(map[call.ID]tombstone),
	}
}

// Free returns the memory in tokens that neither reservations nor orphans hold. It is never
// negative.
func (b *Book) Free() int64 { return max(0, b.capacity-b.used-b.orphanedTokens) }

// Used returns the memory in tokens that reservations hold.
func (b *Book) Used() int64 { return b.used }

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.reservations) }

// Get returns the reservation of an ID.
func (b *Book) Get(id call.ID) (Reservation, bool) {
	r := b.reservations[id]
	if r == nil {
		return Reservation{}, false
	}
	return *r, true
}

// Reserve reserves memory for r.Owner. Repeating a reservation succeeds and changes
// nothing; a later attempt of the same owner replaces an earlier one. Errors are of type
// *result.Error, all not-run: MemoryFull, DeadlinePassed, Tombstoned when the attempt was
// released before, and WrongIncarnation when another owner holds the ID.
//
// A delayed reserve message may arrive after the release of its own request and would then
// hold memory for a request that has ended. The tombstone of the release rejects it.
func (b *Book) Reserve(r Reservation, now time.Time) error {
	if known := b.reservations[r.ID]; known != nil {
		if known.Owner != r.Owner {
			return result.New(result.WrongIncarnation, result.NotRun, "%s is held by another owner", r.ID)
		}
		if known.Attempt >= r.Attempt {
			return nil
		}
		b.Release(r.ID, known.Attempt, now)
	}
	if released, known := b.tombstones[r.ID]; known && released.attempt >= r.Attempt {
		return result.New(result.Tombstoned, result.NotRun, "attempt %d of %s was released before", r.Attempt, r.ID)
	}
	if !now.Before(r.Deadline) {
		return result.New(result.DeadlinePassed, result.NotRun, "%s", r.ID)
	}
	if r.Tokens > b.Free() {
		return result.New(result.MemoryFull, result.NotRun, "%d tokens asked, %d free", r.Tokens, b.Free())
	}
	r.State = Reserved
	r.Since = now
	b.reservations[r.ID] = &r
	b.used += r.Tokens
	b.touchOwner(r.Owner, now).reservations++
	return nil
}

func (b *Book) touchOwner(incarnation call.Incarnation, now time.Time) *owner {
	o := b.owners[incarnation]
	if o == nil {
		o = &owner{}
		b.owners[incarnation] = o
	}
	o.lastSeen = now
	return o
}

// Confirm marks reserved memory as in use. The error is Tombstoned when the reservation has
// expired or was never made; the owner must then abort the whole request.
func (b *Book) Confirm(id call.ID, attempt call.Attempt, incarnation call.Incarnation, now time.Time) error {
	r := b.reservations[id]
	if r == nil || r.Owner != incarnation || r.Attempt != attempt {
		return result.New(result.Tombstoned, result.NotRun, "%s holds no memory here", id)
	}
	b.touchOwner(incarnation, now)
	if r.State == Reserved {
		r.State = Confirmed
		r.Since = now
	}
	return nil
}

// Release frees the memory that an ID holds under this attempt or an earlier one, and
// records a tombstone for these attempts. It returns false when the ID held no memory.
func (b *Book) Release(id call.ID, attempt call.Attempt, now time.Time) bool {
	b.addTombstone(id, attempt, now)
	r := b.reservations[id]
	if r == nil || r.Attempt > attempt {
		return false
	}
	delete(b.reservations, id)
	b.used -= r.Tokens
	o := b.owners[r.Owner]
	o.reservations--
	if o.reservations == 0 {
		delete(b.owners, r.Owner)
	}
	return true
}

func (b *Book) addTombstone(id call.ID, attempt call.Attempt, now time.Time) {
	if len(b.tombstones) >= maxTombstones {
		b.pruneTombstones(now)
	}
	b.tombstones[id] = tombstone{releasedAt: now, attempt: max(attempt, b.tombstones[id].attempt)}
}

// pruneTombstones drops the tombstones for which no late report or request can arrive any
// more. If too many remain, it drops all of them.
func (b *Book) pruneTombstones(now time.Time) {
	for id, released := range b.tombstones {
		if now.Sub(released.releasedAt) > b.tombstoneTTL() {
			delete(b.tombstones, id)
		}
	}
	if len(b.tombstones) >= maxTombstones {
		clear(b.tombstones)
	}
}

// tombstoneTTL returns how long a tombstone is kept.
func (b *Book) tombstoneTTL() time.Duration {
	return 2 * (b.options.ConfirmWithin + b.options.OwnerTimeout + b.options.ReportMargin)
}

// Alive records activity of an owner, which is any frame on its link.
func (b *Book) Alive(incarnation call.Incarnation, now time.Time) {
	if o := b.owners[incarnation]; o != nil {
		o.lastSeen = now
	}
}

// Expire releases the reservations that were not confirmed in time, are past their deadline
// or belong to silent owners. It returns them sorted by ID; the caller cancels them at the
// engine.
//
// When an entry crashes or its link fails, no release message arrives for its reservations,
// and the engine would reject requests while it is idle. Every reservation therefore
// expires unless its owner shows activity.
func (b *Book) Expire(now time.Time) []Reservation {
	var expired []Reservation
	for _, r := range b.reservations {
		if !now.Before(b.expiresAt(r)) {
			expired = append(expired, *r)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return lessID(expired[i].ID, expired[j].ID) })
	for _, r := range expired {
		b.Release(r.ID, r.Attempt, now)
	}
	b.pruneTombstones(now)
	return expired
}

// NextExpiry returns when the next reservation expires if nothing else happens. It returns
// false when there is no reservation.
func (b *Book) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range b.reservations {
		if end := b.expiresAt(r); next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// expiresAt returns when a reservation expires without further activity of its owner.
func (b *Book) expiresAt(r *Reservation) time.Time {
	end := r.Deadline
	if silent := b.owners[r.Owner].lastSeen.Add(b.options.OwnerTimeout); silent.Before(end) {
		end = silent
	}
	if unconfirmed := r.Since.Add(b.options.ConfirmWithin); r.State == Reserved && unconfirmed.Before(end) {
		end = unconfirmed
	}
	return end
}

func lessID(a, b call.ID) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
