package attempt

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// maxSilent is the number of times in a row that an agent's link may fail without any
// word from the agent before the machine stops offering or resuming there. A single
// loss is most often the connection's fault, which a new one mends.
const maxSilent = 3

// step is what the machine waits for.
type step uint8

const (
	// choosing waits for Chosen or NoReplica.
	choosing step = iota
	// backingOff waits for the timer, then chooses.
	backingOff
	// offered waits for the agent's answer to the offer.
	offered
	// accepted waits for the upstream to begin.
	accepted
	// streaming waits for the rest of the answer.
	streaming
	// cancelling waits for the agent's word on a cancellation.
	cancelling
	done
)

// Machine is the state machine of one request. Each method reports one event and
// returns what to do next. Events that come too late for the current state, or that
// belong to an earlier attempt, are ignored. It is used by one goroutine at a time.
type Machine struct {
	request Request
	step    step
	attempt call.Attempt
	replica Replica
	refused []string
	retries int
	// agains counts the refusals after which the refuser could be sent the call again, and kept
	// is who gave the last one, until another offer.
	agains int
	kept   string
	silent int
	// timer is when the current step times out; zero when only the deadline bounds it.
	timer     time.Time
	nextSeq   uint64
	delivered uint64
	better    string
	// retryAfter is the last refuser's advice to the caller.
	retryAfter time.Duration
	// headed means that the caller may have been sent the head of an answer.
	headed bool
	// ran means that some attempt provably began.
	ran bool
	// doubt means that an earlier attempt was left without proof that it did not run.
	doubt bool
	// open means that the current attempt, or a claim under way, may run.
	open bool
}

// New returns the Machine of a request.
func New(request Request) *Machine { return &Machine{request: request, nextSeq: 1} }

// Start begins the request.
func (m *Machine) Start(now time.Time) Action { return m.orExpire(now, m.choose()) }

// Wake returns when Timer must be called next. It is never after the deadline.
func (m *Machine) Wake() time.Time {
	if m.timer.IsZero() || m.timer.After(m.request.Deadline) {
		return m.request.Deadline
	}
	return m.timer
}

// Done reports whether the final answer was given.
func (m *Machine) Done() bool { return m.step == done }

// Excluded returns the agents that the call has left. The caller must not change it.
func (m *Machine) Excluded() []string { return m.refused }

// MayGoElsewhere reports whether another agent may still be tried.
func (m *Machine) MayGoElsewhere() bool { return m.retries < m.request.MaxRetries }

// Keep returns the agent to which the call may only go again, as it may go to no further one;
// empty for none.
func (m *Machine) Keep() string {
	if m.MayGoElsewhere() {
		return ""
	}
	return m.kept
}

// Execution returns what is proved so far about whether the call ran.
func (m *Machine) Execution() result.Execution {
	switch {
	case m.ran:
		return result.Ran
	case m.doubt, m.open:
		return result.Unknown
	default:
		return result.NotRun
	}
}

// Claiming reports that a Claim for the call is about to write. From then on another
// entry may find the row and have the call run.
func (m *Machine) Claiming(now time.Time) Action {
	if m.step != choosing {
		return Action{}
	}
	m.open = true
	return m.orExpire(now, Action{})
}

// ClaimFailed reports the failure of the call's Claim, which is final.
func (m *Machine) ClaimFailed(_ time.Time, err *result.Error) Action {
	if m.step != choosing {
		return Action{}
	}
	m.open = err.Execution == result.Unknown
	m.ran = m.ran || err.Execution == result.Ran
	return m.fail(Word{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter})
}

// Chosen reports the replica to which the call is bound.
func (m *Machine) Chosen(now time.Time, replica Replica) Action {
	if m.step != choosing {
		return Action{}
	}
	if m.expired(now) {
		return m.fail(Word{Code: result.DeadlinePassed})
	}
	m.attempt++
	if replica.Attempt != 0 {
		m.attempt = replica.Attempt
	}
	if replica.ID == (call.ID{}) {
		replica.ID = m.request.ID
	}
	if m.kept != "" && m.kept != replica.Agent {
		m.retries++
	}
	m.kept = ""
	m.replica = replica
	m.nextSeq = 1
	m.silent = 0
	m.better = ""
	return m.offer(now, 0)
}

// NoReplica reports that routing found no replica. The advice of the last agent that
// refused is then the best that there is for the caller.
func (m *Machine) NoReplica(now time.Time, err *result.Error) Action {
	if m.step != choosing {
		return Action{}
	}
	word := Word{Code: err.Code, Detail: err.Detail, RetryAfter: err.RetryAfter}
	if word.RetryAfter == 0 {
		word.RetryAfter = m.retryAfter
	}
	return m.orExpire(now, m.fail(word))
}

// Accepted reports that the agent has queued the call or attached to its run.
func (m *Machine) Accepted(now time.Time, attempt call.Attempt) Action {
	if !m.current(attempt) {
		return Action{}
	}
	m.heard()
	if m.step == offered {
		m.await(accepted)
	}
	return m.orExpire(now, Action{})
}

// Refused reports an agent's refusal.
func (m *Machine) Refused(now time.Time, attempt call.Attempt, word Word) Action {
	if !m.current(attempt) {
		return Action{}
	}
	m.ran = m.ran || word.Execution == result.Ran
	m.better = word.Better
	m.retryAfter = word.RetryAfter
	if word.Code == result.WrongIncarnation {
		return m.AgentGone(now, m.replica.Incarnation)
	}
	// A refusal proves nothing about an attempt whose answer has begun.
	proved := word.Execution == result.NotRun && m.step != streaming
	if m.request.Keyed && word.Code == result.StaleOffer && !proved {
		// The key's row outlives the agent's memory of the run. "Try again", the remedy of
		// a stale offer, can't succeed: every repeat is bound by the row to this stamp.
		word.Code = result.FirstRunLost
	}
	return m.orExpire(now, m.leave(now, word, proved))
}

// Head reports that the upstream has begun to answer.
func (m *Machine) Head(now time.Time, attempt call.Attempt) Action {
	if !m.current(attempt) {
		return Action{}
	}
	m.heard()
	m.ran = true
	m.headed = true
	m.await(streaming)
	return m.orExpire(now, Action{})
}

// Delivered reports that the frame with number seq was handed to the caller. It counts
// also after the attempt was given up and until the next one is chosen: what the caller
// has must not be generated again.
func (m *Machine) Delivered(now time.Time, attempt call.Attempt, seq uint64) Action {
	if m.step == done || attempt != m.attempt {
		return Action{}
	}
	m.delivered++
	m.nextSeq = seq + 1
	m.headed = true
	m.ran = true
	return m.Head(now, attempt)
}

// Ended reports the end of the attempt, after all its frames were delivered. Its code is
// OK or says why the upstream failed. A whole answer counts also after the attempt was
// given up and until the next one is chosen.
func (m *Machine) Ended(now time.Time, attempt call.Attempt, word Word) Action {
	if m.step == done || attempt != m.attempt || word.Code != result.OK && !m.current(attempt) {
		return Action{}
	}
	m.ran = m.ran || word.Execution == result.Ran || word.Code == result.OK
	switch {
	case m.expired(now):
		return m.fail(Word{Code: result.DeadlinePassed})
	case word.Code == result.OK:
		return m.finish(Action{Kind: Answer})
	default:
		return m.leave(now, word, word.Execution == result.NotRun)
	}
}

// LinkLost reports that the link to the agent broke or went silent. The agent itself
// most likely lives, and keeps the stream for a new link.
func (m *Machine) LinkLost(now time.Time, attempt call.Attempt) Action {
	if !m.current(attempt) {
		return Action{}
	}
	m.silent++
	return m.orExpire(now, m.reconnect(now))
}

// AgentGone reports that the incarnation no longer lives. What it ran or had queued can't
// be found out any more.
func (m *Machine) AgentGone(now time.Time, incarnation call.Incarnation) Action {
	if !m.current(m.attempt) || incarnation != m.replica.Incarnation {
		return Action{}
	}
	code := result.AgentLost
	if m.request.Keyed {
		code = result.FirstRunLost
	}
	return m.orExpire(now, m.leave(now, Word{Code: code}, false))
}

// CancelAnswered reports the agent's word on a CancelAndConfirm.
func (m *Machine) CancelAnswered(now time.Time, attempt call.Attempt, execution result.Execution) Action {
	if !m.current(attempt) || m.step != cancelling {
		return Action{}
	}
	m.heard()
	if execution == result.Ran {
		// It ran after all: fetch its answer.
		m.ran = true
		m.await(streaming)
		return m.orExpire(now, m.resume(now, 0))
	}
	return m.orExpire(now, m.leave(now, Word{Code: result.LinkSilent}, execution == result.NotRun))
}

// CallerGone reports that the caller closed its connection.
func (m *Machine) CallerGone(time.Time) Action {
	if m.step == done {
		return Action{}
	}
	return m.fail(Word{Code: result.CallerGone})
}

// Timer reports that the time of Wake has come.
func (m *Machine) Timer(now time.Time) Action {
	switch {
	case m.step == done:
		return Action{}
	case m.timer.IsZero() || now.Before(m.timer):
		return m.orExpire(now, Action{})
	case m.step == backingOff:
		return m.orExpire(now, m.choose())
	default:
		m.silent++
		return m.orExpire(now, m.reconnect(now))
	}
}
