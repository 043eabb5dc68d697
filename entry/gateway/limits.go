package gateway

import (
	"time"

	"acaciacleat.example/core/dispatch"
)

// maxMalformedLines bounds the log lines on malformed limits, per second.
const maxMalformedLines = 2

// countSendsToLimited counts the upstreams of the current attempt that have named a rate limit.
func (e *exchange) countSendsToLimited() {
	if e.choice.Explanation.Limit > 0 {
		e.g.config.Metrics.sentToLimited(rolePrimary, 1)
	}
	e.g.config.Metrics.sentToLimited(roleHelper, e.choice.Explanation.LimitedHelpers)
}

// observeLimit records what the head of an answer says of the rate limit of the current upstream.
// Only an answer of the upstream itself counts.
func (e *exchange) observeLimit(now time.Time, meta AnswerMeta) {
	e.limitAnswer = dispatch.Answer{Statement: meta.Limit, SentAt: e.sentAt, ReceivedAt: now}
	if meta.FromUpstream && meta.ID == e.meta.ID || meta.NotRun {
		e.g.observeLimit(now, e.choice.Upstream, e.limitAnswer)
	}
}

// observeLimit records what the head of an answer says of an upstream's rate limit.
func (g *Gateway) observeLimit(now time.Time, upstream dispatch.Upstream, answer dispatch.Answer) {
	if answer.Malformed {
		g.config.Metrics.malformed.Inc()
		g.malformedLog.Warn().Str("upstream", upstream.ID).
			Msg("the upstream's rate limit is not a valid rate; the last valid one holds")
	}
	g.config.Fleet.ObserveLimit(now, upstream, answer)
}

// limitConfirmed records that the answer of the current upstream is complete.
func (e *exchange) limitConfirmed(now time.Time) {
	e.limitAnswer.Complete = true
	e.g.config.Fleet.ObserveLimit(now, e.choice.Upstream, e.limitAnswer)
}
