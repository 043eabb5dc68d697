// Package shutdown decides which requests an entry that is stopping may still serve, and which it
// refuses so that another entry can serve them.
package shutdown

import "time"

// Window is the time in which a stopping entry completes requests.
type Window struct {
	Began time.Time
	// ArrivalsEnd is when no more new connections are accepted. What is read later came over a connection that was
	// open, which its caller could close as well.
	ArrivalsEnd time.Time
	// Ends is zero if the entry waits for as long as requests last.
	Ends time.Time
}

// Pending is a request of which nothing has been sent to an upstream.
type Pending struct {
	Arrived  time.Time
	Deadline time.Time
	// Read is when the whole request had been read.
	Read time.Time
	// FirstEvent is the predicted time until its answer begins, waiting included, and Answer the time
	// from there to the answer's end. Zero is the least possible.
	FirstEvent time.Duration
	Answer     time.Duration
	// Waits is set if it can't be sent yet.
	Waits bool
}

// Refuses reports whether the entry refuses a request, because its answer would not end within the
// window. A request that was read after the end of arrivals is refused on any doubt, that is unless its deadline is
// within the window: its caller can go elsewhere at once. A request that waits is refused as well once it has waited in the window for as long as it
// could still wait: the prediction of its wait was then too short, and the rest of the caller's time is
// better spent at another entry. A nil Window refuses nothing.
func (w *Window) Refuses(now time.Time, p Pending) bool {
	if w == nil || w.Ends.IsZero() || !p.Deadline.After(w.Ends) {
		return false
	}
	if !w.ArrivalsEnd.IsZero() && p.Read.After(w.ArrivalsEnd) {
		return true
	}
	latestStart := w.Ends.Add(-p.Answer)
	if now.Add(p.FirstEvent).After(latestStart) {
		return true
	}
	since := p.Arrived
	if w.Began.After(since) {
		since = w.Began
	}
	return p.Waits && now.Sub(since) >= latestStart.Sub(now)
}
