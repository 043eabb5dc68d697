package front

import (
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/retry"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/collector"
	"github.com/pkg/errors"

	mathrand "math/rand/v2"
)

// Headers of answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderExecution = "X-Execution"
)

// retryMinimum lets a service with little traffic retry at all.
const retryMinimum = retry.DefaultMinInterval

// request is one HTTP request on its way through the front.
type request struct {
	front     *Front
	writer    http.ResponseWriter
	http      *http.Request
	id        call.ID
	started   time.Time
	snapshot  *document.Snapshot
	principal *document.Principal
	record    *record.Request
	openAI    bool
	body      []byte
	held      int64
	predicted time.Duration
	span      collector.Span
	// quotaKey and bounds are those that the request was admitted under.
	quotaKey limits.Key
	bounds   *document.Limits
}

// begin identifies and authenticates a request; nil when it has been answered.
func (f *Front) begin(w http.ResponseWriter, r *http.Request, openAI bool) *request {
	q := &request{front: f, writer: w, http: r, started: time.Now(), openAI: openAI}
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
	return nil
}

// readBody reads the whole body within its bounds. release must be called afterwards.
func (q *request) readBody() *result.Error {
	limit := q.front.config.Limits.BodyBytes
	if q.http.ContentLength > limit {
		return result.New(result.BodyTooLarge, result.NotRun, "%d bytes, at most %d", q.http.ContentLength, limit)
	}
	q.held = max(q.http.ContentLength, 0)
	if q.http.ContentLength < 0 {
		q.held = limit
	}
	if !q.front.bodies.take(q.held) {
		q.held = 0
		return result.New(result.QueueFull, result.NotRun, "the entry holds too many bodies")
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.http.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, result.NotRun, "at most %d bytes", limit)
	}
	if err != nil {
		return result.New(result.CallerGone, result.NotRun, "%v", err)
	}
	q.body = body
	return nil
}

// fingerprint stands for the request's content. Entries are known by many hosts, which doesn't make
// another request of it.
func (q *request) fingerprint() fingerprint.Print {
	return fingerprint.Of(fingerprint.Request{
		Method: q.http.Method, Path: q.http.RequestURI, Caller: q.principal.Organisation, Body: q.body,
	})
}

func (q *request) release() { q.front.bodies.give(q.held) }

// admit takes one request of the organisation's limits in a service. It counts as a first
// attempt for the retry budget only then: refused requests would raise the budget without
// bound. leave must follow if it returns nil.
func (q *request) admit(service *document.Service, spec *flight.Spec) *result.Error {
	q.quotaKey = limits.Key{Service: service.Name, Organisation: q.principal.Organisation}
	q.bounds = &q.principal.Row(service.Name).Limits
	if err := q.front.config.Quota.Admit(q.quotaKey, q.bounds, spec.Route.Demand.Tokens()); err != nil {
		return err
	}
	spec.Retries = q.front.retriesOf(service)
	return nil
}

// leave gives back the concurrency that admit took.
func (q *request) leave() { q.front.config.Quota.Release(q.quotaKey, q.bounds) }

// fail answers with an error and closes the record.
func (q *request) fail(err *result.Error) {
	q.finish(err)
	info := result.Lookup(err.Code)
	h := q.writer.Header()
	h.Set(HeaderExecution, string(err.Execution))
	caller.SetRetryAfter(h, err)
	body := caller.ProblemJSON(err, q.id.String())
	h.Set("Content-Type", "application/problem+json")
	if q.openAI {
		body = caller.FailureJSON(err, q.id.String())
		h.Set("Content-Type", "application/json")
	}
	q.writer.WriteHeader(info.HTTPStatus)
	_, _ = q.writer.Write(body)
}

// finish closes the record, counts and logs the outcome; err is nil on success.
func (q *request) finish(err *result.Error) {
	q.record.Finish(err)
	code := result.OK
	if err != nil {
		code = err.Code
	}
	q.front.metrics.count(code)
	q.span.End(q.id.String(), code)
	event := q.front.config.Log.Info()
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

// retriesOf returns the retry budget of a service, and counts a first attempt. The ratio
// is taken from each request's own document: kept from the first one, a change of it has
// no effect until the entry restarts, and an operator who lowers it in an outage sees
// the retries go on.
func (f *Front) retriesOf(service *document.Service) *lockedRetries {
	f.retries.mu.Lock()
	l := f.retries.byService[service.Name]
	if l == nil {
		source := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
		budget := retry.NewBudget(service.RetryRatio, retryMinimum)
		budget.UseShared(f.retries.floor)
		l = &lockedRetries{mu: &f.retries.policies, policy: retry.Policy{Budget: budget, Backoff: retry.NewBackoff(source)}}
		f.retries.byService[service.Name] = l
	}
	f.retries.mu.Unlock()
	l.first(time.Now(), service.RetryRatio)
	return l
}

func (f *Front) unknownPath(w http.ResponseWriter, r *http.Request) {
	q := &request{front: f, writer: w, http: r, started: time.Now()}
	_, _ = rand.Read(q.id[:])
	w.Header().Set(HeaderRequestID, q.id.String())
	q.record = f.config.Records.Begin(q.id)
	f.metrics.Requests.Add(1)
	q.fail(result.New(result.NotFound, result.NotRun, "%s %s", r.Method, r.URL.Path))
}
