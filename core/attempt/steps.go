package attempt

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/result"
)

// isCurrent reports whether the machine still handles events of this attempt.
func (m *Machine) isCurrent(attempt call.Attempt) bool {
	return m.step >= offered && m.step < done && attempt == m.attempt
}

// recordContact resets the count of link failures after a message from the agent. Once the
// agent has accepted the call, it also stops the timer.
func (m *Machine) recordContact() {
	m.linkFailures = 0
	if m.step == accepted || m.step == streaming {
		m.timer = time.Time{}
	}
}

// enterStep enters a step that is bounded only by the deadline.
func (m *Machine) enterStep(s step) {
	m.step = s
	m.timer = time.Time{}
}

// enterTimedStep enters a step in which the agent must answer soon after delay. Without
// the timer, a connection that went silent would block the call until its deadline.
func (m *Machine) enterTimedStep(now time.Time, delay time.Duration, s step) {
	m.step = s
	left := call.Remaining(m.request.Deadline, now)
	m.timer = now.Add(delay + deadline.OfferWait(left))
}

func (m *Machine) choose() Action {
	m.enterStep(choosing)
	kind := Choose
	if m.delivered > 0 {
		kind = ContinueElsewhere
	}
	return Action{Kind: kind, Delivered: m.delivered, Better: m.better}
}

// offer sends the offer for the first time or again. The agent's Ledger recognises a
// repeated offer by its id, and the unchanged stamp prevents it from running an id that
// the Ledger has already evicted.
func (m *Machine) offer(now time.Time, delay time.Duration) Action {
	m.mayRun = true
	m.enterTimedStep(now, delay, offered)
	return m.fillAction(Action{Kind: Offer, Redial: m.linkFailures > 0, Delay: delay})
}

func (m *Machine) resume(now time.Time, delay time.Duration) Action {
	m.enterTimedStep(now, delay, m.step)
	return m.fillAction(Action{Kind: ResumeOnNewLink, Redial: true, NextSeq: m.nextSeq, Delay: delay})
}

func (m *Machine) cancel(now time.Time, delay time.Duration) Action {
	m.enterTimedStep(now, delay, cancelling)
	return m.fillAction(Action{Kind: CancelAndConfirm, Redial: true, Delay: delay})
}

// reconnect tries the same incarnation over a new link. After maxLinkFailures in a row it gives
// up a repeatable call, and cancels a call that is not proved to have run.
func (m *Machine) reconnect(now time.Time) Action {
	if m.request.Repeatable && m.linkFailures >= maxLinkFailures {
		return m.endAttempt(now, Outcome{Code: result.LinkSilent}, false)
	}
	delay := m.request.Retries.Delay(m.linkFailures)
	switch {
	case m.step == cancelling, !m.ran && m.linkFailures >= maxLinkFailures:
		return m.cancel(now, delay)
	case m.step == offered:
		return m.offer(now, delay)
	default:
		return m.resume(now, delay)
	}
}

// endAttempt ends the current attempt with an outcome that the agent reported, or that the
// machine set when it gave the attempt up. proved means that the call has not run there
// and never will.
func (m *Machine) endAttempt(now time.Time, outcome Outcome, proved bool) Action {
	m.mayRun = !proved
	retrySame := outcome.RetrySameAgent && proved && m.sameAgentRetries < maxSameAgentRetries
	unsent := outcome.Unsent && proved && m.unsent < maxUnsent
	switch {
	case !proved && !m.request.Repeatable, !retryable(outcome.Code):
		return m.fail(outcome)
	case m.headSent && !m.request.Continuable:
		return m.fail(Outcome{Code: result.StreamBroken, Detail: outcome.Detail})
	case !unsent && !retrySame && !m.MayTryAnotherAgent():
		return m.fail(outcome)
	case !unsent && (m.request.ChargeEveryRetry || spendsBudget(outcome.Code, proved)) && !m.request.Retries.Allow(now):
		return m.fail(budgetSpent(outcome))
	}
	m.earlierUnproven = m.earlierUnproven || !proved
	m.mayRun = false
	if retrySame {
		m.sameAgentRetries++
		m.pinned = m.replica.Agent
		return m.retry(now, false)
	}
	m.excluded = append(m.excluded, m.replica.Agent)
	if unsent {
		m.unsent++
	} else {
		m.retries++
	}
	return m.retry(now, !proved)
}

// maxUnsent bounds how often a call that had no connection to its agent goes to another one without
// counting as a retry: no upstream has seen it, so it adds no load, but its caller waits.
const maxUnsent = 3

// maxSameAgentRetries bounds how often a call is sent again to an agent that refused it because
// of a helper that is down. Each refusal reveals one more such helper, and each resend also
// counts against the retry budget.
const maxSameAgentRetries = 6

// budgetSpent returns the failure for a retry that the budget forbids. It keeps the
// agent's code name and detail as the detail, and the agent's RetryAfter.
func budgetSpent(outcome Outcome) Outcome {
	detail := result.Lookup(outcome.Code).Name
	if outcome.Detail != "" {
		detail += ": " + outcome.Detail
	}
	return Outcome{Code: result.RetryBudgetSpent, Detail: detail, RetryAfter: outcome.RetryAfter}
}

// retry chooses another replica. If the refusal recommended one, it does so immediately,
// because a backoff would only lose time; otherwise after a delay. release asks the agent
// of the ended attempt to free the call's resources.
func (m *Machine) retry(now time.Time, release bool) Action {
	var action Action
	if m.better != "" {
		action = m.choose()
	} else {
		m.step = backingOff
		m.timer = now.Add(m.request.Retries.Delay(m.retries))
	}
	action.Release = release
	action.Replica = m.replica
	action.Attempt = m.attempt
	return action
}

// spendsBudget reports whether a retry on another agent counts against the service's retry
// budget. The budget prevents retries from amplifying an overload. Two cases cannot amplify
// one and do not count: a proved refusal with one of the codes below, for which the agent
// did no work, and the loss of an agent, which moves each of its calls only once. If the
// loss counted, it would end most of the agent's streams: they are far more than the retry
// budget, a tenth of the current calls, allows.
func spendsBudget(code result.Code, proved bool) bool {
	switch code {
	case result.AgentLost:
		return false
	case result.Draining, result.StaleOffer, result.WrongIncarnation, result.Tombstoned:
		return !proved
	default:
		return true
	}
}

// retryable reports whether another agent might serve a call that failed with code.
func retryable(code result.Code) bool {
	switch code {
	case result.CannotStartInTime, result.QueueFull, result.MemoryFull, result.Draining,
		result.StaleOffer, result.WrongIncarnation, result.Tombstoned, result.GroupUnavailable,
		result.UpstreamFailed, result.UpstreamTimeout, result.AgentLost, result.LinkSilent,
		result.FirstRunLost, result.StreamBroken, result.UpstreamCrashed:
		return true
	default:
		return false
	}
}

// unlessExpired returns action, or a failure if the deadline has passed. Otherwise an entry
// that was paused would continue a call whose caller has already given up.
func (m *Machine) unlessExpired(now time.Time, action Action) Action {
	if m.step == done || !m.expired(now) {
		return action
	}
	return m.fail(Outcome{Code: result.DeadlinePassed})
}

func (m *Machine) expired(now time.Time) bool { return !now.Before(m.request.Deadline) }

func (m *Machine) fail(outcome Outcome) Action {
	err := result.New(outcome.Code, m.Execution(), "%s", outcome.Detail)
	err.RetryAfter = outcome.RetryAfter
	err.Better = m.better
	// The run of a keyed call is not released, because other tries may wait for it.
	release := m.step >= offered && m.mayRun && !m.request.Keyed
	return m.finish(Action{Kind: Fail, Err: err, Release: release})
}

func (m *Machine) finish(action Action) Action {
	m.enterStep(done)
	return m.fillAction(action)
}

// fillAction sets the fields of an action that describe the current attempt.
func (m *Machine) fillAction(action Action) Action {
	action.Attempt = m.attempt
	action.Replica = m.replica
	action.Delivered = m.delivered
	return action
}
