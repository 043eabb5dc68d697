package retry

import "time"

// The burst and the rate of a Floor. At 350 entries the rate adds 175 retries/s, 4 % of
// the 4,300 requests/s that the system is designed for.
const (
	sharedBurst = 8.0
	sharedRate  = 0.5 // retries per second
)

// Floor is a token bucket with a small number of retries that all services of one entry
// share in addition to their ratios. It is not safe for concurrent use.
//
// Without it, the ratio would allow almost no retries to a service with little traffic,
// and one broken engine would fail its requests while other engines are idle. The bucket
// is shared because one for each of many services would add up to more retries than the
// ratio allows.
type Floor struct {
	tokens float64
	last   time.Time
}

// NewFloor returns a Floor with a full bucket.
func NewFloor() *Floor { return &Floor{tokens: sharedBurst} }

// take takes one retry and reports whether one was left; a nil Floor has none.
func (f *Floor) take(now time.Time) bool {
	if f == nil {
		return false
	}
	if !f.last.IsZero() {
		f.tokens = min(sharedBurst, f.tokens+sharedRate*now.Sub(f.last).Seconds())
	}
	f.last = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}
