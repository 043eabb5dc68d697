// Package pace estimates how fast each upstream works relative to the figures that its service
// publishes: 1 is as published, 3 takes three times as long. It does no I/O.
//
// Each answer bounds the pace: a stream's events come no faster than the engine's passes allow, and
// no slower than with everything that is known to run beside it. An estimate only moves as far as
// several such bounds require, so that load which isn't known here hardly looks like slowness, and
// engines at the published pace keep an estimate of exactly 1.
//
// Entries exchange their estimates. An entry's own observations count first, those of a single other
// entry within a small bound, and further only as far as two of them agree.
package pace

import (
	"math"
	"time"
)

const (
	// Fastest and Slowest bound all paces. A slower upstream gets hardly any work anyway.
	Fastest = 0.25
	Slowest = 8
	// negligible is the deviation, as a factor, up to which a pace counts as 1: the predictions of
	// passes are off by less.
	negligible = 1.25
	// maxUnconfirmed is how far, as a factor, a single other entry moves a pace.
	maxUnconfirmed = 1.5
	// freshFor is how long an observation counts in full; after forgottenAfter it counts no more.
	// Slowness that ends must not keep an upstream unused for longer than a few requests take.
	freshFor       = time.Second
	forgottenAfter = 4 * time.Second
)

// Bounds are the least and the most that a pace can be by one observation.
type Bounds struct {
	Least float64
	Most  float64
}

// Between returns the bounds from work that took some time. At the published pace it takes shortest
// if the upstream does nothing else meanwhile, and longest if it does everything that is known first.
func Between(took, shortest, longest time.Duration) Bounds {
	b := Bounds{Least: Fastest, Most: Slowest}
	if longest > 0 {
		b.Least = clamp(took.Seconds()/longest.Seconds(), Fastest, Slowest)
	}
	if shortest > 0 {
		b.Most = clamp(took.Seconds()/shortest.Seconds(), Fastest, Slowest)
	}
	return b
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }

// deviation returns by which factor a pace differs from 1 in either direction.
func deviation(pace float64) float64 { return max(pace, 1/pace) }

// rounded returns 1 for a pace whose deviation is negligible.
func rounded(pace float64) float64 {
	if deviation(pace) <= negligible {
		return 1
	}
	return pace
}

// weightAt returns the weight of something observed a time ago.
func weightAt(age time.Duration) float64 {
	return clamp(float64(forgottenAfter-age)/float64(forgottenAfter-freshFor), 0, 1)
}

// towards1 returns the pace between 1 and the given one that has the given weight.
func towards1(pace, weight float64) float64 { return math.Pow(pace, weight) }
