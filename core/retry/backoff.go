package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Backoff.
const (
	// DefaultBase is the longest delay before the first retry, about ten times the
	// latency of a message between two availability zones.
	DefaultBase = 20 * time.Millisecond
	// DefaultMax is the longest delay before any retry.
	DefaultMax = 2 * time.Second
)

// Backoff computes exponential delays with full jitter: a delay is uniformly distributed
// between zero and a bound that doubles with each retry. Without the jitter, callers that
// failed at the same time would retry at the same time and overload the service again.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Source is the random source; it must not be used concurrently.
	Source *rand.Rand
}

// NewBackoff returns a Backoff with the default bounds.
func NewBackoff(source *rand.Rand) *Backoff {
	return &Backoff{Base: DefaultBase, Max: DefaultMax, Source: source}
}

// Delay returns the delay before retry number n, counted from 1.
func (b *Backoff) Delay(n int) time.Duration {
	return time.Duration(b.Source.Int64N(int64(b.bound(n)) + 1))
}

func (b *Backoff) bound(n int) time.Duration {
	bound := b.Base
	for ; n > 1 && bound < b.Max; n-- {
		bound *= 2
	}
	return min(bound, b.Max)
}

// Policy combines a service's Budget with a Backoff. It implements attempt.Retries.
type Policy struct {
	*Budget
	*Backoff
}
