// Package slowstart keeps what is known of the time in which an upstream is cold after its start, and
// the rate of requests that it bears then. It does no I/O.
package slowstart

import (
	"math"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/routes"
)

// MaxRest bounds the cold time that counts from a statement on. A longer one counts as this one, so
// that a wrong value doesn't limit an upstream for good.
const MaxRest = 10 * time.Minute

const (
	// rampStep is the time after which the rate doubles once the cold time is over, and rampSteps how
	// often it doubles before it is no limit any more.
	rampStep  = 500 * time.Millisecond
	rampSteps = 3
	// ramp is the time from the end of the cold time until there is no limit.
	ramp = rampStep * rampSteps
)

// Statement is what an answer says of its upstream's cold time. The zero Statement says nothing.
type Statement struct {
	// Rest is how much longer the upstream is cold.
	Rest time.Duration
	// Malformed is set if the answer names something that is no such time.
	Malformed bool
}

// Known is what an entry knows of an incarnation's cold time. Of several ends the latest counts. The zero
// Known is an incarnation that was never cold.
type Known struct {
	// until is the latest end that was stated, and startedAt the latest time at which the upstream may
	// have started; both are zero if unknown.
	until     time.Time
	startedAt time.Time
}

// Extend records that the upstream is cold for at least rest from now on.
func (k *Known) Extend(now time.Time, rest time.Duration) {
	k.until = latest(k.until, now.Add(min(rest, MaxRest)))
}

// MayHaveStarted records that the upstream may have started at a time.
func (k *Known) MayHaveStarted(at time.Time) { k.startedAt = latest(k.startedAt, at) }

// End returns when the cold time ends; zero if it never began.
func (k *Known) End(figures routes.Cold) time.Time {
	duration := min(figures.Duration, MaxRest)
	if k.startedAt.IsZero() || duration <= 0 {
		return k.until
	}
	return latest(k.until, k.startedAt.Add(duration))
}

// Rest returns how much longer the upstream is cold; negative if it isn't any more.
func (k *Known) Rest(now time.Time, figures routes.Cold) time.Duration {
	return k.End(figures).Sub(now)
}

// Cold reports whether the upstream is cold.
func (k *Known) Cold(now time.Time, figures routes.Cold) bool {
	return Bounds(figures) && k.Rest(now, figures) > 0
}

// Rate returns the rate of requests that the upstream bears from all entries together; zero for no limit.
// After the cold time it doubles in steps, so that the load doesn't return at once.
func (k *Known) Rate(now time.Time, figures routes.Cold) ratelimit.Rate {
	over := now.Sub(k.End(figures))
	if !Bounds(figures) || over >= ramp {
		return 0
	}
	rate := figures.PerSecond
	if over >= 0 {
		rate *= math.Exp2(float64(over/rampStep + 1))
	}
	return min(max(ratelimit.Rate(rate), ratelimit.MinRate), ratelimit.MaxRate)
}

// Bounds reports whether the figures bound the rate of requests to a cold upstream.
func Bounds(figures routes.Cold) bool { return figures.PerSecond > 0 }

// Report tells other entries of the cold time of an upstream's incarnation.
type Report struct {
	// Tag stands for the incarnation.
	Tag uint32
	// RestMs is how much longer the upstream is cold, in milliseconds; negative while the rate rises
	// after that.
	RestMs int64
}

// NewReport returns the report on an incarnation.
func NewReport(tag uint32, rest time.Duration) Report {
	return Report{Tag: tag, RestMs: min(max(rest, -ramp), MaxRest).Milliseconds()}
}

// Valid reports whether a correct entry can have sent the report.
func (r Report) Valid() bool {
	return r.RestMs >= -ramp.Milliseconds() && r.RestMs <= MaxRest.Milliseconds()
}

// Rest returns the rest as a duration.
func (r Report) Rest() time.Duration { return time.Duration(r.RestMs) * time.Millisecond }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
