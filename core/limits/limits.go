// Package limits enforces fleet-wide limits of organisations on requests per second, tokens
// per second and concurrency, without writes to the store. It does no I/O: requests,
// messages and the time are inputs, decisions and messages are the output.
//
// Each organisation of a service has one owner among the entries, chosen by rendezvous
// hashing, which holds its token buckets. Other entries ask the owner and are granted what
// they need, plus a batch in proportion to their recent use. A grant is taken from the
// bucket before it is sent, so that a lost, late or expired grant can only admit too few
// requests. An entry that gets no answer from the owner falls back to its local share.
//
// The bounds for one organisation over any T seconds, where rate and burst are those of
// the fleet, E is the number of entries and k of them can't reach the owner:
//
//   - if all entries reach the owner: requests ≤ rate·(T + grantTTL) + burst, and
//     concurrency ≤ the limit. The same holds for tokens, plus one request, since a request
//     larger than the burst is admitted on a full bucket and leaves a debt;
//   - k entries on their local shares: in addition k·(rate·T/E + max(1, burst/E)) requests,
//     the same for tokens plus one request for each of the k entries, and k·max(1, limit/E)
//     of concurrency;
//   - each change of owner: in addition one burst, and the concurrency limit once more until
//     the holders' next renewals tell the new owner what they hold, at most for HoldTimeout.
//
// An entry sends one message for a request that no grant covers and, where concurrency is
// limited, one when the request ends and renewals while it runs. With 350 entries, 12
// requests per second per entry and limits for all organisations, an entry sends 1.8 KB/s
// with rate limits and 6.7 KB/s with concurrency limits too (BenchmarkCapacityLimits). It
// sends none for organisations without limits.
package limits

import (
	"time"

	"acaciacleat.example/core/document"
)

// Key names an organisation at a service.
type Key struct {
	Service      string
	Organisation string
}

// These values trade the number of messages for accuracy. All entries must use the same.
const (
	// burstSeconds is the burst in seconds of the rate: a client that syncs a day's photos
	// sends several calls at once.
	burstSeconds = 2
	// grantTTL is how long an entry may use a grant. It bounds how long a lowered limit has
	// no effect, and how much is lost when an entry crashes.
	grantTTL = 2 * time.Second
	// batchShare is the share of a bucket's level that one batch may take, so that one entry
	// can't take everything that the others need.
	batchShare = 0.25
	// HoldTimeout is how long an owner counts concurrency that is not renewed.
	HoldTimeout = 5 * time.Second
	// renewInterval leaves time for a second renewal before HoldTimeout ends.
	renewInterval = 2 * time.Second
	// ownerRetryInterval is how long an entry uses its local share before it asks an owner
	// that did not answer again.
	ownerRetryInterval = time.Second
	// concurrencyRetryAfter is the time after which a caller over its concurrency limit may
	// try again, about the duration of a short request.
	concurrencyRetryAfter = 500 * time.Millisecond
	// idleTimeout is how long an unused account is kept. Its buckets are full by then.
	idleTimeout = 30 * time.Second
)

// Outcome is the result of a decision on a request.
type Outcome uint8

const (
	// Admitted means that the request may proceed. The caller calls Release when it ends.
	Admitted Outcome = iota
	// Refused means that the organisation is over a limit.
	Refused
	// AskOwner means that the caller must send a GrantRequest to the owner and decide again
	// after its Grant. If no Grant arrives in time, the caller calls OwnerTimedOut and decides
	// again.
	AskOwner
)

// Decision is a decision on a request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is set when the request is refused.
	RetryAfter time.Duration
	// Owner is the entry to ask; set for AskOwner.
	Owner string
}

// GrantRequest is the message with which an entry asks the owner for a grant.
type GrantRequest struct {
	Key Key
	// Sequence increases with each message of an entry; the owner ignores older ones.
	Sequence uint64
	// Tokens is the number of tokens of the waiting request; 0 in a renewal.
	Tokens float64
	// Renewal means that the message only reports Held and that no request waits.
	Renewal bool
	// Held is the concurrency that the entry uses or was granted.
	Held int
	// MoreRequests and MoreTokens are requested as a batch beyond the waiting request.
	MoreRequests, MoreTokens float64
}

// Grant is the owner's answer.
type Grant struct {
	Key      Key
	Sequence uint64
	OK       bool
	// Requests and Tokens may be used within grantTTL after the grant arrives.
	Requests, Tokens float64
	// Held is the concurrency that the entry may use from now on.
	Held int
	// RetryAfter and Refused are set when OK is false: until RetryAfter has passed, requests
	// of at least Refused tokens are refused.
	RetryAfter time.Duration
	Refused    float64
}

// bucket is a token bucket that starts full and may go into debt.
type bucket struct {
	level float64
	last  time.Time
}

// fill refills the bucket for the time since the last call.
func (b *bucket) fill(now time.Time, rate, burst float64) {
	if b.last.IsZero() {
		b.level = burst
		b.last = now
		return
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.last = now
	}
	b.level = min(b.level, burst)
}

// waitFor returns the time until n can be taken; 0 means now. A rate of 0 means no limit.
// More than the burst can be taken from a full bucket: a prompt of a million tokens would
// otherwise never pass a limit of a hundred thousand tokens per second.
func (b *bucket) waitFor(rate, burst, n float64) time.Duration {
	missing := min(n, burst) - b.level
	if rate <= 0 || missing <= 0 {
		return 0
	}
	return time.Duration(missing/rate*float64(time.Second)) + time.Nanosecond
}

func requestBurst(limits *document.Limits) float64 {
	return max(1, limits.RequestsPerSecond*burstSeconds)
}

func tokenBurst(limits *document.Limits) float64 {
	return max(1, limits.TokensPerSecond*burstSeconds)
}

// meter holds the request and token buckets of an organisation.
type meter struct {
	requests, tokens bucket
}

// take refills both buckets, with rates and bursts scaled by share, and takes one request of
// the given tokens from both or from neither. It returns the time to wait, or 0 when it took
// the request.
func (m *meter) take(now time.Time, limits *document.Limits, share, tokens float64) time.Duration {
	requestRate, requestMax := limits.RequestsPerSecond*share, max(1, requestBurst(limits)*share)
	tokenRate, tokenMax := limits.TokensPerSecond*share, max(1, tokenBurst(limits)*share)
	m.requests.fill(now, requestRate, requestMax)
	m.tokens.fill(now, tokenRate, tokenMax)
	wait := max(m.requests.waitFor(requestRate, requestMax, 1), m.tokens.waitFor(tokenRate, tokenMax, tokens))
	if wait > 0 {
		return wait
	}
	if requestRate > 0 {
		m.requests.level--
	}
	if tokenRate > 0 {
		m.tokens.level -= tokens
	}
	return 0
}

// isUnlimited reports whether no limit is set.
func isUnlimited(limits *document.Limits) bool { return *limits == document.Limits{} }
