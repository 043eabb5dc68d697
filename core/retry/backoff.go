package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of a Backoff.
const (
	// DefaultBase is the longest delay before the first retry: some ten times the
	// time that a message takes between two availability zones.
	DefaultBase = 20 * time.Millisecond
	// DefaultMax is the longest delay before any retry.
	DefaultMax = 2 * time.Second
)

// Backoff computes delays before retries. A delay is drawn evenly from zero up to a
// bound that doubles with each retry: callers that failed together would otherwise
// come back together and fail together again.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	// Source is the random source; it is used by one goroutine at a time.
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

// Policy joins a service's Budget with a Backoff, as a call's state machine asks for them.
type Policy struct {
	*Budget
	*Backoff
}
