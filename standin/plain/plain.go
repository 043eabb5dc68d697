// Package plain is a stand-in for a plain service, for tests and the dev mode. It
// counts how often each call ran, which a real service can't be asked.
package plain

import (
	"io"
	"net/http"
	"time"
)

// Headers that identify a call.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderCallTag   = "X-Call-Tag"
)

// Config is the stand-in's behaviour.
type Config struct {
	// ServiceTime is how long each call takes.
	ServiceTime time.Duration
}

// Service is one stand-in plain service. It is safe for concurrent use.
type Service struct {
	config Config
	mux    *http.ServeMux
}

// New returns a service.
func New(config Config) *Service {
	s := &Service{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	s.mux.HandleFunc("/", s.echo)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Write(body)
}
