package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request in the queue.
//
// Long prompts wait in a queue, because engines prefill the newest part first. A prompt sent to
// several engines while they prefill others delays those, and is itself delayed by later ones:
// in a burst, a prompt with a third of a second of prefill took four seconds. A prompt held at
// its entry until engines are free delays nothing, and can still be placed on the engines that
// become free first.
//
// All entries know the queues of the others and order them alike, see queueAheadOf.
type waiter struct {
	id PlacementID
	// priority is set by the operator. If a request must be deferred, the highest value is
	// deferred first.
	priority int
	// prefillTime is that of its whole prompt on one engine.
	prefillTime time.Duration
	target      time.Time
	// expiresAt is when the waiter is removed even if no end was reported.
	expiresAt time.Time
	// service is the tag of the service for whose slots a short prompt waits; zero for a long prompt.
	// ticket is its place in the order of turns, and since when it began to wait, or is known here.
	service Tag
	ticket  int
	since   time.Time
	// shareRank is the rank of the organisation when the request began to wait, see fairshare.Ledger.
	shareRank int
	// blockedSince is the time since which only the requests ahead of it have kept it from being
	// placed; zero if that is not the case.
	blockedSince time.Time
}

func (w *waiter) waitingEvent(now time.Time) Event {
	kind := Waiting
	if w.service != 0 {
		kind = WaitingForSlot
	}
	return Event{
		Kind:   kind,
		First:  w.service,
		Prompt: w.ticket,
		Output: w.shareRank,
		Number: w.id.Number,
		Rank:   w.priority,
		PartMs: w.prefillTime.Milliseconds(),
		AimMs:  w.target.Sub(now).Milliseconds(),
		LeftMs: (w.expiresAt.Sub(now) - expiryMargin).Milliseconds(),
	}
}

// queueAhead describes the waiting requests ahead of a request.
type queueAhead struct {
	// count is their number, and prefillTime the sum of their prefill times.
	count       int
	prefillTime time.Duration
	// late is set if the request is one of those that queueAheadOf defers.
	late bool
}

// queueAheadOf returns what is ahead of a request in the queue, given the engines' backlog and
// the number of engines that prefill in parallel.
//
// If all requests can meet their targets, they go in the order of their targets. Where one would
// miss its target, one of the requests up to it is deferred: the longest of those with the
// highest priority value. Among requests of equal priority this keeps the number of late ones
// least (Moore, 1968). Deferred requests follow the others, shortest first.
func (f *Fleet) queueAheadOf(now time.Time, own *waiter, backlog time.Duration, engines int) queueAhead {
	f.byTarget = append(f.byTarget[:0], own)
	for id, w := range f.waiters {
		if id != own.id && w.service == 0 {
			f.byTarget = append(f.byTarget, w)
		}
	}
	slices.SortFunc(f.byTarget, func(a, b *waiter) int {
		return cmp.Or(a.target.Compare(b.target), cmp.Compare(a.id.Origin, b.id.Origin), cmp.Compare(a.id.Number, b.id.Number))
	})
	f.onTime = f.onTime[:0]
	var q queueAhead
	sum := backlog
	for _, w := range f.byTarget {
		f.onTime = append(f.onTime, w)
		sum += w.prefillTime
		if now.Add(sum / time.Duration(engines)).After(w.target) {
			longest := 0
			for i, other := range f.onTime {
				if cmp.Or(cmp.Compare(other.priority, f.onTime[longest].priority), cmp.Compare(other.prefillTime, f.onTime[longest].prefillTime)) > 0 {
					longest = i
				}
			}
			q.late = q.late || f.onTime[longest] == own
			sum -= f.onTime[longest].prefillTime
			f.onTime = slices.Delete(f.onTime, longest, longest+1)
		}
	}
	if q.late {
		for _, w := range f.byTarget {
			if slices.Contains(f.onTime, w) || w.prefillTime < own.prefillTime {
				q.add(w)
			}
		}
		return q
	}
	for _, w := range f.onTime {
		if w == own {
			break
		}
		q.add(w)
	}
	return q
}

func (q *queueAhead) add(w *waiter) {
	q.count++
	q.prefillTime += w.prefillTime
}

// largestSet returns the size of the largest set that n engines allow.
func largestSet(n int) int { return max(min(n, partCounts[len(partCounts)-1]), 1) }

// enqueue adds a request to the queue and tells the other entries, once.
func (f *Fleet) enqueue(now time.Time, request *Request) PlacementID {
	if _, known := f.waiters[request.QueueID]; known {
		return request.QueueID
	}
	w := &waiter{}
	*w = f.search.self // Set for this request by makePlan.
	w.id, w.expiresAt = f.placementID(request), now.Add(request.TimeToDeadline+expiryMargin)
	f.waiters[w.id] = w
	f.lastTicket = max(f.lastTicket, w.ticket)
	f.publish(w.waitingEvent(now))
	return w.id
}

// retryFor returns when a waiting request should call Choose again. Only the head of the queue
// is woken by each change; waking all of a long queue would waste processor time.
func (f *Fleet) retryFor(p plan) Retry {
	retry := Retry{After: p.retryAfter}
	if p.headOfQueue {
		retry.Changed = f.queueChanged
	}
	return retry
}

// Withdraw removes an abandoned request from the queue.
func (f *Fleet) Withdraw(id PlacementID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdraw(id)
}

func (f *Fleet) withdraw(id PlacementID) {
	if f.removeWaiter(id) {
		f.publish(Event{Kind: Ended, Number: id.Number})
	}
}

// removeWaiter removes a waiter; it reports whether there was one.
func (f *Fleet) removeWaiter(id PlacementID) bool {
	if _, known := f.waiters[id]; !known {
		return false
	}
	delete(f.waiters, id)
	f.wakeWaiters()
	return true
}

// wakeWaiters wakes the requests that wait at this entry, because one may be placed now.
func (f *Fleet) wakeWaiters() {
	if len(f.waiters) == 0 {
		return
	}
	close(f.queueChanged)
	f.queueChanged = make(chan struct{})
}

const (
	// queueThreshold is the prefill time on one engine from which a prompt waits in the queue.
	// A shorter one, split over several engines, delays others by a few hundredths of a second.
	queueThreshold = time.Second
	// sendLead is the network delay to the engines. An engine counts as idle this long before it
	// becomes free, so that the next part arrives when it becomes free. It is also the least
	// time until a waiting prompt is considered again.
	sendLead = 4 * time.Millisecond
	// maxRetryAfter bounds the time until a waiting prompt is considered again.
	maxRetryAfter = 100 * time.Millisecond
)

// selfWaiter returns the current request as a waiter.
func (s *search) selfWaiter() *waiter {
	own := &s.self
	*own = waiter{id: s.request.QueueID, priority: s.request.Priority, prefillTime: s.prefillTime, target: s.now.Add(s.request.FirstEventTarget)}
	if own.id == (PlacementID{}) {
		own.id = PlacementID{Origin: s.fleet.settings.Origin, Number: s.fleet.lastPlacementNumber + 1}
	}
	return own
}

// queueable reports whether the current request may have to wait in the queue.
func (s *search) queueable() bool {
	return s.prefillTime >= queueThreshold && !s.request.Committed && !s.limitedOnly
}

// idle reports whether an engine has almost no parts of other prompts to prefill, so that a new
// part delays nothing.
func (u *upstreamState) idle() bool { return u.partBacklog <= sendLead }

// admission is the decision on a long prompt: place it now, wait or refuse.
type admission struct {
	// retryAfter is how long it should wait; zero to place it now.
	retryAfter time.Duration
	// headOfQueue is set if no waiting request goes before it.
	headOfQueue bool
	// firstEvent is when its first event is expected.
	firstEvent time.Duration
	// refused is set if the request is deferred (see queueAhead.late) and can't be placed now
	// because requests are ahead of it, no engine can take it, or fewer than half of the usable
	// engines are idle. The caller should retry later.
	refused bool
	// clearTime is when a refused short prompt should come again.
	clearTime time.Duration
	scarcity  *Scarcity
}

// asHead returns the decision for a request at the head of the queue.
func (a admission) asHead() admission {
	a.headOfQueue = true
	return a
}

// admit decides whether the request takes the plan, with its first event expected after
// firstEvent, waits in the queue or is refused.
func (s *search) admit(best *plan, firstEvent time.Duration) admission {
	if !s.queueable() {
		return admission{firstEvent: firstEvent}
	}
	start, finish := s.earliestSet()
	finish = max(finish, (s.partBacklog+s.queueAhead.prefillTime+s.prefillTime)/time.Duration(len(s.candidates)))
	wait := admission{retryAfter: min(max(start, s.queueAhead.prefillTime/time.Duration(len(s.candidates)), sendLead), maxRetryAfter), firstEvent: finish}
	othersCost := max(s.leastCost-s.comparisonCost(firstEvent), 0)
	if s.bypassesHead(best) { // The requests ahead are ignored from here on.
		s.queueAhead.count = 0
	}
	switch {
	case s.queueAhead.late && (s.queueAhead.count > 0 || best.primary == nil || s.idle*2 < s.usable):
		return admission{firstEvent: finish, refused: true}
	case s.queueAhead.count > 0:
		return wait
	case best.primary == nil:
		return wait.asHead()
	case s.queueAhead.late && othersCost > s.expectedValue(firstEvent):
		return wait.asHead()
	case !s.queueAhead.late && othersCost+s.expectedLoss(firstEvent) > s.acceptableCost():
		return wait.asHead()
	default:
		return admission{firstEvent: firstEvent}
	}
}

// headTimeout is how long at least half of the usable engines are idle before the waiting
// requests bypass the head of the queue: several times the propagation delay between entries, and
// a small part of the targets of waiting requests.
const headTimeout = 150 * time.Millisecond

// bypassesHead reports whether the request may be placed in spite of the requests ahead of it,
// because only these have kept it from being placed for headTimeout, while at least half of the
// usable engines were idle. It records in blockedSince when that began. Without the bypass, a
// request of a frozen or partitioned entry would stay at the head of the queue until it expires,
// and no long prompt would be prefilled in the meantime.
func (s *search) bypassesHead(best *plan) bool {
	own := s.fleet.waiters[s.request.QueueID]
	if own == nil || s.queueAhead.count == 0 || best.primary == nil || s.idle*2 < s.usable {
		if own != nil {
			own.blockedSince = time.Time{}
		}
		return false
	}
	if own.blockedSince.IsZero() {
		own.blockedSince = s.now
	}
	return s.now.Sub(own.blockedSince) > headTimeout
}

// negligibleCost is the cost, in request value, up to which a prompt is placed at once instead of
// waiting, however much time it has left.
const negligibleCost = 0.5

// acceptableCost is the highest cost, in request value and with its own expected loss, at which a
// request that can still be in time is placed now. It rises as the time left shrinks, up to
// negligibleCost plus the loss from being late.
func (s *search) acceptableCost() float64 {
	need := s.prefillTime / time.Duration(largestSet(len(s.candidates)))
	timePressure := min(need.Seconds()/max(s.request.FirstEventTarget.Seconds(), need.Seconds()), 1)
	return negligibleCost + timePressure*lateLossShare*requestValue(s.request.PromptTokens)
}

// expectedValue is the value of the request if its first event comes after firstEvent.
func (s *search) expectedValue(firstEvent time.Duration) float64 {
	return requestValue(s.request.PromptTokens) - s.expectedLoss(firstEvent)
}

// countEngines counts the engines whose streams tolerate the pause from a part of the prompt,
// and the idle ones among them.
func (s *search) countEngines() {
	s.usable, s.idle, s.effective = 0, 0, 0
	for _, u := range s.candidates {
		if !s.toleratesPart(u) {
			continue
		}
		s.usable++
		s.effective += 1 / u.paceFactor()
		if u.idle() {
			s.idle++
		}
	}
	s.usable = max(s.usable, 1)
}

// toleratesPart reports whether the streams of an engine tolerate the pause from the smallest
// part of the prompt.
func (s *search) toleratesPart(u *upstreamState) bool {
	return u.streams == 0 || u.atPace(s.smallestPart()) <= u.minGapTarget-s.passTime(u)
}

// patienceShare is the share of the caller's patience, or of the time to the deadline if that is
// shorter, within which the first event must be expected.
const patienceShare = 0.9

// outlastsCaller reports whether the caller is likely to have left, or the deadline to have
// passed, before the first event.
func (s *search) outlastsCaller(firstEvent time.Duration) bool {
	patience := s.request.TimeToDeadline
	if s.request.Patience > 0 {
		patience = min(patience, s.request.Patience)
	}
	return firstEvent.Seconds() > patienceShare*patience.Seconds()
}

// earliestSet returns the start and end of the prefill on the set that finishes first, if the
// prompt waits until its engines are idle.
func (s *search) earliestSet() (start, finish time.Duration) {
	s.freeTimes = s.freeTimes[:0] // NewFleet gives it the capacity of the largest set.
	for _, u := range s.candidates {
		part := s.smallestPart()
		s.freeTimes = insertLeast(s.freeTimes, u.partBacklog+u.atPace(part)-part, cap(s.freeTimes), cmp.Compare)
	}
	for _, parts := range partCounts {
		if parts > len(s.freeTimes) {
			break
		}
		begin := s.freeTimes[parts-1]
		if end := begin + networkDelay + s.prefillTime/time.Duration(parts); finish == 0 || end < finish {
			start, finish = begin, end
		}
	}
	return start, finish
}

// clearTime returns the time until the engines have prefilled all placed parts of long prompts
// and all waiting prompts.
func (s *search) clearTime() time.Duration {
	sum := s.partBacklog
	for _, w := range s.fleet.waiters {
		if w.service != 0 {
			continue
		}
		sum += w.prefillTime
	}
	return sum / time.Duration(len(s.candidates))
}
