package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciacleat.example/core/enginemodel"
)

// The predicted rule chooses the placement with the least expected loss from late requests: the
// request itself, and those that its prefill delays on the engines it uses. Losses are in units
// of requestValue.
//
// Two goals conflict. A long prompt on one engine misses its target; on many engines it
// stretches the pauses of every stream there. So short streams are packed onto as few engines
// as meet their targets, from the front of an order that all entries share, and long prompts
// are split over many engines from its back.
const (
	// lateLossShare is the share of its value that a late request loses.
	lateLossShare = 0.75
	// safeShare is the share of a target up to which a prediction counts as surely in time; from
	// there to the whole target the probability of being late rises to one. The margin is for
	// requests that other entries place at the same time, which predictions don't include.
	safeShare = 0.6
	// safeGapShare is the same for pauses from parts of long prompts, which are predicted
	// accurately. Beside streams with a gap target of 250 ms it allows parts of up to 180 ms;
	// with 0.6, long prompts were refused for lack of engines at twice the usual load, and only
	// half of their value was served.
	safeGapShare = 0.9
	// costPerPosition is the cost of one position in the order of engines: enough to decide
	// between equal engines, too little to make a request late.
	costPerPosition = 0.004
	// costPerPart is the cost of each engine of a set: the passes of the engines end at
	// different times, so the more engines, the later the last of them starts its part.
	costPerPart = 0.004
	// networkDelay is the delay of a request to its upstream plus that of its first event back.
	networkDelay = 4 * time.Millisecond
)

// partCounts are the set sizes that are tried for a long prompt.
var partCounts = [...]int{2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

const (
	// splitThreshold is the prefill time from which more than one engine is tried. Below it,
	// the passes for the parts cost more than the split gains.
	splitThreshold = 150 * time.Millisecond
	// costPerWaitSecond is the cost of a second of waiting on one of several engines, used to
	// rank them: the last engine decides when the prefill ends.
	costPerWaitSecond = 1.0
	// maxConsidered is the number of engines considered for a set: more than the largest set,
	// but bounded, so that the cost of a choice doesn't grow with the deployment.
	maxConsidered = 40
)

// search finds the cheapest placement for one request. It reuses its slices between requests,
// so that a choice allocates nothing.
type search struct {
	now        time.Time
	request    *Request
	spec       *enginemodel.Spec
	candidates []*upstreamState
	fleet      *Fleet
	// pinned is the only engine that the request may go to; nil for any.
	pinned *upstreamState
	// self is the request as a waiter, and queueAhead what is ahead of it in the queue.
	self       waiter
	queueAhead queueAhead
	// limitedOnly is set if all candidates have named a rate limit. Parts of prompts don't count
	// against limits, so no prompt is split then.
	limitedOnly bool
	// usable is the number of engines whose streams tolerate a part of the prompt, and idle the
	// number of those with almost no parts to prefill; partBacklog is the prefill time of the
	// parts on all engines.
	usable int
	idle   int
	// effective is the number of engines at the published pace that do as much as the usable ones.
	effective   float64
	partBacklog time.Duration
	// avoidProved is set if the request is a long prompt and most engines are alive: it then
	// avoids engines that are proved to be down.
	avoidProved bool
	// partialView is set if this entry doesn't see what most others place.
	partialView bool
	// unseenChoices is the expected number of choices of other entries that are not known here
	// yet.
	unseenChoices float64
	// takenProbability holds, by the number of free slots, the probability that other entries
	// take them first.
	takenProbability []float64
	// openingPenalty is the cost to long prompts of placing the request on an engine that it
	// opens, see opensEngine.
	openingPenalty float64
	random         *rand.Rand
	// prefillTime is that of the whole prompt on one engine.
	prefillTime  time.Duration
	leastCost    float64
	offers       []offer
	shortlist    []offer
	freeTimes    []time.Duration
	helpers      []*upstreamState
	reservations []int
}

// offer is the cost of one engine as a member of a set.
type offer struct {
	upstream *upstreamState
	cost     float64
}

// predicted places a request on one engine, or on several that each prefill a part.
func (s *search) predicted(now time.Time, request *Request, spec *enginemodel.Spec) plan {
	s.now, s.request, s.spec = now, request, spec
	s.prefillTime = spec.Read(request.PromptTokens)
	s.avoidLimited()
	if s.prefillTime >= splitThreshold {
		s.separateZones()
	}
	for _, u := range s.candidates {
		u.advance(now)
		for _, l := range u.loads {
			l.placement.prefillDone, l.placement.trialPrefillDone = 0, 0
		}
	}
	s.partBacklog = 0
	s.avoidProved = s.prefillTime >= splitThreshold && s.mostlyAlive()
	for _, u := range s.candidates {
		u.predictPrefill()
		s.predictEnds(u)
		s.partBacklog += u.partBacklog
	}
	s.partialView = s.fleet.hasPartialView()
	s.unseenChoices = s.fleet.unseenChoices(now)
	s.takenProbability = takenProbabilities(s.takenProbability[:0], s.unseenChoices/contendedEngines, spec.Slots)
	s.queueAhead = queueAhead{}
	if s.queueable() {
		s.countEngines()
		s.queueAhead = s.fleet.queueAheadOf(now, s.selfWaiter(), s.partBacklog, max(int(s.effective+0.5), 1))
	}
	best := s.bestSingle()
	if s.prefillTime >= splitThreshold && !s.limitedOnly {
		best = s.bestSet(best)
	}
	meanBacklog := s.meanBacklog()
	decision := s.decide(&best)
	best.retryAfter, best.headOfQueue = decision.retryAfter, decision.headOfQueue
	best.refused = decision.refused || !request.Committed && (s.outlastsCaller(decision.firstEvent) || s.queuesPastTarget(&best, decision.firstEvent))
	best.urgency, best.engineTime = urgency(request), s.engineTime()
	s.recordDemand(best.engineTime)
	best.rationale = Explanation{ExpectedLoss: s.leastCost, FirstEvent: decision.firstEvent, Read: s.prefillTime, MeanBacklog: meanBacklog, Scarcity: decision.scarcity}
	if best.refused {
		best.rationale.ClearTime = max(decision.clearTime, s.clearTime())
	}
	return best
}

// decide decides whether the request takes the plan, waits or is refused.
func (s *search) decide(best *plan) admission {
	if s.takesTurn() {
		return s.admitShort(best)
	}
	return s.admit(best, s.firstEvent(best))
}

// mostlyAlive reports whether more than half of the engines are not proved to be down.
func (s *search) mostlyAlive() bool {
	alive := 0
	for _, u := range s.candidates {
		if !u.health.ProvedDown() {
			alive++
		}
	}
	return 2*alive > len(s.candidates)
}

// avoids reports whether the request avoids an engine because it is proved to be down. Only long
// prompts do, see avoidProved; short requests find out whether the engine is back. Otherwise,
// when the exclusion of a dead engine ends, a set of many engines would include it and fail as a
// whole, at one entry after another.
func (s *search) avoids(u *upstreamState) bool {
	return s.avoidProved && u != s.pinned && u.health.ProvedDown()
}

// queuesPastTarget reports whether the plan's engine has no free slot and the first event is
// expected after the target. Such a plan is the cheapest only if an engine with a free slot
// would cost more, mostly because the prefill would delay the streams there.
//
// Under overload each short request would otherwise wait in an engine's queue until it is late,
// take a slot all the same and make those behind it late, which halves goodput. Refusing the
// late request leaves the slot to one that is in time.
func (s *search) queuesPastTarget(p *plan, firstEvent time.Duration) bool {
	return p.primary != nil && p.primary.streams >= s.spec.Slots && firstEvent > s.request.FirstEventTarget
}

// meanBacklog returns the mean prefill backlog of the engines.
func (s *search) meanBacklog() time.Duration {
	var sum time.Duration
	for _, u := range s.candidates {
		sum += u.prefillBacklog()
	}
	return sum / time.Duration(len(s.candidates))
}

// firstEvent returns when a plan's first event is expected: when the last of its engines has
// prefilled its part. It is zero for a plan without an engine.
func (s *search) firstEvent(p *plan) time.Duration {
	if p.primary == nil {
		return 0
	}
	if len(p.helpers) == 0 {
		return s.prefillWait(p.primary) + s.slotWait(p.primary, p.primary.streams) + p.primary.atPace(p.partTime)
	}
	last := s.passWait(p.primary) + p.primary.atPace(p.partTime)
	for _, u := range p.helpers {
		last = max(last, s.passWait(u)+u.atPace(p.partTime))
	}
	return last
}

// bestSingle returns the best single engine.
func (s *search) bestSingle() plan {
	if s.prefillTime >= splitThreshold {
		return s.cheapestSingle(1)
	}
	if s.partialView {
		return s.spreadSingle()
	}
	count := min(1+int(math.Ceil(s.unseenChoices*enginesPerUnseen)), maxSpread)
	s.openingPenalty = s.openingCost()
	best := s.cheapestSingle(count)
	if s.openingPenalty > 0 && s.queuesPastTarget(&best, s.firstEvent(&best)) {
		// Long prompts can wait in the queue, whereas a short one would be refused.
		s.openingPenalty = 0
		best = s.cheapestSingle(count)
	}
	return best
}

const (
	// propagationDelay is the time until all other entries know of a choice: batching, two
	// network links and the handling at each end.
	propagationDelay = 7 * time.Millisecond
	// placementWindow is the time over which the choices of other entries are counted: short,
	// to follow a surge.
	placementWindow = time.Second
	// assumedUnseen is the number assumed where fewer than minUnseen choices are expected within
	// propagationDelay: after a start or during a partition, other entries choose too although
	// their choices are not known here.
	assumedUnseen = 0.5
	minUnseen     = 0.05
	// enginesPerUnseen is the number of engines to choose from for each unseen choice.
	enginesPerUnseen = 4
	// maxSpread bounds the engines to choose from, so that the cost of a choice doesn't grow
	// with the deployment.
	maxSpread = 16
)

// unseenChoices returns the expected number of choices of other entries that are not known here
// yet.
func (f *Fleet) unseenChoices(now time.Time) float64 {
	unseen := propagationDelay.Seconds() * f.remoteSingles.PerSecond(now, placementWindow)
	if unseen < minUnseen {
		return assumedUnseen
	}
	return unseen
}

// cheapestSingle returns the cheapest single engine, or a random one of the cheapest count
// engines whose costs hardly differ.
//
// The cheapest engine is the same for all entries. If each of them took it, several would take
// its last slots before they learn of each other, and first events would be late by the length
// of a stream even on a nearly idle fleet.
func (s *search) cheapestSingle(count int) plan {
	s.shortlist = s.shortlist[:0]
	for _, u := range s.candidates {
		if s.singleUsable(u) {
			s.shortlist = insertLeast(s.shortlist, offer{upstream: u, cost: s.singleCost(u) + s.positionCost(u)}, count, byCost)
		}
	}
	if len(s.shortlist) == 0 {
		s.leastCost = math.Inf(1)
		return plan{partTime: s.prefillTime}
	}
	s.leastCost = s.shortlist[0].cost
	return plan{primary: s.pickOffer(s.shortlist), partTime: s.prefillTime}
}

// singleUsable reports whether the request may go to an engine alone.
func (s *search) singleUsable(u *upstreamState) bool {
	return (s.pinned == nil || u == s.pinned) && (!s.queueable() || u.idle()) && !s.avoids(u)
}

// singleCost returns the cost of an engine as the only one of the request, without that of its position.
func (s *search) singleCost(u *upstreamState) float64 {
	return s.comparisonCost(s.prefillWait(u)+u.atPace(s.prefillTime)) + s.streamCost(u, s.prefillTime) + s.capacityCost(u) + u.health.Penalty(s.now)
}

// insertLeast inserts a value into the sorted list of the least values, which holds at most the
// given number. Among equal values the earlier ones stay.
func insertLeast[T any](kept []T, value T, limit int, compare func(a, b T) int) []T {
	if len(kept) == limit {
		if compare(value, kept[limit-1]) >= 0 {
			return kept
		}
		kept = kept[:limit-1]
	}
	i, _ := slices.BinarySearchFunc(kept, value, compare)
	return slices.Insert(kept, i, value)
}

// pickOffer returns the engine of a random offer: the first, which is the cheapest, or one that
// costs more by at most the expected cost of a collision at the first. Apart from the first it
// skips full engines, and engines that the request would open if it doesn't open the first.
func (s *search) pickOffer(offers []offer) *upstreamState {
	best := offers[0]
	kept := 1
	for _, o := range offers[1:] {
		tooCostly := o.cost > best.cost+s.unseenChoices*fullCost
		if tooCostly || o.upstream.streams >= s.spec.Slots || s.opensEngine(o.upstream) && !s.opensEngine(best.upstream) {
			continue
		}
		offers[kept] = o
		kept++
	}
	if kept == 1 {
		return best.upstream
	}
	return offers[s.random.IntN(kept)].upstream
}

// prefillWait returns the time until an engine starts the prefill of a single-engine request,
// which comes after all other prefill.
func (s *search) prefillWait(u *upstreamState) time.Duration {
	return s.passWait(u) + u.prefillBacklog()
}

// passWait returns the time until an engine starts a part of a prompt, which it prefills before
// all else, plus the delay until the first event is reported.
func (s *search) passWait(u *upstreamState) time.Duration {
	if u.streams == 0 {
		return networkDelay
	}
	// The current pass, of which half is left on average, ends first, and the first event is
	// sent at the end of the pass in which the prefill ends; an engine without streams sends it
	// at once. Without the second pass, first events of short prompts came 68 ms later at the
	// median than predicted.
	return networkDelay + s.passTime(u)*3/2
}
