package limits

import (
	"time"

	"acaciacleat.example/core/document"
)

// ownedAccount is an organisation's account at its owner.
type ownedAccount struct {
	meter    meter
	holders  map[string]*holder
	lastUsed time.Time
}

// holder is the concurrency that one entry holds.
type holder struct {
	sequence uint64
	held     int
	seen     time.Time
}

// owner is the part of an entry that owns organisations.
type owner struct {
	accounts map[Key]*ownedAccount
}

func (o *owner) account(now time.Time, key Key) *ownedAccount {
	a := o.accounts[key]
	if a == nil {
		a = &ownedAccount{holders: make(map[string]*holder, 1)}
		o.accounts[key] = a
	}
	a.lastUsed = now
	return a
}

// answer decides on an entry's message.
func (o *owner) answer(now time.Time, entry string, want *Want, limits *document.Limits) Grant {
	a := o.account(now, want.Key)
	grant := Grant{Key: want.Key, Sequence: want.Sequence}
	h := a.holders[entry]
	if h == nil {
		h = &holder{}
		a.holders[entry] = h
	}
	if want.Sequence <= h.sequence {
		grant.Held = h.held
		return grant
	}
	h.sequence = want.Sequence
	h.held = want.Held
	h.seen = now
	if want.Renewal {
		grant.Held = want.Held
		return grant
	}
	wait := a.admit(now, h, limits, want.Tokens)
	grant.Held = h.held
	if wait > 0 {
		grant.RetryAfter = wait
		if full := a.meter.requests.level >= 1 && wait != slotRetry; full {
			grant.Refused = want.Tokens
		}
		return grant
	}
	grant.OK = true
	grant.Requests = 1 + batch(&a.meter.requests, want.MoreRequests)
	grant.Tokens = want.Tokens + batch(&a.meter.tokens, want.MoreTokens)
	return grant
}

// batch takes up to n more, within the share that one batch may take.
func batch(b *bucket, n float64) float64 {
	more := max(0, min(n, b.level*batchShare))
	b.level -= more
	return more
}

// admit takes one request and one slot of concurrency for a holder, or neither.
func (a *ownedAccount) admit(now time.Time, h *holder, limits *document.Limits, tokens float64) time.Duration {
	if limits.Concurrency > 0 && a.held(now) >= limits.Concurrency {
		return slotRetry
	}
	if wait := a.meter.take(now, limits, 1, tokens); wait > 0 {
		return wait
	}
	if limits.Concurrency > 0 {
		h.held++
	}
	return 0
}

// held adds up the concurrency. A holder that no longer renews is gone, and with it its
// requests; nobody would give its slots back.
func (a *ownedAccount) held(now time.Time) int {
	sum := 0
	for _, h := range a.holders {
		if now.Sub(h.seen) <= HoldBound {
			sum += h.held
		}
	}
	return sum
}

// sweep drops what is idle. An account in debt stays: it would come back with a full bucket.
func (o *owner) sweep(now time.Time) {
	for key, a := range o.accounts {
		for entry, h := range a.holders {
			if now.Sub(h.seen) > idleBound {
				delete(a.holders, entry)
			}
		}
		debt := a.meter.requests.level < 0 || a.meter.tokens.level < 0
		if now.Sub(a.lastUsed) > idleBound && len(a.holders) == 0 && !debt {
			delete(o.accounts, key)
		}
	}
}
