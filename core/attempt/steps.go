package attempt

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/result"
)

// current reports whether an event of this attempt concerns the machine now.
func (m *Machine) current(attempt call.Attempt) bool {
	return m.step >= offered && m.step < done && attempt == m.attempt
}

// heard records a sign of life from the agent.
func (m *Machine) heard() {
	m.silent = 0
	if m.step == accepted || m.step == streaming {
		m.timer = time.Time{}
	}
}

// await enters a step that only the deadline bounds.
func (m *Machine) await(s step) {
	m.step = s
	m.timer = time.Time{}
}

// awaitAnswer enters a step in which the agent must answer soon after delay. Without
// the timer, a connection that has gone silent would hold the call until its deadline.
func (m *Machine) awaitAnswer(now time.Time, delay time.Duration, s step) {
	m.step = s
	left := call.Remaining(m.request.Deadline, now)
	m.timer = now.Add(delay + deadline.OfferWait(left))
}

func (m *Machine) choose() Action {
	m.await(choosing)
	kind := Choose
	if m.delivered > 0 {
		kind = ContinueElsewhere
	}
	return Action{Kind: kind, Delivered: m.delivered, Better: m.better}
}

// offer sends the offer, again if need be: the agent's Ledger recognises a repeated one
// by its id, and the same stamp keeps it from reviving one that was forgotten.
func (m *Machine) offer(now time.Time, delay time.Duration) Action {
	m.open = true
	m.awaitAnswer(now, delay, offered)
	return m.act(Action{Kind: Offer, Redial: m.silent > 0, Delay: delay})
}

func (m *Machine) resume(now time.Time, delay time.Duration) Action {
	m.awaitAnswer(now, delay, m.step)
	return m.act(Action{Kind: ResumeOnNewLink, Redial: true, NextSeq: m.nextSeq, Delay: delay})
}

func (m *Machine) cancel(now time.Time, delay time.Duration) Action {
	m.awaitAnswer(now, delay, cancelling)
	return m.act(Action{Kind: CancelAndConfirm, Redial: true, Delay: delay})
}

// reconnect tries the same incarnation over a new link, up to maxSilent times.
func (m *Machine) reconnect(now time.Time) Action {
	if m.request.Repeatable && m.silent >= maxSilent {
		return m.leave(now, Word{Code: result.LinkSilent}, false)
	}
	delay := m.request.Retries.Delay(m.silent)
	switch {
	case m.step == cancelling, !m.ran && m.silent >= maxSilent:
		return m.cancel(now, delay)
	case m.step == offered:
		return m.offer(now, delay)
	default:
		return m.resume(now, delay)
	}
}

// leave ends the current attempt, of which the agent said word, or which the machine gave
// up for word's code. proved means that it has not run and never will.
func (m *Machine) leave(now time.Time, word Word, proved bool) Action {
	m.open = !proved
	again := word.Again && proved && m.agains < maxAgain
	switch {
	case !proved && !m.request.Repeatable, !retryable(word.Code):
		return m.fail(word)
	case m.headed && !m.request.Continuable:
		return m.fail(Word{Code: result.StreamBroken, Detail: word.Detail})
	case !again && !m.MayGoElsewhere():
		return m.fail(word)
	case (m.request.EveryRetry || spendsBudget(word.Code, proved)) && !m.request.Retries.Allow(now):
		return m.fail(budgetSpent(word))
	}
	m.doubt = m.doubt || !proved
	m.open = false
	if again {
		m.agains++
		m.kept = m.replica.Agent
		return m.retry(now, false)
	}
	m.refused = append(m.refused, m.replica.Agent)
	m.retries++
	return m.retry(now, !proved)
}

// maxAgain bounds how often a call is sent without what it was refused for: each time one more
// upstream is found that doesn't serve, and the budget bounds them all together.
const maxAgain = 6

// budgetSpent says what would have been retried, with the agent's own detail and advice.
func budgetSpent(word Word) Word {
	detail := result.Lookup(word.Code).Name
	if word.Detail != "" {
		detail += ": " + word.Detail
	}
	return Word{Code: result.RetryBudgetSpent, Detail: detail, RetryAfter: word.RetryAfter}
}

// retry chooses again: at once if the refuser knows of room elsewhere, where waiting
// would only lose time, otherwise after a delay.
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

// spendsBudget reports whether going on elsewhere counts against the service's budget of
// retries. The budget keeps retries from feeding an overload. Two cases can not: an
// agent that refused had no work from the offer, and an agent that is gone leaves no
// more work behind than it had, once for each of its calls. Without the second, the
// death of one agent would end most of its streams, far more than a tenth of the calls
// of that moment.
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

// retryable reports whether another agent might do better.
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

// orExpire replaces action by a failure if the deadline has passed. An entry that was
// paused would otherwise act on for a caller that has long given up.
func (m *Machine) orExpire(now time.Time, action Action) Action {
	if m.step == done || !m.expired(now) {
		return action
	}
	return m.fail(Word{Code: result.DeadlinePassed})
}

func (m *Machine) expired(now time.Time) bool { return !now.Before(m.request.Deadline) }

func (m *Machine) fail(word Word) Action {
	err := result.New(word.Code, m.Execution(), "%s", word.Detail)
	err.RetryAfter = word.RetryAfter
	err.Better = m.better
	// Other tries may wait for the run of a keyed call: it is not given up with this one.
	release := m.step >= offered && m.open && !m.request.Keyed
	return m.finish(Action{Kind: Fail, Err: err, Release: release})
}

func (m *Machine) finish(action Action) Action {
	m.await(done)
	return m.act(action)
}

// act completes an action that concerns the current attempt.
func (m *Machine) act(action Action) Action {
	action.Attempt = m.attempt
	action.Replica = m.replica
	action.Delivered = m.delivered
	return action
}
