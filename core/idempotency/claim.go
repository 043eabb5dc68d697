package idempotency

import (
	"strconv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// ClaimKind says what the shell must do next for a keyed call.
type ClaimKind uint8

// The kinds of action.
const (
	// ClaimNone means that there is nothing to do until the next event.
	ClaimNone ClaimKind = iota
	// InsertRow means: commit Row on condition that it is absent, with Token.
	InsertRow
	// RebindRow means: commit Row on condition that its version is Version, with Token.
	RebindRow
	// ReadRow means: read the row as last committed.
	ReadRow
	// OfferBound means that this try has bound the key: offer the call under ID to
	// the agent incarnation in Binding.
	OfferBound
	// AttachBound means that another try has bound the key: make the same offer that
	// it makes, so that the agent attaches this try to the run, replays its result, or
	// starts it if the other try died before it offered the call.
	AttachBound
	// ChooseAgain means that the bound agent has provably not run the call: choose
	// another and call Rebind, or give up with NotRun.
	ChooseAgain
	// ClaimFailed is final: answer the caller with Err.
	ClaimFailed
)

// ClaimAction is one instruction to the shell.
type ClaimAction struct {
	Kind ClaimKind
	// Op numbers the store operation; the event that reports its end names it.
	Op uint32
	// Delay is how long to wait before the store operation.
	Delay   time.Duration
	Row     Row
	Version uint64
	Token   string
	ID      call.ID
	Binding Binding
	Err     *result.Error
}

// StoreFailure says how a store operation failed.
type StoreFailure uint8

// The failures.
const (
	// StoreConflict means that the condition did not hold; nothing was written.
	StoreConflict StoreFailure = iota
	// StoreUnavailable means that it is proved that nothing was written.
	StoreUnavailable
	// StoreLost means that the answer was lost: the write may have taken effect, or
	// may still do so.
	StoreLost
)

// DefaultRowLifetime is how long a key is held. It covers a working day, after which a
// tablet that was out of reach has sent what it had queued.
const DefaultRowLifetime = 24 * time.Hour

// How a Claim keeps asking a store that does not answer.
const (
	// settleTries bounds the operations spent on one unsettled write or read. With
	// doubling delays, eight of them take 6 s.
	settleTries = 8
	// settleDelay is the delay before the second of them.
	settleDelay = 50 * time.Millisecond
)

// ClaimSpec describes one try of a keyed call.
type ClaimSpec struct {
	// ID is the request id of this try.
	ID      call.ID
	Request RequestHash
	// Token is the base of this try's client tokens; no two tries share one.
	Token    string
	Deadline time.Time
	// Lifetime is how long the row is kept; 0 means DefaultRowLifetime.
	Lifetime time.Duration
}

// claimStep is what a Claim waits for.
type claimStep uint8

const (
	claimIdle claimStep = iota
	claimWriting
	claimReading
	// claimBound means that the offer is out of the Claim's hands until it is refused.
	claimBound
	// claimRefused waits for Rebind.
	claimRefused
	claimDone
)

// Claim binds one try of a keyed call to an agent incarnation, by one row in the table
// service. Whatever becomes of the tries of a key, its row names at most one binding at
// a time, and it is changed only after the bound agent has proved that the call did not
// run there and never will.
//
// NotRun in a failure speaks of this try: its id did not run, nor did the run that it
// attached to. A concurrent try with the same key gets an answer of its own.
type Claim struct {
	spec ClaimSpec
	step claimStep
	op   uint32
	// row and version are the binding in force as last seen. version is 0 before.
	row     Row
	version uint64
	// pending is the row of the write under way; version is its condition.
	pending Row
	writes  int
	tries   int
	// doubt means that the pending write may have taken effect or may still do so.
	doubt bool
	// bound means that a binding, of this try or another, may run the call.
	bound bool
}

// NewClaim returns the Claim of one try.
func NewClaim(spec ClaimSpec) *Claim {
	if spec.Lifetime == 0 {
		spec.Lifetime = DefaultRowLifetime
	}
	return &Claim{spec: spec}
}

// Start claims the key for the chosen agent. The stamp in b must have been taken when
// the agent was chosen, and not later.
func (c *Claim) Start(now time.Time, b Binding) ClaimAction {
	if c.step != claimIdle {
		return ClaimAction{}
	}
	b.Attempt = 1
	return c.write(now, b)
}

// Rebind binds the key to another agent, after ChooseAgain.
func (c *Claim) Rebind(now time.Time, b Binding) ClaimAction {
	if c.step != claimRefused {
		return ClaimAction{}
	}
	b.Attempt = c.row.Binding.Attempt + 1
	return c.write(now, b)
}

// Written reports that operation op committed and that the row now has this version.
func (c *Claim) Written(now time.Time, op uint32, version uint64) ClaimAction {
	if c.step != claimWriting || op != c.op {
		return ClaimAction{}
	}
	c.bound = true
	c.doubt = false
	return c.settle(now, c.pending, version, OfferBound)
}

// WriteFailed reports that operation op, an InsertRow or RebindRow, failed.
func (c *Claim) WriteFailed(now time.Time, op uint32, failure StoreFailure) ClaimAction {
	if c.step != claimWriting || op != c.op {
		return ClaimAction{}
	}
	switch {
	case failure == StoreConflict:
		// Another try's row; or our own, if the store forgot the token of a write
		// whose answer was lost. Only the row can tell.
		return c.read(now)
	case failure == StoreLost:
		c.doubt = true
		return c.read(now)
	case c.doubt:
		return c.read(now)
	default:
		return c.fail(result.TableUnavailable, "the key's row could not be written")
	}
}

// ReadDone reports the row that operation op, a ReadRow, found; found is false when
// there is none.
func (c *Claim) ReadDone(now time.Time, op uint32, value []byte, version uint64, found bool) ClaimAction {
	if c.step != claimReading || op != c.op {
		return ClaimAction{}
	}
	if !found {
		return c.absent(now)
	}
	row, err := DecodeRow(value)
	if err != nil {
		c.bound = true
		return c.fail(result.Internal, err.Error())
	}
	switch {
	case row.Writer == c.pending.Writer:
		c.bound = true
		c.doubt = false
		return c.settle(now, row, version, OfferBound)
	case version == c.version:
		// The write has not taken effect, but it still may. The same token again
		// makes it certain, and does not write twice.
		return c.writeAgain(now)
	}
	// Someone else's row: the condition of our write can no longer hold.
	c.doubt = false
	if row.Request != c.spec.Request {
		return c.fail(result.KeyReused, "the key was used with another request")
	}
	c.bound = true
	return c.settle(now, row, version, AttachBound)
}

// ReadFailed reports that operation op, a ReadRow, did not succeed.
func (c *Claim) ReadFailed(now time.Time, op uint32) ClaimAction {
	if c.step != claimReading || op != c.op {
		return ClaimAction{}
	}
	return c.read(now)
}

// Refused reports that the bound agent refused the offer. execution must be NotRun only
// if the agent answered that the id has not run there and never will.
func (c *Claim) Refused(now time.Time, code result.Code, execution result.Execution) ClaimAction {
	if c.step != claimBound {
		return ClaimAction{}
	}
	if execution == result.NotRun {
		c.bound = false
		c.step = claimRefused
		return c.expireOr(now, ClaimAction{Kind: ChooseAgain})
	}
	if code == result.WrongIncarnation {
		return c.AgentGone(now)
	}
	c.step = claimDone
	return ClaimAction{Kind: ClaimFailed, Err: result.New(code, execution, "refused by %s", c.row.Binding.Agent)}
}

// AgentGone reports that the bound incarnation no longer lives. Whether the call ran
// there can't be found out any more.
func (c *Claim) AgentGone(time.Time) ClaimAction {
	if c.step != claimBound {
		return ClaimAction{}
	}
	return c.fail(result.FirstRunLost, "the key is bound to "+c.row.Binding.Agent+", which restarted or is gone")
}

// Timer ends the claim if its deadline has passed.
func (c *Claim) Timer(now time.Time) ClaimAction {
	if c.step == claimDone || c.step == claimBound {
		return ClaimAction{}
	}
	return c.expireOr(now, ClaimAction{})
}

// Execution returns what is proved about this try so far.
func (c *Claim) Execution() result.Execution {
	if c.doubt || c.bound {
		return result.Unknown
	}
	return result.NotRun
}

// write starts a write of the row with binding b, on condition that the row is as last seen.
func (c *Claim) write(now time.Time, b Binding) ClaimAction {
	c.writes++
	c.tries = 0
	c.pending = Row{
		Request: c.spec.Request,
		ID:      c.spec.ID,
		Binding: b,
		Writer:  c.spec.Token + "." + strconv.Itoa(c.writes),
		Expires: now.Add(c.spec.Lifetime),
	}
	return c.writeAgain(now)
}

// writeAgain sends the pending write under its token.
func (c *Claim) writeAgain(now time.Time) ClaimAction {
	kind := InsertRow
	if c.version != 0 {
		kind = RebindRow
	}
	c.step = claimWriting
	return c.operate(now, ClaimAction{
		Kind:    kind,
		Row:     c.pending,
		Version: c.version,
		Token:   c.pending.Writer,
	})
}

func (c *Claim) read(now time.Time) ClaimAction {
	c.step = claimReading
	return c.operate(now, ClaimAction{Kind: ReadRow})
}

// operate numbers a store operation, so that a late answer to an earlier one is not
// taken for an answer to this one, and spaces out repeated ones.
func (c *Claim) operate(now time.Time, action ClaimAction) ClaimAction {
	if c.tries >= settleTries {
		return c.giveUp()
	}
	if c.tries > 1 {
		action.Delay = settleDelay << (c.tries - 2)
	}
	c.tries++
	c.op++
	action.Op = c.op
	return c.expireOr(now, action)
}

// absent handles a row that is not there. The insert has then not taken effect, but it
// still may; once a row was seen, its absence means that it was deleted as expired.
func (c *Claim) absent(now time.Time) ClaimAction {
	if c.version == 0 {
		return c.writeAgain(now)
	}
	c.bound = true
	return c.fail(result.TableOutcome, "the key's row was deleted during the call")
}

// settle adopts the row in force and hands the offer to the call's state machine.
func (c *Claim) settle(now time.Time, row Row, version uint64, kind ClaimKind) ClaimAction {
	c.row = row
	c.version = version
	c.step = claimBound
	return c.expireOr(now, ClaimAction{Kind: kind, ID: row.ID, Binding: row.Binding})
}

// giveUp ends a claim whose store operations keep failing.
func (c *Claim) giveUp() ClaimAction {
	if c.doubt {
		return c.fail(result.TableOutcome, "the write of the key's row could not be settled")
	}
	return c.fail(result.TableUnavailable, "the key's row could not be read")
}

// expireOr replaces action by a failure if the deadline has passed. A claimant that was
// paused would otherwise offer a call that its caller was already told has failed.
func (c *Claim) expireOr(now time.Time, action ClaimAction) ClaimAction {
	if now.Before(c.spec.Deadline) {
		return action
	}
	return c.fail(result.DeadlinePassed, "the time passed before the key was bound")
}

func (c *Claim) fail(code result.Code, detail string) ClaimAction {
	c.step = claimDone
	return ClaimAction{Kind: ClaimFailed, Err: result.New(code, c.Execution(), "%s", detail)}
}
