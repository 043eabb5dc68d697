package pace

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of latest observations that are kept, and minObservations the number
	// from which they count.
	windowSize      = 5
	minObservations = 4
	// maxOthers is the number of other entries whose reports on one upstream are kept.
	maxOthers = 4
)

// Estimate is the estimated pace of one incarnation. The zero value knows nothing.
type Estimate struct {
	// window holds the latest observations, the next one replacing that at next.
	window [windowSize]observation
	next   int
	count  int
	// own is the estimate from this entry's observations at observedAt; zero means none.
	own        float64
	observedAt time.Time
	// others are the latest reports of other entries; origin zero means none.
	others [maxOthers]claim
	// hasClaims is set once another entry has reported on the upstream.
	hasClaims bool
	// reported is the pace that was reported to other entries at reportedAt; zero if none.
	reported   float64
	reportedAt time.Time
	// slow is set while the upstream is reported as slow in the log.
	slow bool
}

type observation struct {
	Bounds
	at time.Time
}

// claim is another entry's estimate.
type claim struct {
	origin uint64
	pace   float64
	at     time.Time
}

// observe records an observation that counts as often as times says.
func (e *Estimate) observe(now time.Time, b Bounds, times int) {
	for range times {
		e.window[e.next] = observation{Bounds: b, at: now}
		e.next = (e.next + 1) % windowSize
		e.count++
	}
	bounds, enough := e.bounds(now)
	if !enough {
		return
	}
	aged, _ := e.ownPace(now)
	if own := clamp(aged, bounds.Least, bounds.Most); bounds.confirm(own) {
		e.own, e.observedAt = own, now
	}
}

// confirm reports whether the pace is not much closer to 1 than the given one. Bounds that leave this
// open, as of an engine that prefills all the time, don't keep an estimate from being forgotten.
func (b Bounds) confirm(pace float64) bool {
	if rounded(pace) == 1 {
		return b.Most <= maxUnconfirmed && b.Least >= 1/maxUnconfirmed
	}
	return deviation(pace/clamp(1, b.Least, b.Most)) <= negligible
}

// bounds returns the bounds by the observations that aren't forgotten, without the most extreme one.
// A delayed event is followed by a short pause, so a pace below 1 must show in all others, and not in
// two only. The result enough is false if the observations are too few to count.
func (e *Estimate) bounds(now time.Time) (b Bounds, enough bool) {
	var least, most [windowSize]float64
	n := 0
	for _, o := range e.window {
		if !o.at.IsZero() && now.Sub(o.at) < forgottenAfter {
			least[n], most[n] = o.Least, o.Most
			n++
		}
	}
	if n < minObservations {
		return Bounds{}, false
	}
	slices.Sort(least[:n])
	slices.Sort(most[:n])
	return Bounds{Least: least[1], Most: max(most[1], min(most[n-2], 1))}, true
}

// Ceiling returns the most that the pace can be by this entry's recent observations.
func (e *Estimate) Ceiling(now time.Time) float64 {
	if b, enough := e.bounds(now); enough {
		return b.Most
	}
	return Slowest
}

// ownPace returns the pace by this entry's observations, and the weight of these.
func (e *Estimate) ownPace(now time.Time) (pace, weight float64) {
	if e.own == 0 {
		return 1, 0
	}
	weight = weightAt(now.Sub(e.observedAt))
	return towards1(e.own, weight), weight
}

// Factor returns the pace as it is to be used.
func (e *Estimate) Factor(now time.Time) float64 {
	if e.own == 0 && !e.hasClaims {
		return 1
	}
	own, weight := e.ownPace(now)
	if weight < 1 {
		own *= towards1(e.othersPace(now), 1-weight)
	}
	return rounded(clamp(own, Fastest, Slowest))
}

// othersPace returns the pace by other entries' reports: that on which two agree, or a single one
// within its bound.
func (e *Estimate) othersPace(now time.Time) float64 {
	var paces [maxOthers]float64
	n := 0
	for _, c := range e.others {
		if weight := weightAt(now.Sub(c.at)); c.origin != 0 && weight > 0 {
			paces[n] = towards1(c.pace, weight)
			n++
		}
	}
	switch n {
	case 0:
		return 1
	case 1:
		return clamp(paces[0], 1/maxUnconfirmed, maxUnconfirmed)
	case 2:
		return agreed(paces[0], paces[1])
	}
	slices.Sort(paces[:n])
	return agreed(paces[(n-1)/2], paces[n/2])
}

// agreed returns how far from 1 two paces agree.
func agreed(a, b float64) float64 {
	if (a > 1) != (b > 1) {
		return 1
	}
	if deviation(a) < deviation(b) {
		return a
	}
	return b
}

// addClaim records another entry's estimate, in place of its previous one or else of the oldest.
func (e *Estimate) addClaim(c claim) {
	place := slices.IndexFunc(e.others[:], func(other claim) bool { return other.origin == c.origin })
	if place < 0 {
		oldest := slices.MinFunc(e.others[:], func(a, b claim) int { return a.at.Compare(b.at) })
		place = slices.IndexFunc(e.others[:], func(other claim) bool { return other == oldest })
	}
	if !c.at.Before(e.others[place].at) {
		e.others[place], e.hasClaims = c, true
	}
}
