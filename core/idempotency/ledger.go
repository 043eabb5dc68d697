package idempotency

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// ResultRef is the shell's kept answer to a finished call. The Ledger only holds it
// and lets go of it.
type ResultRef any

// Offer is an entry's request that a call be run.
type Offer struct {
	ID      call.ID
	Attempt call.Attempt
	// BoundTo is the only incarnation that may run the call; 0 means any, which is
	// allowed for repeatable calls only.
	BoundTo call.Incarnation
	// Stamp is the agent's own clock, as Ledger.Stamp gave it, that the entry had seen
	// last when it chose this agent for the call. Every later offer and cancellation
	// of the id to the same incarnation repeats that same stamp: with a fresh one, an
	// entry that was paused could revive an id that the agent has forgotten.
	Stamp time.Duration
	// Repeatable says that a later attempt may run the call again.
	Repeatable bool
}

// VerdictKind says what the agent must do with an offer.
type VerdictKind uint8

// The kinds of verdict.
const (
	// Run means that the id is new and now counts as queued. The shell must follow
	// with Began or Refuse.
	Run VerdictKind = iota
	// AttachRunning means that the id is queued or running: send its answer to this entry.
	AttachRunning
	// Replay means that the id finished and that its result is kept.
	Replay
	// Refused means that the offer must not run, for the reason in Code.
	Refused
)

// Verdict is the Ledger's answer to an offer.
type Verdict struct {
	Kind VerdictKind
	// Code says why an offer is refused.
	Code result.Code
	// Execution is what a refusal proves: NotRun only where the id has not run in this
	// incarnation and never will.
	Execution result.Execution
	// Result is the kept result of a Replay.
	Result ResultRef
}

// CancelRequest asks that a call not run.
type CancelRequest struct {
	ID      call.ID
	BoundTo call.Incarnation
	// Stamp is that of the id's offers; see Offer.
	Stamp time.Duration
}

// CancelAnswer says what a cancellation found.
type CancelAnswer struct {
	// Execution is NotRun when the id has not run and never will in this incarnation,
	// Ran when it runs or ran, and Unknown when the Ledger may have forgotten it.
	Execution result.Execution
	// Running means that the call runs now. The Ledger does not stop it: whether to
	// stop it is up to the caller, who knows if another entry waits for it.
	Running bool
	// Unqueued means that the id was queued; the shell must take it off its queue and
	// tell every entry that was attached to it that it is refused as tombstoned.
	Unqueued bool
}

// Ledger remembers which ids an agent has queued, run, refused or tombstoned in this
// incarnation. It is used by one goroutine at a time.
//
// Why forgetting is safe: all offers of an id to this incarnation carry one stamp s. A
// run begins at some time t with s <= t <= s+OfferAge, and the id is kept until
// t+Remember at least, which is at or after s+Remember. Later offers find s older than
// OfferAge and are refused whether or not the id is still known. All times are of the
// agent's one monotonic clock, so no two clocks are compared.
type Ledger struct {
	incarnation call.Incarnation
	limits      Limits
	epoch       time.Time
	started     bool
	// floor is the highest stamp at which an id was refused or cancelled with no room
	// to remember it. Unknown ids with stamps up to it are refused.
	floor       time.Duration
	records     records
	resultBytes int
}

// NewLedger returns an empty Ledger. Its stamps count from the first time that is
// passed to any of its methods.
func NewLedger(incarnation call.Incarnation, limits Limits) *Ledger {
	return &Ledger{
		incarnation: incarnation,
		limits:      limits.corrected(),
		floor:       -1,
		records:     newRecords(),
	}
}

// Stamp returns the agent's clock at now, for the messages that it sends to entries.
func (l *Ledger) Stamp(now time.Time) time.Duration {
	if !l.started {
		l.started = true
		l.epoch = now
	}
	return now.Sub(l.epoch)
}

// Offer decides about an offer. It costs no store access and, once the table has
// grown, no allocation.
func (l *Ledger) Offer(now time.Time, o Offer) Verdict {
	clock := l.Stamp(now)
	l.forget(clock)
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

// Began records that a queued call is about to be sent to the upstream. It returns
// false when the id is not queued, because a cancellation overtook it: the shell must
// then not run the call, which was already answered as not run.
func (l *Ledger) Began(id call.ID) bool {
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state != queued {
		return false
	}
	l.records.at(index).state = running
	return true
}

// Refuse tombstones a queued call that the agent's admission turned down. Without it,
// a second copy of the offer could still run here after the entry took the refusal as
// proof and went elsewhere. It returns false, and the shell must not report a refusal,
// when the call has already begun.
func (l *Ledger) Refuse(now time.Time, id call.ID) bool {
	clock := l.Stamp(now)
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state > tombstoned {
		return false
	}
	if l.records.at(index).state == queued {
		l.close(clock, index, tombstoned)
	}
	return true
}

// Finished records the end of a running call and keeps its result, of size bytes, for
// replays. A nil ref keeps none. Results beyond MaxResultBytes are dropped, oldest first.
func (l *Ledger) Finished(now time.Time, id call.ID, ref ResultRef, size int) {
	clock := l.Stamp(now)
	index, ok := l.records.find(id)
	if !ok || l.records.at(index).state != running {
		return
	}
	l.close(clock, index, finished)
	if ref == nil || size > l.limits.MaxResultBytes {
		return
	}
	l.resultBytes += size
	l.records.keep(index, ref, size)
	for l.resultBytes > l.limits.MaxResultBytes {
		l.resultBytes -= l.records.dropOldestResult()
	}
}

// Cancel makes sure that an id that has not begun never will, or reports that it has.
func (l *Ledger) Cancel(now time.Time, c CancelRequest) CancelAnswer {
	clock := l.Stamp(now)
	l.forget(clock)
	if c.BoundTo != l.incarnation {
		return CancelAnswer{Execution: result.Unknown}
	}
	index, ok := l.records.find(c.ID)
	if !ok {
		return l.cancelUnknown(clock, c)
	}
	switch l.records.at(index).state {
	case queued:
		l.close(clock, index, tombstoned)
		return CancelAnswer{Execution: result.NotRun, Unqueued: true}
	case tombstoned:
		return CancelAnswer{Execution: result.NotRun}
	case running:
		return CancelAnswer{Execution: result.Ran, Running: true}
	default:
		return CancelAnswer{Execution: result.Ran}
	}
}

// Len returns the number of ids kept.
func (l *Ledger) Len() int { return l.records.len() }

// ResultBytes returns the sum of the sizes of the results kept.
func (l *Ledger) ResultBytes() int { return l.resultBytes }

// cancelUnknown tombstones an id that has not been seen. Its offer may still be under
// way on another link and would otherwise run after the cancellation was confirmed.
func (l *Ledger) cancelUnknown(clock time.Duration, c CancelRequest) CancelAnswer {
	code, execution := l.checkStamp(clock, c.Stamp)
	if code != result.OK {
		// No offer with this stamp can be accepted any more: no tombstone is needed.
		return CancelAnswer{Execution: execution}
	}
	if l.records.len() >= l.limits.MaxIDs {
		l.floor = max(l.floor, c.Stamp)
		return CancelAnswer{Execution: result.NotRun}
	}
	index := l.records.add(c.ID, record{})
	l.close(clock, index, tombstoned)
	return CancelAnswer{Execution: result.NotRun}
}

// known decides about an offer of an id that is in the table.
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

// otherAttempt decides about a repeatable call that was here before. A later attempt
// carries another prompt (the first one and what was delivered since), so it must
// neither attach to the earlier attempt nor replay it; an earlier one comes too late.
func (l *Ledger) otherAttempt(index int32, o Offer) Verdict {
	r := l.records.at(index)
	if o.Attempt < r.attempt || r.state == queued || r.state == running {
		return refuse(result.StaleOffer, result.Unknown)
	}
	l.resultBytes -= l.records.remove(index)
	l.records.add(o.ID, record{attempt: o.Attempt, state: queued})
	return Verdict{Kind: Run}
}

// checkStamp refuses stamps older than OfferAge. An id that is not in the table has
// not run as long as a run under this stamp would still be remembered.
func (l *Ledger) checkStamp(clock, stamp time.Duration) (result.Code, result.Execution) {
	age := clock - stamp
	switch {
	case stamp < 0 || age < 0 || age > l.limits.Remember:
		return result.StaleOffer, result.Unknown
	case age > l.limits.OfferAge, stamp <= l.floor:
		return result.StaleOffer, result.NotRun
	default:
		return result.OK, ""
	}
}

// refuseFull refuses an offer that there is no room to remember. It raises the floor of
// stamps in place of a tombstone, so that a second copy of the offer can't run either.
func (l *Ledger) refuseFull(o Offer) Verdict {
	if o.BoundTo == 0 {
		// Such offers carry no stamp, so a second copy may run.
		return refuse(result.QueueFull, result.Unknown)
	}
	l.floor = max(l.floor, o.Stamp)
	return refuse(result.QueueFull, result.NotRun)
}

// close ends a live record and starts the time that it is remembered for.
func (l *Ledger) close(clock time.Duration, index int32, state state) {
	l.records.at(index).state = state
	l.records.expireAt(index, clock+l.limits.Remember)
}

func (l *Ledger) forget(clock time.Duration) {
	for l.records.oldestBefore(clock) {
		l.resultBytes -= l.records.removeOldest()
	}
}

func refuse(code result.Code, execution result.Execution) Verdict {
	return Verdict{Kind: Refused, Code: code, Execution: execution}
}
