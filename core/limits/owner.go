package limits

import (
	"time"

	"acaciacleat.example/core/document"
)

// ownedAccount is the state of an organisation at its owner.
type ownedAccount struct {
	meter    meter
	holders  map[string]*holder
	lastUsed time.Time
}

// holder is the concurrency that one entry holds.
type holder struct {
	sequence uint64
	held     int
	lastSeen time.Time
}

// owner is the state of an entry for the organisations that it owns.
type owner struct {
	accounts map[Key]*ownedAccount
}

// account returns the account of a key, new if there is none.
func (o *owner) account(now time.Time, key Key) *ownedAccount {
	a := o.accounts[key]
	if a == nil {
		a = &ownedAccount{holders: make(map[string]*holder, 1)}
		o.accounts[key] = a
	}
	a.lastUsed = now
	return a
}

// answer handles an entry's request for a grant, or its renewal. A message that is not newer than
// the entry's last one has no effect.
func (o *owner) answer(now time.Time, entry string, request *GrantRequest, limits *document.Limits) Grant {
	a := o.account(now, request.Key)
	grant := Grant{Key: request.Key, Sequence: request.Sequence}
	h := a.holders[entry]
	if h == nil {
		h = &holder{}
		a.holders[entry] = h
	}
	if request.Sequence <= h.sequence {
		grant.Held = h.held
		return grant
	}
	h.sequence = request.Sequence
	h.held = request.Held
	h.lastSeen = now
	if request.Renewal {
		grant.Held = request.Held
		return grant
	}
	wait := a.admit(now, h, limits, request.Tokens)
	grant.Held = h.held
	if wait > 0 {
		grant.RetryAfter = wait
		// A request of fewer tokens may be admitted if only the token bucket is too low.
		if tokensOnly := a.meter.requests.level >= 1 && wait != concurrencyRetryAfter; tokensOnly {
			grant.Refused = request.Tokens
		}
		return grant
	}
	grant.OK = true
	grant.Requests = 1 + takeBatch(&a.meter.requests, request.MoreRequests)
	grant.Tokens = request.Tokens + takeBatch(&a.meter.tokens, request.MoreTokens)
	return grant
}

// takeBatch takes up to n from the bucket, but at most batchShare of its level.
func takeBatch(b *bucket, n float64) float64 {
	more := max(0, min(n, b.level*batchShare))
	b.level -= more
	return more
}

// admit takes one request from the buckets and one concurrency slot for the holder, or
// neither. It returns the time to wait, or 0 when it took both.
func (a *ownedAccount) admit(now time.Time, h *holder, limits *document.Limits, tokens float64) time.Duration {
	if limits.Concurrency > 0 && a.held(now) >= limits.Concurrency {
		return concurrencyRetryAfter
	}
	if wait := a.meter.take(now, limits, 1, tokens); wait > 0 {
		return wait
	}
	if limits.Concurrency > 0 {
		h.held++
	}
	return 0
}

// held returns the concurrency held by all entries. It ignores a holder that no longer
// renews: the entry and its requests have ended, and no message will return its slots.
func (a *ownedAccount) held(now time.Time) int {
	sum := 0
	for _, h := range a.holders {
		if now.Sub(h.lastSeen) <= HoldTimeout {
			sum += h.held
		}
	}
	return sum
}

// dropIdle drops idle holders and accounts. It keeps an account in debt, since a new account
// would start with full buckets.
func (o *owner) dropIdle(now time.Time) {
	for key, a := range o.accounts {
		for entry, h := range a.holders {
			if now.Sub(h.lastSeen) > idleTimeout {
				delete(a.holders, entry)
			}
		}
		debt := a.meter.requests.level < 0 || a.meter.tokens.level < 0
		if now.Sub(a.lastUsed) > idleTimeout && len(a.holders) == 0 && !debt {
			delete(o.accounts, key)
		}
	}
}
