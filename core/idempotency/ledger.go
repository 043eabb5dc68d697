package idempotency

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// ResultRef is a reference to the stored answer of a finished call. The Ledger only
// stores and drops it.
type ResultRef any

// Offer is an entry's request that a call be run.
type Offer struct {
	ID      call.ID
	Attempt call.Attempt
	// BoundTo is the only incarnation that may run the call; 0 means any incarnation,
	// which is allowed for repeatable calls only.
	BoundTo call.Incarnation
	// Stamp is the latest reading of the agent's clock, from Ledger.Stamp, that the entry
	// knew when it chose this agent for the call. Every later offer and cancellation of
	// the id to the same incarnation repeats that stamp. With a newer one, an entry that
	// was paused could run an id again after the agent evicted it.
	Stamp time.Duration
	// Repeatable says that a later attempt may run the call again.
	Repeatable bool
}

// VerdictKind is the kind of a Verdict, which tells the agent how to handle an offer.
type VerdictKind uint8

const (
	// Run means that the id is new and is now queued. The agent must call Begin or Refuse
	// for it.
	Run VerdictKind = iota
	// AttachRunning means that the id is queued or running: the agent sends its answer to
	// this entry too.
	AttachRunning
	// Replay means that the id finished and that its result is stored.
	Replay
	// Refused means that the offer must not run, for the reason in Code.
	Refused
)

// Verdict is the Ledger's decision on an offer.
type Verdict struct {
	Kind VerdictKind
	// Code says why an offer is refused.
	Code result.Code
	// Execution is what a refusal proves: NotRun only if the id has not run in this
	// incarnation and never will.
	Execution result.Execution
	// Result is the stored result of a Replay.
	Result ResultRef
}

// CancelRequest is an entry's request to cancel a call.
type CancelRequest struct {
	ID      call.ID
	BoundTo call.Incarnation
	// Stamp is the stamp of the id's offers; see Offer.
	Stamp time.Duration
}

// CancelAnswer is the result of a cancellation.
type CancelAnswer struct {
	// Execution is NotRun if the id has not run and never will in this incarnation, Ran
	// if it is running or has run, and Unknown if the Ledger may have evicted it.
	Execution result.Execution
	// Running means that the call is running. The Ledger does not stop it, because only the
	// agent knows whether another entry waits for the answer.
	Running bool
	// Dequeued means that the id was queued. The agent must remove it from its queue and
	// refuse it as tombstoned to every entry that was attached to it.
	Dequeued bool
}

// Ledger records which ids an agent has queued, run, refused or tombstoned in this
// incarnation. It is not safe for concurrent use.
//
// Evicting an id is safe because all offers of the id to this incarnation carry one stamp
// s. A run begins at some time t with s <= t <= s+OfferAge, and the id is kept at least
// until t+Retention, which is at or after s+Retention. For a later offer, s is older than
// OfferAge, and the offer is refused whether or not the id is still recorded. All times
// are readings of the agent's own monotonic clock, so clocks are never compared.
type Ledger struct {
	incarnation call.Incarnation
	limits      Limits
	epoch       time.Time
	started     bool
	// refusedUpTo is the highest stamp of an id that was refused or cancelled while the
	// table was full. Ids that are not recorded are refused if their stamp is not higher.
	refusedUpTo time.Duration
	records     records
	resultBytes int
}

// NewLedger returns an empty Ledger. Its stamps are relative to the first time that is
// passed to any of its methods.
func NewLedger(incarnation call.Incarnation, limits Limits) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		limits:      limits.normalized(),
		refusedUpTo: -1,
		records:     newRecords(),
	}
}

// Stamp returns the reading of the agent's clock at now, which the agent includes in its
// messages to entries.
func (l *Ledger) Stamp(now time.Time) time.Duration {
	if !l.started {
		l.started = true
		l.epoch = now
	}
	return now.Sub(l.epoch)
}

// Offer decides how to handle an offer. It accesses no store and, once the table has
// grown to its steady size, does not allocate.
func (l *Ledger) Offer(now time.Time, o Offer) Verdict {
	clock := l.Stamp(now)
	l.evictExpired(clock)
	if o.BoundTo != l.incarnation && (o.BoundTo != 0 || !o.Repeatable) {
		// The incarnation that the offer is bound to may have run it.
		return refuse(result.WrongIncarnation, result.Unknown)
	}
	if index, ok := l.records.find(o.ID); ok {
		return l.known(index, o)
	}
	if o.BoundTo != 0 {
		if code, execution := l.checkStamp(clock, o.Stamp); code != result.OK {
			return refuse(code, execution)
		}
	}
	if l.records.len() >= l.limits.MaxIDs {
		return l.refuseFull(o)
	}
	l.records.add(o.ID, record{attempt: o.Attempt, state: queued})
	return Verdict{Kind: Run}
}

// Begin records that a queued call is about to be sent to the upstream. It returns false
// if the id is no longer queued because it was cancelled first. The agent must then not
// run the call, which was already reported as not run.
func (l *Ledger) Begin(id call.ID) bool {
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state != queued {
		return false
	}
	l.records.at(index).state = running
	return true
}

// Refuse tombstones a queued call that the agent's admission refused. Without the
// tombstone, a duplicate of the offer could still run here after the entry relied on the
// refusal and tried another agent. Refuse returns false if the call has already begun, in
// which case the agent must not report a refusal.
func (l *Ledger) Refuse(now time.Time, id call.ID) bool {
	clock := l.Stamp(now)
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state > tombstoned {
		return false
	}
	if l.records.at(index).state == queued {
		l.endRecord(clock, index, tombstoned)
	}
	return true
}

// Finish records the end of a running call and stores its result, of size bytes, for
// replays. A nil ref stores no result. When the results exceed MaxResultBytes, the oldest
// are dropped.
func (l *Ledger) Finish(now time.Time, id call.ID, ref ResultRef, size int) {
	clock := l.Stamp(now)
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state != running {
		return
	}
	l.endRecord(clock, index, finished)
	if ref == nil || size > l.limits.MaxResultBytes {
		return
	}
	l.resultBytes += size
	l.records.setResult(index, ref, size)
	for l.resultBytes > l.limits.MaxResultBytes {
		l.resultBytes -= l.records.dropOldestResult()
	}
}

// Cancel ensures that an id that has not begun never will, or reports that it has begun.
func (l *Ledger) Cancel(now time.Time, c CancelRequest) CancelAnswer {
	clock := l.Stamp(now)
	l.evictExpired(clock)
	if c.BoundTo != l.incarnation {
		return CancelAnswer{Execution: result.Unknown}
	}
	index, ok := l.records.find(c.ID)
	if !ok {
		return l.cancelUnknown(clock, c)
	}
	switch l.records.at(index).state {
	case queued:
		l.endRecord(clock, index, tombstoned)
		return CancelAnswer{Execution: result.NotRun, Dequeued: true}
	case tombstoned:
		return CancelAnswer{Execution: result.NotRun}
	case running:
		return CancelAnswer{Execution: result.Ran, Running: true}
	default:
		return CancelAnswer{Execution: result.Ran}
	}
}

// Len returns the number of recorded ids.
func (l *Ledger) Len() int { return l.records.len() }

// ResultBytes returns the total size of the stored results.
func (l *Ledger) ResultBytes() int { return l.resultBytes }

// cancelUnknown tombstones an id that is not recorded. Otherwise its offer, which may be
// in transit on another link, would run after the cancellation was confirmed.
func (l *Ledger) cancelUnknown(clock time.Duration, c CancelRequest) CancelAnswer {
	code, execution := l.checkStamp(clock, c.Stamp)
	if code != result.OK {
		// No offer with this stamp can be accepted any more, so no tombstone is needed.
		return CancelAnswer{Execution: execution}
	}
	if l.records.len() >= l.limits.MaxIDs {
		l.refusedUpTo = max(l.refusedUpTo, c.Stamp)
		return CancelAnswer{Execution: result.NotRun}
	}
	index := l.records.add(c.ID, record{})
	l.endRecord(clock, index, tombstoned)
	return CancelAnswer{Execution: result.NotRun}
}

// known decides how to handle an offer of an id that is recorded.
func (l *Ledger) known(index int32, o Offer) Verdict {
	r := l.records.at(index)
	if o.Repeatable && o.Attempt != r.attempt {
		return l.otherAttempt(index, o)
	}
	switch {
	case r.state == tombstoned:
		return refuse(result.Tombstoned, result.NotRun)
	case r.state == queued, r.state == running:
		return Verdict{Kind: AttachRunning}
	case r.result != nil:
		return Verdict{Kind: Replay, Result: r.result}
	default:
		return refuse(result.FirstRunLost, result.Ran)
	}
}

// otherAttempt decides how to handle another attempt of a recorded repeatable call. A later
// attempt has another prompt (the original one and what was delivered since), so it must
// neither attach to the earlier attempt nor replay it. A later attempt is refused while the
// recorded one is queued or running; an earlier attempt is always refused.
func (l *Ledger) otherAttempt(index int32, o Offer) Verdict {
	r := l.records.at(index)
	if o.Attempt < r.attempt || r.state == queued || r.state == running {
		return refuse(result.StaleOffer, result.Unknown)
	}
	l.resultBytes -= l.records.remove(index)
	l.records.add(o.ID, record{attempt: o.Attempt, state: queued})
	return Verdict{Kind: Run}
}

// checkStamp refuses stamps that are older than OfferAge, not above refusedUpTo, negative
// or in the future. If the stamp's age is within 0 and Retention, an id that is not
// recorded is proved not to have run, because a run under this stamp would still be
// recorded.
func (l *Ledger) checkStamp(clock, stamp time.Duration) (result.Code, result.Execution) {
	age := clock - stamp
	switch {
	case stamp < 0 || age < 0 || age > l.limits.Retention:
		return result.StaleOffer, result.Unknown
	case age > l.limits.OfferAge, stamp <= l.refusedUpTo:
		return result.StaleOffer, result.NotRun
	default:
		return result.OK, ""
	}
}

// refuseFull refuses an offer for which the table has no room. It raises refusedUpTo in
// place of a tombstone, so that a duplicate of the offer cannot run either.
func (l *Ledger) refuseFull(o Offer) Verdict {
	if o.BoundTo == 0 {
		// Such offers carry no stamp, so a duplicate may run.
		return refuse(result.QueueFull, result.Unknown)
	}
	l.refusedUpTo = max(l.refusedUpTo, o.Stamp)
	return refuse(result.QueueFull, result.NotRun)
}

// endRecord marks a queued or running record as ended and starts its retention time.
func (l *Ledger) endRecord(clock time.Duration, index int32, state state) {
	l.records.at(index).state = state
	l.records.expireAt(index, clock+l.limits.Retention)
}

func (l *Ledger) evictExpired(clock time.Duration) {
	for l.records.hasExpired(clock) {
		l.resultBytes -= l.records.removeOldest()
	}
}

func refuse(code result.Code, execution result.Execution) Verdict {
	return Verdict{Kind: Refused, Code: code, Execution: execution}
}
