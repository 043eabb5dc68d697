package admission

import (
	"math"
	"time"
)

const (
	// initialLimit is where a Limiter starts, before it knows its upstream.
	initialLimit = 20
	// minLimit and maxLimit bound the limit. One request at a time must always pass, or
	// nothing would ever be observed again.
	minLimit = 1
	maxLimit = 10_000
	// tolerance is the latency above the best that is not yet taken for queueing.
	tolerance = 1.5
	// smoothing is the part of a computed change that one window makes.
	smoothing = 0.2
	// backoff is what failures of overload do to the limit, as in TCP Reno's successors.
	backoff = 0.8
	// window is the number of answers after which the limit is computed anew.
	window = 20
	// probeEvery is the number of windows after which the best latency is measured anew.
	probeEvery = 50
	// probeShare is the share of the limit that is let in meanwhile.
	probeShare = 0.5
)

// Limiter estimates how many requests a plain service takes at once before they queue:
// the limit follows the ratio of the best latency to the present one, with room for a
// queue of the square root of the limit.
//
// What goes wrong: an upstream becomes slower for good, the old best latency makes it
// look queued, and the limit stays low for ever. If instead the best simply rose with
// time, a lasting queue would pass for normal and the limit would grow without end. So
// now and then half the limit is let in for a window, and what that takes is the new best.
type Limiter struct {
	limit    float64
	best     float64 // seconds; 0 when unknown
	sum      float64
	count    int
	inFlight int
	peak     int
	overload bool
	windows  int
	probe    probe
}

// probe is the stage of a new measurement of the best latency.
type probe uint8

const (
	probeNone probe = iota
	probeDrain
	probeMeasure
)

// NewLimiter returns a Limiter with an initial guess.
func NewLimiter() *Limiter { return &Limiter{limit: initialLimit} }

// Limit is the estimated number of requests that the upstream takes at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// admitted is the number of requests let in now.
func (l *Limiter) admitted() int {
	if l.probe == probeNone {
		return l.Limit()
	}
	return max(minLimit, int(probeShare*l.limit))
}

// Acquire counts a request in; false when the limit is reached.
func (l *Limiter) Acquire() bool {
	if l.inFlight >= l.admitted() {
		return false
	}
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	return true
}

// Release counts a request out. Overloaded tells that it timed out or was refused for
// lack of capacity; its latency then counts for nothing.
func (l *Limiter) Release(latency time.Duration, overloaded bool) {
	l.inFlight--
	l.count++
	l.overload = l.overload || overloaded
	if !overloaded {
		l.sum += latency.Seconds()
	}
	if l.count >= max(window, l.Limit()) {
		l.update()
	}
}

func (l *Limiter) update() {
	mean := l.sum / float64(l.count)
	switch {
	case l.overload:
		l.limit = max(minLimit, l.limit*backoff)
		l.probe = probeNone
	case l.probe == probeDrain:
		// Requests of this window may have been let in before the probe.
		l.probe = probeMeasure
	case l.probe == probeMeasure:
		l.best = mean
		l.probe = probeNone
	default:
		l.follow(mean)
	}
	l.windows++
	if l.windows%probeEvery == 0 {
		l.probe = probeDrain
	}
	l.sum, l.count, l.peak, l.overload = 0, 0, l.inFlight, false
}

// follow moves the limit towards what the latency allows. An idle upstream says nothing
// about what it could take.
func (l *Limiter) follow(mean float64) {
	if l.best == 0 || mean < l.best {
		l.best = mean
	}
	if 2*l.peak < l.Limit() || mean <= 0 {
		return
	}
	gradient := min(1, max(0.5, tolerance*l.best/mean))
	l.limit += smoothing * (l.limit*gradient + math.Sqrt(l.limit) - l.limit)
	l.limit = min(max(l.limit, minLimit), maxLimit)
}
