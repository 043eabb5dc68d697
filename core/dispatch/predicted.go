package dispatch

import (
	"cmp"
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
	// easyLong is the same for the first event of a long prompt: what is placed later is read
	// before it ends, so its chance falls with every moment that it takes.
	easyLong = 0.0
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
)

// weight returns the worth of a request by the size of its prompt. Callers' sheets value
// a request of 5,000 tokens at 1.3, of 45,000 at 3.9, and of 182,000 at 24.
func weight(promptTokens int) float64 { return 0.7 + 0.12*float64(promptTokens)/1000 }

// chanceLate returns the chance that something predicted to take t misses its aim.
func chanceLate(t, aim time.Duration, easy float64) float64 {
	if aim <= 0 {
		return 1
	}
	share := (float64(t)/float64(aim) - easy) / (1 - easy)
	return min(max(share, 0), 1)
}

// partCounts are the numbers of engines that are tried for a long prompt.
var partCounts = [...]int{2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

const (
	// partedFrom is the reading time from which more than one engine is tried. Under it, the
	// parts' passes cost more than they gain.
	partedFrom = 150 * time.Millisecond
	// waitCost is what a second of waiting on one of several engines costs in the order in
	// which they are taken: the last of them decides when the prompt is read.
	waitCost = 1.0
	// considered is the number of engines that are weighed for a set: some more than a set
	// has at the most, so that the cost of a choice doesn't grow with the deployment.
	considered = 40
)

// search looks for the cheapest place for one request. It keeps its slices from one
// request to the next, so that a choice allocates nothing.
type search struct {
	now     time.Time
	request *Request
	spec    *enginemodel.Spec
	units   []*unit
	whole   time.Duration
	least   float64
	offers  []offer
	near    []offer
	helpers []*unit
	tickets []int
}

// offer is what one engine costs as a part of a set.
type offer struct {
	unit *unit
	cost float64
}

// predicted places a request on one engine, or on several that each read a part.
func (s *search) predicted(now time.Time, request *Request, spec *enginemodel.Spec) plan {
	s.now, s.request, s.spec = now, request, spec
	s.whole = spec.Read(request.PromptTokens)
	for _, u := range s.units {
		u.drain(now)
		for _, l := range u.loads {
			l.work.done, l.work.trial = 0, 0
		}
	}
	for _, u := range s.units {
		u.foresee()
	}
	best := s.alone()
	if s.whole >= partedFrom {
		best = s.parted(best)
	}
	first, load := s.first(&best), s.load()
	best.refused = s.dear(first, load)
	best.urgency = urgency(request)
	best.why = Why{Cost: s.least, First: first, Read: s.whole, Load: load}
	return best
}

// readPrice is what a second of an engine's reading is worth to others for each second that
// engines have to read on the mean. At a mean of half a second it is 2: a prompt of 600,000
// tokens, which takes 33 s for a worth of 73, is then served just about, one of 900,000 is
// not. Short prompts bring 38 a second and are never refused for it. Without a price, the
// few longest prompts took the time of all others in bursts: the worth of a day of high
// load fell from 0.52 to 0.38.
const readPrice = 4.0

// dear reports whether the engines' time is worth more to others than the request brings,
// if its first event comes after first.
func (s *search) dear(first, load time.Duration) bool {
	if s.whole < partedFrom {
		return false
	}
	// The choice was made with a chance of lateness that grows from the start, which favours
	// early ends; what the request brings follows from the time at which it really is late.
	others := max(s.least-s.own(first), 0)
	gain := weight(s.request.PromptTokens) - s.lost(first, easyShare) - others
	return gain < readPrice*load.Seconds()*s.whole.Seconds()
}

// load returns the mean of what the engines have to read.
func (s *search) load() time.Duration {
	var sum time.Duration
	for _, u := range s.units {
		sum += u.backlog
	}
	return sum / time.Duration(len(s.units))
}

// first returns when a plan's first event is expected: when the last of its engines has
// read its part.
func (s *search) first(p *plan) time.Duration {
	if len(p.helpers) == 0 {
		return s.wait(p.first) + p.left
	}
	last := s.pass(p.first)
	for _, u := range p.helpers {
		last = max(last, s.pass(u))
	}
	return last + p.left
}

// alone returns the cheapest single engine.
func (s *search) alone() plan {
	var best *unit
	for _, u := range s.units {
		cost := s.own(s.wait(u)+s.whole) + s.gaps(u, s.whole) + s.room(u) + s.order(u) + u.health.doubt(s.now)
		if best == nil || cost < s.least {
			best, s.least = u, cost
		}
	}
	return plan{first: best, left: s.whole}
}

// parted returns the cheapest set of engines if one is cheaper than the single engine.
func (s *search) parted(best plan) plan {
	s.nearest()
	count := 0
	for _, parts := range partCounts {
		if parts > len(s.near) {
			break
		}
		if cost, ok := s.together(parts); ok && cost < s.least {
			s.least, count = cost, parts
		}
	}
	if count == 0 {
		return best
	}
	s.together(count)
	return s.set(count)
}

// nearest keeps the engines that could begin soonest and write no more than others.
func (s *search) nearest() {
	s.near = s.near[:0]
	for _, u := range s.units {
		o := offer{unit: u, cost: s.damage(u, partedFrom) + waitCost*u.backlog.Seconds() + s.order(u)}
		if len(s.near) == considered {
			if o.cost >= s.near[considered-1].cost {
				continue
			}
			s.near = s.near[:considered-1]
		}
		i, _ := slices.BinarySearchFunc(s.near, o, byCost)
		s.near = slices.Insert(s.near, i, o)
	}
}

func byCost(a, b offer) int { return cmp.Compare(a.cost, b.cost) }

// together weighs the cheapest set of a number of engines that each read a part. The set is
// the beginning of s.offers afterwards, its first engine in front.
func (s *search) together(parts int) (cost float64, ok bool) {
	part := s.whole / time.Duration(parts)
	s.offers = s.offers[:0]
	for _, o := range s.near {
		o.cost = s.damage(o.unit, part) + s.order(o.unit) + o.unit.health.doubt(s.now) + waitCost*o.unit.backlog.Seconds()
		s.offers = append(s.offers, o)
	}
	slices.SortFunc(s.offers, byCost)
	cost = partCost * float64(parts)
	first := 0
	for i, o := range s.offers[:parts] {
		cost += s.gaps(o.unit, part) + s.order(o.unit) + o.unit.health.doubt(s.now)
		if o.unit.memory < s.offers[first].unit.memory {
			first = i
		}
	}
	s.offers[0], s.offers[first] = s.offers[first], s.offers[0]
	cost += s.delays(parts, part) + s.own(s.begin(parts)+part) + s.slots(s.offers[0].unit)
	return cost, s.share(parts)
}

// begin returns when the last engine of a set begins to read its part.
func (s *search) begin(parts int) time.Duration {
	var last time.Duration
	for _, o := range s.offers[:parts] {
		last = max(last, s.pass(o.unit))
	}
	return last
}

// delays is what the prompts lose that a set delays. A prompt is read when the last of its
// parts is: one that several engines of the set delay is delayed once.
func (s *search) delays(parts int, part time.Duration) float64 {
	for _, o := range s.offers[:parts] {
		for _, l := range o.unit.loads {
			if !l.work.begun {
				l.work.trial = max(l.work.trial, l.work.done, l.done+part)
			}
		}
	}
	sum := 0.0
	for _, o := range s.offers[:parts] {
		for _, l := range o.unit.loads {
			if l.work.trial > 0 {
				sum += s.later(l.work, l.work.trial)
				l.work.trial = 0
			}
		}
	}
	return sum
}

// later is what a prompt loses if it is read at the given time instead of the foreseen one.
func (s *search) later(w *work, done time.Duration) float64 {
	left := w.aim.Sub(s.now)
	return weight(w.prompt) * lateLoss * (chanceLate(done, left, easyShare) - chanceLate(w.done, left, easyShare))
}

// memoryShare is the part of an engine's memory that is planned with: what others have
// placed in this moment is not known yet.
const memoryShare = 0.95

func (s *search) free(u *unit) int {
	if s.now.Before(u.full) {
		return 0
	}
	return int(memoryShare*float64(s.spec.MemoryTokens)) - u.memory
}

// share divides the prompt's memory over the first engines of s.offers. What the first of
// them can't hold is reserved at the others; ok is false where they can't hold it either.
func (s *search) share(parts int) bool {
	s.tickets = s.tickets[:0]
	rest := s.request.PromptTokens + s.request.OutputTokens - max(s.free(s.offers[0].unit), 0)
	for _, o := range s.offers[1:parts] {
		tokens := 0
		if free := s.free(o.unit); rest > 0 && free > 0 {
			tokens = min(free, max(rest, leastTicket))
			rest -= tokens
		}
		s.tickets = append(s.tickets, tokens)
	}
	return rest <= 0
}

// leastTicket is the least number of tokens that is reserved: less isn't worth two orders
// of its own, and leaves no room for what the first engine takes up meanwhile.
const leastTicket = 16_384

// set returns the plan of the first engines of s.offers.
func (s *search) set(parts int) plan {
	s.helpers = s.helpers[:0]
	for _, o := range s.offers[1:parts] {
		s.helpers = append(s.helpers, o.unit)
	}
	return plan{
		first:   s.offers[0].unit,
		helpers: s.helpers,
		tickets: s.tickets,
		left:    s.whole / time.Duration(parts),
	}
}

// wait returns the time until an engine begins to read the request alone: after all else.
func (s *search) wait(u *unit) time.Duration { return s.pass(u) + u.backlog }

// pass returns the time until an engine turns to a part of a prompt, which it reads ahead
// of all else, and tells of it.
func (s *search) pass(u *unit) time.Duration {
	if u.streams == 0 {
		return networkDelay
	}
	// The pass in hand ends first, and the first event comes with the end of the pass in
	// which the prompt is read. On engines that write nothing, it comes at once. Observed
	// first events of short prompts came 68 ms later at the median than predicted without
	// the second pass.
	return networkDelay + s.spec.Pause(u.streams, u.context)*3/2
}

// own is what the request itself loses if its first event comes after t, for comparing
// choices.
func (s *search) own(t time.Duration) float64 {
	easy := easyShare
	if s.whole >= partedFrom {
		easy = easyLong
	}
	// Among choices that are surely in time, and among those that are surely late, the
	// earlier one is the better.
	return s.lost(t, easy) + earlier*t.Seconds()
}

// lost is the worth that the request loses if its first event comes after t.
func (s *search) lost(t time.Duration, easy float64) float64 {
	w := weight(s.request.PromptTokens)
	loss := w * lateLoss * chanceLate(t, s.request.Aim, easy)
	if t > s.request.Left {
		loss += w * (1 - lateLoss)
	}
	return loss
}

// earlier is what a second is worth where it decides nothing else.
const earlier = 0.2

// damage is what the streams and prompts on an engine lose if it reads a part of a long
// prompt. Engines read the newest part first: in bursts, prompts that should have been read
// in a third of a second took four, until no more came.
func (s *search) damage(u *unit, part time.Duration) float64 {
	sum := s.gaps(u, part)
	for _, l := range u.loads {
		if !l.work.begun {
			sum += s.later(l.work, max(l.work.done, l.done+part))
		}
	}
	return sum
}

// gaps is what the streams on an engine lose by longer pauses if it reads for longer.
func (s *search) gaps(u *unit, read time.Duration) float64 {
	if u.streams == 0 {
		return 0
	}
	pass := s.spec.Pause(u.streams, u.context) + u.backlog
	sum := 0.0
	for _, l := range u.loads {
		if l.helper {
			continue
		}
		gap := chanceLate(pass+read, l.work.gapAim, easyShare) - chanceLate(pass, l.work.gapAim, easyShare)
		sum += weight(l.work.prompt) * lateLoss * gap
	}
	return sum
}

// room is what a request loses on a single engine whose slots or memory are full.
func (s *search) room(u *unit) float64 {
	cost := s.slots(u)
	if s.request.PromptTokens+s.request.OutputTokens > s.free(u) {
		cost += weight(s.request.PromptTokens) * lateLoss
	}
	return cost
}

// slots is what a request loses on an engine whose slots are taken.
func (s *search) slots(u *unit) float64 {
	if u.streams < s.spec.Slots {
		return 0
	}
	return fullCost + s.own(s.wait(u)+s.whole+fullWait) - s.own(s.wait(u)+s.whole)
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
