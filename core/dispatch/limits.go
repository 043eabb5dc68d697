package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/ratelimit"
)

// LimitAnswer is what an upstream's answer says of the upstream's rate limit, and when it was received.
type LimitAnswer struct {
	ratelimit.Statement
	// SentAt is when the request was sent, ReceivedAt when the head of the answer arrived.
	SentAt     time.Time
	ReceivedAt time.Time
	// Complete is set once the whole answer has arrived.
	Complete bool
}

// LimitChange is a change of an upstream's rate limit.
type LimitChange struct {
	// Upstream is the name of the incarnation.
	Upstream string
	Rate     ratelimit.Rate
	Previous ratelimit.Rate
	At       time.Time
	// Origin is the entry that reported it; zero if this entry received the answer.
	Origin uint64
}

// maxLimitChanges bounds the changes that wait to be logged or reported.
const maxLimitChanges = 256

// ObserveLimit applies what an answer of an incarnation says of its rate limit.
func (f *Fleet) ObserveLimit(now time.Time, upstream Upstream, answer LimitAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	said := f.statementsOf(upstream.Incarnation())
	if answer.Malformed || !answer.Complete && !said.limit.Lowers(answer.Statement) {
		return
	}
	at := answer.ReceivedAt
	if answer.Rate == 0 {
		// The upstream may have written this answer before it named its limit in another one.
		at = answer.SentAt
	}
	u := f.findIncarnation(upstream)
	if u == nil {
		said.limit.Update(at, answer.Rate)
		return
	}
	if f.setLimit(now, u, at, answer.Rate, 0) {
		if len(f.limitReports) < maxLimitChanges {
			f.limitReports = append(f.limitReports, u)
		}
		f.signalPending()
	}
}

// setLimit applies a rate stated for a time; origin is zero if this entry received the answer. It
// reports whether the limit has changed.
func (f *Fleet) setLimit(now time.Time, u *upstreamState, at time.Time, rate ratelimit.Rate, origin uint64) bool {
	previous := u.limit.Rate
	if !u.limit.Update(at, rate) {
		return false
	}
	if len(f.limitChanges) < maxLimitChanges {
		f.limitChanges = append(f.limitChanges, LimitChange{Upstream: u.incarnation, Rate: rate, Previous: previous, At: now, Origin: origin})
	}
	u.permitBackoff.Granted()
	f.refreshRate(now, u)
	return true
}

// updateShare sets the share of this entry by the upstream's rate and the known entries.
func (f *Fleet) updateShare(now time.Time, u *upstreamState) {
	if u.rate == 0 {
		u.holders, u.share = nil, ratelimit.Share{}
		return
	}
	if len(f.entries) == 0 {
		// Others may hold shares too.
		u.holders = nil
		u.share.SetRate(now, u.soleEntryRate(), 1)
		return
	}
	u.holders = ratelimit.Holders(u.incarnation, f.entries)
	rank := slices.Index(u.holders, f.settings.VM)
	if rank < 0 {
		u.share = ratelimit.Share{}
		return
	}
	count := len(u.holders)
	u.share.SetRate(now, f.shareOf(u), float64(rank+1)/float64(count))
}

// SetEntries sets the names of the VMs of the entries that may hold shares of rate limits.
func (f *Fleet) SetEntries(now time.Time, vms []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries != nil && slices.Equal(f.entries, vms) {
		return
	}
	f.entries = vms
	f.forgetLinks()
	for _, u := range f.upstreams {
		f.refreshRate(now, u)
		if u.rate > 0 {
			f.updateShare(now, u)
		}
	}
}

// SetEntryCount sets the number of all entries, whether or not they may hold shares.
func (f *Fleet) SetEntryCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryCount = n
}

// countEntries returns the number of all entries as far as it is known.
func (f *Fleet) countEntries() int { return max(f.entryCount, len(f.entries)) }

// TakeLimitChanges returns the changes of rate limits since the last call.
func (f *Fleet) TakeLimitChanges() []LimitChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.limitChanges
	f.limitChanges = nil
	return changes
}

// RateLimit returns the rate limit that an incarnation has named; zero for none.
func (f *Fleet) RateLimit(upstream Upstream) ratelimit.Rate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.findIncarnation(upstream); u != nil {
		return u.limit.Rate
	}
	return 0
}

// Limited returns the number of upstreams that have named a rate limit.
func (f *Fleet) Limited() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams {
		if u.limit.Rate > 0 {
			n++
		}
	}
	return n
}
