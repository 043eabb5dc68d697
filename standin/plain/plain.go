// Package plain is a stand-in for a plain service, for tests and the dev mode. It counts how often
// each call ran, which a real service does not report.
//
// The fault faults.AnswerLost runs a call and closes its connection without sending any byte. On a
// kept-alive connection (Skip: 1) the transport of net/http may then send the call a second time by
// itself.
package plain

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"acaciacleat.example/standin/engine/httpfaults"
	"acaciacleat.example/standin/faults"
)

// Headers that identify a call: the ID that the agent passes on, and a tag set by a test.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderCallTag   = "X-Call-Tag"
)

// Operations that faults.Fault.Operation can name. OpRead are GET and HEAD calls, OpWrite all other
// calls, OpHealth the health checks.
const (
	OpRead   = "read"
	OpWrite  = "write"
	OpHealth = "health"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 64 << 20

// Config is the configuration of the stand-in.
type Config struct {
	// ServiceTime is how long each call takes.
	ServiceTime time.Duration
}

// Stats counts the calls that ran.
type Stats struct {
	// RunsByID and RunsByTag count the runs of each call by the two headers.
	RunsByID  map[string]int `json:"runs_by_id"`
	RunsByTag map[string]int `json:"runs_by_tag"`
	// Runs counts all calls that ran.
	Runs int `json:"runs"`
}

// Service is one stand-in plain service. It is safe for concurrent use.
type Service struct {
	config Config
	mux    *http.ServeMux
	// other serves the paths that mux doesn't know or would redirect.
	other  http.HandlerFunc
	faults faults.Table

	mu    sync.Mutex
	stats Stats
	jobs  int
}

// New returns a new service.
func New(config Config) *Service {
	s := &Service{
		config: config,
		mux:    http.NewServeMux(),
		stats:  Stats{RunsByID: map[string]int{}, RunsByTag: map[string]int{}},
	}
	s.mux.HandleFunc("GET /healthz", httpfaults.Wrap(&s.faults, OpHealth, func(http.ResponseWriter, *http.Request) {}))
	s.mux.HandleFunc("PUT /faults", httpfaults.Put(s.SetFaults))
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	s.mux.HandleFunc("GET /parts", s.counted(listParts))
	s.mux.HandleFunc("POST /jobs", s.counted(s.postJob))
	s.other = s.counted(echo)
	s.mux.HandleFunc("/", s.other)
	return s
}

// counted returns a handler that applies the faults of reads or writes, and counts the runs.
func (s *Service) counted(h http.HandlerFunc) http.HandlerFunc {
	run := s.countRuns(h)
	read := httpfaults.Wrap(&s.faults, OpRead, run)
	write := httpfaults.Wrap(&s.faults, OpWrite, run)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			read(w, r)
			return
		}
		write(w, r)
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if cleaned := path.Clean(r.URL.Path); r.URL.Path != cleaned && r.URL.Path != cleaned+"/" {
		s.other(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces all faults and resets their counters.
func (s *Service) SetFaults(list ...faults.Fault) { s.faults.Set(list...) }

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RunsByID = maps.Clone(stats.RunsByID)
	stats.RunsByTag = maps.Clone(stats.RunsByTag)
	return stats
}

// countRuns counts a call as run once its whole body has arrived.
func (s *Service) countRuns(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.count(r)
		if httpfaults.Sleep(r.Context(), s.config.ServiceTime) != nil {
			panic(http.ErrAbortHandler)
		}
		h(w, withBody(r, body))
	}
}

func (s *Service) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs++
	if id := r.Header.Get(HeaderRequestID); id != "" {
		s.stats.RunsByID[id]++
	}
	if tag := r.Header.Get(HeaderCallTag); tag != "" {
		s.stats.RunsByTag[tag]++
	}
}

// Job is the answer to POST /jobs. Each run creates a job, so a call that ran twice creates two.
type Job struct {
	Job int `json:"job"`
}

func (s *Service) postJob(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.jobs++
	job := Job{Job: s.jobs}
	s.mu.Unlock()
	w.Header().Set("Location", "/jobs/"+strconv.Itoa(job.Job))
	writeJSONStatus(w, http.StatusCreated, job)
}

// Part is one item of GET /parts.
type Part struct {
	Number string `json:"number"`
	Name   string `json:"name"`
}

var parts = []Part{
	{"HP-110", "hydraulic pump"},
	{"BR-204", "brake disc"},
	{"SL-031", "seal kit"},
}

func listParts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, parts) }

// echo answers with the call's body and content type, and with the status from the query.
func echo(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if text := r.URL.Query().Get("status"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < http.StatusOK || n > 599 {
			http.Error(w, "status out of range", http.StatusBadRequest)
			return
		}
		status = n
	}
	if kind := r.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.WriteHeader(status)
	_, _ = io.Copy(w, r.Body)
}

func withBody(r *http.Request, body []byte) *http.Request {
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

func writeJSON(w http.ResponseWriter, v any) { writeJSONStatus(w, http.StatusOK, v) }

func writeJSONStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
