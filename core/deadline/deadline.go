// Package deadline keeps the books on a request's time: the bounds that a service's
// document sets, the time that a caller asks for, and what each hop may use of it.
//
// Hops pass the time left and never a wall-clock time, because clocks of two VMs differ.
package deadline

import (
	"strconv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
)

// Header is the request header by which a caller asks for a time, in milliseconds.
const Header = "X-Request-Timeout-Ms"

// Bounds are the times that requests of one length class may take.
type Bounds struct {
	// Default applies when the caller asks for no time.
	Default time.Duration
	// Max is the most that a caller may ask for.
	Max time.Duration
}

// For returns the bounds of a class in a service: its own, or the defaults of package
// document, which is their only place. Plain services use call.Short.
func For(service *document.Service, class call.Class) Bounds {
	bounds := service.DeadlineFor(class)
	return Bounds{
		Default: time.Duration(bounds.DefaultMs) * time.Millisecond,
		Max:     time.Duration(bounds.MaxMs) * time.Millisecond,
	}
}

// Parse returns the time that a request may take, given the value of Header; "" means
// that the caller sent none. A value that is not a whole number of milliseconds from 1
// to bounds.Max is a result.BadDeadline error; the call has not run.
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

// The shares of a request's time left that one hop may use.
const (
	// returnShare is the part of the time left that is kept for the answer's way back.
	returnShare = 50
	// maxReturn bounds that part: a message between two availability zones takes a
	// little over a millisecond, and one lost packet some 200 ms.
	maxReturn = 250 * time.Millisecond
	// offerShare is the part of the time left after which an unanswered offer is
	// repeated over a new link, so that several tries fit.
	offerShare = 8
	// minOffer is the shortest wait for an answer to an offer: many times a round
	// trip between availability zones, so that a garbage collection is not taken for a
	// broken link.
	minOffer = 100 * time.Millisecond
	// maxOffer is the longest such wait.
	maxOffer = 2 * time.Second
)

// Forward returns the time left that a hop passes on: less than it has itself by what
// the answer's way back takes. The next hop then gives up first, and its answer, which
// knows whether the call ran, still arrives in time.
func Forward(left time.Duration) time.Duration {
	return max(0, left-min(left/returnShare, maxReturn))
}

// OfferWait returns how long to wait for an answer to an offer before the link counts
// as silent, given the time left.
func OfferWait(left time.Duration) time.Duration {
	return min(max(left/offerShare, minOffer), maxOffer)
}
