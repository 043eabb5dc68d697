// Package limits keeps organisations within their fleet-wide limits of requests and
// tokens a second and of concurrency, without a write to the store. Its decisions are
// pure: requests, messages and the time go in, verdicts and messages come out.
//
// Every organisation of a service has one owner among the entries, chosen by rendezvous
// hashing, which holds its buckets. Other entries ask the owner and get what they need,
// and a batch beyond it in proportion to what they used lately. What is granted has been
// taken from the bucket before, so that a lost, late or expired grant can only let too
// little through. Without an answer from the owner an entry lives on its own share.
//
// The bounds, for one organisation over any T seconds, where rate and burst are those of
// the fleet, E is the number of entries and k of them don't reach the owner:
//
//   - the owner reached by all: requests ≤ rate·(T + grantLife) + burst, and concurrency
//     ≤ the limit. Tokens likewise and one request more, since a request larger than the
//     burst is let through on a full bucket and leaves a debt;
//   - k entries on their shares: in addition k·(rate·T/E + max(1, burst/E)) requests, the
//     same of tokens with one request for each of the k, and k·max(1, limit/E) of
//     concurrency;
//   - each change of owner: in addition one burst, and once the limit of concurrency, until
//     the holders' next renewals tell the new owner what they hold, HoldBound at most.
//
// An entry sends one message for a request that no grant covers and, where concurrency is
// limited, one when it ends and renewals while it lasts. Measured at 12 requests a second
// an entry and 350 entries, with limits for all organisations: 1.8 KB/s sent with limits of
// rates, 6.7 KB/s with limits of concurrency too (BenchmarkCapacityLimits). None is sent for
// organisations without limits.
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

// Settings of the decisions. They trade messages for accuracy and are the same everywhere.
const (
	// burstSeconds is how much of a rate may be used at once: a crew that syncs a day's
	// photos sends a handful of calls together.
	burstSeconds = 2
	// grantLife is how long an entry may use a grant. It bounds how long a lowered
	// limit isn't felt, and what is lost when an entry goes.
	grantLife = 2 * time.Second
	// batchShare is the part of what is left in a bucket that one batch may take, so
	// that one entry can't hold back all that the others need.
	batchShare = 0.25
	// HoldBound is how long an owner counts concurrency that isn't renewed.
	HoldBound = 5 * time.Second
	// renewInterval leaves time for a second renewal before HoldBound ends.
	renewInterval = 2 * time.Second
	// silenceBound is how long an entry lives on its share before it asks a silent
	// owner again.
	silenceBound = time.Second
	// slotRetry is the time after which a caller over its concurrency may try again;
	// short requests take about as long.
	slotRetry = 500 * time.Millisecond
	// idleBound is how long an unused account is kept; by then its buckets are full.
	idleBound = 30 * time.Second
)

// Outcome is what becomes of a request.
type Outcome uint8

// The outcomes.
const (
	// Admitted: the request may go on; Release follows at its end.
	Admitted Outcome = iota
	// Refused: the organisation is over a limit.
	Refused
	// AskOwner: send Want to the owner and decide again at its Grant. Where none comes
	// in time, call OwnerSilent and decide again.
	AskOwner
)

// Verdict is a decision on a request.
type Verdict struct {
	Outcome Outcome
	// RetryAfter is set when the request is refused.
	RetryAfter time.Duration
	// Owner is the entry to ask.
	Owner string
}

// Want is the message with which an entry asks an owner.
type Want struct {
	Key Key
	// Sequence rises with each message of an entry; the owner drops older ones.
	Sequence uint64
	// Tokens are those of the request at hand; 0 in a renewal.
	Tokens float64
	// Renewal says that Held is only to be noted and no request waits.
	Renewal bool
	// Held is the concurrency that the entry uses or was granted.
	Held int
	// MoreRequests and MoreTokens are wanted beyond the request.
	MoreRequests, MoreTokens float64
}

// Grant is the owner's answer.
type Grant struct {
	Key      Key
	Sequence uint64
	OK       bool
	// Requests and Tokens may be used within grantLife of their arrival.
	Requests, Tokens float64
	// Held is the concurrency that the entry may use from now on.
	Held int
	// RetryAfter and Refused are set when the answer is no: a request of Refused tokens
	// or more has no chance before.
	RetryAfter time.Duration
	Refused    float64
}

// bucket is a token bucket that starts full and may go into debt.
type bucket struct {
	level float64
	last  time.Time
}

// fill brings the bucket up to now.
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

// wait returns how long until n can be taken; 0 means now. A rate of 0 means no bound.
// More than the burst can be taken from a full bucket: a prompt of a million tokens
// would otherwise never pass a limit of a hundred thousand a second.
func (b *bucket) wait(rate, burst, n float64) time.Duration {
	short := min(n, burst) - b.level
	if rate <= 0 || short <= 0 {
		return 0
	}
	return time.Duration(short/rate*float64(time.Second)) + time.Nanosecond
}

func requestBurst(limits *document.Limits) float64 {
	return max(1, limits.RequestsPerSecond*burstSeconds)
}

func tokenBurst(limits *document.Limits) float64 {
	return max(1, limits.TokensPerSecond*burstSeconds)
}

// meter holds the two buckets of an organisation.
type meter struct {
	requests, tokens bucket
}

// take fills both buckets, scaled by share, and takes one request of the given tokens
// from both or from none. It returns the time to wait, 0 when it was taken.
func (m *meter) take(now time.Time, limits *document.Limits, share, tokens float64) time.Duration {
	requestRate, requestMax := limits.RequestsPerSecond*share, max(1, requestBurst(limits)*share)
	tokenRate, tokenMax := limits.TokensPerSecond*share, max(1, tokenBurst(limits)*share)
	m.requests.fill(now, requestRate, requestMax)
	m.tokens.fill(now, tokenRate, tokenMax)
	wait := max(m.requests.wait(requestRate, requestMax, 1), m.tokens.wait(tokenRate, tokenMax, tokens))
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

// unlimited reports whether nothing bounds the organisation.
func unlimited(limits *document.Limits) bool { return *limits == document.Limits{} }
