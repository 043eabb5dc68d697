package gateway

import (
	"net/http"
	"time"

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
