package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	peer "acaciacleat.example/peers/engine"
	"acaciacleat.example/standin/engine/httpfaults"
	"acaciacleat.example/standin/faults"
)

// Operations that the field Operation of a Fault can name. OpStream is for faults with AfterTokens,
// OpOrder for orders to load a model or an adapter or to change the role.
const (
	OpGenerate    = "generate"
	OpStream      = "stream"
	OpCancel      = "cancel"
	OpReserve     = "reserve"
	OpReport      = "report"
	OpCacheEvents = "cache-events"
	OpOrder       = "order"
	OpExport      = "export"
	OpImport      = "import"
	OpHealth      = "health"
)

// Stats counts what an engine did, which a real engine does not report.
type Stats struct {
	// Runs counts the runs that began, by request ID.
	Runs map[string]int `json:"runs"`
	// HeldTokens is the memory held by requests and reservations, CachedTokens the size of the
	// prefix cache in addition to it.
	HeldTokens   int64 `json:"held_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// Running, Waiting and Reservations are the present numbers of runs in the batch, of runs in the
	// queue, and of reservations.
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	Reservations int `json:"reservations"`
	// Completed counts the runs that produced their last token, Cancelled those that were cancelled
	// by a call or a closed connection, and Preempted the preemptions.
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Preempted int `json:"preempted"`
	// Expired counts the reservations that expired, Refused the refused generation requests, and
	// Steps the steps of the step loop.
	Expired int `json:"expired"`
	Refused int `json:"refused"`
	Steps   int `json:"steps"`
}

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	config      Config
	mux         *http.ServeMux
	faults      faults.Table
	streams     streamFaults
	groupClient *http.Client
	// orderSlot is a semaphore: at most one order is executed at a time.
	orderSlot chan struct{}

	mu       sync.Mutex
	model    string
	version  string
	role     string
	adapters map[string]string
	// fencingToken is the highest fencing token of an order, if the engine is configured to check
	// them.
	fencingToken uint64
	// loading is set while an order to load a model drains the engine and replaces the model.
	loading         bool
	closed          bool
	stepLoopRunning bool
	// drained, if not nil, is closed when the last sequence ends.
	drained    chan struct{}
	usedTokens int64
	// arrivals counts the accepted requests; it provides their order and their run IDs.
	arrivals     uint64
	waiting      []*sequence
	running      []*sequence
	sequences    map[string]*sequence // by run ID
	reservations map[string]*reservation
	cache        *cache
	events       eventLog
	history      []snapshot
	stats        Stats
}

// New returns an engine that serves its configured model. An engine without requests needs no
// cleanup; Close only simulates a failure.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:       config,
		mux:          http.NewServeMux(),
		groupClient:  newGroupClient(),
		orderSlot:    make(chan struct{}, 1),
		model:        config.Model,
		version:      config.Version,
		role:         config.Role,
		adapters:     map[string]string{},
		sequences:    map[string]*sequence{},
		reservations: map[string]*reservation{},
		events:       eventLog{config: config},
		stats:        Stats{Runs: map[string]int{}},
	}
	for _, name := range config.Adapters {
		e.adapters[name] = ""
	}
	e.cache = newCache(config.CacheTokens, func(block uint64, evicted bool) {
		e.events.add(block, evicted, time.Now())
	})
	e.routes()
	e.recordState()
	return e
}

func (e *Engine) routes() {
	generate := func(chat bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, chat) }
	}
	e.handle(OpGenerate, "POST "+peer.PathCompletions, generate(false))
	e.handle(OpGenerate, "POST "+peer.PathChat, generate(true))
	e.handle(OpCancel, "DELETE "+peer.PathRequests+"{id}", e.cancel)
	e.handle(OpReserve, "POST "+peer.PathReservations, e.reserve)
	e.handle(OpReserve, "GET "+peer.PathReservations+"/{id}", e.watchReservation)
	e.handle(OpReport, "GET "+peer.PathReport, e.report)
	e.handle(OpCacheEvents, "GET "+peer.PathCacheEvents, e.cacheEvents)
	e.handle(OpOrder, "POST "+peer.PathOrders, e.order)
	e.handle(OpExport, "POST "+peer.PathExport, e.exportKV)
	e.handle(OpImport, "POST "+peer.PathImport, e.importKV)
	e.handle(OpHealth, "GET "+peer.PathHealth, func(http.ResponseWriter, *http.Request) {})
	e.mux.HandleFunc("PUT /faults", httpfaults.Put(e.SetFaults))
	e.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
}

func (e *Engine) handle(operation, pattern string, h http.HandlerFunc) {
	e.mux.HandleFunc(pattern, httpfaults.Wrap(&e.faults, operation, h))
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Runs = maps.Clone(e.stats.Runs)
	stats.HeldTokens = e.usedTokens
	stats.CachedTokens = e.cache.tokens()
	stats.Running = len(e.running)
	stats.Waiting = len(e.waiting)
	stats.Reservations = len(e.reservations)
	return stats
}

// Close simulates the engine's failure: streams break, memory and reservations are released, and
// later requests are refused.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, seq := range e.sequences {
		e.finish(seq, engineClosed)
	}
	for id := range e.reservations {
		e.dropReservation(id)
	}
	e.cache.clear()
}

// memoryChanged handles a change of the used memory: it adjusts the limit of the cache, admits
// waiting requests (startStepLoop), and resumes an order to load a model that waits until the engine
// has drained. The caller holds e.mu.
func (e *Engine) memoryChanged() {
	e.cache.setLimit(e.cacheLimit())
	e.startStepLoop()
	if len(e.sequences) == 0 && e.drained != nil {
		close(e.drained)
		e.drained = nil
	}
	e.recordState()
}

func (e *Engine) cacheLimit() int64 {
	return min(e.config.CacheTokens, e.config.EngineTokens-e.usedTokens)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.cancelRuns(r.PathValue("id"), r.URL.Query().Get("run"))
	w.WriteHeader(http.StatusNoContent)
}

// cancelRuns cancels the run with the given ID, or, if runID is empty, all runs of the request and its
// reservation.
func (e *Engine) cancelRuns(id, runID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, seq := range e.sequences {
		if seq.id == id && (runID == "" || runID == seq.runID) {
			e.stopLocked(seq, cancelled)
		}
	}
	if runID == "" && e.dropReservation(id) {
		e.memoryChanged()
	}
}

// stopSequence ends a sequence with the given outcome, unless it has already ended.
func (e *Engine) stopSequence(seq *sequence, o outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLocked(seq, o)
}

func (e *Engine) stopLocked(seq *sequence, o outcome) {
	if seq.end == nil && o.kind == typeCancelled {
		e.stats.Cancelled++
	}
	e.finish(seq, o)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// refuse responds that the call was refused and had no effect.
func refuse(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(peer.HeaderExecution, peer.ExecutionNotRun)
	w.WriteHeader(status)
	body := peer.ErrorBody{Error: peer.ErrorDetail{Type: kind, Message: message}}
	_ = json.NewEncoder(w).Encode(body)
}
