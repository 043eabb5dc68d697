package attempt

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"github.com/pkg/errors"
)

// ErrStopping is the cause of the end of a request's context when the process stops.
var ErrStopping = errors.New("the process stops")

// maxLinkFailures is the number of consecutive link failures, without any message from the
// agent, after which the machine gives up a repeatable call and cancels one that is not
// proved to have run. A single failure usually affects only the connection, and a new one
// succeeds.
const maxLinkFailures = 3

// step is the event that the machine waits for.
type step uint8

const (
	// choosing waits for Chosen or NoReplica.
	choosing step = iota
	// backingOff waits for the timer, then chooses.
	backingOff
	// offered waits for the agent's answer to the offer.
	offered
	// accepted waits for the upstream to begin its answer.
	accepted
	// streaming waits for the rest of the answer.
	streaming
	// cancelling waits for the agent's answer to a cancellation.
	cancelling
	done
)

// Machine is the state machine of one request. Each method reports one event and
// returns the next action. Events that are too late for the current state, or that
// belong to an earlier attempt, are ignored. A Machine is not safe for concurrent use.
type Machine struct {
	request  Request
	step     step
	attempt  call.Attempt
	replica  Replica
	excluded []string
	retries  int
	// sameAgentRetries counts the refusals after which the same agent could be offered the
	// call again. pinned is the agent of the last such refusal, until the next offer.
	sameAgentRetries int
	pinned           string
	// unsent counts the attempts that had no connection and didn't count as retries.
	unsent       int
	linkFailures int
	// timer is when the current step times out; zero if only the deadline bounds it.
	timer     time.Time
	nextSeq   uint64
	delivered uint64
	// better and retryAfter are the Better and RetryAfter of the last refusal.
	better     string
	retryAfter time.Duration
	// headSent means that the caller may have been sent the head of an answer.
	headSent bool
	// ran means that some attempt is proved to have begun.
	ran bool
	// earlierUnproven means that an earlier attempt ended without proof that it did not run.
	earlierUnproven bool
	// mayRun means that the call may run under the current attempt or a claim in progress.
	mayRun bool
}

// New returns the Machine of a request.
func New(request Request) *Machine { return &Machine{request: request, nextSeq: 1} }

// Start begins the request.
func (m *Machine) Start(now time.Time) Action { return m.unlessExpired(now, m.choose()) }

// NextTimer returns the time at which Timer must be called next, never after the deadline.
func (m *Machine) NextTimer() time.Time {
	if m.timer.IsZero() || m.timer.After(m.request.Deadline) {
		return m.request.Deadline
	}
	return m.timer
}

// Done reports whether the final action was returned.
func (m *Machine) Done() bool { return m.step == done }

// Excluded returns the agents that must not be tried again. The caller must not modify
// the slice.
func (m *Machine) Excluded() []string { return m.excluded }

// MayTryAnotherAgent reports whether another agent may still be tried.
func (m *Machine) MayTryAnotherAgent() bool { return m.RetriesLeft() > 0 }

// RetriesLeft returns how many further agents may still be tried.
func (m *Machine) RetriesLeft() int { return max(m.request.MaxRetries-m.retries, 0) }

// TriedBeside reports that another agent was offered a repeatable call beside the current attempt, in vain.
func (m *Machine) TriedBeside(agent string) {
	m.excluded = append(m.excluded, agent)
	m.retries++
	m.earlierUnproven = true
}

// PinnedAgent returns "" while another agent may be tried. After that it returns the agent to
// which the call may be sent again, if there is one.
func (m *Machine) PinnedAgent() string {
	if m.MayTryAnotherAgent() {
		return ""
	}
	return m.pinned
}

// Execution returns what is proved so far about whether the call ran.
func (m *Machine) Execution() result.Execution {
	switch {
	case m.ran:
		return result.Ran
	case m.earlierUnproven, m.mayRun:
		return result.Unknown
	default:
		return result.NotRun
	}
}

// Claiming reports that a Claim for the call is about to write its row. From then on
// another entry may find the row and cause the call to run.
func (m *Machine) Claiming(now time.Time) Action {
	if m.step != choosing {
		return Action{}
	}
	m.mayRun = true
	return m.unlessExpired(now, Action{})
}

// ClaimFailed reports the failure of the call's Claim, which is final.
func (m *Machine) ClaimFailed(_ time.Time, err *result.Error) Action {
	if m.step != choosing {
		return Action{}
	}
	m.mayRun = err.Execution == result.Unknown
	m.ran = m.ran || err.Execution == result.Ran
	return m.fail(Outcome{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter})
}

// Chosen reports the replica to which the call is bound.
func (m *Machine) Chosen(now time.Time, replica Replica) Action {
	if m.step != choosing {
		return Action{}
	}
	if m.expired(now) {
		return m.fail(Outcome{Code: result.DeadlinePassed})
	}
	m.attempt++
	if replica.Attempt != 0 {
		m.attempt = replica.Attempt
	}
	if replica.ID == (call.ID{}) {
		replica.ID = m.request.ID
	}
	if m.pinned != "" && m.pinned != replica.Agent {
		m.retries++ // The retry goes to another agent instead of the pinned one, so it counts.
	}
	m.pinned = ""
	m.replica = replica
	m.nextSeq = 1
	m.linkFailures = 0
	m.better = ""
	return m.offer(now, 0)
}

// NoReplica reports that routing found no replica. The caller then gets the RetryAfter of
// the last refusal, unless err has its own.
func (m *Machine) NoReplica(now time.Time, err *result.Error) Action {
	if m.step != choosing {
		return Action{}
	}
	outcome := Outcome{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter}
	if outcome.RetryAfter == 0 {
		outcome.RetryAfter = m.retryAfter
	}
	return m.unlessExpired(now, m.fail(outcome))
}

// Accepted reports that the agent has queued the call or attached to its run.
func (m *Machine) Accepted(now time.Time, attempt call.Attempt) Action {
	if !m.isCurrent(attempt) {
		return Action{}
	}
	m.recordContact()
	if m.step == offered {
		m.enterStep(accepted)
	}
	return m.unlessExpired(now, Action{})
}

// Refused reports an agent's refusal.
func (m *Machine) Refused(now time.Time, attempt call.Attempt, outcome Outcome) Action {
	if !m.isCurrent(attempt) {
		return Action{}
	}
	m.ran = m.ran || outcome.Execution == result.Ran
	m.better = outcome.Better
	m.retryAfter = outcome.RetryAfter
	if outcome.Code == result.WrongIncarnation {
		return m.AgentLost(now, m.replica.Incarnation)
	}
	// A refusal proves nothing about an attempt whose answer has begun.
	proved := outcome.Execution == result.NotRun && m.step != streaming
	if m.request.Keyed && outcome.Code == result.StaleOffer && !proved {
		// The key's row outlives the agent's record of the run. StaleOffer would tell the
		// caller to try again, but the row binds every repeat to the same stale stamp, so no
		// repeat can succeed.
		outcome.Code = result.FirstRunLost
	}
	return m.unlessExpired(now, m.endAttempt(now, outcome, proved))
}

// Head reports that the upstream has begun to answer.
func (m *Machine) Head(now time.Time, attempt call.Attempt) Action {
	if !m.isCurrent(attempt) {
		return Action{}
	}
	m.recordContact()
	m.ran = true
	m.headSent = true
	m.enterStep(streaming)
	return m.unlessExpired(now, Action{})
}

// Delivered reports that the frame with number seq was handed to the caller. The frame
// also counts after the attempt was given up, until another replica is chosen, because
// frames that the caller has received must not be generated again.
func (m *Machine) Delivered(now time.Time, attempt call.Attempt, seq uint64) Action {
	if m.step == done || attempt != m.attempt {
		return Action{}
	}
	m.delivered++
	m.nextSeq = seq + 1
	m.headSent = true
	m.ran = true
	return m.Head(now, attempt)
}

// Ended reports the end of the attempt, after all its frames were delivered. Its code is
// OK or says why the upstream failed. A complete answer also counts after the attempt was
// given up, until another replica is chosen.
func (m *Machine) Ended(now time.Time, attempt call.Attempt, outcome Outcome) Action {
	if m.step == done || attempt != m.attempt || outcome.Code != result.OK && !m.isCurrent(attempt) {
		return Action{}
	}
	m.ran = m.ran || outcome.Execution == result.Ran || outcome.Code == result.OK
	switch {
	case m.expired(now):
		return m.fail(Outcome{Code: result.DeadlinePassed})
	case outcome.Code == result.OK:
		return m.finish(Action{Kind: Answer})
	default:
		return m.endAttempt(now, outcome, outcome.Execution == result.NotRun)
	}
}

// LinkLost reports that the link to the agent broke or went silent. The agent itself is
// most likely alive and keeps the stream for a new link.
func (m *Machine) LinkLost(now time.Time, attempt call.Attempt) Action {
	if !m.isCurrent(attempt) {
		return Action{}
	}
	m.linkFailures++
	return m.unlessExpired(now, m.reconnect(now))
}

// AgentLost reports that the incarnation is no longer alive. Whether it ran a call or only
// had it queued can no longer be determined.
func (m *Machine) AgentLost(now time.Time, incarnation call.Incarnation) Action {
	if !m.isCurrent(m.attempt) || incarnation != m.replica.Incarnation {
		return Action{}
	}
	code := result.AgentLost
	if m.request.Keyed {
		code = result.FirstRunLost
	}
	return m.unlessExpired(now, m.endAttempt(now, Outcome{Code: code}, false))
}

// CancelAnswered reports the agent's answer to a CancelAndConfirm.
func (m *Machine) CancelAnswered(now time.Time, attempt call.Attempt, execution result.Execution) Action {
	if !m.isCurrent(attempt) || m.step != cancelling {
		return Action{}
	}
	m.recordContact()
	if execution == result.Ran {
		// The call did run: fetch its answer.
		m.ran = true
		m.enterStep(streaming)
		return m.unlessExpired(now, m.resume(now, 0))
	}
	return m.unlessExpired(now, m.endAttempt(now, Outcome{Code: result.LinkSilent}, execution == result.NotRun))
}

// CallerGone reports that the caller closed its connection.
func (m *Machine) CallerGone(time.Time) Action {
	if m.step == done {
		return Action{}
	}
	return m.fail(Outcome{Code: result.CallerGone})
}

// Cancelled reports that the request's context has ended, with its cause: the process stops, or the
// caller closed its connection.
func (m *Machine) Cancelled(now time.Time, cause error) Action {
	switch {
	case m.step == done:
		return Action{}
	case errors.Is(cause, ErrStopping):
		return m.fail(Outcome{Code: result.Draining, Detail: "the entry stopped before the request had its answer"})
	default:
		return m.CallerGone(now)
	}
}

// Timer reports that the time returned by NextTimer was reached.
func (m *Machine) Timer(now time.Time) Action {
	switch {
	case m.step == done:
		return Action{}
	case m.timer.IsZero() || now.Before(m.timer):
		return m.unlessExpired(now, Action{})
	case m.step == backingOff:
		return m.unlessExpired(now, m.choose())
	default:
		m.linkFailures++
		return m.unlessExpired(now, m.reconnect(now))
	}
}
