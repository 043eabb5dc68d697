package dispatch

import (
	"time"

	"acaciacleat.example/core/enginemodel"
)

// predicted chooses by what each choice costs in late requests: the request's own and
// those that its reading makes late. Costs are in worth, see weight.
func (f *Fleet) predicted(now time.Time, request *Request, spec *enginemodel.Spec, units []*unit) plan {
	for _, u := range units {
		u.drain(now)
	}
	whole := spec.Read(request.PromptTokens)
	best := f.single(request, spec, units, whole)
	best.urgency = urgency(request)
	return best
}

func (f *Fleet) single(_ *Request, spec *enginemodel.Spec, units []*unit, whole time.Duration) plan {
	var best *unit
	var least time.Duration
	for _, u := range units {
		streams, context := u.streams()
		value := u.backlog() + spec.Pause(streams, context)
		if best == nil || value < least {
			best, least = u, value
		}
	}
	return plan{first: best, left: whole}
}

// urgency ranks by the aim: who has less time goes first.
func urgency(request *Request) int {
	switch {
	case request.Aim <= 500*time.Millisecond:
		return 0
	case request.Aim <= 2*time.Second:
		return 3
	default:
		return 5
	}
}
