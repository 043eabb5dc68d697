// Package reservation tracks reservations of engine memory. A Pool holds the reservations
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

const (
	// Reserved memory is kept for its owner until ConfirmTimeout has passed.
	Reserved State = iota
	// Confirmed memory is in use until it is released, its deadline passes or its owner is
	// silent for too long.
	Confirmed
)

// Reservation is memory that one request holds at one engine.
type Reservation struct {
	ID call.ID
	// Attempt is the number of the attempt, of the request or of its group, to reserve memory at
	// this engine.
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

// Options holds the timeouts of a Pool and the assumed delay of engine reports.
type Options struct {
	// ConfirmTimeout is how long a reservation may stay unconfirmed.
	ConfirmTimeout time.Duration
	// OwnerTimeout is how long an owner may be silent before all its memory is released.
	OwnerTimeout time.Duration
	// ReportMargin is how much older an engine's report may be than its stated age.
	ReportMargin time.Duration
}

// DefaultOptions returns the usual options.
func DefaultOptions() Options {
	return Options{
		ConfirmTimeout: 5 * time.Second,  // reserving at a group of four takes under 20 ms
		OwnerTimeout:   10 * time.Second, // several missed heartbeats
		ReportMargin:   2 * time.Second,  // reports lag about a second
	}
}

// maxTombstones bounds the number of tombstones, which are kept to recognise late reports
// and late requests.
const maxTombstones = 65_536

// Pool holds the reservations of one engine's memory.
type Pool struct {
	options      Options
	capacity     int64
	reservations map[call.ID]*Reservation
	owners       map[call.Incarnation]*owner
	// tombstones records releases, since requests and reports from before a release may still
	// arrive for a while.
	tombstones map[call.ID]tombstone
	used       int64
	// orphanedTokens is the memory that the engine reports in use without a reservation here.
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

// NewPool returns an empty pool for an engine with the given memory in tokens.
func NewPool(capacity int64, options Options) *Pool {
	return &Pool{
		options:      options,
		capacity:     capacity,
		reservations: make(map[call.ID]*Reservation),
		owners:       make(map[call.Incarnation]*owner),
		tombstones:   make(map[call.ID]tombstone),
	}
}

// Free returns the memory in tokens that neither reservations nor orphanedTokens take up. It
// is never negative.
func (p *Pool) Free() int64 { return max(0, p.capacity-p.used-p.orphanedTokens) }

// Used returns the memory in tokens that reservations hold.
func (p *Pool) Used() int64 { return p.used }

// Len returns the number of reservations.
func (p *Pool) Len() int { return len(p.reservations) }

// Get returns the reservation of an ID.
func (p *Pool) Get(id call.ID) (Reservation, bool) {
	r := p.reservations[id]
	if r == nil {
		return Reservation{}, false
	}
	return *r, true
}

// Reserve reserves memory for r.Owner. Repeating a reservation succeeds and changes nothing; a
// later attempt of the same owner replaces an earlier one. Errors are of type *result.Error, all
// with execution NotRun: MemoryFull, DeadlinePassed, Tombstoned when the attempt was released
// before, and WrongIncarnation when another owner holds the ID.
//
// A delayed reserve message may arrive after the release of its own request and would then
// hold memory for a request that has ended. The tombstone of the release rejects it.
func (p *Pool) Reserve(r Reservation, now time.Time) error {
	if known := p.reservations[r.ID]; known != nil {
		if known.Owner != r.Owner {
			return result.New(result.WrongIncarnation, result.NotRun, "%s is held by another owner", r.ID)
		}
		if known.Attempt >= r.Attempt {
			return nil
		}
		p.Release(r.ID, known.Attempt, now)
	}
	if released, known := p.tombstones[r.ID]; known && released.attempt >= r.Attempt {
		return result.New(result.Tombstoned, result.NotRun, "attempt %d of %s was released before", r.Attempt, r.ID)
	}
	if !now.Before(r.Deadline) {
		return result.New(result.DeadlinePassed, result.NotRun, "%s", r.ID)
	}
	if r.Tokens > p.Free() {
		return result.New(result.MemoryFull, result.NotRun, "%d tokens asked, %d free", r.Tokens, p.Free())
	}
	r.State = Reserved
	r.Since = now
	p.reservations[r.ID] = &r
	p.used += r.Tokens
	p.touchOwner(r.Owner, now).reservations++
	return nil
}

// touchOwner records activity of an owner, which may be new, and returns it.
func (p *Pool) touchOwner(incarnation call.Incarnation, now time.Time) *owner {
	o := p.owners[incarnation]
	if o == nil {
		o = &owner{}
		p.owners[incarnation] = o
	}
	o.lastSeen = now
	return o
}

// Confirm marks reserved memory as in use. The error is Tombstoned when this attempt of this
// owner holds no reservation here; the owner must then abort the whole request.
func (p *Pool) Confirm(id call.ID, attempt call.Attempt, incarnation call.Incarnation, now time.Time) error {
	r := p.reservations[id]
	if r == nil || r.Owner != incarnation || r.Attempt != attempt {
		return result.New(result.Tombstoned, result.NotRun, "%s holds no memory here", id)
	}
	p.touchOwner(incarnation, now)
	if r.State == Reserved {
		r.State = Confirmed
		r.Since = now
	}
	return nil
}

// Release frees the memory that an ID holds under this attempt or an earlier one, and
// records a tombstone for these attempts. It returns false when the ID held no memory.
func (p *Pool) Release(id call.ID, attempt call.Attempt, now time.Time) bool {
	p.addTombstone(id, attempt, now)
	r := p.reservations[id]
	if r == nil || r.Attempt > attempt {
		return false
	}
	delete(p.reservations, id)
	p.used -= r.Tokens
	o := p.owners[r.Owner]
	o.reservations--
	if o.reservations == 0 {
		delete(p.owners, r.Owner)
	}
	return true
}

func (p *Pool) addTombstone(id call.ID, attempt call.Attempt, now time.Time) {
	if len(p.tombstones) >= maxTombstones {
		p.pruneTombstones(now)
	}
	p.tombstones[id] = tombstone{releasedAt: now, attempt: max(attempt, p.tombstones[id].attempt)}
}

// pruneTombstones drops the tombstones for which no late report or request can arrive any
// more. If too many remain, it drops all of them. A late Reserve of a released attempt then
// succeeds and holds memory until it expires, and a late report can show released memory as
// orphaned.
func (p *Pool) pruneTombstones(now time.Time) {
	for id, released := range p.tombstones {
		if now.Sub(released.releasedAt) > p.tombstoneTTL() {
			delete(p.tombstones, id)
		}
	}
	if len(p.tombstones) >= maxTombstones {
		clear(p.tombstones)
	}
}

// tombstoneTTL returns how long a tombstone is kept.
func (p *Pool) tombstoneTTL() time.Duration {
	return 2 * (p.options.ConfirmTimeout + p.options.OwnerTimeout + p.options.ReportMargin)
}

// RefreshOwner records activity of an owner, which is any frame on its link.
func (p *Pool) RefreshOwner(incarnation call.Incarnation, now time.Time) {
	if o := p.owners[incarnation]; o != nil {
		o.lastSeen = now
	}
}

// Expire releases the reservations that were not confirmed in time, are past their deadline
// or belong to silent owners. It returns them sorted by ID; the caller cancels them at the
// engine.
//
// When an entry crashes or its link fails, no release message arrives for its reservations,
// and requests would be refused for lack of memory while the engine is idle. Every reservation
// therefore expires unless its owner shows activity.
func (p *Pool) Expire(now time.Time) []Reservation {
	var expired []Reservation
	for _, r := range p.reservations {
		if !now.Before(p.expiresAt(r)) {
			expired = append(expired, *r)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return lessID(expired[i].ID, expired[j].ID) })
	for _, r := range expired {
		p.Release(r.ID, r.Attempt, now)
	}
	p.pruneTombstones(now)
	return expired
}

// NextExpiry returns when the next reservation expires if nothing else happens. It returns
// false when there is no reservation.
func (p *Pool) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range p.reservations {
		if end := p.expiresAt(r); next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next, !next.IsZero()
}

// expiresAt returns when a reservation expires without further activity of its owner.
func (p *Pool) expiresAt(r *Reservation) time.Time {
	end := r.Deadline
	if silent := p.owners[r.Owner].lastSeen.Add(p.options.OwnerTimeout); silent.Before(end) {
		end = silent
	}
	if unconfirmed := r.Since.Add(p.options.ConfirmTimeout); r.State == Reserved && unconfirmed.Before(end) {
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
