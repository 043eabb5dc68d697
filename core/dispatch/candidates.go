package dispatch

import (
	"slices"
	"time"
)

// superseded reports whether a later registration by another upstream has the same address. It
// ignores a later registration whose upstream was proved down: a faulty writer may have made it.
//
// When an upstream restarts under another ID, its old registration remains until it lapses. A
// prompt split over both registrations would name one address twice, and engines refuse such a
// prompt as malformed.
func (u *upstreamState) superseded() bool {
	return u.supersededBy != nil && !u.supersededBy.health.ProvedDown()
}

// candidates appends to result the upstreams that may take a request now: those that accept it (see
// accepts), whose rate limits allow it, and that are neither excluded by evidence nor superseded. If
// there are none, evidence and superseding are ignored, so that they never leave a service without
// upstreams. An upstream behind a cut is a candidate only if no sound one would take the request later. A call
// beside another one has no candidates but sound ones.
func (f *Fleet) candidates(now time.Time, request *Request, result []*upstreamState) []*upstreamState {
	if u := f.permitted(now, request); u != nil {
		return append(result, u)
	}
	all := f.services[request.Service]
	soundOneLimited := false
	for _, u := range all {
		switch {
		case !u.accepts(now, request) || !u.sound(now):
		case u.withinLimit(now) && (!request.Beside || u.rate == 0 || u.ownPermitWait(now) == 0):
			result = append(result, u)
		default:
			soundOneLimited = true
		}
	}
	if len(result) > 0 || request.Beside {
		return result
	}
	for _, u := range all {
		if u.accepts(now, request) && u.withinLimit(now) && !(u.cutOff && soundOneLimited) {
			result = append(result, u)
		}
	}
	return result
}

// sound reports whether neither evidence, a cut of its zone nor a later registration speaks against an
// upstream.
func (u *upstreamState) sound(now time.Time) bool {
	return !u.health.Excluded(now) && !u.cutOff && !u.superseded()
}

// accepts reports whether an upstream may take a request regardless of evidence: see admits, and it has
// not asked for a pause.
func (u *upstreamState) accepts(now time.Time, request *Request) bool {
	return u.admits(now, request) && !u.cooldown.Active(now)
}

// admits reports whether an upstream may take a request once it wants any: it is registered, its zone is
// not evacuated and the request does not exclude it.
func (u *upstreamState) admits(now time.Time, request *Request) bool {
	return !u.evacuated && u.listed(now) && !slices.Contains(request.Exclude, u.incarnation) && (!request.FreeSlot || u.hasFreeSlot())
}

// hasFreeSlot reports whether, as far as this entry knows, not all slots of the upstream are taken.
func (u *upstreamState) hasFreeSlot() bool { return u.streams < max(u.Slots, 1) }

// listed reports whether an upstream is not draining and its registration has not lapsed.
func (u *upstreamState) listed(now time.Time) bool {
	return !u.draining() && !u.lapsed(now)
}

// lapsed reports whether the upstream's removal, which was held back, has taken effect. While reads of the
// registry fail it doesn't: a live upstream may not be able to register either.
func (u *upstreamState) lapsed(now time.Time) bool {
	return !u.lapsesAt.IsZero() && u.registry.failures == 0 && !now.Before(u.lapsesAt)
}

// leastOutstanding returns the upstream with the fewest requests per slot, this one counted by the
// upstream's pace, after adding
// zonePenalty for upstreams in other zones and a penalty for recent failures.
//
// Each entry starts its search at a different upstream. If all started at the same one, they
// would all choose it among equal upstreams before they learn of each other, and it would refuse
// for lack of slots while others are idle.
func (f *Fleet) leastOutstanding(now time.Time, candidates []*upstreamState) *upstreamState {
	var best *upstreamState
	var least float64
	start := int(f.settings.Origin % uint64(len(candidates)))
	for i := range candidates {
		u := candidates[(start+i)%len(candidates)]
		u.refreshPace(now)
		value := (float64(len(u.loads)) + u.paceFactor()) / float64(max(u.Slots, 1))
		if u.Zone != f.settings.Zone {
			value += zonePenalty
		}
		value += u.health.Penalty(now)
		if best == nil || value < least {
			best, least = u, value
		}
	}
	return best
}

// zonePenalty is added to the load of upstreams in other zones, as a share of slots.
const zonePenalty = 0.05
