package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// bestSet returns the cheapest set of engines if it is cheaper than the single engine. The engines
// of a set each prefill one part of the prompt.
func (s *search) bestSet(best plan) plan {
	s.buildShortlist()
	count := 0
	for _, parts := range partCounts {
		if parts > len(s.shortlist)+s.pinnedCount() {
			break
		}
		if cost, ok := s.evaluateSet(parts); ok && cost < s.leastCost {
			s.leastCost, count = cost, parts
		}
	}
	if count == 0 {
		return best
	}
	s.evaluateSet(count)
	return s.setPlan(count)
}

// buildShortlist selects the engines that can start soonest at the least cost to others.
func (s *search) buildShortlist() {
	s.shortlist = s.shortlist[:0]
	for _, u := range s.candidates {
		if u == s.pinned || s.queueable() && !u.idle() || s.avoids(u) {
			continue
		}
		o := offer{upstream: u, cost: s.impact(u, splitThreshold) + costPerWaitSecond*u.prefillBacklog().Seconds() + s.positionCost(u) + s.paceCost(u, s.smallestPart())}
		s.shortlist = insertLeast(s.shortlist, o, maxConsidered, byCost)
	}
}

func byCost(a, b offer) int { return cmp.Compare(a.cost, b.cost) }

// evaluateSet returns the cost of the cheapest set of the given size, in which each engine
// prefills one part. Afterwards the set is at the start of s.offers, its primary first. The
// result ok is false if the set lacks the memory for the prompt, see reserveMemory.
func (s *search) evaluateSet(parts int) (cost float64, ok bool) {
	part := s.prefillTime / time.Duration(parts)
	s.offers = s.offers[:0]
	if s.pinned != nil {
		s.offers = append(s.offers, offer{upstream: s.pinned})
	}
	for _, o := range s.shortlist {
		o.cost = s.impact(o.upstream, part) + s.positionCost(o.upstream) + o.upstream.health.Penalty(s.now) + costPerWaitSecond*o.upstream.prefillBacklog().Seconds() + s.paceCost(o.upstream, part)
		s.offers = append(s.offers, o)
	}
	slices.SortFunc(s.offers[s.pinnedCount():], byCost)
	cost = costPerPart * float64(parts)
	first := 0
	for i, o := range s.offers[:parts] {
		cost += s.streamCost(o.upstream, part) + o.upstream.health.Penalty(s.now)
		if s.pinned == nil && s.preferredPrimary(o.upstream, s.offers[first].upstream) {
			first = i
		}
	}
	s.offers[0], s.offers[first] = s.offers[first], s.offers[0]
	cost += s.setDelayCost(parts, part) + s.comparisonCost(s.prefillEnd(parts, part)) + s.slotCost(s.offers[0].upstream)
	return cost, s.reserveMemory(parts)
}

// pinnedCount returns the number of engines that every set must include.
func (s *search) pinnedCount() int {
	if s.pinned != nil {
		return 1
	}
	return 0
}

// preferredPrimary reports whether an engine is a better choice than another one of the set to
// decode the prompt's stream. Streams of long prompts are packed: prefill on an engine delays
// the events of its streams, so the fewer engines decode, the more can prefill freely. An engine
// without the memory for the prompt or a free slot is chosen only if each engine of the set
// lacks one of them, and then the one with the least memory in use.
func (s *search) preferredPrimary(u, other *upstreamState) bool {
	need := s.request.PromptTokens + s.request.OutputTokens
	hasRoom := func(u *upstreamState) bool { return s.freeTokens(u) >= need && u.streams < s.spec.Slots }
	switch fits, otherFits := hasRoom(u), hasRoom(other); {
	case fits != otherFits:
		return fits
	case !fits:
		return u.memoryTokens < other.memoryTokens
	case u.streams != other.streams:
		return u.streams > other.streams
	default:
		return u.position > other.position
	}
}

// prefillEnd returns when the last engine of a set ends the prefill of its part, whose time is given
// at the published pace.
func (s *search) prefillEnd(parts int, part time.Duration) time.Duration {
	var last time.Duration
	for _, o := range s.offers[:parts] {
		last = max(last, s.passWait(o.upstream)+o.upstream.atPace(part))
	}
	return last
}

// usableMemoryShare is the share of an engine's memory that placements may use. The rest covers
// placements of other entries that are not known here yet.
const usableMemoryShare = 0.95

// freeTokens returns the number of tokens that may still be placed on an engine.
func (s *search) freeTokens(u *upstreamState) int {
	if s.now.Before(u.fullUntil) {
		return 0
	}
	return int(usableMemoryShare*float64(s.spec.MemoryTokens)) - u.memoryTokens
}

// reserveMemory divides the memory for the prompt and its answer over the first engines of
// s.offers. What the primary can't hold is reserved at the helpers. The result is false if they
// can't hold it either, or if memory must be reserved and the primary has no free slot: the
// reserved memory would stay unused while the prompt waits in the primary's queue, which can
// take 11 s.
func (s *search) reserveMemory(parts int) bool {
	s.reservations = s.reservations[:0]
	rest := s.request.PromptTokens + s.request.OutputTokens - max(s.freeTokens(s.offers[0].upstream), 0)
	for _, o := range s.offers[1:parts] {
		tokens := 0
		if free := s.freeTokens(o.upstream); rest > 0 && free > 0 {
			tokens = min(free, max(rest, minReservation))
			rest -= tokens
		}
		s.reservations = append(s.reservations, tokens)
	}
	reserved := slices.ContainsFunc(s.reservations, func(tokens int) bool { return tokens > 0 })
	return rest <= 0 && (!reserved || s.offers[0].upstream.streams < s.spec.Slots)
}

// minReservation is the least number of tokens to reserve. Less is not worth the two calls for a
// reservation, and leaves no margin for requests that the primary accepts in the meantime.
const minReservation = 16_384

// setPlan returns the plan for the first engines of s.offers.
func (s *search) setPlan(parts int) plan {
	s.helpers = s.helpers[:0]
	for _, o := range s.offers[1:parts] {
		s.helpers = append(s.helpers, o.upstream)
	}
	return plan{
		primary:      s.offers[0].upstream,
		helpers:      s.helpers,
		reservations: s.reservations,
		partTime:     s.prefillTime / time.Duration(parts),
	}
}
