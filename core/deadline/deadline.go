// Package deadline computes the timeouts of a request: the bounds that a service's
// document sets, the timeout that a caller requests, and the part of it that each hop may
// use.
//
// Hops pass the time left and never a wall-clock time, because the clocks of two VMs
// differ.
package deadline

import (
	"strconv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
)

// Header is the request header with which a caller sets the timeout, in milliseconds.
const Header = "X-Request-Timeout-Ms"

// Bounds are the default and the largest timeout of requests of one length class.
type Bounds struct {
	// Default applies if the caller sets no timeout.
	Default time.Duration
	// Max is the largest timeout that a caller may set.
	Max time.Duration
}

// BoundsFor returns the bounds of a class in a service: those of the service's document or, if
// it has none, the defaults of package document. Plain services use call.Short.
func BoundsFor(service *document.Service, class call.Class) Bounds {
	bounds := service.DeadlineFor(class)
	return Bounds{
		Default: time.Duration(bounds.DefaultMs) * time.Millisecond,
		Max:     time.Duration(bounds.MaxMs) * time.Millisecond,
	}
}

// Parse returns the timeout of a request from the value of Header; "" means that the
// caller did not send the header. If the value is not a whole number of milliseconds
// from 1 to bounds.Max, the error is result.BadDeadline with result.NotRun.
func Parse(value string, bounds Bounds) (time.Duration, *result.Error) {
	if value == "" {
		return bounds.Default, nil
	}
	maxMs := bounds.Max.Milliseconds()
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxMs {
		return 0, result.New(result.BadDeadline, result.NotRun,
			"%s %q: want a whole number from 1 to %d", Header, value, maxMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// The parts of a request's time left that are reserved or used by one hop.
const (
	// returnDivisor sets the part of the time left, 1/50, that a hop reserves for the
	// return of the answer.
	returnDivisor = 50
	// maxReturnTime bounds that part. A message between two availability zones takes a
	// little over 1 ms, and recovery from one lost packet about 200 ms.
	maxReturnTime = 250 * time.Millisecond
	// offerDivisor sets the part of the time left, 1/8, after which an unanswered offer is
	// repeated over a new link, so that there is time for several tries.
	offerDivisor = 8
	// minOfferWait is the shortest wait for an answer to an offer. It is many times a
	// round trip between availability zones, so that a garbage collection pause is not
	// mistaken for a broken link.
	minOfferWait = 100 * time.Millisecond
	// maxOfferWait is the longest wait for an answer to an offer.
	maxOfferWait = 2 * time.Second
)

// Forward returns the time left that a hop passes to the next one: its own time left
// minus a reserve for the return of the answer. The next hop then times out first, and its
// answer, which tells whether the call ran, still arrives in time.
func Forward(left time.Duration) time.Duration {
	return max(0, left-min(left/returnDivisor, maxReturnTime))
}

// OfferWait returns how long to wait for an answer to an offer, given the time left,
// before the link is considered silent.
func OfferWait(left time.Duration) time.Duration {
	return min(max(left/offerDivisor, minOfferWait), maxOfferWait)
}
