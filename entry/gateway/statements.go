package gateway

import (
	"net/http"
	"time"

	"acaciacleat.example/core/dispatch"
)

// observeStatements records what the head of an answer says of the upstream that sent it: its rate
// limit, that it is draining, and the pause that it wants. A misdirected request was answered by another
// upstream. The answer to another request, or a refusal because of a helper, is the upstream's own.
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

// countSendsAgainst counts the upstreams of the current attempt that have made a statement against it.
func (e *exchange) countSendsAgainst(now time.Time) {
	e.g.countSendAgainst(now, e.choice.Upstream, rolePrimary)
	for _, helper := range e.choice.Helpers {
		e.g.countSendAgainst(now, helper.Upstream, roleHelper)
	}
}

func (g *Gateway) countSendAgainst(now time.Time, upstream dispatch.Upstream, role string) {
	if statement, ok := g.config.Fleet.Objection(now, upstream); ok {
		g.config.Metrics.sentAgainst(statement, role)
	}
}
