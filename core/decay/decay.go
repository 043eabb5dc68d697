// Package decay keeps sums of what comes over time, in which it counts the less the longer ago it
// came.
package decay

import (
	"math"
	"time"
)

// Sum is a sum that decays. The zero value is an empty one. Its methods are called with the same
// time constant, over: in that time what was added fades to a third (1/e).
type Sum struct {
	value float64
	at    time.Time
}

// Add adds an amount that came now.
func (s *Sum) Add(now time.Time, amount float64, over time.Duration) {
	s.value = s.Value(now, over) + amount
}

// Value returns the sum as of now. A time before the last one changes nothing.
func (s *Sum) Value(now time.Time, over time.Duration) float64 {
	if passed := now.Sub(s.at); passed > 0 {
		s.value *= math.Exp(-passed.Seconds() / over.Seconds())
		s.at = now
	}
	return s.value
}

// PerSecond returns how much comes in a second, of late.
func (s *Sum) PerSecond(now time.Time, over time.Duration) float64 {
	return s.Value(now, over) / over.Seconds()
}
