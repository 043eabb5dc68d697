package limits

import (
	"slices"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/rendezvous"
)

// account is an organisation's account at an entry that doesn't own it.
type account struct {
	owner      string
	generation uint64
	// requests and tokens are what is left of the grants, until expires.
	requests, tokens float64
	expires          time.Time
	// usedRequests and usedTokens are what the last grants were used for: the size of
	// the next batch.
	usedRequests, usedTokens float64
	// slots is the concurrency granted, inUse what requests use.
	slots, inUse int
	sequence     uint64
	// unused says that the key is in Entry.unused.
	unused bool
	// refusedTokens and refusedUntil remember the owner's last no.
	refusedTokens float64
	refusedUntil  time.Time
	share         meter
	lastUsed      time.Time
}

// Entry is the state of one entry, for all organisations. It is not safe for concurrent
// use: a caller that needs more keeps several, each with its part of the keys.
type Entry struct {
	self       string
	entries    []string
	hashes     []uint64
	generation uint64
	sequence   uint64
	accounts   map[Key]*account
	owned      owner
	silent     map[string]time.Time
	// unused lists accounts where a request ended since the last Tick.
	unused                 []Key
	lastSweep, lastRenewal time.Time
}

// NewEntry returns the state of the named entry. sequence must be higher than any that an
// earlier process of that name used; the wall clock in nanoseconds will do.
func NewEntry(self string, sequence uint64) *Entry {
	e := &Entry{
		self: self, sequence: sequence, accounts: make(map[Key]*account),
		owned: owner{accounts: make(map[Key]*ownedAccount)}, silent: make(map[string]time.Time),
	}
	e.SetEntries(nil)
	return e
}

// SetEntries takes the live entries, this one among them or not.
func (e *Entry) SetEntries(entries []string) {
	e.entries = slices.Clone(entries)
	if !slices.Contains(e.entries, e.self) {
		e.entries = append(e.entries, e.self)
	}
	e.hashes = e.hashes[:0]
	for _, entry := range e.entries {
		e.hashes = append(e.hashes, rendezvous.Hash(entry))
	}
	e.generation++
}

// Owner returns the entry that owns a key. It allocates nothing.
func (e *Entry) Owner(key Key) string {
	hash := rendezvous.Score(rendezvous.Hash(key.Service), rendezvous.Hash(key.Organisation))
	best, at := uint64(0), 0
	for i, entry := range e.hashes {
		if score := rendezvous.Score(hash, entry); score >= best {
			best, at = score, i
		}
	}
	return e.entries[at]
}

func (e *Entry) account(now time.Time, key Key) *account {
	a := e.accounts[key]
	if a == nil {
		a = &account{}
		e.accounts[key] = a
	}
	e.place(key, a)
	a.lastUsed = now
	return a
}

// place works out an account's owner after the entries changed.
func (e *Entry) place(key Key, a *account) {
	if a.generation == e.generation {
		return
	}
	a.generation = e.generation
	a.owner = e.Owner(key)
	a.refusedUntil = time.Time{}
}

// begin counts a request under a limit of concurrency.
func (a *account) begin(limits *document.Limits) {
	if limits.Concurrency > 0 {
		a.inUse++
	}
}

// Decide decides on a request of the given tokens. It allocates nothing, except at an
// organisation's first request in a while.
func (e *Entry) Decide(now time.Time, key Key, limits *document.Limits, tokens int) Verdict {
	if unlimited(limits) {
		return Verdict{Outcome: Admitted}
	}
	a := e.account(now, key)
	n := float64(tokens)
	switch {
	case a.owner == e.self:
		return e.decideAsOwner(now, key, a, limits, n)
	case a.spend(now, limits, n):
		return Verdict{Outcome: Admitted}
	case now.Before(a.refusedUntil) && n >= a.refusedTokens:
		return Verdict{Outcome: Refused, RetryAfter: a.refusedUntil.Sub(now)}
	case now.Before(e.silent[a.owner]):
		return e.decideOnShare(now, a, limits, n)
	}
	return Verdict{Outcome: AskOwner, Owner: a.owner}
}

func (e *Entry) decideAsOwner(now time.Time, key Key, a *account, limits *document.Limits, tokens float64) Verdict {
	owned := e.owned.account(now, key)
	h := owned.holders[e.self]
	if h == nil {
		h = &holder{}
		owned.holders[e.self] = h
	}
	h.held = a.inUse
	h.seen = now
	if wait := owned.admit(now, h, limits, tokens); wait > 0 {
		return Verdict{Outcome: Refused, RetryAfter: wait}
	}
	a.begin(limits)
	return Verdict{Outcome: Admitted}
}

// decideOnShare lets an entry go on that can't reach the owner: with its part of the
// limits, as if all entries were in its place.
func (e *Entry) decideOnShare(now time.Time, a *account, limits *document.Limits, tokens float64) Verdict {
	slots := max(1, limits.Concurrency/len(e.entries))
	if limits.Concurrency > 0 && a.inUse >= max(slots, a.slots) {
		return Verdict{Outcome: Refused, RetryAfter: slotRetry}
	}
	share := 1 / float64(len(e.entries))
	if wait := a.share.take(now, limits, share, tokens); wait > 0 {
		return Verdict{Outcome: Refused, RetryAfter: wait}
	}
	a.begin(limits)
	return Verdict{Outcome: Admitted}
}

// spend takes a request from the grants, if they suffice.
func (a *account) spend(now time.Time, limits *document.Limits, tokens float64) bool {
	a.expire(now)
	switch {
	case limits.RequestsPerSecond > 0 && a.requests < 1,
		limits.TokensPerSecond > 0 && a.tokens < tokens,
		limits.Concurrency > 0 && a.inUse >= a.slots,
		a.expires.IsZero():
		return false
	}
	a.requests--
	a.tokens -= tokens
	a.usedRequests++
	a.usedTokens += tokens
	a.begin(limits)
	return true
}

// expire drops grants that are over.
func (a *account) expire(now time.Time) {
	if now.After(a.expires) {
		a.requests, a.tokens = 0, 0
		a.usedRequests, a.usedTokens = 0, 0
	}
}

// Want returns the message to the owner for a request on which Decide said AskOwner.
func (e *Entry) Want(now time.Time, key Key, tokens int) Want {
	a := e.account(now, key)
	want := e.message(key, a, max(a.slots, a.inUse))
	want.Tokens = float64(tokens)
	want.MoreRequests, want.MoreTokens = a.usedRequests, a.usedTokens
	return want
}

func (e *Entry) message(key Key, a *account, held int) Want {
	e.sequence++
	a.sequence = e.sequence
	return Want{Key: key, Sequence: e.sequence, Held: held}
}

// Granted takes the owner's answer.
func (e *Entry) Granted(now time.Time, grant *Grant) {
	a := e.account(now, grant.Key)
	delete(e.silent, a.owner)
	// Slots are counted whole, so that only the answer to the newest message tells them;
	// requests and tokens were taken from the bucket for this entry in any case.
	if grant.Sequence == a.sequence {
		a.slots = grant.Held
	}
	if !grant.OK {
		a.refusedTokens = grant.Refused
		a.refusedUntil = now.Add(grant.RetryAfter)
		return
	}
	a.expire(now)
	a.requests += grant.Requests
	a.tokens += grant.Tokens
	a.expires = now.Add(grantLife)
}

// OwnerSilent takes that an owner didn't answer in time. The entry lives on its shares of
// all that this owner owns, until it asks again.
func (e *Entry) OwnerSilent(now time.Time, owner string) { e.silent[owner] = now.Add(silenceBound) }

// Answer decides on another entry's message, as the owner. The limits are those of the
// owner's own documents.
func (e *Entry) Answer(now time.Time, entry string, want *Want, limits *document.Limits) Grant {
	return e.owned.answer(now, entry, want, limits)
}

// Release takes the end of a request that was admitted under the given limits.
func (e *Entry) Release(key Key, limits *document.Limits) {
	a := e.accounts[key]
	if a == nil || limits.Concurrency == 0 || a.inUse == 0 {
		return
	}
	a.inUse--
	if !a.unused {
		a.unused = true
		e.unused = append(e.unused, key)
	}
}

// Renewal is a message to an owner that needs no answer.
type Renewal struct {
	Owner string
	Want  Want
}

// Tick gives back the concurrency that ended since the last one and renews what this
// entry still holds. It is to be called about every 100 ms: until then the owner counts
// ended requests and refuses others in their place.
func (e *Entry) Tick(now time.Time) []Renewal {
	var renewals []Renewal
	for _, key := range e.unused {
		if a := e.accounts[key]; a != nil {
			a.unused = false
			renewals = e.renew(now, renewals, key, a)
		}
	}
	e.unused = e.unused[:0]
	if now.Sub(e.lastRenewal) >= renewInterval {
		e.lastRenewal = now
		for key, a := range e.accounts {
			if a.slots > 0 || a.inUse > 0 {
				renewals = e.renew(now, renewals, key, a)
			}
		}
	}
	e.sweep(now)
	return renewals
}

func (e *Entry) renew(now time.Time, renewals []Renewal, key Key, a *account) []Renewal {
	e.place(key, a)
	a.slots = a.inUse
	if a.owner != e.self {
		want := e.message(key, a, a.inUse)
		want.Renewal = true
		return append(renewals, Renewal{Owner: a.owner, Want: want})
	}
	if h := e.owned.account(now, key).holders[e.self]; h != nil {
		h.held = a.inUse
		h.seen = now
	}
	return renewals
}

func (e *Entry) sweep(now time.Time) {
	if now.Sub(e.lastSweep) < idleBound {
		return
	}
	e.lastSweep = now
	e.owned.sweep(now)
	for key, a := range e.accounts {
		if a.inUse == 0 && a.slots == 0 && now.Sub(a.lastUsed) > idleBound {
			delete(e.accounts, key)
		}
	}
	for owner, until := range e.silent {
		if now.After(until) {
			delete(e.silent, owner)
		}
	}
}
