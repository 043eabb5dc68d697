package limits

import (
	"slices"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/rendezvous"
)

// account is the state of an organisation at an entry. Only its concurrency is used when the
// entry itself is the owner.
type account struct {
	owner string
	// generation is the Entry.generation for which owner was determined.
	generation uint64
	// requests and tokens are the rest of the grants, valid until grantExpires.
	requests, tokens float64
	grantExpires     time.Time
	// usedRequests and usedTokens are the used part of the grants. They determine the size of
	// the next batch.
	usedRequests, usedTokens float64
	// slots is the concurrency granted, inUse the concurrency that requests use.
	slots, inUse int
	// sequence is that of the latest message to the owner.
	sequence uint64
	// releasedSinceTick is set while the key is in Entry.releasedKeys.
	releasedSinceTick bool
	// refusedTokens and refusedUntil are from the owner's last refusal.
	refusedTokens float64
	refusedUntil  time.Time
	localShare    meter
	lastUsed      time.Time
}

// Entry is the state of one entry for all organisations. It is not safe for concurrent use;
// a caller that needs concurrency uses several, each with a part of the keys.
type Entry struct {
	self    string
	entries []string
	hashes  []uint64
	// generation counts the changes of entries, after which the owners are determined again.
	generation       uint64
	sequence         uint64
	accounts         map[Key]*account
	owned            owner
	unreachableUntil map[string]time.Time
	// releasedKeys lists the accounts in which a request has ended since the last Tick.
	releasedKeys           []Key
	lastSweep, lastRenewal time.Time
}

// NewEntry returns the state of the named entry. sequence must be higher than any used by an
// earlier process of that name; the wall clock in nanoseconds is suitable.
func NewEntry(self string, sequence uint64) *Entry {
	e := &Entry{
		self: self, sequence: sequence, accounts: make(map[Key]*account),
		owned: owner{accounts: make(map[Key]*ownedAccount)}, unreachableUntil: make(map[string]time.Time),
	}
	e.SetEntries(nil)
	return e
}

// SetEntries sets the live entries. It adds this entry if it is missing.
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

// Owner returns the entry that owns a key. It does not allocate.
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
	e.assignOwner(key, a)
	a.lastUsed = now
	return a
}

// assignOwner updates an account's owner after the entries have changed.
func (e *Entry) assignOwner(key Key, a *account) {
	if a.generation == e.generation {
		return
	}
	a.generation = e.generation
	a.owner = e.Owner(key)
	a.refusedUntil = time.Time{}
}

// acquireSlot counts an admitted request if concurrency is limited.
func (a *account) acquireSlot(limits *document.Limits) {
	if limits.Concurrency > 0 {
		a.inUse++
	}
}

// Decide decides on a request of the given tokens. It does not allocate, except at an
// organisation's first request after it was idle.
func (e *Entry) Decide(now time.Time, key Key, limits *document.Limits, tokens int) Decision {
	if isUnlimited(limits) {
		return Decision{Outcome: Admitted}
	}
	a := e.account(now, key)
	n := float64(tokens)
	switch {
	case a.owner == e.self:
		return e.decideAsOwner(now, key, a, limits, n)
	case a.useGrant(now, limits, n):
		return Decision{Outcome: Admitted}
	case now.Before(a.refusedUntil) && n >= a.refusedTokens:
		return Decision{Outcome: Refused, RetryAfter: a.refusedUntil.Sub(now)}
	case now.Before(e.unreachableUntil[a.owner]):
		return e.decideOnLocalShare(now, a, limits, n)
	}
	return Decision{Outcome: AskOwner, Owner: a.owner}
}

func (e *Entry) decideAsOwner(now time.Time, key Key, a *account, limits *document.Limits, tokens float64) Decision {
	owned := e.owned.account(now, key)
	h := owned.holders[e.self]
	if h == nil {
		h = &holder{}
		owned.holders[e.self] = h
	}
	h.held = a.inUse
	h.lastSeen = now
	if wait := owned.admit(now, h, limits, tokens); wait > 0 {
		return Decision{Outcome: Refused, RetryAfter: wait}
	}
	a.acquireSlot(limits)
	return Decision{Outcome: Admitted}
}

// decideOnLocalShare decides without the owner, which can't be reached. The entry uses an
// equal share of the limits, as if no entry could reach the owner, or the concurrency already
// granted if that is more.
func (e *Entry) decideOnLocalShare(now time.Time, a *account, limits *document.Limits, tokens float64) Decision {
	slots := max(1, limits.Concurrency/len(e.entries))
	if limits.Concurrency > 0 && a.inUse >= max(slots, a.slots) {
		return Decision{Outcome: Refused, RetryAfter: concurrencyRetryAfter}
	}
	share := 1 / float64(len(e.entries))
	if wait := a.localShare.take(now, limits, share, tokens); wait > 0 {
		return Decision{Outcome: Refused, RetryAfter: wait}
	}
	a.acquireSlot(limits)
	return Decision{Outcome: Admitted}
}

// useGrant takes a request from the grants and reports whether they sufficed.
func (a *account) useGrant(now time.Time, limits *document.Limits, tokens float64) bool {
	a.expireGrant(now)
	switch {
	case limits.RequestsPerSecond > 0 && a.requests < 1,
		limits.TokensPerSecond > 0 && a.tokens < tokens,
		limits.Concurrency > 0 && a.inUse >= a.slots,
		a.grantExpires.IsZero():
		return false
	}
	a.requests--
	a.tokens -= tokens
	a.usedRequests++
	a.usedTokens += tokens
	a.acquireSlot(limits)
	return true
}

// expireGrant drops grants that have expired.
func (a *account) expireGrant(now time.Time) {
	if now.After(a.grantExpires) {
		a.requests, a.tokens = 0, 0
		a.usedRequests, a.usedTokens = 0, 0
	}
}

// NewGrantRequest returns the message to the owner for a request for which Decide returned
// AskOwner.
func (e *Entry) NewGrantRequest(now time.Time, key Key, tokens int) GrantRequest {
	a := e.account(now, key)
	request := e.newRequest(key, a, max(a.slots, a.inUse))
	request.Tokens = float64(tokens)
	request.MoreRequests, request.MoreTokens = a.usedRequests, a.usedTokens
	return request
}

func (e *Entry) newRequest(key Key, a *account, held int) GrantRequest {
	e.sequence++
	a.sequence = e.sequence
	return GrantRequest{Key: key, Sequence: e.sequence, Held: held}
}

// HandleGrant handles the owner's answer.
func (e *Entry) HandleGrant(now time.Time, grant *Grant) {
	a := e.account(now, grant.Key)
	delete(e.unreachableUntil, a.owner)
	// Held replaces the number of slots, so only the answer to the latest message counts.
	// Requests and tokens are added in any case, since the owner has taken them from its
	// buckets.
	if grant.Sequence == a.sequence {
		a.slots = grant.Held
	}
	if !grant.OK {
		a.refusedTokens = grant.Refused
		a.refusedUntil = now.Add(grant.RetryAfter)
		return
	}
	a.expireGrant(now)
	a.requests += grant.Requests
	a.tokens += grant.Tokens
	a.grantExpires = now.Add(grantTTL)
}

// OwnerTimedOut records that an owner did not answer in time. The entry uses its local shares
// for all organisations of this owner until ownerRetryInterval has passed.
func (e *Entry) OwnerTimedOut(now time.Time, owner string) {
	e.unreachableUntil[owner] = now.Add(ownerRetryInterval)
}

// HandleGrantRequest handles another entry's message as the owner. The limits are those of
// the owner's documents.
func (e *Entry) HandleGrantRequest(now time.Time, entry string, request *GrantRequest, limits *document.Limits) Grant {
	return e.owned.answer(now, entry, request, limits)
}

// Release records the end of a request that was admitted under the given limits.
func (e *Entry) Release(key Key, limits *document.Limits) {
	a := e.accounts[key]
	if a == nil || limits.Concurrency == 0 || a.inUse == 0 {
		return
	}
	a.inUse--
	if !a.releasedSinceTick {
		a.releasedSinceTick = true
		e.releasedKeys = append(e.releasedKeys, key)
	}
}

// Renewal is a message to an owner that requires no answer.
type Renewal struct {
	Owner   string
	Request GrantRequest
}

// Tick returns the messages that release the concurrency of requests ended since the last call,
// and every renewInterval those that renew what this entry still holds. Call it about every
// 100 ms: until the next call the owner counts ended requests and refuses others in their place.
func (e *Entry) Tick(now time.Time) []Renewal {
	var renewals []Renewal
	for _, key := range e.releasedKeys {
		if a := e.accounts[key]; a != nil {
			a.releasedSinceTick = false
			renewals = e.renew(now, renewals, key, a)
		}
	}
	e.releasedKeys = e.releasedKeys[:0]
	if now.Sub(e.lastRenewal) >= renewInterval {
		e.lastRenewal = now
		for key, a := range e.accounts {
			if a.slots > 0 || a.inUse > 0 {
				renewals = e.renew(now, renewals, key, a)
			}
		}
	}
	e.dropIdle(now)
	return renewals
}

// renew reports the concurrency in use to the owner of an account, by a message unless the owner is
// this entry.
func (e *Entry) renew(now time.Time, renewals []Renewal, key Key, a *account) []Renewal {
	e.assignOwner(key, a)
	a.slots = a.inUse
	if a.owner != e.self {
		request := e.newRequest(key, a, a.inUse)
		request.Renewal = true
		return append(renewals, Renewal{Owner: a.owner, Request: request})
	}
	if h := e.owned.account(now, key).holders[e.self]; h != nil {
		h.held = a.inUse
		h.lastSeen = now
	}
	return renewals
}

func (e *Entry) dropIdle(now time.Time) {
	if now.Sub(e.lastSweep) < idleTimeout {
		return
	}
	e.lastSweep = now
	e.owned.dropIdle(now)
	for key, a := range e.accounts {
		if a.inUse == 0 && a.slots == 0 && now.Sub(a.lastUsed) > idleTimeout {
			delete(e.accounts, key)
		}
	}
	for owner, until := range e.unreachableUntil {
		if now.After(until) {
			delete(e.unreachableUntil, owner)
		}
	}
}
