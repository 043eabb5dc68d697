package gateway

import (
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
)

// observeStatements records what the head of an answer says of the upstream that sent it: that it is
// draining or cold, and the pause that it wants. A misdirected request was answered by another upstream. The answer
// to another request, or a refusal because of a helper, is the upstream's own.
func (g *Gateway) observeStatements(now time.Time, upstream dispatch.Upstream, status int, meta AnswerMeta) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if meta.MalformedDraining {
		g.malformedStatement(upstream, dispatch.StatesDraining)
	}
	if meta.Draining {
		g.config.Fleet.ObserveDraining(now, upstream)
	}
	if meta.Cold.Malformed {
		g.malformedStatement(upstream, dispatch.StatesCold)
	}
	g.config.Fleet.ObserveCold(now, upstream, meta.Cold.Rest)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	if meta.Cooldown.Malformed {
		g.malformedStatement(upstream, dispatch.StatesCooldown)
	}
	g.config.Fleet.ObservePause(now, upstream, meta.Cooldown.Pause)
}

func (g *Gateway) malformedStatement(upstream dispatch.Upstream, statement dispatch.Statement) {
	g.config.Metrics.malformedStatement(statement)
	g.malformedLog.Warn().Str("upstream", upstream.ID).Str("statement", string(statement)).
		Msg("what the upstream says of itself can't be read; what it has said before holds")
}

// withdrawn fails the current attempt, before anything is sent, if one of its upstreams has said since the
// choice that it takes no requests, the operator evacuates its zone since, or the request is held back since.
func (e *exchange) withdrawn() (attempt.Action, bool) {
	now := e.now()
	if statement, ok := e.g.config.Fleet.Objection(now, e.chosenAt, e.choice.Upstream); ok {
		return e.failAttempt(now, dispatch.Abandoned, withdrawal(e.choice.Upstream, statement)), true
	}
	for _, helper := range e.choice.Helpers {
		if statement, ok := e.g.config.Fleet.Objection(now, e.chosenAt, helper.Upstream); ok {
			outcome := withdrawal(helper.Upstream, statement)
			outcome.RetrySameAgent = true
			return e.failAttempt(now, dispatch.Abandoned, outcome), true
		}
	}
	if left, held := e.g.config.Quarantine.Held(e.quarantineRequest()); held {
		return e.failAttempt(now, dispatch.Abandoned, attempt.Outcome{Code: result.RequestHeldBack, Execution: result.NotRun,
			RetryAfter: left, Detail: "since the upstream was chosen the request is held back"}), true
	}
	return attempt.Action{}, false
}

// cooldownError returns the refusal of a request whose upstreams have all asked for a pause.
func cooldownError(wait time.Duration) *result.Error {
	err := result.New(result.CannotStartInTime, result.NotRun,
		"all upstreams of the service want no requests now; a request may go in %d ms", wait.Milliseconds())
	err.RetryAfter = wait
	return err
}

// evacuatedError returns the refusal of a request whose upstreams are all in evacuated zones.
func evacuatedError(wait time.Duration) *result.Error {
	err := result.New(result.CannotStartInTime, result.NotRun,
		"the operator evacuates all availability zones in which the service has upstreams; a request may go in %d ms", wait.Milliseconds())
	err.RetryAfter = wait
	return err
}

// afterRefusal returns the Retry-After for a request that its upstream has refused: when the first
// upstream takes requests again if all have asked for a pause.
func (e *exchange) afterRefusal(now time.Time) time.Duration {
	request := e.dispatchRequest(now, dispatch.PlacementID{})
	wait, _ := e.g.config.Fleet.CooldownWait(now, &request)
	return max(wait, refusedRetryAfter)
}

func withdrawal(upstream dispatch.Upstream, statement dispatch.Statement) attempt.Outcome {
	return attempt.Outcome{Code: result.Draining, Execution: result.NotRun, Unsent: true, RetryAfter: refusedRetryAfter,
		Detail: "since " + upstream.ID + " was chosen it takes no requests: " + string(statement)}
}

// countControlAgainst counts a control call to an upstream that takes no requests. Memory that was
// reserved before is still renewed and released there.
func (g *Gateway) countControlAgainst(now time.Time, upstream dispatch.Upstream) {
	if statement, ok := g.config.Fleet.Objection(now, time.Time{}, upstream); ok {
		g.config.Metrics.controlAgainst(statement)
	}
}
