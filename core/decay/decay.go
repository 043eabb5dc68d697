// Package decay implements sums and rates with exponential decay.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum. The zero value is an empty sum. All calls must pass
// the same timeConstant, the time in which an added amount decays to 1/e.
type Sum struct {
	value float64
	at    time.Time
}

// Add adds an amount at time now.
func (s *Sum) Add(now time.Time, amount float64, timeConstant time.Duration) {
	s.value = s.Value(now, timeConstant) + amount
}

// Value returns the sum at time now. If now is before an earlier call's time, the sum does not decay.
func (s *Sum) Value(now time.Time, timeConstant time.Duration) float64 {
	if passed := now.Sub(s.at); passed > 0 {
		s.value *= math.Exp(-passed.Seconds() / timeConstant.Seconds())
		s.at = now
	}
	return s.value
}

// PerSecond returns the recent rate at which amounts are added, per second.
func (s *Sum) PerSecond(now time.Time, timeConstant time.Duration) float64 {
	return s.Value(now, timeConstant) / timeConstant.Seconds()
}
