package flight

import (
	"context"
	"strconv"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/peers/link"
)

// Quarantine reports which requests are held back because they make upstreams crash, and records
// crashes and answers. quarantine.Keeper implements it.
type Quarantine interface {
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
func (f *Flight) quarantineRequest() quarantine.Request {
	return quarantine.Request{ID: f.spec.ID.String(), Print: f.spec.Fingerprint, Segments: func() []fingerprint.Print {
		var prints []fingerprint.Print
		for _, id := range f.segments() {
			prints = append(prints, fingerprint.OfSegment(f.spec.Route.Service, id))
		}
		return prints
	}}
}

// segments returns the IDs of the prompt's segments: the digests of its beginnings.
func (f *Flight) segments() []string {
	digests := f.spec.Route.Prefix
	var ids []string
	for _, digest := range digests[:min(len(digests), corequarantine.MaxSegments)] {
		ids = append(ids, strconv.FormatUint(digest, 16))
	}
	return ids
}

// SetQuarantine sets the quarantine that holds requests back. Without one, no request is held
// back. It must be called before links open.
func (r *Registry) SetQuarantine(q Quarantine) { r.quarantine = q }

// verdictWait is the time from a crash until the verdict on the requests that were in flight
// is known.
const verdictWait = corequarantine.VerdictDelay + 50*time.Millisecond

// heldBack returns the refusal of a request that is held back, or nil. If an upstream has crashed
// while it served this request, and one more crash would cause the request to be held back,
// heldBack first waits for the verdict.
func (f *Flight) heldBack(ctx context.Context) *result.Error {
	q := f.registry.quarantine
	if q == nil {
		return nil
	}
	if f.crashes > 0 && q.OneCrashFromHold(f.quarantineRequest()) && !pause(ctx, verdictWait) {
		return nil // The caller has disconnected or the deadline has passed; the machine detects both.
	}
	left, held := q.Held(f.quarantineRequest())
	if !held {
		return nil
	}
	return quarantine.Refusal(left)
}

// reportFailure reports the end of a request to the quarantine if it has failed.
func (f *Flight) reportFailure(err *result.Error) {
	if f.registry.quarantine != nil && err != nil {
		f.registry.quarantine.RecordFailure(f.quarantineRequest(), err.Execution)
	}
}

// reportToQuarantine reports the end of an attempt if it is a successful answer or a crash.
func (f *Flight) reportToQuarantine(end *link.End) {
	q := f.registry.quarantine
	switch {
	case q == nil:
	case end.Code == result.OK:
		q.RecordAnswer(f.quarantineRequest())
	case end.Code == result.UpstreamCrashed:
		// The detail distinguishes the incarnations of an agent's upstream.
		q.RecordCrash(dispatch.Upstream{ID: f.target.Agent + ": " + end.Detail}, []quarantine.Suspect{{
			Print: f.spec.Fingerprint(), Request: f.spec.ID.String(), Route: f.spec.Route.Service,
			Organisation: f.spec.Route.Organisation, AfterCrash: f.crashes > 0,
			Service: f.spec.Route.Service, Segments: f.segments(),
			Begun: !f.firstFrameAt.IsZero() && time.Since(f.firstFrameAt) > corequarantine.AnswerYoung,
		}})
		f.crashes++
		f.firstFrameAt = time.Time{} // The next attempt answers anew.
	}
}
