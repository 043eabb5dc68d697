// Package operator implements the entry's HTTP interface for operators: documents, explanations,
// health and metrics.
package operator

import (
	"encoding/json"
	"net/http"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/entry/placement"
	"acaciacleat.example/entry/quota"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/documents"
	api "acaciacleat.example/peers/operator"
	"github.com/rs/zerolog"
)

// Config configures a Handler.
type Config struct {
	Front   *front.Front
	View    *fleet.View
	Records *record.Ring
	// Ready reports whether the load balancer should send new requests.
	Ready func() bool
	// Store stores the service documents; Documents provides the active ones of this entry.
	Store     *documents.Store
	Documents ActiveDocuments
	Quota     *quota.Enforcer
	// Placement is nil if this entry does not take part in placement.
	Placement *placement.Manager
	Log       zerolog.Logger
}

// Handler serves operators. It is safe for concurrent use.
type Handler struct {
	config Config
	mux    *http.ServeMux
	// parsing holds a value while a document is parsed.
	parsing chan struct{}
}

// New returns a Handler.
func New(config Config) *Handler {
	h := &Handler{config: config, mux: http.NewServeMux(), parsing: make(chan struct{}, 1)}
	h.mux.HandleFunc("GET /healthz", h.healthz)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("GET /debug/vars", h.vars)
	h.mux.HandleFunc("GET "+api.PathRequests+"/{id}", h.request)
	h.mountDocuments()
	h.mux.HandleFunc("GET "+api.PathServices+"/{service}/placement", h.placement)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.config.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// request answers with the recorded decisions about one request and their reasons.
func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	id, err := call.ParseID(r.PathValue("id"))
	if err != nil {
		h.fail(w, result.New(result.BadParameter, result.NotRun, "%v", err))
		return
	}
	found := h.config.Records.Find(id)
	if found == nil {
		h.fail(w, result.New(result.NotFound, result.NotRun, "request %s is not, or no longer, kept by this entry", id))
		return
	}
	h.writeJSON(w, http.StatusOK, found)
}

// placement answers with the entry that places a service's models, and its decisions with their
// reasons.
func (h *Handler) placement(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("service")
	snapshot := h.config.Front.Snapshot()
	if h.config.Placement == nil || snapshot == nil || snapshot.Service(name) == nil {
		h.fail(w, result.New(result.UnknownService, result.NotRun, "service %q", name))
		return
	}
	h.writeJSON(w, http.StatusOK, h.config.Placement.Explain(r.Context(), name))
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
