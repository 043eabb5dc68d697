package dispatch

import (
	"cmp"
	"slices"
	"time"

	"acaciacleat.example/core/decay"
	"acaciacleat.example/core/fairshare"
	"acaciacleat.example/core/ratelimit"
)

// slotQueue is the state of a service's queue for slots.
//
// Short prompts are placed on arrival while engines have free slots. When they run out, a short prompt
// that waits at one engine waits for a stream of that engine to end, which is long at times, and then
// keeps the slot although it is late. So in scarcity short prompts wait at their entries for the first
// slot that any engine frees, in an order that all entries share, and those that can't be in time are
// refused at once.
type slotQueue struct {
	// scarceUntil is the end of the scarcity, unless it is observed again.
	scarceUntil time.Time
	// freed is the decaying number of slots that were freed, and errors are those of the predictions,
	// by the share of slots that were taken.
	freed  decay.Sum
	errors [errorBuckets]predictionError
	// shares are the shares of organisations in the engines' time, and reportedAt is when they were last
	// reported to other entries.
	shares     *fairshare.Ledger
	reportedAt time.Time
}

const (
	// scarcityHold is how long scarcity lasts after it was last observed: so long that it doesn't
	// end between two streams.
	scarcityHold = time.Second
	// freedWindow is the averaging time of the rate at which slots are freed.
	freedWindow = time.Second
	// minObservedShare is the share of the predicted rate of freed slots from which the observed rate
	// is used. It is lower just after a start.
	minObservedShare = 0.25
	// returnShare is the share of freed slots that is offered to refused callers when they return.
	returnShare = 0.25
	// waitAgainShare is the share of its expected wait after which a request is considered again.
	waitAgainShare = 0.7
	// maxTicketStep bounds the step of tickets that an entry may cause.
	maxTicketStep = 1 << 20
	// maxSlotWait bounds the time to the target that another entry may state for a short prompt.
	maxSlotWait = time.Minute
)

// scarce reports whether the service's engines lack slots.
func (q *slotQueue) scarce(now time.Time) bool { return now.Before(q.scarceUntil) }

// slotQueue returns the queue for the slots of a service.
func (f *Fleet) slotQueue(service string) *slotQueue {
	q := f.slotQueues[service]
	if q == nil {
		q = &slotQueue{shares: fairshare.NewLedger()}
		f.slotQueues[service] = q
	}
	return q
}

// takesTurn reports whether the current request is a short prompt that may have to wait for a slot.
func (s *search) takesTurn() bool {
	return s.prefillTime < splitThreshold && s.pinned == nil && !s.limitedOnly && !s.request.Committed
}

// admitShort decides on a short prompt whose cheapest plan is best, and sets the plan's engine if the
// request may take a free slot in its turn.
func (s *search) admitShort(best *plan) admission {
	q := s.fleet.slotQueue(s.request.Service)
	if !q.scarce(s.now) {
		if best.primary == nil || s.inTime(best.primary) || !s.possible() || s.findFreeSlots() > 0 {
			return admission{firstEvent: s.firstEvent(best)}
		}
		q.scarceUntil = s.now.Add(scarcityHold)
	}
	return s.takeTurn(q, best)
}

// takeTurn decides on a short prompt in scarcity: it is placed, waits or is refused. While free slots are
// plentiful, also one that is late is placed.
func (s *search) takeTurn(q *slotQueue, best *plan) admission {
	own := s.selfSlotWaiter()
	free, ahead := s.findFreeSlots(), s.slotsAhead(own)
	if free <= ahead {
		q.scarceUntil = s.now.Add(scarcityHold)
	}
	plentiful := free > ahead+int(s.unseenChoices*enginesPerUnseen)
	if plentiful && best.primary != nil && best.primary.streams < s.spec.Slots && (s.inTime(best.primary) || !s.possible()) {
		return admission{firstEvent: s.firstEvent(best)}
	}
	settlesIn := propagationDelay - s.now.Sub(own.since)
	if ahead < free && s.possible() {
		if settlesIn > 0 {
			return admission{firstEvent: s.slotFirstEvent(), retryAfter: settlesIn}
		}
		if u := s.freeSlot(ahead); s.inTime(u) {
			best.primary = u
			return admission{firstEvent: s.firstEvent(best)}
		}
	}
	return s.awaitTurn(q, own, ahead, ahead-free+1)
}

// awaitTurn decides on a short prompt for which the given number of slots must be freed first: it waits,
// or is refused if it would be late.
func (s *search) awaitTurn(q *slotQueue, own *waiter, ahead, slots int) admission {
	wait, correction := s.slotTurn(q, slots), q.correction(s.now, s.spec.Slots-1, s.spec.Slots)
	asNext := s.slotFirstEvent() + correction
	if firstEvent := wait + asNext; firstEvent <= s.request.FirstEventTarget {
		settlesIn := propagationDelay - s.now.Sub(own.since)
		return admission{firstEvent: firstEvent, retryAfter: min(max(time.Duration(waitAgainShare*float64(wait)), settlesIn, sendLead), maxRetryAfter)}
	}
	scarcity := &Scarcity{Reason: s.refusalReason(own, asNext), Ahead: ahead, Wait: wait, Correction: correction, Rank: own.shareRank}
	s.fleet.scarcityRefused[scarcity.Reason]++
	return admission{firstEvent: wait + asNext, refused: true, clearTime: s.slotReturn(q), scarcity: scarcity}
}

// overShareRank is the rank from which an organisation counts as over its fair share.
const overShareRank = 3

// refusalReason returns why a request is refused that would get its first event after asNext if it were
// the next.
func (s *search) refusalReason(own *waiter, asNext time.Duration) ScarcityRefusal {
	switch {
	case asNext > s.request.FirstEventTarget:
		return NoSlotInTime
	case own.shareRank >= overShareRank:
		return OverShare
	default:
		return BehindOthers
	}
}

// possible reports whether the request would be in time on an idle engine.
func (s *search) possible() bool { return networkDelay+s.prefillTime <= s.request.FirstEventTarget }

// inTime reports whether an engine has a free slot, and memory, in which the request is predicted to be
// in time. The prediction isn't corrected: an error of some engines must not close the free slots of all.
func (s *search) inTime(u *upstreamState) bool {
	return u.streams < s.spec.Slots && s.request.PromptTokens+s.request.OutputTokens <= s.freeTokens(u) &&
		s.prefillWait(u)+u.atPace(s.prefillTime) <= s.request.FirstEventTarget
}

// findFreeSlots returns the number of free slots on engines that can soon prefill a short prompt. Their
// engines are then in s.shortlist, by position, those with parts to prefill or recent failures last: an
// engine that fails requests at once always has free slots. Neither depends on the request, so that all entries assign the
// same slots to the requests that wait.
func (s *search) findFreeSlots() (free int) {
	s.shortlist = s.shortlist[:0]
	for _, u := range s.candidates {
		if n := s.freeSlots(u); n > 0 && u.backlog <= splitThreshold && !u.overdue(s.now) && s.freeTokens(u) >= s.spec.MeanPromptTokens+s.spec.MeanAnswerTokens {
			free += n
			s.shortlist = append(s.shortlist, offer{upstream: u, cost: u.health.Penalty(s.now) + u.partBacklog.Seconds()})
		}
	}
	slices.SortStableFunc(s.shortlist, byCost)
	return free
}

// overdue reports whether a request on the engine should have been prefilled before its target, which has
// passed, and has no first event yet: the engine stalls, whatever is predicted.
func (u *upstreamState) overdue(now time.Time) bool {
	return slices.ContainsFunc(u.loads, func(l *load) bool {
		return !l.placement.streaming && l.remaining == 0 && now.After(l.placement.target)
	})
}

// ownSlotDelay is the time after which a slot that a stream of this entry frees counts as free. The
// other entries hear of it about then, so that all entries assign the same slots.
const ownSlotDelay = propagationDelay / 2

// freeSlots returns the number of free slots of an engine that all entries know of.
func (s *search) freeSlots(u *upstreamState) int {
	free := s.spec.Slots - u.streams
	if s.now.Sub(u.freedAt) < ownSlotDelay {
		free--
	}
	return max(free, 0)
}

// freeSlot returns the engine of a free slot by its index, so that requests that take their turns at
// the same time don't meet at one engine.
func (s *search) freeSlot(index int) *upstreamState {
	for _, o := range s.shortlist {
		if index -= s.freeSlots(o.upstream); index < 0 {
			return o.upstream
		}
	}
	return s.shortlist[len(s.shortlist)-1].upstream
}

// selfSlotWaiter returns the current request as a waiter for a slot.
func (s *search) selfSlotWaiter() *waiter {
	if own := s.fleet.waiters[s.request.QueueID]; own != nil {
		return own
	}
	own := &s.self
	*own = waiter{
		id: s.request.QueueID, service: TagOf(s.request.Service), ticket: s.fleet.lastTicket + 1, priority: s.request.Priority,
		prefillTime: s.prefillTime, target: s.now.Add(s.request.FirstEventTarget), since: s.now,
		shareRank: s.fleet.slotQueue(s.request.Service).shares.Rank(s.now, fairshare.TagOf(s.request.Organisation)),
	}
	if own.id == (PlacementID{}) {
		own.id = PlacementID{Origin: s.fleet.settings.Origin, Number: s.fleet.lastPlacementNumber + 1}
	}
	return own
}

// slotsAhead returns the number of waiting requests that take their turns before own. Those whose
// target has passed don't count: they are refused, or their entries don't answer.
func (s *search) slotsAhead(own *waiter) (ahead int) {
	for id, w := range s.fleet.waiters {
		if w.service == own.service && id != own.id && s.now.Before(w.target) && compareTurns(w, own) < 0 {
			ahead++
		}
	}
	return ahead
}

// compareTurns orders requests that wait for slots: by priority, then by how much of its fair
// share the organisation has got, then by arrival. Tickets are Lamport timestamps, so all entries that
// know both requests order them alike.
func compareTurns(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.shareRank, b.shareRank), cmp.Compare(a.ticket, b.ticket),
		cmp.Compare(a.id.Origin, b.id.Origin), cmp.Compare(a.id.Number, b.id.Number))
}

// slotTurn returns the expected wait for the given number of slots to be freed.
func (s *search) slotTurn(q *slotQueue, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	return time.Duration(float64(slots) / s.freedPerSecond(q) * float64(time.Second))
}

// freedPerSecond returns the rate at which the engines free slots, observed or, as long as too little
// is observed, predicted.
func (s *search) freedPerSecond(q *slotQueue) float64 {
	observed := q.freed.PerSecond(s.now, freedWindow)
	predicted := 0.0
	for _, u := range s.candidates {
		between := s.slotWait(u, s.spec.Slots)
		if between <= 0 {
			return max(observed, 1)
		}
		predicted += 1 / between.Seconds()
	}
	if observed < minObservedShare*predicted {
		return predicted
	}
	return observed
}

// slotFirstEvent returns the time from taking a freed slot to the first event.
func (s *search) slotFirstEvent() time.Duration {
	context := s.spec.MeanPromptTokens
	if context <= 0 {
		context = s.request.PromptTokens
	}
	others := s.spec.Slots - 1
	return networkDelay + s.spec.PassTime(others, others*context)*3/2 + s.prefillTime
}

// slotReturn returns when a refused request should come again.
func (s *search) slotReturn(q *slotQueue) time.Duration {
	return s.fleet.retryPace(s.now, s.request, ratelimit.Rate(returnShare*s.freedPerSecond(q)))
}

// correction returns the time to add to the predicted first event on an engine with the given number of
// streams, by what was observed.
func (q *slotQueue) correction(now time.Time, streams, slots int) time.Duration {
	return q.errors[errorBucket(streams, slots)].correction(now)
}

// recordPredictionError records by how much the first event of a short prompt missed its prediction.
func (f *Fleet) recordPredictionError(now time.Time, pl *placement) {
	if pl.predicted <= 0 || pl.placedAt.IsZero() || len(pl.loads) != 1 {
		return
	}
	u := pl.loads[0].upstream
	f.slotQueue(u.Service).errors[errorBucket(pl.streams, u.Slots)].add(now, now.Sub(pl.placedAt)-pl.predicted)
}
