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
	// DefaultCap is the number of unused retries that are saved up. It is what a
	// sudden outage may add once on top of the ratio.
	DefaultCap = 5.0
	// DefaultMinimum lets a service with little traffic retry at all.
	DefaultMinimum = 10 * time.Second
)

// Budget is a token bucket that first attempts fill and retries empty. The zero value
// allows nothing; use NewBudget. It is used by one goroutine at a time.
type Budget struct {
	ratio   float64
	cap     float64
	minimum time.Duration
	tokens  float64
	// granted is when the last retry was allowed; zero when none was.
	granted time.Time
}

// NewBudget returns an empty Budget. ratio is the number of retries for each first
// attempt, from 0, which forbids all retries, to 0.1 as documents bound it. At least
// one retry is allowed in each stretch of minimum in which no other one was.
func NewBudget(ratio float64, minimum time.Duration) *Budget {
	return &Budget{ratio: ratio, cap: DefaultCap, minimum: minimum}
}

// First records a first attempt.
func (b *Budget) First() { b.tokens = min(b.tokens+b.ratio, b.cap) }

// Allow takes one retry out of the budget and reports whether there was one.
func (b *Budget) Allow(now time.Time) bool {
	switch {
	case b.ratio <= 0:
		return false
	case b.tokens >= 1:
		b.tokens--
	case now.Sub(b.granted) < b.minimum:
		return false
	}
	b.granted = now
	return true
}
