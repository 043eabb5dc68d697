// Package metrics serves the agent's health checks and variables to operators over HTTP.
package metrics

import (
	"expvar"
	"net/http"

	"acaciacleat.example/agent/server"
	"acaciacleat.example/peers/httpserver"
	"acaciacleat.example/peers/vars"
	"github.com/rs/zerolog"
)

// Source provides the agent's metrics. server.Server implements it.
type Source interface {
	Metrics() server.Metrics
}

// Endpoint is a running HTTP server for operators.
type Endpoint struct {
	http *httpserver.Server
	addr string
}

// Listen serves the source's metrics on an IP address and port until Close.
func Listen(addr string, source Source, log zerolog.Logger) (*Endpoint, error) {
	e := &Endpoint{http: httpserver.New(httpserver.Config{Name: "metrics", Handler: Handler(source), Log: log})}
	var err error
	e.addr, err = e.http.Listen(addr)
	return e, err
}

// Addr returns the address on which the endpoint is served.
func (e *Endpoint) Addr() string { return e.addr }

// Close closes the endpoint at once.
func (e *Endpoint) Close() { _ = e.http.Close() }

// Handler returns a handler for the health checks and variables of one agent. Several agents
// may run in one process, so their variables are not published globally.
func Handler(source Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", healthz)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { readyz(w, source.Metrics()) })
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) { serveVars(w, source.Metrics()) })
	return mux
}

func healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func readyz(w http.ResponseWriter, m server.Metrics) {
	if !ready(m) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// ready reports whether the agent accepts calls.
func ready(m server.Metrics) bool { return !m.Leaving && !m.EngineDown }

// serveVars serves the process's expvars together with the agent's variables.
func serveVars(w http.ResponseWriter, m server.Metrics) {
	own := map[string]expvar.Func{
		"queue_length":         func() any { return m.Queue },
		"live_calls":           func() any { return m.Live },
		"memory_used":          func() any { return m.MemoryUsed },
		"memory_free":          func() any { return m.MemoryFree },
		"memory_capacity":      func() any { return m.MemoryCapacity },
		"prefill_rate":         func() any { return m.PrefillRate },
		"engine_down":          func() any { return m.EngineDown },
		"ready":                func() any { return ready(m) },
		"reservations_expired": func() any { return m.ReservationsExpired },
		"orphans_cancelled":    func() any { return m.OrphansCancelled },
	}
	vars.Write(w, own)
}
