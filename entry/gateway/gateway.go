// Package gateway serves callers by routes of host and prefix and sends their requests directly
// to upstreams, without an agent in between. It does the I/O; the decisions are made by
// core/attempt, core/dispatch and core/routes.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/cooldown"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/core/shutdown"
	"acaciacleat.example/core/slowstart"
	"acaciacleat.example/peers/link"
	"github.com/rs/zerolog"
)

// RequestMeta is the metadata of a caller's request, besides method, path and body.
type RequestMeta struct {
	ID string
	// Key is the API key by which the caller's organisation is found.
	Key string
	// TimeLeft is how long the caller waits; zero if the caller didn't state it.
	TimeLeft time.Duration
	// PromptTokens and OutputTokens are zero for plain services.
	PromptTokens int
	OutputTokens int
	// Segments are the IDs of the segments that the prompt may share with others, such as a system
	// prompt, in the prompt's order.
	Segments []string
}

// ForwardMeta is the metadata that an upstream receives with a request.
type ForwardMeta struct {
	Choice   dispatch.Choice
	TimeLeft time.Duration
	// Organisation is empty if the route requires no key.
	Organisation string
	Streaming    bool
	// LastEventID is set to resume a stream after an event.
	LastEventID string
}

// AnswerMeta is the metadata of an upstream's answer.
type AnswerMeta struct {
	// ID is the ID of the request that the answer belongs to.
	ID string
	// FromUpstream reports whether the answer is the upstream's own.
	FromUpstream bool
	// NotRun states that the upstream has not run the request and never will.
	NotRun bool
	// Upstream is the ID of the incarnation that refused a request meant for another.
	Upstream string
	// FaultAddress is the address of the upstream that caused a refusal, if stated: the one that
	// refused, or a helper, which was to prefill a part of the prompt.
	FaultAddress string
	// Limit is what the answer says of the rate limit of the upstream that sent it.
	Limit ratelimit.Statement
	// Cold is what the answer says of the cold time of the upstream that sent it.
	Cold slowstart.Statement
	// Draining reports whether the upstream says that it is draining; MalformedDraining, whether it
	// says something unknown about that.
	Draining          bool
	MalformedDraining bool
	// Cooldown is the pause that the answer names. It counts if the status is that of a refusal.
	Cooldown cooldown.Statement
}

// Dialect reads and writes the headers by which callers, the gateway and upstreams exchange a
// request's metadata.
type Dialect interface {
	// Request reads a caller's headers.
	Request(h http.Header) RequestMeta
	// Forward turns a caller's headers into those for an upstream.
	Forward(h http.Header, send ForwardMeta)
	// Answer reads the headers of an upstream's answer.
	Answer(h http.Header) AnswerMeta
	// Failure completes the headers of an error answer that the gateway itself generates.
	Failure(h http.Header, id string, retryAfter time.Duration)
}

// Directory provides the routes in force. directory.Keeper implements it.
type Directory interface {
	Table() *routes.Table
	// Superseded returns the table before the present one, or nil. Newest returns the newest version heard of from anyone.
	Superseded() *routes.Superseded
	Newest() uint64
	Ready() bool
	// Current reports whether what the directory knows, the upstreams included, may be relied on: the process has not
	// stood still since it was read. AwaitCurrent waits for that, for a limited time.
	Current() bool
	AwaitCurrent(ctx context.Context)
	// Age returns how long ago this entry last knew that its copy of a feed had missed nothing; negative for never.
	Age(now time.Time, feed link.Feed) time.Duration
	// InForceSince returns when the routes in force were applied. Lagging reports whether they, or the upstreams, are known to
	// be older than they should be, and Explain adds to a line what is known and from which reads.
	InForceSince() time.Time
	Lagging(now time.Time) bool
	// ConfirmRoutes waits, for a limited time, until the store has shown since a time that the routes in force are the newest, to this
	// entry itself or to others. It reports false if it hasn't. RoutesLagging is Lagging for the routes alone.
	ConfirmRoutes(ctx context.Context, since time.Time, itself bool) bool
	RoutesLagging(now time.Time) bool
	Explain(line *zerolog.Event) *zerolog.Event
}

// Config configures a Gateway.
type Config struct {
	Directory Directory
	Fleet     *dispatch.Fleet
	Dialect   Dialect
	Reserver  Reserver
	Clients   *Clients
	Budgets   *Budgets
	// Quarantine holds back requests that make upstreams crash.
	Quarantine Quarantine
	Crashes    *CrashDetector
	// Permits asks other entries for permits of upstreams' rate limits.
	Permits Permits
	Metrics *Metrics
	// MaxBodyBytes bounds a request's body if the routes set no limit.
	MaxBodyBytes int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	config Config
	// stopping is set once Drain was called.
	stopping atomic.Pointer[shutdown.Window]
	// releasing tracks the reservations that are being released.
	releasing  sync.WaitGroup
	logLimiter logLimiter
	returning  returning
	confirmed  confirmedRefusals
	// malformedLog logs malformed statements of upstreams.
	malformedLog zerolog.Logger
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Gateway{
		config:       config,
		malformedLog: config.Log.Sample(&zerolog.BurstSampler{Burst: maxMalformedLines, Period: time.Second}),
	}
}

// Ready reports whether the load balancer should send callers here.
func (g *Gateway) Ready() bool { return g.initialized() && !g.draining() }

// initialized reports whether the directory and the quarantine have been loaded.
func (g *Gateway) initialized() bool {
	return g.config.Directory.Ready() && g.config.Quarantine.Ready()
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.config.Now()
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{
		g: g, w: w, r: r, target: originForm(r), arrived: arrived, meta: g.config.Dialect.Request(r.Header),
		routesAge: g.config.Directory.Age(arrived, link.FeedRoutes), upstreamsAge: g.config.Directory.Age(arrived, link.FeedUpstreams),
		lagging: g.config.Directory.Lagging(arrived),
	}
	g.config.Directory.AwaitCurrent(r.Context())
	err := e.admit()
	if err == nil {
		err = e.run()
	}
	e.finish(err)
}

// originForm returns the request's target as the caller sent it, from its path on: a caller may name the host there as
// well (RFC 9112, section 3.2.2).
func originForm(r *http.Request) string {
	if r.URL.Host == "" || strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	switch at := strings.IndexAny(rest, "/?"); {
	case at < 0:
		return "/"
	case rest[at] == '?':
		return "/" + rest[at:]
	default:
		return rest[at:]
	}
}

// pathOf returns the path of a target, without the query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// ended reports whether the caller has closed its connection or the process stops.
func ended(ctx context.Context) bool { return ctx.Err() != nil }

// newError returns an error whose detail is used as it is, not as a format.
func newError(code result.Code, execution result.Execution, detail string) *result.Error {
	return result.New(code, execution, "%s", detail)
}
