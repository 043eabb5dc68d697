package gateway

import (
	"context"
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/result"
)

// maxMalformedLines bounds the log lines on malformed limits, per second.
const maxMalformedLines = 2

// countSendsToLimited counts the upstreams of a choice that have named a rate limit.
func (g *Gateway) countSendsToLimited(choice dispatch.Choice) {
	if choice.Explanation.Limit > 0 {
		g.config.Metrics.sentToLimited(rolePrimary, 1)
	}
	g.config.Metrics.sentToLimited(roleHelper, choice.Explanation.LimitedHelpers)
	if choice.Explanation.Cold {
		g.config.Metrics.toCold.Inc()
	}
}

// permitExpired fails the current attempt, before anything is sent, if its upstream is cold and the permit
// is older than permitValidity: the process may have been frozen since the choice.
func (e *exchange) permitExpired() (attempt.Action, bool) {
	now := e.now()
	if !e.choice.Explanation.Cold || now.Sub(e.grantedAt) <= permitValidity {
		return attempt.Action{}, false
	}
	return e.failAttempt(now, dispatch.Abandoned, attempt.Outcome{Code: result.CannotStartInTime, Execution: result.NotRun, Unsent: true, RetryAfter: refusedRetryAfter,
		RetrySameAgent: true, Detail: "the permit for " + e.choice.Upstream.ID + ", which is cold, is too old"}), true
}

// observeLimit records what the head of an answer says of the rate limit of the current upstream.
// Only an answer of the upstream itself counts.
func (e *exchange) observeLimit(now time.Time, status int, meta AnswerMeta) {
	e.limitAnswer = dispatch.LimitAnswer{Statement: meta.Limit, SentAt: e.sentAt, ReceivedAt: now}
	if meta.FromUpstream && meta.ID == e.meta.ID || meta.NotRun {
		e.g.observeLimit(now, e.choice.Upstream, status, e.limitAnswer)
	}
}

// observeLimit records what the head of an answer says of an upstream's rate limit. A misdirected
// request was answered by another upstream.
func (g *Gateway) observeLimit(now time.Time, upstream dispatch.Upstream, status int, answer dispatch.LimitAnswer) {
	if status == http.StatusMisdirectedRequest {
		return
	}
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

// Permits asks other entries for permits of upstreams' rate limits. share.Peers implements it.
type Permits interface {
	// AskPermit asks the entry on a VM to grant a request. The result ok is false if it doesn't
	// reply.
	AskPermit(ctx context.Context, vm string, ask ratelimit.Ask) (reply ratelimit.Reply, ok bool)
}

// permitValidity is how much later than granted a request may be sent. A permit that is older, for
// example because the process was frozen, would add to those granted since.
const permitValidity = 100 * time.Millisecond

// acquirePermit has the request granted by a holder of the upstream's limit: by the first one that
// grants it at once, otherwise by the one with the shortest wait, if that is short enough. It
// reports the result to the fleet.
func (e *exchange) acquirePermit(choice dispatch.Choice) {
	ask := choice.Permit.Ask()
	least, from := e.ownPermitWait(choice), ""
	for _, vm := range choice.Permit.Holders {
		askedAt := e.now()
		reply, ok := e.askPermit(vm, ask)
		switch {
		case !ok:
			e.g.config.Fleet.HolderSilent(e.now(), vm)
		case reply.Granted:
			e.usePermit(choice, askedAt)
			return
		case least < 0 || reply.Wait() < least:
			least, from = reply.Wait(), vm
		}
	}
	if least < 0 || least > choice.Permit.Within {
		e.g.config.Fleet.RecordPermit(e.now(), choice.Upstream, false, least)
		if least < 0 && choice.Permit.Within >= dispatch.UnknownPermitWait {
			e.pause(dispatch.UnknownPermitWait)
		}
		return
	}
	ask.WithinMs = choice.Permit.Within.Milliseconds()
	askedAt := e.now()
	wait, granted := e.takePermit(choice, from, ask)
	if !granted {
		e.g.config.Fleet.RecordPermit(e.now(), choice.Upstream, false, wait)
		return
	}
	e.usePermit(choice, askedAt.Add(wait))
}

// ownPermitWait returns the wait for a permit of this entry's own share; negative if it has none.
func (e *exchange) ownPermitWait(choice dispatch.Choice) time.Duration {
	wait, _ := e.g.config.Fleet.OwnPermit(e.now(), choice.Upstream, -1)
	return wait
}

// takePermit has the request granted by this entry, if vm is empty, or by another one.
func (e *exchange) takePermit(choice dispatch.Choice, vm string, ask ratelimit.Ask) (wait time.Duration, granted bool) {
	if vm == "" {
		return e.g.config.Fleet.OwnPermit(e.now(), choice.Upstream, ask.Within())
	}
	reply, ok := e.askPermit(vm, ask)
	if !ok {
		return -1, false
	}
	return reply.Wait(), reply.Granted
}

func (e *exchange) askPermit(vm string, ask ratelimit.Ask) (ratelimit.Reply, bool) {
	reply, ok := e.g.config.Permits.AskPermit(e.r.Context(), vm, ask)
	e.g.config.Metrics.permitAsked(reply.Granted, ok)
	return reply, ok
}

// usePermit waits until a granted request is due. The holder counts from when it was asked, at the
// earliest.
func (e *exchange) usePermit(choice dispatch.Choice, due time.Time) {
	e.pause(due.Sub(e.now()))
	now := e.now()
	e.g.config.Fleet.RecordPermit(now, choice.Upstream, true, 0)
	if now.Sub(due) <= permitValidity {
		e.permitDue = due
		e.permit = dispatch.GrantedPermit{Upstream: choice.Upstream, Rate: choice.Permit.Rate}
	}
}

// rateLimitedError returns the refusal of a request that the upstreams' rate limits don't allow in
// time.
func rateLimitedError(why dispatch.Explanation) *result.Error {
	err := result.New(result.CannotStartInTime, result.NotRun,
		"all upstreams of the service limit their rate or are cold, the next one to %.2f requests a second; a request may go in %d ms",
		float64(why.Limit), why.ClearTime.Milliseconds())
	err.RetryAfter = why.ClearTime
	return err
}
