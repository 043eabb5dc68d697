// Package attempt implements the state machine with which an entry handles one admitted
// request. It decides which agent incarnation is offered the call, when another agent
// may be tried, and which final answer the caller gets.
//
// Invariants:
//   - The call is offered to one agent incarnation at a time, except for a repeatable call whose
//     agent is silent, see Machine.TriedBeside.
//   - Another agent is tried only after the first has proved that the call did not run
//     there and never will, or if the call is repeatable.
//   - NotRun is reported only if it is proved; otherwise the execution is Unknown.
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
	// Continuable says that another upstream can continue an answer after the part that
	// was delivered, as engines can from the prompt and the generated tokens.
	Continuable bool
	// Keyed says that the call has an Idempotency-Key and may not be repeated. It is
	// bound to an agent through idempotency.Claim, and other tries with the same key may
	// wait for its run.
	Keyed bool
	// MaxRetries bounds the agents tried after the first.
	MaxRetries int
	// ChargeEveryRetry says that each retry counts against the budget, including retries after
	// a refusal. It is set where upstreams are called without an agent, because a request
	// that an upstream refuses has still reached it.
	ChargeEveryRetry bool
	// Retries is the service's retry budget and backoff.
	Retries Retries
}

// Retries decides whether the state machine may try another agent, and when.
// retry.Policy implements it.
type Retries interface {
	// Allow takes one retry from the service's budget and reports whether one was left.
	Allow(now time.Time) bool
	// Delay returns the delay before retry n, counted from 1.
	Delay(n int) time.Duration
}

// Replica identifies the agent incarnation that was chosen for the call. For a call that is sent
// without an agent, Agent holds the name of the upstream's incarnation.
type Replica struct {
	Agent       string
	Incarnation call.Incarnation
	// Stamp is the agent's clock as last seen when it was chosen.
	Stamp time.Duration
	// ID and Attempt come from the binding of a keyed call. If they are zero, the
	// request's ID and its next attempt number are used.
	ID      call.ID
	Attempt call.Attempt
}

// Outcome describes how an attempt ended or why the agent refused it.
type Outcome struct {
	Code result.Code
	// Execution is NotRun only if the agent answered that the call has not run there and
	// never will.
	Execution result.Execution
	// Detail and RetryAfter are passed on to the caller; they may be empty.
	Detail     string
	RetryAfter time.Duration
	// Better is the less loaded replica that a refusal recommends; it may be empty.
	Better string
	// RetrySameAgent says that the same agent may accept the call if the cause of the refusal,
	// such as a helper that is down, is left out.
	RetrySameAgent bool
	// Unsent says that nothing of the call was sent: no connection to the upstream was had, or the
	// upstream was withdrawn before.
	Unsent bool
}

// Kind is the kind of an Action, which the code that drives the Machine performs.
type Kind uint8

const (
	// None requires nothing until the next event or the time that
	// Machine.NextTimer returns.
	None Kind = iota
	// Choose asks to route the call, and to report Chosen or NoReplica.
	Choose
	// ContinueElsewhere is Choose for a call of which the caller has received some frames
	// (their number is in Delivered): the next attempt continues after them.
	ContinueElsewhere
	// Offer asks to send the offer to Replica, over a new link if Redial is set. If its
	// Attempt is new, Restart must be called on the stream's Receiver before any other
	// frame is handed out, because the offer asks for the frames that follow Delivered.
	Offer
	// ResumeOnNewLink asks to drop the link, dial a new one, and request the frames from
	// NextSeq on from the same incarnation.
	ResumeOnNewLink
	// CancelAndConfirm asks to cancel the call at Replica over a new link, and to report
	// the agent's answer with CancelAnswered.
	CancelAndConfirm
	// Answer is final: the whole answer has been delivered.
	Answer
	// Fail is final: answer the caller with Err.
	Fail
)

// Action is one instruction to the code that drives the Machine.
type Action struct {
	Kind    Kind
	Attempt call.Attempt
	Replica Replica
	// Delay is how long to wait before the action.
	Delay time.Duration
	// Redial says that a new link to the agent is required.
	Redial bool
	// NextSeq is the first frame still missing.
	NextSeq uint64
	// Delivered counts the frames handed to the caller over all attempts.
	Delivered uint64
	// Better is the less loaded replica that the last refusal recommends; it may be empty.
	Better string
	// Release says that a cancellation of Attempt should also be sent to Replica, without
	// waiting for an answer, so that the agent frees the call's resources. It may be set
	// with any Kind, including None.
	Release bool
	Err     *result.Error
}
