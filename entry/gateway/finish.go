package gateway

import (
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/caller"
)

// finish ends the exchange. err is nil where the caller has its whole answer.
func (e *exchange) finish(err *result.Error) {
	e.logEnd(err)
	if err == nil {
		return
	}
	if e.headed || err.Code == result.CallerGone {
		// The head is out, so only a broken connection tells that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	status := statusOf(err)
	header := e.w.Header()
	header.Set("Content-Type", "application/problem+json")
	retryAfter := time.Duration(0)
	if promises(status) {
		retryAfter = max(err.RetryAfter, defaultRetryAfter)
	}
	e.g.config.Dialect.Failure(header, e.meta.ID, retryAfter)
	header.Set("X-Execution", string(err.Execution))
	e.w.WriteHeader(status)
	_, _ = e.w.Write(caller.ProblemJSON(err, e.meta.ID)) // A caller that is gone misses it.
}

// defaultRetryAfter is told where nobody knows better. Callers come back once, so the time
// is short against their aims.
const defaultRetryAfter = 250 * time.Millisecond

// statusOf returns the status of a failure. Those that promise that the request has not
// run are used only with proof, and then always where another try may help: 502 and 504
// would keep a caller whose request may not be repeated from trying again.
func statusOf(err *result.Error) int {
	status := result.Lookup(err.Code).HTTPStatus
	switch {
	case err.Execution != result.NotRun && promises(status):
		return http.StatusBadGateway
	case err.Execution == result.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	default:
		return status
	}
}

// logLeave tells why an attempt was given up.
func (e *exchange) logLeave(word attempt.Word) {
	e.g.config.Metrics.left(word)
	e.g.config.Log.Info().Str("request", e.meta.ID).Str("upstream", e.choice.Upstream.ID).
		Int("attempt", e.sends).Str("result", result.Lookup(word.Code).Name).Str("execution", string(word.Execution)).
		Str("detail", word.Detail).Msg("attempt left")
}

// logEnd tells how a request ended: always where it failed.
func (e *exchange) logEnd(err *result.Error) {
	took := e.g.config.Now().Sub(e.arrived)
	e.g.config.Metrics.ended(e, err, took)
	if err == nil {
		return
	}
	line := e.g.config.Log.Warn().Str("request", e.meta.ID).Str("result", result.Lookup(err.Code).Name).
		Str("execution", string(err.Execution)).Str("detail", err.Detail).Int64("took_ms", took.Milliseconds()).
		Int("sends", e.sends).Bool("headed", e.headed)
	if e.route != nil {
		line = line.Str("route", e.route.Name).Int64("allowed_ms", e.deadline.Sub(e.arrived).Milliseconds())
	}
	if e.choice.Upstream.ID != "" {
		line = line.Str("upstream", e.choice.Upstream.ID)
	}
	line.Msg("request failed")
}
