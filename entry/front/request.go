package front

import (
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/retry"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/httpserver"
	"github.com/pkg/errors"

	mathrand "math/rand/v2"
)

// Headers of answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderExecution = "X-Execution"
)

// minRetryInterval is the time after which a service may always retry once more. Otherwise
// Service.RetryRatio would allow almost no retries to a service with little traffic.
const minRetryInterval = retry.DefaultMinInterval

// request is the state of one HTTP request.
type request struct {
	front     *Front
	writer    http.ResponseWriter
	http      *http.Request
	id        call.ID
	started   time.Time
	snapshot  *document.Snapshot
	principal *document.Principal
	record    *record.Request
	// openAIErrors is set if errors are encoded as OpenAI's API does.
	openAIErrors bool
	body         []byte
	// predicted is the predicted time to the first token.
	predicted time.Duration
	span      collector.Span
	// quotaKey and orgLimits are the key and the organisation's limits under which the request was
	// admitted.
	quotaKey  limits.Key
	orgLimits *document.Limits
}

// begin gives a request its ID and authenticates it. It returns nil if it has answered the
// request with an error.
func (f *Front) begin(w http.ResponseWriter, r *http.Request, openAIErrors bool) *request {
	q := &request{front: f, writer: w, http: r, started: time.Now(), openAIErrors: openAIErrors}
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(q.id[:])
	w.Header().Set(HeaderRequestID, q.id.String())
	q.record = f.config.Records.Begin(q.id)
	f.metrics.Requests.Add(1)
	q.span = f.config.Tracer.StartAt(r.Header.Get("Traceparent"), collector.HopEntry, q.started)
	if err := q.authenticate(); err != nil {
		q.fail(err)
		return nil
	}
	return q
}

// authenticate finds the principal of the request's key in the documents in force. It refuses all
// requests while the entry is not ready.
func (q *request) authenticate() *result.Error {
	if !q.front.Ready() {
		return errNotReady()
	}
	q.snapshot = q.front.snapshot.Load()
	scheme, key, found := strings.Cut(q.http.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return result.New(result.BadKey, result.NotRun, "no bearer key")
	}
	q.principal = q.snapshot.Principal(document.HashKey(key))
	if q.principal == nil {
		return result.New(result.BadKey, result.NotRun, "the key is not known")
	}
	q.record.Update(func(r *record.Request) {
		r.Organisation = q.principal.Organisation
		r.Revision = uint64(q.snapshot.Revision)
	})
	httpserver.Join(q.http, q.principal.Organisation)
	return nil
}

const (
	// longestUpload bounds the time for a body if the caller states no time for the whole request.
	longestUpload = 10 * time.Minute
	// sentCopies is how many more times the memory of a body is used for what waits to be sent to an agent, parsedCopies
	// that with the parsed prompt of a generation. Bodies up to freeBodyBytes are part of what each connection
	// is charged with.
	sentCopies    = 1
	parsedCopies  = 2
	freeBodyBytes = 16 << 10
)

// readBody reads the whole body within the limits. copies is how many more times its memory is used.
func (q *request) readBody(copies int) *result.Error {
	limit := q.front.config.Limits.BodyBytes
	body, err := httpserver.ReadBody(q.http, limit, q.bodyDeadline())
	if err == nil && len(body) > freeBodyBytes && !httpserver.Acquire(q.http, copies*len(body)) {
		err = httpserver.ErrNoRoom
	}
	switch {
	case err == nil:
		q.body = body
		return nil
	case errors.Is(err, httpserver.ErrTooLarge):
		return result.New(result.BodyTooLarge, result.NotRun, "at most %d bytes", limit)
	case errors.Is(err, httpserver.ErrTooSlow):
		return result.New(result.RequestTimeout, result.NotRun, "the body was not whole within the request's time, or paused for too long")
	case errors.Is(err, httpserver.ErrNoRoom):
		return result.New(result.EntryFull, result.NotRun, "there is no memory for the body")
	default:
		return result.New(result.CallerGone, result.NotRun, "%v", err)
	}
}

// bodyDeadline returns when the body must have arrived. The bounds of the service may not be known yet.
func (q *request) bodyDeadline() time.Time {
	allowed, err := deadline.Parse(q.http.Header.Get(deadline.Header), deadline.Bounds{Default: longestUpload, Max: longestUpload})
	if err != nil {
		allowed = longestUpload // The header is refused once the bounds are known.
	}
	return q.started.Add(allowed)
}

// fingerprint returns the fingerprint of the request's content. It leaves out the host, because
// entries are reached under many host names.
func (q *request) fingerprint() fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{
		Method: q.http.Method, Path: q.http.RequestURI, Caller: q.principal.Organisation, Body: q.body,
	})
}

// admit admits a request under the limits of its organisation in a service. Only an admitted
// request counts as a first attempt for the retry budget: refused requests would raise the
// budget without bound. releaseQuota must be called at the end if admit returns nil.
func (q *request) admit(service *document.Service, spec *flight.Spec) *result.Error {
	q.quotaKey = limits.Key{Service: service.Name, Organisation: q.principal.Organisation}
	q.orgLimits = &q.principal.OrganisationIn(service.Name).Limits
	if err := q.front.config.Quota.Admit(q.quotaKey, q.orgLimits, spec.Route.Demand.Tokens()); err != nil {
		return err
	}
	spec.Retries = q.front.beginRetries(service)
	return nil
}

// releaseQuota releases the concurrency that admit acquired.
func (q *request) releaseQuota() { q.front.config.Quota.Release(q.quotaKey, q.orgLimits) }

// fail answers with an error and closes the record.
func (q *request) fail(err *result.Error) {
	q.finish(err)
	info := result.Lookup(err.Code)
	h := q.writer.Header()
	h.Set(HeaderExecution, string(err.Execution))
	caller.SetRetryAfter(h, err)
	body := caller.ProblemJSON(err, q.id.String())
	h.Set("Content-Type", "application/problem+json")
	if q.openAIErrors {
		body = caller.ErrorJSON(err, q.id.String())
		h.Set("Content-Type", "application/json")
	}
	q.writer.WriteHeader(info.HTTPStatus)
	_, _ = q.writer.Write(body)
}

// finish closes the record, and counts and logs the result; err is nil on success.
func (q *request) finish(err *result.Error) {
	q.record.Finish(err)
	code := result.OK
	if err != nil {
		code = err.Code
	}
	q.front.metrics.countResult(code)
	q.span.End(q.id.String(), code)
	event := q.front.config.Log.Info()
	// The codes from DeadlinePassed on are neither faults of the caller nor limits; see result.Code.
	if code >= result.DeadlinePassed {
		event = q.front.config.Log.Warn()
	}
	event.Stringer("request", q.id).Int("code", int(code)).Dur("took", time.Since(q.started)).Str("path", q.http.URL.Path)
	if err != nil {
		event.Str("execution", string(err.Execution)).Str("detail", err.Detail)
	}
	event.Msg("request ended")
}

func (q *request) observe(step flight.Step) { q.record.Add(step.Name, step.Agent, step.Detail) }

// beginRetries counts a first attempt at a service and returns the service's retry policy. It
// sets the ratio anew for each request, from the request's document. If the ratio of the first
// request were kept, a change would have no effect until the entry restarts, and an operator
// could not reduce the retries during an outage.
func (f *Front) beginRetries(service *document.Service) *lockedRetries {
	f.retries.mu.Lock()
	l := f.retries.byService[service.Name]
	if l == nil {
		source := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
		budget := retry.NewBudget(service.RetryRatio, minRetryInterval)
		budget.UseShared(f.retries.sharedBudget)
		l = &lockedRetries{mu: &f.retries.budgetMu, policy: retry.Policy{Budget: budget, Backoff: retry.NewBackoff(source)}}
		f.retries.byService[service.Name] = l
	}
	f.retries.mu.Unlock()
	l.recordFirst(time.Now(), service.RetryRatio)
	return l
}

// unknownPath answers requests for paths that the interface doesn't have.
func (f *Front) unknownPath(w http.ResponseWriter, r *http.Request) {
	q := &request{front: f, writer: w, http: r, started: time.Now()}
	_, _ = rand.Read(q.id[:])
	w.Header().Set(HeaderRequestID, q.id.String())
	q.record = f.config.Records.Begin(q.id)
	f.metrics.Requests.Add(1)
	q.fail(result.New(result.NotFound, result.NotRun, "%s %s", r.Method, r.URL.Path))
}
