// Package retry bounds how much load retries may add: a budget for each service and
// exponential backoff with jitter.
//
// Without a budget, a full outage multiplies the load by the number of tries of each
// request, just when the upstreams can bear it least, and keeps them from recovering.
package retry

import "time"

// Defaults of a Budget.
const (
	// DefaultRatio is the number of retries for each first attempt: the load under a
	// full outage is then at most 1.1 times that without retries.
	DefaultRatio = 0.1
	// DefaultMinimum lets a service with little traffic retry at all.
	DefaultMinimum = 10 * time.Second
)

// The window over which a Budget compares retries with first attempts. Ten seconds of
// an entry's 12 requests/s allow twelve retries at once, enough for the requests that
// it loses with one agent; a token bucket that saves as many up would exceed the ratio
// in the first minute of an outage.
//
// Any ten seconds touch eleven whole ones: retries late in the first of them still count,
// its first attempts don't.
const (
	windowSlots = 10
	slots       = windowSlots + 1
	slotTime    = time.Second
)

// Budget allows retries up to a ratio of the first attempts in a sliding window. It is
// used by one goroutine at a time.
type Budget struct {
	ratio   float64
	minimum time.Duration
	floor   *Floor
	// slack is the number of retries in a window that are allowed beyond the ratio.
	slack  float64
	window [slots]slot
	// granted is when the last retry was allowed; zero when none was.
	granted time.Time
}

// slot counts what happened in one slotTime.
type slot struct {
	number  int64
	firsts  int
	retries int
}

// NewBudget returns an empty Budget. ratio is the number of retries for each first
// attempt, from 0, which forbids all retries, to 0.1 as documents bound it. Whatever
// the ratio allows, a retry is allowed when minimum has passed since the last one; zero
// stands for never.
func NewBudget(ratio float64, minimum time.Duration) *Budget {
	return &Budget{ratio: ratio, minimum: minimum}
}

// SetRatio changes the ratio; what was counted so far stays.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetSlack allows a number of retries in each window beyond the ratio. It suits a bound on
// all entries together, of which each takes its part.
func (b *Budget) SetSlack(retries float64) { b.slack = retries }

// Share lets the budget draw on a floor that all services of an entry share.
func (b *Budget) Share(floor *Floor) { b.floor = floor }

// First records a first attempt.
func (b *Budget) First(now time.Time) { b.slot(now).firsts++ }

// Allow takes one retry out of the budget and reports whether there was one.
func (b *Budget) Allow(now time.Time) bool {
	if b.ratio <= 0 {
		return false
	}
	current := b.slot(now)
	firsts, retries := b.count(current.number)
	within := float64(retries+1) <= b.ratio*float64(firsts)+b.slack
	if !within && !b.overdue(now) && !b.floor.take(now) {
		return false
	}
	current.retries++
	b.granted = now
	return true
}

// overdue reports whether minimum has passed since the last retry.
func (b *Budget) overdue(now time.Time) bool {
	return b.minimum > 0 && now.Sub(b.granted) >= b.minimum
}

// slot returns the slot of now, emptied if it last served an earlier turn of the ring.
func (b *Budget) slot(now time.Time) *slot {
	number := now.UnixNano() / int64(slotTime)
	s := &b.window[number%slots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (b *Budget) count(current int64) (firsts, retries int) {
	for _, s := range b.window {
		age := current - s.number
		if age < 0 || age >= slots {
			continue
		}
		retries += s.retries
		if age < windowSlots {
			firsts += s.firsts
		}
	}
	return firsts, retries
}
