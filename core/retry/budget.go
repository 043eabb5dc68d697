// Package retry bounds the load that retries add, with a retry budget for each service
// and exponential backoff with jitter.
//
// Without a budget, a full outage multiplies the load by the number of tries of each
// request and prevents the overloaded upstreams from recovering.
package retry

import "time"

// Defaults of a Budget.
const (
	// DefaultRatio is the number of retries for each first attempt. It bounds the load
	// during a full outage to 1.1 times the load without retries.
	DefaultRatio = 0.1
	// DefaultMinInterval is the time after which a retry is always allowed, so that a service
	// with little traffic can retry too.
	DefaultMinInterval = 10 * time.Second
)

// The sliding window over which a Budget compares retries with first attempts. Ten
// seconds at an entry's 12 requests/s allow twelve retries at once, enough for the
// requests that the entry loses with one agent. A token bucket of that capacity would
// exceed the ratio in the first minute of an outage.
//
// A window of ten seconds overlaps eleven slots of one second. In the oldest slot only
// the retries count and not the first attempts, so that the budget holds in every window.
const (
	windowSlots  = 10
	ringSlots    = windowSlots + 1
	slotDuration = time.Second
)

// Budget allows retries up to a ratio of the first attempts in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	ratio       float64
	minInterval time.Duration
	shared      *SharedBudget
	// slack is the number of retries in a window that are allowed in addition to the ratio.
	slack  float64
	window [ringSlots]slot
	// lastAllowed is the time of the last allowed retry; zero if there was none.
	lastAllowed time.Time
}

// slot counts the first attempts and the retries in one slotDuration.
type slot struct {
	number  int64
	firsts  int
	retries int
}

// NewBudget returns an empty Budget. ratio is the number of retries for each first
// attempt, from 0, which forbids all retries, to 0.1, the limit in documents. Regardless
// of the ratio, a retry is allowed if minInterval has passed since the last one; if
// minInterval is zero, this exception does not apply.
func NewBudget(ratio float64, minInterval time.Duration) *Budget {
	return &Budget{ratio: ratio, minInterval: minInterval}
}

// SetRatio changes the ratio and keeps the counts.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetSlack allows a number of retries in each window in addition to the ratio. An entry
// sets its part of a bound that holds for all entries together.
func (b *Budget) SetSlack(retries float64) { b.slack = retries }

// UseShared lets the budget also take retries from a SharedBudget, which all services
// of an entry share.
func (b *Budget) UseShared(shared *SharedBudget) { b.shared = shared }

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) { b.slot(now).firsts++ }

// Allow takes one retry from the budget and reports whether one was left.
func (b *Budget) Allow(now time.Time) bool {
	if b.ratio <= 0 {
		return false
	}
	current := b.slot(now)
	firsts, retries := b.count(current.number)
	within := float64(retries+1) <= b.ratio*float64(firsts)+b.slack
	if !within && !b.minIntervalElapsed(now) && !b.shared.take(now) {
		return false
	}
	current.retries++
	b.lastAllowed = now
	return true
}

// minIntervalElapsed reports whether minInterval has passed since the last retry.
func (b *Budget) minIntervalElapsed(now time.Time) bool {
	return b.minInterval > 0 && now.Sub(b.lastAllowed) >= b.minInterval
}

// slot returns the slot of now, and clears it if it still holds counts from an earlier
// pass through the ring.
func (b *Budget) slot(now time.Time) *slot {
	number := now.UnixNano() / int64(slotDuration)
	s := &b.window[number%ringSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// count returns the first attempts and the retries in the window that ends with the slot
// number current.
func (b *Budget) count(current int64) (firsts, retries int) {
	for _, s := range b.window {
		age := current - s.number
		if age < 0 || age >= ringSlots {
			continue
		}
		retries += s.retries
		if age < windowSlots {
			firsts += s.firsts
		}
	}
	return firsts, retries
}
