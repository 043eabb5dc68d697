package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
)

// admit finds the route, the caller and the service, and reads the body. Nothing has been
// sent to an upstream before it returns.
func (e *exchange) admit() *result.Error {
	table := e.g.config.Directory.Table()
	if table == nil || !e.g.knows() {
		// Without routes nobody can tell that this one doesn't exist.
		return fault(result.NotReady, result.NotRun, "no routes are known yet, or not what is held back")
	}
	e.version = table.Version()
	e.route = table.Match(e.r.Host, pathOf(e.r))
	if e.route == nil {
		return fault(result.NotFound, result.NotRun, "no route has this host and path")
	}
	if err := e.authorize(table); err != nil {
		return err
	}
	e.service = table.Service(e.route.Service(e.meta.ID))
	e.setDeadline()
	return e.readBody(table.Limits())
}

func (e *exchange) authorize(table *routes.Table) *result.Error {
	if e.route.Anonymous || !table.RequiresKeys() {
		return nil
	}
	e.caller = table.OrganisationOf(e.meta.Key)
	if e.caller == nil {
		return fault(result.BadKey, result.NotRun, "the key belongs to no organisation")
	}
	return nil
}

// setDeadline takes the caller's time or the route's, whichever ends first.
func (e *exchange) setDeadline() {
	allowed := e.route.Timeout
	if e.meta.TimeLeft > 0 && (allowed == 0 || e.meta.TimeLeft < allowed) {
		allowed = e.meta.TimeLeft
	}
	if allowed == 0 {
		allowed = defaultTimeout
	}
	e.deadline = e.arrived.Add(allowed)
}

// defaultTimeout bounds requests for which neither the caller nor the route gives a time.
const defaultTimeout = time.Minute

func (e *exchange) readBody(limits routes.Limits) *result.Error {
	most := e.g.config.MaxBodyBytes
	if limits.BodyBytes > 0 {
		most = limits.BodyBytes
	}
	if e.r.ContentLength > most {
		return fault(result.BodyTooLarge, result.NotRun, "the body is larger than the routes allow")
	}
	if e.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		e.body = body
		return nil
	case errors.As(err, &tooLarge):
		return fault(result.BodyTooLarge, result.NotRun, "the body is larger than the routes allow")
	default:
		// The body broke off: the caller is gone or speaks no HTTP.
		return fault(result.CallerGone, result.NotRun, err.Error())
	}
}
