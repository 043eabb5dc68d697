package admission

import (
	"math"
	"time"
)

const (
	// initialLimit is the limit before any latency was observed.
	initialLimit = 20
	// minLimit and maxLimit bound the limit. At least one request must always be admitted,
	// because otherwise no latency could be observed any more.
	minLimit = 1
	maxLimit = 10_000
	// latencyTolerance is the ratio to the best latency up to which latency does not count
	// as queueing.
	latencyTolerance = 1.5
	// smoothing is the fraction of a computed change that one window applies.
	smoothing = 0.2
	// backoff is the factor by which an overload reduces the limit, a multiplicative
	// decrease as in TCP congestion control.
	backoff = 0.8
	// window is the least number of answers between two updates of the limit; if the limit
	// itself is higher, that many are needed.
	window = 20
	// probeEvery is the number of windows after which the best latency is measured again.
	probeEvery = 50
	// probeShare is the fraction of the limit that is admitted during that measurement.
	probeShare = 0.5
)

// Limiter is an adaptive concurrency limiter. It estimates how many requests a plain
// service can process at once before they queue: the limit follows the ratio of the best
// latency to the current one, and allows a queue of the square root of the limit.
//
// The best latency is measured again from time to time. Only half of the limit is then
// admitted for two windows: the first drains the queue and the second measures. If the best
// latency never changed, an upstream that became permanently slower would look congested
// and its limit would stay low. If it simply rose with time, a permanent queue would look
// normal and the limit would grow without bound.
type Limiter struct {
	limit        float64
	bestLatency  float64 // seconds; 0 if unknown
	latencySum   float64
	count        int
	inFlight     int
	peakInFlight int
	overloaded   bool
	windows      int
	probe        probe
}

// probe is the stage of a measurement of the best latency.
type probe uint8

const (
	// probeNone means that no measurement is in progress.
	probeNone probe = iota
	// probeDrain ignores the current window, because some of its requests may have been
	// admitted before the probe.
	probeDrain
	// probeMeasure measures the best latency in the current window.
	probeMeasure
)

// NewLimiter returns a Limiter with the initial limit.
func NewLimiter() *Limiter { return &Limiter{limit: initialLimit} }

// Limit returns the estimated number of requests that the upstream can process at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// effectiveLimit returns the number of requests that are currently admitted at once.
func (l *Limiter) effectiveLimit() int {
	if l.probe == probeNone {
		return l.Limit()
	}
	return max(minLimit, int(probeShare*l.limit))
}

// Acquire admits a request, or returns false if the limit is reached.
func (l *Limiter) Acquire() bool {
	if l.inFlight >= l.effectiveLimit() {
		return false
	}
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
	return true
}

// Release records the end of a request. overloaded means that it timed out or was refused
// for lack of capacity; its latency is then ignored.
func (l *Limiter) Release(latency time.Duration, overloaded bool) {
	l.inFlight--
	l.count++
	l.overloaded = l.overloaded || overloaded
	if !overloaded {
		l.latencySum += latency.Seconds()
	}
	if l.count >= max(window, l.Limit()) {
		l.update()
	}
}

func (l *Limiter) update() {
	mean := l.latencySum / float64(l.count)
	switch {
	case l.overloaded:
		l.limit = max(minLimit, l.limit*backoff)
		l.probe = probeNone
	case l.probe == probeDrain:
		// Requests of this window may have been admitted before the probe.
		l.probe = probeMeasure
	case l.probe == probeMeasure:
		l.bestLatency = mean
		l.probe = probeNone
	default:
		l.adjust(mean)
	}
	l.windows++
	if l.windows%probeEvery == 0 {
		l.probe = probeDrain
	}
	l.latencySum, l.count, l.peakInFlight, l.overloaded = 0, 0, l.inFlight, false
}

// adjust moves the limit towards the value that the latency allows. It leaves the limit
// unchanged if less than half of it was used, because the latency then shows nothing
// about the upstream's capacity.
func (l *Limiter) adjust(mean float64) {
	if l.bestLatency == 0 || mean < l.bestLatency {
		l.bestLatency = mean
	}
	if 2*l.peakInFlight < l.Limit() || mean <= 0 {
		return
	}
	gradient := min(1, max(0.5, latencyTolerance*l.bestLatency/mean))
	l.limit += smoothing * (l.limit*gradient + math.Sqrt(l.limit) - l.limit)
	l.limit = min(max(l.limit, minLimit), maxLimit)
}
