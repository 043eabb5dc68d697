// Package front is the entry's HTTP face towards callers: it authenticates, parses,
// admits and routes each request, and relays the answer.
package front

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/retry"
	"acaciacleat.example/core/tokens"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
)

// Limits bounds what one request may hold in memory.
type Limits struct {
	// BodyBytes bounds a request's body. A million-token prompt has about 4 to 7 MB.
	BodyBytes int64
	// WholeAnswerBytes bounds an answer that is not streamed, which is held whole.
	WholeAnswerBytes int
	// BodiesBytes bounds all bodies held at once; requests beyond it are refused.
	BodiesBytes int64
}

// DefaultLimits let a million-token prompt through.
var DefaultLimits = Limits{
	BodyBytes:        16 << 20,
	WholeAnswerBytes: 8 << 20,
	BodiesBytes:      512 << 20,
}

// Quota decides whether an organisation may make one more request. quota.Enforcer
// implements it.
type Quota interface {
	// Admit returns nil or why the request is refused. Release must follow its end if it
	// was admitted.
	Admit(key limits.Key, bounds *document.Limits, tokens int) *result.Error
	Release(key limits.Key, bounds *document.Limits)
}

// Config configures a Front.
type Config struct {
	Zone     string
	Registry *flight.Registry
	// Current reports whether the documents in force are certain to be current.
	Current func() bool
	Store   table.Store
	Records *record.Ring
	Limits  Limits
	// Quota keeps organisations within their limits.
	Quota Quota
	// Tracer makes the spans of this hop; nil makes none.
	Tracer *collector.Tracer
	Log    zerolog.Logger
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	config    Config
	snapshot  atomic.Pointer[document.Snapshot]
	ready     atomic.Bool
	bodies    bodyBudget
	retries   retryPolicies
	estimates sharedEstimator
	admission admissions
	metrics   *Metrics
	mux       *http.ServeMux
}

// New returns a Front that is not ready until SetSnapshot.
func New(config Config) *Front {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	f := &Front{config: config, mux: http.NewServeMux(), metrics: NewMetrics()}
	f.bodies.limit = config.Limits.BodiesBytes
	f.retries.byService = make(map[string]*lockedRetries)
	f.retries.floor = retry.NewSharedBudget()
	f.estimates.estimator = tokens.New()
	f.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { f.generate(w, r, true) })
	f.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { f.generate(w, r, false) })
	f.mux.HandleFunc("GET /v1/models", f.models)
	f.mux.HandleFunc("/v1/services/{service}/{path...}", f.service)
	f.mux.HandleFunc("/", f.unknownPath)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// SetSnapshot puts a revision of the documents in force for requests that begin from now.
func (f *Front) SetSnapshot(s *document.Snapshot) { f.snapshot.Store(s) }

// Snapshot returns the revision in force, or nil before the first.
func (f *Front) Snapshot() *document.Snapshot { return f.snapshot.Load() }

// SetReady says whether new requests are taken.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Ready reports whether new requests are taken.
func (f *Front) Ready() bool {
	return f.ready.Load() && f.snapshot.Load() != nil && f.config.Current()
}

// Metrics returns the counters of this front.
func (f *Front) Metrics() *Metrics { return f.metrics }

// bodyBudget bounds the bodies held at once over all requests.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) give(n int64) { b.used.Add(-n) }

// retryPolicies holds each service's retry budget.
type retryPolicies struct {
	mu        sync.Mutex
	byService map[string]*lockedRetries
	floor     *retry.SharedBudget
	// policies guards all budgets and the floor.
	policies sync.Mutex
}

// lockedRetries makes a retry.Policy safe for concurrent use. All services share one lock,
// because they share the floor.
type lockedRetries struct {
	mu     *sync.Mutex
	policy retry.Policy
}

// Allow implements attempt.Retries.
func (l *lockedRetries) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.policy.Allow(now)
}

// Delay implements attempt.Retries.
func (l *lockedRetries) Delay(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.policy.Delay(n)
}

func (l *lockedRetries) first(now time.Time, ratio float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy.SetRatio(ratio)
	l.policy.RecordFirst(now)
}

// sharedEstimator makes a tokens.Estimator safe for concurrent use.
type sharedEstimator struct {
	mu        sync.Mutex
	estimator *tokens.Estimator
}

func (e *sharedEstimator) tokens(model string, bytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.Tokens(model, bytes)
}

// upper estimates a number of tokens that is seldom exceeded.
func (e *sharedEstimator) upper(model string, bytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.UpperBound(model, bytes)
}

func (e *sharedEstimator) observe(model string, bytes, promptTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator.Observe(model, bytes, promptTokens)
}

// TokenEstimateErrors returns the running relative error of the estimate for each of the
// models, for operators.
func (f *Front) TokenEstimateErrors() map[string]float64 {
	errors := make(map[string]float64)
	snapshot := f.snapshot.Load()
	if snapshot == nil {
		return errors
	}
	f.estimates.mu.Lock()
	defer f.estimates.mu.Unlock()
	snapshot.Services(func(service *document.Service) {
		for _, model := range service.Models {
			errors[model.Name] = f.estimates.estimator.RelativeError(model.Name)
		}
	})
	return errors
}

// errNotReady refuses a request before anything is read of it.
func errNotReady() *result.Error { return result.New(result.NotReady, result.NotRun, "") }

// Metrics counts requests by outcome and time to first token by length class.
type Metrics struct {
	Requests atomic.Int64
	byCode   sync.Map
	first    [call.NumClasses]firstToken
}
