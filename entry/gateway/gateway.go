// Package gateway answers callers by routes of host and prefix and sends their requests
// to upstreams itself, without an agent between. Decisions are those of core/attempt,
// core/dispatch and core/routes; this is the shell round them.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"github.com/rs/zerolog"
)

// Meta is what a caller says of its request beside method, path and body.
type Meta struct {
	ID  string
	Key string
	// TimeLeft is how long the caller waits; zero where it didn't say.
	TimeLeft time.Duration
	// PromptTokens and OutputTokens are zero for plain services.
	PromptTokens int
	OutputTokens int
}

// Send is what an upstream is told about a request.
type Send struct {
	Choice   dispatch.Choice
	TimeLeft time.Duration
	// Organisation is empty where the route needs no key.
	Organisation string
	Streaming    bool
	// LastEventID is set to continue a stream behind an event.
	LastEventID string
}

// AnswerMeta is what an upstream says of its answer.
type AnswerMeta struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed answers are the upstream's own.
	Sealed bool
	// NotRun states that the upstream has not run the request and never will.
	NotRun bool
	// Upstream is the id of the incarnation that refused a request meant for another.
	Upstream string
	// Fault is the address of the upstream for which a request was refused, where one is
	// told: the one that refused, or one that was to read a part of the prompt.
	Fault string
}

// Dialect reads and writes the headers by which callers, the gateway and upstreams tell
// each other about a request.
type Dialect interface {
	Request(h http.Header) Meta
	// Forward turns a caller's headers into those for an upstream.
	Forward(h http.Header, send Send)
	Answer(h http.Header) AnswerMeta
	// Failure completes the headers of an answer of the gateway's own.
	Failure(h http.Header, id string, retryAfter time.Duration)
}

// Directory tells what is in force; directory.Keeper implements it.
type Directory interface {
	Table() *routes.Table
	Ready() bool
}

// Config configures a Gateway.
type Config struct {
	Directory Directory
	Fleet     *dispatch.Fleet
	Dialect   Dialect
	Reserver  Reserver
	Clients   *Clients
	Budgets   *Budgets
	// Quarantine tells which requests are held back.
	Quarantine Quarantine
	Crashes    *Crashes
	Metrics    *Metrics
	// MaxBodyBytes bounds a body where the routes don't.
	MaxBodyBytes int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Gateway is an http.Handler for callers.
type Gateway struct {
	config   Config
	draining atomic.Bool
	// releasing counts reserved memory that is being given back.
	releasing sync.WaitGroup
	lines     lineBudget
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Gateway{config: config}
}

// Drain makes every further answer close its connection, and Ready false.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Ready reports whether the balancer should send callers here.
func (g *Gateway) Ready() bool { return g.knows() && !g.draining.Load() }

// knows reports whether enough is known to send requests.
func (g *Gateway) knows() bool { return g.config.Directory.Ready() && g.config.Quarantine.Ready() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.config.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	e := &exchange{g: g, w: w, r: r, arrived: arrived, meta: g.config.Dialect.Request(r.Header)}
	err := e.admit()
	if err == nil {
		err = e.run()
	}
	e.finish(err)
}

// pathOf returns the path as the caller wrote it, without the query.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// isGone reports whether the caller has closed its connection.
func isGone(ctx context.Context) bool { return ctx.Err() != nil }

func fault(code result.Code, execution result.Execution, detail string) *result.Error {
	return result.New(code, execution, "%s", detail)
}
