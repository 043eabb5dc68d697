package idempotency

import (
	"strconv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// ClaimKind is the kind of a ClaimAction, which the code that drives the Claim performs.
type ClaimKind uint8

const (
	// ClaimNone requires nothing until the next event.
	ClaimNone ClaimKind = iota
	// InsertRow asks to commit Row with Token, on condition that the row is absent.
	InsertRow
	// RebindRow asks to commit Row with Token, on condition that the row's version is
	// Version.
	RebindRow
	// ReadRow asks to read the last committed row.
	ReadRow
	// OfferBound means that this try has bound the key. It asks to offer the call under
	// ID to the agent incarnation in Binding.
	OfferBound
	// AttachBound means that another try has bound the key. It asks to send the same
	// offer as that try, so that the agent attaches this try to the run, replays its
	// result, or starts it if the other entry failed before it offered the call.
	AttachBound
	// ChooseAgain means that the bound agent is proved not to have run the call. It asks
	// to choose another agent and call Rebind. A caller that chooses none answers NotRun.
	ChooseAgain
	// ClaimFailed is final: answer the caller with Err.
	ClaimFailed
)

// ClaimAction is one instruction to the code that drives the Claim.
type ClaimAction struct {
	Kind ClaimKind
	// Op is the number of the store operation; the event that reports its end repeats it.
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

// StoreFailure is the way in which a store operation failed.
type StoreFailure uint8

const (
	// StoreConflict means that the condition did not hold; nothing was written.
	StoreConflict StoreFailure = iota
	// StoreUnavailable means that nothing was written.
	StoreUnavailable
	// StoreOutcomeUnknown means that the answer was lost: the write may have taken effect, or
	// may still do so.
	StoreOutcomeUnknown
)

// DefaultRowLifetime is how long a key is kept. It covers a working day, so that a client
// that was offline for the day can still repeat the calls that it had queued.
const DefaultRowLifetime = 24 * time.Hour

// Retries of store operations by a Claim.
const (
	// maxStoreOperations bounds the operations spent on one write whose outcome is unknown
	// or one read that fails. The delays between eight operations add up to 3.15 s, to which
	// the operations' own time is added. The call's deadline ends both earlier.
	maxStoreOperations = 8
	// storeRetryDelay is the first nonzero delay; each later one is twice as long.
	storeRetryDelay = 50 * time.Millisecond
)

// ClaimSpec describes one try of a keyed call.
type ClaimSpec struct {
	// ID is the request id of this try.
	ID      call.ID
	Request RequestHash
	// Token is the prefix of this try's client tokens; it is unique to the try.
	Token    string
	Deadline time.Time
	// Lifetime is how long the row is kept; 0 means DefaultRowLifetime.
	Lifetime time.Duration
}

// claimStep is the event that a Claim waits for.
type claimStep uint8

const (
	claimIdle claimStep = iota
	claimWriting
	claimReading
	// claimBound waits while the call's Machine makes the offer; Refused or AgentLost ends it.
	claimBound
	// claimRefused waits for Rebind.
	claimRefused
	claimDone
)

// Claim binds one try of a keyed call to an agent incarnation, by one row in the table
// service. Regardless of how many tries share a key, its row holds one binding at a time,
// and the binding is changed only after the bound agent has proved that the call did not
// run there and never will.
//
// NotRun in a failure refers to this try only: neither the try itself nor the run that it
// attached to executed the call. A concurrent try with the same key gets its own answer.
type Claim struct {
	spec ClaimSpec
	step claimStep
	// lastOp is the number of the last store operation.
	lastOp uint32
	// row and version are the last known committed row and its version; version is 0
	// until a row is known.
	row     Row
	version uint64
	// pending is the row of the write in progress, which is conditional on version.
	pending Row
	// writeCount is the number of writes; it is the suffix of a write's token. operationsSpent
	// is the number of store operations spent on the current write; maxStoreOperations bounds it.
	writeCount      int
	operationsSpent int
	// writeUncertain means that the pending write may have taken effect, or may still.
	writeUncertain bool
	// bound means that the call may run under a binding of this try or another.
	bound bool
}

// NewClaim returns the Claim of one try.
func NewClaim(spec ClaimSpec) *Claim {
	if spec.Lifetime == 0 {
		spec.Lifetime = DefaultRowLifetime
	}
	return &Claim{spec: spec}
}

// Start claims the key for the chosen agent. The stamp in b, the agent's clock as last seen,
// must be the one from the time when the agent was chosen, not a later one.
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

// Written reports that operation op committed and that version is the row's new version.
func (c *Claim) Written(now time.Time, op uint32, version uint64) ClaimAction {
	if c.step != claimWriting || op != c.lastOp {
		return ClaimAction{}
	}
	c.bound = true
	c.writeUncertain = false
	return c.acceptRow(now, c.pending, version, OfferBound)
}

// WriteFailed reports that operation op, an InsertRow or RebindRow, failed.
func (c *Claim) WriteFailed(now time.Time, op uint32, failure StoreFailure) ClaimAction {
	if c.step != claimWriting || op != c.lastOp {
		return ClaimAction{}
	}
	switch {
	case failure == StoreConflict:
		// The row is another try's, or this try's own if the store no longer knows the
		// token of a write whose answer was lost. Reading the row shows which.
		return c.read(now)
	case failure == StoreOutcomeUnknown:
		c.writeUncertain = true
		return c.read(now)
	case c.writeUncertain:
		return c.read(now)
	default:
		return c.fail(result.TableUnavailable, "the key's row could not be written")
	}
}

// ReadDone reports the result of operation op, a ReadRow. found is false if there is no
// row.
func (c *Claim) ReadDone(now time.Time, op uint32, value []byte, version uint64, found bool) ClaimAction {
	if c.step != claimReading || op != c.lastOp {
		return ClaimAction{}
	}
	if !found {
		return c.handleAbsentRow(now)
	}
	row, err := DecodeRow(value)
	if err != nil {
		c.bound = true
		return c.fail(result.Internal, err.Error())
	}
	switch {
	case row.Writer == c.pending.Writer:
		c.bound = true
		c.writeUncertain = false
		return c.acceptRow(now, row, version, OfferBound)
	case version == c.version:
		// The write has not taken effect, but it still may. Sending it again under the
		// same token resolves its outcome without writing twice.
		return c.sendPendingWrite(now)
	}
	// The row is another try's: the condition of the pending write can no longer hold.
	c.writeUncertain = false
	if row.Request != c.spec.Request {
		return c.fail(result.KeyReused, "the key was used with another request")
	}
	c.bound = true
	return c.acceptRow(now, row, version, AttachBound)
}

// ReadFailed reports that operation op, a ReadRow, did not succeed.
func (c *Claim) ReadFailed(now time.Time, op uint32) ClaimAction {
	if c.step != claimReading || op != c.lastOp {
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
		return c.unlessExpired(now, ClaimAction{Kind: ChooseAgain})
	}
	if code == result.WrongIncarnation {
		return c.AgentLost(now)
	}
	c.step = claimDone
	return ClaimAction{Kind: ClaimFailed, Err: result.New(code, execution, "refused by %s", c.row.Binding.Agent)}
}

// AgentLost reports that the bound incarnation is no longer alive. Whether the call ran
// there can no longer be determined.
func (c *Claim) AgentLost(time.Time) ClaimAction {
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
	return c.unlessExpired(now, ClaimAction{})
}

// Execution returns what is proved so far about whether this try ran.
func (c *Claim) Execution() result.Execution {
	if c.writeUncertain || c.bound {
		return result.Unknown
	}
	return result.NotRun
}

// write starts a write of the row with binding b, on condition that the row's version is
// the last known one.
func (c *Claim) write(now time.Time, b Binding) ClaimAction {
	c.writeCount++
	c.operationsSpent = 0
	c.pending = Row{
		Request: c.spec.Request,
		ID:      c.spec.ID,
		Binding: b,
		Writer:  c.spec.Token + "." + strconv.Itoa(c.writeCount),
		Expires: now.Add(c.spec.Lifetime),
	}
	return c.sendPendingWrite(now)
}

// sendPendingWrite sends the pending write, or sends it again, under its token.
func (c *Claim) sendPendingWrite(now time.Time) ClaimAction {
	kind := InsertRow
	if c.version != 0 {
		kind = RebindRow
	}
	c.step = claimWriting
	return c.startOperation(now, ClaimAction{
		Kind:    kind,
		Row:     c.pending,
		Version: c.version,
		Token:   c.pending.Writer,
	})
}

func (c *Claim) read(now time.Time) ClaimAction {
	c.step = claimReading
	return c.startOperation(now, ClaimAction{Kind: ReadRow})
}

// startOperation numbers a store operation, so that a late answer to an earlier one is not
// attributed to it, and delays repeated operations exponentially.
func (c *Claim) startOperation(now time.Time, action ClaimAction) ClaimAction {
	if c.operationsSpent >= maxStoreOperations {
		return c.failUnresolved()
	}
	if c.operationsSpent > 1 {
		action.Delay = storeRetryDelay << (c.operationsSpent - 2)
	}
	c.operationsSpent++
	c.lastOp++
	action.Op = c.lastOp
	return c.unlessExpired(now, action)
}

// handleAbsentRow handles a read that found no row. If no row was known before, the
// insert has not taken effect but still may, and is sent again. Otherwise the row was
// deleted as expired.
func (c *Claim) handleAbsentRow(now time.Time) ClaimAction {
	if c.version == 0 {
		return c.sendPendingWrite(now)
	}
	c.bound = true
	return c.fail(result.TableOutcome, "the key's row was deleted during the call")
}

// acceptRow stores the committed row and returns its binding for the offer.
func (c *Claim) acceptRow(now time.Time, row Row, version uint64, kind ClaimKind) ClaimAction {
	c.row = row
	c.version = version
	c.step = claimBound
	return c.unlessExpired(now, ClaimAction{Kind: kind, ID: row.ID, Binding: row.Binding})
}

// failUnresolved ends a claim that has used up its store operations.
func (c *Claim) failUnresolved() ClaimAction {
	if c.writeUncertain {
		return c.fail(result.TableOutcome, "the write of the key's row could not be settled")
	}
	return c.fail(result.TableUnavailable, "the key's row could not be read")
}

// unlessExpired returns action, or a failure if the deadline has passed. Otherwise an entry
// that was paused could offer a call after its caller was told that it failed.
func (c *Claim) unlessExpired(now time.Time, action ClaimAction) ClaimAction {
	if now.Before(c.spec.Deadline) {
		return action
	}
	return c.fail(result.DeadlinePassed, "the time passed before the key was bound")
}

func (c *Claim) fail(code result.Code, detail string) ClaimAction {
	c.step = claimDone
	return ClaimAction{Kind: ClaimFailed, Err: result.New(code, c.Execution(), "%s", detail)}
}
