package gateway

import (
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/quarantine"
)

// Quarantine reports which requests are held back because upstreams crashed while they served
// them, and records crashes and answers. quarantine.Keeper implements it.
type Quarantine interface {
	// Ready reports whether the held-back requests are known.
	Ready() bool
	// Held returns for how much longer a request is held back.
	Held(r quarantine.Request) (left time.Duration, held bool)
	// OneCrashFromHold reports whether one more crash would cause the request to be held back.
	OneCrashFromHold(r quarantine.Request) bool
	// RecordCrash records the requests that an upstream was serving when it crashed.
	RecordCrash(upstream dispatch.Upstream, affected []quarantine.Suspect)
	// RecordAnswer records that an upstream has answered a request in full.
	RecordAnswer(r quarantine.Request)
	// RecordFailure records that a request has failed.
	RecordFailure(r quarantine.Request, execution result.Execution)
}

// quarantineRequest returns the request as the quarantine identifies it.
func (e *exchange) quarantineRequest() quarantine.Request {
	return quarantine.Request{ID: e.meta.ID, Print: e.fingerprint, Segments: e.segmentPrints}
}

// segmentPrints returns the fingerprints of the segments that the prompt may share with others.
func (e *exchange) segmentPrints() []fingerprint.Print {
	prints := make([]fingerprint.Print, len(e.meta.Segments))
	for i, id := range e.meta.Segments {
		prints[i] = fingerprint.OfSegment(e.service.Name, id)
	}
	return prints
}

// fingerprint returns the fingerprint of the request's content. It may be called from any goroutine.
func (e *exchange) fingerprint() fingerprint.Print {
	e.printOnce.Do(func() {
		e.contentPrint = fingerprint.Of(fingerprint.Request{
			Host: e.r.Host, Method: e.r.Method, Path: e.target, Caller: e.organisation(), Body: e.body,
		})
		e.hasPrint.Store(true)
	})
	return e.contentPrint
}

// organisation returns the name of the caller's organisation, or "" if the route requires no
// key.
func (e *exchange) organisation() string {
	if e.caller == nil {
		return ""
	}
	return e.caller.Name
}

// reportBrokenAnswer reports that the upstream may have crashed while it served the request, unless
// this entry itself cancelled the call because the upstream stalled.
func (e *exchange) reportBrokenAnswer() {
	if e.stall.isReplaced() {
		return
	}
	last := &e.attempts[len(e.attempts)-1]
	firstEvent := e.arrived.Add(last.firstEvent)
	broken := e.suspect(e.sentAt, e.possibleCrashes > 0)
	broken.answerBegun = last.firstEvent > 0
	broken.Begun = broken.answerBegun && e.now().Sub(firstEvent) > corequarantine.AnswerYoung
	e.g.config.Crashes.answerBroken(e.choice.Upstream, broken)
	e.possibleCrashes++
	if e.stall.client.ctx.Err() != nil {
		e.g.config.Crashes.upstreamEnded(e.choice.Upstream, restarted)
	}
}

// suspect returns the request as one whose answer broke off before its first event. afterCrash says that an upstream may have
// crashed under it before. It may be called from any goroutine.
func (e *exchange) suspect(sentAt time.Time, afterCrash bool) suspect {
	return suspect{sentAt: sentAt, Suspect: quarantine.Suspect{
		Print: e.fingerprint(), Request: e.meta.ID, Route: e.route.Name, Organisation: e.organisation(),
		Service: e.service.Name, Segments: e.meta.Segments, AfterCrash: afterCrash,
	}}
}

// verdictDelay is the time from a broken answer to a verdict on the requests that were in
// flight.
const verdictDelay = confirmDelay + corequarantine.VerdictDelay + 50*time.Millisecond

// awaitCrashVerdict delays a retry after a broken answer until it is known whether the upstream
// crashed, if one more crash would cause the request to be held back.
func (e *exchange) awaitCrashVerdict() {
	if e.possibleCrashes == 0 || !e.g.config.Quarantine.OneCrashFromHold(e.quarantineRequest()) {
		return
	}
	e.pause(min(verdictDelay, e.deadline.Sub(e.now())))
}

// heldBack fails the request if it is held back, and reports whether it is held back.
func (e *exchange) heldBack(now time.Time) (attempt.Action, bool) {
	left, held := e.g.config.Quarantine.Held(e.quarantineRequest())
	if !held {
		return attempt.Action{}, false
	}
	return e.machine.NoReplica(now, quarantine.Refusal(left)), true
}
