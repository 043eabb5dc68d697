package gateway

import (
	"fmt"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/shutdown"
)

// Drain makes every further answer close its connection, and makes Ready return false. New connections are
// accepted for the given time. Requests that could not be completed before ends are refused from then on; zero
// means that there is no limit.
func (g *Gateway) Drain(accepting time.Duration, ends time.Time) {
	now := g.config.Now()
	g.stopping.CompareAndSwap(nil, &shutdown.Window{Began: now, ArrivalsEnd: now.Add(accepting), Ends: ends})
}

// draining reports whether Drain was called.
func (g *Gateway) draining() bool { return g.stopping.Load() != nil }

// refusedByStop refuses a request that this gateway could not complete before it stops; others can. waits
// says that it can't be sent now, firstEvent is the predicted time until its answer begins.
func (e *exchange) refusedByStop(now time.Time, waits bool, firstEvent time.Duration) (attempt.Action, bool) {
	window := e.g.stopping.Load()
	if window == nil || e.mayHaveRun() {
		return attempt.Action{}, false
	}
	answer := e.answerTime()
	if !window.Refuses(now, shutdown.Pending{Arrived: e.arrived, Read: e.readAt, Deadline: e.deadline, FirstEvent: firstEvent, Answer: answer, Waits: waits}) {
		return attempt.Action{}, false
	}
	return e.machine.NoReplica(now, newError(result.Draining, result.NotRun, fmt.Sprintf(
		"the entry stops in %d ms; the request has waited for %d ms, its answer would begin in %d ms and take %d ms",
		window.Ends.Sub(now).Milliseconds(), now.Sub(e.arrived).Milliseconds(), firstEvent.Milliseconds(), answer.Milliseconds()))), true
}

// answerTime returns how long an answer may take from its first event: at an engine, the time for all
// output tokens beside as many streams as it has slots; otherwise the target latency.
func (e *exchange) answerTime() time.Duration {
	spec := e.service.Engine
	if spec == nil {
		return e.route.TargetLatency
	}
	others := max(spec.Slots-1, 0)
	context := others*(spec.MeanPromptTokens+spec.MeanAnswerTokens) + e.meta.PromptTokens
	return spec.Write(e.meta.OutputTokens, others+1, context)
}
