package gateway

import (
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/entry/quarantine"
)

// Quarantine tells which requests are held back because upstreams crash under them, and is told
// of crashes and of answers; quarantine.Keeper implements it.
type Quarantine interface {
	// Ready reports whether it is known what is held back.
	Ready() bool
	// Held returns for how much longer a request is held back.
	Held(print func() fingerprint.Print) (left time.Duration, held bool)
	// Doubtful reports whether one more crash would have the request held back.
	Doubtful(print fingerprint.Print) bool
	Ended(upstream dispatch.Upstream, under []quarantine.Suspect)
	Answered(print func() fingerprint.Print)
}

// fingerprint returns that of the request's content.
func (e *exchange) fingerprint() fingerprint.Print {
	if !e.printed {
		e.print, e.printed = fingerprint.Of(fingerprint.Request{
			Host: e.r.Host, Method: e.r.Method, Path: e.r.RequestURI, Caller: e.organisation(), Body: e.body,
		}), true
	}
	return e.print
}

// organisation returns the name of the caller's organisation; empty where the route needs no key.
func (e *exchange) organisation() string {
	if e.caller == nil {
		return ""
	}
	return e.caller.Name
}

// suspected notes that the upstream may have crashed under the request.
func (e *exchange) suspected() {
	if e.watch.fired.Load() {
		return // The call was given up here.
	}
	last := &e.tries[len(e.tries)-1]
	e.g.config.Crashes.broke(e.choice.Upstream, suspect{
		Suspect: quarantine.Suspect{
			Print: e.fingerprint(), Request: e.meta.ID, Route: e.route.Name, Organisation: e.organisation(),
			Again: e.brokenOff > 0,
		},
		begun: last.first > 0,
	})
	e.brokenOff++
	if e.watch.client.life.Err() != nil {
		e.g.config.Crashes.ended(e.choice.Upstream, restarted)
	}
}

// verdictAfter is the time from a broken answer to a verdict on the requests that were in hand.
const verdictAfter = confirmAfter + corequarantine.VerdictDelay + 50*time.Millisecond

// awaitVerdict waits, before a request is sent again whose answer has just broken off, until it is
// known whether an upstream has crashed under it: if one more crash would have it held back, that
// one may just have happened.
func (e *exchange) awaitVerdict() {
	if e.brokenOff == 0 || !e.g.config.Quarantine.Doubtful(e.fingerprint()) {
		return
	}
	timer := time.NewTimer(min(verdictAfter, e.deadline.Sub(e.now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.r.Context().Done():
	}
}

// heldBack ends a request that is held back.
func (e *exchange) heldBack(now time.Time) (attempt.Action, bool) {
	left, held := e.g.config.Quarantine.Held(e.fingerprint)
	if !held {
		return attempt.Action{}, false
	}
	return e.machine.NoReplica(now, quarantine.Refusal(left)), true
}
