package dispatch

import (
	"math"
	"time"
)

// requestValue returns the value of a request by the size of its prompt. It is a linear
// approximation of the callers' price sheets, which give 1.3 for 5,000 tokens, 3.9 for 45,000
// and 24 for 182,000.
func requestValue(promptTokens int) float64 { return 0.7 + 0.12*float64(promptTokens)/1000 }

// lateProbability returns the probability that something predicted to take t misses its target.
func lateProbability(t, target time.Duration) float64 { return missProbability(t, target, safeShare) }

// missProbability is lateProbability with an explicit share of the target up to which a
// prediction counts as surely in time.
func missProbability(t, target time.Duration, safe float64) float64 {
	if target <= 0 {
		return 1
	}
	share := (float64(t)/float64(target) - safe) / (1 - safe)
	return min(max(share, 0), 1)
}

// comparisonCost is the request's own loss if its first event comes after t, for comparing
// choices.
func (s *search) comparisonCost(t time.Duration) float64 {
	// Among choices that are surely in time, or surely late, the earlier one is better.
	return s.expectedLoss(t) + valuePerSecond*t.Seconds()
}

// expectedLoss is the value that the request is expected to lose if its first event comes after
// t: lateLossShare past the target, and the rest past the deadline.
func (s *search) expectedLoss(t time.Duration) float64 {
	value := requestValue(s.request.PromptTokens)
	loss := value * lateLossShare * lateProbability(t, s.request.FirstEventTarget)
	if t > s.request.TimeToDeadline {
		loss += value * (1 - lateLossShare)
	}
	return loss
}

// valuePerSecond is the value of a second where nothing else distinguishes two choices.
const valuePerSecond = 0.2

// impact is the loss of the streams and prompts on an engine if it prefills a part of a long
// prompt, whose time is given at the published pace. Engines prefill the newest part first: without this cost, the prompts of a burst
// delay each other until the arrivals end.
func (s *search) impact(u *upstreamState, part time.Duration) float64 {
	sum := s.streamCost(u, part)
	part = u.atPace(part)
	for _, l := range u.loads {
		if !l.placement.streaming {
			sum += s.delayCost(l.placement, max(l.placement.prefillDone, l.prefillDone+part))
		}
	}
	return sum
}

// streamCost is the loss of the streams on an engine from longer pauses and a later end, if it
// prefills for the given time at the published pace.
func (s *search) streamCost(u *upstreamState, prefill time.Duration) float64 {
	if u.streams == 0 {
		return 0
	}
	prefill = u.atPace(prefill)
	pass := s.passTime(u) + u.prefillBacklog()
	// Pauses from parts of long prompts are predicted accurately, because all entries know of
	// the parts. Of the many short prompts, several entries may place one on an engine at the
	// same time.
	safe := safeShare
	if s.prefillTime >= splitThreshold {
		safe = safeGapShare
	}
	sum := 0.0
	for _, l := range u.loads {
		if l.helper {
			continue
		}
		missed := missProbability(pass+prefill, l.placement.gapTarget, safe) - missProbability(pass, l.placement.gapTarget, safe)
		sum += requestValue(l.placement.promptTokens) * (lateLossShare*missed + l.overrunProbability(prefill))
	}
	return sum
}

// safeEndShare is the share of the time to a stream's deadline up to which its predicted end
// counts as surely in time. The margin is for the length of its answer, which is an estimate,
// and for requests that are placed beside it later.
const safeEndShare = 0.7

// maxPrefillUtilisation bounds the predicted share of time that an engine spends on prefill;
// streams advance in the rest.
const maxPrefillUtilisation = 0.9

// predictEnds predicts the ends of the streams on an engine, assuming that its prefill
// utilisation stays the same.
func (s *search) predictEnds(u *upstreamState) {
	if u.streams == 0 {
		return
	}
	pass := s.passTime(u).Seconds() / (1 - min(u.prefillUtilisation, maxPrefillUtilisation))
	for _, l := range u.loads {
		l.streamEnd = 0
		if l.helper || !l.placement.streaming || pass <= 0 {
			continue
		}
		events := float64(l.placement.outputTokens)/float64(max(s.spec.Stride, 1)) - s.now.Sub(l.placement.firstEventAt).Seconds()/pass
		l.streamEnd = time.Duration(max(events, 0) * pass * float64(time.Second))
		l.toDeadline = l.placement.expiresAt.Sub(s.now) - expiryMargin
	}
}

// overrunProbability is the increase of the probability that a stream exceeds its deadline if
// its engine prefills for the given time.
//
// Limiting single pauses is not enough: an engine that fills every pass with prefill up to the
// gap target decodes so slowly that streams of dozens of events reach their deadline, even if it
// spends only a third of its time on prefill.
func (l *load) overrunProbability(prefill time.Duration) float64 {
	if l.streamEnd == 0 || (l.streamEnd+prefill).Seconds() <= safeEndShare*l.toDeadline.Seconds() {
		return 0
	}
	return missProbability(l.streamEnd+prefill, l.toDeadline, safeEndShare) - missProbability(l.streamEnd, l.toDeadline, safeEndShare)
}

// capacityCost is the loss of a request on a single engine whose slots or memory are full.
func (s *search) capacityCost(u *upstreamState) float64 {
	cost := s.slotCost(u)
	if s.request.PromptTokens+s.request.OutputTokens > s.freeTokens(u) {
		cost += requestValue(s.request.PromptTokens) * lateLossShare
	}
	return cost
}

// slotCost is the loss of a request on an engine whose slots are taken, or will be when it
// arrives.
//
// Short requests are packed, so all entries see the same engine with one slot left, and several
// take it before they learn of each other. If the probability of this were ignored, first events
// at engines chosen with one slot left would be hundreds of milliseconds late.
func (s *search) slotCost(u *upstreamState) float64 {
	freeSlots := max(s.spec.Slots-u.streams, 0)
	if freeSlots >= len(s.takenProbability) {
		return 0
	}
	ready := s.prefillWait(u) + u.atPace(s.prefillTime)
	return s.takenProbability[freeSlots] * (fullCost + s.comparisonCost(ready+s.slotWait(u, max(u.streams, s.spec.Slots))) - s.comparisonCost(ready))
}

// minProbability is the probability below which the cost of a taken slot is ignored.
const minProbability = 0.005

// contendedEngines is the number of engines over which simultaneous choices of other entries
// spread: they look for the best engine too and find it among a few.
const contendedEngines = 2

// takenProbabilities appends, for each number of free slots, the probability that the choices
// of other entries take them all, as long as it is not negligible and up to all slots. The
// choices are independent, with the expected number per engine given, so they follow a Poisson
// distribution.
func takenProbabilities(probabilities []float64, expected float64, slots int) []float64 {
	taken, exactly := 1.0, math.Exp(-expected)
	for left := 1; left <= slots+1 && taken >= minProbability; left++ {
		probabilities = append(probabilities, taken)
		taken -= exactly
		exactly *= expected / float64(left)
	}
	return probabilities
}

// slotWait returns how long a request waits for a slot on an engine with the given number of
// current and future streams. It assumes that streams end evenly over the time that one takes.
func (s *search) slotWait(u *upstreamState, streams int) time.Duration {
	excess := streams - s.spec.Slots
	if excess < 0 || s.spec.Slots <= 0 {
		return 0
	}
	// If the service doesn't publish mean token counts, the others are assumed to be like this
	// request.
	answer, prompt := s.spec.MeanAnswerTokens, s.spec.MeanPromptTokens
	if answer <= 0 {
		answer, prompt = s.request.OutputTokens, s.request.PromptTokens
	}
	decodeTime := u.atPace(s.spec.Write(answer, s.spec.Slots, s.spec.Slots*prompt))
	return decodeTime * time.Duration(excess+1) / time.Duration(s.spec.Slots)
}

// fullCost is the cost of queueing at a full engine, in addition to that of the wait.
const fullCost = 0.3

// positionCost is the cost of the engine's position in the list: short requests are packed at
// the front, and long ones at the back. A short request that opens the engine also costs
// openingPenalty.
func (s *search) positionCost(u *upstreamState) float64 {
	if s.prefillTime >= splitThreshold {
		return costPerPosition * float64(len(s.candidates)-s.packingRank(u))
	}
	cost := costPerPosition * float64(s.packingRank(u))
	if s.opensEngine(u) {
		cost += s.openingPenalty
	}
	return cost
}

// opensEngine reports whether all streams of the engine, if any, tolerate longer pauses than
// this request. Long prompts can be prefilled there in larger parts than beside this request.
func (s *search) opensEngine(u *upstreamState) bool {
	return u.minGapTarget == 0 || u.minGapTarget > s.request.GapTarget
}

// maxOpeningCost is the value to long prompts of an engine without short streams, for the
// duration of one stream, when they need every engine: a few times the loss of a late short
// answer.
const maxOpeningCost = 2.0

// demandWindow is the averaging time of the prefill demand of long prompts: a few seconds,
// about as long as a short stream keeps them off an engine.
const demandWindow = 3 * time.Second

// openingCost returns the cost to long prompts of placing a short stream on an engine on which
// they can be prefilled freely now.
//
// Without it, in a surge each short prompt goes where its prefill ends a few hundredths of a
// second sooner; soon every engine decodes a short stream, and long prompts are refused because
// no engine's streams tolerate long pauses.
//
// A request for several engines at once seldom waits while many sets are free, even at a high
// utilisation, so the cost is maxOpeningCost times the utilisation raised to the number of free
// sets.
func (s *search) openingCost() float64 {
	free := 0
	for _, u := range s.candidates {
		if s.opensEngine(u) {
			free++
		}
	}
	if free == 0 {
		return 0
	}
	utilisation := s.fleet.prefillDemand.PerSecond(s.now, demandWindow) / float64(free)
	sets := float64(free) / float64(partCounts[len(partCounts)-1])
	return maxOpeningCost * math.Pow(min(utilisation, 1), max(sets, 1))
}

// urgency returns the upstream priority: the shorter the gap target, the more urgent.
func urgency(request *Request) int {
	switch {
	case request.GapTarget <= 300*time.Millisecond:
		return 0
	case request.GapTarget <= 800*time.Millisecond:
		return 3
	default:
		return 5
	}
}

// setDelayCost is the loss of the prompts that a set delays. The prefill of a prompt ends with
// its last part, so one that is delayed on several engines of the set counts once.
func (s *search) setDelayCost(parts int, part time.Duration) float64 {
	for _, o := range s.offers[:parts] {
		for _, l := range o.upstream.loads {
			if !l.placement.streaming {
				l.placement.trialPrefillDone = max(l.placement.trialPrefillDone, l.placement.prefillDone, l.prefillDone+o.upstream.atPace(part))
			}
		}
	}
	sum := 0.0
	for _, o := range s.offers[:parts] {
		for _, l := range o.upstream.loads {
			if l.placement.trialPrefillDone > 0 {
				sum += s.delayCost(l.placement, l.placement.trialPrefillDone)
				l.placement.trialPrefillDone = 0
			}
		}
	}
	return sum
}

// delayCost is the loss of a prompt if its prefill ends at the given time instead of the
// predicted one.
func (s *search) delayCost(pl *placement, done time.Duration) float64 {
	targetIn := pl.target.Sub(s.now)
	return requestValue(pl.promptTokens) * lateLossShare * (lateProbability(done, targetIn) - lateProbability(pl.prefillDone, targetIn))
}
