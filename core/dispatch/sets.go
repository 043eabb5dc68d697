package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// parted returns the cheapest set of engines if one is cheaper than the single engine.
func (s *search) parted(best plan) plan {
	s.nearest()
	count := 0
	for _, parts := range partCounts {
		if parts > len(s.near)+s.kept() {
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
		if u == s.keep || s.held() && !u.free() || s.avoids(u) {
			continue
		}
		o := offer{unit: u, cost: s.damage(u, partedFrom) + waitCost*u.backlog.Seconds() + s.order(u)}
		s.near = keepLeast(s.near, o, considered, byCost)
	}
}

func byCost(a, b offer) int { return cmp.Compare(a.cost, b.cost) }

// together weighs the cheapest set of a number of engines that each read a part. The set is
// the beginning of s.offers afterwards, its first engine in front.
func (s *search) together(parts int) (cost float64, ok bool) {
	part := s.whole / time.Duration(parts)
	s.offers = s.offers[:0]
	if s.keep != nil {
		s.offers = append(s.offers, offer{unit: s.keep})
	}
	for _, o := range s.near {
		o.cost = s.damage(o.unit, part) + s.order(o.unit) + o.unit.health.Doubt(s.now) + waitCost*o.unit.backlog.Seconds()
		s.offers = append(s.offers, o)
	}
	slices.SortFunc(s.offers[s.kept():], byCost)
	cost = partCost * float64(parts)
	first := 0
	for i, o := range s.offers[:parts] {
		cost += s.gaps(o.unit, part) + o.unit.health.Doubt(s.now)
		if s.keep == nil && s.leads(o.unit, s.offers[first].unit) {
			first = i
		}
	}
	s.offers[0], s.offers[first] = s.offers[first], s.offers[0]
	cost += s.delays(parts, part) + s.own(s.begin(parts)+part) + s.slots(s.offers[0].unit)
	return cost, s.share(parts)
}

// kept is the number of engines that are in every set.
func (s *search) kept() int {
	if s.keep != nil {
		return 1
	}
	return 0
}

// leads tells whether an engine should rather write a prompt's stream than another one of
// the same set. Streams of long prompts are packed: an engine that writes is late with its
// events whenever it reads, so the fewer engines write, the more can read freely. One that
// has no room for the prompt takes it only where none has, the emptier the rather.
func (s *search) leads(u, than *unit) bool {
	need := s.request.PromptTokens + s.request.OutputTokens
	roomy := func(u *unit) bool { return s.free(u) >= need && u.streams < s.spec.Slots }
	switch fits, other := roomy(u), roomy(than); {
	case fits != other:
		return fits
	case !fits:
		return u.memory < than.memory
	case u.streams != than.streams:
		return u.streams > than.streams
	default:
		return u.order > than.order
	}
}

// begin returns when the last engine of a set begins to read its part.
func (s *search) begin(parts int) time.Duration {
	var last time.Duration
	for _, o := range s.offers[:parts] {
		last = max(last, s.pass(o.unit))
	}
	return last
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
// them can't hold is reserved at the others; ok is false where they can't hold it either, or
// where the prompt would wait for a slot of the first one.
//
// What goes wrong without the slot: memory stays reserved at engines that nobody reads with,
// for as long as the first one's queue lasts, 11 s in one case.
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
	reserved := slices.ContainsFunc(s.tickets, func(tokens int) bool { return tokens > 0 })
	return rest <= 0 && (!reserved || s.offers[0].unit.streams < s.spec.Slots)
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
