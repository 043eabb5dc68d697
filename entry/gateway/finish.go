package gateway

import (
	"net/http"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/caller"
)

// finish logs the end of the exchange. If the exchange failed, it answers with the error, or aborts
// the connection if that is no longer possible. err is nil if the caller has received the whole
// answer.
func (e *exchange) finish(err *result.Error) {
	e.logEnd(err)
	if err == nil {
		return
	}
	if e.headSent || err.Code == result.CallerGone {
		// The head has been sent, so only a broken connection shows that the answer is
		// incomplete.
		caller.Abort(e.w, e.r)
	}
	status := statusOf(err)
	header := e.w.Header()
	header.Set("Content-Type", "application/problem+json")
	retryAfter := time.Duration(0)
	if impliesNotRun(status) {
		retryAfter = max(err.RetryAfter, defaultRetryAfter)
	}
	e.g.config.Dialect.Failure(header, e.meta.ID, retryAfter)
	header.Set("X-Execution", string(err.Execution))
	e.w.WriteHeader(status)
	_, _ = e.w.Write(caller.ProblemJSON(err, e.meta.ID)) // The caller may have disconnected.
}

// defaultRetryAfter is the Retry-After of answers without an estimate, and the minimum for all
// others. Callers retry only once, so it is short compared with their target latencies.
const defaultRetryAfter = 250 * time.Millisecond

// statusOf returns the HTTP status of a failure. A status that implies that the request has not
// run is used only if that is proved. If it is proved, 503 replaces all other server errors: after
// 502 or 504 a caller would not retry a request that must not be repeated.
func statusOf(err *result.Error) int {
	status := result.Lookup(err.Code).HTTPStatus
	switch {
	case err.Execution != result.NotRun && impliesNotRun(status):
		return http.StatusBadGateway
	case err.Execution == result.NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	default:
		return status
	}
}
