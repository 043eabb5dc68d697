// Package metrics serves the agent's health checks and variables to operators over HTTP.
package metrics

import (
	"expvar"
	"net"
	"net/http"
	"time"

	"acaciacleat.example/agent/server"
	"acaciacleat.example/peers/vars"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// headerTimeout bounds the reading of a request's headers. Without it, a client that sends
// none would hold its connection forever.
const headerTimeout = 5 * time.Second

// Source provides the agent's metrics. server.Server implements it.
type Source interface {
	Metrics() server.Metrics
}

// Endpoint is a running HTTP server for operators.
type Endpoint struct {
	listener net.Listener
	http     *http.Server
}

// Listen serves the source's metrics on an IP address and port until Close.
func Listen(addr string, source Source, log zerolog.Logger) (*Endpoint, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for operators on %s", addr)
	}
	e := &Endpoint{
		listener: listener,
		http:     &http.Server{Handler: Handler(source), ReadHeaderTimeout: headerTimeout},
	}
	go e.serve(log)
	return e, nil
}

func (e *Endpoint) serve(log zerolog.Logger) {
	if err := e.http.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("the metrics endpoint ended")
	}
}

// Addr returns the address on which the endpoint is served.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

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
