package dispatch

import (
	"math"
	"time"

	"acaciacleat.example/core/decay"
)

// predictionError is the recent error of predicted first events: the mean, and the mean absolute
// deviation from it, in seconds.
type predictionError struct {
	count, sum, deviation decay.Sum
}

const (
	// errorBuckets is the number of ranges of the share of taken slots for which errors are kept.
	errorBuckets = 4
	// errorWindow is the averaging time of errors.
	errorWindow = time.Second
	// minErrors is the weight of observations below which a prediction isn't corrected.
	minErrors = 3
	// maxCorrection bounds a correction: a wrong observation must not close the engines to all.
	maxCorrection = 100 * time.Millisecond
)

// errorBucket returns the range for an engine with the given number of streams.
func errorBucket(streams, slots int) int {
	return min(max(streams*errorBuckets/max(slots, 1), 0), errorBuckets-1)
}

// add records that a first event came later than predicted by the given time.
func (e *predictionError) add(now time.Time, late time.Duration) {
	mean := e.mean(now)
	e.count.Add(now, 1, errorWindow)
	e.sum.Add(now, late.Seconds(), errorWindow)
	e.deviation.Add(now, math.Abs(late.Seconds()-mean), errorWindow)
}

// mean returns the mean error in seconds.
func (e *predictionError) mean(now time.Time) float64 {
	count := e.count.Value(now, errorWindow)
	if count <= 0 {
		return 0
	}
	return e.sum.Value(now, errorWindow) / count
}

// correction returns the time to add to predictions, so that most first events come no later.
func (e *predictionError) correction(now time.Time) time.Duration {
	count := e.count.Value(now, errorWindow)
	if count < minErrors {
		return 0
	}
	late := e.mean(now) + e.deviation.Value(now, errorWindow)/count
	return min(max(time.Duration(late*float64(time.Second)), 0), maxCorrection)
}
