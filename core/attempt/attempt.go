// Package attempt is an entry's state machine of one admitted request: it decides
// which agent incarnation is offered the call, when another may be, and which one
// final answer the caller gets.
//
// The rules that it keeps:
//   - The call is offered to one agent incarnation at a time.
//   - Another agent is tried only after the first has proved that the call did not run
//     there and never will, or if the call is repeatable.
//   - NotRun is said only where it is proved; a doubt is Unknown.
//   - Each request gets exactly one final answer, at its deadline at the latest.
package attempt

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// Request describes an admitted request.
type Request struct {
	ID       call.ID
	Deadline time.Time
	// Repeatable says that the call may run more than once.
	Repeatable bool
	// Continuable says that another upstream can continue an answer from what was
	// delivered, as engines can from prompt and generated tokens.
	Continuable bool
	// Keyed says that the call has an Idempotency-Key and may not be repeated: its
	// binding goes through idempotency.Claim, and other tries may wait for its run.
	Keyed bool
	// MaxRetries bounds the agents tried after the first.
	MaxRetries int
	// EveryRetry says that each further try counts against the budget, also those that
	// put no work on an upstream: where upstreams are called without an agent, a request
	// that one refuses has still arrived there.
	EveryRetry bool
	// Retries is the service's budget and backoff.
	Retries Retries
}

// Retries is what the state machine asks before it tries another agent.
// retry.Policy implements it.
type Retries interface {
	// Allow takes one retry from the service's budget and reports whether there was one.
	Allow(now time.Time) bool
	// Delay returns the delay before retry n, counted from 1.
	Delay(n int) time.Duration
}

// Replica is an agent incarnation that was chosen for the call.
type Replica struct {
	Agent       string
	Incarnation call.Incarnation
	// Stamp is the agent's clock as last seen when it was chosen.
	Stamp time.Duration
	// ID and Attempt are those of the binding of a keyed call; otherwise zero, and
	// the request's ID and its next attempt are used.
	ID      call.ID
	Attempt call.Attempt
}

// Word is what an agent said of an attempt that it refused or that ended.
type Word struct {
	Code result.Code
	// Execution is NotRun only if the agent answered that the call has not run there and
	// never will.
	Execution result.Execution
	// Detail and RetryAfter are for the caller; they may be empty.
	Detail     string
	RetryAfter time.Duration
	// Better may name another replica, in a refusal.
	Better string
	// Again says that the refuser itself is well: it refused for what was sent along, and may
	// take the call without that.
	Again bool
}

// Kind says what the shell must do.
type Kind uint8

// The kinds of action.
const (
	// None means that there is nothing to do until the next event or Machine.Wake.
	None Kind = iota
	// Choose means: route the call, then report Chosen or NoReplica.
	Choose
	// ContinueElsewhere is Choose for a call of which Delivered frames have been
	// handed to the caller: the next attempt continues behind them.
	ContinueElsewhere
	// Offer means: send the offer to Replica, over a new link if Redial is set. If its
	// Attempt is new, first call Restart on the stream's Receiver, before any other
	// frame is handed out: the offer asks for what follows Delivered.
	Offer
	// ResumeOnNewLink means: drop the link, dial anew, and ask the same incarnation for
	// the frames from NextSeq on.
	ResumeOnNewLink
	// CancelAndConfirm means: ask Replica over a new link that the call not run, and
	// report its word with CancelAnswered.
	CancelAndConfirm
	// Answer is final: the whole answer has been delivered.
	Answer
	// Fail is final: answer the caller with Err.
	Fail
)

// Action is one instruction to the shell.
type Action struct {
	Kind    Kind
	Attempt call.Attempt
	Replica Replica
	// Delay is how long to wait before the action.
	Delay time.Duration
	// Redial says that the link to the agent must not be used again.
	Redial bool
	// NextSeq is the first frame still missing.
	NextSeq uint64
	// Delivered counts the frames handed to the caller over all attempts.
	Delivered uint64
	// Better names the replica that the last refusal recommends; it may be empty.
	Better string
	// Release says that Replica should also be told, without waiting for its word, to
	// give up Attempt, so that it frees what the call holds. It may come with any Kind,
	// None included.
	Release bool
	Err     *result.Error
}
