// Package front implements the entry's HTTP interface for callers. It authenticates, parses,
// admits and routes each request, and relays the answer.
package front

import (
	"net/http"
	"strings"
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

// Limits bounds the body and the answer of one request.
type Limits struct {
	// BodyBytes bounds a request's body. A prompt of a million tokens has about 4 to 7 MB.
	BodyBytes int64
	// WholeAnswerBytes bounds an answer that is not streamed and therefore held in memory.
	WholeAnswerBytes int
}

// DefaultLimits admit a prompt of a million tokens.
var DefaultLimits = Limits{
	BodyBytes:        16 << 20,
	WholeAnswerBytes: 8 << 20,
}

// Quota decides whether an organisation may make one more request. quota.Enforcer
// implements it.
type Quota interface {
	// Admit returns nil or the reason why the request is refused. Release must be called at
	// the end of an admitted request.
	Admit(key limits.Key, orgLimits *document.Limits, tokens int) *result.Error
	Release(key limits.Key, orgLimits *document.Limits)
}

// Config configures a Front.
type Config struct {
	Zone     string
	Registry *flight.Registry
	// Current reports whether the documents in force are known to be current.
	Current func() bool
	Store   table.Store
	Records *record.Ring
	Limits  Limits
	// Quota enforces the limits of organisations.
	Quota Quota
	// Tracer creates the spans of this hop; if nil, there are none.
	Tracer *collector.Tracer
	Log    zerolog.Logger
}

// Front is the HTTP handler for callers. It is safe for concurrent use.
type Front struct {
	config    Config
	snapshot  atomic.Pointer[document.Snapshot]
	ready     atomic.Bool
	retries   retryPolicies
	estimates lockedEstimator
	admission admissions
	metrics   *Metrics
}

// New returns a Front that is not ready until SetSnapshot and SetReady are called and
// Config.Current reports true.
func New(config Config) *Front {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	f := &Front{config: config, metrics: NewMetrics()}
	f.retries.byService = make(map[string]*lockedRetries)
	f.retries.sharedBudget = retry.NewSharedBudget()
	f.estimates.estimator = tokens.New()
	return f
}

// The paths of the interface for callers. Below pathServices stand the name of a plain service and the path at it.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/v1/services/"
)

// ServeHTTP implements http.Handler. Paths count as they are: http.ServeMux would redirect those with an empty segment or
// a dot segment, which a plain service may well have.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	read := r.Method == http.MethodGet || r.Method == http.MethodHead
	below, isService := strings.CutPrefix(r.URL.EscapedPath(), pathServices)
	switch path := r.URL.Path; {
	case isService:
		f.callService(w, r, below)
	case path == pathChat && r.Method == http.MethodPost:
		f.generate(w, r, true)
	case path == pathCompletions && r.Method == http.MethodPost:
		f.generate(w, r, false)
	case path == pathModels && read:
		f.models(w, r)
	default:
		f.unknownPath(w, r)
	}
}

// SetSnapshot sets the revision of the documents for requests that start from now on.
func (f *Front) SetSnapshot(s *document.Snapshot) { f.snapshot.Store(s) }

// Snapshot returns the revision in force, or nil before the first.
func (f *Front) Snapshot() *document.Snapshot { return f.snapshot.Load() }

// SetReady sets whether new requests are accepted.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Ready reports whether new requests are accepted: SetReady was called with true, and the documents
// are loaded and current.
func (f *Front) Ready() bool {
	return f.ready.Load() && f.snapshot.Load() != nil && f.config.Current()
}

// Metrics returns the counters of this front.
func (f *Front) Metrics() *Metrics { return f.metrics }

// retryPolicies holds the retry policy of each service.
type retryPolicies struct {
	mu           sync.Mutex
	byService    map[string]*lockedRetries
	sharedBudget *retry.SharedBudget
	// budgetMu guards the budgets of all services and sharedBudget.
	budgetMu sync.Mutex
}

// lockedRetries makes a retry.Policy safe for concurrent use. All services share one lock
// because they share the sharedBudget.
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

// recordFirst sets the ratio of retries and counts a first attempt.
func (l *lockedRetries) recordFirst(now time.Time, ratio float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy.SetRatio(ratio)
	l.policy.RecordFirst(now)
}

// lockedEstimator makes a tokens.Estimator safe for concurrent use.
type lockedEstimator struct {
	mu        sync.Mutex
	estimator *tokens.Estimator
}

func (e *lockedEstimator) tokens(model string, bytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.Tokens(model, bytes)
}

// upperBound returns an estimate of the tokens that is seldom exceeded.
func (e *lockedEstimator) upperBound(model string, bytes int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.UpperBound(model, bytes)
}

func (e *lockedEstimator) observe(model string, bytes, promptTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator.Observe(model, bytes, promptTokens)
}

// TokenEstimateErrors returns the moving average of the relative error of the token estimate
// for each model.
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

// errNotReady returns the refusal of a request while the entry is not ready.
func errNotReady() *result.Error { return result.New(result.NotReady, result.NotRun, "") }

// Metrics counts requests by result and records the time to first token by length class.
type Metrics struct {
	Requests   atomic.Int64
	byCode     sync.Map
	firstToken [call.NumClasses]firstTokenHistogram
}
