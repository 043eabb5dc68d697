package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/enginemodel"
)

// The predicted rule weighs each choice by what it costs in late requests: the request's
// own, and those that its reading makes late on the engines that it uses. Costs are in
// the worth of a request, see weight.
//
// Two things pull apart. A long prompt on one engine misses its aim; on many engines it
// stretches the pauses of every stream that they write. So short streams are packed onto
// as few engines as keep their aims, from the front of a fixed order that all entries
// share, and long prompts are read by many engines from its back.
const (
	// lateLoss is the part of a request's worth that is lost when it is late.
	lateLoss = 0.75
	// easyShare is the share of an aim up to which a predicted time is surely in time; from
	// there to the whole aim the chance of being late rises to one. Predictions don't know
	// of requests that other entries place in the same moment.
	easyShare = 0.6
	// orderCost is what one place in the order costs, in worth: enough to decide between
	// engines that are alike, too little to make a request late.
	orderCost = 0.004
	// partCost is what each further engine costs a long prompt: its passes end unevenly.
	partCost = 0.004
	// networkDelay is the time of a request's way to an upstream and of its first event's
	// way back.
	networkDelay = 4 * time.Millisecond
	// fullWait is added for an engine whose slots are taken: about the time in which one of
	// its short streams ends.
	fullWait = 400 * time.Millisecond
	// maxHelpers is the largest number of helpers that an engine takes for one prompt.
	maxHelpers = 16
)

// weight returns the worth of a request by the size of its prompt. Callers' sheets value
// a request of 5,000 tokens at 1.3, of 45,000 at 3.9, and of 182,000 at 24.
func weight(promptTokens int) float64 { return 0.7 + 0.12*float64(promptTokens)/1000 }

// chanceLate returns the chance that something predicted to take t misses its aim.
func chanceLate(t, aim time.Duration) float64 {
	if aim <= 0 {
		return 1
	}
	share := (float64(t)/float64(aim) - easyShare) / (1 - easyShare)
	return min(max(share, 0), 1)
}

// predicted places a request on one engine, or on several that each read a part.
func (f *Fleet) predicted(now time.Time, request *Request, spec *enginemodel.Spec, units []*unit) plan {
	for _, u := range units {
		u.drain(now)
	}
	s := &search{now: now, request: request, spec: spec, units: units, whole: spec.Read(request.PromptTokens)}
	best := s.alone()
	for _, parts := range partCounts {
		if parts > len(units) || parts > maxHelpers+1 || !s.worthParting() {
			break
		}
		if p, cost := s.together(parts); cost < s.least {
			best, s.least = p, cost
		}
	}
	best.urgency = urgency(request)
	return best
}

// partCounts are the numbers of engines that are tried for a long prompt.
var partCounts = []int{2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

// partedFrom is the reading time from which more than one engine is tried. Under it, the
// parts' passes cost more than they gain.
const partedFrom = 150 * time.Millisecond

// search looks for the cheapest place for one request.
type search struct {
	now     time.Time
	request *Request
	spec    *enginemodel.Spec
	units   []*unit
	whole   time.Duration
	least   float64
}

func (s *search) worthParting() bool { return s.whole >= partedFrom }

// alone returns the cheapest single engine.
func (s *search) alone() plan {
	var best *unit
	for _, u := range s.units {
		cost := s.own(s.wait(u)+s.whole) + s.damage(u, s.whole) + s.room(u) + s.order(u) + u.health.doubt(s.now)
		if best == nil || cost < s.least {
			best, s.least = u, cost
		}
	}
	return plan{first: best, left: s.whole}
}

// together returns the cheapest set of engines that each read one of several parts.
func (s *search) together(parts int) (plan, float64) {
	part := s.whole / time.Duration(parts)
	type offer struct {
		u    *unit
		cost float64
		wait time.Duration
	}
	offers := make([]offer, 0, len(s.units))
	for _, u := range s.units {
		wait := s.wait(u)
		cost := s.damage(u, part) + s.order(u) + u.health.doubt(s.now) +
			waitCost*wait.Seconds()
		offers = append(offers, offer{u, cost, wait})
	}
	slices.SortFunc(offers, func(a, b offer) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		default:
			return 0
		}
	})
	var longest time.Duration
	cost := partCost * float64(parts)
	p := plan{left: part}
	first := 0
	for i, o := range offers[:parts] {
		cost += o.cost
		longest = max(longest, o.wait)
		if s.roomier(o.u, offers[first].u) {
			first = i
		}
	}
	for i, o := range offers[:parts] {
		if i == first {
			p.first = o.u
		} else {
			p.helpers = append(p.helpers, o.u)
		}
	}
	return p, cost + s.own(longest+part) + s.room(p.first)
}

// waitCost is what a second of waiting on one of several engines costs in the order in
// which they are taken: the last of them decides when the prompt is read.
const waitCost = 1.0

// roomier reports whether a is the better first engine, which writes the answer.
func (s *search) roomier(a, b *unit) bool {
	return a.memory() < b.memory()
}

// wait returns the time until an engine begins to read the request.
func (s *search) wait(u *unit) time.Duration {
	streams, context := u.streams()
	wait := networkDelay + u.backlog()
	if streams > 0 {
		// The pass in hand ends first.
		wait += s.spec.Pause(streams, context) / 2
	}
	return wait
}

// own is what the request itself loses if its first event comes after t.
func (s *search) own(t time.Duration) float64 {
	w := weight(s.request.PromptTokens)
	loss := w * lateLoss * chanceLate(t, s.request.Aim)
	if t > s.request.Left {
		loss += w * (1 - lateLoss)
	}
	// Among choices that are surely in time, and among those that are surely late, the
	// earlier one is the better.
	return loss + earlier*t.Seconds()
}

// earlier is what a second is worth where it decides nothing else.
const earlier = 0.2

// damage is what the streams and prompts on an engine lose if it reads for part longer.
func (s *search) damage(u *unit, part time.Duration) float64 {
	streams, context := u.streams()
	pass := s.spec.Pause(streams, context) + u.backlog()
	sum := 0.0
	for _, l := range u.loads {
		w := l.work
		if l.helper {
			continue
		}
		gap := chanceLate(pass+part, w.gapAim) - chanceLate(pass, w.gapAim)
		first := 0.0
		if !w.begun && s.whole >= partedFrom {
			// Parts of long prompts are read ahead of it.
			left := w.aim.Sub(s.now)
			first = chanceLate(pass+part, left) - chanceLate(pass, left)
		}
		sum += weight(w.prompt) * lateLoss * max(gap, first)
	}
	return sum
}

// room is what a request loses on an engine whose slots or memory are full.
func (s *search) room(u *unit) float64 {
	streams, _ := u.streams()
	cost := 0.0
	if streams >= s.spec.Slots {
		cost += s.own(s.wait(u)+s.whole+fullWait) - s.own(s.wait(u)+s.whole) + fullCost
	}
	if u.memory()+s.request.PromptTokens+s.request.OutputTokens > s.spec.MemoryTokens {
		cost += weight(s.request.PromptTokens) * lateLoss
	}
	return cost
}

// fullCost keeps requests off an engine that would only queue them.
const fullCost = 0.3

// order is what the place in the order costs: short requests are packed to the front,
// unless the engine writes streams already, and long ones go to the back.
func (s *search) order(u *unit) float64 {
	if s.whole >= partedFrom {
		return orderCost * float64(len(s.units)-u.order)
	}
	return orderCost * float64(u.order)
}

// urgency ranks by the aim: who has less time goes first.
func urgency(request *Request) int {
	switch {
	case request.GapAim <= 300*time.Millisecond:
		return 0
	case request.GapAim <= 800*time.Millisecond:
		return 3
	default:
		return 5
	}
}
