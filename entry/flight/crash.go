package flight

import (
	"context"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/peers/link"
)

// Quarantine tells which requests are held back because upstreams crash under them, and is told
// of crashes and of answers; quarantine.Keeper implements it.
type Quarantine interface {
	Held(print func() fingerprint.Print) (left time.Duration, held bool)
	// Doubtful reports whether one more crash would have the request held back.
	Doubtful(print fingerprint.Print) bool
	Ended(upstream dispatch.Upstream, under []quarantine.Suspect)
	Answered(print func() fingerprint.Print)
}

// SetQuarantine sets what holds requests back; without it none is. It must be called before links
// open.
func (r *Registry) SetQuarantine(q Quarantine) { r.quarantine = q }

// verdictAfter is the time from a crash to a verdict on the requests that were in hand.
const verdictAfter = corequarantine.VerdictDelay + 50*time.Millisecond

// heldBack returns the refusal of a request that is held back. One under which an upstream has just
// crashed waits for the verdict, if one more crash is enough for it.
func (f *Flight) heldBack(ctx context.Context) *result.Error {
	q := f.registry.quarantine
	if q == nil {
		return nil
	}
	if f.crashes > 0 && q.Doubtful(f.spec.Print()) && !pause(ctx, verdictAfter) {
		return nil // The caller or the time is gone, which the machine finds out.
	}
	left, held := q.Held(f.spec.Print)
	if !held {
		return nil
	}
	return quarantine.Refusal(left)
}

// judgeEnd tells what the end of an attempt says of the request.
func (f *Flight) judgeEnd(end *link.End) {
	q := f.registry.quarantine
	switch {
	case q == nil:
	case end.Code == result.OK:
		q.Answered(f.spec.Print)
	case end.Code == result.UpstreamCrashed:
		// The detail tells the lives of the upstream beside an agent apart.
		q.Ended(dispatch.Upstream{ID: f.target.Agent + ": " + end.Detail}, []quarantine.Suspect{{
			Print: f.spec.Print(), Request: f.spec.ID.String(), Route: f.spec.Route.Service,
			Organisation: f.spec.Route.Organisation, AfterCrash: f.crashes > 0,
		}})
		f.crashes++
	}
}
