package dispatch

import (
	"slices"
	"strconv"
	"time"

	"acaciacleat.example/core/enginemodel"
	"acaciacleat.example/core/fairshare"
)

// PlacementID identifies a placed or waiting request among all entries.
type PlacementID struct {
	Origin uint64
	Number uint64
}

// placement is a placed request.
type placement struct {
	id           PlacementID
	promptTokens int
	outputTokens int
	target       time.Time
	gapTarget    time.Duration
	// placedAt is when it was placed here; zero for requests of other entries.
	placedAt time.Time
	// predicted is the predicted time from placedAt to the first event, and streams the number of
	// streams on its engine then; set for short prompts that were placed here.
	predicted time.Duration
	streams   int
	streaming bool
	// firstEventAt is when its first event arrived; set if streaming.
	firstEventAt time.Time
	// expiresAt is when the placement is removed even if no end was reported.
	expiresAt time.Time
	loads     []*load
	// spec holds the published figures of its engines; nil for requests of other entries.
	spec *enginemodel.Spec
	// prefillDone is the predicted time until the end of its prefill, computed for the current
	// choice, and trialPrefillDone is the same if the set under evaluation is placed.
	prefillDone      time.Duration
	trialPrefillDone time.Duration
}

// load is the load of a placement on one upstream.
type load struct {
	placement *placement
	upstream  *upstreamState
	// helper is set if the upstream only prefills a part of the prompt.
	helper bool
	// work is its prefill time and remaining what is left of it, both at the published pace.
	work      time.Duration
	remaining time.Duration
	// memoryTokens is the number of tokens that it occupies.
	memoryTokens int
	// prefillDone and streamEnd are the predicted times until the ends of its prefill and of its
	// stream, streamEnd being zero if unknown; toDeadline is the time left to the deadline. They
	// are computed for the current choice.
	prefillDone time.Duration
	streamEnd   time.Duration
	toDeadline  time.Duration
}

// plan is a decision on where to place a request, or not to.
type plan struct {
	primary *upstreamState
	// helpers prefill parts of the prompt for primary; reservations are the tokens of the prompt
	// that each helper holds, in the same order, zero for none.
	helpers      []*upstreamState
	reservations []int
	// partTime is the prefill time of each part at the published pace.
	partTime time.Duration
	// engineTime is the engines' time for the request; zero if unknown.
	engineTime time.Duration
	urgency    int
	rationale  Explanation
	// rateLimited is set if the upstreams' rate limits don't allow the request in time, cooldown if all
	// upstreams have asked for a pause, and evacuated if all are in evacuated zones.
	rateLimited bool
	cooldown    bool
	evacuated   bool
	// refused is set if engines are too busy to serve the request in time.
	refused bool
	// retryAfter is how long the request should wait in the queue; zero to place it now.
	// headOfQueue is set if no waiting request goes before it.
	retryAfter  time.Duration
	headOfQueue bool
}

// reservedBy returns the tokens that helper i holds.
func (p *plan) reservedBy(i int) int {
	if i < len(p.reservations) {
		return p.reservations[i]
	}
	return 0
}

// reservedTokens returns the tokens that all helpers hold.
func (p *plan) reservedTokens() int {
	sum := 0
	for _, tokens := range p.reservations {
		sum += tokens
	}
	return sum
}

func (p *plan) choice(id PlacementID) Choice {
	choice := Choice{Upstream: p.primary.Upstream, Urgency: p.urgency, Explanation: p.rationale}
	for i, u := range p.helpers {
		helper := Helper{Upstream: u.Upstream, Tokens: p.reservedBy(i)}
		if helper.Tokens > 0 {
			helper.Reservation = id.reservationName()
		}
		choice.Helpers = append(choice.Helpers, helper)
	}
	return choice
}

// reservationName names the memory reserved for a placement; it is never reused.
func (id PlacementID) reservationName() string {
	return strconv.FormatUint(id.Origin, 36) + "-" + strconv.FormatUint(id.Number, 36)
}

// expiryMargin is added to the deadline of a request before its placement expires without a
// reported end.
const expiryMargin = time.Second

// commit records the placement of a request and publishes it to the other entries.
func (f *Fleet) commit(now time.Time, request *Request, p plan) *placement {
	pl := &placement{
		id:           f.placementID(request),
		placedAt:     now,
		promptTokens: request.PromptTokens,
		outputTokens: request.OutputTokens,
		target:       now.Add(request.FirstEventTarget),
		gapTarget:    request.GapTarget,
		expiresAt:    now.Add(request.TimeToDeadline + expiryMargin),
	}
	delete(f.waiters, pl.id)
	if p.engineTime > 0 {
		f.slotQueue(request.Service).shares.Grant(now, fairshare.TagOf(request.Organisation), p.engineTime)
	}
	if len(p.helpers) == 0 {
		pl.predicted, pl.streams = p.rationale.FirstEvent, p.primary.streams
	}
	p.primary.cooldown.Sent(now)
	f.place(now, pl, p)
	f.publish(pl.placedEvent(now))
	f.wakeWaiters()
	return pl
}

// placementID returns the ID for the placement of a request: the ID under which it has waited,
// or a new one.
func (f *Fleet) placementID(request *Request) PlacementID {
	if request.QueueID != (PlacementID{}) {
		return request.QueueID
	}
	f.lastPlacementNumber++
	return PlacementID{Origin: f.settings.Origin, Number: f.lastPlacementNumber}
}

// place adds the loads of a placement to its upstreams.
func (f *Fleet) place(now time.Time, pl *placement, p plan) {
	f.placements[pl.id] = pl
	if total := p.partTime * time.Duration(1+len(p.helpers)); total >= queueThreshold {
		f.prefillDemand.Add(now, total.Seconds(), demandWindow)
	}
	pl.loads = make([]*load, 0, 1+len(p.helpers))
	pl.addLoad(now, load{upstream: p.primary, remaining: p.partTime, memoryTokens: max(pl.promptTokens+pl.outputTokens-p.reservedTokens(), 0)})
	for i, u := range p.helpers {
		pl.addLoad(now, load{upstream: u, helper: true, remaining: p.partTime, memoryTokens: p.reservedBy(i)})
	}
}

func (pl *placement) addLoad(now time.Time, l load) {
	u := l.upstream
	u.advance(now)
	l.placement, l.work = pl, l.remaining
	pl.loads = append(pl.loads, &l)
	u.loads = append(u.loads, &l)
	u.backlog += l.remaining
	u.memoryTokens += l.memoryTokens
	if !l.helper {
		u.streams++
		u.contextTokens += pl.promptTokens
	}
}

// RecordFirstEvent records the first event of a placed request: its prefill is complete.
func (f *Fleet) RecordFirstEvent(now time.Time, id PlacementID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pl := f.placements[id]; pl != nil && !pl.streaming {
		f.recordPredictionError(now, pl)
	}
	if f.markStreaming(now, id) {
		f.publish(Event{Kind: FirstEvent, Number: id.Number})
	}
}

// markStreaming records that the prefill of a placement is complete; it reports whether that is
// new.
func (f *Fleet) markStreaming(now time.Time, id PlacementID) bool {
	pl := f.placements[id]
	if pl == nil || pl.streaming {
		return false
	}
	f.observeFirstEvent(now, pl)
	pl.streaming = true
	pl.firstEventAt = now
	for _, l := range pl.loads {
		l.upstream.advance(now)
		l.upstream.backlog -= l.remaining
		l.remaining = 0
	}
	f.wakeWaiters()
	return true
}

// RecordEnd records the end of a placed request at its upstream.
func (f *Fleet) RecordEnd(now time.Time, id PlacementID, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pl := f.placements[id]
	if pl == nil {
		return
	}
	f.recordOutcome(now, pl.loads[0].upstream, outcome, pl.placedAt)
	pl.loads[0].upstream.freedAt = now
	f.removePlacement(now, pl)
	f.publish(Event{Kind: Ended, Number: id.Number})
}

func (f *Fleet) removePlacement(now time.Time, pl *placement) {
	delete(f.placements, pl.id)
	if len(pl.loads) > 0 {
		f.slotQueue(pl.loads[0].upstream.Service).freed.Add(now, 1, freedWindow)
	}
	for _, l := range pl.loads {
		l.upstream.advance(now)
		l.upstream.removeLoad(l)
	}
	f.wakeWaiters()
}

func (u *upstreamState) removeLoad(l *load) {
	i := slices.Index(u.loads, l)
	if i < 0 {
		return
	}
	u.loads = slices.Delete(u.loads, i, i+1)
	u.backlog -= l.remaining
	u.memoryTokens -= l.memoryTokens
	if !l.helper {
		u.streams--
		u.contextTokens -= l.placement.promptTokens
	}
}

// utilisationWindow is the averaging time of prefillUtilisation: several passes, so that one
// long part has little weight.
const utilisationWindow = time.Second

// advance advances the modelled prefill work on an upstream to now.
func (u *upstreamState) advance(now time.Time) {
	spent := now.Sub(u.modelledUntil)
	u.modelledUntil = now
	if spent <= 0 {
		return
	}
	before := u.backlog
	u.advancePrefill(u.workIn(spent))
	weight := spent.Seconds() / (spent + utilisationWindow).Seconds()
	u.prefillUtilisation += weight * (u.atPace(before-u.backlog).Seconds()/spent.Seconds() - u.prefillUtilisation)
	u.refreshPace(now)
}

// advancePrefill advances the loads in the order in which engines prefill: parts of long
// prompts first, newest first, then the other prompts in order of arrival.
func (u *upstreamState) advancePrefill(spent time.Duration) {
	if u.backlog == 0 {
		return
	}
	for i := len(u.loads) - 1; i >= 0 && spent > 0; i-- {
		if l := u.loads[i]; l.isPart() {
			spent = u.advanceLoad(l, spent)
		}
	}
	for _, l := range u.loads {
		if spent > 0 && !l.isPart() {
			spent = u.advanceLoad(l, spent)
		}
	}
}

// advanceLoad advances one load and returns the time that is left.
func (u *upstreamState) advanceLoad(l *load, spent time.Duration) time.Duration {
	step := min(l.remaining, spent)
	l.remaining -= step
	u.backlog -= step
	return spent - step
}

// predictPrefill predicts the time until the prefill of each load on an upstream is complete. It
// also computes partBacklog and minGapTarget.
func (u *upstreamState) predictPrefill() {
	var sum time.Duration
	for i := len(u.loads) - 1; i >= 0; i-- {
		if l := u.loads[i]; l.isPart() {
			sum += u.atPace(l.remaining)
			l.prefillDone = sum
		}
	}
	u.partBacklog = sum
	u.minGapTarget = 0
	for _, l := range u.loads {
		if !l.isPart() {
			sum += u.atPace(l.remaining)
			l.prefillDone = sum
		}
	}
	for _, l := range u.loads {
		l.placement.prefillDone = max(l.placement.prefillDone, l.prefillDone)
		if !l.helper && (u.minGapTarget == 0 || l.placement.gapTarget < u.minGapTarget) {
			u.minGapTarget = l.placement.gapTarget
		}
	}
}

// isPart reports whether the load is a part of a prompt that several engines prefill. Engines
// prefill parts before other loads.
func (l *load) isPart() bool { return len(l.placement.loads) > 1 }

// RemoveExpired removes the placements and waiters that have expired because their entries
// didn't report an end, and the upstreams whose registration has lapsed.
func (f *Fleet) RemoveExpired(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pl := range f.placements {
		if now.After(pl.expiresAt) {
			f.removePlacement(now, pl)
		}
	}
	for id, w := range f.waiters {
		if now.After(w.expiresAt) {
			delete(f.waiters, id)
		}
	}
	f.expireLapsed(now)
	f.expireStatements(now)
	f.endColdTimes(now)
	f.rebuildIndex()
}
