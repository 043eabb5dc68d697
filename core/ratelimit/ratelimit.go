// Package ratelimit keeps what all entries together send to an upstream within the rate that the
// upstream names in its answers. It does no I/O.
package ratelimit

import "time"

// Rate is a limit in requests per second, for all entries together; zero means no limit.
type Rate float64

// MinRate and MaxRate bound the rates that an upstream can name. A lower one would take the
// upstream out of use for minutes, without an answer that could lift it.
const (
	MinRate Rate = 0.01
	MaxRate Rate = 1e6
)

// Valid reports whether an upstream can name the rate.
func (r Rate) Valid() bool { return r >= MinRate && r <= MaxRate }

// Statement is what an answer says of its upstream's limit. The zero Statement names no limit.
type Statement struct {
	Rate Rate
	// Malformed is set if the answer names something that is no valid rate.
	Malformed bool
}

// Known is an upstream's limit as an entry knows it. The zero Known is no limit.
type Known struct {
	Rate Rate
	// statedAt is the time for which the rate was stated: when an answer that names a limit
	// arrived, or when the request was sent whose answer names none.
	statedAt time.Time
}

// Update applies a rate that was stated for a time, and reports whether the limit has changed. Of
// two statements for the same time the lower rate holds.
func (k *Known) Update(at time.Time, rate Rate) bool {
	if at.Before(k.statedAt) || at.Equal(k.statedAt) && !rate.lowerThan(k.Rate) {
		return false
	}
	changed := rate != k.Rate
	k.Rate, k.statedAt = rate, at
	return changed
}

// Lowers reports whether a statement lowers the limit. Such a statement takes effect when the head
// of its answer arrives, any other when the answer is complete: an answer that breaks off may have
// been damaged before.
func (k *Known) Lowers(s Statement) bool { return !s.Malformed && s.Rate.lowerThan(k.Rate) }

// StatedAt returns the time for which the limit was stated; zero if it never was.
func (k *Known) StatedAt() time.Time { return k.statedAt }

// lowerThan compares two rates, where zero is unlimited.
func (r Rate) lowerThan(other Rate) bool { return r > 0 && (other == 0 || r < other) }
