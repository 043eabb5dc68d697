// Package reservation keeps account of engine memory: an agent's Book of who holds what,
// and Group, which takes memory of several engines all or nothing. Both are pure state
// machines: events and the time go in, decisions come out. Neither is safe for
// concurrent use.
package reservation

import (
	"sort"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// State is where a reservation stands.
type State uint8

// The states of a reservation.
const (
	// Reserved memory is kept free for its owner until ConfirmWithin has passed.
	Reserved State = iota
	// Confirmed memory is in use until it is released, the deadline passes or its owner
	// stays silent.
	Confirmed
)

// Reservation is memory that one request holds at one engine.
type Reservation struct {
	ID call.ID
	// Attempt counts the tries of the request, or of its group, to get memory here.
	Attempt call.Attempt
	// Owner is the incarnation of the process that asked: an entry, or for a group the
	// agent that leads it.
	Owner    call.Incarnation
	Tokens   int64
	Deadline time.Time
	State    State
	// Since is when the reservation came into its present state.
	Since time.Time
}

// Options bounds how long memory may be held without a sign of life.
type Options struct {
	// ConfirmWithin is how long a reservation waits to be confirmed.
	ConfirmWithin time.Duration
	// SilenceGrace is how long an owner may stay silent before all it holds is released.
	SilenceGrace time.Duration
	// ReportMargin is how much older than it says an engine's report may be.
	ReportMargin time.Duration
}

// DefaultOptions returns the usual bounds.
func DefaultOptions() Options {
	return Options{
		ConfirmWithin: 5 * time.Second,  // a group of four asked one by one takes under 20 ms
		SilenceGrace:  10 * time.Second, // several missed heartbeats
		ReportMargin:  2 * time.Second,  // reports lag about a second
	}
}

// releasedLimit bounds the releases remembered to judge late reports and late requests.
const releasedLimit = 65_536

// Book is an agent's account of its engine's memory.
type Book struct {
	options  Options
	capacity int64
	held     map[call.ID]*Reservation
	owners   map[call.Incarnation]*owner
	// released remembers releases: requests and reports that are older come for a while.
	released map[call.ID]release
	used     int64
	orphaned int64
}

type release struct {
	at      time.Time
	attempt call.Attempt
}

type owner struct {
	heard    time.Time
	holdings int
}

// NewBook returns the book of an engine with the given memory in tokens.
func NewBook(capacity int64, options Options) *Book {
	return &Book{
		options:  options,
		capacity: capacity,
		held:     make(map[call.ID]*Reservation),
		owners:   make(map[call.Incarnation]*owner),
		released: make(map[call.ID]release),
	}
}

// Free is the memory in tokens that is neither reserved nor held by orphans, never negative.
func (b *Book) Free() int64 { return max(0, b.capacity-b.used-b.orphaned) }

// Used is the memory in tokens that reservations hold.
func (b *Book) Used() int64 { return b.used }

// Len is the number of reservations.
func (b *Book) Len() int { return len(b.held) }

// Get returns the reservation of an ID.
func (b *Book) Get(id call.ID) (Reservation, bool) {
	r := b.held[id]
	if r == nil {
		return Reservation{}, false
	}
	return *r, true
}

// Reserve keeps memory for r.Owner. A repeat of the same reservation succeeds and changes
// nothing; a later attempt of the same owner takes the place of an earlier one. Errors are
// *result.Error, all not-run: MemoryFull, DeadlinePassed, Tombstoned when the attempt was
// released before, WrongIncarnation when another owner holds the ID.
//
// What goes wrong: a reserve that was delayed arrives after the release of its own
// request. It shows as memory held for a request that is over. The release is
// remembered, so the late one is refused.
func (b *Book) Reserve(r Reservation, now time.Time) error {
	if known := b.held[r.ID]; known != nil {
		if known.Owner != r.Owner {
			return result.New(result.WrongIncarnation, result.NotRun, "%s is held by another owner", r.ID)
		}
		if known.Attempt >= r.Attempt {
			return nil
		}
		b.Release(r.ID, known.Attempt, now)
	}
	if over, known := b.released[r.ID]; known && over.attempt >= r.Attempt {
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
	b.held[r.ID] = &r
	b.used += r.Tokens
	b.owner(r.Owner, now).holdings++
	return nil
}

func (b *Book) owner(incarnation call.Incarnation, now time.Time) *owner {
	o := b.owners[incarnation]
	if o == nil {
		o = &owner{}
		b.owners[incarnation] = o
	}
	o.heard = now
	return o
}

// Confirm marks memory as used from now on. The error is Tombstoned when the reservation
// has expired or was never made; the owner must then give up the whole request.
func (b *Book) Confirm(id call.ID, attempt call.Attempt, incarnation call.Incarnation, now time.Time) error {
	r := b.held[id]
	if r == nil || r.Owner != incarnation || r.Attempt != attempt {
		return result.New(result.Tombstoned, result.NotRun, "%s holds no memory here", id)
	}
	b.owner(incarnation, now)
	if r.State == Reserved {
		r.State = Confirmed
		r.Since = now
	}
	return nil
}

// Release frees the memory that an ID holds by this attempt or an earlier one, and
// remembers that these are over; false when it held none.
func (b *Book) Release(id call.ID, attempt call.Attempt, now time.Time) bool {
	b.remember(id, attempt, now)
	r := b.held[id]
	if r == nil || r.Attempt > attempt {
		return false
	}
	delete(b.held, id)
	b.used -= r.Tokens
	o := b.owners[r.Owner]
	o.holdings--
	if o.holdings == 0 {
		delete(b.owners, r.Owner)
	}
	return true
}

func (b *Book) remember(id call.ID, attempt call.Attempt, now time.Time) {
	if len(b.released) >= releasedLimit {
		b.forget(now)
	}
	b.released[id] = release{at: now, attempt: max(attempt, b.released[id].attempt)}
}

// forget drops releases that no report or request can still be about, and in a flood all.
func (b *Book) forget(now time.Time) {
	for id, over := range b.released {
		if now.Sub(over.at) > b.memory() {
			delete(b.released, id)
		}
	}
	if len(b.released) >= releasedLimit {
		clear(b.released)
	}
}

// memory is how long a release is remembered.
func (b *Book) memory() time.Duration {
	return 2 * (b.options.ConfirmWithin + b.options.SilenceGrace + b.options.ReportMargin)
}

// Alive records a sign of life of an owner: any frame on its link.
func (b *Book) Alive(incarnation call.Incarnation, now time.Time) {
	if o := b.owners[incarnation]; o != nil {
		o.heard = now
	}
}

// Expire releases what was not confirmed in time, what is past its deadline and what
// belongs to silent owners, and returns it, ordered by ID. The caller cancels it at the
// engine.
//
// What goes wrong: an entry dies, or its link goes silent, and nothing asks for the
// release of what it held. It shows as an engine that refuses work while it idles. Every
// reservation ends by the clock unless its owner gives signs of life.
func (b *Book) Expire(now time.Time) []Reservation {
	var expired []Reservation
	for _, r := range b.held {
		if !now.Before(b.end(r)) {
			expired = append(expired, *r)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return before(expired[i].ID, expired[j].ID) })
	for _, r := range expired {
		b.Release(r.ID, r.Attempt, now)
	}
	b.forget(now)
	return expired
}

// NextExpiry is when Expire next has something to release if nothing else happens; false
// when there is no reservation.
func (b *Book) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range b.held {
		if end := b.end(r); next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// end is when a reservation ends without a further sign of its owner.
func (b *Book) end(r *Reservation) time.Time {
	end := r.Deadline
	if silent := b.owners[r.Owner].heard.Add(b.options.SilenceGrace); silent.Before(end) {
		end = silent
	}
	if unconfirmed := r.Since.Add(b.options.ConfirmWithin); r.State == Reserved && unconfirmed.Before(end) {
		end = unconfirmed
	}
	return end
}

func before(a, b call.ID) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
